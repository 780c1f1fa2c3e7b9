//! Stateful fuzzing of the cluster logic, with fixed seeds so that every run gives the same verdict.

use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use staircross_cluster::message::ProposalReply;
use staircross_cluster::{ChangeId, ChangeOutcome, ConfigState, VoterSet};
use staircross_lab::cluster_sim::{ClusterFleet, ClusterOracle};
use staircross_lab::fuzz::cluster_model::{ClusterModel, ClusterRun, Operation, settings};
use staircross_types::NodeId;
use std::sync::Arc;
use std::time::Duration;

struct ClusterTest;

impl StateMachineTest for ClusterTest {
    type SystemUnderTest = ClusterRun;
    type Reference = ClusterModel;

    fn init_test(seed: &u64) -> ClusterRun {
        ClusterRun::new(*seed)
    }

    fn apply(mut run: ClusterRun, _: &u64, operation: Operation) -> ClusterRun {
        run.apply(&operation);
        run
    }

    fn teardown(mut run: ClusterRun, _: <ClusterModel as ReferenceStateMachine>::State) {
        let violations = run.finish();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_203), ..Config::default() })]

    #[test]
    fn accepted_configuration_is_in_force_everywhere(sequential 60..100 => ClusterTest);
}

/// A fleet without loss, founded and filled with voters.
fn settled_fleet(seed: u64) -> ClusterFleet {
    let mut settings = settings();
    settings.loss_per_mille = 0;
    settings.repeat_per_mille = 0;
    let mut fleet = ClusterFleet::new(settings, seed);
    fleet.run_for(Duration::from_secs(30));
    fleet
}

/// Found by fuzzing: a restarted node took the word of one voter, cut off with it, for a lease.
#[test]
fn one_voter_cut_off_gives_no_lease() {
    let mut fleet = settled_fleet(3);
    let lonely = (0..fleet.len()).find(|node| fleet.zone(*node) == 3 && !fleet.is_leader(*node));
    let lonely = lonely.expect("a node in the zone");
    fleet.crash(lonely);
    fleet.cut_off(|_, zone| zone == 3);
    fleet.restart(lonely);
    fleet.run_for(Duration::from_secs(5));
    assert!(!fleet.may_act(lonely));
    fleet.heal();
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.may_act(lonely));
}

#[test]
fn change_is_accepted_and_held_everywhere() {
    let mut fleet = settled_fleet(1);
    let id = fleet.change(0, 0, false).expect("a node is up");
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.oracle.answers.get("accepted"), Some(&1));
    assert!((0..fleet.len()).all(|node| fleet.holds_change(node, id)));
    assert!(fleet.oracle.violations.is_empty());
}

#[test]
fn regions_cut_from_each_other_refuse_changes_and_go_on_acting() {
    let mut fleet = settled_fleet(2);
    fleet.cut_off(|region, _| region == 0);
    fleet.run_for(Duration::from_secs(10));
    fleet.change(0, 0, false);
    fleet.change(1, 0, false);
    fleet.run_for(Duration::from_secs(10));
    assert_eq!(fleet.oracle.answers.get("accepted"), None);
    assert!((0..fleet.len()).all(|node| fleet.may_act(node)), "both regions act under what is in force");
    fleet.heal();
    fleet.run_for(Duration::from_secs(10));
    fleet.change(0, 0, false);
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.oracle.answers.get("accepted"), Some(&1), "{:?}", fleet.oracle.answers);
}

#[test]
fn platform_that_steps_back_or_is_down_reverts_nothing() {
    let mut fleet = settled_fleet(4);
    fleet.publish();
    fleet.publish();
    fleet.run_for(Duration::from_secs(6));
    let before: Vec<u64> = (0..fleet.len()).map(|node| fleet.revision(node)).collect();
    fleet.step_platform_back(3);
    fleet.run_for(Duration::from_secs(6));
    fleet.step_platform_back(0);
    fleet.run_for(Duration::from_secs(6));
    let after: Vec<u64> = (0..fleet.len()).map(|node| fleet.revision(node)).collect();
    assert_eq!(before, after);
    assert!((0..fleet.len()).all(|node| fleet.may_act(node)));
}

