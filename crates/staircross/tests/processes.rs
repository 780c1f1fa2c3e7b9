//! Real node processes over loopback with sessions under load: rolling stop of all, a kill, a pause.
//!
//! Platform and searchers are stand-ins in the test's own process. What is asserted doesn't depend
//! on timing: answers are right, coverage adds up, no session is lost, no planned stop cuts a
//! request, nothing that must run once runs twice.

use rustix::process::{Pid, Signal, kill_process};
use staircross_config::{PlatformDocument, SearcherDefinition, ServiceDefinition, ServicePolicy};
use staircross_node::api::ReplyBody;
use staircross_node::{ClientError, NodeClient};
use staircross_standin::loopback;
use staircross_standin::platform::PlatformMode;
use staircross_standin::{Corpus, Document, PlatformStandin, SearcherSettings, SearcherStandin};
use staircross_types::{
    ErrorKind, GroupId, SearcherId, ServiceName, SessionToken, ShardId, ShardMap, ShardPlacement, Snapshot, ZoneName,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 6;
const SEARCHERS: u32 = 4;
const SHARDS: u32 = 8;
const DOCUMENTS: u64 = 64;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
const SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
/// Far longer than anything takes; a test that hangs must end.
const PATIENCE: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    loopback::free_address().expect("a free port")
}

fn corpus() -> Corpus {
    let document = |number: u64| Document {
        id: format!("doc-{number:03}"),
        title: format!("clause {number}"),
        body: "common wording".to_owned(),
    };
    Corpus { documents: (0..DOCUMENTS).map(document).collect() }
}

fn service(name: &str, first: u32, policy: ServicePolicy) -> ServiceDefinition {
    let ids: Vec<u32> = (first..first + SEARCHERS).collect();
    let searchers = ids.iter().map(|id| SearcherDefinition {
        id: SearcherId(*id),
        address: free_address(),
        zone: ZoneName::new(ZONES[*id as usize % ZONES.len()]),
        group: GroupId(*id / 2),
        slots: 4,
        connections: 70,
    });
    let place = |shard: u32| ShardPlacement {
        shard: ShardId(shard),
        replicas: (0..3).map(|step| SearcherId(first + (shard + step) % SEARCHERS)).collect(),
    };
    ServiceDefinition {
        name: ServiceName::new(name),
        policy,
        searchers: searchers.collect(),
        shard_maps: vec![ShardMap { snapshot: SNAPSHOT, shards: (0..SHARDS).map(place).collect() }],
    }
}

/// Stand-ins and node processes. Processes are killed when dropped.
struct Fleet {
    searchers: Vec<SearcherStandin>,
    settings: Vec<PathBuf>,
    callers: Vec<SocketAddr>,
    nodes: Vec<Child>,
    platform: PlatformStandin,
    document: PlatformDocument,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            // It may have ended already.
            let _may_have_ended = node.kill();
            let _reaped = node.wait();
        }
    }
}

impl Fleet {
    fn start(folder: &Path) -> Fleet {
        let search = ServicePolicy { wait_ms: 3000, least_coverage_per_mille: 1, ..ServicePolicy::default() };
        let act = ServicePolicy {
            repeatable: false,
            hedge_per_mille: 0,
            retry_per_mille: 0,
            wait_ms: 3000,
            ..ServicePolicy::default()
        };
        let services = vec![service("clauses", 0, search), service("bookings", 100, act)];
        let searchers = services.iter().flat_map(start_searchers).collect();
        let platform = free_address();
        let document = PlatformDocument::new(1, services);
        let platform_standin = PlatformStandin::start(platform, document.clone()).expect("the platform starts");
        let addresses: Vec<(SocketAddr, SocketAddr)> = (0..NODES).map(|_| (free_address(), free_address())).collect();
        let settings = write_settings(folder, platform, &addresses);
        let nodes = settings.iter().map(|path| start_node(path)).collect();
        let callers = addresses.iter().map(|(callers, _)| *callers).collect();
        let fleet = Fleet { searchers, settings, callers, nodes, platform: platform_standin, document };
        (0..NODES).for_each(|index| fleet.wait_ready(index));
        fleet
    }

    fn client(&self, index: usize) -> NodeClient {
        NodeClient::new(self.callers[index % NODES])
    }

    fn is_ready(&self, index: usize) -> bool {
        let client = self.client(index);
        let alive = client.status().is_ok_and(|status| {
            status.ready && status.members.iter().filter(|member| member.state == "alive").count() == NODES
        });
        let serving = |reply: ReplyBody| match reply {
            ReplyBody::Listing(listing) => {
                listing.rows.len() == 2 * SEARCHERS as usize && listing.rows.iter().all(|row| row[4] == "serving")
            }
            _ => false,
        };
        alive && client.command("SHOW SEARCHERS").is_ok_and(|reply| serving(reply.body))
    }

