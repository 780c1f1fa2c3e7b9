//! Recording what the engine takes in and decides.
//!
//! Each event is taken down before the engine handles it and written with its decisions, so that a replay can compare them. The file
//! is owned by [`Recorder`]; where it can't be written or is full, recording ends with a line and the node goes on.

use super::GatewayNode;
use super::error::{GatewayError, io_error};
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::recorder::{Recorder, RecordingEnd};
use crate::settings::GatewaySettings;
use staircross_routing::engine::{RoutingAction, RoutingEvent, RoutingSettings};
use staircross_routing::recording::{Decision, Record, RecordedEvent, RecordedSettings, RecordedTurn};

/// Bytes of a megabyte in `node.record_mb`.
const MEGABYTE: u64 = 1 << 20;

/// Begins a recording if the settings ask for one.
pub(super) fn begin(settings: &GatewaySettings, routing: &RoutingSettings) -> Result<Option<Recorder>, GatewayError> {
    let Some(path) = &settings.node.record else {
        return Ok(None);
    };
    let create = || io_error(format!("node.record {}", path.display()));
    let mut recorder = Recorder::create(path, settings.node.record_mb * MEGABYTE).map_err(create())?;
    let first = Record::Begin(RecordedSettings::new(&settings.node.name, routing));
    // A file too short for its beginning holds nothing to replay.
    Ok(recorder.write(&first).is_ok().then_some(recorder))
}

impl<D: Dialect> GatewayNode<D> {
    /// The event as it will be recorded; `None` where nothing is, or where it changes nothing.
    pub(super) fn to_record(&self, event: &RoutingEvent) -> Option<RecordedEvent> {
        self.recorder.as_ref()?;
        let is_idle_tick =
            matches!(event, RoutingEvent::Tick) && self.engine.next_wake().is_none_or(|due| due > self.now);
        (!is_idle_tick).then(|| event.into())
    }

    /// Records an event and what the engine wanted done.
    pub(super) fn record(&mut self, event: RecordedEvent, actions: &[RoutingAction]) {
        let decisions = actions.iter().filter_map(Decision::from_action).collect();
        let turn = RecordedTurn { at: self.now, event, decisions };
        let outcome = self.recorder.as_mut().map_or(Ok(()), |recorder| recorder.write(&Record::Turn(turn)));
        self.end_recording_on(outcome);
    }

    pub(super) fn flush_recording(&mut self) {
        let outcome = self.recorder.as_mut().map_or(Ok(()), Recorder::flush);
        self.end_recording_on(outcome);
    }

    fn end_recording_on(&mut self, outcome: Result<(), RecordingEnd>) {
        if let Err(end) = outcome {
            // Dropping it writes out what is buffered.
            self.recorder = None;
            let line = format_args!("event=recording_ended cause={}", end.name());
            self.log.line(self.now, LineKind::Belief, line);
        }
    }
}
