//! An HTTP server of a node without its core.
#![allow(dead_code)]

use crossbeam::channel::Sender;
use staircross_config::Settings;
use staircross_node::event::CoreEvent;
use staircross_node::front::{self, FrontParts};
use staircross_node::front_message::{self, FrontSender};
use staircross_node::logs::Logs;
use staircross_node::metrics::Metrics;
use std::net::{SocketAddr, TcpListener};

/// Largest number of connections of the server.
pub const MAX_CONNECTIONS: usize = 16;

/// Returns a loopback address whose port was free when it was checked.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("has an address")
}

fn settings(listen: SocketAddr) -> Settings {
    let text = format!(
        "[node]\nregion = \"south\"\nzone = \"hobart\"\nlisten = \"{listen}\"\npeer_listen = \"127.0.0.1:1\"\n\
         cluster = \"example\"\ncluster_key = \"change-me-to-a-long-secret\"\n\
         [platform]\naddress = \"127.0.0.1:2\"\n[limits]\nrequest_bytes = 64\n\
         caller_connections = {MAX_CONNECTIONS}\n"
    );
    Settings::from_toml("node.toml", &text).expect("is valid")
}

/// Starts an HTTP server that sends its commands to `events`. Returns the sender of messages to it.
pub fn start_front(address: SocketAddr, events: Sender<CoreEvent>) -> FrontSender {
    let (sender, receiver) = front_message::channel().expect("a poll");
    let parts = FrontParts {
        settings: &settings(address),
        events,
        sender: sender.clone(),
        receiver,
        logs: Logs::from_filter("off").expect("a filter"),
        metrics: Metrics::new().expect("registers"),
    };
    front::start(parts).expect("starts");
    sender
}
