//! Sources of the list of workers while a gateway runs: the registry or a recorded file (without a source the settings file
//! lists them). Each is a [`Source`] of events; the event loop applies them without knowing which. Events may be recorded, to
//! be replayed.

mod registry;
mod replay;
mod start_times;

pub use registry::{MemberSettings, RegistrySource};
pub use replay::{Recorder, ReplaySource};
pub use start_times::WorkerStartTimes;

use serde::{Deserialize, Serialize};
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::WorkerRecord;
use std::collections::BTreeMap;

/// An event of the membership. Its JSON form is stored by [`Recorder`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MembershipEvent {
    /// All workers at present.
    Full(BTreeMap<String, WorkerRecord>),
    /// All workers from the snapshot of an earlier process.
    Remembered(BTreeMap<String, WorkerRecord>),
    /// Changed workers, in the order in which to apply them; `None` for a removed worker.
    Changes(Vec<(String, Option<WorkerRecord>)>),
    /// The source has not answered for too long; the known workers remain in use.
    Refused,
    /// The number of routers changed to this, this one included.
    Routers(usize),
}

/// A source of membership events, whose sockets belong to the event loop.
pub trait Source {
    /// Handles an event of one of the source's sockets; returns `false` for any other event.
    fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool;
    /// Handles the passing of time.
    fn advance(&mut self, now: Micros, reactor: &mut Reactor);
    /// Returns when [`Source::advance`] is due.
    fn next_wake(&self, now: Micros) -> Micros;
    /// Removes and returns the events since the last call.
    fn take_membership_events(&mut self) -> Vec<MembershipEvent>;
    /// Starts an orderly stop: removes this process's own entry.
    fn leave(&mut self, now: Micros, reactor: &mut Reactor);
    /// Returns whether the stop is complete.
    fn is_deregistered(&self) -> bool;
}
