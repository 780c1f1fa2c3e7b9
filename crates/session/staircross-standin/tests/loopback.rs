//! Checks that free ports can be chosen while other threads start processes.
//!
//! Guards against a node that can't start under load, because of "Address already in use". A process that has just
//! been forked holds copies of all open sockets until it executes its own program, among them a copy of the socket
//! by which a port was found free.

use staircross_standin::loopback::{free_address, spawn};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

#[test]
fn a_port_that_was_found_free_can_be_listened_on_while_processes_are_started() {
    let is_over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Acquire) {
                    let child = spawn(Command::new("true").stdout(Stdio::null()));
                    child.expect("a process starts").wait().expect("it ends");
                }
            });
        }
        let listen = || TcpListener::bind(free_address().expect("a free port")).is_err();
        let taken = (0..2000).filter(|_| listen()).count();
        is_over.store(true, Ordering::Release);
        taken
    });
    assert_eq!(taken, 0, "of 2000 ports that were found free");
}
