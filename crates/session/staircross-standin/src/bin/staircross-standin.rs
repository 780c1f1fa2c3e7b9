//! Runs a stand-in for a searcher or for the platform as a separate process.

use staircross_config::PlatformDocument;
use staircross_standin::{Corpus, PlatformStandin, SearcherSettings, SearcherStandin};
use staircross_types::{SearcherId, ServiceName, Snapshot};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins for searchers and the platform.
        cmd staircross-standin {
            /// Serve a service document, read only.
            cmd platform {
                /// Address to listen on.
                required --listen listen: String
                /// Service document (JSON).
                required --document document: PathBuf
            }
            /// Run one searcher of a service document.
            cmd searcher {
                /// Service document (JSON): gives the address, slots and shards.
                required --document document: PathBuf
                /// Number of the searcher.
                required --id id: u32
                /// Documents (JSON lines).
                required --corpus corpus: PathBuf
                /// Milliseconds that each call takes besides the search.
                optional --work-ms work_ms: u64
                /// Milliseconds of cold start.
                optional --cold-ms cold_ms: u64
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::StaircrossStandin::from_env_or_exit();
    let result = match flags.subcommand {
        flags::StaircrossStandinCmd::Platform(command) => run_platform(&command),
        flags::StaircrossStandinCmd::Searcher(command) => run_searcher(&command),
    };
    match result {
        Ok(()) => loop {
            std::thread::park();
        },
        Err(message) => {
            eprintln!("staircross-standin: {message}");
            ExitCode::FAILURE
        }
    }
}

fn read_document(path: &PathBuf) -> Result<PlatformDocument, String> {
    let origin = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{origin}: {error}"))?;
    PlatformDocument::from_json(&origin, &text).map_err(|error| error.to_string())
}

fn run_platform(command: &flags::Platform) -> Result<(), String> {
    let listen: SocketAddr = command.listen.parse().map_err(|error| format!("--listen {}: {error}", command.listen))?;
    let document = read_document(&command.document)?;
    PlatformStandin::start(listen, document).map_err(|error| format!("{listen}: {error}"))?;
    println!("platform stand-in listens on {listen}");
    Ok(())
}

fn run_searcher(command: &flags::Searcher) -> Result<(), String> {
    let document = read_document(&command.document)?;
    let id = SearcherId(command.id);
    let corpus = Corpus::read(&command.corpus).map_err(|error| error.to_string())?;
    let mut searcher = None;
    for service in &document.services {
        let Some(definition) = service.searchers.iter().find(|definition| definition.id == id) else {
            continue;
        };
        let settings = SearcherSettings {
            id,
            listen: definition.address,
            slots: definition.slots,
            queue: definition.slots,
            connections: definition.connections,
            work: Duration::from_millis(command.work_ms.unwrap_or(0)),
            cold: Duration::from_millis(command.cold_ms.unwrap_or(0)),
        };
        let running = SearcherStandin::start(settings).map_err(|error| format!("{}: {error}", definition.address))?;
        for map in &service.shard_maps {
            let held = map.shards.iter().filter(|placement| placement.replicas.contains(&id));
            let held: Vec<_> = held.map(|placement| placement.shard).collect();
            running.publish(map.snapshot, &corpus, &held, map.shards.len());
        }
        print_start_line(id, definition.address, &service.name, service.shard_maps.first().map(|map| map.snapshot));
        searcher = Some(running);
    }
    searcher.map(|_| ()).ok_or_else(|| format!("--id {id}: no service lists this searcher"))
}

fn print_start_line(id: SearcherId, address: SocketAddr, service: &ServiceName, snapshot: Option<Snapshot>) {
    let snapshot = snapshot.map_or("none".to_owned(), |snapshot| snapshot.to_string());
    println!("searcher stand-in {id} of service {service} listens on {address}, first snapshot {snapshot}");
}
