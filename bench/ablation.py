#!/usr/bin/env python3
"""Plays the days of sites with one mechanism switched off at a time, and prints what each is worth.

usage: bench/ablation.py BENCH SITE... [--seeds FROM-TO] [--jobs N] [--switches NAME,...] [--out FILE] --why TEXT

A column a site, a row a switch of [policy] (docs/OPERATIONS.md): the mean difference of worth with the mechanism on, seed
by seed, with its standard error; "broken" counts days on which a rule was broken with it off. Days are the standard
ones with trouble, without processor time. --out keeps all figures as JSON.
"""
import argparse
import json
import pathlib
import re
import types

import rounds

SOURCES = {
    "routing": (pathlib.Path("crates/staircross-routing/src/policy.rs"), "RoutingPolicy"),
    "node": (pathlib.Path("crates/staircross-gateway/src/settings.rs"), "NodePolicy"),
}


def switches():
    """All switches, as keys under [policy]."""
    found = []
    for table, (source, name) in SOURCES.items():
        body = re.search(rf"pub struct {name} {{(.*?)\n}}", source.read_text(), re.S).group(1)
        found += [f"{table}.{field}" for field in re.findall(r"pub (\w+): bool", body)]
    return found


def played(args, site, off):
    """The plays of a site with a mechanism off, or with all on."""
    why = args.why + (f": {off} off" if off else ": all on")
    options = types.SimpleNamespace(bench=args.bench, site=site, cpu=False, why=why, jobs=args.jobs, seeds=args.seeds)
    return rounds.play_all(options, rounds.troubled(site), [f"{off} = false"] if off else [])


def main():
    """Plays and prints row by row."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=rounds.seeds, default=range(1, 4))
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--switches")
    parser.add_argument("--out")
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    wanted = args.switches.split(",") if args.switches else switches()
    all_on = {site: played(args, site, None) for site in args.sites}
    kept = {"all on": all_on}
    print("| off |", " | ".join(pathlib.Path(site).stem for site in args.sites), "| broken |")
    print("| --- |", " --- |" * (len(args.sites) + 1))
    for off in wanted:
        cells, broken, kept[off] = [], 0, {}
        for site in args.sites:
            plays = played(args, site, off)
            kept[off][site] = plays
            change, error = rounds.difference(plays, all_on[site])
            cells.append(f"{-change:+.4f} ± {error:.4f}")
            broken += sum(1 for play in plays if play["breaks"])
        print(f"| `{off}` |", " | ".join(cells), f"| {broken} |", flush=True)
        if args.out:
            pathlib.Path(args.out).write_text(json.dumps(kept))


if __name__ == "__main__":
    main()