    fn wait_ready(&self, index: usize) {
        let started = Instant::now();
        while !self.is_ready(index) {
            assert!(started.elapsed() < PATIENCE, "node {index} isn't ready");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn signal(&self, index: usize, signal: Signal) {
        let pid = Pid::from_child(&self.nodes[index]);
        kill_process(pid, signal).expect("the node can be signalled");
    }

    /// Publishes the next revision, with another wait bound.
    fn publish(&mut self, wait_ms: u64) -> u64 {
        self.document.revision += 1;
        self.document.services[0].policy.wait_ms = wait_ms;
        self.platform.publish(self.document.clone());
        self.document.revision
    }

    fn revision(&self, index: usize) -> u64 {
        self.client(index).status().map_or(0, |status| status.revision)
    }

    /// Waits until every node holds `revision`; none may ever hold less than `least`.
    fn wait_in_force(&self, revision: u64, least: u64) {
        let started = Instant::now();
        loop {
            let held: Vec<u64> = (0..NODES).map(|index| self.revision(index)).collect();
            assert!(held.iter().all(|held| *held >= least), "an older revision than {least}: {held:?}");
            if held.iter().all(|held| *held == revision) {
                return;
            }
            assert!(started.elapsed() < PATIENCE, "revision {revision} isn't in force everywhere: {held:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn replace(&mut self, index: usize) {
        self.nodes[index] = start_node(&self.settings[index]);
        self.wait_ready(index);
    }
}

fn start_searchers(service: &ServiceDefinition) -> Vec<SearcherStandin> {
    let start = |definition: &SearcherDefinition| {
        let searcher = SearcherStandin::start(SearcherSettings {
            id: definition.id,
            listen: definition.address,
            slots: definition.slots,
            queue: 16,
            connections: definition.connections,
            work: Duration::from_millis(3),
            cold: Duration::ZERO,
        })
        .expect("a searcher starts");
        let map = &service.shard_maps[0];
        let held = map.shards.iter().filter(|placement| placement.replicas.contains(&definition.id));
        let held: Vec<ShardId> = held.map(|placement| placement.shard).collect();
        searcher.publish(SNAPSHOT, &corpus(), &held, SHARDS as usize);
        searcher
    };
    service.searchers.iter().map(start).collect()
}

fn write_settings(folder: &Path, platform: SocketAddr, addresses: &[(SocketAddr, SocketAddr)]) -> Vec<PathBuf> {
    let seeds: Vec<String> = addresses.iter().map(|(_, peers)| format!("\"{peers}\"")).collect();
    let write = |(index, (callers, peers)): (usize, &(SocketAddr, SocketAddr))| {
        let text = format!(
            "[node]\nregion = \"home\"\nzone = \"{}\"\nlisten = \"{callers}\"\npeer_listen = \"{peers}\"\n\
             cluster = \"test\"\ncluster_key = \"a key for this test only\"\nlog = \"off\"\nseeds = [{}]\n\
             [platform]\naddress = \"{platform}\"\npoll_ms = 100\n",
            ZONES[index % ZONES.len()],
            seeds.join(", ")
        );
        let path = folder.join(format!("node{index}.toml"));
        std::fs::write(&path, text).expect("settings are written");
        path
    };
    addresses.iter().enumerate().map(write).collect()
}

fn start_node(settings: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_staircross"));
    command.args(["node", "--settings"]).arg(settings).stdout(Stdio::null());
    loopback::spawn(&mut command).expect("a node starts")
}

/// What went wrong, gathered from all callers.
#[derive(Clone, Default)]
struct Findings {
    wrong: Arc<Mutex<Vec<String>>>,
    /// Whether a broken connection is a fault: not while nodes are killed.
    is_cut_a_fault: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Findings {
    fn add(&self, what: String) {
        self.wrong.lock().expect("no caller panics").push(what);
    }
}

/// One caller: a session, queries one after the other, going where replies send it.
fn run_caller(number: usize, session: SessionToken, callers: Vec<SocketAddr>, findings: &Findings) -> usize {
    let mut at = number;
    let mut client = NodeClient::new(callers[at % callers.len()]);
    let mut answers = 0;
    while !findings.stop.load(Ordering::Acquire) {
        match client.query(session, "SEARCH 'common' IN SERVICE clauses LIMIT 100") {
            Ok(reply) => {
                match &reply.body {
                    ReplyBody::Answer(answer) => {
                        answers += 1;
                        let told = answer.shards_included + answer.shards_missing.len();
                        let is_whole = answer.shards_missing.is_empty();
                        if told != SHARDS as usize || answer.snapshot != SNAPSHOT.to_string() {
                            findings.add(format!("coverage or snapshot is wrong: {answer:?}"));
                        }
                        if is_whole && (answer.matched != DOCUMENTS || answer.hits.len() as u64 != DOCUMENTS) {
                            findings.add(format!("{} of {DOCUMENTS} documents in a whole answer", answer.matched));
                        }
                    }
                    ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::UnknownSession => {
                        findings.add(format!("session {number} was lost: {}", refusal.detail));
                    }
                    ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::Leaving => at += 1,
                    _ => {}
                }
                if let Some(next) = reply.moved_to {
                    client = NodeClient::new(next);
                }
            }
            Err(error) => {
                if findings.is_cut_a_fault.load(Ordering::Acquire) {
                    findings.add(format!("caller {number} was cut off: {error}"));
                }
                at += 1;
                client = NodeClient::new(callers[at % callers.len()]);
            }
        }
    }
    answers
}

fn wait_for_exit(node: &mut Child) -> Option<i32> {
    let started = Instant::now();
    loop {
        if let Some(status) = node.try_wait().expect("the node can be waited for") {
            return status.code();
        }
        assert!(started.elapsed() < PATIENCE, "a stopping node ends");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn confirm(client: &NodeClient, note: &str) -> Result<String, ClientError> {
    let session = client.open_session()?;
    let ticket = client.mint_ticket(session)?;
    let statement = format!("RUN confirm ON 'doc-001' IN SERVICE bookings NOTE '{note}' TICKET '{ticket}'");
    client.query(session, &statement)?;
    client.query(session, &statement)?;
    Ok(ticket)
}

#[test]
fn fleet_of_processes_keeps_its_promises_through_stops_kills_and_pauses() {
    let folder = std::env::temp_dir().join(format!("staircross-processes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start(&folder);
    let findings = Findings::default();
    findings.is_cut_a_fault.store(true, Ordering::Release);
    let load: Vec<_> = (0..6)
        .map(|number| {
            let callers = fleet.callers.clone();
            let findings = findings.clone();
            // Before any node stops: a stopping node opens no new session.
            let session = fleet.client(number).open_session().expect("a session opens");
            std::thread::spawn(move || run_caller(number, session, callers, &findings))
        })
        .collect();

    // Rolling replacement of the whole fleet cuts nothing; a second signal changes nothing.
    for index in 0..NODES {
        fleet.signal(index, Signal::TERM);
        if index % 2 == 0 {
            fleet.signal(index, Signal::TERM);
        }
        assert_eq!(wait_for_exit(&mut fleet.nodes[index]), Some(0), "node {index} ends well");
        fleet.replace(index);
    }

    // What the platform publishes is in force everywhere, and nothing brings an older revision back.
    let second = fleet.publish(2900);
    fleet.wait_in_force(second, 1);
    fleet.platform.set_mode(PlatformMode::SteppedBack);
    std::thread::sleep(Duration::from_millis(500));
    fleet.wait_in_force(second, second);
    fleet.platform.set_mode(PlatformMode::Down);

    // A killed node loses its connections, not its sessions; a paused one wakes late.
    findings.is_cut_a_fault.store(false, Ordering::Release);
    fleet.signal(0, Signal::KILL);
    wait_for_exit(&mut fleet.nodes[0]);
    fleet.signal(1, Signal::STOP);
    std::thread::sleep(Duration::from_millis(3500));
    fleet.signal(1, Signal::CONT);
    fleet.replace(0);
    fleet.wait_ready(1);
    // The platform is down, so the node that was started anew has the document from its peers.
    fleet.wait_in_force(second, second);
    fleet.platform.set_mode(PlatformMode::Up);

    // An action sent twice with one ticket ran once.
    confirm(&fleet.client(2), "once").expect("the action is answered");
    let ran: usize = fleet.searchers.iter().map(|searcher| searcher.ledger().count_actions("once")).sum();
    assert_eq!(ran, 1);

    findings.stop.store(true, Ordering::Release);
    let answers: usize = load.into_iter().map(|caller| caller.join().expect("a caller ends")).sum();
    let wrong = findings.wrong.lock().expect("no caller panics").clone();
    assert!(wrong.is_empty(), "{} findings, the first: {:?}", wrong.len(), &wrong[..wrong.len().min(5)]);
    assert!(answers > 0, "the load was answered");
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}

/// Nodes that may hold a session and don't answer in time haven't said that they lack it. Seen: once beside load, a caller that moved on from a stopping
/// node was told that its session was lost.
#[test]
fn a_session_is_not_called_lost_while_nodes_that_may_hold_it_are_silent() {
    let folder = std::env::temp_dir().join(format!("staircross-silent-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let fleet = Fleet::start(&folder);
    let session = fleet.client(0).open_session().expect("a session opens");
    let search = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
    // Copies are in other zones than the holder's, and the holder is killed.
    let keepers: Vec<usize> = (0..NODES).filter(|index| index % ZONES.len() != 0).collect();
    keepers.iter().for_each(|index| fleet.signal(*index, Signal::STOP));
    fleet.signal(0, Signal::KILL);
    let silent = fleet.client(3).query(session, search).expect("a reply");
    keepers.iter().for_each(|index| fleet.signal(*index, Signal::CONT));
    let ReplyBody::Refusal(refusal) = silent.body else {
        panic!("nobody could have told the session: {silent:?}");
    };
    assert_eq!(refusal.error, ErrorKind::SessionSought, "{}", refusal.detail);
    let is_answered =
        || matches!(fleet.client(3).query(session, search), Ok(reply) if matches!(reply.body, ReplyBody::Answer(_)));
    let started = Instant::now();
    while !is_answered() {
        assert!(started.elapsed() < PATIENCE, "the session isn't found once they answer");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}

/// A session that rests while all other nodes are replaced lives at its holder alone, and is lost with it. Why: its state was copied when it changed, to those
/// that were to keep it then; whoever came in their place was never sent a copy. Shown by this test: after the replacements and the holder's end, the
/// others answer `unknown_session`.
#[test]
fn a_session_that_rests_outlives_the_replacement_of_those_that_keep_copies() {
    let folder = std::env::temp_dir().join(format!("staircross-resting-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start(&folder);
    let session = fleet.client(0).open_session().expect("a session opens");
    for index in 1..NODES {
        fleet.signal(index, Signal::KILL);
        wait_for_exit(&mut fleet.nodes[index]);
        fleet.replace(index);
    }
    fleet.signal(0, Signal::KILL);
    let search = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
    let started = Instant::now();
    loop {
        let reply = fleet.client(1).query(session, search).expect("a reply");
        match reply.body {
            ReplyBody::Answer(_) => break,
            ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::SessionSought => {}
            other => panic!("the session is lost: {other:?}"),
        }
        assert!(started.elapsed() < PATIENCE, "the session isn't found");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}

/// Asks a node for its status, each time on the connection that is left, until it can't be connected to; returns what was cut.
fn cut_until_refused(address: SocketAddr) -> Vec<String> {
    let mut cut = Vec::new();
    let mut kept: Option<TcpStream> = None;
    while let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(address).ok()) {
        let answer = ask_status(&mut stream);
        match answer {
            Ok(head) => kept = Some(stream).filter(|_| !head.to_ascii_lowercase().contains("connection: close")),
            Err(error) => cut.push(error.to_string()),
        }
    }
    cut
}

/// The head of the answer.
fn ask_status(stream: &mut TcpStream) -> std::io::Result<String> {
    stream.write_all(b"GET /livez HTTP/1.1\r\nHost: node\r\n\r\n")?;
    let mut text = Vec::new();
    let mut buffer = [0_u8; 1024];
    while !text.ends_with(b"alive\n") {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(std::io::Error::other(format!("closed after {} bytes", text.len())));
        }
        text.extend_from_slice(&buffer[..count]);
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// What happens: a stopping node of the session tier ends when nothing is in flight, and its listener takes connections until the process is gone, so that callers who go on asking are
/// cut. Why: the node counts requests and not connections, and the server library can't be told to stop listening.
#[test]
fn callers_that_go_on_asking_a_node_of_the_session_tier_until_its_stop_is_over_are_never_cut() {
    let folder = std::env::temp_dir().join(format!("staircross-stop-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start(&folder);
    let address = fleet.callers[0];
    let callers: Vec<_> = (0..8).map(|_| std::thread::spawn(move || cut_until_refused(address))).collect();
    fleet.signal(0, Signal::TERM);
    let cut: Vec<String> = callers.into_iter().flat_map(|caller| caller.join().expect("a caller ends")).collect();
    assert!(cut.is_empty(), "{} requests cut, the first: {:?}", cut.len(), cut.first());
    assert_eq!(wait_for_exit(&mut fleet.nodes[0]), Some(0));
}
