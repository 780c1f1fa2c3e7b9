//! Tests of node processes of the session tier with crowds of clients that send without reading, at both ports.
//!
//! The node must go on: its process lives, its memory and the queues of its sockets together stay within the memory of
//! the smallest machines, its descriptors within the usual limit of a process, and an ordinary query is answered while
//! the crowd is still there. The tests check nothing that depends on the speed of the machine.

mod common;

use common::{Fleet, WAIT_TIMEOUT};
use staircross_node::api::ReplyBody;
use staircross_standin::crowd::{Crowd, CrowdPlan};
use staircross_standin::process_cost::CostMeter;
use staircross_types::NodeId;
use staircross_wire::ClusterKey;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the smallest machines, in megabytes.
const MEMORY_MB: u64 = 112;
/// Usual limit on the descriptors of a process.
const DESCRIPTORS: u64 = 1024;
/// Lines of the settings that lower the number of callers' connections.
const LIMITS: &str = "[limits]\ncaller_connections = 400\n";
/// Time for which a crowd sends before an ordinary query is sent beside it.
const CROWD_TIME: Duration = Duration::from_millis(1000);
/// Number of requests that are sent with different ids.
const DIFFERENT_REQUESTS: usize = 64;
/// Length of a body that is announced, in bytes; callers may send so much.
const BODY: usize = 64_000;
/// Length of a head that isn't completed, in bytes; callers may send so much.
const HALF_HEAD: usize = 16_000;
/// Number of connections that send whole or incomplete requests.
const MANY: usize = 1500;

/// One crowd at a time, so that none takes the processor from another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The beginning of what a crowd sends.
#[derive(Clone, Copy, Debug)]
enum Head {
    Usual,
    WithoutFields,
    UnknownHost,
    Bad,
}

const HEADS: [Head; 4] = [Head::Usual, Head::WithoutFields, Head::UnknownHost, Head::Bad];

impl Head {
    /// Returns the head of a request without the blank line that ends it.
    fn request(self, line: &str, number: usize) -> String {
        let fields = |host: &str| format!("Host: {host}\r\nX-Number: {number}\r\n");
        match self {
            Head::Usual => format!("{line} HTTP/1.1\r\n{}", fields("node")),
            Head::WithoutFields => format!("{line} HTTP/1.1\r\n"),
            Head::UnknownHost => format!("{line} HTTP/1.1\r\n{}", fields("nobody.example")),
            Head::Bad => format!("{line} HTTP/1.1\r\nno field\r\n"),
        }
    }

    /// Returns the first frame of a connection between nodes.
    fn frame(self) -> Vec<u8> {
        match self {
            Head::Usual => hello("test"),
            Head::WithoutFields => vec![0, 0, 0, 1, 0xa0],
            Head::UnknownHost => hello("another"),
            Head::Bad => b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        }
    }
}

/// Keeps what a connecting node writes first.
struct Written(Vec<u8>);

impl Read for Written {
    fn read(&mut self, _: &mut [u8]) -> std::io::Result<usize> {
        Ok(0)
    }
}

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn hello(cluster: &str) -> Vec<u8> {
    let mut written = Written(Vec::new());
    let key = ClusterKey::new(cluster, "a key for this test only");
    // The handshake ends at the first read, since nobody answers.
    staircross_wire::connect(&mut written, &key, NodeId(1), 1).expect_err("no answer");
    written.0
}

/// Plans of the crowds at callers' port.
mod callers {
    use super::{BODY, CrowdPlan, DIFFERENT_REQUESTS, HALF_HEAD, Head, MANY};

    pub fn answers_unread(head: Head) -> CrowdPlan {
        let line = |number: usize| if number.is_multiple_of(2) { "GET /v1/status" } else { "GET /metrics" };
        let request = |number: usize| head.request(line(number), number) + "\r\n";
        let repeated = (0..DIFFERENT_REQUESTS).flat_map(|number| request(number).into_bytes()).collect();
        CrowdPlan::ahead(16, repeated, 16_000_000)
    }

    pub fn half_heads(head: Head) -> CrowdPlan {
        let begin = head.request("GET /v1/status", 0) + "X-Filler: ";
        let filler = "x".repeat(HALF_HEAD - begin.len());
        CrowdPlan::once(MANY, (begin + &filler).into_bytes())
    }

