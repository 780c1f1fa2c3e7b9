//! A scripted demo: starts a fleet over loopback in one process, injects faults and shows the replies.
//!
//! The demo ends with an error if something that it shows does not happen.

use crate::fleet::{FIRST_SNAPSHOT, Fleet, FleetError, FleetPlan, ServicePlan, action_policy, search_policy};
use crate::report::Reporter;
use quick_error::quick_error;
use staircross_config::Priority;
use staircross_node::api::{ReplyBody, StatementReply};
use staircross_node::{ClientError, NodeClient};
use staircross_standin::searcher::ControlCommand;
use staircross_standin::{Corpus, Fault};
use staircross_types::{SearcherId, SessionToken, Snapshot};
use std::path::PathBuf;
use std::time::{Duration, Instant};

quick_error! {
    /// Reason why the demo ended early.
    #[derive(Debug)]
    pub enum DemoError {
        /// The fleet did not start.
        Fleet(error: FleetError) {
            from()
            display("{error}")
        }
        /// A call to a node failed.
        Client(error: ClientError) {
            from()
            display("{error}")
        }
        /// The corpus could not be read.
        Corpus(error: staircross_standin::corpus::CorpusError) {
            from()
            display("{error}")
        }
        /// Something that the demo shows did not happen.
        ExpectationFailed { what: &'static str } {
            display("the demo expected: {what}")
        }
    }
}

/// Contract clauses that ship with the program, as JSON lines.
pub const CLAUSES: &str = include_str!("../corpus/clauses.jsonl");
/// Campsite pitches that ship with the program, as JSON lines.
pub const PITCHES: &str = include_str!("../corpus/pitches.jsonl");

/// Options of the demo.
pub struct DemoOptions {
    /// Whether the demo prints JSON instead of text.
    pub json: bool,
    /// Path of the documents for the clause service. Without it, the shipped clauses are used.
    pub corpus: Option<PathBuf>,
    /// Log filter of the nodes.
    pub log: String,
}

struct Demo {
    fleet: Fleet,
    reporter: Reporter,
    client: NodeClient,
    session: SessionToken,
    clauses: Corpus,
}

/// Number of shards of the clause service's index.
const CLAUSE_SHARDS: u32 = 8;

/// Runs all chapters of the demo in one session.
pub fn run(options: &DemoOptions) -> Result<(), DemoError> {
    let reporter = Reporter { json: options.json };
    let clauses = match &options.corpus {
        Some(path) => Corpus::read(path)?,
        None => Corpus::parse("clauses", CLAUSES)?,
    };
    reporter.print_chapter("Starting a platform, 15 searchers in 3 zones and 3 nodes on loopback");
    let fleet = Fleet::start(fleet_plan(&clauses, &options.log)?)?;
    let client = fleet.client(0);
    let session = client.open_session()?;
    reporter.print_note("a session is open at the first node; it stays open through all that follows");
    let mut demo = Demo { fleet, reporter, client, session, clauses };
    demo.show_search()?;
    demo.show_roll_over()?;
    demo.show_straggler()?;
    demo.show_lost_replica()?;
    demo.show_repeated_action()?;
    demo.show_drain()?;
    demo.show_policy_change()?;
    demo.show_planned_stop()?;
    reporter.print_chapter("Done: one session, open from beginning to end");
    Ok(())
}

fn fleet_plan(clauses: &Corpus, log: &str) -> Result<FleetPlan, DemoError> {
    let pitches = Corpus::parse("pitches", PITCHES)?;
    let clause_service = ServicePlan {
        name: "clauses",
        policy: search_policy(1500, 500, Priority::Coverage),
        searchers: 6,
        shards: CLAUSE_SHARDS,
        replicas: 3,
        corpus: clauses.clone(),
        work_time: Duration::from_millis(4),
    };
    let pitch_service = ServicePlan {
        name: "pitches",
        policy: search_policy(400, 700, Priority::Latency),
        corpus: pitches.clone(),
        ..clause_service.clone()
    };
    let booking_service = ServicePlan {
        name: "bookings",
        policy: action_policy(1000),
        searchers: 3,
        shards: 3,
        corpus: pitches,
        ..clause_service.clone()
    };
    Ok(FleetPlan {
        services: vec![clause_service, pitch_service, booking_service],
        zones: vec!["hobart", "launceston", "burnie"],
        nodes: 3,
        log: log.to_owned(),
    })
}

impl Demo {
    fn run_statement(&self, chapter: &str, statement: &str) -> Result<StatementReply, DemoError> {
        let reply = self.client.query(self.session, statement)?;
        self.reporter.print_reply(chapter, statement, &reply);
        Ok(reply)
    }

