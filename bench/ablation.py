#!/usr/bin/env python3
"""Runs the days of sites with one mechanism switched off at a time, and prints how much each mechanism adds to the score.

usage: bench/ablation.py BENCH SITE... [--seeds FROM-TO] [--jobs N] [--switches NAME,...] [--out FILE] --why TEXT

Each SITE is a site file, which describes a test deployment. The table has a column for each site and a row for each switch of
[policy], which docs/OPERATIONS.md lists. A cell has the mean difference of worth between the mechanism on and off, compared seed
by seed, and its standard error. The column "broken" counts the runs that broke a rule with the mechanism off. The days are the
standard ones that have faults, and they leave out processor time. --out writes all figures as JSON.
"""
import argparse
import json
import pathlib
import re
import types

import rounds

SWITCH_SOURCES = {
    "routing": (pathlib.Path("crates/staircross-routing/src/policy.rs"), "RoutingPolicy"),
    "node": (pathlib.Path("crates/staircross-gateway/src/settings.rs"), "NodePolicy"),
}


def policy_switches():
    """Returns all switches as keys under [policy]. They are the boolean fields of the policy structs in the Rust sources."""
    keys = []
    for table, (source, name) in SWITCH_SOURCES.items():
        body = re.search(rf"pub struct {name} {{(.*?)\n}}", source.read_text(), re.S).group(1)
        keys += [f"{table}.{field}" for field in re.findall(r"pub (\w+): bool", body)]
    return keys


def run_site(args, site, switch):
    """Runs the days of a site with one mechanism off, or with all on, and returns the figures."""
    why = args.why + (f": {switch} off" if switch else ": all on")
    options = types.SimpleNamespace(bench=args.bench, site=site, cpu=False, why=why, jobs=args.jobs, seeds=args.seeds)
    return rounds.run_days(options, rounds.days_with_faults(site), [f"{switch} = false"] if switch else [])


def main():
    """Runs all sites for each switch, and prints and writes the results after each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=rounds.seeds, default=range(1, 4))
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--switches")
    parser.add_argument("--out")
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    selected = args.switches.split(",") if args.switches else policy_switches()
    all_on = {site: run_site(args, site, None) for site in args.sites}
    runs_by_switch = {"all on": all_on}
    print("| off |", " | ".join(pathlib.Path(site).stem for site in args.sites), "| broken |")
    print("| --- |", " --- |" * (len(args.sites) + 1))
    for switch in selected:
        cells, broken_runs, runs_by_switch[switch] = [], 0, {}
        for site in args.sites:
            runs = run_site(args, site, switch)
            runs_by_switch[switch][site] = runs
            change, error = rounds.paired_difference(runs, all_on[site])
            cells.append(f"{-change:+.4f} ± {error:.4f}")
            broken_runs += sum(1 for run in runs if run["breaks"])
        print(f"| `{switch}` |", " | ".join(cells), f"| {broken_runs} |", flush=True)
        if args.out:
            pathlib.Path(args.out).write_text(json.dumps(runs_by_switch))


if __name__ == "__main__":
    main()
