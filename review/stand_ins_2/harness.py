"""Starts the programs of the deploy file on loopback, with stand-ins of the
platform's store, the workers and the clients. Used by the scripts of the
cases; each case has its own events and its own check."""

import base64
import heapq
import http.client
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["bagmati-a", "bagmati-b", "bagmati-c"]

# The figures of the users' small deployments.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoverS": 12, "maxHoldMs": 1000,
    "stopMs": 50, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "farFactor": 1.5,
    "checkpointIntervalS": 1, "restoreMs": 250, "noticeMs": 4500, "moveS": 1.5,
    "maintenanceS": 2, "requireFencing": False, "leaseMs": 3000, "thawMs": 300,
    "paceMs": 100, "harmMs": 4000, "resendMs": 1300,
}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (self.now(), text))
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", kind="application/json"):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", kind)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()
        except OSError:
            self.close_connection = True


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, *arguments):
        self.connections = set()
        super().__init__(*arguments)

    def process_request(self, request, address):
        self.connections.add(request)
        super().process_request(request, address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def vanish(self):
        """Ends the listener and all connections, as the end of the process does."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, address):
        pass


def serve(address, handler):
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The operator's topic of the platform's store."""

    def __init__(self, ip):
        self.records = []
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if query.get("topic") != "keyed.op":
                    self.answer(404, {})
                elif url.path == "/-/log-newest":
                    self.answer(200, store.newest())
                else:
                    body = store.read(int(query["from"]), int(query.get("waitMs", 0)))
                    self.answer(200, body, "application/octet-stream")

        self.server = serve((ip, 0), StoreHandler)
        self.address = "%s:%d" % self.server.server_address

    def put_config(self, config):
        with self.changed:
            self.records.append(("config", json.dumps(config).encode()))
            self.changed.notify_all()

    def newest(self):
        with self.changed:
            newest = {}
            for offset, (key, value) in enumerate(self.records):
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(),
                               "offset": offset}
            return {"items": [newest[key] for key in sorted(newest)],
                    "hasMore": False, "end": len(self.records)}

    def read(self, start, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            while len(self.records) <= start and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            body = struct.pack(">QQ", len(self.records), 0)
            for key, value in self.records[start:start + 1]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return body


class Schedule:
    """Calls functions later, in one thread."""

    def __init__(self):
        self.due = []
        self.number = 0
        self.changed = threading.Condition()
        threading.Thread(target=self.run, daemon=True).start()

    def add(self, seconds, function):
        with self.changed:
            self.number += 1
            heapq.heappush(self.due, (time.monotonic() + seconds, self.number, function))
            self.changed.notify()

    def run(self):
        while True:
            with self.changed:
                while not self.due or self.due[0][0] > time.monotonic():
                    self.changed.wait(self.due[0][0] - time.monotonic() if self.due else None)
                function = heapq.heappop(self.due)[2]
            function()


class Worker:
    """A worker as PROTOCOL.md describes it. The spec of a task is its work in
    ms; a task ends 'done' after it. Capacity is guarded."""

    def __init__(self, record, ip, name, service, zone, agent_control, port=0,
                 capacity=(16000, 32768, 0), labels=("a", "r1-1")):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.agent_control = agent_control
        self.capacity, self.labels = capacity, list(labels)
        self.state = "ready"
        self.history = []  # (task, run, started, ended, how); times of the record
        self.specs = {}    # (task, run) -> spec of its start
        self.on_start = None
        self.intercept = None  # (path, body) -> seconds to hold the call, or None
        self.is_up = True
        self.schedule = Schedule()
        self.overdue = []  # late calls that came due while the worker was down
        self.begin_incarnation()
        worker = self

        class WorkerHandler(Handler):
            def do_POST(self):
                body = json.loads(self.read_body() or b"{}")
                if not worker.is_up:
                    self.close_connection = True
                    return
                held = worker.intercept(self.path, body) if worker.intercept else None
                if held is not None:
                    worker.hold_back(self.path, body, self.headers, held)
                    time.sleep(0.3)  # longer than any caller waits for an order
                    self.close_connection = True
                    return
                status, answer = worker.call(self.path, body, self.headers)
                self.answer(status, answer)

        self.server = serve((ip, port), WorkerHandler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.run_clock, daemon=True).start()

    def begin_incarnation(self):
        self.lock = getattr(self, "lock", threading.Condition())
        with self.lock:
            self.born = int(time.time() * 1000)
            self.clock_start = time.monotonic()
            self.token = self.deadline = self.seq = self.ends = 0
            self.running = {}    # (task, run) -> [started, work_ms, stop_at]
            self.finished = []   # [N, task, run, how, ""]
            self.highest = {}    # task -> highest run stopped or ended here
            self.needs = {}

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000) + 1000

    def extend(self, deadline):
        self.deadline = max(self.deadline,
                            min(deadline, self.clock() + BOUNDS["maxHoldMs"]))

    def advance(self):
        now = time.monotonic()
        for (task, run), (started, work_ms, stop_at) in list(self.running.items()):
            if self.clock() >= self.deadline:
                self.end(task, run, "lapsed")
            elif stop_at is not None and now >= stop_at:
                self.end(task, run, "stopped")
            elif (now - started) * 1000 >= work_ms:
                self.end(task, run, "done")

    def end(self, task, run, how):
        started = self.running.pop((task, run))[0]
        self.needs.pop((task, run), None)
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ends += 1
        self.finished.append([self.ends, task, run, how, ""])
        self.history.append((task, run, started - self.record.start, self.record.now(), how))
        self.record.write("worker %s: run %d of task %s ended %s" % (self.name, run, task, how))
        self.lock.notify_all()

    def run_clock(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                self.advance()

    def call(self, path, body, headers):
        with self.lock:
            self.advance()
            base = {"clockMs": self.clock(), "born": self.born}
            expected = headers.get("X-Expect-Instance")
            if expected and expected != self.name:
                return 421, base
            token = body.get("fencingToken", 0)
            if token < self.token:
                return 409, dict(base, reason="fence")
            self.token = token
            if path == "/-/run-start":
                return self.start(body, base)
            if path == "/-/run-stop":
                return self.stop(body, base)
            if path == "/-/hold":
                return self.hold(body)
            return 404, base

    def start(self, body, base):
        task, run = body["task"], body["run"]
        if (task, run) in self.running:
            return 200, base
        if body["deadlineMs"] <= self.clock():
            return 409, dict(base, reason="late")
        self.extend(body["deadlineMs"])
        if run <= self.highest.get(task, 0) or any(t == task for t, _ in self.running):
            return 409, dict(base, reason="old")
        used = sum(self.needs.values())
        need = next((int(word[4:]) for word in body["spec"].split()
                     if word.startswith("cpu=")), 1600)
        if used + need > self.capacity[0]:
            return 409, dict(base, reason="room")
        work_ms = float(body["spec"].split()[0])
        self.running[(task, run)] = [time.monotonic(), work_ms, None]
        self.needs[(task, run)] = need
        self.specs[(task, run)] = body["spec"]
        self.record.write("worker %s: run %d of task %s started (token %d)"
                          % (self.name, run, task, body.get("fencingToken", 0)))
        if self.on_start:
            self.on_start(task, run)
        return 200, base

    def stop(self, body, base):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if (task, run) in self.running and self.running[(task, run)][2] is None:
            self.running[(task, run)][2] = time.monotonic() + 0.02
        self.record.write("worker %s: stop of run %d of task %s" % (self.name, run, task))
        return 200, base

    def hold(self, body):
        self.extend(body.get("deadlineMs", 0))
        seen = body.get("lastSeen", 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = time.monotonic()
        running = [[task, run, "", min(99, int((now - value[0]) * 100000 / value[1])), 1600]
                   for (task, run), value in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "finished": self.finished[:500]}

    def hold_back(self, path, body, headers, seconds):
        """Carries a call out later, without an answer. A call that comes due
        while the worker is down is carried out as soon as it is back."""
        kept = dict(headers.items())

        def later():
            with self.lock:
                if not self.is_up:
                    self.overdue.append(later)
                    return
            status, answer = self.call(path, body, kept)
            self.record.write("worker %s: %s of %s run %s, sent at %.3f s, carried out late: %d %s"
                              % (self.name, path, body.get("task"), body.get("run"), sent,
                                 status, answer.get("reason", "")))
        sent = self.record.now()
        self.record.write("worker %s: %s of %s run %s gets no answer"
                          % (self.name, path, body.get("task"), body.get("run")))
        self.schedule.add(seconds, later)

    def crash(self, seconds):
        """Ends the worker's process, and starts it again under the same id."""
        address, handler = self.server.server_address, self.server.RequestHandlerClass
        with self.lock:
            self.is_up = False
            for (task, run), (started, _, _) in self.running.items():
                self.history.append((task, run, started - self.record.start,
                                     self.record.now(), "crash"))
            self.running = {}
        self.server.vanish()
        self.record.write("worker %s has crashed" % self.name)
        time.sleep(seconds)
        self.begin_incarnation()
        self.server = serve(address, handler)
        with self.lock:
            self.is_up = True
            overdue, self.overdue = self.overdue, []
        self.record.write("worker %s is back" % self.name)
        for late_call in overdue:
            late_call()

    def beat(self):
        while True:
            while not self.is_up:
                time.sleep(0.01)
            with self.lock:
                born = self.born
                self.seq += 1
                body = {"service": self.service, "address": self.address, "zone": self.zone,
                        "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
                        "capacity": dict(zip(("cpu", "memMb", "gpu"), self.capacity)),
                        "labels": self.labels, "clockMs": self.clock(), "seq": self.seq,
                        "born": self.born}
            reply = call(self.agent_control, "POST", "/-/instances/%s/heartbeat" % self.name,
                         body, timeout=1)
            until = time.monotonic() + (1.5 if reply and reply[0] == 200 else 0.1)
            while time.monotonic() < until and self.born == born:
                time.sleep(0.02)


def call(address, method, path, body=None, headers=None, timeout=2.0):
    """Sends one request; returns (status, body), or None without an answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data,
                           dict({"Content-Type": "application/json"}, **(headers or {})))
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Process:
    def __init__(self, fleet, role, name, settings):
        self.fleet, self.name = fleet, name
        self.words = fleet.commands[role]
        self.path = os.path.join(fleet.folder, name + ".json")
        with open(self.path, "w") as file:
            file.write(fleet.templates[role].replace("{{.|json}}", json.dumps(settings)))
        self.settings = settings
        self.child = None
        self.started_at = None

    def start(self):
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "a")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["GREENGAGEWORKS_NODE_FILE"] = self.path
        self.child = subprocess.Popen(self.words, cwd=ROOT, env=environment, stdout=log,
                                      stderr=log, stdin=subprocess.DEVNULL)
        self.started_at = self.fleet.record.now()
        self.fleet.record.write("process %s started" % self.name)

    def send(self, number):
        self.fleet.record.write("process %s gets %s" % (self.name, signal.Signals(number).name))
        self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def terminate(self):
        """SIGTERM, and SIGKILL after graceS, as the platform does."""
        self.send(signal.SIGTERM)
        try:
            self.child.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            self.kill()
        self.fleet.record.write("process %s has ended" % self.name)


class Fleet:
    """The programs of the deploy file on some loopback addresses."""

    def __init__(self, case_folder, entries=2, servers=2, timeout_ms=1500, service="dele69a",
                 queues=("font",), worker_options=None):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="greengage-case-")
        self.service, self.queues, self.timeout_ms = service, queues, timeout_ms
        self.commands, self.templates = {}, {}
        self.read_deploy_file()
        self.base = "127.%d.%d." % (64 + os.getpid() % 128, 1 + os.getpid() // 128 % 250)
        self.store = Store(self.base + "2")
        self.store.put_config(self.config(1))
        self.ports = [free_port(self.base + "10") for _ in range(4)]
        self.seeds = ["%s%d:%d" % (self.base, 10 + i, self.ports[2]) for i in range(entries)]
        self.entries = [self.make_entry(i) for i in range(entries)]
        self.workers, self.agents = [], []
        for i in range(servers):
            ip = self.base + str(50 + i)
            zone = ZONES[i % 3]
            worker = Worker(self.record, self.base + str(100 + i), "i-%08x" % (0x7f3a91c2 + i),
                            service, zone, "%s:%d" % (ip, self.ports[2]),
                            **(worker_options(i) if worker_options else {}))
            self.workers.append(worker)
            settings = self.settings("side-%d" % i, "agent", "side", ["side"], ip, zone)
            settings["listen"] = {"control": "%s:%d" % (ip, self.ports[2])}
            settings["app"], settings["service"] = worker.address, service
            settings["limits"].update(cpuShare=0.15, memoryMb=128, maxFds=4096)
            self.agents.append(Process(self, "agent", "side-%d" % i, settings))

    def make_entry(self, i):
        ip, zone = self.base + str(10 + i), ZONES[i % 3]
        settings = self.settings("edge-%d" % i, "entry", "edge", ["edge", "control"], ip, zone)
        settings["listen"] = {"front": "%s:%d" % (ip, self.ports[0]),
                              "readyAddr": "%s:%d" % (ip, self.ports[1]),
                              "control": "%s:%d" % (ip, self.ports[2])}
        return Process(self, "entry", "edge-%d" % i, settings)

    def read_deploy_file(self):
        role = None
        for line in open(os.path.join(ROOT, "deploy", "system.toml")):
            section = re.match(r"\[roles\.(.+)\]", line)
            value = re.match(r'(run|template)\s*=\s*"(.*)"', line)
            if section:
                role = section.group(1)
            elif role and value and value.group(1) == "run":
                self.commands[role] = value.group(2).split()
            elif role and value:
                self.templates[role] = open(os.path.join(ROOT, value.group(2))).read()
        for words in self.commands.values():
            if not os.access(os.path.join(ROOT, words[0]), os.X_OK):
                raise CannotRun("%s is not built" % words[0])

    def settings(self, node, role, machine_class, serves, ip, zone):
        return {
            "node": node, "role": role, "machineClass": machine_class, "serves": serves,
            "ip": ip, "zone": zone, "region": "bagmati",
            "zones": {name: "bagmati" for name in ZONES},
            "internalPortRange": [self.ports[3], self.ports[3] + 15], "seeds": self.seeds[:3],
            "bootstrap": True, "countsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "controlMode": "call",
            "platform": {"address": self.store.address, "form": "log", "writesPerS": 800,
                         "readsPerS": 2000, "parts": 24, "appendMs": 1.0, "partMbS": 20.0,
                         "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152,
                         "keep_s": 300, "partMb": 200, "minTtlMs": 1000},
            "cloud": {"ratePerS": 60.0, "duties": [], "dutyPerS": 60.0},
        }

    def config(self, version):
        routes = [{"name": "r-" + name, "host": "nony24.example", "pathPrefix": "/%s/" % name,
                   "kind": "non_idempotent", "timeoutMs": self.timeout_ms,
                   "targetRuntimeMs": 600, "priority": 1, "service": self.service,
                   "maxAttempts": 3, "stretch": 1.6} for name in self.queues]
        return {"version": version, "routes": routes,
                "services": [{"name": self.service, "healthPath": "/health", "maxConns": 64,
                              "protocol": "h1", "tls": False, "admissionCheck": True,
                              "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    def start(self):
        for process in self.entries + self.agents:
            process.start()
        for entry in self.entries:
            self.await_ready(entry)
        time.sleep(2)

    def await_ready(self, entry, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            reply = call(entry.settings["listen"]["readyAddr"], "GET", "/-/ready", timeout=1)
            if reply and reply[0] == 200:
                self.record.write("process %s is ready" % entry.name)
                return
            time.sleep(0.05)
        raise CannotRun("%s does not get ready" % entry.name)

    def request(self, method, entry, job, body=None, deadline_ms=1500, queue=None):
        """Sends a client's request; records it and its answer."""
        path = "/%s/%s" % (queue or self.queues[0], job)
        self.record.write("client: %s %s at %s" % (method, path, entry.name))
        headers = {"Host": "nony24.example", "X-Deadline-Ms": str(deadline_ms)}
        reply = call(entry.settings["listen"]["front"], method, path, body, headers,
                     deadline_ms / 1000)
        self.record.write("client: answer to %s %s at %s: %s"
                          % (method, path, entry.name,
                             "none" if reply is None else "%d %s" % reply))
        return reply

    def later(self, function, *arguments, **named):
        result = []
        thread = threading.Thread(target=lambda: result.append(function(*arguments, **named)))
        thread.start()
        return lambda: (thread.join(), result[0] if result else None)[1]

    def stop(self):
        for process in self.entries + self.agents:
            if process.child and process.child.poll() is None:
                process.child.kill()
                process.child.wait()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def job_body(count=2, work_ms=900, **fields):
    return dict({"spec": "%d" % work_ms, "bestEffort": True,
                 "steps": [{"count": count, "cpu": 1600, "memMb": 64,
                            "estimateMs": work_ms}]}, **fields)


def new_job():
    return os.urandom(8).hex()


def run_case(case_folder, play, **options):
    """Plays the case and exits: 1 if play() returns a broken rule, 0 if the
    rule held, 2 if the case could not run."""
    fleet = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        fleet = Fleet(case_folder, **options)
        fleet.start()
        broken = play(fleet)
    except CannotRun as error:
        print("cannot run: %s" % error)
        sys.exit(2)
    except Exception as error:  # pylint: disable=broad-except
        print("cannot run: %r" % error)
        sys.exit(2)
    finally:
        if fleet:
            fleet.stop()
            if os.environ.get("KEEP_LOGS"):
                print(fleet.folder)
            else:
                import shutil
                shutil.rmtree(fleet.folder, ignore_errors=True)
    fleet.record.write("result: %s" % (broken or "the rule held"))
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
