//! Connections to other nodes.
//!
//! Small control messages are sent over one UDP socket. Everything else is sent over TCP: each node writes to the
//! connections that it opened and reads from those that it accepted. Queues are bounded, so that messages to a slow
//! peer are dropped instead of filling this node's memory. A malformed frame closes only the connection on which it
//! arrived.

mod connection;
mod handshakes;

use crate::event::CoreEvent;
use crate::logs::Logs;
use crate::metrics::Metrics;
use connection::{Connection, ConnectionFault};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use handshakes::{HandshakeStream, Handshakes};
use spdlog::{debug, info, warn};
use staircross_cluster::ClusterMessage;
use staircross_cluster::document_relay::DocumentMessage;
use staircross_cluster::session_copies::SessionCopyMessage;
use staircross_types::NodeId;
use staircross_wire::frame::MAX_FRAME;
use staircross_wire::{ClusterKey, PONG, PeerMessage, datagram, read_frame};
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Largest number of messages that may wait to be sent to one peer.
const MAX_QUEUED_MESSAGES: usize = 8192;
/// Longest wait for a connection to a peer to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a peer to accept written bytes, or for the next bytes of the handshake that this node began.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection that couldn't be accepted, since the next attempt would fail at once too.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time without messages after which this node closes a connection that it opened.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without bytes after which this node closes a connection that the peer opened.
const READ_TIMEOUT: Duration = Duration::from_secs(90);

/// Connections to all other nodes.
pub struct PeerTransport {
    queues: HashMap<SocketAddr, Sender<PeerMessage>>,
    shared: Arc<Shared>,
}

struct Shared {
    node: NodeId,
    key: ClusterKey,
    udp: UdpSocket,
    events: Sender<CoreEvent>,
    logs: Logs,
    metrics: Metrics,
    stop: Arc<AtomicBool>,
    handshakes: Handshakes,
}

/// Arguments of [`PeerTransport::start`].
pub struct PeerTransportParts {
    /// Id of this incarnation of the node.
    pub node: NodeId,
    /// Address on which to listen over TCP and UDP.
    pub listen: SocketAddr,
    /// Secret key of the cluster.
    pub key: ClusterKey,
    /// Channel to the core for received messages and failures.
    pub events: Sender<CoreEvent>,
    /// Loggers of the node.
    pub logs: Logs,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Flag that is set when the node ends.
    pub stop: Arc<AtomicBool>,
}

impl PeerTransport {
    /// Starts to listen, and starts the threads that receive messages.
    pub fn start(parts: PeerTransportParts) -> std::io::Result<Self> {
        let listener = TcpListener::bind(parts.listen)?;
        let udp = UdpSocket::bind(parts.listen)?;
        udp.set_read_timeout(Some(Duration::from_millis(500)))?;
        let shared = Arc::new(Shared {
            node: parts.node,
            key: parts.key,
            udp,
            events: parts.events,
            logs: parts.logs,
            metrics: parts.metrics,
            stop: parts.stop,
            handshakes: Handshakes::default(),
        });
        let acceptor = shared.clone();
        std::thread::Builder::new().name("peer accept".to_owned()).spawn(move || acceptor.run_acceptor(&listener))?;
        let receiver = shared.clone();
        std::thread::Builder::new().name("peer datagrams".to_owned()).spawn(move || receiver.receive_datagrams())?;
        Ok(PeerTransport { queues: HashMap::new(), shared })
    }

    /// Queues a message for sending, or drops it if the peer's queue is full.
    pub fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        if tolerates_loss(&message) && self.shared.send_datagram(to, &message) {
            return;
        }
        let message = match self.queues.get(&to) {
            None => message,
            Some(queue) => match queue.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(message)) => {
                    self.shared.report_undelivered(message, false);
                    return;
                }
                Err(TrySendError::Disconnected(message)) => message,
            },
        };
        let (queue, queued_messages) = bounded(MAX_QUEUED_MESSAGES);
        // The queue is new, so it has room for the message.
        let _room_for_one = queue.try_send(message);
        self.queues.insert(to, queue);
        let writer = self.shared.clone();
        let unsent_messages = queued_messages.clone();
        let started = std::thread::Builder::new()
            .name(format!("peer {to}"))
            .spawn(move || writer.run_writer(to, &queued_messages));
        if let Err(error) = started {
            warn!(logger: self.shared.logs.peers, "event=no_thread peer={to} error={error:?}");
            unsent_messages.try_iter().for_each(|message| self.shared.report_undelivered(message, false));
        }
    }
}

