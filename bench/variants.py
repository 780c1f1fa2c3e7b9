#!/usr/bin/env python3
"""Writes variants of a site file: deployments of the same kind with other sizes, bounds and prices.

usage: bench/variants.py SITE FOLDER [--seeds FROM-TO | --named NAME,...]

A seeded variant draws every dimension below at random. A named variant changes one dimension and keeps the rest, so that its
scores can be compared with those of the site itself. Seeded variants have no floors, and their scores mean nothing. They show
whether rules are kept and how many requests are served.
"""
import argparse
import pathlib
import random
import shutil
import tomllib


def inline_toml(value):
    """Returns a value as inline TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, list):
        return "[" + ", ".join(inline_toml(item) for item in value) + "]"
    return "{ " + ", ".join(f"{key} = {inline_toml(item)}" for key, item in value.items()) + " }"


def site_toml(site):
    """Returns a site as a TOML file."""
    tables = {key for key, value in site.items() if isinstance(value, dict)}
    lines = [f"{key} = {inline_toml(value)}" for key, value in site.items() if key not in tables and key != "day"]
    for key in site:
        if key in tables:
            lines += ["", f"[{key}]"] + [f"{name} = {inline_toml(value)}" for name, value in site[key].items()]
    for day in site.get("day", []):
        lines += ["", "[[day]]"] + [f"{name} = {inline_toml(value)}" for name, value in day.items()]
    return "\n".join(lines) + "\n"


def sharded_services(site):
    """Returns the services of a site that have shards."""
    return [service for service in site["services"] if "copies" in service]


def drop_floors(site):
    """Removes the floors of the days, because the floors of a site do not apply to another deployment."""
    for day in site["day"]:
        day["goal"] = {"floor": 0.0}
        for key in ("floor_classes", "floor_zones", "small"):
            day.pop(key, None)


def set_connections(site, limit, handshake_ms=6.0, price_factor=1.0):
    """Sets the connection limit and the handshake time of the searchers, and multiplies the price of a handshake."""
    for service in sharded_services(site):
        service["conn_cap"] = limit
        service["handshake_ms"] = handshake_ms
    site["prices"]["handshake"] *= price_factor


def set_slots(site, count):
    """Sets the number of slots of the searchers."""
    for service in sharded_services(site):
        service["slots"] = count


def one_machine_per_group(site):
    """Sets the number of machines of each group to one."""
    for machine in site["machines"]:
        machine["count"] = 1


def single_region(site):
    """Puts all zones into one region."""
    for zone in site["zones"]:
        zone["region"] = site["zones"][0]["region"]


def scale_objectives(site, factor):
    """Multiplies the latency objectives by a factor."""
    for entry in site["classes"]:
        entry["aim_ms"] = entry["aim_ms"] * factor


def set_min_coverage(site, min_coverage):
    """Sets the least fraction of the shards that an answer must cover."""
    for entry in site["classes"]:
        if "gather" in entry:
            entry["gather"]["least"] = min_coverage


def set_cross_region_delay(site, millis):
    """Sets the delay between regions."""
    site["net"]["cross_region_ms"] = millis


def set_pauses(site, millis, every_s):
    """Sets the length of the pauses of searchers in milliseconds, and their interval in seconds."""
    for service in sharded_services(site):
        service["pause_ms"] = millis
        service["pause_every_s"] = every_s


def set_bounds(site, **changes):
    """Changes entries of the table `bounds`."""
    site["bounds"].update(changes)


def set_strict_accounting(site):
    """Sets the stricter accounting of the users' own days: the first attempt decides the worth, and holding and failed returns
    are expensive."""
    set_bounds(site, even=True, closes=True, attends=True)
    site.setdefault("timing", {})["truthful"] = True


NAMED_VARIANTS = {
    "strict": set_strict_accounting,
    "connections-10": lambda site: set_connections(site, 10),
    "connections-14": lambda site: set_connections(site, 14),
    "connections-20": lambda site: set_connections(site, 20),
    "connections-24": lambda site: set_connections(site, 24),
    "connections-dear": lambda site: set_connections(site, 20, 25.0, 20.0),
    "handshake-25": lambda site: set_connections(site, 41, 25.0),
    "slots-2": lambda site: set_slots(site, 2),
    "one-machine": one_machine_per_group,
    "one-region": single_region,
    "goals-near": lambda site: scale_objectives(site, 0.5),
    "coverage-all": lambda site: set_min_coverage(site, 1.0),
    "coverage-low": lambda site: set_min_coverage(site, 0.3),
    "far-40": lambda site: set_cross_region_delay(site, 40.0),
    "pauses-long": lambda site: set_pauses(site, 900, 10.0),
    "pauses-often": lambda site: set_pauses(site, 120, 1.5),
    "bounds-tight": lambda site: set_bounds(site, drain_ms=1500, config_ms=1500, budget_slack=20.0),
    "grace-long": lambda site: set_bounds(site, grace_s=15.0),
}


def randomize(site, seed):
    """Changes all dimensions of a site to values that are drawn at random from a seed."""
    rng = random.Random(seed)
    regions = rng.randint(1, 3)
    zones = [f"zone-{index}" for index in range(rng.randint(regions, 6))]
    site["zones"] = [{"name": zone, "region": f"region-{index % regions}"} for index, zone in enumerate(zones)]
    machine = dict(site["machines"][0])
    machine |= {
        "cpu_share": rng.choice([0.12, 0.25, 0.5, 1.0]),
        "memory_mb": rng.choice([64, 160, 260, 512]),
        "fds": rng.choice([1024, 4100, 8192]),
        "link_mbps": rng.choice([20.0, 100.0, 1000.0]),
    }
    counts = [rng.randint(1, 7) for _ in zones]
    site["machines"] = [machine | {"zone": zone, "count": count, "spare": 1} for zone, count in zip(zones, counts)]
    machine_count = sum(counts)
    copies = rng.choice([2, 5, 12, 25])
    replicas = rng.randint(2, 4)
    for service in site["services"]:
        service["handshake_ms"] = rng.choice([1.0, 6.0, 20.0])
        service["cold_s"] = rng.choice([1.0, 3.0, 8.0])
        if "copies" in service:
            replica_zones = [zones[index % len(zones)] for index in range(replicas)]
            service["servers"] = [{"zone": zone, "count": replica_zones.count(zone)} for zone in dict.fromkeys(replica_zones)]
            service["copies"] = copies if not service.get("later") else copies + copies // 2
            service["slots"] = rng.randint(3, 8)
            service["conn_cap"] = rng.choice([service["slots"] * 2 + machine_count, 41 + machine_count, 120])
            service["pause_ms"] = rng.choice([100, 300, 600])
            service["pause_every_s"] = rng.choice([4.0, 7.5, 15.0])
        else:
            searchers_per_zone = max(1, -(-18 // len(zones)))
            service["servers"] = [{"zone": zone, "count": searchers_per_zone} for zone in zones]
    for entry in site["classes"]:
        entry["aim_ms"] = entry["aim_ms"] * rng.choice([0.8, 1.0, 2.0])
        if "gather" in entry:
            entry["gather"] = {"top": rng.choice([1, 20, 200]), "least": rng.choice([0.5, 0.8, 0.95, 1.0])}
            entry["resp_bytes"] = entry["resp_bytes"] | {"mean": rng.choice([32.0, 400.0, 8000.0]), "max": 40000.0}
    # A gather asks every shard, so the rate is limited by what the searchers of one shard can serve.
    rate_per_s = rng.choice([0.4, 0.7, 1.0]) * 140.0 / len(zones)
    for day in [site] + site["day"]:
        if "traffic" not in day:
            continue
        pattern = day["traffic"][0]
        day["traffic"] = [pattern | {"zone": zone, "per_s": rate_per_s, "clients": max(4, int(rate_per_s))} for zone in zones]
    for day in site["day"]:
        for entry in day.get("plan", []) + day.get("faults", []):
            if "zone" in entry:
                entry["zone"] = rng.choice(zones)
            if "to_zone" in entry:
                entry["to_zone"] = rng.choice(zones)
    for entry in site["troubles"]:
        if "zone" in entry:
            entry["zone"] = rng.choice(zones)
    site["net"] |= {"cross_region_ms": rng.choice([4.0, 12.0, 40.0]), "client_ms": rng.choice([1.0, 3.0, 8.0])}
    site["discovery"]["beat_ms"] = rng.choice([600, 1200, 3000])
    set_bounds(
        site,
        drain_ms=rng.choice([2000, 3000, 6000]),
        config_ms=rng.choice([2000, 3000, 6000]),
        grace_s=rng.choice([4.0, 6.0, 12.0]),
        budget_slack=rng.choice([15.0, 60.0, 200.0]),
        budget_ratio=rng.choice([0.1, 0.2, 0.4]),
    )


def main():
    """Parses the arguments and writes the variants."""
    parser = argparse.ArgumentParser()
    parser.add_argument("site")
    parser.add_argument("folder")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--named", default="")
    arguments = parser.parse_args()
    source = pathlib.Path(arguments.site)
    folder = pathlib.Path(arguments.folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name in ("wire.json", "CUT"):
        target = folder / name
        if not target.exists():
            shutil.copyfile(source.parent / name, target)
            target.chmod(0o644)
    for name in filter(None, arguments.named.split(",")):
        site = tomllib.loads(source.read_text())
        NAMED_VARIANTS[name](site)
        (folder / f"{source.stem}-{name}.toml").write_text(site_toml(site))
    if arguments.seeds:
        first, last = (int(number) for number in arguments.seeds.split("-"))
        for seed in range(first, last + 1):
            site = tomllib.loads(source.read_text())
            randomize(site, seed)
            drop_floors(site)
            (folder / f"{source.stem}-{seed}.toml").write_text(site_toml(site))


if __name__ == "__main__":
    main()
