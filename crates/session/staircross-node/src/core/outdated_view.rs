//! Finds out that this process stood still, and has the platform read before commands are executed by what is known.
//!
//! [`OutdatedView`](staircross_search::OutdatedView) decides; this module holds the commands meanwhile.

use super::Core;
use crate::caller::{CallerCommand, CallerReply};
use crate::front_message::ReplySender;
use spdlog::info;
use staircross_search::{Confirmation, LeafEvent, Recovery, Refusal};
use staircross_types::boot_clock as clock;
use staircross_types::{BootTime, ErrorKind};

/// Largest number of commands that are held. Further ones are refused.
const MAX_HELD_COMMANDS: usize = 4096;

/// A command that waits until what this node knows is current again, and the channel for its reply.
pub(super) struct HeldCommand {
    command: CallerCommand,
    reply: ReplySender,
}

impl Core {
    /// Reads the clock. If this process has stood still since it was last read, has the platform read, and the copies of
    /// all sessions confirmed again: other nodes may have declared this one dead and taken sessions over.
    pub(super) fn read_clock(&mut self) -> BootTime {
        let now = clock::now();
        if let Some(gap) = self.outdated_view.advance(now) {
            info!(logger: self.logs.cluster, "event=view outdated=true gap_ms={} revision={}",
                gap.as_millis(), self.cluster.revision());
            self.platform.read_now();
            self.session_replication.clear_confirmations();
            self.handle_leaf_event(now, LeafEvent::View { is_outdated: true });
        }
        now
    }

    /// Executes a command, or holds it while what this node knows is outdated.
    pub(super) fn hold_or_execute(&mut self, now: BootTime, command: CallerCommand, reply: ReplySender) {
        if !self.outdated_view.is_outdated() || matches!(command, CallerCommand::Status) {
            self.on_caller(now, command, reply);
        } else if self.held_commands.len() < MAX_HELD_COMMANDS {
            self.held_commands.push(HeldCommand { command, reply });
        } else {
            let detail = format!("this process stood still, and {MAX_HELD_COMMANDS} requests wait for the platform");
            reply.send(CallerReply::Refused(Refusal::new(ErrorKind::Overloaded, detail)));
        }
    }

    /// Records that what the platform said up to `asked_at` is known.
    pub(super) fn record_confirmation(&mut self, now: BootTime, confirmation: Confirmation, asked_at: BootTime) {
        self.outdated_view.record_confirmation(confirmation, asked_at);
        self.recover_view(now);
    }

    /// Executes the held commands if what this node knows is current again.
    pub(super) fn recover_view(&mut self, now: BootTime) {
        let Some(recovery) = self.outdated_view.recover(now) else {
            return;
        };
        info!(logger: self.logs.cluster, "event=view outdated=false confirmed={} held={} revision={}",
            recovery == Recovery::Confirmed, self.held_commands.len(), self.cluster.revision());
        self.handle_leaf_event(now, LeafEvent::View { is_outdated: false });
        for HeldCommand { command, reply } in std::mem::take(&mut self.held_commands) {
            self.on_caller(now, command, reply);
        }
    }
}
