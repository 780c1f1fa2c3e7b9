#!/usr/bin/env python3
"""Says how much of a played day no policy could have served in time, and which prices nobody can save.

usage: bench/bound.py SITE DAY REPORT [--draws N] [--seed N]

SITE is a site file, DAY the name of one of its days, REPORT what `fleetbench run SITE DAY --report REPORT` wrote. For each two
seconds the table has what was reached and a bound: the credit of a policy that knows the state of every searcher at
every moment, pays nothing for that, and loses no time in queues. What lies between is ours; what lies above the bound is lost to
everybody, by cause.

Assumptions, each in favour of the bound (it may be too high, not too low) unless said otherwise:
- The report tells how many searchers a trouble strikes, not which. They are drawn at random, and the mean over the draws is taken.
- A searcher is of use to a request if its usual work, times how much slower it is, and the way there and back fit into the
  latency objective. Work is taken at its mean, without its spread.
- A shard's searchers that are of use share what is asked of it; pauses cost their part of the time. What goes beyond their
  slots isn't served by that shard in time. Which requests lack a shard is chosen so that most is earned.
- A shard whose only useful searcher is in a pause is left out; with two, the other one is asked.
- Requests that can't be answered in time are all answered late.
- Searchers that fail a part of their requests, lose answers or are cut off from some machines count as good.
- While all machines are without power, what comes can't be answered in time. Of the look-ups that failed (the report's count),
  each made one request late, spread over the time in which machines were dark. (Callers that wait on a kept connection to
  a dark machine come on top and aren't counted.)
"""
import argparse
import dataclasses
import json
import math
import pathlib
import random
import re
import tomllib

WINDOW_S = 2.0
# Moments within a window at which the state of the searchers is looked at.
MOMENTS = 4
# Prices that follow from the deployment alone.
FIXED_PRICES = {"machine-seconds"}
# Time after the return of power until a process of ours answers (measured: 0.1 to 0.2 s).
START_S = 0.1


@dataclasses.dataclass(frozen=True)
class Strike:
    """A trouble of searchers: how many, from when until when, how much slower (infinite: down)."""

    start: float
    end: float
    count: int
    slower: float
    # Whether all searchers of one shard are struck rather than any.
    whole_shard: bool

    def is_on(self, time):
        return self.start <= time < self.end


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    aim_s: float
    late_part: float
    work_s: float
    # Part of the requests of a window, and worth of one.
    share: float
    worth: float
    # Least part of the shards; None where one searcher answers.
    least: float | None


@dataclasses.dataclass(frozen=True)
class Shards:
    """A set of shards from a time on."""

    since: float
    count: int
    replicas: int
    slots: int
    pause: float


@dataclasses.dataclass(frozen=True)
class Dark:
    """A part of the machines without power."""

    start: float
    end: float
    part: float


@dataclasses.dataclass(frozen=True)
class Day:
    """What the bound follows from."""

    kinds: list
    shards: list
    strikes: list
    dark: list
    # Time from a node to a searcher and back, and to a caller and back, in seconds.
    way_s: float
    caller_s: float
    # Requests of each window, by its start.
    asked: dict
    # Requests that waited for a look-up at a dark machine.
    stalled: float


def credit(missing, count, least):
    """What an answer without `missing` of `count` shards earns."""
    return ((count - missing) / count) ** 2 if count - missing >= math.ceil(least * count) else 0.0


def served_parts(day, kinds, shards, slowness, rate):
    """For each shard the part of each kind's requests that it can serve in time."""
    found = []
    for replicas in slowness:
        offered = {kind.name: rate * kind.share for kind in kinds}
        parts = {}
        left = 1.0
        # The most pressing kind first: what it leaves of the slots is for the others.
        for kind in sorted(kinds, key=lambda kind: kind.aim_s):
            budget = kind.aim_s - day.way_s - day.caller_s
            useful = [x for x in replicas if kind.work_s * x <= budget]
            capacity = left * sum(shards.slots * (1.0 - shards.pause) / (kind.work_s * x) for x in useful)
            demand = offered[kind.name]
            part = 0.0 if not useful else min(1.0, capacity / demand) if demand > 0.0 else 1.0
            if capacity > 0.0:
                left *= max(0.0, 1.0 - demand * part / capacity)
            parts[kind.name] = part * (1.0 - shards.pause ** len(useful))
        found.append(parts)
    return found


def gathered(parts, least):
    """Most credit of a kind whose shards can each serve a part of its requests, whichever requests these are.

    An answer counts if no more than `spare` shards are missing. Of the n worst shards it then has n - spare at least, so the sum
    of what these serve bounds how many answers count. Fewer answers may count that lack less each.
    """
    count = len(parts)
    spare = count - math.ceil(least * count)
    most, within_worst = 1.0, 0.0
    for number, part in enumerate(sorted(parts), start=1):
        within_worst += part
        if number > spare:
            most = min(most, within_worst / (number - spare))
    if most <= 0.0:
        return 0.0
    short = sum(1 for part in parts if part < 1.0)
    misses = sum(1.0 - part for part in parts)
    # What counts when each answer that does lacks just so many shards, and those that don't lack all that are short.
    evenly = [(short - misses) / (short - lacking) for lacking in range(min(spare, short - 1) + 1)] if short else []
    return max(earned(served, misses, short, count, least) for served in [*evenly, most] if 0.0 < served <= most)


