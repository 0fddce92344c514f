#!/usr/bin/env python3
"""Plays days of a deployment on the users' bench with several seeds and prints the worth.

    scripts/measure.py --bench PROGRAM --out after.json SITE DAY... [--seeds 10] [--against before.json]

Each run goes into the output file, so that a later measurement on the same seeds can be
compared with it run by run (--against). Figures are means with standard errors.
"""

import argparse
import collections
import concurrent.futures
import json
import math
import os
import subprocess
import sys
import tempfile


MIN_PRICE = 0.01  # prices whose mean is below this part of the worth aren't printed


def play(args, day, seed):
    """Plays one day and returns the bench's report, or None if the bench failed."""
    with tempfile.TemporaryDirectory() as directory:
        path = os.path.join(directory, "report.json")
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--jobs", "1",
                   "--report", path, "--why", args.why]
        command += (["--no-cpu"] if args.no_cpu else []) + (["--small"] if args.small else [])
        # The bench returns a failure for a day that breaks a rule, but writes its report.
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if not os.path.exists(path):
            print(f"{day} seed {seed}: no report\n{done.stdout[-2000:]}{done.stderr[-2000:]}", file=sys.stderr)
            return None
        with open(path, encoding="utf-8") as file:
            return json.load(file)


def summary(report):
    """Returns what is compared of one report."""
    engines = max(report["services"], key=lambda s: s["arrivals"])
    return {
        "worth": report["G"], "served": report["served"], "failed": report["unserved"],
        "broken": report["breaks"], "short": report["short"],
        "parts": {name: value for name, _, value in report["parts"]},
        "prices": {name: cost for name, _, cost in report["prices"] if cost},
        "kinds": {row["name"]: [row["worth"], row["n"], row["in_aim"], row["late"], row["failed"], row["p50_ms"]]
                  for row in report["classes"]},
        "windows": {row["name"]: row["worth"] for row in report["windows"]},
        "ends": report["ends"], "busiest": engines["busiest_x"], "again": engines["again"],
        "hint": next((line for line in report["hints"] if "prompt tokens read" in line), ""),
    }


def mean_error(values):
    """Returns the mean and its standard error."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    return mean, math.sqrt(sum((v - mean) ** 2 for v in values) / (len(values) - 1) / len(values))


def row(label, values):
    mean, error = mean_error(values)
    return f"{label:<34} {mean:7.4f} ± {error:.4f}   {min(values):7.3f} {max(values):7.3f}  n={len(values)}"


def mean_table(runs, field):
    """Returns the means of a table of the runs by its key."""
    sums = collections.defaultdict(list)
    for run in runs:
        for name, value in run[field].items():
            sums[name].append(value[0] if isinstance(value, list) else value)
    return {name: sum(values) / len(runs) for name, values in sums.items()}


def show(runs, days):
    print(f"{'worth':<34} {'mean':>7}   {'error':>6}   {'least':>7} {'most':>7}")
    for day in days:
        of_day = [r["worth"] for key, r in runs.items() if key.split()[0] == day]
        if of_day:
            print(row(day, of_day))
    every = list(runs.values())
    print(row("all", [r["worth"] for r in every]))
    print(row("served, whole day", [r["served"] for r in every]))
    print(row("busiest server / mean", [r["busiest"] for r in every]))
    for field in ("parts", "kinds", "ends"):
        print(f"\n{field}: " + ", ".join(f"{k} {v:.3f}" for k, v in sorted(mean_table(every, field).items())))
    prices = sorted(mean_table(every, "prices").items(), key=lambda item: -abs(item[1]))
    print("\nprices: " + ", ".join(f"{k} {v:.4f}" for k, v in prices if abs(v) >= MIN_PRICE))
    for day in days:
        windows = mean_table([r for key, r in runs.items() if key.split()[0] == day] or every, "windows")
        print(f"\n{day}, worth from second: " + " ".join(f"{k}:{v:.2f}" for k, v in sorted(windows.items(), key=lambda i: int(i[0]))))
    for key, run in runs.items():
        if run["broken"] or run["short"]:
            print(f"\n{key}: broken {run['broken']}, short of {run['short']}")


def compare(runs, before):
    common = [key for key in runs if key in before]
    if not common:
        return
    print(f"\ndifference to the earlier runs, {len(common)} pairs")
    print(row("worth", [runs[k]["worth"] - before[k]["worth"] for k in common]))
    for field in ("parts", "kinds"):
        for name in sorted(runs[common[0]][field]):
            def value(run):
                found = run[field][name]
                return found[0] if isinstance(found, list) else found
            print(row("  " + name, [value(runs[k]) - value(before[k]) for k in common]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("days", nargs="+")
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--out", required=True, help="file for the results of the runs")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds for each day")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3, help="days played at once")
    parser.add_argument("--no-cpu", action="store_true", help="charge no processor time")
    parser.add_argument("--small", action="store_true", help="play the small twins of large days")
    parser.add_argument("--against", help="results to compare with, run by run")
    parser.add_argument("--why", default="measure worth over several seeds", help="a line for the bench's journal")
    args = parser.parse_args()

    runs, failed = {}, 0
    todo = [(day, seed) for seed in range(args.first_seed, args.first_seed + args.seeds) for day in args.days]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for (day, seed), report in zip(todo, pool.map(lambda run: play(args, *run), todo)):
            if report is None:
                failed += 1
                continue
            runs[f"{day} {seed}"] = summary(report)
    with open(args.out, "w", encoding="utf-8") as file:
        json.dump(runs, file, indent=1, sort_keys=True)
    if runs:
        show(runs, args.days)
    if args.against and runs:
        with open(args.against, encoding="utf-8") as file:
            compare(runs, json.load(file))
    if failed:
        sys.exit(f"{failed} runs without a report")


if __name__ == "__main__":
    main()
