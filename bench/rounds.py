#!/usr/bin/env python3
"""Runs days of a site with several seeds, and compares the results with those of an earlier run, seed by seed.

usage: bench/rounds.py BENCH SITE [--days NAME,...] [--seeds FROM-TO] [--jobs N] [--cpu] [--out FILE]
                       [--against FILE] [--set KEY=VALUE ...] --why TEXT

SITE is a site file, which describes a test deployment. Every standard day with faults, or each of the named days, runs once with
each seed. The runs leave out processor time (--no-cpu of BENCH) unless --cpu is given. The table has one row per day with means
over the seeds: the worth of the score, its parts, and the requests that were not served per ten thousand. The last column counts
the runs that broke a rule. --out writes the figures of each run as JSON. --against reads such a file and adds the mean difference
of worth per day, with its standard error over the seeds. --set writes KEY=VALUE under [policy] in the settings template during
these runs, to switch a mechanism off.
"""
import argparse
import concurrent.futures
import json
import math
import pathlib
import subprocess
import sys
import tempfile
import tomllib

SETTINGS_TEMPLATE = pathlib.Path("deploy/node.toml.template")
POLICY_HEADER = "[policy]\n"
PART_KEYS = {"whole day": "whole", "worst windows": "windows", "worst class": "class", "nines": "nines"}


def days_with_faults(site):
    """Returns the names of the standard days that have faults."""
    days = tomllib.loads(pathlib.Path(site).read_text())["day"]
    return [day["name"] for day in days if day["slot"] != "quiet"]


def seeds(text):
    """Parses FROM-TO and returns the seeds, including both ends."""
    first, last = text.split("-")
    return range(int(first), int(last) + 1)


def run_day(args, day, seed):
    """Runs one day with one seed and returns the figures of the report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report_file:
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--report", report_file.name, "--why", args.why]
        command += [] if args.cpu else ["--no-cpu"]
        completed = subprocess.run(command, capture_output=True, text=True)
        try:
            report = json.loads(pathlib.Path(report_file.name).read_text())
        except json.JSONDecodeError:
            sys.exit(f"{day} seed {seed}: no report\n{completed.stdout}{completed.stderr}")
    parts = {PART_KEYS[name]: value for name, _, value in report["parts"] if name in PART_KEYS}
    # A price can be missing on a day; it then counts as 0.
    price_of = {name: price or 0.0 for name, _, price in report["prices"]}
    causes = {cause: count for cause, count, _ in report["unserved_by"]}
    return {
        "day": day,
        "seed": seed,
        "worth": report["G"],
        **parts,
        "prices": sum(price_of.values()),
        "price_of": {name: price for name, price in price_of.items() if price >= 0.0005},
        "unserved": 1e4 * report["unserved"],
        "unserved_by": causes,
        "tries": report["ends"],
        "windows_by": [(window["name"], window["worth"]) for window in report["windows"]],
        "breaks": sorted(report["breaks"]),
    }


def run_days(args, days, policy):
    """Runs each day with each seed. The lines of `policy` are under [policy] in the settings template meanwhile."""
    template = SETTINGS_TEMPLATE.read_text()
    if policy and POLICY_HEADER not in template:
        sys.exit(f"{SETTINGS_TEMPLATE} has no [policy] table")
    try:
        if policy:
            SETTINGS_TEMPLATE.write_text(template.replace(POLICY_HEADER, POLICY_HEADER + "".join(f"{line}\n" for line in policy)))
        subprocess.run([args.bench, "build"], check=True, capture_output=True)
        with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
            days_and_seeds = [(day, seed) for day in days for seed in args.seeds]
            return list(pool.map(lambda day_and_seed: run_day(args, *day_and_seed), days_and_seeds))
    finally:
        if policy:
            SETTINGS_TEMPLATE.write_text(template)


def mean(values):
    """Returns the mean of the values, or 0 if there are none."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def paired_difference(runs, before):
    """Returns the mean difference of worth over equal days and seeds, and its standard error."""
    worth_before = {(run["day"], run["seed"]): run["worth"] for run in before}
    deltas = [run["worth"] - worth_before[run["day"], run["seed"]] for run in runs if (run["day"], run["seed"]) in worth_before]
    if len(deltas) < 2:
        return mean(deltas), float("nan")
    mean_delta = mean(deltas)
    spread = math.sqrt(sum((delta - mean_delta) ** 2 for delta in deltas) / (len(deltas) - 1))
    return mean_delta, spread / math.sqrt(len(deltas))


def print_row(name, runs, before):
    """Prints one line of the table."""
    columns = [f"{mean(run.get(key, 0.0) for run in runs):6.3f}" for key in ["worth", *PART_KEYS.values(), "prices"]]
    unserved = f"{mean(run['unserved'] for run in runs):8.1f}"
    tries = [f"{mean(run['tries'].get(status, 0) for run in runs):6.1f}" for status in ("502", "503", "504")]
    broken = sum(1 for run in runs if run["breaks"])
    change = "" if before is None else "  {:+.4f} ± {:.4f}".format(*paired_difference(runs, before))
    print(f"{name:12}", *columns, unserved, *tries, f"{broken:7}{change}")


def main():
    """Runs the days, prints the table and writes the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days")
    parser.add_argument("--seeds", type=seeds, default=range(1, 6))
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--out")
    parser.add_argument("--against")
    parser.add_argument("--set", action="append", default=[], metavar="KEY=VALUE")
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    days = args.days.split(",") if args.days else days_with_faults(args.site)
    before = json.loads(pathlib.Path(args.against).read_text()) if args.against else None
    runs = run_days(args, days, args.set)
    print("day           worth  whole window  class  nines prices unserved    502    503    504  broken")
    for day in days:
        print_row(day, [run for run in runs if run["day"] == day], before)
    print_row("mean", runs, before)
    for run in runs:
        if run["breaks"]:
            print("broken:", run["day"], "seed", run["seed"], *run["breaks"])
    if args.out:
        pathlib.Path(args.out).write_text(json.dumps(runs))


if __name__ == "__main__":
    main()
