#!/usr/bin/env python3
"""Measures the latency that an entry adds to a single request on loopback.

  bench_latency.py BIN_FOLDER

The result is the median time of a request through an entry of an unloaded fleet
minus the median time of the same task sent directly to the backend server. The
two kinds of request alternate in the same run. Exits with 1 if the result exceeds
the target of section 1.8 of the design page.
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


def measure_request_ms(connection, path, body):
    """Sends a POST request and returns the time until the whole answer, in ms."""
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
        entry_times, direct_times = [], []
        for _ in range(REQUESTS):
            entry_times.append(measure_request_ms(entry, "/v1/requests", request))
            direct_times.append(measure_request_ms(backend, "/run", direct))
    finally:
        fleet.stop()
    added = statistics.median(entry_times) - statistics.median(direct_times)
    verdict = "ok" if added <= TARGET_MS else "short"
    print(f"bench unloaded_single_request_added_median {added:.3f} ms "
          f"bound <= {TARGET_MS:g} {verdict}")
    print(f"bench unloaded_single_request_total_p99 "
          f"{sorted(entry_times)[int(REQUESTS * 0.99)]:.3f} ms bound none ok")
    return 0 if added <= TARGET_MS else 1


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    sys.exit(main())
