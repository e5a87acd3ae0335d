"""An agent is killed and restarted beside a worker that runs tasks."""

import os
import random
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins"))

from fleet import (RESEND_MS, ROUTE, Fleet, call, has_trouble, main, make_job,
                   new_job)

WORKERS = 8
KILLS = 32
RESTART_AFTER_S = 0.1
PERIOD_S = 2.5
TASK_MS = 900
CLIENTS = 40


def play(record):
    violations = []
    lock = threading.Lock()

    def on_start(worker, task, step):
        for key, used in worker.used().items():
            if used > worker.capacity[key]:
                with lock:
                    violations.append(
                        "LIMIT: the start of %s brings %s to %d of %d %s" % (
                            task, worker.id, used, worker.capacity[key], key))
                record.write("worker %s: over its capacity, runs %s"
                             % (worker.id, sorted(worker.running)))

    fleet = Fleet(
        2, WORKERS, record, [ROUTE], on_start,
        lambda i: {"labels": ["a", "r1-%d" % (i // 3)], "guards": False},
        admission_check=False)
    stopping = threading.Event()

    def client(number):
        while not stopping.is_set():
            job = new_job()
            steps = [{"count": 4, "cpu": 1600, "memMb": 64,
                      "estimateMs": TASK_MS}]
            fleet.jobs.add(job, steps)
            for attempt in range(3):
                front = fleet.fronts[(number + attempt) % 2]
                status, _ = call(record, front, "POST", job,
                                 make_job(TASK_MS, steps), 15000)
                if status not in (0, 502, 504) or stopping.is_set():
                    break
                time.sleep(RESEND_MS / 1000)
            time.sleep(random.uniform(0, 0.3))

    try:
        fleet.start()
        for number in range(CLIENTS):
            threading.Thread(target=client, args=(number,),
                             daemon=True).start()
        time.sleep(3)
        for number in range(KILLS):
            if has_trouble():
                agent = fleet.agents[number % WORKERS]
                agent.send(signal.SIGKILL)
                agent.wait(5)
                time.sleep(RESTART_AFTER_S)
                agent.start()
            # A period that is no multiple of the heartbeat interval.
            time.sleep(PERIOD_S + random.uniform(0, 0.7))
            with lock:
                if violations:
                    break
        stopping.set()
        with lock:
            return list(violations)
    finally:
        stopping.set()
        fleet.end()


sys.exit(main(FOLDER, play))
