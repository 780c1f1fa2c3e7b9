//! Runs a platform stand-in, searcher stand-ins and real nodes in one process. They talk over loopback TCP.

use quick_error::quick_error;
use staircross_config::{
    LimitSettings, NodeSettings, PlatformDocument, PlatformSettings, Priority, SearcherDefinition, ServiceDefinition,
    ServicePolicy, Settings,
};
use staircross_node::{Node, NodeClient, NodeError};
use staircross_standin::loopback::free_address;
use staircross_standin::{Corpus, PlatformStandin, SearcherSettings, SearcherStandin};
use staircross_types::{GroupId, SearcherId, ServiceName, ShardId, ShardMap, ShardPlacement, Snapshot, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

quick_error! {
    /// Reason why a fleet could not be started.
    #[derive(Debug)]
    pub enum FleetError {
        /// No port is free, or a listener could not be started.
        Io(error: std::io::Error) {
            from()
            display("{error}")
        }
        /// A node could not be started.
        Node(error: NodeError) {
            from()
            display("{error}")
        }
        /// The fleet did not become ready within the timeout.
        NotReady { what: String } {
            display("not ready in time: {what}")
        }
    }
}

/// Describes one service of a fleet to start.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Policy for the requests of the service.
    pub policy: ServicePolicy,
    /// Number of searchers.
    pub searchers: u32,
    /// Number of shards of the index.
    pub shards: u32,
    /// Number of replicas of each shard.
    pub replicas: u32,
    /// Documents that the searchers hold.
    pub corpus: Corpus,
    /// Time that a searcher works on each call.
    pub work_time: Duration,
}

/// Describes a fleet to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Services of the fleet.
    pub services: Vec<ServicePlan>,
    /// Zones of the fleet. Searchers and nodes are assigned to them round-robin.
    pub zones: Vec<&'static str>,
    /// Number of nodes.
    pub nodes: u32,
    /// Log filter of the nodes.
    pub log: String,
}

/// A running fleet. The platform and the searchers run until the process ends.
pub struct Fleet {
    /// Stand-in for the platform.
    pub platform: PlatformStandin,
    /// Stand-ins for the searchers, by id.
    pub searchers: BTreeMap<SearcherId, SearcherStandin>,
    /// Nodes by index. A node that is taken out to be stopped leaves `None`.
    pub nodes: Vec<Option<Node>>,
    /// Address of each node for callers, by index.
    pub caller_addresses: Vec<SocketAddr>,
    /// Document that was published last.
    pub document: PlatformDocument,
    /// Settings of each node, by index. A replacement can be started with them.
    pub settings: Vec<Settings>,
    plan: FleetPlan,
}

/// Number of sub-requests that a searcher executes at a time. The users' drafting and guest search services have the
/// same number.
const SLOTS_PER_SEARCHER: u32 = 5;
/// Number of connections that a searcher accepts. The users' drafting and guest search services have the same number.
const CONNECTIONS_PER_SEARCHER: u32 = 70;
/// Time after which a fleet that is not ready counts as failed.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Snapshot that every service starts with.
pub const FIRST_SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };

/// Returns a policy for a service that searches.
pub fn search_policy(wait_ms: u64, least_coverage_per_mille: u32, priority: Priority) -> ServicePolicy {
    ServicePolicy { wait_ms, least_coverage_per_mille, priority, ..ServicePolicy::default() }
}

/// Returns a policy for a service that executes actions. They are neither hedged nor retried.
pub fn action_policy(wait_ms: u64) -> ServicePolicy {
    ServicePolicy { wait_ms, repeatable: false, hedge_per_mille: 0, retry_per_mille: 0, ..ServicePolicy::default() }
}

