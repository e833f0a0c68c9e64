//! The scheduled faults of a test worker.

use serde::{Deserialize, Serialize};

/// A fault and its period, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// The start of the fault.
    pub from_us: i64,
    /// The end of the fault, exclusive. Faults that occur once occur at their start; of these only a pause
    /// uses the end.
    pub to_us: i64,
    /// The effect of the fault.
    pub kind: FaultKind,
}

/// The effect of a worker fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Once: the process exits, as after SIGKILL.
    Die,
    /// Once: the process exits after the next call has run, before the first byte of its response.
    DieAfterAccept,
    /// Once: the process exits after half of the next response.
    DieMidAnswer,
    /// Requests get no response.
    Hang,
    /// Responses are bytes that are not HTTP.
    Garbage,
    /// Responses are 503 without the headers of the worker protocol, though the call ran.
    Bare503,
    /// Responses are delayed.
    Late {
        /// The delay, in microseconds.
        by_us: i64,
    },
    /// For a random share of the calls, the call runs and its connection is closed without a response.
    LoseAnswers {
        /// The share of the calls, from 0 to 1.
        #[serde(rename = "part")]
        share: f64,
    },
    /// Work takes longer.
    Slow {
        /// The factor by which its duration is multiplied.
        factor: f64,
    },
    /// Once: the process pauses until the end of the fault.
    Pause,
    /// Calls of one class are refused without being run.
    RefuseClass {
        /// The name of the class.
        class: String,
    },
    /// Calls of one class are answered as failed without being run.
    FailClass {
        /// The name of the class.
        class: String,
    },
    /// New connections are closed at once.
    RefuseConnections,
    /// All calls are refused, as a draining worker does.
    Drain,
    /// Once: all copies are unloaded and the worker begins a slow start.
    RestartCold,
    /// Once: all copies are unloaded.
    Flush,
    /// Loads take longer, as from a slow shared store.
    SlowLoads {
        /// The factor by which their duration is multiplied.
        factor: f64,
    },
    /// Loaded copies do not match the digest in the name of their function.
    CorruptCopies,
    /// Load reports are outdated.
    OldReports {
        /// The age of the reports, in microseconds.
        by_us: i64,
    },
}

#[derive(Debug)]
struct ScheduledFault {
    fault: Fault,
    /// Whether a fault that occurs once has occurred.
    has_occurred: bool,
}

/// The faults of one worker.
#[derive(Debug, Default)]
pub(super) struct Faults {
    schedule: Vec<ScheduledFault>,
}

impl Faults {
    pub(super) fn new(faults: Vec<Fault>) -> Self {
        let scheduled = |fault| ScheduledFault { fault, has_occurred: false };
        Faults { schedule: faults.into_iter().map(scheduled).collect() }
    }

    /// Applies `select` to the active faults in the order of the plan; returns the first value.
    fn find_active<T>(&self, now_us: i64, select: impl Fn(&FaultKind) -> Option<T>) -> Option<T> {
        let faults = self.schedule.iter().map(|scheduled| &scheduled.fault);
        let mut active = faults.filter(|fault| (fault.from_us..fault.to_us).contains(&now_us));
        active.find_map(|fault| select(&fault.kind))
    }

    pub(super) fn is_active(&self, now_us: i64, kind: &FaultKind) -> bool {
        self.find_active(now_us, |active| (active == kind).then_some(())).is_some()
    }

    /// The factor by which work takes longer; 1 without a fault.
    pub(super) fn work_factor(&self, now_us: i64) -> f64 {
        let factor = self.find_active(now_us, |kind| match kind {
            FaultKind::Slow { factor } => Some(*factor),
            _ => None,
        });
        factor.unwrap_or(1.0)
    }

    /// The factor by which loads take longer; 1 without a fault.
    pub(super) fn load_factor(&self, now_us: i64) -> f64 {
        let factor = self.find_active(now_us, |kind| match kind {
            FaultKind::SlowLoads { factor } => Some(*factor),
            _ => None,
        });
        factor.unwrap_or(1.0)
    }

    /// The age of load reports, in microseconds; 0 without a fault.
    pub(super) fn report_age_us(&self, now_us: i64) -> i64 {
        let age_us = self.find_active(now_us, |kind| match kind {
            FaultKind::OldReports { by_us } => Some(*by_us),
            _ => None,
        });
        age_us.unwrap_or(0)
    }

    /// The delay of responses, in microseconds.
    pub(super) fn response_delay_us(&self, now_us: i64) -> Option<i64> {
        self.find_active(now_us, |kind| match kind {
            FaultKind::Late { by_us } => Some(*by_us),
            _ => None,
        })
    }

    /// The share of calls that get no response.
    pub(super) fn lost_share(&self, now_us: i64) -> Option<f64> {
        self.find_active(now_us, |kind| match kind {
            FaultKind::LoseAnswers { share } => Some(*share),
            _ => None,
        })
    }

    /// Whether calls of a class are refused.
    pub(super) fn is_refusing(&self, now_us: i64, class: &str) -> bool {
        let refuses = |kind: &FaultKind| match kind {
            FaultKind::Drain => Some(()),
            FaultKind::RefuseClass { class: refused } => (refused == class).then_some(()),
            _ => None,
        };
        self.find_active(now_us, refuses).is_some()
    }

    /// Whether calls of a class fail.
    pub(super) fn is_failing(&self, now_us: i64, class: &str) -> bool {
        let fails = |kind: &FaultKind| match kind {
            FaultKind::FailClass { class: failed } => (failed == class).then_some(()),
            _ => None,
        };
        self.find_active(now_us, fails).is_some()
    }

    /// Marks the next due fault of a kind that occurs once as occurred; returns it.
    fn take_due(&mut self, now_us: i64, kind: &FaultKind) -> Option<&Fault> {
        let due = self.schedule.iter_mut().find(|scheduled| {
            !scheduled.has_occurred && scheduled.fault.from_us <= now_us && scheduled.fault.kind == *kind
        })?;
        due.has_occurred = true;
        Some(&due.fault)
    }

    /// Whether a fault that occurs once is due; returns true only once for each.
    pub(super) fn occurs(&mut self, now_us: i64, kind: &FaultKind) -> bool {
        self.take_due(now_us, kind).is_some()
    }

    /// The remaining duration of a pause that is due, in microseconds; returned only once for each.
    pub(super) fn take_pause_us(&mut self, now_us: i64) -> Option<i64> {
        self.take_due(now_us, &FaultKind::Pause).map(|fault| (fault.to_us - now_us).max(0))
    }

    /// The start of the next fault, at which the event loop must wake up.
    pub(super) fn next_start_us(&self, now_us: i64) -> Option<i64> {
        let pending = self.schedule.iter().filter(|scheduled| !scheduled.has_occurred);
        pending.map(|scheduled| scheduled.fault.from_us).filter(|from_us| *from_us > now_us).min()
    }
}
