//! The first voter set of a new fleet.
//!
//! The seeds found the fleet: when every seed address is held by a run that knows no
//! configuration, and none has heard of one for a while, the lowest run proposes all of them as
//! voters, and they are founded once all have agreed. Two fleets can't be founded side by side,
//! because each needs every seed. Inputs: seeds' greetings, whether a configuration is known.
//! Known limit: if every seed is replaced at once *and* all are cut off from the rest of the
//! fleet for the quiet time, they found a second fleet.

use crate::config_state::ConfigState;
use crate::quorum::{Voter, VoterSet};
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without word of a configuration before a seed takes part in founding.
pub const QUIET: Duration = Duration::from_millis(2000);
/// Time between greetings.
const GREET_EVERY: Duration = Duration::from_millis(300);
/// Age from which a greeting no longer counts.
const GREETING_LIFE: Duration = Duration::from_millis(1000);

/// Messages between seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GenesisMessage {
    /// I am a seed without a configuration and have heard of none.
    Greeting { voter: Voter },
    /// Shall these found the fleet?
    Proposal { founders: VoterSet },
    /// Yes.
    Agreed { founders: VoterSet },
    /// They do.
    Founded { founders: VoterSet },
}

/// What genesis wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GenesisAction {
    /// Send to a seed.
    Send { address: SocketAddr, message: GenesisMessage },
    /// Start as a voter of this fleet.
    Found(Box<ConfigState>),
}

/// The genesis logic of one node; idle unless its own address is a seed.
pub struct Genesis {
    me: NodeId,
    voter: Voter,
    seeds: Vec<SocketAddr>,
    started: Option<BootTime>,
    next_greeting: BootTime,
    greetings: BTreeMap<SocketAddr, Greeting>,
    proposed: Option<VoterSet>,
    agreed: BTreeSet<NodeId>,
    is_over: bool,
}

struct Greeting {
    node: NodeId,
    voter: Voter,
    heard_at: BootTime,
}

impl Genesis {
    /// Logic of a node that would be `voter`.
    pub fn new(me: NodeId, voter: Voter, mut seeds: Vec<SocketAddr>) -> Self {
        seeds.sort_unstable();
        seeds.dedup();
        Genesis {
            me,
            voter,
            seeds,
            started: None,
            next_greeting: BootTime::default(),
            greetings: BTreeMap::new(),
            proposed: None,
            agreed: BTreeSet::new(),
            is_over: false,
        }
    }

    fn is_seed(&self) -> bool {
        self.seeds.contains(&self.voter.address)
    }

    fn is_quiet(&self, now: BootTime) -> bool {
        // A seed on its own has nobody to hear of a configuration from.
        let quiet = if self.seeds.len() == 1 { Duration::ZERO } else { QUIET };
        self.started.is_some_and(|started| now.since(started) >= quiet)
    }

    /// Ends genesis: a configuration is known.
    pub fn end(&mut self) {
        self.is_over = true;
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, actions: &mut Vec<GenesisAction>) {
        let started = *self.started.get_or_insert(now);
        if self.is_over || !self.is_seed() || now < started || !self.is_quiet(now) || now < self.next_greeting {
            return;
        }
        self.next_greeting = now + GREET_EVERY;
        self.send_to_seeds(GenesisMessage::Greeting { voter: self.voter.clone() }, actions);
        self.propose(now, actions);
    }

    fn send_to_seeds(&self, message: GenesisMessage, actions: &mut Vec<GenesisAction>) {
        for seed in self.seeds.iter().filter(|seed| **seed != self.voter.address) {
            actions.push(GenesisAction::Send { address: *seed, message: message.clone() });
        }
    }

    fn propose(&mut self, now: BootTime, actions: &mut Vec<GenesisAction>) {
        let Some(founders) = self.complete_set(now) else {
            return;
        };
        let is_lowest = founders.voters.keys().next() == Some(&self.me);
        if !is_lowest {
            return;
        }
        if self.proposed.as_ref() != Some(&founders) {
            self.proposed = Some(founders.clone());
            self.agreed = BTreeSet::from([self.me]);
        }
        self.send_to_seeds(GenesisMessage::Proposal { founders }, actions);
        self.found_if_agreed(actions);
    }

    /// All seeds, if each has greeted lately.
    fn complete_set(&self, now: BootTime) -> Option<VoterSet> {
        let mut founders = VoterSet::default().with(self.me, self.voter.clone());
        for seed in self.seeds.iter().filter(|seed| **seed != self.voter.address) {
            let greeting = self.greetings.get(seed)?;
            if now.since(greeting.heard_at) > GREETING_LIFE {
                return None;
            }
            founders = founders.with(greeting.node, greeting.voter.clone());
        }
        Some(founders)
    }

    fn found_if_agreed(&mut self, actions: &mut Vec<GenesisAction>) {
        let Some(founders) = self.proposed.clone() else {
            return;
        };
        if founders.voters.keys().all(|node| self.agreed.contains(node)) {
            self.send_to_seeds(GenesisMessage::Founded { founders: founders.clone() }, actions);
            self.found(founders, actions);
        }
    }

    fn found(&mut self, founders: VoterSet, actions: &mut Vec<GenesisAction>) {
        self.is_over = true;
        let state = ConfigState::founded_by(founders);
        actions.push(GenesisAction::Found(Box::new(state)));
    }

    /// Takes a message from a seed.
    pub fn on_message(
        &mut self,
        now: BootTime,
        from: NodeId,
        from_address: SocketAddr,
        message: GenesisMessage,
        actions: &mut Vec<GenesisAction>,
    ) {
        if self.is_over || !self.is_seed() {
            return;
        }
        match message {
            GenesisMessage::Greeting { voter } => {
                self.greetings.insert(from_address, Greeting { node: from, voter, heard_at: now });
            }
            GenesisMessage::Proposal { founders } => {
                if self.is_quiet(now) && founders.contains(self.me) {
                    actions.push(GenesisAction::Send {
                        address: from_address,
                        message: GenesisMessage::Agreed { founders },
                    });
                }
            }
            GenesisMessage::Agreed { founders } => {
                if self.proposed.as_ref() == Some(&founders) {
                    self.agreed.insert(from);
                    self.found_if_agreed(actions);
                }
            }
            GenesisMessage::Founded { founders } => {
                if founders.contains(self.me) {
                    self.found(founders, actions);
                }
            }
        }
    }
}