def earned(served, misses, short, count, least):
    """Credit when a part of the answers counts, and what is missing besides is spread evenly over it."""
    each = max(0.0, misses - (1.0 - served) * short) / served
    fewer = math.floor(each + 1e-9)
    between = credit(fewer, count, least) - credit(fewer + 1, count, least)
    return served * (credit(fewer, count, least) - between * max(0.0, each - fewer))


def state(day, shards, time, rng_by_strike):
    """How much slower each replica of each shard is at a time: 1 as usual, infinite when down."""
    slowness = [[1.0] * shards.replicas for _ in range(shards.count)]
    places = [(shard, replica) for shard in range(shards.count) for replica in range(shards.replicas)]
    for strike, seed in zip(day.strikes, rng_by_strike):
        if not strike.is_on(time):
            continue
        rng = random.Random(seed)
        if strike.whole_shard:
            shard = rng.randrange(shards.count)
            struck = [(shard, replica) for replica in range(shards.replicas)]
        else:
            struck = rng.sample(places, min(strike.count, len(places)))
        for shard, replica in struck:
            slowness[shard][replica] *= strike.slower
    return slowness


def stalled_part(day, start, asked):
    """Part of a window's requests that wait for a look-up at a dark machine."""
    overlap = lambda dark, at: max(0.0, min(dark.end, at + WINDOW_S) - max(dark.start, at)) * dark.part
    some = [dark for dark in day.dark if dark.part < 1.0]
    weights = {at: sum(overlap(dark, at) for dark in some) * count for at, count in day.asked.items()}
    total = sum(weights.values())
    return min(1.0, day.stalled * weights[start] / total / asked) if total > 0.0 and asked else 0.0


def powerless_part(day, start):
    """Part of a window in which no machine has power, or none has come back to answering."""
    spans = [(dark.start, dark.end + START_S) for dark in day.dark if dark.part >= 1.0]
    return min(1.0, sum(max(0.0, min(end, start + WINDOW_S) - max(begin, start)) for begin, end in spans) / WINDOW_S)


def bound_of_window(day, start, draws, seed):
    """The bound of each kind in a window: (in time, late, lost to callers and power)."""
    asked = day.asked[start]
    rate = asked / WINDOW_S
    gathers = [kind for kind in day.kinds if kind.least is not None]
    sums = {kind.name: 0.0 for kind in day.kinds}
    for draw in range(draws):
        seeds = [f"{seed}/{draw}/{index}" for index in range(len(day.strikes))]
        for moment in range(MOMENTS):
            time = start + (moment + 0.5) * WINDOW_S / MOMENTS
            shards = max((known for known in day.shards if known.since <= time), key=lambda known: known.since)
            parts = served_parts(day, gathers, shards, state(day, shards, time, seeds), rate)
            for kind in day.kinds:
                if kind.least is None:
                    sums[kind.name] += 1.0
                else:
                    sums[kind.name] += gathered([shard[kind.name] for shard in parts], kind.least)
    outside = max(stalled_part(day, start, asked), powerless_part(day, start))
    bounds = {}
    for kind in day.kinds:
        in_time = sums[kind.name] / (draws * MOMENTS)
        served = in_time + (1.0 - in_time) * kind.late_part
        bounds[kind.name] = (1.0 - outside) * served + outside * kind.late_part
    return bounds, outside


def weighted(kinds, values):
    """Mean over kinds by what their requests are worth."""
    total = sum(kind.share * kind.worth for kind in kinds)
    return sum(values[kind.name] * kind.share * kind.worth for kind in kinds) / total


def shard_sets(site, report):
    """The set of shards from the start, and that of a new cut of the index from the time it is named."""
    found = []
    cut = next((event for event in report["events"] if event["kind"].startswith("reshard")), None)
    for service in site["services"]:
        if "copies" not in service or (service.get("later") and cut is None):
            continue
        since = cut["at_s"] + 3.0 if service.get("later") else -math.inf
        replicas = sum(place["count"] for place in service["servers"])
        pause = service.get("pause_ms", 0) / 1000.0 / service.get("pause_every_s", math.inf)
        found.append(Shards(since, service["copies"], replicas, service["slots"], pause))
    return found


