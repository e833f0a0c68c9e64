//! Scripts of fleet tests, as S-expressions: the processes to start, the links between them, the events, and
//! the expectations.
//!
//! Every error in a script is found by [`Script::parse`], with file, line and form, before a process is
//! started.

mod parser;

use crate::link::LinkFaultKind;
use serde::Serialize;

/// The kind of the processes of a group, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupKind {
    /// The worker registry, as a test server.
    Registry {
        /// The number of listed workers without a process.
        entries: usize,
        /// The load limit; none for a registry without one.
        capacity: Option<RegistryCapacity>,
        /// The scheduled faults.
        faults: Vec<TimedFault<RegistryFault>>,
    },
    /// A link to a service, which the script must define earlier.
    Link {
        /// The name of a registry or link, or of one relay process.
        to: String,
        /// The scheduled faults.
        faults: Vec<TimedFault<LinkFaultKind>>,
    },
    /// Relays of the worker list.
    Relays {
        /// The name of the registry or link through which they watch the list.
        service: String,
    },
    /// Test workers that register themselves.
    Workers {
        /// The name of the registry or link through which they register.
        service: String,
    },
    /// Routers, the processes under test.
    Routers(RouterGroup),
}

/// The settings of a group of routers.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterGroup {
    /// Names of the registries or links that they watch directly.
    pub services: Vec<String>,
    /// Names of relays or links to relays, which routers prefer to `services`.
    pub relays: Vec<String>,
    /// Additional forms of their settings file, as text.
    pub settings: String,
    /// Additional fields of the `members` form of their settings file, as text.
    pub members: String,
    /// The number of routers in their settings, which can differ from the number that run.
    pub stated_routers: usize,
    /// Whether they store the worker list on disk and read it at a restart.
    pub stores_list: bool,
    /// The time at which all of them start, in seconds of the test.
    pub start_s: f64,
}

/// The load limit of a registry. Its JSON is part of the plan of the registry's process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RegistryCapacity {
    /// Requests that are processed per second; above 0.
    #[serde(rename = "requests_per_s")]
    pub requests_per_second: f64,
    /// The largest number of requests that wait.
    pub queue: usize,
    /// Whether requests beyond the queue get no response instead of an error.
    #[serde(rename = "silent")]
    pub drops_overflow: bool,
}

/// A fault of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryFault {
    /// All connections are closed, and new ones are closed at once.
    Break,
    /// Requests get no response.
    Stall,
    /// Watches lose events without notice.
    Lose,
    /// Once: the history is compacted up to the current revision.
    Compact,
    /// Once: a backup that lacks the last few revisions is restored.
    Restore,
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault<Kind> {
    /// The start, in seconds of the test.
    pub at_s: f64,
    /// The duration, in seconds.
    pub duration_s: f64,
    /// The effect of the fault.
    pub kind: Kind,
}

/// Processes of one kind, named `NAME-0`, `NAME-1` and so on. A registry or link is a single process named
/// `NAME`.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Letters and digits; unique in the script.
    pub name: String,
    /// The number of processes; 1 for a registry or link.
    pub count: usize,
    /// The kind of the processes.
    pub kind: GroupKind,
}

impl Group {
    /// The names of the processes, by index.
    pub(crate) fn process_names(&self) -> Vec<String> {
        match self.kind {
            GroupKind::Registry { .. } | GroupKind::Link { .. } => vec![self.name.clone(); self.count],
            _ => (0..self.count).map(|index| format!("{}-{index}", self.name)).collect(),
        }
    }
}

/// A random sample of a group's processes.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSample {
    /// The name of the group.
    pub group: String,
    /// The share of the processes, from 0 to 1.
    pub share: f64,
}

/// An operation on processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedEvent {
    /// Sends SIGKILL to a sample of a group.
    Kill(GroupSample),
    /// Sends SIGTERM to a sample of a group, and SIGKILL where that takes too long.
    Terminate(GroupSample),
    /// Sends SIGSTOP to a sample of a group.
    Pause(GroupSample),
    /// Sends SIGCONT to the paused processes of a group.
    Resume(String),
    /// Starts the processes of a group that are not running.
    Start(String),
    /// Drains a listed worker by the operator's command.
    Drain(String),
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// The time of the event, in seconds of the test.
    pub at_s: f64,
    /// The operation.
    pub event: ScriptedEvent,
}

/// An upper limit of the traffic on a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkLimit {
    /// The name of the link.
    pub link: String,
    /// The limit, inclusive; its unit depends on the expectation.
    pub limit: f64,
    /// The start of the period to which the limit applies, in seconds of the test.
    pub from_s: f64,
}

/// The expected results; a value that the script does not state is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// Every router receives its first list from the registry within this many seconds of its start.
    pub listed_within_s: Option<f64>,
    /// Every router that runs and has a list learns of each drain within this many milliseconds.
    pub drains_within_ms: Option<f64>,
    /// Limits of requests in any 200 ms.
    pub peak_requests: Vec<LinkLimit>,
    /// Limits of new connections in any 200 ms.
    pub peak_connections: Vec<LinkLimit>,
    /// Limits of the mean requests per second, from the start of the limit's period to the end of the test.
    pub mean_request_rates: Vec<LinkLimit>,
}

/// A parsed script; see [`Script::parse`].
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The title of the report.
    pub name: String,
    /// The duration of the test, in seconds.
    pub seconds: f64,
    /// The seed of all random draws.
    pub seed: u64,
    /// The groups, in the order in which their services start.
    pub groups: Vec<Group>,
    /// The events, ordered by time.
    pub events: Vec<TimedEvent>,
    /// The checks of the report.
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
