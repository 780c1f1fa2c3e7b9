//! Tests of membership in simulated fleets: convergence, and the number of records sent for it.

mod common;

use common::{Fleet, SentCounts};
use std::time::Duration;

const NODES: usize = 60;

/// A fleet whose nodes all started at once, 15 seconds later.
fn converged_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(NODES, seed);
    fleet.run_for(Duration::from_secs(15));
    fleet
}

/// Runs the fleet for `span` and returns what was sent meanwhile.
fn run_and_count(fleet: &mut Fleet, span: Duration) -> SentCounts {
    let before = fleet.sent;
    fleet.run_for(span);
    SentCounts {
        messages: fleet.sent.messages - before.messages,
        between_regions: fleet.sent.between_regions - before.between_regions,
        updates: fleet.sent.updates - before.updates,
        listed: fleet.sent.listed - before.listed,
        records_between_regions: fleet.sent.records_between_regions - before.records_between_regions,
    }
}

#[test]
fn a_fleet_that_starts_at_once_finds_itself_without_telling_everything_many_times() {
    let fleet = converged_fleet(1);
    assert!(fleet.all_see_all());
    // Each of 60 nodes must learn of 59 others, so at least 3540 records must be sent in lists or as updates.
    let sent = fleet.sent.updates + fleet.sent.listed;
    assert!(sent < 12 * NODES * (NODES - 1), "{:?}", fleet.sent);
}

#[test]
fn most_probes_stay_within_the_region() {
    let mut fleet = converged_fleet(2);
    let sent = run_and_count(&mut fleet, Duration::from_secs(20));
    assert!(sent.between_regions * 3 < sent.messages, "{sent:?}");
    assert!(sent.between_regions > 0, "no probe went to another region");
}

#[test]
fn a_death_is_known_in_all_regions_soon_and_then_told_no_more() {
    let mut fleet = converged_fleet(3);
    fleet.crash(7);
    fleet.run_for(Duration::from_secs(12));
    let survivors = || (0..NODES).filter(|index| *index != 7);
    assert!(survivors().all(|index| fleet.live_count(index) == NODES - 1), "a survivor doesn't know of the death");
    fleet.run_for(Duration::from_secs(30));
    let sent = run_and_count(&mut fleet, Duration::from_secs(10));
    // What is still sent: each node probes one dead member every two seconds, so that partitions heal.
    assert!(sent.updates < sent.messages / 8, "old updates are still sent: {sent:?}");
}

#[test]
fn a_newcomer_is_known_everywhere_soon() {
    let mut fleet = converged_fleet(4);
    fleet.crash(9);
    fleet.run_for(Duration::from_secs(12));
    fleet.start(9);
    fleet.run_for(Duration::from_secs(6));
    assert!(fleet.all_see_all());
}

/// Time after which a starting node that knows no other member assumes that it is the only one, and grants itself a
/// tenant's whole quota.
const ASSUMED_ALONE_AFTER: Duration = Duration::from_millis(600);

/// Guards against a restarted node without live seeds staying alone: its peers go on probing the address of its
/// predecessor, and it must announce itself to them.
#[test]
fn a_node_that_starts_again_is_found_though_all_its_seeds_are_gone() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, seed);
        fleet.run_for(Duration::from_secs(10));
        fleet.crash(0);
        fleet.run_for(Duration::from_millis(seed * 100));
        fleet.start_without_seeds(0);
        fleet.run_for(ASSUMED_ALONE_AFTER);
        assert!(fleet.live_count(0) > 1, "seed {seed}: the restarted node knows no other member");
        fleet.run_for(Duration::from_secs(2));
        assert!(fleet.all_see_all(), "seed {seed}");
    }
}

/// Guards against a node that knows nobody for a second because it started a moment before its seeds, so that its first
/// message was lost. Meanwhile it took itself for the only node of its region, and read the store beside the others.
#[test]
fn a_node_that_starts_before_its_seeds_is_found_soon() {
    const OTHERS: [usize; 6] = [0, 1, 2, 3, 4, 5];
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, seed);
        OTHERS.into_iter().for_each(|index| fleet.crash(index));
        fleet.start(6);
        fleet.run_for(Duration::from_millis(100));
        OTHERS.into_iter().for_each(|index| fleet.start(index));
        fleet.run_for(Duration::from_millis(700));
        assert!(fleet.sees_alive(6, 0) && fleet.sees_alive(0, 6), "seed {seed}: node 6 isn't found");
    }
}

