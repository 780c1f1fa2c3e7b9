//! Node processes of the session tier over loopback. The platform and the searchers are stand-ins in the test process.
#![allow(dead_code)]

use rustix::process::{Pid, Signal, kill_process};
use staircross_config::{PlatformDocument, SearcherDefinition, ServiceDefinition, ServicePolicy};
use staircross_node::NodeClient;
use staircross_node::api::ReplyBody;
use staircross_standin::loopback;
use staircross_standin::{Corpus, Document, PlatformStandin, SearcherSettings, SearcherStandin};
use staircross_types::{GroupId, SearcherId, ServiceName, ShardId, ShardMap, ShardPlacement, Snapshot, ZoneName};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const NODES: usize = 6;
const SEARCHERS: u32 = 4;
pub const SHARDS: u32 = 8;
pub const DOCUMENTS: u64 = 64;
pub const ZONES: [&str; 3] = ["z0", "z1", "z2"];
pub const SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };
/// Time between two reads of the platform, unless a test needs another.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a wait fails, so that a test that hangs ends. It is far longer than any step takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

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

/// Stand-ins and node processes. The processes are killed on drop. If the test fails, their logs are printed.
pub struct Fleet {
    pub searchers: Vec<SearcherStandin>,
    settings: Vec<PathBuf>,
    pub callers: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub nodes: Vec<Child>,
    pub platform: PlatformStandin,
    document: PlatformDocument,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            // The process may have ended already.
            let _may_have_ended = node.kill();
            let _reaped = node.wait();
        }
        if std::thread::panicking() {
            self.settings.iter().for_each(|settings| print_log(settings));
        }
    }
}

impl Fleet {
    pub fn start(folder: &Path) -> Fleet {
        Fleet::start_with(folder, "")
    }

    /// Starts a fleet whose nodes have `further` lines at the end of their settings.
    pub fn start_with(folder: &Path, further: &str) -> Fleet {
        Fleet::start_proxied(folder, further, |platform| platform)
    }

    /// Starts a fleet like [`Fleet::start_with`], whose nodes read the platform at the address that `proxy` returns for
    /// the platform's own.
    pub fn start_proxied(folder: &Path, further: &str, proxy: impl FnOnce(SocketAddr) -> SocketAddr) -> Fleet {
        Fleet::start_polling(folder, further, POLL_INTERVAL, proxy)
    }

