#!/usr/bin/env python3
"""Runs one day for each kind of fault or planned change on a site, and prints a table.

usage: bench/kinds.py BENCH SITE [--pair KIND] [--jobs N] [--why TEXT] [--only KIND,...] [--seed N] [--keep FOLDER]

SITE is a site file, which describes a test deployment. Each day has only entries of one kind. It is written to a file, run with
BENCH and deleted. A row of the table has the kind, the broken rules or the fault that BENCH reports, the share of the requests that
were served, and the worth of the score. The days depend only on the lists below and the seed, so they can be run
again. --keep FOLDER keeps their files. --pair KIND adds one entry of another kind to each day.
"""
import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import tempfile

# Tables of a day file.
PLAN = "plan"
FAULT = "faults"
# Each item has a label, the table that the entry belongs to, and the fields of the entry besides `kind` and `at`. The label is the
# kind, followed by a hyphen and the name of the variant if there is one.
KINDS = [
    ("burst", FAULT, "x = 1.9, for_s = 4.0"),
    ("give_up", FAULT, "share = 0.3, for_s = 6.0"),
    ("retry_abuse", FAULT, "share = 0.4, x = 3, for_s = 6.0"),
    ("srv_crash", FAULT, "share = 0.15, for_s = 5.0"),
    ("srv_crash-dark", FAULT, "share = 0.15, for_s = 5.0, how = \"dark\""),
    ("srv_crash-gone", FAULT, "share = 0.15, how = \"gone\""),
    ("srv_crash-across", FAULT, "share = 0.2, for_s = 5.0, how = \"across\""),
    ("srv_slow", FAULT, "share = 0.2, x = 8.0, for_s = 8.0"),
    ("srv_slow-across", FAULT, "share = 0.2, x = 12.0, for_s = 8.0, how = \"across\""),
    ("srv_grey-errors", FAULT, "share = 0.15, x = 0.4, for_s = 6.0, how = \"errors\""),
    ("srv_grey-shed", FAULT, "share = 0.15, x = 0.4, for_s = 6.0, how = \"shed\""),
    ("srv_grey-busy", FAULT, "share = 0.15, x = 0.4, for_s = 6.0, how = \"busy\""),
    ("srv_grey-hang", FAULT, "share = 0.15, x = 0.4, for_s = 6.0, how = \"hang\""),
    ("srv_grey-reset", FAULT, "share = 0.15, x = 0.4, for_s = 6.0, how = \"reset\""),
    ("srv_grey-mute", FAULT, "share = 0.15, x = 0.4, for_s = 6.0, how = \"mute\""),
    ("srv_grey-slow", FAULT, "share = 0.15, x = 8, for_s = 6.0, how = \"slow\""),
    ("srv_grey-errors-across", FAULT, "share = 0.11, x = 0.45, for_s = 6.0, how = \"errors across\""),
    ("srv_grey-hang-across", FAULT, "share = 0.11, x = 0.45, for_s = 6.0, how = \"hang across\""),
    ("srv_grey-mute-across", FAULT, "share = 0.11, x = 0.45, for_s = 6.0, how = \"mute across\""),
    ("srv_lying_health-errors", FAULT, "share = 0.15, for_s = 6.5, how = \"errors\""),
    ("srv_lying_health-hang", FAULT, "share = 0.15, for_s = 6.5, how = \"hang\""),
    ("srv_lying_health-reset", FAULT, "share = 0.15, for_s = 6.5, how = \"reset\""),
    ("srv_lying_health-bad", FAULT, "share = 0.3, for_s = 6.5, how = \"bad\""),
    ("srv_flap", FAULT, "share = 0.15, gap_s = 1.4, for_s = 6.5"),
    ("srv_cut", FAULT, "share = 0.2, for_s = 6.0"),
    ("srv_cut-some", FAULT, "share = 0.2, x = 0.3, for_s = 6.0, how = \"some\""),
    ("srv_cut-one_way", FAULT, "share = 0.2, for_s = 6.0, how = \"one_way\""),
    ("srv_cut-reset", FAULT, "share = 0.2, for_s = 6.0, how = \"reset\""),
    ("evacuate", PLAN, "for_s = 8.0"),
    ("evacuate-warm", PLAN, "for_s = 8.0, how = \"warm\""),
    ("cold_return", FAULT, "for_s = 4.0"),
    ("cold_return-dark", FAULT, "for_s = 4.0, how = \"dark\""),
    ("zone_loss", FAULT, "for_s = 5.0"),
    ("zone_cut", FAULT, "for_s = 6.0"),
    ("srv_cut-fronts", FAULT, "share = 0.2, for_s = 6.0, how = \"fronts\""),
    ("srv_crash-all", FAULT, "share = 0.03, for_s = 4.5, how = \"all\""),
    ("idle_race", FAULT, "share = 0.5, x = 320.0, for_s = 6.5"),
    ("shift", FAULT, "share = 0.5, for_s = 6.5"),
    ("platform_down-busy-lapse", FAULT, "for_s = 4.0, how = \"busy lapse\""),
    ("platform_down-silent-lapse", FAULT, "for_s = 4.0, how = \"silent lapse\""),
    ("platform_down-nodes", FAULT, "for_s = 6.0, how = \"nodes\""),
    ("platform_down-nodes-busy", FAULT, "for_s = 6.0, how = \"nodes busy\""),
    ("platform_down-nodes-many", FAULT, "for_s = 6.0, how = \"nodes many\""),
    ("answer_lost", FAULT, "share = 0.5, x = 0.05, for_s = 6.0"),
    ("answer_lost-reset", FAULT, "share = 0.5, x = 0.05, for_s = 6.0, how = \"reset\""),
    ("garble", FAULT, "share = 0.5, x = 0.04, for_s = 6.0"),
    ("garble-extra", FAULT, "share = 0.5, x = 0.04, for_s = 6.0, how = \"extra\""),
    ("garble-extra-late", FAULT, "share = 0.6, x = 0.04, for_s = 6.0, how = \"extra late\""),
    ("garble-unframed", FAULT, "share = 0.5, x = 0.05, for_s = 6.0, how = \"unframed\""),
    ("garble-early", FAULT, "share = 0.5, x = 0.05, for_s = 6.0, how = \"early\""),
    ("node_kill", FAULT, "share = 0.3"),
    ("node_kill-power", FAULT, "share = 0.3, for_s = 5.0, how = \"power\""),
    ("node_kill-leader", FAULT, "on = \"core\", count = 1, for_s = 3.5, how = \"power leader meet\""),
    ("node_freeze", FAULT, "share = 0.3, for_s = 4.0"),
    ("node_slow", FAULT, "share = 0.4, x = 5, for_s = 8.0"),
    ("roll_term", PLAN, "share = 1.0, x = 1.0, gap_s = 1.5"),
    ("roll_term-busy", PLAN, "share = 0.6, x = 1.0, gap_s = 1.2, how = \"busy\""),
    ("roll_term-remove", PLAN, "share = 0.3, x = 1.0, gap_s = 1.5, how = \"remove\""),
    ("herd_kill", FAULT, "share = 0.6"),
    ("herd_kill-power", FAULT, "share = 0.6, for_s = 4.0, how = \"power\""),
    ("herd_kill-core-off", FAULT, "on = \"core\", how = \"off\", for_s = 2.0"),
    ("add_nodes", PLAN, "share = 1.0"),
    ("after_ack_kill", FAULT, "for_s = 3.0"),
    ("after_ack_kill-timed", FAULT, "for_s = 3.0, how = \"timed\""),
    ("clock_step-back", FAULT, "share = 0.5, x = 3000, for_s = 6.0, how = \"back\""),
    ("clock_step-ahead", FAULT, "share = 0.5, x = 3000, for_s = 6.0, how = \"ahead\""),
    ("hup", PLAN, "share = 1.0, gap_s = 2.0"),
    ("core_cut", FAULT, "count = 1, for_s = 6.0"),
    ("core_cut-leader-refuse", FAULT, "count = 2, for_s = 6.0, how = \"leader refuse\""),
    ("core_cut-all", FAULT, "count = 1, for_s = 6.0, how = \"all\""),
    ("core_cut-one_way", FAULT, "count = 1, for_s = 6.0, how = \"one_way\""),
    ("node_cut", FAULT, "share = 0.2, for_s = 6.0"),
    ("node_cut-all", FAULT, "share = 0.2, for_s = 6.0, how = \"all\""),
    ("node_cut-servers", FAULT, "share = 0.2, for_s = 6.0, how = \"servers\""),
    ("lossy", FAULT, "x = 0.05, for_s = 6.0"),
    ("reset_conns", FAULT, "share = 0.4, x = 0.5"),
    ("platform_down-silent", FAULT, "for_s = 6.0, how = \"silent\""),
    ("platform_down-busy", FAULT, "for_s = 6.0, how = \"busy\""),
    ("platform_down-reset", FAULT, "for_s = 6.0, how = \"reset\""),
    ("platform_slow", FAULT, "x = 60.0, for_s = 6.0"),
    ("platform_lost", FAULT, "x = 0.35, for_s = 6.0"),
    ("platform_lost-late", FAULT, "x = 0.35, for_s = 6.0, how = \"late\""),
    ("platform_compact", FAULT, "x = 5.0, for_s = 10.0"),
    ("platform_compact-drain", FAULT, "x = 5.0, for_s = 10.0, how = \"drain\""),
    ("config_change-route", PLAN, "how = \"route\""),
    ("config_change-weights", PLAN, "how = \"weights\""),
    ("config_change-timeout", PLAN, "how = \"timeout\""),
    ("config_change-idle", PLAN, "how = \"idle\""),
    ("config_storm", PLAN, "for_s = 4.0, gap_s = 0.15"),
    ("big_config", PLAN, "count = 400"),
    ("big_config-1800", PLAN, "count = 1800"),
    ("reshard", PLAN, "x = 3.0"),
    ("release", PLAN, "share = 0.5, x = 1.0, gap_s = 1.0"),
    ("replace_with_reuse", FAULT, "share = 0.2"),
    ("replace_with_reuse-drain", FAULT, "share = 0.2, how = \"drain\""),
    ("replace_with_reuse-dark", FAULT, "share = 0.2, how = \"dark\""),
    ("scale_out", PLAN, "share = 0.3, gap_s = 3.0"),
    ("scale_in", PLAN, "share = 0.15"),
    ("scale_in-spot", PLAN, "share = 0.15, how = \"spot\""),
]
# Times of the entries of a day in seconds: early, in the middle, and once more in the last seconds.
TIMES = [1.0, 12.0, 26.0]


