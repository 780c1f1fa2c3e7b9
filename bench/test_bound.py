"""Tests of bound.py on days that are written by hand."""
import math
import unittest

import bound

BROAD = bound.RequestClass(
    name="broad", objective_s=0.25, late_worth=0.1, mean_work_s=0.028, share=0.8, worth=2.0, min_coverage=0.95
)
SINGLE = bound.RequestClass(
    name="single", objective_s=1.0, late_worth=0.3, mean_work_s=0.2, share=0.2, worth=1.0, min_coverage=None
)
SHARDS = bound.ShardSet(since=-math.inf, count=40, replicas=3, slots=3, pause_fraction=0.0)


def day(searcher_faults=(), power_losses=(), request_count=250, stalled_lookups=0.0, shards=(SHARDS,)):
    """Returns a day with two windows, which start at seconds 0 and 2."""
    return bound.Day(
        classes=[BROAD, SINGLE],
        shards=list(shards),
        searcher_faults=list(searcher_faults),
        power_losses=list(power_losses),
        searcher_round_trip_s=0.003,
        caller_delay_s=0.004,
        requests_by_window={0.0: request_count, 2.0: request_count},
        stalled_lookups=stalled_lookups,
    )


def first(tested_day):
    """Returns the bounds of the first window."""
    return bound.window_bounds(tested_day, 0.0, 5, 1)


class Bounds(unittest.TestCase):
    def test_a_calm_window_may_be_served_whole(self):
        values, outside = first(day())
        self.assertEqual(values, {"broad": 1.0, "single": 1.0})
        self.assertEqual(outside, 0.0)

    def test_shards_without_any_replica_are_missing_from_each_answer(self):
        down = bound.SearcherFault(start=0.0, end=2.0, count=3, slowdown=math.inf, whole_shard=True)
        values, _ = first(day([down]))
        self.assertAlmostEqual(values["broad"], (39 / 40) ** 2 + (1 - (39 / 40) ** 2) * 0.1)

    def test_with_fewer_shards_than_the_least_every_answer_is_late(self):
        down = [bound.SearcherFault(0.0, 2.0, 120, math.inf, False)]
        values, _ = first(day(down))
        self.assertAlmostEqual(values["broad"], 0.1)
        self.assertEqual(values["single"], 1.0, "the class that one searcher answers does not ask the shards")

    def test_replicas_that_are_too_slow_are_of_no_use_and_others_are(self):
        of_use, _ = first(day([bound.SearcherFault(0.0, 2.0, 120, 4.0, False)], request_count=50))
        useless, _ = first(day([bound.SearcherFault(0.0, 2.0, 120, 9.9, False)], request_count=50))
        self.assertEqual(of_use["broad"], 1.0)
        self.assertAlmostEqual(useless["broad"], 0.1)

    def test_what_goes_beyond_the_slots_is_not_served_in_time(self):
        values, _ = first(day(request_count=1800))
        # The class "broad" has 720 requests a second. A shard can serve 9 / 0.028 = 321 a second.
        self.assertAlmostEqual(values["broad"], 9 / 0.028 / 720 * 0.9 + 0.1, places=3)

    def test_a_trouble_ends_and_a_loss_for_good_does_not(self):
        over, _ = first(day([bound.SearcherFault(-5.0, 0.0, 120, math.inf, False)]))
        self.assertEqual(over["broad"], 1.0)

    def test_a_pause_of_the_only_replica_leaves_its_shard_out(self):
        lone = bound.ShardSet(since=-math.inf, count=40, replicas=1, slots=9, pause_fraction=0.04)
        values, _ = first(day(shards=[lone]))
        expected = bound.max_gather_credit([0.96] * 40, 0.95)
        self.assertAlmostEqual(values["broad"], expected + (1 - expected) * 0.1)
        # In the best case all pauses affect the same requests.
        self.assertAlmostEqual(expected, 0.96)

    def test_a_new_cut_of_the_index_counts_from_its_time(self):
        later = bound.ShardSet(since=1.0, count=60, replicas=1, slots=1, pause_fraction=0.0)
        before, _ = first(day(shards=[SHARDS]))
        after, _ = first(day(shards=[SHARDS, later]))
        self.assertLess(after["broad"], before["broad"])

    def test_while_no_machine_has_power_nothing_is_in_time(self):
        values, outside = first(day(power_losses=[bound.PowerLoss(0.0, 0.9, 1.0)]))
        self.assertAlmostEqual(outside, 0.5, places=6)
        self.assertAlmostEqual(values["broad"], 0.5 + 0.5 * 0.1)

    def test_look_ups_at_dark_machines_are_spread_over_the_time_of_the_dark(self):
        loss = bound.PowerLoss(0.0, 2.0, 0.25)
        _, outside = first(day(power_losses=[loss], stalled_lookups=50.0))
        self.assertAlmostEqual(outside, 50 / 250)
        _, later = bound.window_bounds(day(power_losses=[loss], stalled_lookups=50.0), 2.0, 5, 1)
        self.assertEqual(later, 0.0)

    def test_misses_are_spread_so_that_most_is_earned(self):
        # Three shards serve half of the requests. Each request lacks one or two of them, and two of 40 may be missing.
        halves = [0.5, 0.5, 0.5] + [1.0] * 37
        self.assertAlmostEqual(bound.max_gather_credit(halves, 0.95), (bound.credit(1, 40, 0.95) + bound.credit(2, 40, 0.95)) / 2)
        # If ten shards serve half, each answer needs eight of them, so five eighths of the requests count.
        self.assertAlmostEqual(bound.max_gather_credit([0.5] * 10 + [1.0] * 30, 0.95), 5 / 8 * bound.credit(2, 40, 0.95))

    def test_shards_that_serve_hardly_anything_bound_how_many_answers_count(self):
        self.assertAlmostEqual(bound.max_gather_credit([0.01] * 3 + [1.0] * 37, 0.95), 0.03 * bound.credit(2, 40, 0.95))

    def test_whole_credit_needs_every_shard(self):
        self.assertEqual(bound.credit(0, 40, 0.95), 1.0)
        self.assertEqual(bound.credit(2, 40, 0.95), (38 / 40) ** 2)
        self.assertEqual(bound.credit(3, 40, 0.95), 0.0)


