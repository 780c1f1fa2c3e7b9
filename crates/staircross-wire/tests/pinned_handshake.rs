//! Snapshots of the encoded frames of a handshake, of a frame and of a datagram.

mod notation;

use notation::{hex, notation};
use staircross_types::{AttemptId, NodeId, RequestId};
use staircross_wire::datagram::seal;
use staircross_wire::{ClusterKey, PeerMessage, accept, connect, write_frame};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// A stream that records the bytes written to it.
struct RecordingStream {
    stream: UnixStream,
    written: Vec<u8>,
}

impl RecordingStream {
    fn new(stream: UnixStream) -> Self {
        RecordingStream { stream, written: Vec::new() }
    }
}

impl Read for RecordingStream {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        self.stream.read(buf)
    }
}

impl Write for RecordingStream {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let count = self.stream.write(buf)?;
        self.written.extend_from_slice(&buf[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.stream.flush()
    }
}

fn key() -> ClusterKey {
    ClusterKey::new("fleet", "a long shared secret")
}

fn message() -> PeerMessage {
    let request = RequestId { node: NodeId(5), sequence: 6 };
    PeerMessage::Cancel { from: NodeId(3), attempt: AttemptId { request, attempt: 7 } }
}

/// Renders each frame as the notation of its body, and its length prefix and body in hexadecimal.
fn frames(name: &str, mut bytes: &[u8]) -> String {
    let mut text = String::new();
    while let Some((prefix, rest)) = bytes.split_first_chunk::<4>() {
        let (body, after) = rest.split_at(u32::from_be_bytes(*prefix) as usize);
        text.push_str(&format!("{name}\n{}\n{} {}\n", notation(body), hex(prefix), hex(body)));
        bytes = after;
    }
    text
}

#[test]
fn handshake_is_pinned() {
    let (near, far) = UnixStream::pair().expect("a pair");
    let accepting = std::thread::spawn(move || {
        let mut stream = RecordingStream::new(far);
        let node = accept(&mut stream, &key(), 0x22).expect("accepts");
        assert_eq!(node, NodeId(42));
        stream.written
    });
    let mut stream = RecordingStream::new(near);
    connect(&mut stream, &key(), NodeId(42), 0x11).expect("connects");
    let accepted = accepting.join().expect("ends");
    insta::assert_snapshot!(frames("connector", &stream.written) + &frames("acceptor", &accepted));
}

#[test]
fn frame_is_pinned() {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &message()).expect("writes");
    insta::assert_snapshot!(frames("frame", &bytes));
}

#[test]
fn datagram_is_pinned() {
    let sealed = seal(&key(), &message()).expect("seals").expect("fits");
    insta::assert_snapshot!(hex(&sealed));
}