    fn show_search(&self) -> Result<(), DemoError> {
        self.reporter.print_chapter("Clause search and pitch search over 8 shards each");
        self.run_statement("search", "SEARCH 'audit notice' IN SERVICE clauses LIMIT 3")?;
        self.run_statement("search", "SEARCH 'caravan electricity' IN SERVICE pitches WAIT 200 MS LIMIT 3")?;
        self.run_statement("search", "PULL '' IN SERVICE clauses LIMIT 5")?;
        self.run_statement("search", "SEARCH 'audit' IN clauses WAIT soon")?;
        Ok(())
    }

    fn show_roll_over(&mut self) -> Result<(), DemoError> {
        self.reporter.print_chapter("A new index version arrives while queries run");
        let snapshot = Snapshot { version: 2, ..FIRST_SNAPSHOT };
        let newer = mark_as_amended(&self.clauses);
        let map = self.fleet.make_shard_map("clauses", snapshot, CLAUSE_SHARDS);
        let mut maps = self.fleet.shard_maps_of("clauses");
        maps.push(map.clone());
        let searchers = self.fleet.searchers_of("clauses");
        self.fleet.publish_shard_maps("clauses", maps);
        for (done, id) in searchers.iter().enumerate() {
            if done == 1 {
                self.reporter
                    .print_note("one searcher of six has version 2; answers still come from version 1 as a whole");
            }
            self.run_statement("roll-over", "SEARCH 'audit notice' IN SERVICE clauses LIMIT 1")?;
            self.fleet.load_snapshot_at(*id, "clauses", &newer, &map);
            std::thread::sleep(Duration::from_millis(150));
        }
        let reached = self.wait_for_snapshot("2.1.1")?;
        self.reporter.print_note("every shard of version 2 is covered now, so the service has moved to it:");
        self.reporter.print_reply("roll-over", "SEARCH 'audit notice' IN SERVICE clauses LIMIT 1", &reached);
        for id in &searchers {
            if let Some(searcher) = self.fleet.searchers.get(id) {
                searcher.control(ControlCommand::Retire { snapshot: FIRST_SNAPSHOT });
            }
        }
        self.fleet.publish_shard_maps("clauses", vec![map]);
        self.run_statement("roll-over", "SEARCH 'audit notice' IN SERVICE clauses LIMIT 1")?;
        Ok(())
    }

    fn wait_for_snapshot(&self, wanted: &str) -> Result<StatementReply, DemoError> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            let reply = self.client.query(self.session, "SEARCH 'audit notice' IN SERVICE clauses LIMIT 1")?;
            if matches!(&reply.body, ReplyBody::Answer(answer) if answer.snapshot == wanted) {
                return Ok(reply);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(DemoError::ExpectationFailed { what: "the service moves to the new version" })
    }

    fn show_straggler(&self) -> Result<(), DemoError> {
        self.reporter.print_chapter("One searcher becomes very slow");
        let id = SearcherId(1);
        // The nodes need enough fast replies first to measure the usual latency.
        for _ in 0..40 {
            self.client.query(self.session, "SEARCH 'insurance' IN SERVICE clauses LIMIT 1")?;
        }
        self.control_searcher(id, ControlCommand::AddFault { fault: Fault::Slow { delay_ms: 600 }, calls: None });
        self.reporter.print_note(
            "within the hedge budget, other replicas are asked for its shards too; then the searcher is avoided",
        );
        for _ in 0..4 {
            self.run_statement("straggler", "SEARCH 'insurance certificates' IN SERVICE clauses LIMIT 1")?;
        }
        self.control_searcher(id, ControlCommand::ClearFaults);
        Ok(())
    }

    fn show_lost_replica(&self) -> Result<(), DemoError> {
        self.reporter.print_chapter("A replica is lost, then every replica of one shard");
        self.control_searcher(SearcherId(2), ControlCommand::AddFault { fault: Fault::Dead, calls: None });
        self.run_statement("lost replica", "SEARCH 'privacy breach' IN SERVICE clauses LIMIT 1")?;
        for id in [3, 4] {
            self.control_searcher(SearcherId(id), ControlCommand::AddFault { fault: Fault::Dead, calls: None });
        }
        std::thread::sleep(Duration::from_millis(1500));
        self.reporter.print_note("shards whose replicas are all on the three lost searchers are listed as missing:");
        self.run_statement("lost replica", "SEARCH 'privacy breach' IN SERVICE clauses LIMIT 1")?;
        self.run_statement("lost replica", "SEARCH 'privacy breach' IN SERVICE clauses COVERAGE 100% LIMIT 1")?;
        for id in [2, 3, 4] {
            self.control_searcher(SearcherId(id), ControlCommand::ClearFaults);
        }
        std::thread::sleep(Duration::from_millis(1500));
        self.run_statement("lost replica", "SEARCH 'privacy breach' IN SERVICE clauses COVERAGE 100% LIMIT 1")?;
        Ok(())
    }