    pub fn stopped_bodies(head: Head) -> CrowdPlan {
        let begin = format!("{}Content-Length: {BODY}\r\n\r\n", head.request("POST /v1/command", 0));
        let opening = [begin.as_bytes(), &vec![b'x'; BODY - 1]].concat();
        CrowdPlan::once(MANY, opening)
    }

    pub fn many_connections(head: Head) -> CrowdPlan {
        let opening = (head.request("GET /v1/status", 0) + "\r\n").into_bytes();
        CrowdPlan::once(MANY, opening)
    }
}

/// Plans of the crowds at the port for other nodes.
mod peers {
    use super::{CrowdPlan, Head, MANY};

    pub fn answers_unread(head: Head) -> CrowdPlan {
        CrowdPlan::ahead(16, head.frame(), 16_000_000)
    }

    pub fn half_heads(head: Head) -> CrowdPlan {
        let frame = head.frame();
        let opening = frame[..frame.len() / 2].to_vec();
        CrowdPlan::once(MANY, opening)
    }

    pub fn stopped_bodies(head: Head) -> CrowdPlan {
        let opening = [head.frame(), vec![0, 0, 4, 0], vec![0; 1000]].concat();
        CrowdPlan::once(MANY, opening)
    }

    pub fn many_connections(head: Head) -> CrowdPlan {
        CrowdPlan::once(MANY, head.frame())
    }
}

/// Returns whether a node answers a query of a new session.
fn is_query_answered(fleet: &Fleet) -> bool {
    let client = fleet.client(0);
    let query = || {
        let session = client.open_session()?;
        client.query(session, "SEARCH 'common' IN SERVICE clauses LIMIT 10")
    };
    query().is_ok_and(|reply| matches!(reply.body, ReplyBody::Answer(_)))
}

/// Plays a crowd with each head and checks the node after each.
fn play(name: &str, address: fn(&Fleet) -> SocketAddr, plan: fn(Head) -> CrowdPlan) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = std::env::temp_dir().join(format!("staircross-crowd-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start_with(&folder, LIMITS);
    let ports = vec![fleet.callers[0].port(), fleet.peers[0].port()];
    let meter = CostMeter::start(fleet.nodes[0].id(), ports).expect("a live process");
    let mut findings = Vec::new();
    for head in HEADS {
        let crowd = Crowd::start(address(&fleet), plan(head));
        thread::sleep(CROWD_TIME);
        let opened = crowd.opened();
        let status = fleet.nodes[0].try_wait().expect("the node can be waited for");
        assert!(status.is_none(), "{head:?}: the process has ended: {status:?}; {opened} connections");
        let began = Instant::now();
        while !is_query_answered(&fleet) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "{head:?}: no query is answered beside {opened} connections");
            thread::sleep(Duration::from_millis(50));
        }
        drop(crowd);
        let (memory_kb, descriptors) = (meter.memory() / 1024, meter.descriptors());
        println!("{name} {head:?}: {memory_kb} KB, {descriptors} descriptors, {opened} connections");
        if memory_kb >= MEMORY_MB * 1024 {
            findings.push(format!("{head:?}: {memory_kb} KB of memory with the sockets' queues"));
        }
        if descriptors > DESCRIPTORS {
            findings.push(format!("{head:?}: {descriptors} descriptors"));
        }
    }
    drop(fleet);
    // A folder that stays does no harm.
    let _best_effort = std::fs::remove_dir_all(&folder);
    assert!(findings.is_empty(), "{name}: {findings:#?}");
}

macro_rules! crowds {
    ($($name:ident: $port:ident, $plan:ident;)*) => {
        $(
            #[test]
            fn $name() {
                play(stringify!($name), |fleet| fleet.$port[0], $port::$plan);
            }
        )*
    };
}

crowds! {
    session_callers_that_read_no_answers: callers, answers_unread;
    session_callers_that_send_half_heads: callers, half_heads;
    session_callers_whose_bodies_stop: callers, stopped_bodies;
    session_callers_with_many_connections: callers, many_connections;
    session_peers_that_read_no_answers: peers, answers_unread;
    session_peers_that_send_half_heads: peers, half_heads;
    session_peers_whose_bodies_stop: peers, stopped_bodies;
    session_peers_with_many_connections: peers, many_connections;
}