/// Returns whether the message belongs to a protocol that tolerates loss, so that the message may be sent as a
/// datagram.
fn tolerates_loss(message: &PeerMessage) -> bool {
    let PeerMessage::Cluster(envelope) = message else {
        return false;
    };
    matches!(
        envelope.message,
        ClusterMessage::Membership(_)
            | ClusterMessage::Views(_)
            | ClusterMessage::SessionCopies(SessionCopyMessage::AwaitReplication | SessionCopyMessage::Replicated)
            | ClusterMessage::Document(DocumentMessage::Holds { .. })
    )
}

impl Shared {
    fn notify_core(&self, event: CoreEvent) {
        // Sending fails only if the core has ended, at the end of a planned stop.
        let _ignored_while_stopping = self.events.send(event);
    }

    fn count_dropped(&self, what: &str) {
        self.metrics.dropped.with_label_values(&[what]).inc();
    }

    /// Sends a message as a datagram. Returns `false` if the message is too long for one and must be sent over TCP.
    fn send_datagram(&self, to: SocketAddr, message: &PeerMessage) -> bool {
        let sealed = match datagram::seal(&self.key, message) {
            Ok(Some(sealed)) => sealed,
            Ok(None) => return false,
            Err(error) => {
                warn!(logger: self.logs.peers, "event=unsendable peer={to} error={error:?}");
                return true;
            }
        };
        match self.udp.send_to(&sealed, to) {
            Ok(count) => self.metrics.peer_bytes.with_label_values(&["udp"]).inc_by(count as u64),
            Err(error) => debug!(logger: self.logs.peers, "event=datagram_lost peer={to} error={error:?}"),
        }
        true
    }

    fn receive_datagrams(&self) {
        let mut buffer = vec![0_u8; 64 * 1024];
        while !self.stop.load(Ordering::Relaxed) {
            let Ok((length, from)) = self.udp.recv_from(&mut buffer) else {
                continue;
            };
            match datagram::open(&self.key, &buffer[..length]) {
                Ok(message) => self.notify_core(CoreEvent::Peer(message)),
                Err(error) => {
                    self.count_dropped("datagram");
                    debug!(logger: self.logs.peers, "event=bad_datagram peer={from} error={error:?}");
                }
            }
        }
    }

