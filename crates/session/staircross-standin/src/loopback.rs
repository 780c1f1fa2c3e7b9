//! Choice of free loopback addresses for processes on this machine.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// First port of the range to choose from. The whole range is below the range that the system uses for outgoing
/// connections, so that no such connection takes a port after it was chosen and before a process listens on it.
const FIRST_PORT: u16 = 10_240;
/// Number of ports to choose from.
const PORT_COUNT: u64 = 20_000;
/// Distance between the first ports that processes with consecutive ids try, so that processes that choose at the
/// same time rarely try the same port.
const PORT_STEP_PER_PROCESS: u64 = 97;

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
/// Lock held while a port is checked and while a process is started.
///
/// A process that has just been forked holds copies of all open sockets until it executes its own program.
/// Without the lock, such a copy of the socket that was opened for the check could keep the port in use after it
/// was found free. This happened for 5 of 2,000 ports beside four threads that started processes.
static CHECK_OR_SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Returns a loopback address whose port is free for TCP and UDP.
pub fn free_address() -> io::Result<SocketAddr> {
    let first_offset = u64::from(std::process::id()) * PORT_STEP_PER_PROCESS;
    for _ in 0..PORT_COUNT {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + ((first_offset + step) % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let _guard = CHECK_OR_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Starts a process while no other thread of this process checks whether a port is free.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = CHECK_OR_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
