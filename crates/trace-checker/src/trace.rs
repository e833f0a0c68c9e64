//! The recorded trace: JSON, one line for each thing that passed a tap. Written by the stand-ins, read here.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One thing that passed a tap.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds of the Unix clock, the same for all taps on one machine.
    pub at_us: i64,
    /// Who saw it: a client's, a worker's or the list's name.
    pub who: String,
    /// What was seen.
    #[serde(flatten)]
    pub seen: Seen,
}

/// What a tap saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Seen {
    /// Client: a call was published. A call that is published again has the same name.
    Asked {
        /// The call's name, in its payload as well.
        call: String,
        /// Its class.
        class: String,
        /// Its key, where it has one.
        key: Option<String>,
        /// Microseconds until the client gives up.
        budget_us: i64,
        /// The gateway that was asked.
        gateway: String,
        /// Whether the same was published before.
        again: bool,
    },
    /// Client: an answer came.
    Answered {
        /// The call's name.
        call: String,
        /// `served`, `refused` or `failed`.
        outcome: String,
        /// The reason told, if any.
        reason: Option<String>,
    },
    /// Client: it let its connection go and owes itself no answer for these calls, or the gateway was killed.
    Left {
        /// The call's name.
        call: String,
    },
    /// Worker: the process started, with its capacity from then on.
    Started {
        /// Share of its full capacity at the start.
        start_capacity: f64,
        /// Microseconds until it is warm.
        warm_us: i64,
        /// Calls that it runs at a time when warm.
        lanes: f64,
        /// Whether clients' calls found it running before: its first start is not a cold one.
        first: bool,
    },
    /// Worker: a call came.
    Received {
        /// The call's name.
        call: String,
        /// Its class.
        class: String,
        /// Its key, as the client stated it.
        key: Option<String>,
        /// The gateway that sent it.
        gateway: String,
        /// Which attempt, as the gateway counts.
        attempt: usize,
        /// Microseconds of work it brings on a warm lane.
        work_us: i64,
        /// Numbers of the settings documents that it was sent by; none where the gateway has none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        settings: Vec<u64>,
    },
    /// Worker: it said that a call never ran and never will.
    NeverRan {
        /// The call's name.
        call: String,
        /// The gateway that sent it.
        gateway: String,
        /// Which attempt.
        attempt: usize,
    },
    /// Worker: a call's effect happened.
    Ran {
        /// The call's name.
        call: String,
        /// Its class.
        class: String,
        /// Its key.
        key: Option<String>,
    },
    /// Worker: an order to hold copies came.
    Ordered {
        /// Which function.
        function: String,
        /// How many copies; 0 asks only how many stand.
        copies: u32,
        /// The gateway that sent it.
        gateway: String,
    },
    /// Worker: a load began, so its content is fetched from the store.
    Fetched {
        /// Which function.
        function: String,
    },
    /// List: a gateway was told a worker's state.
    Told {
        /// Which worker.
        worker: String,
        /// `ready`, `draining` or `gone`.
        state: String,
        /// Which gateway.
        gateway: String,
    },
}

/// Why a text is no trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for TraceError {}

/// Reads a trace; empty lines are passed over. A last line without its end was cut by a process that died and is
/// passed over as well.
///
/// # Errors
/// Where another line is no line of a trace.
pub fn read(text: &str) -> Result<Vec<Line>, TraceError> {
    let (mut lines, whole) = (Vec::new(), text.ends_with('\n'));
    let count = text.lines().count();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(line) => lines.push(line),
            Err(_) if n + 1 == count && !whole => {}
            Err(e) => return Err(TraceError { line: n + 1, what: e.to_string() }),
        }
    }
    Ok(lines)
}

/// A line's text, without its end.
pub fn write(line: &Line) -> String {
    serde_json::to_string(line).unwrap_or_default()
}
