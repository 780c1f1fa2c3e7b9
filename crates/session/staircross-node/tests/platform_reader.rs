//! Tests that what the platform sends is read as the reply to the call that it belongs to, and as nothing else.

#[path = "common/endless.rs"]
mod endless;
#[path = "common/faulty_server.rs"]
mod faulty_server;

use crossbeam::channel::{Receiver, unbounded};
use faulty_server::{Fault, Reply};
use staircross_config::{MachineEntry, MachineState, PlatformSettings};
use staircross_node::event::CoreEvent;
use staircross_node::logs::Logs;
use staircross_node::platform::{self, ReadTrigger};
use staircross_types::boot_clock as clock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// Maximum time for which a test waits for a document or a list.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// A platform without faults: the beginning of another reply, of no bytes.
const NO_FAULT: Fault = Fault::LateBeginning("");
/// Number of documents and lists that a test reads.
const READS: u32 = 8;

/// Entries of another writer in a list of machines: nested, with numbers that are too large, with ports out of range, and
/// of other shapes.
fn odd_machine_entries() -> Vec<String> {
    let address = |port: &str| format!(r#"{{"address":"127.0.0.1:{port}","state":"live"}}"#);
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let mut entries: Vec<String> = ["65536", "70000", "-1", "99999999999999999999", ""].map(address).into();
    entries.extend([100, 1500, 5500].map(nested));
    entries.push(format!(r#"{{"address":{},"state":"live"}}"#, nested(5500)));
    entries.push(format!(r#"{{"address":"127.0.0.1:1","state":{}}}"#, nested(5500)));
    entries.push(format!(r#"{{"address":"127.0.0.1:1","state":"live","load":{}}}"#, "9".repeat(9000)));
    let others = [
        r#"{"address":1e400,"state":"live"}"#,
        r#"{"address":"127.0.0.1:1","state":1e99999}"#,
        r#"{"address":"127.0.0.1:1","state":"resting"}"#,
        r#"{"address":"127.0.0.1:1"}"#,
        r#"{"address":"nowhere","state":"live"}"#,
        r#"{"address":"127.0.0.1:1\u0000","state":"live"}"#,
        r#"{"address":"\ud800","state":"live"}"#,
        "null",
        "7",
    ];
    entries.extend(others.map(str::to_owned));
    entries
}

/// Starts a platform whose list has the entry `odd` before that of a machine which is leaving.
fn start_platform_with_machine(odd: String) -> SocketAddr {
    faulty_server::start(NO_FAULT, move |target, _| {
        let body = match target {
            "/v1/document" => "{\"revision\":1,\"services\":[]}".to_owned(),
            _ => format!(r#"{{"machines":[{odd},{{"address":"127.0.0.1:7","state":"leaving"}}],"at":{odd}}}"#),
        };
        Reply { fields: String::new(), body: body.into_bytes() }
    })
}

/// Starts a platform that counts its calls; the count is the revision of the document.
fn start_platform(fault: Fault) -> SocketAddr {
    start_counting_platform(fault, Arc::default())
}

/// Starts a platform like [`start_platform`] that counts its calls in `calls`.
fn start_counting_platform(fault: Fault, calls: Arc<AtomicU32>) -> SocketAddr {
    faulty_server::start(fault, move |target, _| {
        let number = calls.fetch_add(1, Ordering::SeqCst) + 1;
        let body = match target {
            "/v1/document" => format!("{{\"revision\":{number},\"services\":[]}}"),
            _ => "{\"machines\":[]}".to_owned(),
        };
        Reply { fields: String::new(), body: body.into_bytes() }
    })
}

/// Starts a reader of a platform. It ends when the flag is set.
fn start_reader(address: SocketAddr) -> (Receiver<CoreEvent>, Arc<AtomicBool>) {
    let (receiver, _trigger, stop) = start_polling_reader(PlatformSettings { address, poll_ms: 10 });
    (receiver, stop)
}

/// Starts a reader with these settings, which can also be triggered.
fn start_polling_reader(settings: PlatformSettings) -> (Receiver<CoreEvent>, ReadTrigger, Arc<AtomicBool>) {
    let (sender, receiver) = unbounded();
    let stop = Arc::new(AtomicBool::new(false));
    let logs = Logs::from_filter("off").expect("a filter");
    let (trigger, triggers) = ReadTrigger::new();
    platform::start_reader(&settings, sender, triggers, logs, stop.clone()).expect("a thread");
    (receiver, trigger, stop)
}

/// Reads [`READS`] documents and lists. Each call must have been answered by its own reply: document and list come in
/// turn, and the revision grows by two from one document to the next.
fn assert_each_call_gets_its_reply(fault: Fault) {
    let (events, stop) = start_reader(start_platform(fault));
    for turn in 0..READS {
        let event = events.recv_timeout(WAIT_TIMEOUT).expect("a document or a list");
        match event {
            CoreEvent::Platform { document, .. } if turn % 2 == 0 => assert_eq!(document.revision, u64::from(turn) + 1),
            CoreEvent::Machines { .. } if turn % 2 == 1 => {}
            _ => panic!("turn {turn}: the reply to another call"),
        }
    }
    stop.store(true, Ordering::Relaxed);
}

/// Guards against documents that can't be read because a proxy before the platform repeats a status line in a field.
#[test]
fn a_status_line_in_a_field_is_no_obstacle() {
    assert_each_call_gets_its_reply(Fault::StatusLineInField);
}

/// Guards against replies to other calls, sent together with the reply before.
#[test]
fn a_copy_behind_a_reply_is_not_read_as_the_next_one() {
    assert_each_call_gets_its_reply(Fault::CopyBehindReply);
}

/// Guards against replies to other calls that come when the next call was sent: documents would no longer arrive.
#[test]
fn a_late_copy_of_a_reply_is_not_read_as_the_next_one() {
    assert_each_call_gets_its_reply(Fault::LateCopy);
}

/// Guards against replies that are read as the continuation of bytes before them.
#[test]
fn the_beginning_of_another_reply_does_not_spoil_the_next_one() {
    for text in ["HTTP/1.1 200 OK", "HTTP/1.1 503 Busy\r\nX-Upstream: ", "HTTP/1.1 204 No Content\r\nA: b"] {
        assert_each_call_gets_its_reply(Fault::LateBeginning(text));
    }
}

/// Guards against a reader that a platform holds for good, or that believes a part of a reply.
#[test]
fn a_reply_without_end_in_any_part_is_given_up() {
    let readers = endless::endless_replies().map(|(what, fault)| {
        let calls = Arc::new(AtomicU32::new(0));
        (what, start_reader(start_counting_platform(fault, calls.clone())), calls)
    });
    std::thread::sleep(WAIT_TIMEOUT);
    for (what, (events, stop), calls) in readers {
        stop.store(true, Ordering::Relaxed);
        assert!(events.is_empty(), "{what}: a document or a list");
        assert!(calls.load(Ordering::SeqCst) >= 2, "{what}: the reader makes no further call");
    }
}

/// Guards against an empty or short document that is put in force: the platform stops in the middle of a reply.
#[test]
fn a_reply_that_stops_at_any_byte_is_not_believed() {
    let readers: Vec<_> = (0..70).map(|length| start_reader(start_platform(Fault::CutOff(length)))).collect();
    std::thread::sleep(Duration::from_secs(1));
    for (length, (events, stop)) in readers.into_iter().enumerate() {
        stop.store(true, Ordering::Relaxed);
        let is_believed = events.try_iter().next().is_some();
        assert!(!is_believed, "after {length} bytes");
    }
}

/// Guards against new work for a leaving machine because another writer has left one odd entry beside its own: the whole
/// list was refused, for as long as that entry stood.
#[test]
fn an_odd_entry_leaves_the_other_machines_of_the_list() {
    let leaving = MachineEntry { address: "127.0.0.1:7".parse().expect("an address"), state: MachineState::Leaving };
    for odd in odd_machine_entries() {
        let (events, stop) = start_reader(start_platform_with_machine(odd.clone()));
        let is_listed = |event: CoreEvent| match event {
            CoreEvent::Machines { list, .. } => Some(list.machines.contains(&leaving)),
            _ => None,
        };
        let listed = (0..2).find_map(|_| is_listed(events.recv_timeout(WAIT_TIMEOUT).ok()?));
        stop.store(true, Ordering::Relaxed);
        assert_eq!(listed, Some(true), "{odd:.200}");
    }
}

/// Guards against documents of a platform in trouble: its reply has a status that HTTP doesn't have, or no success.
#[test]
fn a_reply_whose_status_is_no_success_is_not_read() {
    for status in ["000", "099", "199", "302", "404", "500", "600", "999"] {
        let calls = Arc::new(AtomicU32::new(0));
        let (events, stop) = start_reader(start_counting_platform(Fault::Status(status), calls.clone()));
        let started = std::time::Instant::now();
        while calls.load(Ordering::SeqCst) < 3 {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{status}: the platform isn't called");
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        assert!(events.try_recv().is_err(), "{status}: a document or a list");
    }
}

/// Guards against a node that waits for the end of the interval though it must know now what the platform says.
#[test]
fn a_triggered_reader_reads_at_once() {
    let address = start_platform(NO_FAULT);
    let (events, trigger, stop) = start_polling_reader(PlatformSettings { address, poll_ms: 3_600_000 });
    let read_both = || (0..2).for_each(|_| drop(events.recv_timeout(WAIT_TIMEOUT).expect("a document or a list")));
    read_both();
    let triggered = clock::now();
    trigger.read_now();
    let event = events.recv_timeout(WAIT_TIMEOUT).expect("a document");
    stop.store(true, Ordering::Relaxed);
    assert!(matches!(event, CoreEvent::Platform { asked_at, .. } if asked_at >= triggered));
}
