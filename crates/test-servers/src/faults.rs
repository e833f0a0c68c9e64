//! The faults that a stand-in worker can play, each from one time to another.

use serde::{Deserialize, Serialize};

/// A fault in a time window, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// From when on.
    pub from_us: i64,
    /// Until when; of faults that happen once only `from_us` counts.
    pub to_us: i64,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// What can go wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process ends at once.
    Die,
    /// The process ends when the next call has run, before a byte of its answer.
    DieAfterAccept,
    /// The process ends with the next answer half written.
    DieMidAnswer,
    /// Calls are accepted and never answered.
    Hang,
    /// Answers are bytes that are no HTTP.
    Garbage,
    /// Answers are bare 503s without the profile's header, though the call ran.
    Bare503,
    /// Answers come so much later.
    Late {
        /// Microseconds.
        by_us: i64,
    },
    /// The call runs and its connection is closed without an answer, for this part of the calls.
    LoseAnswers {
        /// From 0 to 1.
        part: f64,
    },
    /// Work takes so many times longer.
    Slow {
        /// How many times.
        factor: f64,
    },
    /// The process stands still.
    Pause,
    /// Calls of one class are turned away.
    RefuseClass {
        /// Which class.
        class: String,
    },
    /// Calls of one class fail.
    FailClass {
        /// Which class.
        class: String,
    },
    /// New connections are closed at once.
    RefuseConnections,
    /// Calls are turned away unseen, as by a worker that drains.
    Drain,
    /// All copies are gone and the worker is cold.
    RestartCold,
    /// All copies are gone; the worker stays warm.
    Flush,
    /// Loads take so many times longer, as from a slow shared store.
    SlowLoads {
        /// How many times.
        factor: f64,
    },
    /// Its copies are of other content than they are called by.
    CorruptCopies,
    /// Load reports are so old.
    OldReports {
        /// Microseconds.
        by_us: i64,
    },
}

/// The faults of one worker and which of those that happen once have.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    list: Vec<(Fault, bool)>,
}

impl Faults {
    pub(crate) fn new(list: Vec<Fault>) -> Self {
        Faults { list: list.into_iter().map(|f| (f, false)).collect() }
    }

    /// What a lasting fault says now, by a reader that picks the kind it looks for.
    pub(crate) fn now<T>(&self, now_us: i64, pick: impl Fn(&FaultKind) -> Option<T>) -> Option<T> {
        let acting = self.list.iter().filter(|(f, _)| f.from_us <= now_us && now_us < f.to_us);
        acting.map(|(f, _)| f).find_map(|f| pick(&f.kind))
    }

    pub(crate) fn acts(&self, now_us: i64, kind: &FaultKind) -> bool {
        self.now(now_us, |k| (k == kind).then_some(())).is_some()
    }

    /// Whether a fault that happens once has come due; true once for each.
    pub(crate) fn comes(&mut self, now_us: i64, kind: &FaultKind) -> bool {
        let due = self.list.iter_mut().find(|(f, done)| !done && f.from_us <= now_us && f.kind == *kind);
        due.map(|d| d.1 = true).is_some()
    }

    /// How long the process is to stand still from now on.
    pub(crate) fn pause_us(&mut self, now_us: i64) -> Option<i64> {
        let due =
            self.list.iter_mut().find(|(f, done)| !done && f.from_us <= now_us && f.kind == FaultKind::Pause);
        due.map(|d| {
            d.1 = true;
            (d.0.to_us - now_us).max(0)
        })
    }

    /// When the next one begins, so that the loop wakes for it.
    pub(crate) fn next_us(&self, now_us: i64) -> Option<i64> {
        self.list.iter().filter(|(f, done)| !done && f.from_us > now_us).map(|(f, _)| f.from_us).min()
    }
}