#[test]
fn node_that_was_paused_acts_only_after_a_fresh_lease_and_evicts_nobody() {
    let mut fleet = settled_fleet(5);
    let sleeper = (0..fleet.len()).find(|node| !fleet.is_leader(*node)).expect("a follower");
    let deaths = fleet.deaths_declared();
    fleet.pause(sleeper, Duration::from_millis(900));
    fleet.run_for(Duration::from_secs(8));
    assert_eq!(fleet.deaths_declared(), deaths, "a pause under a second evicts nobody");
    fleet.pause(sleeper, Duration::from_secs(20));
    fleet.run_for(Duration::from_secs(19));
    assert!(!fleet.may_act(sleeper));
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.may_act(sleeper));
    assert!((0..fleet.len()).all(|node| fleet.sees_alive(sleeper, node) && fleet.sees_alive(node, sleeper)));
}

#[test]
fn whole_fleet_replaced_one_by_one_keeps_its_configuration() {
    let mut fleet = settled_fleet(6);
    let id = fleet.change(0, 0, false).expect("a node is up");
    fleet.run_for(Duration::from_secs(4));
    for node in 0..fleet.len() {
        fleet.leave(node);
        fleet.run_for(Duration::from_secs(30));
        assert!(!fleet.may_act(node), "node {node} has ended");
        fleet.restart(node);
        fleet.run_for(Duration::from_secs(10));
    }
    assert!((0..fleet.len()).all(|node| fleet.may_act(node) && fleet.holds_change(node, id)));
    assert!(fleet.oracle.violations.is_empty());
}

#[test]
fn region_that_lost_its_voters_goes_on_acting_by_the_word_of_the_other() {
    let mut fleet = settled_fleet(7);
    let lost: Vec<usize> = (0..fleet.len()).filter(|node| fleet.region(*node) == 0).take(4).collect();
    let survivor = (0..fleet.len()).find(|node| fleet.region(*node) == 0 && !lost.contains(node)).expect("a survivor");
    lost.iter().for_each(|node| fleet.crash(*node));
    fleet.run_for(Duration::from_secs(20));
    assert!(fleet.may_act(survivor), "reads are not stranded");
}

fn state(revision: u64) -> Arc<ConfigState> {
    let mut state = ConfigState::founded_by(VoterSet::default());
    state.revision = revision;
    Arc::new(state)
}

fn accepted(id: u64, revision: u64) -> ProposalReply {
    ProposalReply::Settled { id: ChangeId(id), outcome: ChangeOutcome::Applied { revision } }
}

/// The oracle is itself tested: one bad history per rule.
#[test]
fn oracle_flags_each_broken_rule() {
    let fresh = ClusterOracle::default;
    let run = NodeId(1);

    let mut acts_under_old = fresh();
    acts_under_old.on_proposed(0, ChangeId(1));
    acts_under_old.on_reply(10, accepted(1, 5));
    acts_under_old.observe(20, 0, run, false, &state(4));
    assert!(acts_under_old.violations.is_empty(), "without a lease an old revision does no harm");
    acts_under_old.observe(30, 0, run, true, &state(4));
    assert_eq!(acts_under_old.violations.len(), 1);

    let mut falls_back = fresh();
    falls_back.observe(1, 0, run, true, &state(5));
    falls_back.observe(2, 0, run, true, &state(4));
    assert_eq!(falls_back.violations.len(), 1);

    let mut differ = fresh();
    differ.on_state(0, &state(5));
    let mut other = (*state(5)).clone();
    other.drained.insert(staircross_types::SearcherId(1));
    differ.on_state(1, &Arc::new(other));
    assert_eq!(differ.violations.len(), 1);

    let mut untaken = fresh();
    untaken.on_proposed(0, ChangeId(7));
    untaken.on_reply(1, ProposalReply::NotTaken { id: ChangeId(7) });
    let mut holds = (*state(1)).clone();
    let body = staircross_cluster::ChangeBody::Noop;
    holds.apply(2, &staircross_cluster::Change { id: ChangeId(7), body });
    untaken.on_state(0, &Arc::new(holds));
    assert_eq!(untaken.violations.len(), 1);
}
