#!/usr/bin/env python3
"""Estimates an upper bound of the score that a policy could have reached on a day, and the prices that no policy can avoid.

usage: bench/bound.py SITE DAY REPORT [--draws N] [--seed N]

SITE is a site file, which describes a test deployment. DAY is the name of one of its days, a script of traffic and faults.
REPORT is the file that `fleetbench run SITE DAY --report REPORT` wrote. For each window of two seconds, the table shows the credit
that was reached and a bound. The bound is the credit of a policy that knows the state of every searcher at every moment, pays
nothing for that, and loses no time in queues. The column "ours" is the difference between the two, which a better policy might
gain. The last two columns divide the credit above the bound, which every policy loses, by cause.

Each assumption can make the bound too high but not too low, unless stated otherwise:
- The report states how many searchers a fault affects, not which ones. They are drawn at random, and the mean over the draws is
  taken.
- A searcher is useful to a request if its usual work time, multiplied by its slowdown, and the round trip fit into the latency
  objective. The work time is the mean, without its spread.
- The useful searchers of a shard share the requests to it, and pauses reduce their time. The shard doesn't serve requests beyond
  their slots in time. The requests that lack a shard are chosen so that the credit is highest.
- A shard whose only useful searcher pauses is missing from the answer. If there are two, the other one is asked.
- All requests that can't be answered in time are answered late.
- Searchers that fail a part of their requests, lose answers or are cut off from some machines count as healthy.
- While all machines are without power, no request can be answered in time. Each look-up that failed, as counted by the report,
  made one request late. These are spread over the time in which machines had no power. Callers that wait on an open connection
  to a machine without power are additional and not counted.
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
# Number of evenly spaced times in a window at which the state of the searchers is evaluated.
SAMPLES_PER_WINDOW = 4
# Prices that depend on the deployment alone, so that no policy can avoid them.
UNAVOIDABLE_PRICES = {"machine-seconds"}
# Time from the return of power until a process of ours answers, in seconds. It was measured at 0.1 to 0.2 s.
RESTART_S = 0.1


@dataclasses.dataclass(frozen=True)
class SearcherFault:
    """A fault of some searchers of shards for a time."""

    start: float
    end: float
    # Number of searchers that are affected.
    count: int
    # Factor by which their work takes longer; infinite if they are down.
    slowdown: float
    # Whether the fault affects all searchers of one shard instead of any searchers.
    whole_shard: bool

    def is_active(self, time):
        return self.start <= time < self.end


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests."""

    name: str
    # Latency objective.
    objective_s: float
    # Fraction of the credit that a late answer earns.
    late_worth: float
    # Mean work time at a searcher.
    mean_work_s: float
    # Fraction of all requests that belong to the class.
    share: float
    # Worth of one request.
    worth: float
    # Least fraction of the shards that an answer must cover; None for a class that one searcher answers.
    min_coverage: float | None


@dataclasses.dataclass(frozen=True)
class ShardSet:
    """The shards of an index that is in force from a time on."""

    since: float
    count: int
    replicas: int
    # Number of sub-requests that a searcher runs at a time.
    slots: int
    # Fraction of the time in which a searcher pauses.
    pause_fraction: float


@dataclasses.dataclass(frozen=True)
class PowerLoss:
    """A time in which some machines have no power."""

    start: float
    end: float
    # Fraction of the machines that have no power.
    machine_share: float


@dataclasses.dataclass(frozen=True)
class Day:
    """The data of a day that the bound is computed from."""

    classes: list
    shards: list
    searcher_faults: list
    power_losses: list
    # Time from a node to a searcher and back.
    searcher_round_trip_s: float
    # Time between caller and node that counts towards the latency: four one-way delays.
    caller_delay_s: float
    # Number of requests in each window, by the start of the window.
    requests_by_window: dict
    # Number of requests that waited for a look-up at a machine without power.
    stalled_lookups: float


def credit(missing, count, min_coverage):
    """Returns the credit of an answer that lacks `missing` of `count` shards."""
    return ((count - missing) / count) ** 2 if count - missing >= math.ceil(min_coverage * count) else 0.0


