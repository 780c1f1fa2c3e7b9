//! Tests of the document's distribution: every node soon holds the newest published document, and never returns to an
//! older one.

mod common;

use common::{Fleet, document};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_cluster::document_relay::{DocumentMessage, DocumentRelay, DocumentSend};
use staircross_config::{PlatformDocument, ServicePolicy};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PEER: NodeId = NodeId(9);

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 1))
}

/// Passes a message to a node and returns its answers.
fn answers_to(relay: &mut DocumentRelay, message: DocumentMessage) -> Vec<DocumentMessage> {
    let mut out = Vec::new();
    relay.on_message(PEER, peer(), message, &mut out);
    out.into_iter().map(|send: DocumentSend| send.message).collect()
}

#[test]
fn only_a_newer_document_is_taken() {
    let mut relay = DocumentRelay::new();
    assert!(relay.adopt(document(3)));
    assert!(!relay.adopt(document(2)), "the platform stepped back");
    assert!(!relay.adopt(document(3)));
    assert_eq!(relay.revision(), 3);
    assert!(relay.adopt(document(4)));
}

#[test]
fn an_invalid_document_is_not_taken_whatever_its_revision() {
    let mut relay = DocumentRelay::new();
    relay.adopt(document(1));
    let mut broken: PlatformDocument = (*document(2)).clone();
    broken.services[0].policy = ServicePolicy { wait_ms: 0, ..ServicePolicy::default() };
    assert!(!relay.adopt(Arc::new(broken)));
    assert_eq!(relay.revision(), 1);
}

#[test]
fn whoever_has_less_gets_the_document_and_whoever_has_more_is_told_what_is_held() {
    let mut relay = DocumentRelay::new();
    relay.adopt(document(5));
    assert_eq!(
        answers_to(&mut relay, DocumentMessage::Holds { revision: 4 }),
        [DocumentMessage::Document(document(5))]
    );
    assert_eq!(
        answers_to(&mut relay, DocumentMessage::Holds { revision: 6 }),
        [DocumentMessage::Holds { revision: 5 }]
    );
    assert_eq!(answers_to(&mut relay, DocumentMessage::Holds { revision: 5 }), []);
    assert_eq!(relay.revision_of(PEER), Some(5));
}

#[test]
fn a_node_that_holds_nothing_asks_and_is_asked_for_nothing() {
    let mut relay = DocumentRelay::new();
    assert_eq!(answers_to(&mut relay, DocumentMessage::Holds { revision: 0 }), []);
    assert_eq!(
        answers_to(&mut relay, DocumentMessage::Holds { revision: 2 }),
        [DocumentMessage::Holds { revision: 0 }]
    );
}

#[test]
fn a_node_without_others_tells_nobody() {
    let mut relay = DocumentRelay::new();
    let mut out = Vec::new();
    relay.on_tick(BootTime::from_millis(1), &[], &mut ChaCha8Rng::seed_from_u64(1), &mut out);
    assert!(out.is_empty());
}

#[test]
fn nodes_that_the_platform_does_not_serve_follow_their_peers() {
    let mut fleet = Fleet::new(9, 1);
    fleet.run_for(Duration::from_secs(3));
    fleet.platform_readers = [4].into();
    fleet.publish();
    fleet.run_for(Duration::from_secs(2));
    assert!(fleet.all_hold(2), "the document isn't in force everywhere within two seconds");
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn a_platform_that_steps_back_or_is_away_reverts_nothing() {
    let mut fleet = Fleet::new(6, 2);
    fleet.publish();
    fleet.publish();
    fleet.run_for(Duration::from_secs(3));
    fleet.served_document = 0;
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.all_hold(3));
    fleet.platform_readers.clear();
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.all_hold(3));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn a_fleet_replaced_node_by_node_keeps_what_is_in_force_while_the_platform_is_away() {
    let mut fleet = Fleet::new(6, 3);
    fleet.publish();
    fleet.run_for(Duration::from_secs(4));
    fleet.platform_readers.clear();
    for index in 0..fleet.len() {
        fleet.crash(index);
        fleet.run_for(Duration::from_secs(1));
        fleet.start(index);
        fleet.run_for(Duration::from_secs(3));
    }
    assert!(fleet.all_hold(2));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn both_sides_of_a_cut_agree_soon_after_it_heals() {
    let mut fleet = Fleet::new(8, 4);
    fleet.run_for(Duration::from_secs(4));
    fleet.partitioned = [0, 1, 2].into();
    fleet.platform_readers = [0].into();
    fleet.publish();
    fleet.run_for(Duration::from_secs(10));
    assert_eq!((fleet.revision(2), fleet.revision(6)), (Some(2), Some(1)));
    fleet.partitioned.clear();
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.all_hold(2));
    assert!(fleet.all_see_all(), "the sides haven't found each other by probes of dead members");
}

