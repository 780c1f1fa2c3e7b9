//! How far a peer is, as the kernel has measured it.
//!
//! What callers spend on the way to this node counts against their time, and nothing in a request says how long it took. Owns nothing; relies on
//! Linux's `TCP_INFO`.

use mio::net::TcpStream;
use std::io;
use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Smoothed round trip of an accepted connection. Right after accepting it is that of the handshake; `None` where the
/// system doesn't know it.
pub fn round_trip(stream: &TcpStream) -> Option<Duration> {
    let info = tcp_info(stream).ok()?;
    let micros = u64::from(info.tcpi_rtt);
    (micros > 0).then(|| Duration::from_micros(micros))
}

/// `getsockopt(TCP_INFO)`, which neither the standard library nor `rustix` offers.
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
    // SAFETY: the struct holds integers only, for which zeros are valid where an older kernel wrote less.
    Ok(unsafe { info.assume_init() })
}
