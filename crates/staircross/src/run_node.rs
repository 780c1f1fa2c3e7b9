//! `staircross node`: runs a node until a signal stops it.

use crate::CommandOutcome;
use crate::check::read_settings;
use crate::flags;
use crate::query::parse_address;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use staircross_config::Settings;
use staircross_node::Node;
use staircross_types::ZoneName;
use std::time::Duration;

/// Time between two checks for a signal and for the end of a planned stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs `node`. SIGTERM or SIGINT begins a planned stop.
pub fn run(command: &flags::Node) -> Result<CommandOutcome, String> {
    let settings = load_settings(command)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| format!("signals: {error}"))?;
    let node = Node::start(settings).map_err(|error| error.to_string())?;
    println!("node {}", node.id());
    while !node.is_done() {
        if signals.pending().next().is_some() {
            // A second signal changes nothing: requests in flight still finish.
            node.begin_stop();
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    node.wait();
    Ok(CommandOutcome::Done)
}

/// Reads the settings file, replaces what the flags override, and checks the result.
fn load_settings(command: &flags::Node) -> Result<Settings, String> {
    let mut settings = read_settings(&command.settings)?;
    if let Some(listen) = &command.listen {
        settings.node.listen = parse_address("--listen", listen)?;
    }
    if let Some(listen) = &command.peer_listen {
        settings.node.peer_listen = parse_address("--peer-listen", listen)?;
    }
    if let Some(zone) = &command.zone {
        settings.node.zone = ZoneName::new(zone);
    }
    if let Some(region) = &command.region {
        settings.node.region = region.clone();
    }
    if let Some(log) = &command.log {
        settings.node.log = log.clone();
    }
    settings.check().map_err(|error| error.to_string())?;
    Ok(settings)
}
