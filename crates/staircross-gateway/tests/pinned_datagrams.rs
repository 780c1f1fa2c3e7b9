//! Tests that datagrams between gateway nodes keep their encoded form, as one node sends and receives them on a socket.

mod forms;

use forms::{bytes_of, diagnostic, hex};
use mio::net::UdpSocket;
use staircross_cluster::MemberState;
use staircross_gateway::fleet::{Fleet, FleetEvent, FleetIdentity};
use staircross_quota::message::TenantHash;
use staircross_quota::{QuotaGrant, QuotaMessage};
use staircross_routing::CaseRecord;
use staircross_types::{BootTime, NodeId};
use staircross_wire::frame::decode;
use std::net::{SocketAddr, UdpSocket as PeerSocket};
use std::time::Duration;

const CASE: &str = r#"{"c":77,"l":[{"s":5,"b":900,"e":800,"v":true}],"a":12,"r":99}"#;
const MAX_TICKS: usize = 500;

/// Node 1, and a plain socket in the place of node 2.
struct Pair {
    fleet: Fleet,
    address: SocketAddr,
    peer: PeerSocket,
    now: BootTime,
}

impl Pair {
    /// Creates node 1, whose seed is the plain socket in the place of node 2.
    fn new() -> Pair {
        let peer = PeerSocket::bind("127.0.0.1:0").expect("a free port");
        peer.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
        let seed = peer.local_addr().expect("the socket is bound");
        let socket = UdpSocket::bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let address = socket.local_addr().expect("the socket is bound");
        let identity = FleetIdentity {
            node: NodeId(1),
            peer_address: "192.0.2.1:7004".parse().expect("an address"),
            caller_address: "192.0.2.1:7001".parse().expect("an address"),
            region: "north".to_owned(),
            zone: "hall".to_owned(),
        };
        let now = BootTime::from_millis(1000);
        Pair { fleet: Fleet::new(identity, vec![seed], socket, now), address, peer, now }
    }

    fn tick(&mut self) -> Vec<FleetEvent> {
        let mut events = Vec::new();
        self.now = self.now + Duration::from_millis(20);
        self.fleet.on_tick(self.now, &mut events);
        events
    }

    fn receive(&self) -> Vec<u8> {
        let mut buf = [0; 2048];
        let length = self.peer.recv(&mut buf).expect("a datagram");
        buf[..length].to_vec()
    }

    /// Sends node 1 a datagram from node 2, and returns the events that it causes.
    fn send(&mut self, form: &str) -> Vec<FleetEvent> {
        self.peer.send_to(&bytes_of(form), self.address).expect("the datagram is sent");
        for _ in 0..MAX_TICKS {
            let events = self.tick();
            if !events.is_empty() {
                return events;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("no event after the datagram {form}");
    }

    /// Makes node 2 known to node 1.
    fn introduce(&mut self) {
        let port = self.peer.local_addr().expect("the socket is bound").port();
        let join = format!(
            r#"{{"f":"h'00000000000000000000000000000002'","t":null,"a":{{"v":0,"r":0,"l":0}},"m":{{"Join":{{"member":
            {{"n":"h'00000000000000000000000000000002'","p":{{"V4":[[127,0,0,1],{port}]}},"c":{{"V4":[[192,0,2,2],7001]}},
            "r":"north","z":"hall","s":"alive","v":1}}}}}}}}"#
        );
        let events = self.send(&join);
        assert!(matches!(&events[..], [FleetEvent::Member { .. }]), "{events:?}");
    }

    /// Returns the next datagram from node 1 for whose text `holds` returns true.
    fn receive_where(&self, holds: impl Fn(&str) -> bool) -> Vec<u8> {
        (0..MAX_TICKS).map(|_| self.receive()).find(|bytes| holds(&diagnostic(bytes))).expect("such a datagram")
    }
}

fn shown(bytes: &[u8]) -> String {
    format!("{}\n  {}\n", diagnostic(bytes), hex(bytes))
}

#[test]
fn a_joining_node_asks_its_seed() {
    let mut pair = Pair::new();
    pair.tick();
    insta::assert_snapshot!("join", shown(&pair.receive()));
}

#[test]
fn quotas_are_sent_alone() {
    let mut pair = Pair::new();
    pair.introduce();
    let grant = QuotaGrant::new(BootTime::from_millis(1000), TenantHash(5), 0.25);
    pair.fleet.send_quotas(NodeId(2), vec![QuotaMessage::Grant(grant)]);
    insta::assert_snapshot!("quotas", shown(&pair.receive_where(|text| text.contains("\"u\""))));
}

#[test]
fn cases_go_with_each_datagram_and_a_node_that_leaves_says_so() {
    let mut pair = Pair::new();
    pair.introduce();
    pair.fleet.set_case_records(vec![decode::<CaseRecord>(&bytes_of(CASE)).expect("a record")]);
    pair.fleet.set_load(95, &mut Vec::new());
    pair.fleet.leave(MemberState::Leaving, &mut Vec::new());
    let bytes = pair.receive_where(|text| text.contains("leaving") && text.contains("\"q\": [{\"c\""));
    let text = diagnostic(&bytes);
    // The rest is left out, since the numbers of probes, the order of updates and the ports are random.
    let (head, _) = text.split_once("\"m\"").expect("a message of the membership");
    insta::assert_snapshot!("cases", head);
}

#[test]
fn a_datagram_with_everything_is_read() {
    let mut pair = Pair::new();
    let events = pair.send(&format!(
        r#"{{"f":"h'00000000000000000000000000000002'","t":"h'00000000000000000000000000000001'",
        "a":{{"v":7,"r":90,"e":4,"l":55,"s":120,"c":340}},"q":[{CASE}],"u":[{{"w":{{"t":5,"s":1000000,"p":0.25}}}}],
        "m":{{"Join":{{"member":{{"n":"h'00000000000000000000000000000002'","p":{{"V4":[[192,0,2,2],7004]}},
        "c":{{"V4":[[192,0,2,2],7001]}},"r":"north","z":"hall","s":"alive","v":1}}}}}}}}"#
    ));
    assert_eq!(events.len(), 3, "{events:?}");
    let (FleetEvent::CaseRecords(cases), FleetEvent::Quotas { from, messages }, FleetEvent::Member { member }) =
        (&events[0], &events[1], &events[2])
    else {
        panic!("{events:?}");
    };
    let encode = |bytes: Result<Vec<u8>, staircross_wire::WireError>| diagnostic(&bytes.expect("encoded"));
    assert_eq!(cases.len(), 1);
    assert_eq!(encode(staircross_wire::frame::encode(&cases[0])), diagnostic(&bytes_of(CASE)));
    assert_eq!(*from, NodeId(2));
    assert_eq!(messages.len(), 1);
    let expected = diagnostic(&bytes_of(r#"{"w":{"t":5,"s":1000000,"p":0.25}}"#));
    assert_eq!(encode(staircross_wire::frame::encode(&messages[0])), expected);
    assert_eq!(member.node, NodeId(2));
    assert_eq!(pair.fleet.newest_version(), 7, "the announcement is read");
}