impl Fleet {
    /// Starts the platform, the searchers and the nodes, and waits until every node is ready.
    pub fn start(plan: FleetPlan) -> Result<Fleet, FleetError> {
        let document = make_document(&plan)?;
        let platform_address = free_address()?;
        let platform = PlatformStandin::start(platform_address, document.clone())?;
        let searchers = start_searchers(&plan, &document)?;
        let settings = make_settings(&plan, platform_address)?;
        let mut fleet = Fleet {
            platform,
            searchers,
            nodes: Vec::new(),
            caller_addresses: settings.iter().map(|settings| settings.node.listen).collect(),
            document,
            settings,
            plan,
        };
        for settings in fleet.settings.clone() {
            fleet.nodes.push(Some(Node::start(settings)?));
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Returns a client of the node at `index`.
    pub fn client(&self, index: usize) -> NodeClient {
        NodeClient::new(self.caller_addresses[index])
    }

    /// Waits until every node reports that it is ready, knows all nodes as alive and lists all searchers as serving.
    pub fn wait_ready(&self) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.caller_addresses.len() {
            while !self.is_ready(index) {
                if Instant::now() >= deadline {
                    return Err(FleetError::NotReady { what: format!("node {index}") });
                }
                std::thread::sleep(Duration::from_millis(30));
            }
        }
        Ok(())
    }

    fn is_ready(&self, index: usize) -> bool {
        let client = self.client(index);
        let Ok(status) = client.status() else {
            return false;
        };
        let alive = status.members.iter().filter(|member| member.state == "alive").count();
        if !status.ready || alive < self.nodes.len() {
            return false;
        }
        let Ok(reply) = client.command("SHOW SEARCHERS") else {
            return false;
        };
        match reply.body {
            staircross_node::api::ReplyBody::Listing(listing) => {
                listing.rows.len() == self.searchers.len() && listing.rows.iter().all(|row| row[4] == "serving")
            }
            _ => false,
        }
    }

    /// Makes one searcher load its shards of the snapshot of `map`, if it is listed for the service.
    pub fn load_snapshot_at(&self, id: SearcherId, service: &str, corpus: &Corpus, map: &ShardMap) {
        let Some(searcher) = self.searchers.get(&id) else {
            return;
        };
        let is_listed = self.document.services.iter().any(|definition| {
            definition.name.0 == service && definition.searchers.iter().any(|searcher| searcher.id == id)
        });
        if is_listed {
            searcher.publish(map.snapshot, corpus, &assigned_shards(map, id), map.shards.len());
        }
    }

    /// Returns the ids of the searchers of a service.
    pub fn searchers_of(&self, service: &str) -> Vec<SearcherId> {
        let definition = self.document.services.iter().find(|definition| definition.name.0 == service);
        definition.map_or(Vec::new(), |definition| definition.searchers.iter().map(|searcher| searcher.id).collect())
    }

    /// Returns a shard map for a snapshot, with the replica count of the service's plan.
    pub fn make_shard_map(&self, service: &str, snapshot: Snapshot, shards: u32) -> ShardMap {
        let replicas = self.plan.services.iter().find(|plan| plan.name == service).map_or(1, |plan| plan.replicas);
        place_shards(snapshot, shards, replicas, &self.searchers_of(service))
    }

    /// Replaces the document and publishes it, as an operator does.
    pub fn publish_document(&mut self, document: PlatformDocument) {
        self.document = document;
        self.platform.publish(self.document.clone());
    }

    /// Replaces the shard maps of a service and publishes the document as a new revision.
    pub fn publish_shard_maps(&mut self, service: &str, maps: Vec<ShardMap>) {
        self.document.revision += 1;
        for definition in &mut self.document.services {
            if definition.name.0 == service {
                definition.shard_maps = maps.clone();
            }
        }
        self.platform.publish(self.document.clone());
    }

    /// Returns the shard maps of a service in the document that was published last.
    pub fn shard_maps_of(&self, service: &str) -> Vec<ShardMap> {
        let definition = self.document.services.iter().find(|definition| definition.name.0 == service);
        definition.map_or(Vec::new(), |definition| definition.shard_maps.clone())
    }
}

/// Returns the shards that a map assigns to a searcher.
pub fn assigned_shards(map: &ShardMap, id: SearcherId) -> Vec<ShardId> {
    let assigned = map.shards.iter().filter(|placement| placement.replicas.contains(&id));
    assigned.map(|placement| placement.shard).collect()
}

/// Assigns the replicas of each shard to consecutive searchers, starting one searcher further for each shard.
pub fn place_shards(snapshot: Snapshot, shards: u32, replicas: u32, searchers: &[SearcherId]) -> ShardMap {
    let place_shard = |shard: u32| {
        let replicas = replicas.min(searchers.len() as u32);
        let start = shard as usize;
        let chosen = (0..replicas as usize).map(|step| searchers[(start + step) % searchers.len()]).collect();
        ShardPlacement { shard: ShardId(shard), replicas: chosen }
    };
    ShardMap { snapshot, shards: (0..shards).map(place_shard).collect() }
}

fn make_document(plan: &FleetPlan) -> std::io::Result<PlatformDocument> {
    let mut services = Vec::new();
    let mut next_id = 1;
    for (number, service) in plan.services.iter().enumerate() {
        let mut searchers = Vec::new();
        for index in 0..service.searchers {
            searchers.push(SearcherDefinition {
                id: SearcherId(next_id),
                address: free_address()?,
                zone: ZoneName::new(plan.zones[index as usize % plan.zones.len()]),
                group: GroupId((number as u32) * 100 + index % plan.zones.len() as u32),
                slots: SLOTS_PER_SEARCHER,
                connections: CONNECTIONS_PER_SEARCHER,
            });
            next_id += 1;
        }
        let ids: Vec<SearcherId> = searchers.iter().map(|searcher| searcher.id).collect();
        let map = place_shards(FIRST_SNAPSHOT, service.shards, service.replicas, &ids);
        services.push(ServiceDefinition {
            name: ServiceName::new(service.name),
            policy: service.policy.clone(),
            searchers,
            shard_maps: vec![map],
        });
    }
    Ok(PlatformDocument::new(1, services))
}

fn start_searchers(
    plan: &FleetPlan,
    document: &PlatformDocument,
) -> std::io::Result<BTreeMap<SearcherId, SearcherStandin>> {
    let mut running = BTreeMap::new();
    for (service, definition) in plan.services.iter().zip(&document.services) {
        for searcher in &definition.searchers {
            let settings = SearcherSettings {
                id: searcher.id,
                listen: searcher.address,
                slots: searcher.slots,
                queue: searcher.slots,
                connections: searcher.connections,
                work: service.work_time,
                cold: Duration::ZERO,
            };
            let standin = SearcherStandin::start(settings)?;
            for map in &definition.shard_maps {
                standin.publish(map.snapshot, &service.corpus, &assigned_shards(map, searcher.id), map.shards.len());
            }
            running.insert(searcher.id, standin);
        }
    }
    Ok(running)
}

fn make_settings(plan: &FleetPlan, platform: SocketAddr) -> std::io::Result<Vec<Settings>> {
    let mut settings = Vec::new();
    for index in 0..plan.nodes {
        settings.push(Settings {
            node: NodeSettings {
                region: "home".to_owned(),
                zone: ZoneName::new(plan.zones[index as usize % plan.zones.len()]),
                listen: free_address()?,
                peer_listen: free_address()?,
                seeds: Vec::new(),
                cluster: "lab".to_owned(),
                cluster_key: "a key for trying things out".to_owned(),
                log: plan.log.clone(),
            },
            platform: PlatformSettings { address: platform, poll_ms: 100 },
            limits: LimitSettings::default(),
        });
    }
    let seeds: Vec<SocketAddr> = settings.iter().map(|settings| settings.node.peer_listen).collect();
    settings.iter_mut().for_each(|settings| settings.node.seeds = seeds.clone());
    Ok(settings)
}
