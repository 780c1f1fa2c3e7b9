//! The kernel's queue of bytes that a peer hasn't acknowledged yet.
//!
//! This module has no state and relies on Linux's `SIOCOUTQ`, which has the number of `TIOCOUTQ`.

use mio::net::TcpStream;
use std::io;
use std::os::fd::AsRawFd;

/// Returns the number of bytes that were written to a stream and that its peer hasn't acknowledged.
///
/// # Errors
///
/// Returns an error if the kernel doesn't tell.
pub(crate) fn unacknowledged_bytes(stream: &TcpStream) -> io::Result<usize> {
    let mut count: libc::c_int = 0;
    // SAFETY: the descriptor is open while `stream` is borrowed, and the kernel writes one integer.
    let outcome = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut count) };
    if outcome != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(count).unwrap_or(0))
}
