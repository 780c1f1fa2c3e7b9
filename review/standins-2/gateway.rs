//! Runs the project's gateway as a process, with the settings of a small deployment on loopback addresses.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The program that the deploy file runs.
const PROGRAM: &str = "target/release/staircross-gateway";

/// Addresses of a gateway.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    pub fn free() -> Addresses {
        Addresses {
            callers: free_address(),
            readiness: free_address(),
            directory: free_address(),
            peers: free_address(),
            metrics: free_address(),
        }
    }
}

/// Where a gateway runs, and the zones of its deployment with their regions.
pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
    pub zones: [(&'static str, &'static str); 3],
}

/// The place of the gateways of `tgcto-search`.
pub const HOBART: Place = Place {
    zone: "hob-hall-a",
    region: "hobart",
    zones: [("hob-hall-a", "hobart"), ("lst-hall-b", "launceston"), ("bur-hall-c", "burnie")],
};

/// What a gateway is started with.
#[derive(Clone, Copy)]
pub struct Start<'a> {
    pub place: &'a Place,
    /// Number of the machine in its zone, from 0.
    pub index: usize,
    pub addresses: Addresses,
    /// Addresses of peers.
    pub seeds: &'a [SocketAddr],
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
}

/// A running gateway; it is killed when this value is dropped.
pub struct Gateway {
    pub name: String,
    pub addresses: Addresses,
    child: Child,
}

impl Gateway {
    /// Starts a gateway; its settings and its log go to `folder`.
    pub fn start(folder: &Path, start: &Start<'_>) -> Gateway {
        let Start { place, addresses, .. } = *start;
        let name = format!("front-{}-{}", place.zone, start.index + 1);
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(&name, start)).expect("the settings can be written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log can be created");
        let child = Command::new(PROGRAM)
            .env("STAIRCROSS_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a second handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the gateway starts");
        Gateway { name, addresses, child }
    }

    /// Starts `count` gateways that know each other, and waits until all are ready. Returns `None` if they don't become
    /// ready within 15 s.
    pub fn start_all(folder: &Path, place: &Place, count: usize, store: SocketAddr) -> Option<Vec<Gateway>> {
        let addresses: Vec<Addresses> = (0..count).map(|_| Addresses::free()).collect();
        let seeds: Vec<SocketAddr> = addresses.iter().take(3).map(|one| one.peers).collect();
        let start = |index: usize| Start {
            place,
            index,
            addresses: addresses[index],
            seeds: &seeds,
            store,
            is_first_start: true,
        };
        let gateways: Vec<Gateway> = (0..count).map(|index| Gateway::start(folder, &start(index))).collect();
        let until = Instant::now() + Duration::from_secs(15);
        while !gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(gateways)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.addresses.readiness) else {
            return false;
        };
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        crate::client::call(stream, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports of gateways. They lie below those that the system gives to outgoing connections, so that none of these takes
/// one before its gateway has started.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns an address that is free for TCP and UDP. Processes begin at different ports.
fn free_address() -> SocketAddr {
    loop {
        let number = std::process::id().wrapping_mul(97) + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + number % PORTS) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What `deploy/node.toml.template` makes of the settings of the site `tgcto-search`, with loopback addresses.
fn settings_text(name: &str, start: &Start<'_>) -> String {
    let Start { place, seeds, store, is_first_start, .. } = *start;
    let Place { zone, region, zones } = *place;
    let Addresses { callers, readiness, directory, peers, metrics } = start.addresses;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let zones: Vec<String> = zones.iter().map(|(zone, region)| format!("\"{zone}\" = \"{region}\"\n")).collect();
    format!(
        "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\nseeds = [{}]\n\
         first_start = {is_first_start}\n\n\
         [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ndirectory = \"{directory}\"\n\
         peers = \"{peers}\"\nmetrics = \"{metrics}\"\n\n\
         [zones]\n{}\n\
         [store]\naddress = \"{store}\"\n\n\
         [bounds]\nextra_ratio = 0.2\nextra_window_s = 10\nextra_slack = 58\ndrain_ms = 3000\nconfig_ms = 3000\n\
         stop_s = 6\ndirectory_ttl_s = 5\ncontact_ms = 5000\n\n\
         [policy]\n\n[limits]\nmemory_mb = 260\ndescriptors = 4100\nlink_mbps = 1000.0\n",
        seeds.join(","),
        zones.concat()
    )
}

/// A folder for settings and logs, which is removed when this value is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("staircross-review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder can be created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
