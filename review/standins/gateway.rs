//! Gateways as processes: their settings, start, signals and end.

use crate::http::{Connection, render};
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The program that `deploy/system.toml` runs, relative to the repository's root.
const PROGRAM: &str = "target/release/staircross-gateway";
/// Variable through which the platform tells the program where its settings are.
const SETTINGS_VARIABLE: &str = "STAIRCROSS_SETTINGS";

/// Zones of the deployment, each with its region.
pub const ZONES: [(&str, &str); 3] = [("hob-hall-a", "hobart"), ("lst-hall-b", "launceston"), ("bur-hall-c", "burnie")];

/// A free directory of this run, which is removed at its end.
pub struct RunFolder(pub PathBuf);

impl RunFolder {
    pub fn new(case: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("staircross-review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(RunFolder(path))
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _best_effort = std::fs::remove_dir_all(&self.0);
    }
}

/// The ports from which addresses are taken. They are below the range from which the system takes the ports of outgoing
/// connections, so that none of these takes a port before its gateway does.
const PORTS: std::ops::Range<u16> = 12_000..30_000;

/// Returns an address that is free for TCP and UDP and wasn't returned before.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let first = (std::process::id() as u16).wrapping_mul(97) % count;
    for _ in 0..count {
        let offset = (u32::from(first) + u32::from(NEXT.fetch_add(1, Ordering::SeqCst))) % u32::from(count);
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Addresses of one gateway.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

impl Addresses {
    pub fn free() -> io::Result<Self> {
        Ok(Addresses {
            callers: free_address()?,
            readiness: free_address()?,
            directory: free_address()?,
            peers: free_address()?,
            metrics: free_address()?,
        })
    }
}

/// A gateway process, which is killed when this value is dropped.
pub struct Gateway {
    child: Child,
    pub addresses: Addresses,
}

impl Gateway {
    /// Starts a gateway with the settings that `deploy/node.toml.template` yields for a small deployment.
    pub fn start(index: usize, all: &[Addresses], store: SocketAddr, folder: &Path) -> io::Result<Gateway> {
        let (zone, region) = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings(&name, zone, region, all, index, store))?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .env(SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone()?))
            .stdout(Stdio::from(log))
            .spawn()?;
        Ok(Gateway { child, addresses: all[index] })
    }

    /// Waits until the platform's check finds the gateway ready. Returns whether it did in time.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < timeout {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut connection = Connection::connect(self.addresses.readiness)?;
            connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            connection.write(&render("GET /api/readiness HTTP/1.1", &[("Host", "readiness")], b""))?;
            Ok(connection.read(true)?.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ended_already = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Starts `count` gateways and waits until all are ready.
pub fn start_fleet(count: usize, store: SocketAddr, folder: &Path) -> io::Result<Vec<Gateway>> {
    let all = (0..count).map(|_| Addresses::free()).collect::<io::Result<Vec<Addresses>>>()?;
    let fleet =
        (0..count).map(|index| Gateway::start(index, &all, store, folder)).collect::<io::Result<Vec<Gateway>>>()?;
    match fleet.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        true => Ok(fleet),
        false => Err(io::Error::other("a gateway didn't become ready")),
    }
}

fn settings(name: &str, zone: &str, region: &str, all: &[Addresses], index: usize, store: SocketAddr) -> String {
    let seeds: Vec<String> = all.iter().take(3).map(|addresses| format!("\"{}\"", addresses.peers)).collect();
    let zones: String = ZONES.iter().map(|(zone, region)| format!("\"{zone}\" = \"{region}\"\n")).collect();
    let Addresses { callers, readiness, directory, peers, metrics } = all[index];
    format!(
        "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"{region}\"\nseeds = [{}]\nfirst_start = true\n\
         [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ndirectory = \"{directory}\"\n\
         peers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
         [zones]\n{zones}\
         [store]\naddress = \"{store}\"\n\
         [bounds]\nextra_ratio = 0.2\nextra_window_s = 10\nextra_slack = 58\ndrain_ms = 3000\nconfig_ms = 3000\n\
         stop_s = 6\ndirectory_ttl_s = 5\n\
         [policy]\n\
         [limits]\nmemory_mb = 260\ndescriptors = 4100\nlink_mbps = 1000.0\n",
        seeds.join(", ")
    )
}
