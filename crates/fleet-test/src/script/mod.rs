//! Scripts of fleet tests, as S-expressions: the processes to start, the links between them, the events, and the expectations.
//!
//! Every error in a script is found by [`Script::parse`], with file, line and form, before a process is started.

mod parser;

use crate::link::LinkFaultKind;
use serde::Serialize;

/// What the processes of a group are.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupKind {
    /// The registry of workers: the test server.
    Registry {
        /// Listed workers without a process.
        entries: usize,
        /// Its limit of load; none for a registry without a limit.
        capacity: Option<RegistryCapacity>,
        /// Its faults.
        faults: Vec<TimedFault<RegistryFault>>,
    },
    /// A link to a service that the script names before.
    Link {
        /// The name of the service.
        to: String,
        /// Its faults.
        faults: Vec<TimedFault<LinkFaultKind>>,
    },
    /// Relays of the worker list.
    Relays {
        /// The name of the service that they watch.
        service: String,
    },
    /// Test workers that register themselves.
    Workers {
        /// The name of the service that they register with.
        service: String,
    },
    /// Routers.
    Routers(RouterGroup),
}

/// The settings of a group of routers.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterGroup {
    /// Names of the services that they watch, without relays.
    pub services: Vec<String>,
    /// Names of relays, which are preferred to the services.
    pub relays: Vec<String>,
    /// Further forms of their settings file.
    pub settings: String,
    /// Further fields of its `members` form.
    pub members: String,
    /// The number of routers that their settings state.
    pub stated_routers: usize,
    /// Whether they store the worker list on disk.
    pub stores_list: bool,
    /// The start of all of them, in seconds of the test.
    pub start_s: f64,
}

/// The limit of load of a registry. Its JSON is part of the plan of the registry's process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RegistryCapacity {
    /// Requests per second.
    #[serde(rename = "requests_per_s")]
    pub requests_per_second: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// Whether requests beyond the queue get no response instead of an error.
    #[serde(rename = "silent")]
    pub drops_overflow: bool,
}

/// A fault of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryFault {
    /// Every connection is closed.
    Break,
    /// No request gets a response.
    Stall,
    /// Writes are lost.
    Lose,
    /// The history is compacted.
    Compact,
    /// A backup of a few changes ago is restored.
    Restore,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault<Kind> {
    /// Its start, in seconds of the test.
    pub at_s: f64,
    /// Its duration, in seconds.
    pub duration_s: f64,
    /// The fault.
    pub kind: Kind,
}

/// Processes of one kind, named `NAME-0` and on; a single one (a registry, a link) is named `NAME`.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// The number of its processes.
    pub count: usize,
    /// What they are.
    pub kind: GroupKind,
}

impl Group {
    /// The names of its processes, in order.
    pub(crate) fn process_names(&self) -> Vec<String> {
        match self.kind {
            GroupKind::Registry { .. } | GroupKind::Link { .. } => vec![self.name.clone(); self.count],
            _ => (0..self.count).map(|index| format!("{}-{index}", self.name)).collect(),
        }
    }
}

/// A randomly drawn share of a group's processes.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSample {
    /// The group's name.
    pub group: String,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// An operation on processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedEvent {
    /// SIGKILL to a sample of a group.
    Kill(GroupSample),
    /// SIGTERM to a sample of a group.
    Terminate(GroupSample),
    /// SIGSTOP to a sample of a group.
    Pause(GroupSample),
    /// SIGCONT to the paused processes of a group.
    Resume(String),
    /// Start of the processes of a group that do not run.
    Start(String),
    /// An operator's drain of a listed worker.
    Drain(String),
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Its time, in seconds of the test.
    pub at_s: f64,
    /// The event.
    pub event: ScriptedEvent,
}

/// An upper limit of what passes a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkLimit {
    /// The link's name.
    pub link: String,
    /// The limit.
    pub limit: f64,
    /// The limit holds from this second of the test on.
    pub from_s: f64,
}

/// The expected results; what the script does not name is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// Every router holds the worker list within this many seconds of its start.
    pub listed_within_s: Option<f64>,
    /// Every router that runs and holds a list receives each drain within this many milliseconds.
    pub drains_within_ms: Option<f64>,
    /// Requests in any 200 ms.
    pub peak_requests: Vec<LinkLimit>,
    /// New connections in any 200 ms.
    pub peak_connections: Vec<LinkLimit>,
    /// Mean requests per second.
    pub mean_request_rates: Vec<LinkLimit>,
}

/// A script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// Its duration, in seconds.
    pub seconds: f64,
    /// The seed of all random draws.
    pub seed: u64,
    /// The groups, in the order of their start.
    pub groups: Vec<Group>,
    /// The events, ordered by time.
    pub events: Vec<TimedEvent>,
    /// The expected results.
    pub expectations: Expectations,
}

impl Script {
    /// The number of routers in all groups.
    #[must_use]
    pub fn router_count(&self) -> usize {
        let routers = self.groups.iter().filter(|group| matches!(group.kind, GroupKind::Routers(_)));
        routers.map(|group| group.count).sum()
    }

    /// The start and the end of each fault of a registry or a link, in seconds of the test.
    #[must_use]
    pub fn fault_periods(&self) -> Vec<(f64, f64)> {
        let mut periods = Vec::new();
        for group in &self.groups {
            match &group.kind {
                GroupKind::Registry { faults, .. } => periods.extend(faults.iter().map(TimedFault::period)),
                GroupKind::Link { faults, .. } => periods.extend(faults.iter().map(TimedFault::period)),
                _ => {}
            }
        }
        periods
    }
}

impl<Kind> TimedFault<Kind> {
    fn period(&self) -> (f64, f64) {
        (self.at_s, self.at_s + self.duration_s)
    }
}
