"""Starts the platform's programs on loopback, with stand-ins for the rest.

The stand-ins of the store, the workers, the clients and the balancer follow
PROTOCOL.md. Standard library only.
"""

import base64
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
ENTRY = "target/bin/greengage-platform-entry --metrics-port 9464"
AGENT = "target/bin/greengage-platform-agent --metrics-port 9464"

FRONT_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166
INTERNAL_PORTS = [7720, 7735]
WORKER_PORT = 8080
STORE_PORT = 8169

HEARTBEAT_MS = 1500
RESEND_MS = 1300
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "recoverS": 12, "maxHoldMs": 1000, "stopMs": 50, "gangWaitMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "farFactor": 1.5, "checkpointIntervalS": 1,
    "restoreMs": 250, "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2,
    "requireFencing": False, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
    "harmMs": 4000, "resendMs": RESEND_MS,
}


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file_ = open(path, "w", encoding="utf-8")
        self.lock_ = threading.Lock()
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        with self.lock_:
            self.file_.write("%8.3f %s\n" % (self.now(), text))
            self.file_.flush()


class QuietServer(http.server.ThreadingHTTPServer):
    """HTTP server whose connections can be ended at once, as by a crash."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handler):
        self.connections_ = set()
        self.connections_lock_ = threading.Lock()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.connections_lock_:
            self.connections_.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.connections_lock_:
            self.connections_.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass

    def start(self):
        threading.Thread(
            target=self.serve_forever, args=(0.02,), daemon=True
        ).start()

    def end(self):
        """Refuses connections from now on and ends the open ones."""
        self.socket.close()
        with self.connections_lock_:
            for connection in self.connections_:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        threading.Thread(target=self.shutdown, daemon=True).start()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536

    def log_message(self, *arguments):
        pass

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return self.rfile.read(length)

    def answer(self, status, value=None, raw=None):
        data = raw if raw is not None else json.dumps(value or {}).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class Store:
    """The part of the platform's store that the configuration needs."""

    def __init__(self, ip):
        self.address = "%s:%d" % (ip, STORE_PORT)
        self.changed_ = threading.Condition()
        self.records_ = []
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.handle_(self)

        self.server_ = QuietServer((ip, STORE_PORT), StoreHandler)
        self.server_.start()

    def publish(self, configuration):
        with self.changed_:
            self.records_.append(json.dumps(configuration).encode())
            self.changed_.notify_all()

    def handle_(self, handler):
        path, _, query = handler.path.partition("?")
        values = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/-/log-newest":
            with self.changed_:
                end = len(self.records_)
                newest = self.records_[-1] if self.records_ else None
            items = []
            if newest is not None:
                value = base64.b64encode(newest).decode()
                items = [{"key": "config", "value": value, "offset": end - 1}]
            handler.answer(
                200, {"items": items, "hasMore": False, "end": end}
            )
        elif path == "/-/log-read":
            start = int(values["from"])
            limit = int(values.get("fetchLimit", 1024))
            until = time.monotonic() + int(values.get("waitMs", 0)) / 1000
            with self.changed_:
                while len(self.records_) <= start:
                    left = until - time.monotonic()
                    if left <= 0 or not self.changed_.wait(left):
                        break
                end = len(self.records_)
                records = self.records_[start : start + limit]
            data = struct.pack(">QQ", end, 0)
            for record in records:
                content = bytes([len(b"config")]) + b"config" + record
                data += struct.pack(">I", len(content)) + content
            handler.answer(200, raw=data)
        else:
            handler.answer(404)


class Jobs:
    """The jobs that clients have sent, for the workers' view of their tasks."""

    def __init__(self):
        self.lock_ = threading.Lock()
        self.steps_ = {}

    def add(self, job, steps):
        with self.lock_:
            self.steps_[job] = steps

    def step(self, task):
        job, _, step, _ = task.split(".")
        with self.lock_:
            steps = self.steps_.get(job)
        return steps[int(step)] if steps else None


