//! Free addresses for processes on this machine.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Ports below those that the system gives to outgoing connections, so that none of these takes one
/// between its choice here and its use by a process.
const FIRST_PORT: u16 = 10_240;
const PORTS: u64 = 20_000;
/// Spreads processes that choose at the same time.
const PROCESS_STEP: u64 = 97;

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
/// Held while a port is looked at and while a process is started. One that has just been forked holds copies of all open sockets until it runs its
/// own program: a port that was found free would be taken for as long (5 of 2,000 beside four threads that start processes).
static LOOKING_OR_STARTING: Mutex<()> = Mutex::new(());

/// An address that is free, for TCP and UDP.
pub fn free_address() -> io::Result<SocketAddr> {
    let begin = u64::from(std::process::id()) * PROCESS_STEP;
    for _ in 0..PORTS {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + ((begin + step) % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let _alone = LOOKING_OR_STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Starts a process while nobody here looks for a free port.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _alone = LOOKING_OR_STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