def toml_entry(label, fields, at):
    """Returns one entry of a day file as inline TOML."""
    kind = label.split("-")[0]
    return f'{{ kind = "{kind}", at = {at}, {fields} }}'


def day_toml(label, table, fields, pair, seed):
    """Returns the day file of one kind."""
    entries = {PLAN: [], FAULT: []}
    # These kinds happen once a day: adding machines, resharding, a big configuration and the loss of many machines at once.
    times = TIMES[1:2] if label.split("-")[0] in ("add_nodes", "reshard", "big_config", "herd_kill") else TIMES
    for at in times:
        entries[table].append(toml_entry(label, fields, at))
    if pair:
        pair_label, pair_table, pair_fields = next(kind for kind in KINDS if kind[0] == pair)
        entries[pair_table].append(toml_entry(pair_label, pair_fields, 11.5))
    lines = ["[[day]]", f'name = "{label}"', 'slot = "trouble"', f"seed = {seed}"]
    for name, rows in entries.items():
        lines.append(f"{name} = [")
        lines += [f"  {row}," for row in rows]
        lines.append("]")
    return "\n".join(lines) + "\n"


def run_bench(bench, site, path, why):
    """Runs the day in a file and returns what the bench prints."""
    command = [bench, "run", site, str(path), "--why", why]
    output = subprocess.run(command, capture_output=True, text=True, check=False).stdout
    return output