/// Guards against a process that is gone being taken for a member for seconds after its successor has started at the same
/// address. Meanwhile nodes counted it among those that keep copies of sessions, and lost the sessions with their holder.
#[test]
fn a_node_that_starts_again_ends_its_predecessor_at_once() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, seed);
        fleet.run_for(Duration::from_secs(10));
        fleet.crash(3);
        fleet.start(3);
        fleet.run_for(Duration::from_secs(2));
        assert!(fleet.all_see_all(), "seed {seed}");
        let live: Vec<usize> = (0..7).map(|index| fleet.live_count(index)).collect();
        assert_eq!(live, [7; 7], "seed {seed}: live members by node");
    }
}

#[test]
fn a_large_fleet_that_starts_at_once_finds_itself_within_seconds() {
    const LARGE: usize = 150;
    let mut fleet = Fleet::new(LARGE, 5);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.all_see_all(), "{:?}", fleet.sent);
    let sent = fleet.sent.updates + fleet.sent.listed;
    assert!(sent < 6 * LARGE * (LARGE - 1), "{:?}", fleet.sent);
}

#[test]
fn a_large_fleet_that_starts_at_once_tells_other_regions_of_each_member_few_times() {
    const LARGE: usize = 150;
    let mut fleet = Fleet::new(LARGE, 6);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.all_see_all(), "{:?}", fleet.sent);
    // Two other regions must learn of each member; joiners ask seeds of any region, which list the members of the
    // joiner's region.
    assert!(fleet.sent.records_between_regions < 40 * LARGE, "{:?}", fleet.sent);
}

#[test]
fn a_death_is_told_to_other_regions_by_a_few() {
    let mut fleet = converged_fleet(8);
    fleet.crash(11);
    let sent = run_and_count(&mut fleet, Duration::from_secs(12));
    let survivors = || (0..NODES).filter(|index| *index != 11);
    assert!(survivors().all(|index| fleet.live_count(index) == NODES - 1), "a survivor doesn't know of the death");
    // The suspicion and the death are sent; besides, each node probes a dead member every two seconds.
    assert!(sent.records_between_regions < 1000, "{sent:?}");
}

#[test]
fn regions_learn_of_each_other_when_the_first_relays_are_gone() {
    let mut fleet = converged_fleet(9);
    // Half of the nodes of one region are gone now, whichever of them were relays.
    (0..NODES).filter(|index| index % 3 == 0 && index % 2 == 0).for_each(|index| fleet.crash(index));
    fleet.run_for(Duration::from_secs(15));
    fleet.crash(3);
    fleet.run_for(Duration::from_secs(12));
    let live = (0..NODES).filter(|index| fleet.live_count(*index) > 0).count();
    let survivors = (0..NODES).filter(|index| fleet.live_count(*index) > 0);
    assert!(
        survivors.into_iter().all(|index| fleet.live_count(index) == live),
        "a node doesn't know exactly the nodes that are left"
    );
}

#[test]
fn a_listing_in_pieces_does_not_make_its_reader_tell_of_everybody() {
    let mut fleet = converged_fleet(6);
    fleet.run_for(Duration::from_secs(20));
    let baseline = run_and_count(&mut fleet, Duration::from_secs(5));
    // A node that crashes and restarts as a new incarnation gets a member list, with six members in each message.
    fleet.crash(9);
    fleet.start(9);
    let after_restart = run_and_count(&mut fleet, Duration::from_secs(5));
    assert!(fleet.all_see_all());
    assert!(after_restart.listed >= NODES - 1, "{after_restart:?}");
    let additional = after_restart.updates.saturating_sub(baseline.updates);
    // A start, a suspicion and a death are each sent up to nine times by each node. If the readers of the list
    // gossiped all 60 records, there would be 3600.
    assert!(additional < 30 * NODES, "{additional} after {baseline:?}");
}
