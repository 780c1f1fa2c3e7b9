//! Non-blocking sockets, and the HTTP/1.1 server that both programs use.
//!
//! | module | content |
//! | --- | --- |
//! | [`socket`] | one non-blocking stream with its outgoing bytes, and the poll tokens of sockets |
//! | [`round_trip`] | a peer's round-trip time, as measured by the kernel |
//! | `send_queue` | the bytes that a peer hasn't acknowledged, as counted by the kernel |
//! | `listener` | a listener that closes without resetting connections |
//! | [`server`] | listeners and accepted connections |

mod listener;
pub mod round_trip;
mod send_queue;
pub mod server;
pub mod socket;
