//! Tests of frames, handshakes and datagrams, valid and invalid.

use proptest::prelude::*;
use staircross_types::{AttemptId, NodeId, RequestId};
use staircross_wire::datagram::{open, seal};
use staircross_wire::frame::{decode, encode};
use staircross_wire::{ClusterKey, PeerMessage, accept, connect, read_frame, write_frame};
use std::io::Cursor;
use std::net::{TcpListener, TcpStream};

fn message() -> PeerMessage {
    let request = RequestId { node: NodeId(5), sequence: 6 };
    PeerMessage::Cancel { from: NodeId(3), attempt: AttemptId { request, attempt: 7 } }
}

#[test]
fn frame_survives_the_round_trip() {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &message()).expect("writes");
    let read: PeerMessage = read_frame(&mut Cursor::new(bytes), 1000).expect("reads");
    assert_eq!(read, message());
}

#[test]
fn bad_frames_are_errors() {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &message()).expect("writes");
    let read =
        |bytes: &[u8], limit| read_frame::<PeerMessage>(&mut Cursor::new(bytes), limit).map_err(|e| e.to_string());
    assert!(read(&bytes, 4).expect_err("limit").contains("allowed"));
    assert!(read(&bytes[..bytes.len() - 1], 1000).is_err(), "truncated");
    assert!(read(&[0xff, 0xff, 0xff, 0xff, 1], usize::MAX).is_err(), "absurd length");
    let mut extended = encode(&message()).expect("encodes");
    extended.push(0);
    assert!(decode::<PeerMessage>(&extended).expect_err("left over").to_string().contains("left over"));
}

fn handshake_result(connector: ClusterKey, acceptor: ClusterKey) -> (bool, Option<NodeId>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("has an address");
    let accepting = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepts");
        accept(&mut stream, &acceptor, 2).ok()
    });
    let mut stream = TcpStream::connect(address).expect("connects");
    let connected = connect(&mut stream, &connector, NodeId(42), 1).is_ok();
    drop(stream);
    (connected, accepting.join().expect("ends"))
}

#[test]
fn handshake_lets_only_the_fleet_in() {
    let key = ClusterKey::new("fleet", "a long shared secret");
    assert_eq!(handshake_result(key.clone(), key.clone()), (true, Some(NodeId(42))));
    let wrong_secret = ClusterKey::new("fleet", "another shared secret");
    assert_eq!(handshake_result(wrong_secret, key.clone()), (false, None));
    let wrong_fleet = ClusterKey::new("other", "a long shared secret");
    assert_eq!(handshake_result(wrong_fleet, key), (false, None));
}

#[test]
fn datagram_with_another_key_or_a_flipped_bit_is_dropped() {
    let key = ClusterKey::new("fleet", "a long shared secret");
    let sealed = seal(&key, &message()).expect("seals").expect("fits");
    assert_eq!(open(&key, &sealed).expect("opens"), message());
    let other_key = ClusterKey::new("fleet", "another shared secret");
    assert!(open(&other_key, &sealed).is_err());
    for index in 0..sealed.len() {
        let mut flipped = sealed.clone();
        flipped[index] ^= 1;
        assert!(open(&key, &flipped).is_err(), "byte {index}");
    }
    assert!(open(&key, &[]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _any_result = decode::<PeerMessage>(&bytes);
        let _any_result = read_frame::<PeerMessage>(&mut Cursor::new(&bytes), 4096);
    }
}