def strikes_of(site, day, report):
    """Troubles of searchers of shards."""
    gathers = {service["name"] for service in site["services"] if "copies" in service}
    found = []
    for event in report["events"]:
        kind = event["kind"].split(" ")[0]
        counted = re.match(r"(\d+) servers", event["what"])
        if kind not in ("srv_slow", "srv_crash") or not counted:
            continue
        same = lambda fault: fault["kind"] == kind and abs(fault["at"] - event["at_s"]) < 0.05
        fault = next((fault for fault in day.get("faults", []) if same(fault)), {})
        service = fault.get("service", "")
        if service and service.split("~")[0] not in gathers:
            continue
        how = fault.get("how", "")
        end = math.inf if "gone" in how else event["to_s"]
        slower = fault.get("x", 4.0) if kind == "srv_slow" else math.inf
        whole = "all" in how.split() and "across" not in how
        found.append(Strike(event["at_s"], end, int(counted.group(1)), slower, whole))
    return found


def dark_of(day, report):
    """Times in which machines have no power."""
    found = []
    for event in report["events"]:
        kind = event["kind"].split(" ")[0]
        named = len([name for name in re.split(r", | and ", event["what"]) if name and not name[0].isdigit()])
        more = re.search(r"and (\d+) more", event["what"])
        part = (named + (int(more.group(1)) if more else 0)) / report["machines"]
        if kind == "closing":
            found.append(Dark(event["at_s"], event["at_s"] + day.get("closing", {}).get("down_s", 0.0), 1.0))
        elif kind in ("node_kill", "herd_kill") and "power" in event["kind"]:
            found.append(Dark(event["at_s"], event["to_s"], part))
    return found


def read_day(site, day, report):
    """The day as the bound takes it."""
    requests = {kind["name"]: kind["n"] for kind in report["classes"]}
    total = sum(requests.values()) or 1
    kinds = [
        Kind(
            name=kind["name"],
            aim_s=kind["aim_ms"] / 1000.0,
            late_part=kind["late_worth"],
            work_s=kind["work_ms"]["mean"] / 1000.0,
            share=requests.get(kind["name"], 0) / total,
            worth=kind["worth"],
            least=kind.get("gather", {}).get("least"),
        )
        for kind in site["classes"]
    ]
    failed = next((re.match(r"(\d+) of \d+ look-ups", hint) for hint in report["hints"] if "look-ups" in hint), None)
    net = site["net"]
    return Day(
        kinds=kinds,
        shards=shard_sets(site, report),
        strikes=strikes_of(site, day, report),
        dark=dark_of(day, report),
        way_s=2.0 * net["cross_zone_ms"] / 1000.0,
        caller_s=4.0 * net["client_ms"] / 1000.0,
        asked={float(window["name"]): window["n"] for window in report["windows"]},
        stalled=float(failed.group(1)) if failed else 0.0,
    )


def main():
    """Reads, bounds and prints."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("day")
    parser.add_argument("report")
    parser.add_argument("--draws", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    report = json.loads(pathlib.Path(args.report).read_text())
    named = next((day for day in site["day"] if day["name"] == args.day), None)
    if named is None:
        raise SystemExit(f"{args.site}: no day {args.day}; there are {', '.join(day['name'] for day in site['day'])}")
    day = read_day(site, named, report)
    print("second   asked  reached  bound    ours   of the rest: callers and power, searchers")
    totals = {"asked": 0, "reached": 0.0, "bound": 0.0}
    by_kind = {kind.name: 0.0 for kind in day.kinds}
    bounds = []
    for window in report["windows"]:
        start, asked = float(window["name"]), window["n"]
        values, outside = bound_of_window(day, start, args.draws, args.seed)
        bound = max(weighted(day.kinds, values), window["worth"])
        late = sum(kind.late_part * kind.share * kind.worth for kind in day.kinds)
        late /= sum(kind.share * kind.worth for kind in day.kinds)
        callers = min(1.0 - bound, outside * (1.0 - late))
        searchers = max(0.0, 1.0 - bound - callers)
        print(f"{start:6.0f} {asked:7} {window['worth']:8.3f} {bound:6.3f} {bound - window['worth']:7.3f}   {callers:.3f} {searchers:.3f}")
        bounds.append(bound)
        totals["asked"] += asked
        totals["reached"] += asked * window["worth"]
        totals["bound"] += asked * bound
        for kind in day.kinds:
            by_kind[kind.name] += asked * values[kind.name]
    asked = totals["asked"] or 1
    best = {
        "whole day": totals["bound"] / asked,
        "worst windows": sum(sorted(bounds)[:2]) / max(1, len(bounds[:2])),
        "worst class": min(value / asked for value in by_kind.values()),
    }
    fixed = sum(price for name, _, price in report["prices"] if name in FIXED_PRICES)
    print("\npart              weight  reached  bound")
    worth = 0.0
    for name, weight, value in report["parts"]:
        # Zones are struck alike on the whole; all that is served at all may be served.
        bound = max(best.get(name, best["whole day"] if "zone" in name else 1.0), value)
        worth += weight * bound
        print(f"{name:17} {weight:6.2f} {value:8.3f} {bound:6.3f}")
    prices = sum(price for _, _, price in report["prices"])
    print(f"{'prices':17} {'':6} {prices:8.3f} {fixed:6.3f}")
    print(f"{'worth':17} {'':6} {report['G']:8.3f} {worth - fixed:6.3f}")


if __name__ == "__main__":
    main()
