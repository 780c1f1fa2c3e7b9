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

TEMPLATE = pathlib.Path("deploy/node.toml.template")
POLICY = "[policy]\n"
PARTS = {"whole day": "whole", "worst windows": "windows", "worst class": "class", "nines": "nines"}


def troubled(site):
    """Returns the names of the standard days that have faults."""
    days = tomllib.loads(pathlib.Path(site).read_text())["day"]
    return [day["name"] for day in days if day["slot"] != "quiet"]


def seeds(text):
    """Parses FROM-TO and returns the seeds, including both ends."""
    first, last = text.split("-")
    return range(int(first), int(last) + 1)


def play(args, day, seed):
    """Runs one day with one seed and returns the figures of the report."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [args.bench, "run", args.site, day, "--seed", str(seed), "--report", report.name, "--why", args.why]
        command += [] if args.cpu else ["--no-cpu"]
        run = subprocess.run(command, capture_output=True, text=True)
        try:
            found = json.loads(pathlib.Path(report.name).read_text())
        except json.JSONDecodeError:
            sys.exit(f"{day} seed {seed}: no report\n{run.stdout}{run.stderr}")
    parts = {PARTS[name]: value for name, _, value in found["parts"] if name in PARTS}
    # A price can be missing on a day; it then counts as 0.
    price_of = {name: price or 0.0 for name, _, price in found["prices"]}
    causes = {cause: count for cause, count, _ in found["unserved_by"]}
    return {
        "day": day,
        "seed": seed,
        "worth": found["G"],
        **parts,
        "prices": sum(price_of.values()),
        "price_of": {name: price for name, price in price_of.items() if price >= 0.0005},
        "unserved": 1e4 * found["unserved"],
        "unserved_by": causes,
        "tries": found["ends"],
        "windows_by": [(window["name"], window["worth"]) for window in found["windows"]],
        "breaks": sorted(found["breaks"]),
    }


def play_all(args, days, policy):
    """Runs each day with each seed. The lines of `policy` are under [policy] in the settings template meanwhile."""
    template = TEMPLATE.read_text()
    if policy and POLICY not in template:
        sys.exit(f"{TEMPLATE} has no [policy] table")
    try:
        if policy:
            TEMPLATE.write_text(template.replace(POLICY, POLICY + "".join(f"{line}\n" for line in policy)))
        subprocess.run([args.bench, "build"], check=True, capture_output=True)
        with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
            wanted = [(day, seed) for day in days for seed in args.seeds]
            return list(pool.map(lambda one: play(args, *one), wanted))
    finally:
        if policy:
            TEMPLATE.write_text(template)


def mean(values):
    """Returns the mean of the values, or 0 if there are none."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def difference(plays, before):
    """Returns the mean difference of worth over equal days and seeds, and its standard error."""
    old = {(play["day"], play["seed"]): play["worth"] for play in before}
    deltas = [play["worth"] - old[play["day"], play["seed"]] for play in plays if (play["day"], play["seed"]) in old]
    if len(deltas) < 2:
        return mean(deltas), float("nan")
    centre = mean(deltas)
    spread = math.sqrt(sum((delta - centre) ** 2 for delta in deltas) / (len(deltas) - 1))
    return centre, spread / math.sqrt(len(deltas))


def row(name, plays, before):
    """Prints one line of the table."""
    columns = [f"{mean(play.get(key, 0.0) for play in plays):6.3f}" for key in ["worth", *PARTS.values(), "prices"]]
    unserved = f"{mean(play['unserved'] for play in plays):8.1f}"
    tries = [f"{mean(play['tries'].get(status, 0) for play in plays):6.1f}" for status in ("502", "503", "504")]
    broken = sum(1 for play in plays if play["breaks"])
    change = "" if before is None else "  {:+.4f} ± {:.4f}".format(*difference(plays, before))
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
    days = args.days.split(",") if args.days else troubled(args.site)
    before = json.loads(pathlib.Path(args.against).read_text()) if args.against else None
    plays = play_all(args, days, args.set)
    print("day           worth  whole window  class  nines prices unserved    502    503    504  broken")
    for day in days:
        row(day, [found for found in plays if found["day"] == day], before)
    row("mean", plays, before)
    for found in plays:
        if found["breaks"]:
            print("broken:", found["day"], "seed", found["seed"], *found["breaks"])
    if args.out:
        pathlib.Path(args.out).write_text(json.dumps(plays))


if __name__ == "__main__":
    main()
