//! A store reader whose clock and replies are controlled by the test. Its calls are collected.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_routing::store_reader::{
    Lane, ReaderAction, ReaderSettings, ReadingMode, StoreCall, StoreReader, StoreReply,
};
use staircross_routing::{MirrorUpdate, StoreEpoch, StoreRevision};
use staircross_types::BootTime;
use std::time::Duration;

/// A store reader, its clock, and the actions that it has requested, by kind.
pub struct ReaderDriver {
    pub reader: StoreReader,
    pub random: ChaCha8Rng,
    pub now: BootTime,
    pub calls: Vec<(Lane, StoreCall)>,
    pub learned: Vec<(Lane, MirrorUpdate)>,
    pub reachable: Vec<bool>,
    pub cancelled: Vec<Lane>,
    /// Lanes that were confirmed, each with the time as of which it was.
    pub confirmed: Vec<(Lane, BootTime)>,
}

impl ReaderDriver {
    pub fn new() -> Self {
        ReaderDriver {
            reader: StoreReader::new(ReaderSettings::default()),
            random: ChaCha8Rng::seed_from_u64(1),
            now: BootTime::from_millis(1000),
            calls: Vec::new(),
            learned: Vec::new(),
            reachable: Vec::new(),
            cancelled: Vec::new(),
            confirmed: Vec::new(),
        }
    }

    /// Collects the actions that the reader requests.
    pub fn collect(&mut self, actions: Vec<ReaderAction>) {
        for action in actions {
            match action {
                ReaderAction::Call { lane, call, .. } => self.calls.push((lane, call)),
                ReaderAction::Learned { lane, update } => self.learned.push((lane, update)),
                ReaderAction::Cancel { lane, .. } => self.cancelled.push(lane),
                ReaderAction::Confirmed { lane, asked_at } => self.confirmed.push((lane, asked_at)),
                ReaderAction::Listed { .. } | ReaderAction::EpochBegan { .. } | ReaderAction::FormerEpoch { .. } => {}
                ReaderAction::Reachable { is_reachable, .. } => self.reachable.push(is_reachable),
            }
        }
    }

    /// Advances the clock and returns the calls made on a lane since they were last returned. Calls on other lanes are
    /// kept.
    pub fn calls_within(&mut self, millis: u64, lane: Lane) -> Vec<StoreCall> {
        let end = self.now + Duration::from_millis(millis);
        loop {
            let mut actions = Vec::new();
            self.reader.on_tick(self.now, &mut actions);
            self.collect(actions);
            match self.reader.next_wake().filter(|wake| *wake <= end) {
                Some(wake) => self.now = self.now.max(wake),
                None => break,
            }
        }
        self.now = end;
        let (ours, others) = std::mem::take(&mut self.calls).into_iter().partition(|(of, _)| *of == lane);
        self.calls = others;
        let ours: Vec<(Lane, StoreCall)> = ours;
        ours.into_iter().map(|(_, call)| call).collect()
    }

    /// Answers the open call of a lane, as a store that tells no epoch.
    pub fn reply(&mut self, lane: Lane, reply: StoreReply) {
        self.reply_in(StoreEpoch::UNTOLD, lane, reply);
    }

    /// Answers the open call of a lane in an epoch of the store.
    pub fn reply_in(&mut self, epoch: StoreEpoch, lane: Lane, reply: StoreReply) {
        let mut actions = Vec::new();
        self.reader.on_reply(self.now, lane, epoch, reply, &mut self.random, &mut actions);
        self.collect(actions);
    }

    /// Reports that a peer's update made all changes of a lane up to `revision` known.
    pub fn peer_report(&mut self, lane: Lane, revision: StoreRevision) {
        let mut actions = Vec::new();
        self.reader.on_peer_report(self.now, lane, revision, &mut actions);
        self.collect(actions);
    }

    /// Fails the open call of a lane.
    pub fn fail(&mut self, lane: Lane) {
        let mut actions = Vec::new();
        self.reader.on_failed(self.now, lane, &mut self.random, &mut actions);
        self.collect(actions);
    }

    /// Answers the open call of a lane with more than a call may hold.
    pub fn answer_too_long(&mut self, lane: Lane) {
        let mut actions = Vec::new();
        self.reader.on_answer_too_long(self.now, lane, &mut self.random, &mut actions);
        self.collect(actions);
    }
}

/// Returns whether a call watches for changes after this revision.
pub fn is_watch_after(call: &StoreCall, revision: u64) -> bool {
    matches!(call, StoreCall::Watch { after, .. } if *after == StoreRevision::new(StoreEpoch::UNTOLD, revision))
}

/// Sets the mode of the reader and collects the actions that it requests.
pub fn set_mode(driver: &mut ReaderDriver, mode: ReadingMode) {
    let mut actions = Vec::new();
    driver.reader.set_mode(driver.now, mode, &mut actions);
    driver.collect(actions);
}
