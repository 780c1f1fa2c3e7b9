//! Round-trip time of a TCP connection, as measured by the kernel.
//!
//! The transit time of a request counts against the time that its caller waits, and no field of a request states it.
//! This module has no state and relies on Linux's `TCP_INFO`.

use mio::net::TcpStream;
use std::io;
use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Returns the smoothed round-trip time of an accepted connection. Right after the connection is accepted, it is the
/// time of the handshake. Returns `None` if the kernel has no measurement.
pub fn round_trip(stream: &TcpStream) -> Option<Duration> {
    let info = tcp_info(stream).ok()?;
    let micros = u64::from(info.tcpi_rtt);
    (micros > 0).then(|| Duration::from_micros(micros))
}

/// Calls `getsockopt(TCP_INFO)`, which neither the standard library nor `rustix` offers.
fn tcp_info(stream: &TcpStream) -> io::Result<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` is borrowed, and the kernel writes at most `length` bytes.
    let outcome = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if outcome != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the struct contains only integers, and an older kernel that writes fewer bytes leaves zeros, which are
    // valid values.
    Ok(unsafe { info.assume_init() })
}