    fn show_repeated_action(&self) -> Result<(), DemoError> {
        self.reporter.print_chapter("A booking is confirmed, and the confirmation is sent again");
        let ticket = self.client.mint_ticket(self.session)?;
        let statement = format!("RUN confirm ON 'pitch-017' IN SERVICE bookings NOTE 'stay-4711' TICKET '{ticket}'");
        self.run_statement("confirm", &statement)?;
        self.run_statement("confirm", &statement)?;
        let executions: usize =
            self.fleet.searchers.values().map(|searcher| searcher.ledger().count_actions("stay-4711")).sum();
        self.reporter.print_note(&format!("the searchers' ledgers show that it ran {executions} time"));
        if executions != 1 {
            return Err(DemoError::ExpectationFailed { what: "the confirmation runs once" });
        }
        self.run_statement("confirm", "RUN confirm ON 'pitch-018' IN SERVICE bookings")?;
        Ok(())
    }

    fn show_drain(&self) -> Result<(), DemoError> {
        self.reporter.print_chapter("A searcher is drained");
        let id = SearcherId(7);
        self.control_searcher(id, ControlCommand::Drain);
        self.run_statement("drain", "SEARCH 'scout meadow' IN SERVICE pitches LIMIT 1")?;
        std::thread::sleep(Duration::from_millis(1200));
        let before = self.ledger_length(id);
        for _ in 0..5 {
            self.run_statement("drain", "SEARCH 'scout meadow' IN SERVICE pitches LIMIT 1")?;
        }
        let new_work = self.ledger_length(id) - before;
        self.reporter.print_note(&format!("calls executed by searcher {id} after the drain: {new_work}"));
        if new_work != 0 {
            return Err(DemoError::ExpectationFailed { what: "a drained searcher gets no new work" });
        }
        Ok(())
    }

    fn show_policy_change(&mut self) -> Result<(), DemoError> {
        self.reporter
            .print_chapter("An operator changes a policy: a node plans the document, the platform publishes it");
        for statement in ["ALTER SERVICE pitches SET WAIT 9000000 MS", "ALTER SERVICE pitches SET WAIT 300 MS"] {
            let reply = self.client.command(statement)?;
            self.reporter.print_reply("change", statement, &reply);
            if let ReplyBody::Planned { document } = reply.body {
                let revision = document.revision;
                self.fleet.publish_document(*document);
                self.wait_for_revision(revision)?;
                self.reporter.print_note(&format!("revision {revision} is in force at every node"));
            }
        }
        Ok(())
    }

    /// Waits until every live node holds at least this revision of the document.
    fn wait_for_revision(&self, revision: u64) -> Result<(), DemoError> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            let members = self.client.status()?.members;
            let live = members.iter().filter(|member| member.state == "alive");
            if live.into_iter().all(|member| member.revision.is_some_and(|held| held >= revision)) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(DemoError::ExpectationFailed { what: "the change is in force everywhere" })
    }

    fn show_planned_stop(&mut self) -> Result<(), DemoError> {
        self.reporter.print_chapter("The node that holds the session stops as planned, with a request in flight");
        for id in self.fleet.searchers_of("clauses") {
            self.control_searcher(
                id,
                ControlCommand::AddFault { fault: Fault::Slow { delay_ms: 300 }, calls: Some(1) },
            );
        }
        let client = self.client.clone();
        let session = self.session;
        let statement = "SEARCH 'warranty' IN SERVICE clauses LIMIT 1";
        let in_flight = std::thread::spawn(move || client.query(session, statement));
        std::thread::sleep(Duration::from_millis(60));
        let node =
            self.fleet.nodes[0].take().ok_or(DemoError::ExpectationFailed { what: "the first node is running" })?;
        node.begin_stop();
        let reply =
            in_flight.join().map_err(|_| DemoError::ExpectationFailed { what: "the request in flight ends" })??;
        self.reporter.print_reply("planned stop", statement, &reply);
        let Some(next) = reply.moved_to else {
            return Err(DemoError::ExpectationFailed { what: "the reply names the next node" });
        };
        self.reporter.print_note(&format!("the reply names {next}; the same session continues there:"));
        self.client = NodeClient::new(next);
        self.run_statement("planned stop", "SEARCH 'warranty defects' IN SERVICE clauses LIMIT 1")?;
        node.wait();
        self.reporter.print_note("the stopped node has ended and interrupted no request in flight");
        self.run_statement("planned stop", "SEARCH 'warranty defects' IN SERVICE clauses LIMIT 1")?;
        Ok(())
    }

    fn control_searcher(&self, id: SearcherId, command: ControlCommand) {
        if let Some(searcher) = self.fleet.searchers.get(&id) {
            searcher.control(command);
        }
    }

    fn ledger_length(&self, id: SearcherId) -> usize {
        self.fleet.searchers.get(&id).map_or(0, |searcher| searcher.ledger().entries.len())
    }
}

/// Returns the documents of the next version. Each title is marked with the version.
fn mark_as_amended(corpus: &Corpus) -> Corpus {
    let mut amended = corpus.clone();
    for document in &mut amended.documents {
        document.title.push_str(" [version 2]");
    }
    amended
}