def table_columns(output, label):
    """Returns the columns of a table row from the output of the bench."""
    row = re.search(r"^(\S.*?)\s+\d+/\d+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)(.*)$", output, re.M)
    if not row:
        return "not played: " + " ".join(output.split()[:30])
    broken = re.search(r"BROKEN: (.*)", row[7])
    fault = re.search(r"FAULT[^\n]*", output)
    verdict = broken[1] if broken else (fault[0] if fault else "kept")
    return f"{verdict} | {row[4]} | {row[3]}"


def main():
    """Parses the arguments and prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--pair", default="")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="table of kinds")
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=20261202)
    parser.add_argument("--keep", type=pathlib.Path)
    arguments = parser.parse_args()
    if arguments.keep:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        run_table(arguments, arguments.keep)
    else:
        with tempfile.TemporaryDirectory() as folder:
            run_table(arguments, pathlib.Path(folder))


def run_table(arguments, folder):
    """Runs the wanted kinds in parallel, with the day files in a folder, and prints the table."""
    site_name = pathlib.Path(arguments.site).stem
    selected = [kind for kind in KINDS if not arguments.only or kind[0] in arguments.only.split(",")]

    def run_kind(kind):
        label, table, fields = kind
        suffix = f"+{arguments.pair}" if arguments.pair else ""
        path = folder / f"{label}{suffix}.toml"
        path.write_text(day_toml(label, table, fields, arguments.pair, arguments.seed))
        why = f"{arguments.why}: {label}{suffix} on {site_name}"
        return label + suffix, table_columns(run_bench(arguments.bench, arguments.site, path, why), label)

    print(f"| kind on {site_name} | rules | served | worth |\n| --- | --- | ---: | ---: |")
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for label, row in pool.map(run_kind, selected):
            print(f"| `{label}` | {row} |", flush=True)


if __name__ == "__main__":
    main()