    fn run_acceptor(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let stream = match stream {
                Ok(stream) => Arc::new(stream),
                Err(error) => {
                    warn!(logger: self.logs.peers, "event=accept_failed error={error:?}");
                    std::thread::sleep(ACCEPT_RETRY_INTERVAL);
                    continue;
                }
            };
            self.handshakes.begin(&stream);
            let reader = self.clone();
            let started =
                std::thread::Builder::new().name("peer read".to_owned()).spawn(move || reader.run_reader(&stream));
            if let Err(error) = started {
                warn!(logger: self.logs.peers, "event=no_thread error={error:?}");
            }
        }
    }

    fn run_reader(&self, stream: &Arc<TcpStream>) {
        let peer = stream.peer_addr().map_or("unknown".to_owned(), |address| address.to_string());
        if let Err(error) = self.accept_handshake(stream) {
            self.count_dropped("connection");
            warn!(logger: self.logs.peers, "event=turned_away peer={peer} error={error:?}");
            return;
        }
        self.handshakes.end(stream);
        let mut reader = BufReader::new(&**stream);
        loop {
            match read_frame::<PeerMessage>(&mut reader, MAX_FRAME) {
                Ok(PeerMessage::Ping) => {
                    if let Err(error) = reader.get_mut().write_all(&[PONG]) {
                        // The peer may have given the connection up. What it wrote before is read nevertheless.
                        debug!(logger: self.logs.peers, "event=pong_failed peer={peer} error={error:?}");
                    }
                }
                Ok(message) => self.notify_core(CoreEvent::Peer(message)),
                Err(staircross_wire::WireError::Io(error)) => {
                    debug!(logger: self.logs.peers, "event=closed peer={peer} error={error:?}");
                    return;
                }
                Err(error) => {
                    self.count_dropped("frame");
                    warn!(logger: self.logs.peers, "event=bad_frame peer={peer} error={error:?}");
                    return;
                }
            }
        }
    }

    fn accept_handshake(&self, stream: &TcpStream) -> Result<(), staircross_wire::WireError> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        staircross_wire::accept(&mut HandshakeStream::new(stream), &self.key, rand::random())?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(())
    }

    /// Writes queued messages to a peer until no message has come for [`CONNECTION_IDLE_TIMEOUT`], or until writing
    /// fails.
    fn run_writer(&self, to: SocketAddr, queued_messages: &Receiver<PeerMessage>) {
        let mut connection = None;
        let mut idle_end = Instant::now() + CONNECTION_IDLE_TIMEOUT;
        loop {
            let pong_due = connection.as_ref().and_then(Connection::pong_due);
            let wake = pong_due.map_or(idle_end, |due| due.min(idle_end));
            let message = match queued_messages.recv_deadline(wake) {
                Ok(message) => message,
                Err(RecvTimeoutError::Timeout) if wake < idle_end => {
                    // A connection that was closed is kept: it is replaced with the next message.
                    if connection.as_mut().is_some_and(|open| open.check() == Err(ConnectionFault::Silent)) {
                        self.log_silent(to);
                        connection = None;
                    }
                    continue;
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
            };
            idle_end = Instant::now() + CONNECTION_IDLE_TIMEOUT;
            let mut messages = VecDeque::from([message]);
            messages.extend(queued_messages.try_iter());
            let outcome = self.open_connection(to, connection.take(), &mut messages);
            let mut open = match outcome {
                Ok(open) => open,
                Err(error) => {
                    info!(logger: self.logs.peers, "event=unreachable peer={to} error={error:?}");
                    // None of these messages was written.
                    messages.extend(queued_messages.try_iter());
                    messages.into_iter().for_each(|message| self.report_undelivered(message, false));
                    return;
                }
            };
            if let Err(error) = open.write(&mut messages, &self.metrics) {
                debug!(logger: self.logs.peers, "event=write_failed peer={to} error={error:?}");
                let partly_written = messages.pop_front();
                messages.extend(queued_messages.try_iter());
                messages.into_iter().for_each(|message| self.report_undelivered(message, false));
                partly_written.into_iter().for_each(|message| self.report_undelivered(message, true));
                self.notify_core(CoreEvent::PeerBroken(to));
                return;
            }
            connection = Some(open);
        }
    }

    /// Returns `current` if it is open, or else opens a connection.
    ///
    /// A message that is written to a connection whose peer has ended is lost without an error. If the peer has closed
    /// the connection, the sub-requests among `messages` are taken out and reported as not delivered, because the peer
    /// that they are meant for may be gone, and the core is told that the replies to earlier ones won't come. A peer that
    /// is silent may still reply to what it has read, so only the connection is replaced.
    fn open_connection(
        &self,
        to: SocketAddr,
        current: Option<Connection>,
        messages: &mut VecDeque<PeerMessage>,
    ) -> Result<Connection, staircross_wire::WireError> {
        if let Some(mut connection) = current {
            match connection.check() {
                Ok(()) => return Ok(connection),
                Err(ConnectionFault::Silent) => self.log_silent(to),
                Err(ConnectionFault::Closed) => {
                    debug!(logger: self.logs.peers, "event=closed_by_peer peer={to}");
                    let (requests, others): (VecDeque<_>, VecDeque<_>) =
                        messages.drain(..).partition(|message| matches!(message, PeerMessage::Request { .. }));
                    requests.into_iter().for_each(|request| self.report_undelivered(request, false));
                    self.notify_core(CoreEvent::PeerBroken(to));
                    *messages = others;
                }
            }
        }
        self.connect(to)
    }

    fn log_silent(&self, to: SocketAddr) {
        info!(logger: self.logs.peers, "event=peer_silent peer={to}");
    }

    fn connect(&self, to: SocketAddr) -> Result<Connection, staircross_wire::WireError> {
        let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        let acceptor = staircross_wire::connect(&mut stream, &self.key, self.node, rand::random())?;
        Ok(Connection::new(stream, acceptor.answers_pings))
    }

    /// Counts a message whose delivery failed or is uncertain, and reports it to the core if it is a sub-request.
    fn report_undelivered(&self, message: PeerMessage, partly_written: bool) {
        self.count_dropped("peer_message");
        if let PeerMessage::Request { request, .. } = message {
            self.notify_core(CoreEvent::Undelivered { request, partly_written });
        }
    }
}