class Reading(unittest.TestCase):
    SITE = {
        "services": [
            {"name": "desk", "copies": 4, "servers": [{"zone": "a", "count": 2}], "slots": 3, "pause_ms": 300, "pause_every_s": 7.5},
            {"name": "portal", "copies": 6, "servers": [{"zone": "a", "count": 2}], "slots": 3, "later": True},
            {"name": "archive", "servers": [{"zone": "a", "count": 5}], "slots": 2},
        ],
    }

    def report(self, *events):
        keys = ("at_s", "to_s", "kind", "what")
        return {"events": [dict(zip(keys, event)) for event in events], "machines": 20}

    def test_a_cut_that_never_came_brings_no_second_set(self):
        self.assertEqual(len(bound.shard_sets(self.SITE, self.report())), 1)
        cut = self.report((4.0, 20.0, "reshard", "6 shards"))
        self.assertEqual([found.since for found in bound.shard_sets(self.SITE, cut)], [-math.inf, 7.0])

    def test_troubles_are_matched_with_the_day_by_their_time(self):
        script = {"faults": [
            {"kind": "srv_slow", "at": 3.0, "x": 6.0, "how": "across"},
            {"kind": "srv_crash", "at": 5.0, "how": "dark all", "service": "desk~2"},
            {"kind": "srv_crash", "at": 6.0, "service": "archive"},
            {"kind": "srv_crash", "at": 8.0, "how": "across gone"},
        ]}
        report = self.report(
            (3.0, 9.0, "srv_slow (across)", "3 servers"),
            (5.0, 7.0, "srv_crash (dark all)", "2 servers"),
            (6.0, 7.0, "srv_crash", "1 servers"),
            (8.0, 9.0, "srv_crash (across gone)", "1 servers"),
        )
        found = bound.read_searcher_faults(self.SITE, script, report)
        self.assertEqual([(one.count, one.slowdown, one.whole_shard) for one in found],
                         [(3, 6.0, False), (2, math.inf, True), (1, math.inf, False)])
        self.assertEqual(found[2].end, math.inf)

    def test_machines_without_power_are_counted_from_their_names(self):
        report = self.report(
            (1.0, 5.0, "herd_kill (power)", "front-a-1, front-a-2 and 3 more"),
            (9.0, 30.0, "closing (power_off_all)", "front-a-1 and 19 more"),
            (2.0, 3.0, "node_kill", "front-a-1"),
        )
        found = bound.read_power_losses({"closing": {"down_s": 1.5}}, report)
        self.assertEqual(found, [bound.PowerLoss(1.0, 5.0, 0.25), bound.PowerLoss(9.0, 10.5, 1.0)])


if __name__ == "__main__":
    unittest.main()
