"""A worker is told to start a task with another spec than the client sent: the
spec is cut at its first NUL character between the entry and the agent."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_2"))
from harness import TROUBLE, CannotRun, job_body, new_job, run_case  # noqa: E402


def play(fleet):
    sent = {}
    for entry in fleet.entries:
        for i in range(3):
            job = new_job()
            separator = "\0" if TROUBLE else "\n"
            spec = "100 font=Mukta%sweight=700%slicence=%d" % (separator, separator, i)
            sent[job] = spec
            reply = fleet.request("POST", entry, job, job_body(2, 100, spec=spec))
            if reply is None or reply[0] != 200:
                raise CannotRun("the job was not served: %r" % (reply,))
    time.sleep(0.2)
    started = [(task, spec) for worker in fleet.workers
               for (task, run), spec in sorted(worker.specs.items())]
    if not started:
        raise CannotRun("no task was started")
    broken = [(task, spec) for task, spec in started if spec != sent[task.split(".")[0]]]
    for task, spec in started:
        fleet.record.write("task %s: sent %r, told to start %r"
                           % (task, sent[task.split(".")[0]], spec))
    if broken:
        return ("UNASKED: %d of %d tasks were started with another spec, the first is %s: "
                "sent %r, started with %r" % (len(broken), len(started), broken[0][0],
                                              sent[broken[0][0].split(".")[0]], broken[0][1]))
    return None


run_case(FOLDER, play)