#[test]
fn a_pause_under_a_second_evicts_nobody_and_one_of_twenty_is_forgiven() {
    let mut fleet = Fleet::new(8, 5);
    fleet.run_for(Duration::from_secs(5));
    let deaths = fleet.deaths_declared();
    fleet.pause(3, Duration::from_millis(900));
    fleet.run_for(Duration::from_secs(8));
    assert_eq!(fleet.deaths_declared(), deaths);
    fleet.pause(3, Duration::from_secs(20));
    fleet.run_for(Duration::from_secs(19));
    fleet.publish();
    fleet.run_for(Duration::from_secs(11));
    assert!(fleet.all_see_all());
    assert!(fleet.all_hold(2), "the paused node hasn't caught up");
}

#[derive(Clone, Debug)]
enum Operation {
    Publish,
    StepBack(usize),
    Serve(usize, bool),
    Crash(usize),
    Start(usize),
    Pause(usize, u64),
    Cut(usize),
    Heal,
    Loss(u32),
    Run(u64),
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let node = 0..7_usize;
    prop_oneof![
        3 => Just(Operation::Publish),
        1 => (0..4_usize).prop_map(Operation::StepBack),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, is_served)| Operation::Serve(node, is_served)),
        2 => node.clone().prop_map(Operation::Crash),
        2 => node.clone().prop_map(Operation::Start),
        2 => (node.clone(), 100..6000_u64).prop_map(|(node, millis)| Operation::Pause(node, millis)),
        1 => node.prop_map(Operation::Cut),
        1 => Just(Operation::Heal),
        1 => (0..400_u32).prop_map(Operation::Loss),
        4 => (50..4000_u64).prop_map(Operation::Run),
    ]
}

fn apply(fleet: &mut Fleet, operation: &Operation) {
    match operation {
        Operation::Publish => fleet.publish(),
        Operation::StepBack(by) => fleet.served_document = fleet.served_document.saturating_sub(*by),
        Operation::Serve(node, true) => drop(fleet.platform_readers.insert(*node)),
        Operation::Serve(node, false) => {
            fleet.platform_readers.remove(node);
        }
        Operation::Crash(node) => fleet.crash(*node),
        Operation::Start(node) => fleet.start(*node),
        Operation::Pause(node, millis) => fleet.pause(*node, Duration::from_millis(*millis)),
        Operation::Cut(node) => {
            fleet.partitioned.insert(*node);
        }
        Operation::Heal => fleet.partitioned.clear(),
        Operation::Loss(per_mille) => fleet.loss_per_mille = *per_mille,
        Operation::Run(millis) => fleet.run_for(Duration::from_millis(*millis)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Under any sequence of faults, no node returns to an older document or holds one that was never published. Once
    /// the faults are over and one node can read the platform, all nodes hold the newest document and have each other
    /// as alive.
    #[test]
    fn what_the_platform_published_is_in_force_everywhere(
        seed in any::<u64>(),
        operations in prop::collection::vec(any_operation(), 10..40),
    ) {
        let mut fleet = Fleet::new(7, seed);
        for operation in &operations {
            apply(&mut fleet, operation);
        }
        fleet.partitioned.clear();
        fleet.loss_per_mille = 0;
        fleet.served_document = fleet.documents.len() - 1;
        fleet.platform_readers = [(seed % 7) as usize].into();
        for index in 0..fleet.len() {
            if fleet.revision(index).is_none() {
                fleet.start(index);
            }
        }
        fleet.run_for(Duration::from_secs(20));
        prop_assert_eq!(&fleet.violations, &Vec::<String>::new());
        prop_assert!(fleet.all_hold(fleet.newest()), "the newest document isn't in force everywhere");
        prop_assert!(fleet.all_see_all(), "a node isn't known as alive everywhere");
    }
}
