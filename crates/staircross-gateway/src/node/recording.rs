//! Records the engine's events and decisions.
//!
//! Each event is captured before the engine handles it, and written together with the resulting decisions, so that a
//! replay can compare them. [`Recorder`] owns the file. When the file can't be written or is full, the recording ends
//! with a log line and the node continues.

use super::GatewayNode;
use super::error::{GatewayError, io_error};
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::recorder::{Recorder, RecordingEnd};
use crate::settings::GatewaySettings;
use staircross_routing::engine::{RoutingAction, RoutingEvent, RoutingSettings};
use staircross_routing::recording::{Decision, Record, RecordedEvent, RecordedSettings, RecordedTurn};

/// Bytes per megabyte of the setting `node.record_mb`.
const MEGABYTE: u64 = 1 << 20;

/// Begins a recording if the settings ask for one.
pub(super) fn begin(settings: &GatewaySettings, routing: &RoutingSettings) -> Result<Option<Recorder>, GatewayError> {
    let Some(path) = &settings.node.record else {
        return Ok(None);
    };
    let create = || io_error(format!("node.record {}", path.display()));
    let mut recorder = Recorder::create(path, settings.node.record_mb * MEGABYTE).map_err(create())?;
    let first = Record::Begin(RecordedSettings::new(&settings.node.name, routing));
    // If the size limit doesn't even allow the first record, there is nothing to replay and nothing is recorded.
    Ok(recorder.write(&first).is_ok().then_some(recorder))
}

impl<D: Dialect> GatewayNode<D> {
    /// Returns the event in the form in which it is recorded; `None` without a recording, and for a tick at which the
    /// engine has nothing due.
    pub(super) fn recorded_event(&self, event: &RoutingEvent) -> Option<RecordedEvent> {
        self.recorder.as_ref()?;
        let is_idle_tick =
            matches!(event, RoutingEvent::Tick) && self.engine.next_wake().is_none_or(|due| due > self.now);
        (!is_idle_tick).then(|| event.into())
    }

    /// Records an event and the engine's decisions.
    pub(super) fn record(&mut self, event: RecordedEvent, actions: &[RoutingAction]) {
        let decisions = actions.iter().filter_map(Decision::from_action).collect();
        let turn = RecordedTurn { at: self.now, event, decisions };
        let outcome = self.recorder.as_mut().map_or(Ok(()), |recorder| recorder.write(&Record::Turn(turn)));
        self.end_recording_on_error(outcome);
    }

    pub(super) fn flush_recording(&mut self) {
        let outcome = self.recorder.as_mut().map_or(Ok(()), Recorder::flush);
        self.end_recording_on_error(outcome);
    }

    fn end_recording_on_error(&mut self, outcome: Result<(), RecordingEnd>) {
        if let Err(end) = outcome {
            // Dropping the recorder writes out the buffered records.
            self.recorder = None;
            let line = format_args!("event=recording_ended cause={}", end.name());
            self.log.line(self.now, LineKind::NodeEvent, line);
        }
    }
}
