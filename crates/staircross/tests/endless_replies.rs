//! Tests of node processes of the session tier whose searchers or platform reply without end.
//!
//! The replies come from a proxy before the stand-ins, so that the nodes know the searchers as working before.

mod common;

use common::{Fleet, NODES, WAIT_TIMEOUT};
use staircross_node::api::ReplyBody;
use staircross_standin::process_cost::peak_memory;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the smallest machines, in megabytes.
const MEMORY_MB: u64 = 112;
/// Number of requests that each searcher takes at a time.
const SLOTS: u32 = 32;
/// Number of searches that are sent at a time.
const SEARCHES: usize = 64;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Each kind of body without end: its name, how the reply begins, and the piece that is repeated. Heads without end are
/// bounded by the HTTP client.
const ENDLESS_BODIES: [(&str, &str, &str); 4] = [
    ("body", "HTTP/1.1 200 OK\r\n\r\n", "more"),
    ("body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "more"),
    ("chunks", CHUNKED, "4\r\nmore\r\n"),
    ("chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "again"),
];

/// A proxy that passes connections on, or replies without end to those whose first call has a certain target.
#[derive(Clone)]
struct FaultyProxy {
    target: &'static str,
    /// The beginning of the reply and the piece that is repeated, if there is one.
    reply: Arc<Mutex<Option<(&'static str, &'static str)>>>,
    faulty_replies: Arc<AtomicU32>,
}

impl FaultyProxy {
    fn new(target: &'static str) -> FaultyProxy {
        FaultyProxy { target, reply: Arc::default(), faulty_replies: Arc::default() }
    }

    fn set_reply(&self, reply: Option<(&'static str, &'static str)>) {
        *self.reply.lock().expect("no panic") = reply;
    }

    /// Listens before the server at `server`. Returns the address.
    fn listen(&self, server: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        let proxy = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = proxy.clone();
                // Either side may close at any time.
                thread::spawn(move || proxy.serve(stream, server).unwrap_or_default());
            }
        });
        address
    }

    fn serve(&self, mut client: TcpStream, server: SocketAddr) -> std::io::Result<()> {
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        while !received.windows(4).any(|end| end == b"\r\n\r\n") {
            match client.read(&mut buffer)? {
                0 => return Ok(()),
                count => received.extend_from_slice(&buffer[..count]),
            }
        }
        let head = String::from_utf8_lossy(&received).into_owned();
        let is_for_target = head.split(' ').nth(1) == Some(self.target);
        let reply = *self.reply.lock().expect("no panic");
        match reply.filter(|_| is_for_target) {
            Some((begin, piece)) => self.reply_endlessly(client, begin, piece),
            None => {
                let mut to_server = TcpStream::connect(server)?;
                to_server.write_all(&received)?;
                let (from_server, to_client) = (to_server.try_clone()?, client.try_clone()?);
                thread::spawn(move || pass_on(from_server, to_client));
                pass_on(client, to_server);
                Ok(())
            }
        }
    }

    fn reply_endlessly(&self, mut client: TcpStream, begin: &str, piece: &str) -> std::io::Result<()> {
        self.faulty_replies.fetch_add(1, Ordering::SeqCst);
        let block = piece.repeat(64 * 1024 / piece.len());
        client.write_all(begin.as_bytes())?;
        loop {
            client.write_all(block.as_bytes())?;
        }
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    // Either side may close at any time, which closes the other.
    let _copied = std::io::copy(&mut from, &mut to);
    let _may_be_closed = to.shutdown(Shutdown::Both);
}

fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("staircross-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    folder
}

/// Fails if a node has ever used more memory than `max_mb` megabytes.
fn check_memory(fleet: &Fleet, what: &str, max_mb: u64) {
    for index in 0..NODES {
        let peak_kb = peak_memory(fleet.nodes[index].id()).expect("a live process") / 1024;
        assert!(peak_kb < max_mb * 1024, "{what}: node {index} has used {peak_kb} KB of memory");
    }
}

/// Guards against nodes that are killed for their memory: each reply was bounded, but not all that are read at a time.
#[test]
fn searchers_that_reply_without_end_stay_within_the_memory() {
    let folder = temporary_folder("endless-searchers");
    let mut fleet = Fleet::start(&folder);
    let proxy = FaultyProxy::new("/v1/search");
    let revision = fleet.publish_edited(|document| {
        for searcher in &mut document.services[0].searchers {
            searcher.address = proxy.listen(searcher.address);
            searcher.slots = SLOTS;
        }
    });
    fleet.wait_in_force(revision, 1);
    for (what, begin, piece) in ENDLESS_BODIES {
        (0..NODES).for_each(|index| fleet.wait_ready(index));
        proxy.set_reply(Some((begin, piece)));
        let before = proxy.faulty_replies.load(Ordering::SeqCst);
        let clients: Vec<_> = (0..SEARCHES).map(|index| fleet.client(index)).collect();
        thread::scope(|scope| {
            for client in &clients {
                scope.spawn(move || {
                    let session = client.open_session().expect("a session");
                    let search = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
                    let reply = client.query(session, search).expect("a reply");
                    assert!(matches!(reply.body, ReplyBody::Refusal(_)), "{what}: {:?}", reply.body);
                });
            }
        });
        assert!(proxy.faulty_replies.load(Ordering::SeqCst) > before, "{what}: no reply without end");
        check_memory(&fleet, what, MEMORY_MB);
        proxy.set_reply(None);
    }
    let _leftover = std::fs::remove_dir_all(&folder);
}

/// Guards against the same where the platform replies without end. Half of the memory is left for searchers and callers.
#[test]
fn a_platform_that_replies_without_end_stays_within_the_memory() {
    let folder = temporary_folder("endless-platform");
    let proxy = FaultyProxy::new("/v1/document");
    let mut fleet = Fleet::start_proxied(&folder, "", |platform| proxy.listen(platform));
    for (what, begin, piece) in ENDLESS_BODIES {
        proxy.set_reply(Some((begin, piece)));
        let (before, started) = (proxy.faulty_replies.load(Ordering::SeqCst), Instant::now());
        // Each node has read two such replies to their end.
        while proxy.faulty_replies.load(Ordering::SeqCst) < before + 3 * NODES as u32 {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{what}: the nodes read no more replies");
            thread::sleep(Duration::from_millis(50));
        }
        check_memory(&fleet, what, MEMORY_MB / 2);
        proxy.set_reply(None);
        let revision = fleet.publish(3000);
        fleet.wait_in_force(revision, 1);
    }
    let _leftover = std::fs::remove_dir_all(&folder);
}