def served_fractions(day, classes, shards, slowness, rate):
    """Returns, for each shard, the fraction of the requests of each class that it can serve in time."""
    found = []
    for replicas in slowness:
        offered = {request_class.name: rate * request_class.share for request_class in classes}
        fractions = {}
        free_share = 1.0
        # The class with the shortest objective gets slots first. The other classes share what it leaves.
        for request_class in sorted(classes, key=lambda request_class: request_class.objective_s):
            budget = request_class.objective_s - day.searcher_round_trip_s - day.caller_delay_s
            useful = [slowdown for slowdown in replicas if request_class.mean_work_s * slowdown <= budget]
            capacity = free_share * sum(
                shards.slots * (1.0 - shards.pause_fraction) / (request_class.mean_work_s * slowdown) for slowdown in useful
            )
            demand = offered[request_class.name]
            fraction = 0.0 if not useful else min(1.0, capacity / demand) if demand > 0.0 else 1.0
            if capacity > 0.0:
                free_share *= max(0.0, 1.0 - demand * fraction / capacity)
            fractions[request_class.name] = fraction * (1.0 - shards.pause_fraction ** len(useful))
        found.append(fractions)
    return found


def max_gather_credit(fractions, min_coverage):
    """Returns the highest credit of a class, over all choices of the requests that each shard serves.

    Each shard can serve a fraction of the requests. An answer counts if at most `spare` shards are missing. It then has at least
    n - spare of the n worst shards, so the sum of what these shards serve bounds the number of answers that count. It can earn
    more if fewer answers count and each of them lacks fewer shards.
    """
    count = len(fractions)
    spare = count - math.ceil(min_coverage * count)
    max_served, sum_of_worst = 1.0, 0.0
    for number, fraction in enumerate(sorted(fractions), start=1):
        sum_of_worst += fraction
        if number > spare:
            max_served = min(max_served, sum_of_worst / (number - spare))
    if max_served <= 0.0:
        return 0.0
    short_shards = sum(1 for fraction in fractions if fraction < 1.0)
    misses = sum(1.0 - fraction for fraction in fractions)
    # Fractions of the answers that count if each of these lacks exactly `lacking` shards. The other answers then lack every
    # shard that can't serve all requests.
    candidates = (
        [(short_shards - misses) / (short_shards - lacking) for lacking in range(min(spare, short_shards - 1) + 1)]
        if short_shards
        else []
    )
    return max(
        spread_credit(served, misses, short_shards, count, min_coverage)
        for served in [*candidates, max_served]
        if 0.0 < served <= max_served
    )


def spread_credit(served, misses, short_shards, count, min_coverage):
    """Returns the credit if the fraction `served` of the answers counts and the misses that remain are spread evenly over them."""
    misses_per_answer = max(0.0, misses - (1.0 - served) * short_shards) / served
    whole_misses = math.floor(misses_per_answer + 1e-9)
    credit_step = credit(whole_misses, count, min_coverage) - credit(whole_misses + 1, count, min_coverage)
    return served * (credit(whole_misses, count, min_coverage) - credit_step * max(0.0, misses_per_answer - whole_misses))


def replica_slowness(day, shards, time, seeds):
    """Returns by what factor each replica of each shard is slower at a time: 1 if it is healthy, infinite if it is down."""
    slowness = [[1.0] * shards.replicas for _ in range(shards.count)]
    all_replicas = [(shard, replica) for shard in range(shards.count) for replica in range(shards.replicas)]
    for fault, seed in zip(day.searcher_faults, seeds):
        if not fault.is_active(time):
            continue
        rng = random.Random(seed)
        if fault.whole_shard:
            shard = rng.randrange(shards.count)
            affected = [(shard, replica) for replica in range(shards.replicas)]
        else:
            affected = rng.sample(all_replicas, min(fault.count, len(all_replicas)))
        for shard, replica in affected:
            slowness[shard][replica] *= fault.slowdown
    return slowness


def stalled_fraction(day, start, request_count):
    """Returns the fraction of a window's requests that wait for a look-up at a machine without power."""
    overlap = lambda loss, at: max(0.0, min(loss.end, at + WINDOW_S) - max(loss.start, at)) * loss.machine_share
    partial_losses = [loss for loss in day.power_losses if loss.machine_share < 1.0]
    weights = {at: sum(overlap(loss, at) for loss in partial_losses) * count for at, count in day.requests_by_window.items()}
    total = sum(weights.values())
    return min(1.0, day.stalled_lookups * weights[start] / total / request_count) if total > 0.0 and request_count else 0.0


