#!/usr/bin/env python3
"""Measures the inputs of docs/CAPACITY.md, or checks the values derived from them.

  capacity.py measure BIN_FOLDER   prints the tables of the page
  capacity.py check PAGE           recomputes the table of derived values
"""
import re
import subprocess
import sys

# Design sizes, section 1.6 of the design page. STARTS is per second, fleet-wide.
WORKERS = 1000
STARTS = 53_000
REGIONS = 2
SHARDS = 2
JOB_RETENTION_S = 600
CHANGES_PER_DAY = 3000
FAILED_PER_DAY = 6
RESTARTED_PER_DAY = 61
TASKS_PER_JOB = 100
MEMBERS = 3
DOCUMENTS = 200
HALF_RETENTION_DAYS = 3.5
TOLERANCE = 0.01

# Name: (unit of x, unit of y). The inputs are the slope per x and the value at x = 0.
SLOPES = {
    "agent_idle_core": ("agents", "%"),
    "owner_idle_core": ("agents", "%"),
    "agent_memory": ("agents", "MB"),
    "owner_memory": ("agents", "MB"),
    "agent_control_tcp": ("agents", "KB/s"),
    "owner_control_tcp": ("agents", "KB/s"),
    "agent_load_core": ("tasks/s", "%"),
    "owner_load_core": ("tasks/s", "%"),
    "other_entry_load_core": ("tasks/s", "%"),
    "owner_time_per_task": ("agents", "us"),
    "owner_memory_by_workers": ("agents", "KiB"),
    "owner_memory_by_tasks_remembered": ("tasks", "KiB"),
    "ledger_memory_by_tasks_remembered": ("tasks", "KiB"),
    "start_message_bytes_by_tasks": ("tasks", "B"),
    "result_message_bytes_by_tasks": ("tasks", "B"),
    "member_bytes": ("members", "KiB/s"),
    "member_time": ("members", "us/s"),
    "member_memory": ("members", "KiB"),
}


