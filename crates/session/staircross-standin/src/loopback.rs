//! Choice of free loopback addresses for processes on this machine.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// First of the ports to choose from. All of them are below the range that the system uses for outgoing
/// connections, so that no such connection takes a port after it was chosen and before a process listens on it.
const FIRST_PORT: u16 = 10_240;
/// Number of ports to choose from.
const PORTS: u64 = 20_000;
/// Distance between the first ports that processes with consecutive ids try, so that processes that choose at the
/// same time rarely try the same port.
const PROCESS_STEP: u64 = 97;

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
/// Lock held while a port is checked and while a process is started.
///
/// A process that has just been forked holds copies of all open sockets until it executes its own program.
/// Without the lock, such a copy of the socket that was opened for the check could keep the port in use after it
/// was found free. This happened for 5 of 2,000 ports beside four threads that started processes.
static LOOKING_OR_STARTING: Mutex<()> = Mutex::new(());

/// Returns a loopback address whose port is free for TCP and UDP.
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

/// Starts a process while no other thread of this process checks whether a port is free.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _alone = LOOKING_OR_STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