    /// Starts a fleet like [`Fleet::start_proxied`], whose nodes read the platform at an interval.
    pub fn start_polling(
        folder: &Path,
        further: &str,
        poll_interval: Duration,
        proxy: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Fleet {
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
        let settings = write_settings(folder, (proxy(platform), poll_interval), &addresses, further);
        let nodes = settings.iter().map(|path| start_node(path)).collect();
        let callers = addresses.iter().map(|(callers, _)| *callers).collect();
        let peers = addresses.iter().map(|(_, peers)| *peers).collect();
        let fleet = Fleet { searchers, settings, callers, peers, nodes, platform: platform_standin, document };
        (0..NODES).for_each(|index| fleet.wait_ready(index));
        fleet
    }

    pub fn client(&self, index: usize) -> NodeClient {
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

    pub fn wait_ready(&self, index: usize) {
        let started = Instant::now();
        while !self.is_ready(index) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "node {index} isn't ready");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let pid = Pid::from_child(&self.nodes[index]);
        kill_process(pid, signal).expect("the node can be signalled");
    }

    /// Publishes the next revision with another `wait_ms` for the first service. Returns the revision.
    pub fn publish(&mut self, wait_ms: u64) -> u64 {
        self.publish_edited(|document| document.services[0].policy.wait_ms = wait_ms)
    }

    /// Publishes the next revision with the changes that `edit` makes. Returns the revision.
    pub fn publish_edited(&mut self, edit: impl FnOnce(&mut PlatformDocument)) -> u64 {
        self.document.revision += 1;
        edit(&mut self.document);
        self.platform.publish(self.document.clone());
        self.document.revision
    }

    /// Has the searchers of the first service serve one more snapshot, and publishes a document that lists it too.
    pub fn publish_snapshot(&mut self, snapshot: Snapshot) {
        let service = &self.document.services[0];
        let map = ShardMap { snapshot, shards: service.shard_maps[0].shards.clone() };
        let is_of_service =
            |searcher: &&SearcherStandin| service.searchers.iter().any(|definition| definition.id == searcher.id());
        for searcher in self.searchers.iter().filter(is_of_service) {
            searcher.publish(snapshot, &corpus(), &held_shards(&map, searcher.id()), SHARDS as usize);
        }
        self.publish_edited(|document| document.services[0].shard_maps.push(map));
    }

    /// Returns the address of a searcher.
    pub fn searcher_address(&self, searcher: SearcherId) -> SocketAddr {
        let mut searchers = self.document.services.iter().flat_map(|service| &service.searchers);
        searchers.find(|definition| definition.id == searcher).expect("the searcher is defined").address
    }

    pub fn revision(&self, index: usize) -> u64 {
        self.client(index).status().map_or(0, |status| status.revision)
    }

    /// Waits until every node holds `revision`. Fails if a node holds a revision below `least` meanwhile.
    pub fn wait_in_force(&self, revision: u64, least: u64) {
        let started = Instant::now();
        loop {
            let held: Vec<u64> = (0..NODES).map(|index| self.revision(index)).collect();
            assert!(held.iter().all(|held| *held >= least), "an older revision than {least}: {held:?}");
            if held.iter().all(|held| *held == revision) {
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "revision {revision} isn't in force everywhere: {held:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn replace(&mut self, index: usize) {
        self.nodes[index] = start_node(&self.settings[index]);
        self.wait_ready(index);
    }
}

fn held_shards(map: &ShardMap, searcher: SearcherId) -> Vec<ShardId> {
    let held = map.shards.iter().filter(|placement| placement.replicas.contains(&searcher));
    held.map(|placement| placement.shard).collect()
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
        searcher.publish(SNAPSHOT, &corpus(), &held_shards(map, definition.id), SHARDS as usize);
        searcher
    };
    service.searchers.iter().map(start).collect()
}

fn write_settings(
    folder: &Path,
    (platform, poll_interval): (SocketAddr, Duration),
    addresses: &[(SocketAddr, SocketAddr)],
    further: &str,
) -> Vec<PathBuf> {
    let seeds: Vec<String> = addresses.iter().map(|(_, peers)| format!("\"{peers}\"")).collect();
    let write = |(index, (callers, peers)): (usize, &(SocketAddr, SocketAddr))| {
        let text = format!(
            "[node]\nregion = \"home\"\nzone = \"{}\"\nlisten = \"{callers}\"\npeer_listen = \"{peers}\"\n\
             cluster = \"test\"\ncluster_key = \"a key for this test only\"\nlog = \"info,front=debug\"\nseeds = [{}]\n\
             [platform]\naddress = \"{platform}\"\npoll_ms = {}\n{further}",
            ZONES[index % ZONES.len()],
            seeds.join(", "),
            poll_interval.as_millis()
        );
        let path = folder.join(format!("node{index}.toml"));
        std::fs::write(&path, text).expect("settings are written");
        path
    };
    addresses.iter().enumerate().map(write).collect()
}

/// Returns the file that holds the log of a node with these settings, and of its successors.
fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn print_log(settings: &Path) {
    let text = std::fs::read_to_string(log_path(settings)).unwrap_or_else(|error| format!("no log: {error}"));
    eprintln!("log of {}:\n{text}", settings.display());
}

fn start_node(settings: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log_path(settings)).expect("a log is opened");
    let mut command = Command::new(env!("CARGO_BIN_EXE_staircross"));
    command.args(["node", "--settings"]).arg(settings).stdout(Stdio::null()).stderr(log);
    loopback::spawn(&mut command).expect("a node starts")
}

pub fn wait_for_exit(node: &mut Child) -> Option<i32> {
    let started = Instant::now();
    loop {
        if let Some(status) = node.try_wait().expect("the node can be waited for") {
            return status.code();
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "a stopping node ends");
        std::thread::sleep(Duration::from_millis(20));
    }
}
