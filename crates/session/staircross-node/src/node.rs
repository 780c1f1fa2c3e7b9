//! Start and stop of a node.

use crate::core::{Core, CoreParts};
use crate::event::CoreEvent;
use crate::front::{self, FrontParts};
use crate::front_message;
use crate::logs::Logs;
use crate::metrics::Metrics;
use crate::peers::{PeerTransport, PeerTransportParts};
use crate::platform::{self, ReadTrigger};
use crate::searchers::SearcherConnections;
use crossbeam::channel::{Sender, unbounded};
use quick_error::quick_error;
use spdlog::info;
use staircross_config::{InvalidSetting, Settings};
use staircross_types::NodeId;
use staircross_wire::ClusterKey;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;

quick_error! {
    /// Reason why a node can't start.
    #[derive(Debug)]
    pub enum NodeError {
        /// A setting is invalid.
        Setting(error: InvalidSetting) {
            from()
            display("{error}")
        }
        /// Listening on an address or starting a thread failed.
        Io { what: String, error: std::io::Error } {
            display("{what}: {error}")
        }
        /// Registering the metrics failed.
        Metrics(error: prometheus::Error) {
            from()
            display("metrics: {error}")
        }
    }
}

/// A running node.
pub struct Node {
    id: NodeId,
    events: Sender<CoreEvent>,
    core: JoinHandle<()>,
}

impl Node {
    /// Checks the settings and starts a node with them.
    pub fn start(settings: Settings) -> Result<Node, NodeError> {
        settings.check()?;
        let logs = Logs::from_filter(&settings.node.log)?;
        let metrics = Metrics::new()?;
        let id = NodeId(rand::random());
        let (events, event_receiver) = unbounded();
        let stop = Arc::new(AtomicBool::new(false));
        let (front_sender, front_receiver) =
            front_message::channel().map_err(|error| io_error("poll".to_owned(), error))?;

        let peers = PeerTransport::start(PeerTransportParts {
            node: id,
            listen: settings.node.peer_listen,
            key: ClusterKey::new(&settings.node.cluster, &settings.node.cluster_key),
            events: events.clone(),
            logs: logs.clone(),
            metrics: metrics.clone(),
            stop: stop.clone(),
        })
        .map_err(|error| io_error(format!("node.peer_listen {}", settings.node.peer_listen), error))?;
        let searchers = SearcherConnections::new(events.clone(), logs.clone(), &settings.limits);
        let (read_trigger, read_triggers) = ReadTrigger::new();
        let core = Core::new(CoreParts {
            node: id,
            settings: settings.clone(),
            logs: logs.clone(),
            metrics: metrics.clone(),
            events: event_receiver,
            peers,
            searchers,
            platform: read_trigger,
            front: front_sender.clone(),
            stop: stop.clone(),
        });
        let core = std::thread::Builder::new()
            .name("core".to_owned())
            .spawn(move || core.run())
            .map_err(|error| io_error("can't start the core thread".to_owned(), error))?;
        platform::start_reader(&settings.platform, events.clone(), read_triggers, logs.clone(), stop)
            .map_err(|error| io_error("can't start the platform reader thread".to_owned(), error))?;
        front::start(FrontParts {
            settings: &settings,
            events: events.clone(),
            sender: front_sender,
            receiver: front_receiver,
            logs: logs.clone(),
            metrics,
        })
        .map_err(|error| io_error(format!("node.listen {}", settings.node.listen), error))?;
        info!(logger: logs.front, "event=started node={id} callers={} peers={}",
            settings.node.listen, settings.node.peer_listen);
        Ok(Node { id, events, core })
    }

    /// Returns the id of this incarnation of the node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Begins a planned stop. Further calls only write a log line.
    pub fn begin_stop(&self) {
        // Sending fails only if the core has ended, which it does when a planned stop is complete.
        let _already_done = self.events.send(CoreEvent::Stop);
    }

    /// Returns whether the planned stop is complete.
    pub fn is_done(&self) -> bool {
        self.core.is_finished()
    }

    /// Waits until a planned stop is complete.
    pub fn wait(self) {
        // If the core panicked, its thread has printed the panic.
        let _core_result = self.core.join();
    }
}

fn io_error(what: String, error: std::io::Error) -> NodeError {
    NodeError::Io { what, error }
}
