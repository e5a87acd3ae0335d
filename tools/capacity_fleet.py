"""Starts the real programs on loopback and measures their resource usage:
processor time, memory and control traffic.

Stops only the processes that it started, by pid. All traffic stays on loopback.
"""
import json
import os
import re
import subprocess
import tempfile
import time
import urllib.request

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024


class Child:
    """One process whose output goes to a file."""

    def __init__(self, binary, arguments):
        self.output = tempfile.NamedTemporaryFile("w+", delete=False)
        self.process = subprocess.Popen(
            [binary] + arguments, stdout=self.output, stderr=self.output)

    def wait_for_output(self, prefix):
        """Waits up to 20 s for the prefix in the output; returns the word after it."""
        for _ in range(400):
            with open(self.output.name) as text:
                found = re.search(re.escape(prefix) + r"(\S+)", text.read())
            if found:
                return found.group(1)
            time.sleep(0.05)
        raise RuntimeError(f"no {prefix!r} in {self.output.name}")

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/statm") as statm:
            return int(statm.read().split()[1]) * PAGE_KB / 1024

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.output.close()
        os.unlink(self.output.name)


class Fleet:
    """A log, two entries, and agents that share one backend server."""

    def __init__(self, binaries, agents, slots):
        self.children = []
        self.binaries = binaries
        log = self.start("fake-log", ["--address", "127.0.0.1:0"])
        self.log = log.wait_for_output("listening on ")
        backend = self.start(
            "fake-backend", ["--address", "127.0.0.1:0", "--slots", str(slots)])
        self.backend = backend.wait_for_output("listening on ")
        self.entries, self.http, self.peers = [], [], []
        for _ in range(2):
            self.start_entry()
        self.agents, self.agent_metrics = [], []
        for _ in range(agents):
            agent = self.start("greengage-agent", [
                "--backend-address", self.backend, "--seeds", ",".join(self.peers),
                "--peer-address", "127.0.0.1:0", "--metrics-address", "127.0.0.1:0",
                "--traffic-threads", "1"])
            self.agents.append(agent)
        for agent in self.agents:
            self.agent_metrics.append(agent.wait_for_output(" metrics="))
        self.wait_for_workers(agents)

    def start(self, program, arguments):
        child = Child(os.path.join(self.binaries, program), arguments)
        self.children.append(child)
        return child

    def start_entry(self):
        arguments = ["--http-address", "127.0.0.1:0", "--peer-address",
                     "127.0.0.1:0", "--log-address", self.log]
        if self.peers:
            arguments += ["--seeds", ",".join(self.peers)]
        entry = self.start("greengage-entry", arguments)
        self.entries.append(entry)
        self.http.append(entry.wait_for_output(" http="))
        self.peers.append(entry.wait_for_output(" peer="))

    def call(self, address, path, method="GET", body=None):
        request = urllib.request.Request(
            f"http://{address}{path}", method=method,
            data=body.encode() if body is not None else None)
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.read().decode()

    def wait_for_workers(self, count):
        """Waits up to a minute until both entries list all agents."""
        for _ in range(600):
            if all(self.call(http, "/v1/workers").count('"slots"') == count
                   for http in self.http):
                return
            time.sleep(0.1)
        raise RuntimeError("the entries do not list all agents")

    def owner_index(self):
        """Returns the index of the entry that owns the first shard."""
        status = json.loads(self.call(self.http[0], "/v1/status"))
        return self.peers.index(status["shards"][0]["address"])

    def control_bytes(self, address):
        """Returns the bytes of control messages sent and received over TCP."""
        total = 0.0
        for line in self.call(address, "/metrics").splitlines():
            if line.startswith('greengage_peer_bytes_total{class="control"'):
                total += float(line.rsplit(" ", 1)[1])
        return total

    def stop(self):
        for child in reversed(self.children):
            child.stop()


def measure_idle(binaries, sizes, seconds):
    """Measures the usage of each role without jobs, by number of agents."""
    points = []
    for size in sizes:
        fleet = Fleet(binaries, size, 8)
        try:
            time.sleep(8)
            owner = fleet.entries[fleet.owner_index()]
            owner_http = fleet.http[fleet.owner_index()]
            sample = fleet.agents[:10]
            before = ([a.cpu_seconds() for a in sample], owner.cpu_seconds(),
                      fleet.control_bytes(fleet.agent_metrics[0]),
                      fleet.control_bytes(owner_http))
            start = time.monotonic()
            time.sleep(seconds)
            elapsed = time.monotonic() - start
            agent_cpu = sum(a.cpu_seconds() - b for a, b in zip(sample, before[0]))
            points += [
                ("agent_idle_core", size, 100 * agent_cpu / len(sample) / elapsed, "%"),
                ("owner_idle_core", size,
                 100 * (owner.cpu_seconds() - before[1]) / elapsed, "%"),
                ("agent_memory", size, fleet.agents[0].memory_mb(), "MB"),
                ("owner_memory", size, owner.memory_mb(), "MB"),
                ("agent_control_tcp", size,
                 (fleet.control_bytes(fleet.agent_metrics[0]) - before[2]) / elapsed / 1024,
                 "KB/s"),
                ("owner_control_tcp", size,
                 (fleet.control_bytes(owner_http) - before[3]) / elapsed / 1024, "KB/s"),
            ]
        finally:
            fleet.stop()
    return points


def measure_load(binaries, rates, seconds):
    """Measures the processor time of each role, by tasks per second."""
    points = []
    fleet = Fleet(binaries, 11, 8)
    try:
        time.sleep(5)
        fleet.call(fleet.http[0], "/v1/templates/quote", "PUT",
                   '{"expected_run_time_ms":10}')
        fleet.call(fleet.http[0], "/v1/organisations/org", "PUT",
                   '{"max_queue_time_ms":60000}')
        time.sleep(1)
        owner_index = fleet.owner_index()
        for rate in rates:
            before = ([a.cpu_seconds() for a in fleet.agents],
                      [e.cpu_seconds() for e in fleet.entries])
            output = tempfile.NamedTemporaryFile(delete=False).name
            load = subprocess.run(
                [os.path.join(binaries, "greengage-load"), "--entries",
                 ",".join(fleet.http), "--rate", str(rate / 10), "--duration-ms",
                 str(int(seconds * 1000)), "--min-tasks", "10", "--max-tasks", "10",
                 "--run-time-shape", "fixed", "--run-time-ms", "10",
                 "--organisations", "org:1", "--templates", "quote:1",
                 "--output", output],
                capture_output=True, text=True)
            with open(output) as text:
                result = json.load(text)
            os.unlink(output)
            if load.returncode != 0:
                raise RuntimeError(load.stderr[-2000:])
            tasks = 10 * result["answers"]["none"] if "answers" in result else 0
            points += [
                ("agent_load_core", rate, 100 / seconds * sum(
                    a.cpu_seconds() - b for a, b in zip(fleet.agents, before[0])), "%"),
                ("owner_load_core", rate, 100 / seconds * (
                    fleet.entries[owner_index].cpu_seconds() - before[1][owner_index]), "%"),
                ("other_entry_load_core", rate, 100 / seconds * (
                    fleet.entries[1 - owner_index].cpu_seconds()
                    - before[1][1 - owner_index]), "%"),
            ]
    finally:
        fleet.stop()
    return points