class Worker:
    """A backend server. Each incarnation knows nothing of the one before."""

    def __init__(self, ip, control, service, jobs, record, on_start,
                 capacity=None, labels=(), guards=True, name=None):
        self.ip = ip
        self.control_ = control
        self.service_ = service
        self.jobs_ = jobs
        self.record_ = record
        self.on_start_ = on_start
        self.capacity = capacity or {"cpu": 16000, "memMb": 32768, "gpu": 0}
        self.labels = list(labels)
        self.guards_ = guards
        self.id = name or "i-%08x" % random.getrandbits(32)
        self.lock_ = threading.Condition()
        self.ended_ = threading.Event()
        self.server_ = None
        self.life_ = 0
        self.state_ = "ready"

    def start(self, first_heartbeat_s=0.0):
        """Starts an incarnation; its first heartbeat comes after the delay."""
        self.life_ += 1
        life = self.life_
        self.born = int(time.time() * 1000)
        self.clock_start_ = time.monotonic()
        self.running = {}
        self.finished_ = []
        self.next_end_ = 1
        self.highest_ended_ = {}
        self.token_ = 0
        self.lease_until_ = 0.0
        self.sequence_ = 0
        self.state_ = "ready"
        self.up = True
        worker = self

        class WorkerHandler(Handler):
            def do_POST(self):
                worker.handle_(self, life)

        self.server_ = QuietServer((self.ip, WORKER_PORT), WorkerHandler)
        self.server_.start()
        self.record_.write(
            "worker %s %s starts: born=%d labels=%s capacity=%s"
            % (self.id, self.ip, self.born, self.labels, self.capacity)
        )
        threading.Thread(target=self.beat_, args=(life, first_heartbeat_s),
                         daemon=True).start()
        threading.Thread(target=self.advance_, args=(life,),
                         daemon=True).start()

    def drain(self):
        """Reports `draining`; returns whether it was acknowledged."""
        self.state_ = "draining"
        self.record_.write("worker %s drains" % self.id)
        return self.heartbeat_() == 200

    def leave(self):
        """Sends the leave notice and ends."""
        status = self.post_("leave", {"born": self.born})
        self.record_.write("worker %s leaves: answered %d" % (self.id, status))
        self.crash()

    def crash(self):
        """Ends the incarnation at once; nothing of it remains."""
        with self.lock_:
            self.life_ += 1
            self.up = False
            self.running = {}
            self.lock_.notify_all()
        self.server_.end()
        self.record_.write("worker %s %s crashes" % (self.id, self.ip))

    def clock_ms_(self):
        return int((time.monotonic() - self.clock_start_) * 1000)

    def post_(self, what, body):
        """Sends a notice to the agent; returns the status, 0 if none."""
        host, port = self.control_.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("POST", "/-/instances/%s/%s" % (self.id, what),
                               json.dumps(body),
                               {"Content-Type": "application/json"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def heartbeat_(self):
        with self.lock_:
            self.sequence_ += 1
            body = {
                "service": self.service_,
                "address": "%s:%d" % (self.ip, WORKER_PORT),
                "zone": "bagmati-a", "version": "v1", "slots": 8,
                "state": self.state_, "coldLeftMs": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock_ms_(), "seq": self.sequence_,
                "born": self.born,
            }
        status = self.post_("heartbeat", body)
        self.record_.write("worker %s: heartbeat %d (%s) answered %d" % (
            self.id, body["seq"], body["state"], status))
        return status

    def beat_(self, life, delay):
        time.sleep(delay)
        while self.life_ == life:
            self.heartbeat_()
            time.sleep(HEARTBEAT_MS / 1000)

    def end_run_(self, task, how):
        run = self.running.pop(task)
        row = [self.next_end_, task, run["run"], how, ""]
        self.finished_.append(row)
        self.next_end_ += 1
        highest = self.highest_ended_.get(task, 0)
        self.highest_ended_[task] = max(highest, run["run"])
        self.record_.write("worker %s: end %s run=%d %s"
                           % (self.id, task, run["run"], how))
        self.lock_.notify_all()

    def advance_(self, life):
        while True:
            time.sleep(0.002)
            with self.lock_:
                if self.life_ != life:
                    return
                self.settle_()

    def settle_(self):
        now = time.monotonic()
        if self.running and self.clock_ms_() > self.lease_until_:
            for task in list(self.running):
                self.end_run_(task, "lapsed")
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self.end_run_(task, "stopped")
            elif now >= run["done_at"]:
                self.end_run_(task, "done")

    def extend_(self, deadline_ms):
        if deadline_ms is not None:
            limit = self.clock_ms_() + BOUNDS["maxHoldMs"]
            self.lease_until_ = max(self.lease_until_, min(deadline_ms, limit))

    def used(self):
        total = {"cpu": 0, "memMb": 0}
        for task in self.running:
            step = self.jobs_.step(task) or {}
            for key in total:
                total[key] += step.get(key, 0)
        return total

    def handle_(self, handler, life):
        body = json.loads(handler.body() or b"{}")
        expected = handler.headers.get("X-Expect-Instance")
        with self.lock_:
            if self.life_ != life:
                handler.close_connection = True
                return
            self.settle_()
            if expected and expected != self.id:
                status, value = 421, {}
            elif handler.path == "/-/run-start":
                status, value = self.run_start_(body)
            elif handler.path == "/-/run-stop":
                status, value = self.run_stop_(body)
            elif handler.path == "/-/hold":
                status, value = self.hold_(body, life)
            else:
                status, value = 404, {}
            if self.life_ != life:
                handler.close_connection = True
                return
            value.update({"clockMs": self.clock_ms_(), "born": self.born})
        handler.answer(status, value)

    def fenced_(self, body):
        token = body.get("fencingToken", 0)
        if token < self.token_:
            return True
        self.token_ = token
        return False

    def run_start_(self, body):
        task, run = body["task"], body["run"]
        deadline = body.get("deadlineMs", 0)
        if self.fenced_(body):
            return 409, {"reason": "fence"}
        if deadline <= self.clock_ms_():
            return 409, {"reason": "late"}
        present = self.running.get(task)
        if present and present["run"] == run:
            self.extend_(deadline)
            return 200, {}
        self.extend_(deadline)
        if present or run <= self.highest_ended_.get(task, 0):
            return 409, {"reason": "old"}
        step = self.jobs_.step(task)
        used = self.used()
        fits = step is None or all(
            used[key] + step.get(key, 0) <= self.capacity[key] for key in used
        )
        if self.guards_ and not fits:
            return 409, {"reason": "room"}
        work_s = json.loads(body["spec"])["workMs"] / 1000
        self.running[task] = {
            "run": run, "started_at": time.monotonic(), "work_s": work_s,
            "done_at": time.monotonic() + work_s, "stop_at": None,
        }
        self.record_.write("worker %s: start %s run=%d"
                           % (self.id, task, run))
        self.on_start_(self, task, step)
        return 200, {}

    def run_stop_(self, body):
        task, run = body["task"], body["run"]
        if self.fenced_(body):
            return 409, {"reason": "fence"}
        present = self.running.get(task)
        if present and present["run"] <= run:
            if present["stop_at"] is None:
                present["stop_at"] = (
                    time.monotonic() + 0.8 * BOUNDS["stopMs"] / 1000)
        else:
            highest = self.highest_ended_.get(task, 0)
            self.highest_ended_[task] = max(highest, run)
        return 200, {}

    def hold_(self, body, life):
        if self.fenced_(body):
            return 409, {"reason": "fence"}
        self.extend_(body.get("deadlineMs"))
        seen = body.get("lastSeen", 0)
        self.finished_ = [row for row in self.finished_ if row[0] > seen]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while self.life_ == life and not self.finished_:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock_.wait(left)
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            done = (now - run["started_at"]) / run["work_s"]
            running.append(
                [task, run["run"], "", int(min(99, 100 * done)), 0])
        return 200, {"running": running, "finished": self.finished_[:500]}


class Program:
    """One of the project's programs, as a process of its own."""

    def __init__(self, command, settings, folder, record):
        self.command_ = command.split()
        self.name = settings["node"]
        self.path_ = os.path.join(folder, self.name + ".json")
        self.log_path_ = os.path.join(folder, self.name + ".log")
        self.record_ = record
        with open(self.path_, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process_ = None

    def start(self):
        with open(self.log_path_, "ab") as log:
            self.process_ = subprocess.Popen(
                self.command_, cwd=REPOSITORY, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "GREENGAGEWORKS_NODE_FILE": self.path_})
        self.record_.write("process %s starts: pid=%d"
                           % (self.name, self.process_.pid))

    def send(self, number):
        self.record_.write("process %s gets %s"
                           % (self.name, signal.Signals(number).name))
        self.process_.send_signal(number)

    def wait(self, timeout):
        try:
            code = self.process_.wait(timeout)
        except subprocess.TimeoutExpired:
            return None
        self.record_.write("process %s has ended: %d" % (self.name, code))
        return code

    def has_ended(self):
        return self.process_.poll() is not None

    def kill(self):
        if self.process_ and self.process_.poll() is None:
            self.process_.kill()
            self.process_.wait()


class Fleet:
    """Entries, agents and workers of a small deployment on loopback."""

    def __init__(self, entries, workers, record, routes, on_start=None,
                 worker_options=None, admission_check=True):
        for command in (ENTRY, AGENT):
            if not os.access(
                os.path.join(REPOSITORY, command.split()[0]), os.X_OK
            ):
                raise CannotRun("%s is not built" % command.split()[0])
        self.record = record
        self.folder_ = tempfile.mkdtemp(prefix="greengage-review-")
        net = self.free_net_(max(entries, workers))
        self.jobs = Jobs()
        self.store = Store(net + ".2")
        self.configuration = {
            "version": 7,
            "routes": routes,
            "services": [{"name": "portal", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": admission_check}],
            "limits": {},
        }
        self.store.publish(self.configuration)
        edge_ips = [net + ".%d" % (10 + i) for i in range(entries)]
        side_ips = [net + ".%d" % (30 + i) for i in range(workers)]
        seeds = ["%s:%d" % (ip, CONTROL_PORT) for ip in edge_ips][:3]
        self.fronts = edge_ips
        self.entries = []
        self.agents = []
        self.workers = []
        for i, ip in enumerate(edge_ips):
            settings = self.settings_("edge", i, ip, seeds)
            settings["listen"] = {
                "front": "%s:%d" % (ip, FRONT_PORT),
                "readyAddr": "%s:%d" % (ip, READY_PORT),
                "control": "%s:%d" % (ip, CONTROL_PORT),
            }
            self.entries.append(
                Program(ENTRY, settings, self.folder_, record))
        for i, ip in enumerate(side_ips):
            settings = self.settings_("side", i, ip, seeds)
            settings["listen"] = {"control": "%s:%d" % (ip, CONTROL_PORT)}
            settings["app"] = "%s:%d" % (ip, WORKER_PORT)
            self.agents.append(Program(AGENT, settings, self.folder_, record))
            options = worker_options(i) if worker_options else {}
            self.workers.append(
                Worker(ip, settings["listen"]["control"], "portal", self.jobs,
                       record, on_start or (lambda *arguments: None),
                       **options))

    @staticmethod
    def free_net_(machines):
        """Returns a part of the loopback range whose ports are free."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 220),
                                 random.randint(1, 250))
            try:
                for last in [2] + list(range(10, 10 + machines)) + list(
                    range(30, 30 + machines)
                ):
                    for port in (FRONT_PORT, READY_PORT, CONTROL_PORT,
                                 INTERNAL_PORTS[0], WORKER_PORT, STORE_PORT,
                                 9464):
                        with socket.socket() as probe:
                            probe.setsockopt(
                                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind(("%s.%d" % (net, last), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free ports")

    def settings_(self, kind, number, ip, seeds):
        return {
            "node": "%s-bagmati-a-%d" % (kind, number + 1),
            "role": "entry" if kind == "edge" else "agent",
            "machineClass": kind,
            "serves": ["edge", "control"] if kind == "edge" else ["side"],
            "ip": ip, "zone": "bagmati-a", "region": "bagmati",
            "zones": {"bagmati-a": "bagmati"},
            "internalPortRange": INTERNAL_PORTS,
            "seeds": seeds, "bootstrap": True, "countsLoss": False,
            "limits": {"cpuShare": 0.25 if kind == "edge" else 0.15,
                       "cores": 1,
                       "memoryMb": 260 if kind == "edge" else 128,
                       "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "local", "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "controlMode": "call", "advice": "",
            "platform": {"address": self.store.address, "form": "log",
                         "writesPerS": 800, "readsPerS": 2000},
            "cloud": {"address": "", "ratePerS": 60.0, "duties": []},
        }

    def start(self):
        for program in self.entries + self.agents:
            program.start()
        for worker in self.workers:
            worker.start(random.random() * 0.5)
        until = time.monotonic() + 15
        waiting = list(self.fronts)
        while waiting:
            waiting = [ip for ip in waiting if not self.is_ready(ip)]
            if time.monotonic() > until:
                raise CannotRun("entries are not ready: %s" % waiting)
            time.sleep(0.1)
        # Lets every entry learn of every worker.
        time.sleep(HEARTBEAT_MS / 1000 + 1.5)

    @staticmethod
    def is_ready(ip):
        try:
            connection = http.client.HTTPConnection(ip, READY_PORT, timeout=1)
            connection.request("GET", "/-/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def end(self):
        """Ends all processes; returns those that had ended by themselves."""
        ended = [program.name for program in self.entries + self.agents
                 if program.process_ and program.has_ended()]
        for program in self.entries + self.agents:
            program.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder_, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder_, ignore_errors=True)
        return ended


ROUTE = {
    "name": "r-checks", "host": "nony24.example", "pathPrefix": "/lohu930/",
    "kind": "non_idempotent", "timeoutMs": 60000, "targetRuntimeMs": 20000,
    "priority": 0, "service": "portal", "maxAttempts": 3, "stretch": 1.6,
}


def new_job():
    return "%016x" % random.getrandbits(64)


def call(record, ip, method, job, body=None, deadline_ms=1500, route=ROUTE,
         note=""):
    """Sends one request of a client; returns (status, body), (0, "") if none."""
    record.write("client: %s %s to %s%s" % (method, job, ip, note))
    status, answer = 0, ""
    connection = http.client.HTTPConnection(
        ip, FRONT_PORT, timeout=deadline_ms / 1000)
    try:
        connection.request(
            method, route["pathPrefix"] + job,
            json.dumps(body) if body is not None else None,
            {"Host": route["host"], "Content-Type": "application/json",
             "X-Deadline-Ms": str(deadline_ms)})
        response = connection.getresponse()
        status, answer = response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    record.write("client: %s %s to %s answered %d %s"
                 % (method, job, ip, status, answer))
    return status, answer


def make_job(work_ms, steps):
    """Returns the body of a job whose tasks each work for this long."""
    return {"spec": json.dumps({"workMs": work_ms}), "steps": steps,
            "bestEffort": True}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play):
    """Runs a case: 1 if play() returns violations, 0 if none, 2 on errors."""
    # With an exception, play() ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *arguments: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))
    record.write("disruption: %s" % ("yes" if has_trouble() else "no"))
    try:
        violations = play(record)
    except Exception as error:  # pylint: disable=broad-except
        record.write("cannot run: %r" % error)
        print("cannot run: %r" % error)
        return 2
    for violation in violations:
        record.write("VIOLATION %s" % violation)
    record.write("result: %d violations" % len(violations))
    print("%d violations%s" % (
        len(violations), ": " + violations[0] if violations else ""))
    return 1 if violations else 0