def fit(points):
    """Fits a line by least squares; returns (slope, intercept, largest residual)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, residual


def derive(inputs):
    """Returns rows (name, formula, value, unit, bound or None) at the design size."""

    def at(name, x):
        slope, intercept = inputs[name]
        return slope * x + intercept

    def slope(name):
        return inputs[name][0]

    starts_per_agent = STARTS / WORKERS
    starts_per_region = STARTS / REGIONS
    workers_per_region = WORKERS / REGIONS
    retained_tasks_per_agent = starts_per_agent * JOB_RETENTION_S
    member_core = at("member_time", WORKERS) / 1e6 * 100
    hosts_per_day = FAILED_PER_DAY + RESTARTED_PER_DAY
    groups_per_day = hosts_per_day * SHARDS * MEMBERS / WORKERS
    records_per_day = (CHANGES_PER_DAY + 2 * groups_per_day
                       + DOCUMENTS / HALF_RETENTION_DAYS)
    return [
        ("agent control processor", "agent_idle_core(10) + member_time(1000)",
         at("agent_idle_core", 10) + member_core, "% of a core", 1.0),
        ("agent control bytes", "agent_control_tcp(0) + member_bytes(1000)",
         inputs["agent_control_tcp"][1] + at("member_bytes", WORKERS), "KB/s", 29.0),
        ("agent memory", "agent_memory(0) + member_memory(1000) + "
         "ledger_memory_by_tasks_remembered(53 x 600)",
         inputs["agent_memory"][1] + at("member_memory", WORKERS) / 1024
         + at("ledger_memory_by_tasks_remembered", retained_tasks_per_agent) / 1024,
         "MB", 64.0),
        ("agent processor for tasks", "slope of agent_load_core x 53",
         slope("agent_load_core") * starts_per_agent, "% of a core", None),
        ("owner control processor", "owner_idle_core(500) + member_time(1000)",
         at("owner_idle_core", workers_per_region) + member_core, "% of a core", 1.0),
        ("owner control bytes", "owner_control_tcp(500) + member_bytes(1000)",
         at("owner_control_tcp", workers_per_region) + at("member_bytes", WORKERS),
         "KB/s", 29.0),
        ("owner memory without jobs", "owner_memory(500) + member_memory(1000)",
         at("owner_memory", workers_per_region) + at("member_memory", WORKERS) / 1024,
         "MB", 64.0),
        ("owner memory of ended jobs, unbounded",
         "slope of owner_memory_by_tasks_remembered x 26,500 x 600",
         slope("owner_memory_by_tasks_remembered") * starts_per_region
         * JOB_RETENTION_S / 1024, "MB", None),
        ("owner decisions", "owner_time_per_task(500) x 26,500",
         at("owner_time_per_task", workers_per_region) * starts_per_region / 1e6 * 100,
         "% of the control thread", 100.0),
        ("owner processor for tasks", "slope of owner_load_core x 26,500",
         slope("owner_load_core") * starts_per_region, "% of a core", None),
        ("other entry processor for tasks",
         "slope of other_entry_load_core x 26,500",
         slope("other_entry_load_core") * starts_per_region, "% of a core", None),
        ("job traffic of an owner",
         "(start_message_bytes_by_tasks(1) + result_message_bytes_by_tasks(1)) "
         "x 26,500",
         (at("start_message_bytes_by_tasks", 1)
          + at("result_message_bytes_by_tasks", 1)) * starts_per_region / 1024 / 1024,
         "MB/s", None),
        ("log appends on an ordinary day",
         "3,000 + 2 x 67 x 2 x 3 / 1000 + 200 / 3.5", records_per_day,
         "records", None),
        ("log appends, daily mean", "records a day / 86,400",
         records_per_day / 86_400, "appends/s", 300.0),
        ("log appends, worst hour",
         "3,000 / 24 x 10 + 2 x 2 x 4", CHANGES_PER_DAY / 24 * 10 + 2 * SHARDS * 4,
         "records", 300.0 * 3600),
    ]


def verdict(value, bound):
    if bound is None:
        return "no bound"
    return "ok" if value <= bound else "short"


def print_inputs(points):
    print("| input | points (x: value) | slope per x | at x = 0 | largest residual |")
    print("| --- | --- | --- | --- | --- |")
    inputs = {}
    for name, (unit_x, unit_y) in SLOPES.items():
        slope, intercept, residual = fit(points[name])
        # The page shows rounded inputs; the derived values are computed from these.
        inputs[name] = (float(f"{slope:.4g}"), float(f"{intercept:.4g}"))
        shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points[name])
        print(f"| `{name}` | {shown} | {slope:.4g} {unit_y} per {unit_x} "
              f"| {intercept:.4g} {unit_y} | {residual:.3g} |")
    return inputs


def print_derived(inputs):
    print("| figure | from | value | bound | verdict |")
    print("| --- | --- | --- | --- | --- |")
    for name, formula, value, unit, bound in derive(inputs):
        shown = "none" if bound is None else f"{bound:g}"
        print(f"| {name} | {formula} | {value:.4g} {unit} | {shown} "
              f"| {verdict(value, bound)} |")


def measure(binaries):
    import capacity_fleet
    points = {}
    output = subprocess.run([f"{binaries}/capacity_bench"], check=True,
                            capture_output=True, text=True).stdout
    rows = [line.split()[1:4] for line in output.splitlines()
            if line.startswith("point ")]
    rows += [row[:3] for row in capacity_fleet.measure_idle(
        binaries, [10, 30, 100, 200], 10)]
    rows += [row[:3] for row in capacity_fleet.measure_load(
        binaries, [200, 500, 1000, 2000], 6)]
    for name, x, value in rows:
        points.setdefault(name, []).append((float(x), float(value)))
    inputs = print_inputs(points)
    print()
    print_derived(inputs)


def cells(line):
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def check(page):
    inputs, stated = {}, {}
    with open(page) as text:
        for line in text:
            row = cells(line) if line.startswith("|") else []
            if len(row) != 5:
                continue
            name = row[0].strip("`")
            if name in SLOPES:
                inputs[name] = (float(row[2].split()[0]), float(row[3].split()[0]))
            else:
                stated[name] = row
    missing = set(SLOPES) - set(inputs)
    if missing:
        print(f"inputs missing in {page}: {sorted(missing)}")
        return 1
    wrong = 0
    for name, _, value, unit, bound in derive(inputs):
        if name not in stated:
            print(f"figure missing: {name}")
            wrong += 1
            continue
        number = float(re.match(r"[-0-9.e+]+", stated[name][2]).group(0))
        if abs(number - value) > TOLERANCE * max(abs(value), 1e-9):
            print(f"{name}: the page states {number:g}, its inputs give {value:.4g} {unit}")
            wrong += 1
        if stated[name][4] != verdict(value, bound):
            print(f"{name}: the page states the verdict {stated[name][4]}, "
                  f"correct is {verdict(value, bound)}")
            wrong += 1
    print(f"{len(stated)} figures read, {wrong} wrong")
    return 1 if wrong else 0


if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] not in ("measure", "check"):
        sys.exit(__doc__)
    if sys.argv[1] == "measure":
        measure(sys.argv[2])
    else:
        sys.exit(check(sys.argv[2]))
