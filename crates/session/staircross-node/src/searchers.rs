//! Connections to searchers.
//!
//! Each owned searcher has a few worker threads with one keep-alive connection each, and one more
//! thread for probes and cancellations. The leaf engine bounds the number of calls in flight; this
//! module bounds the number of connections.
//!
//! Invariants:
//!
//! - No call is ever sent twice.
//! - An action is sent on a new connection. On a keep-alive connection that the searcher has just
//!   closed, it would be unknown whether the action was executed.
//! - No call is started after its `send_before`.
//! - "Not run" is reported only if the call wasn't started, if no connection was made, or if the
//!   searcher itself said so.

mod call;

use crate::event::CoreEvent;
use crate::logs::Logs;
use call::{CallEnd, SearcherCaller};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
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
const IDLE_LIFE: Duration = Duration::from_secs(20);
/// Largest number of control jobs that may wait. Further ones are dropped, because probes are repeated and
/// cancellations are only hints.
const CONTROL_QUEUE: usize = 256;

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
struct Pool {
    address: SocketAddr,
    jobs: Sender<Job>,
    job_source: Receiver<Job>,
    control: Sender<ControlJob>,
    workers: Arc<AtomicUsize>,
    idle: Arc<AtomicUsize>,
    most_workers: usize,
}

/// Connections to all owned searchers.
pub struct SearcherConnections {
    pools: HashMap<SearcherId, Pool>,
    events: Sender<CoreEvent>,
    logs: Logs,
    reply_limit: u64,
}

impl SearcherConnections {
    /// Creates an empty set of connections. Replies longer than `reply_limit` bytes count as damaged.
    pub fn new(events: Sender<CoreEvent>, logs: Logs, reply_limit: usize) -> Self {
        SearcherConnections { pools: HashMap::new(), events, logs, reply_limit: reply_limit as u64 }
    }

    /// Sets which searchers this node owns. The threads of other searchers end when their queued work is done.
    pub fn set_owned(&mut self, owned: &[OwnedAddress]) {
        let is_kept = |id: &SearcherId, pool: &Pool| {
            owned.iter().any(|owned| owned.searcher == *id && owned.address == pool.address)
        };
        self.pools.retain(|id, pool| is_kept(id, pool));
        for owned in owned {
            match self.pools.get_mut(&owned.searcher) {
                Some(pool) => pool.most_workers = owned.connections,
                None => {
                    let pool = self.open_pool(owned);
                    self.pools.insert(owned.searcher, pool);
                }
            }
        }
    }

    fn caller(&self, searcher: SearcherId, address: SocketAddr) -> SearcherCaller {
        SearcherCaller::new(searcher, address, self.reply_limit, self.logs.clone())
    }

    fn open_pool(&self, owned: &OwnedAddress) -> Pool {
        let (jobs, job_source) = unbounded();
        let (control, control_source) = bounded(CONTROL_QUEUE);
        let caller = self.caller(owned.searcher, owned.address);
        let events = self.events.clone();
        let name = format!("control {}", owned.searcher);
        let started =
            std::thread::Builder::new().name(name).spawn(move || run_control(&caller, &control_source, &events));
        if let Err(error) = started {
            spdlog::error!(logger: self.logs.searchers, "event=no_thread searcher={} error={error:?}", owned.searcher);
        }
        Pool {
            address: owned.address,
            jobs,
            job_source,
            control,
            workers: Arc::new(AtomicUsize::new(0)),
            idle: Arc::new(AtomicUsize::new(0)),
            most_workers: owned.connections,
        }
    }

    /// Queues a sub-request for a searcher, and starts another worker if none is idle and the limit allows it.
    pub fn send(&self, request: SubRequest, send_before: BootTime) {
        let Some(pool) = self.pools.get(&request.searcher) else {
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.notify_core(CoreEvent::SearcherReplied { reply, run: None });
            return;
        };
        let waiting = pool.job_source.len();
        let is_short = pool.idle.load(Ordering::Acquire) <= waiting;
        if is_short && pool.workers.load(Ordering::Acquire) < pool.most_workers {
            self.start_worker(request.searcher, pool);
        }
        if let Err(refused) = pool.jobs.send(Job { request, send_before }) {
            let request = refused.into_inner().request;
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.notify_core(CoreEvent::SearcherReplied { reply, run: None });
        }
    }

    fn start_worker(&self, searcher: SearcherId, pool: &Pool) {
        let caller = self.caller(searcher, pool.address);
        let jobs = pool.job_source.clone();
        let events = self.events.clone();
        let workers = pool.workers.clone();
        let idle = pool.idle.clone();
        workers.fetch_add(1, Ordering::AcqRel);
        let name = format!("searcher {searcher}");
        let started = std::thread::Builder::new().name(name).spawn(move || {
            run_worker(&caller, &jobs, &events, &idle);
            workers.fetch_sub(1, Ordering::AcqRel);
        });
        if let Err(error) = started {
            pool.workers.fetch_sub(1, Ordering::AcqRel);
            spdlog::error!(logger: self.logs.searchers, "event=no_thread searcher={searcher} error={error:?}");
        }
    }

    /// Queues a request for the state of a searcher.
    pub fn probe(&self, searcher: SearcherId) {
        self.control(searcher, ControlJob::Probe);
    }

    /// Queues a message that tells a searcher that an attempt is no longer wanted.
    pub fn cancel(&self, searcher: SearcherId, attempt: AttemptId) {
        self.control(searcher, ControlJob::Cancel(attempt));
    }

    fn control(&self, searcher: SearcherId, job: ControlJob) {
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
pub struct OwnedAddress {
    /// Id of the searcher.
    pub searcher: SearcherId,
    /// Address on which the searcher listens.
    pub address: SocketAddr,
    /// Largest number of connections for sub-requests. One more connection is used for probes and cancellations.
    pub connections: usize,
}

fn run_worker(caller: &SearcherCaller, jobs: &Receiver<Job>, events: &Sender<CoreEvent>, idle: &AtomicUsize) {
    loop {
        idle.fetch_add(1, Ordering::AcqRel);
        let received = jobs.recv_timeout(IDLE_LIFE);
        idle.fetch_sub(1, Ordering::AcqRel);
        let Ok(job) = received else {
            return;
        };
        // The leaf engine decided on evidence that may be too old now, for example after a pause of this thread.
        let CallEnd { reply, run } = if clock::now() >= job.send_before {
            CallEnd::without_run(not_run(&job.request, NotRunReason::Unconnected))
        } else {
            caller.call(&job.request)
        };
        if events.send(CoreEvent::SearcherReplied { reply, run }).is_err() {
            return;
        }
    }
}

fn run_control(caller: &SearcherCaller, jobs: &Receiver<ControlJob>, events: &Sender<CoreEvent>) {
    while let Ok(job) = jobs.recv() {
        match job {
            ControlJob::Cancel(attempt) => caller.cancel(attempt),
            ControlJob::Probe => {
                let asked_at = clock::now();
                let evidence = caller.probe();
                let event = CoreEvent::Probed { searcher: caller.searcher(), asked_at, evidence };
                if events.send(event).is_err() {
                    return;
                }
            }
        }
    }
}
