//! Where the list of workers comes from while a gateway runs: the settings file, the registry, or a recorded file. Each is a
//! [`Source`] of [`News`]; the shell takes news and knows no source. What a source tells may be recorded, to be played again.

mod registry;
mod replay;
mod starts;

pub use registry::{MemberSettings, RegistrySource};
pub use replay::{Recorder, ReplaySource};
pub use starts::Starts;

use serde::{Deserialize, Serialize};
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::WorkerRecord;
use std::collections::BTreeMap;

/// News of the members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum News {
    /// All workers, as they are now.
    Full(BTreeMap<String, WorkerRecord>),
    /// All workers as an earlier process saw them last.
    Remembered(BTreeMap<String, WorkerRecord>),
    /// Changes, to be carried out in order; `None` for a worker that is gone.
    Changes(Vec<(String, Option<WorkerRecord>)>),
    /// Nothing was heard for too long: what was known still holds.
    Refused,
    /// The number of routers is another one now, this one included.
    Routers(usize),
}

/// Where news come from. Its sockets are the loop's.
pub trait Source {
    /// Takes a happening; `false` where it is of another's socket.
    fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool;
    /// Lets time pass.
    fn advance(&mut self, now: Micros, reactor: &mut Reactor);
    /// When [`Source::advance`] is due.
    fn next_wake(&self, now: Micros) -> Micros;
    /// News since the last time.
    fn take_news(&mut self) -> Vec<News>;
    /// An orderly stop begins: whatever is to be sent for it is sent.
    fn leave(&mut self, now: Micros, reactor: &mut Reactor);
    /// Whether what was to be sent for the stop is over.
    fn has_left(&self) -> bool;
}
