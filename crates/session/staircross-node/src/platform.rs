//! Reads the service document and the machine list from the platform.
//!
//! They are read at an interval, and at once when the core asks for it.
//!
//! After a failed read or a malformed reply, the document and the machine list that were read last stay in force. Entries
//! of the machine list that can't be used are left out.

use crate::event::CoreEvent;
use crate::http_status::require_success;
use crate::logs::Logs;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use spdlog::warn;
use staircross_config::{PlatformDocument, PlatformSettings, ReadMachineList};
use staircross_types::boot_clock as clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest reply of the platform, in bytes.
const MAX_REPLY_BYTES: u64 = 16 * 1024 * 1024;
/// Longest wait for a reply of the platform.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the reader checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Asks the reader to read the platform without waiting for the end of the interval.
#[derive(Clone)]
pub struct ReadTrigger {
    requests: Sender<()>,
}

impl ReadTrigger {
    /// Creates a trigger, and the receiver that the reader waits on.
    pub fn new() -> (ReadTrigger, Receiver<()>) {
        let (requests, receiver) = bounded(1);
        (ReadTrigger { requests }, receiver)
    }

    /// Asks for a read after the one that may be under way.
    pub fn read_now(&self) {
        // If a request waits already, its read begins later than this call. Without a reader nothing is left to read.
        let _waits_already = self.requests.try_send(());
    }
}

/// Starts the thread that reads the platform, and also reads it when it receives a message on `triggers`.
pub fn start_reader(
    settings: &PlatformSettings,
    events: Sender<CoreEvent>,
    triggers: Receiver<()>,
    logs: Logs,
    stop: Arc<AtomicBool>,
) -> std::io::Result<JoinHandle<()>> {
    let reader = PlatformReader {
        agent: new_agent(),
        document_url: format!("http://{}/v1/document", settings.address),
        machines_url: format!("http://{}/v1/machines", settings.address),
        poll_interval: Duration::from_millis(settings.poll_ms),
        events,
        triggers,
        logs,
        stop,
        unusable_machines: Vec::new(),
    };
    std::thread::Builder::new().name("platform".to_owned()).spawn(move || reader.run())
}

/// Creates an agent that makes each call on a connection of its own. Replies carry no ids: on a connection that is kept,
/// bytes behind a reply would be taken for the reply to the next call.
fn new_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .proxy(None)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_global(Some(READ_TIMEOUT))
        .build()
        .into()
}

struct PlatformReader {
    agent: ureq::Agent,
    document_url: String,
    machines_url: String,
    poll_interval: Duration,
    events: Sender<CoreEvent>,
    triggers: Receiver<()>,
    logs: Logs,
    stop: Arc<AtomicBool>,
    /// Positions of the entries of the last machine list that can't be used.
    unusable_machines: Vec<usize>,
}

impl PlatformReader {
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            self.read_once();
            self.wait_for_next_poll();
        }
    }

    fn wait_for_next_poll(&self) {
        let mut waited = Duration::ZERO;
        while waited < self.poll_interval && !self.stop.load(Ordering::Relaxed) {
            match self.triggers.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(()) => return,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => std::thread::sleep(STOP_CHECK_INTERVAL),
            }
            waited += STOP_CHECK_INTERVAL;
        }
    }

    fn read_once(&mut self) {
        let asked_at = clock::now();
        match self.read(&self.document_url) {
            Ok(text) => match PlatformDocument::from_json("platform document", &text) {
                Ok(document) => self.notify_core(CoreEvent::Platform { document: Arc::new(document), asked_at }),
                Err(error) => warn!(logger: self.logs.platform, "event=bad_document error={error:?}"),
            },
            Err(error) => warn!(logger: self.logs.platform, "event=unreadable what=document error={error:?}"),
        }
        let asked_at = clock::now();
        match self.read(&self.machines_url) {
            Ok(text) => match ReadMachineList::from_json("machine list", &text) {
                Ok(ReadMachineList { list, unusable }) => {
                    self.log_unusable_machines(unusable);
                    self.notify_core(CoreEvent::Machines { list, asked_at });
                }
                Err(error) => warn!(logger: self.logs.platform, "event=bad_machine_list error={error:?}"),
            },
            Err(error) => warn!(logger: self.logs.platform, "event=unreadable what=machines error={error:?}"),
        }
    }

    /// Logs which entries of the machine list can't be used, if they aren't those of the list before.
    fn log_unusable_machines(&mut self, unusable: Vec<usize>) {
        if unusable != self.unusable_machines {
            let (count, first) = (unusable.len(), unusable.first());
            warn!(logger: self.logs.platform, "event=unusable_machines count={count} first={first:?}");
            self.unusable_machines = unusable;
        }
    }

    fn notify_core(&self, event: CoreEvent) {
        // Sending fails only if the core has ended, at the end of a planned stop.
        let _ignored_while_stopping = self.events.send(event);
    }

    fn read(&self, url: &str) -> Result<String, ureq::Error> {
        let mut response = require_success(self.agent.get(url).call()?)?;
        response.body_mut().with_config().limit(MAX_REPLY_BYTES).read_to_string()
    }
}