def powerless_fraction(day, start):
    """Returns the fraction of a window in which no machine has power or none has restarted far enough to answer."""
    spans = [(loss.start, loss.end + RESTART_S) for loss in day.power_losses if loss.machine_share >= 1.0]
    return min(1.0, sum(max(0.0, min(end, start + WINDOW_S) - max(begin, start)) for begin, end in spans) / WINDOW_S)


def window_bounds(day, start, draws, seed):
    """Returns the bound of each class in a window, and the fraction of the requests that callers and power losses make late."""
    request_count = day.requests_by_window[start]
    rate = request_count / WINDOW_S
    gather_classes = [request_class for request_class in day.classes if request_class.min_coverage is not None]
    sums = {request_class.name: 0.0 for request_class in day.classes}
    for draw in range(draws):
        seeds = [f"{seed}/{draw}/{index}" for index in range(len(day.searcher_faults))]
        for sample in range(SAMPLES_PER_WINDOW):
            time = start + (sample + 0.5) * WINDOW_S / SAMPLES_PER_WINDOW
            shards = max((shard_set for shard_set in day.shards if shard_set.since <= time), key=lambda shard_set: shard_set.since)
            fractions = served_fractions(day, gather_classes, shards, replica_slowness(day, shards, time, seeds), rate)
            for request_class in day.classes:
                if request_class.min_coverage is None:
                    sums[request_class.name] += 1.0
                else:
                    sums[request_class.name] += max_gather_credit(
                        [shard[request_class.name] for shard in fractions], request_class.min_coverage
                    )
    lost_fraction = max(stalled_fraction(day, start, request_count), powerless_fraction(day, start))
    bounds = {}
    for request_class in day.classes:
        in_time = sums[request_class.name] / (draws * SAMPLES_PER_WINDOW)
        served = in_time + (1.0 - in_time) * request_class.late_worth
        bounds[request_class.name] = (1.0 - lost_fraction) * served + lost_fraction * request_class.late_worth
    return bounds, lost_fraction


def worth_weighted_mean(classes, values):
    """Returns the mean over the classes, weighted by the worth of their requests."""
    total = sum(request_class.share * request_class.worth for request_class in classes)
    return sum(values[request_class.name] * request_class.share * request_class.worth for request_class in classes) / total


def shard_sets(site, report):
    """Returns the shards from the start of the day and, if the index is resharded, the new shards from the time of the event."""
    found = []
    reshard = next((event for event in report["events"] if event["kind"].startswith("reshard")), None)
    for service in site["services"]:
        if "copies" not in service or (service.get("later") and reshard is None):
            continue
        since = reshard["at_s"] + 3.0 if service.get("later") else -math.inf
        replicas = sum(place["count"] for place in service["servers"])
        pause_fraction = service.get("pause_ms", 0) / 1000.0 / service.get("pause_every_s", math.inf)
        found.append(ShardSet(since, service["copies"], replicas, service["slots"], pause_fraction))
    return found


def read_searcher_faults(site, day, report):
    """Returns the faults that affect searchers of shards."""
    sharded_services = {service["name"] for service in site["services"] if "copies" in service}
    found = []
    for event in report["events"]:
        kind = event["kind"].split(" ")[0]
        counted = re.match(r"(\d+) servers", event["what"])
        if kind not in ("srv_slow", "srv_crash") or not counted:
            continue
        same = lambda fault: fault["kind"] == kind and abs(fault["at"] - event["at_s"]) < 0.05
        fault = next((fault for fault in day.get("faults", []) if same(fault)), {})
        service = fault.get("service", "")
        if service and service.split("~")[0] not in sharded_services:
            continue
        variant = fault.get("how", "")
        end = math.inf if "gone" in variant else event["to_s"]
        slowdown = fault.get("x", 4.0) if kind == "srv_slow" else math.inf
        is_whole_shard = "all" in variant.split() and "across" not in variant
        found.append(SearcherFault(event["at_s"], end, int(counted.group(1)), slowdown, is_whole_shard))
    return found


def read_power_losses(day, report):
    """Returns the times in which machines have no power."""
    found = []
    for event in report["events"]:
        kind = event["kind"].split(" ")[0]
        named = len([name for name in re.split(r", | and ", event["what"]) if name and not name[0].isdigit()])
        more = re.search(r"and (\d+) more", event["what"])
        machine_share = (named + (int(more.group(1)) if more else 0)) / report["machines"]
        if kind == "closing":
            found.append(PowerLoss(event["at_s"], event["at_s"] + day.get("closing", {}).get("down_s", 0.0), 1.0))
        elif kind in ("node_kill", "herd_kill") and "power" in event["kind"]:
            found.append(PowerLoss(event["at_s"], event["to_s"], machine_share))
    return found


