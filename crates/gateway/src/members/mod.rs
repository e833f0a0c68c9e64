//! Sources of the list of workers while a gateway runs: the registry, or a file of recorded events. Without a
//! source the workers are those of the settings file. Each source implements [`Source`], so that the event
//! loop handles the events of all sources alike. The events of the registry can be recorded, to be replayed
//! later.

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

/// A change of the membership. [`Recorder`] stores it as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MembershipEvent {
    /// All current workers, by name.
    Full(BTreeMap<String, WorkerRecord>),
    /// All workers, by name, from the snapshot of an earlier process.
    Remembered(BTreeMap<String, WorkerRecord>),
    /// Changed workers by name, in the order in which they are to be applied; `None` for a removed worker.
    Changes(Vec<(String, Option<WorkerRecord>)>),
    /// The source has not answered for too long; the last known workers remain in use.
    Refused,
    /// The number of routers, including this one, changed to this value.
    Routers(usize),
}

/// A source of membership events. Its sockets are on the event loop's reactor.
pub trait Source {
    /// Handles an event of one of the source's sockets; returns `false` if the event is not from one of them.
    fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool;
    /// Handles the passage of time, such as timeouts and due requests.
    fn advance(&mut self, now: Micros, reactor: &mut Reactor);
    /// Returns when [`Source::advance`] is due if no event occurs earlier.
    fn next_wake(&self, now: Micros) -> Micros;
    /// Removes and returns the events since the last call.
    fn take_membership_events(&mut self) -> Vec<MembershipEvent>;
    /// Starts an orderly stop, which removes this process's own entry.
    fn leave(&mut self, now: Micros, reactor: &mut Reactor);
    /// Returns whether the stop is complete, so that the process may exit.
    fn is_deregistered(&self) -> bool;
}
