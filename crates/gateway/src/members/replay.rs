//! Recording and replay of membership events. Each line of the file is a JSON object with an event and its
//! time; one gateway writes the file and another one replays it.

use super::{MembershipEvent, Source};
use serde::{Deserialize, Serialize};
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A line of a recorded file.
#[derive(Serialize, Deserialize)]
struct RecordedEvent {
    /// Microseconds since the first event.
    at_us: i64,
    #[serde(rename = "news")]
    event: MembershipEvent,
}

/// Records membership events to a file.
pub struct Recorder {
    file: File,
    /// The time of the first event; none before it.
    started: Option<Micros>,
}

impl Recorder {
    /// Creates a recorder that writes to `path`; an existing file is truncated.
    ///
    /// # Errors
    /// When the file cannot be opened for writing.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        Ok(Recorder { file, started: None })
    }

    /// Writes an event as a line of the file.
    ///
    /// # Errors
    /// When the event cannot be written.
    pub fn record(&mut self, now: Micros, event: &MembershipEvent) -> io::Result<()> {
        let started = *self.started.get_or_insert(now);
        let line = RecordedEvent { at_us: now.0 - started.0, event: event.clone() };
        writeln!(self.file, "{}", serde_json::to_string(&line).map_err(io::Error::other)?)
    }
}

/// A source that replays the events of a recorded file at their recorded times.
pub struct ReplaySource {
    /// When the replay started, which is the first call of [`Source::advance`].
    started: Option<Micros>,
    /// The events that are not due yet.
    recorded: VecDeque<RecordedEvent>,
    /// The due events that were not taken yet.
    due: Vec<MembershipEvent>,
}

impl ReplaySource {
    /// Reads a recorded file completely.
    ///
    /// # Errors
    /// When the file cannot be read or a line is malformed; the error names the line.
    pub fn open(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let recorded = text.lines().enumerate().map(|(index, line)| {
            let malformed = |error| io::Error::other(format!("line {}: {error}", index + 1));
            serde_json::from_str(line).map_err(malformed)
        });
        Ok(ReplaySource { started: None, recorded: recorded.collect::<io::Result<_>>()?, due: Vec::new() })
    }
}

impl Source for ReplaySource {
    fn handle_event(&mut self, _: Micros, _: &mut Reactor, _: &ReactorEvent) -> bool {
        false
    }

    fn advance(&mut self, now: Micros, _: &mut Reactor) {
        let started = *self.started.get_or_insert(now);
        let is_due = |recorded: &mut RecordedEvent| started.0.saturating_add(recorded.at_us) <= now.0;
        while let Some(recorded) = self.recorded.pop_front_if(is_due) {
            self.due.push(recorded.event);
        }
    }

    fn next_wake(&self, now: Micros) -> Micros {
        let started = self.started.unwrap_or(now);
        let next = self.recorded.front();
        let due_us = next.map_or(i64::MAX, |recorded| started.0.saturating_add(recorded.at_us));
        Micros(due_us.max(now.0))
    }

    fn take_membership_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.due)
    }

    fn leave(&mut self, _: Micros, _: &mut Reactor) {}

    fn is_deregistered(&self) -> bool {
        true
    }
}
