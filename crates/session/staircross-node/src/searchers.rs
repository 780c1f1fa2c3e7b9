//! Connections to searchers.
//!
//! Each owned searcher has a few worker threads with one keep-alive connection each, and one more
//! thread for probes and cancellations, which opens a connection for each. The leaf engine bounds
//! the number of calls in flight; this module bounds the number of connections.
//!
//! Invariants:
//!
//! - No call is ever sent twice.
//! - An action is sent on a new connection. On a keep-alive connection that the searcher has just
//!   closed, it would be unknown whether the action was executed.
//! - No call is started after its `send_before`.
//! - `NotRun` is reported only if the call wasn't started, if no connection was made, or if the
//!   searcher itself said so.

mod call;
pub mod reply_memory;

use crate::event::CoreEvent;
use crate::logs::Logs;
use call::{CallResult, ReplyLimits, SearcherClient};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use reply_memory::ReplyMemory;
use staircross_config::LimitSettings;
use staircross_search::leaf::not_run;
use staircross_search::{NotRunReason, SubRequest};
use staircross_types::boot_clock as clock;
use staircross_types::{AttemptId, BootTime, SearcherId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time without work after which a worker thread ends and closes its connection.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest number of control jobs that may wait. Further ones are dropped, because probes are repeated and
/// cancellations are only hints.
const MAX_CONTROL_JOBS: usize = 256;

/// A sub-request to be sent to a searcher.
struct Job {
    request: SubRequest,
    send_before: BootTime,
}

/// A probe or a cancellation to be sent to a searcher.
enum ControlJob {
    Probe,
    Cancel(AttemptId),
}

/// Worker threads and queues of one searcher.
struct WorkerPool {
    address: SocketAddr,
    jobs: Sender<Job>,
    job_receiver: Receiver<Job>,
    control: Sender<ControlJob>,
    worker_count: Arc<AtomicUsize>,
    idle_workers: Arc<AtomicUsize>,
    max_workers: usize,
}

/// Connections to all owned searchers.
pub struct SearcherConnections {
    pools: HashMap<SearcherId, WorkerPool>,
    events: Sender<CoreEvent>,
    logs: Logs,
    limits: ReplyLimits,
}

impl SearcherConnections {
    /// Creates an empty set of connections. Replies beyond the limits count as damaged.
    pub fn new(events: Sender<CoreEvent>, logs: Logs, limits: &LimitSettings) -> Self {
        let limits =
            ReplyLimits { reply_bytes: limits.reply_bytes as u64, memory: ReplyMemory::new(limits.all_replies_bytes) };
        SearcherConnections { pools: HashMap::new(), events, logs, limits }
    }

    /// Sets which searchers this node owns. The threads for other searchers end when their queued work is done.
    pub fn set_owned(&mut self, owned: &[SearcherEndpoint]) {
        let is_kept = |id: &SearcherId, pool: &WorkerPool| {
            owned.iter().any(|owned| owned.searcher == *id && owned.address == pool.address)
        };
        self.pools.retain(|id, pool| is_kept(id, pool));
        for owned in owned {
            match self.pools.get_mut(&owned.searcher) {
                Some(pool) => pool.max_workers = owned.connections,
                None => {
                    let pool = self.open_pool(owned);
                    self.pools.insert(owned.searcher, pool);
                }
            }
        }
    }

    fn new_client(&self, searcher: SearcherId, address: SocketAddr) -> SearcherClient {
        SearcherClient::new(searcher, address, self.limits.clone(), self.logs.clone())
    }

    fn open_pool(&self, owned: &SearcherEndpoint) -> WorkerPool {
        let (jobs, job_receiver) = unbounded();
        let (control, control_receiver) = bounded(MAX_CONTROL_JOBS);
        let client = self.new_client(owned.searcher, owned.address);
        let events = self.events.clone();
        let name = format!("control {}", owned.searcher);
        let started =
            std::thread::Builder::new().name(name).spawn(move || run_control(&client, &control_receiver, &events));
        if let Err(error) = started {
            spdlog::error!(logger: self.logs.searchers, "event=no_thread searcher={} error={error:?}", owned.searcher);
        }
        WorkerPool {
            address: owned.address,
            jobs,
            job_receiver,
            control,
            worker_count: Arc::new(AtomicUsize::new(0)),
            idle_workers: Arc::new(AtomicUsize::new(0)),
            max_workers: owned.connections,
        }
    }

    /// Queues a sub-request for a searcher, and starts another worker if none is idle and the limit allows it.
    pub fn send(&self, request: SubRequest, send_before: BootTime) {
        let Some(pool) = self.pools.get(&request.searcher) else {
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.notify_core(CoreEvent::SearcherReplied { reply, incarnation: None });
            return;
        };
        let queued_jobs = pool.job_receiver.len();
        let needs_worker = pool.idle_workers.load(Ordering::Acquire) <= queued_jobs;
        if needs_worker && pool.worker_count.load(Ordering::Acquire) < pool.max_workers {
            self.start_worker(request.searcher, pool);
        }
        if let Err(refused) = pool.jobs.send(Job { request, send_before }) {
            let request = refused.into_inner().request;
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.notify_core(CoreEvent::SearcherReplied { reply, incarnation: None });
        }
    }

    /// Starts a thread that sends queued sub-requests to a searcher over its own connection.
    fn start_worker(&self, searcher: SearcherId, pool: &WorkerPool) {
        let mut client = self.new_client(searcher, pool.address);
        let jobs = pool.job_receiver.clone();
        let events = self.events.clone();
        let worker_count = pool.worker_count.clone();
        let idle_workers = pool.idle_workers.clone();
        worker_count.fetch_add(1, Ordering::AcqRel);
        let name = format!("searcher {searcher}");
        let started = std::thread::Builder::new().name(name).spawn(move || {
            run_worker(&mut client, &jobs, &events, &idle_workers);
            worker_count.fetch_sub(1, Ordering::AcqRel);
        });
        if let Err(error) = started {
            pool.worker_count.fetch_sub(1, Ordering::AcqRel);
            spdlog::error!(logger: self.logs.searchers, "event=no_thread searcher={searcher} error={error:?}");
        }
    }

    /// Queues a request for the state of a searcher.
    pub fn probe(&self, searcher: SearcherId) {
        self.queue_control_job(searcher, ControlJob::Probe);
    }

    /// Queues a notice to a searcher that the result of an attempt is no longer needed.
    pub fn cancel(&self, searcher: SearcherId, attempt: AttemptId) {
        self.queue_control_job(searcher, ControlJob::Cancel(attempt));
    }

    fn queue_control_job(&self, searcher: SearcherId, job: ControlJob) {
        let Some(pool) = self.pools.get(&searcher) else {
            return;
        };
        if pool.control.try_send(job).is_err() {
            spdlog::debug!(logger: self.logs.searchers, "event=control_queue_full searcher={searcher}");
        }
    }

    fn notify_core(&self, event: CoreEvent) {
        // Sending fails only if the core has ended, at the end of a planned stop.
        let _ignored_while_stopping = self.events.send(event);
    }
}

/// Address of an owned searcher, and the number of connections that this owner may open to it.
#[derive(Clone, Debug)]
pub struct SearcherEndpoint {
    /// Id of the searcher.
    pub searcher: SearcherId,
    /// Address on which the searcher listens.
    pub address: SocketAddr,
    /// Largest number of connections for sub-requests. One more at a time is used for probes and cancellations.
    pub connections: usize,
}

fn run_worker(
    client: &mut SearcherClient,
    jobs: &Receiver<Job>,
    events: &Sender<CoreEvent>,
    idle_workers: &AtomicUsize,
) {
    loop {
        idle_workers.fetch_add(1, Ordering::AcqRel);
        let received = jobs.recv_timeout(WORKER_IDLE_TIMEOUT);
        idle_workers.fetch_sub(1, Ordering::AcqRel);
        let Ok(job) = received else {
            return;
        };
        // The leaf engine sent the job because of a probe reply that may be too old now, for example after a pause of
        // this thread.
        let CallResult { reply, incarnation } = if clock::now() >= job.send_before {
            CallResult::without_reply(not_run(&job.request, NotRunReason::Unconnected))
        } else {
            client.call(&job.request)
        };
        if events.send(CoreEvent::SearcherReplied { reply, incarnation }).is_err() {
            return;
        }
    }
}

fn run_control(client: &SearcherClient, jobs: &Receiver<ControlJob>, events: &Sender<CoreEvent>) {
    while let Ok(job) = jobs.recv() {
        match job {
            ControlJob::Cancel(attempt) => client.cancel(attempt),
            ControlJob::Probe => {
                let asked_at = clock::now();
                let report = client.probe();
                let event = CoreEvent::Probed { searcher: client.searcher(), asked_at, report };
                if events.send(event).is_err() {
                    return;
                }
            }
        }
    }
}
