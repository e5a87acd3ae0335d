#!/usr/bin/env python3
"""Latency that the system adds to an unloaded single request on loopback.

  bench_latency.py BIN_FOLDER

The median time of a request through an entry, less the median time of the same
task sent to the backend server directly, measured in turns in one run. Exits 1
if it is above the target of section 1.8 of the design page.
"""
import http.client
import json
import statistics
import sys
import time

import capacity_fleet

REQUESTS = 400
TARGET_MS = 1.0
JOB_ID = "01a240c0-fc48-7d40-a18b-42bf5c80806d"


def timed(connection, path, body):
    start = time.perf_counter()
    connection.request("POST", path, body)
    reply = connection.getresponse()
    reply.read()
    if reply.status != 200:
        sys.exit(f"{path} answered {reply.status}")
    return (time.perf_counter() - start) * 1000


def main():
    fleet = capacity_fleet.Fleet(sys.argv[1], 3, 8)
    try:
        time.sleep(4)
        fleet.call(fleet.http[0], "/v1/templates/quote", "PUT", "{}")
        fleet.call(fleet.http[0], "/v1/organisations/org", "PUT", "{}")
        time.sleep(1)
        entry = http.client.HTTPConnection(fleet.http[fleet.owner_index()])
        backend = http.client.HTTPConnection(fleet.backend)
        request = json.dumps({"organisation": "org", "template": "quote",
                              "payload": {"run_time_ms": 0}})
        direct = json.dumps({"organisation": "org", "job_id": JOB_ID, "task": 0,
                             "attempt": 0, "template": "quote",
                             "payload": {"run_time_ms": 0}})
        through, alone = [], []
        for _ in range(REQUESTS):
            through.append(timed(entry, "/v1/requests", request))
            alone.append(timed(backend, "/run", direct))
    finally:
        fleet.stop()
    added = statistics.median(through) - statistics.median(alone)
    verdict = "ok" if added <= TARGET_MS else "short"
    print(f"bench unloaded_single_request_added_median {added:.3f} ms "
          f"bound <= {TARGET_MS:g} {verdict}")
    print(f"bench unloaded_single_request_total_p99 "
          f"{sorted(through)[int(REQUESTS * 0.99)]:.3f} ms bound none ok")
    return 0 if added <= TARGET_MS else 1


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    sys.exit(main())
