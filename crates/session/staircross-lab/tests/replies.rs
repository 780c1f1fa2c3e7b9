//! Faulty replies over real connections. The answer must list exactly the shards of the faulty searcher as missing and
//! have hits of the included shards only, and an action must not be sent again when its reply is lost.

use staircross_config::Priority;
use staircross_lab::demo::{CLAUSES, PITCHES};
use staircross_lab::fleet::{Fleet, FleetPlan, ServicePlan, action_policy, search_policy};
use staircross_node::NodeClient;
use staircross_node::api::{AnswerBody, ReplyBody};
use staircross_standin::searcher::ControlCommand;
use staircross_standin::{Corpus, Fault};
use staircross_types::{ErrorKind, Executed, MissingCause, SearcherId, SessionToken, ShardId};
use std::collections::BTreeSet;
use std::time::Duration;

/// Searcher that replies wrongly. Each shard has one replica, so the shards of this searcher are missing in the answer.
const FAULTY: SearcherId = SearcherId(1);
const SHARDS: usize = 6;

struct TestFleet {
    fleet: Fleet,
    client: NodeClient,
    session: SessionToken,
}

impl TestFleet {
    fn new() -> Self {
        let clauses = ServicePlan {
            name: "clauses",
            policy: search_policy(700, 1, Priority::Coverage),
            searchers: 3,
            shards: SHARDS as u32,
            replicas: 1,
            corpus: Corpus::parse("clauses", CLAUSES).expect("well-formed"),
            work_time: Duration::ZERO,
        };
        let bookings = ServicePlan {
            name: "bookings",
            policy: action_policy(700),
            replicas: 3,
            corpus: Corpus::parse("pitches", PITCHES).expect("well-formed"),
            ..clauses.clone()
        };
        let plan = FleetPlan { services: vec![clauses, bookings], zones: vec!["z0"], nodes: 1, log: "off".into() };
        let fleet = Fleet::start(plan).expect("the fleet starts");
        let client = fleet.client(0);
        let session = client.open_session().expect("a session opens");
        TestFleet { fleet, client, session }
    }

    fn inject_fault(&self, id: SearcherId, fault: Fault) {
        self.fleet.searchers[&id].control(ControlCommand::AddFault { fault, calls: None });
    }

    fn clear_faults(&self) {
        self.fleet.searchers.values().for_each(|searcher| searcher.control(ControlCommand::ClearFaults));
    }

    fn search(&self) -> AnswerBody {
        let reply = self.client.query(self.session, "SEARCH 'notice' IN SERVICE clauses LIMIT 1000");
        match reply.expect("the node replies").body {
            ReplyBody::Answer(answer) => answer,
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    fn shards_of(&self, id: SearcherId) -> BTreeSet<ShardId> {
        let map = &self.fleet.shard_maps_of("clauses")[0];
        map.shards
            .iter()
            .filter(|placement| placement.replicas.contains(&id))
            .map(|placement| placement.shard)
            .collect()
    }

    /// Searches while one searcher has a fault, and checks that exactly its shards are missing, for the given cause.
    fn assert_only_faulty_is_missing(&self, complete: &AnswerBody, fault: Fault, cause: MissingCause) {
        self.inject_fault(FAULTY, fault.clone());
        let answer = self.search();
        self.clear_faults();
        let lost = self.shards_of(FAULTY);
        let missing: BTreeSet<ShardId> = answer.shards_missing.iter().map(|missing| missing.shard).collect();
        assert_eq!(missing, lost, "{fault:?}");
        assert!(answer.shards_missing.iter().all(|missing| missing.cause == cause), "{fault:?}: {answer:?}");
        assert_eq!(answer.shards_included + missing.len(), answer.shards_total, "{fault:?}");
        let expected: BTreeSet<&str> =
            complete.hits.iter().filter(|hit| !lost.contains(&hit.shard)).map(|hit| hit.document.as_str()).collect();
        let got: BTreeSet<&str> = answer.hits.iter().map(|hit| hit.document.as_str()).collect();
        assert_eq!(got, expected, "{fault:?}: the hits must be exactly the documents of the included shards");
        // A node sends nothing to a searcher for a while after several failures. The test waits until that is over.
        std::thread::sleep(Duration::from_millis(300));
    }
}

#[test]
fn wrong_replies_are_stated_as_missing_and_never_merged() {
    let test_fleet = TestFleet::new();
    let complete = test_fleet.search();
    assert_eq!((complete.shards_included, complete.shards_missing.len()), (SHARDS, 0));
    test_fleet.assert_only_faulty_is_missing(&complete, Fault::CrossReply, MissingCause::Unreachable);
    test_fleet.assert_only_faulty_is_missing(&complete, Fault::TruncateReply, MissingCause::Unreachable);
    test_fleet.assert_only_faulty_is_missing(&complete, Fault::WrongSnapshot, MissingCause::Unreachable);
    test_fleet.assert_only_faulty_is_missing(&complete, Fault::DamageReply, MissingCause::Unreachable);
    test_fleet.assert_only_faulty_is_missing(&complete, Fault::Slow { delay_ms: 1500 }, MissingCause::Late);
    assert_eq!(test_fleet.search().shards_included, SHARDS, "without faults, the answer includes all shards again");
}

#[test]
fn action_whose_reply_is_lost_is_not_sent_again() {
    let test_fleet = TestFleet::new();
    for id in test_fleet.fleet.searchers_of("bookings") {
        test_fleet.inject_fault(id, Fault::LoseReply);
    }
    let ticket = test_fleet.client.mint_ticket(test_fleet.session).expect("a ticket");
    let statement = format!("RUN confirm ON 'pitch-001' IN SERVICE bookings NOTE 'n1' TICKET '{ticket}'");
    for _ in 0..2 {
        let reply = test_fleet.client.query(test_fleet.session, &statement).expect("the node replies");
        match reply.body {
            ReplyBody::Refusal(refusal) => {
                assert_eq!((refusal.error, refusal.executed), (ErrorKind::OutcomeUnknown, Executed::Maybe));
            }
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
    let ran: usize = test_fleet.fleet.searchers.values().map(|searcher| searcher.ledger().count_actions("n1")).sum();
    assert_eq!(ran, 1, "the action must run once: neither the node nor the HTTP client may send it again");
}