def build_day(site, script, report):
    """Collects the data for the bound from the site, the day and the report."""
    requests = {request_class["name"]: request_class["n"] for request_class in report["classes"]}
    total = sum(requests.values()) or 1
    classes = [
        RequestClass(
            name=request_class["name"],
            objective_s=request_class["aim_ms"] / 1000.0,
            late_worth=request_class["late_worth"],
            mean_work_s=request_class["work_ms"]["mean"] / 1000.0,
            share=requests.get(request_class["name"], 0) / total,
            worth=request_class["worth"],
            min_coverage=request_class.get("gather", {}).get("least"),
        )
        for request_class in site["classes"]
    ]
    failed = next((re.match(r"(\d+) of \d+ look-ups", hint) for hint in report["hints"] if "look-ups" in hint), None)
    net = site["net"]
    return Day(
        classes=classes,
        shards=shard_sets(site, report),
        searcher_faults=read_searcher_faults(site, script, report),
        power_losses=read_power_losses(script, report),
        searcher_round_trip_s=2.0 * net["cross_zone_ms"] / 1000.0,
        caller_delay_s=4.0 * net["client_ms"] / 1000.0,
        requests_by_window={float(window["name"]): window["n"] for window in report["windows"]},
        stalled_lookups=float(failed.group(1)) if failed else 0.0,
    )


def main():
    """Reads the files, computes the bounds and prints both tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("day")
    parser.add_argument("report")
    parser.add_argument("--draws", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    report = json.loads(pathlib.Path(args.report).read_text())
    script = next((day for day in site["day"] if day["name"] == args.day), None)
    if script is None:
        raise SystemExit(f"{args.site}: no day {args.day}; there are {', '.join(day['name'] for day in site['day'])}")
    day = build_day(site, script, report)
    print("second   asked  reached  bound    ours   of the rest: callers and power, searchers")
    totals = {"asked": 0, "reached": 0.0, "bound": 0.0}
    by_class = {request_class.name: 0.0 for request_class in day.classes}
    bounds = []
    for window in report["windows"]:
        start, request_count = float(window["name"]), window["n"]
        values, lost_fraction = window_bounds(day, start, args.draws, args.seed)
        bound = max(worth_weighted_mean(day.classes, values), window["worth"])
        late_credit = sum(request_class.late_worth * request_class.share * request_class.worth for request_class in day.classes)
        late_credit /= sum(request_class.share * request_class.worth for request_class in day.classes)
        callers = min(1.0 - bound, lost_fraction * (1.0 - late_credit))
        searchers = max(0.0, 1.0 - bound - callers)
        print(f"{start:6.0f} {request_count:7} {window['worth']:8.3f} {bound:6.3f} {bound - window['worth']:7.3f}   {callers:.3f} {searchers:.3f}")
        bounds.append(bound)
        totals["asked"] += request_count
        totals["reached"] += request_count * window["worth"]
        totals["bound"] += request_count * bound
        for request_class in day.classes:
            by_class[request_class.name] += request_count * values[request_class.name]
    request_count = totals["asked"] or 1
    best = {
        "whole day": totals["bound"] / request_count,
        "worst windows": sum(sorted(bounds)[:2]) / max(1, len(bounds[:2])),
        "worst class": min(value / request_count for value in by_class.values()),
    }
    unavoidable = sum(price for name, _, price in report["prices"] if name in UNAVOIDABLE_PRICES)
    print("\npart              weight  reached  bound")
    worth = 0.0
    for name, weight, value in report["parts"]:
        # Faults affect all zones alike on average, so the bound of the whole day holds for them. The other parts can reach 1,
        # because everything that is served at all may be served.
        bound = max(best.get(name, best["whole day"] if "zone" in name else 1.0), value)
        worth += weight * bound
        print(f"{name:17} {weight:6.2f} {value:8.3f} {bound:6.3f}")
    prices = sum(price for _, _, price in report["prices"])
    print(f"{'prices':17} {'':6} {prices:8.3f} {unavoidable:6.3f}")
    print(f"{'worth':17} {'':6} {report['G']:8.3f} {worth - unavoidable:6.3f}")


if __name__ == "__main__":
    main()
