//! The recorded trace: one JSON object a line for each event at a tracing point. Test servers write it; the checker reads it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds of the Unix clock, which all processes on one machine share.
    pub at_us: i64,
    /// The recording process: the name of a client, a worker or the worker list.
    pub who: String,
    /// The recorded event.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// An event. In the trace, the field "seen" states its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum TraceEvent {
    /// Client: a call was published. A call that is published repeatedly keeps its name.
    #[serde(rename = "asked")]
    Published {
        /// The call's name, which its payload contains as well.
        call: String,
        /// Its class.
        class: String,
        /// Its idempotency key, if any.
        key: Option<String>,
        /// Microseconds until the client's deadline.
        budget_us: i64,
        /// The gateway that it was published to.
        gateway: String,
        /// Whether the same call was published before.
        #[serde(rename = "again")]
        republished: bool,
    },
    /// Client: an answer arrived.
    Answered {
        /// The call's name.
        call: String,
        /// `served`, `refused` or `failed`.
        outcome: String,
        /// The reason in the answer, if any.
        reason: Option<String>,
    },
    /// Client: its connection was closed or its gateway was killed, so no answer to this call is owed.
    #[serde(rename = "left")]
    Disconnected {
        /// The call's name.
        call: String,
    },
    /// Worker: the process started, with this capacity from then on.
    Started {
        /// Share of its full capacity at the start.
        start_capacity: f64,
        /// Duration of its slow start, in microseconds.
        #[serde(rename = "warm_us")]
        slow_start_us: i64,
        /// Calls that run at a time at full capacity.
        #[serde(rename = "lanes")]
        concurrency: f64,
        /// Whether it is the first start, before the first call; it is exempt from the check of slow start.
        first: bool,
    },
    /// Worker: an attempt of a call arrived.
    Received {
        /// The call's name.
        call: String,
        /// Its class.
        class: String,
        /// Its idempotency key, as the client stated it.
        key: Option<String>,
        /// The gateway that sent it.
        gateway: String,
        /// The attempt's number at that gateway.
        attempt: usize,
        /// Microseconds of work at full capacity.
        work_us: i64,
        /// Numbers of the settings documents that it was sent by; empty where the gateway has none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        settings: Vec<u64>,
    },
    /// Worker: it answered that an attempt did not run and will not run.
    NeverRan {
        /// The call's name.
        call: String,
        /// The gateway that sent it.
        gateway: String,
        /// The attempt's number at that gateway.
        attempt: usize,
    },
    /// Worker: a call's effect happened.
    Ran {
        /// The call's name.
        call: String,
        /// Its class.
        class: String,
        /// Its idempotency key, if any.
        key: Option<String>,
    },
    /// Worker: a load request arrived.
    #[serde(rename = "ordered")]
    LoadRequested {
        /// The function.
        function: String,
        /// Copies to hold; 0 for a query that changes nothing.
        copies: u32,
        /// The gateway that sent it.
        gateway: String,
    },
    /// Worker: a load began, so the function's content is fetched from the store.
    Fetched {
        /// The function.
        function: String,
    },
    /// Worker list: a gateway was notified of a worker's state.
    #[serde(rename = "told")]
    StateNotified {
        /// The worker.
        worker: String,
        /// `ready`, `draining` or `gone`.
        state: String,
        /// The gateway.
        gateway: String,
    },
}

/// A line of a text that is not a line of a trace.
#[derive(Debug)]
pub struct TraceError {
    /// The line's number, from 1.
    pub line: usize,
    source: serde_json::Error,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.source)
    }
}

impl std::error::Error for TraceError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Parses a trace. Empty lines are skipped, and so is an incomplete last line, which a killed process leaves behind.
///
/// # Errors
/// [`TraceError`] for any other line that cannot be parsed.
pub fn read(text: &str) -> Result<Vec<Line>, TraceError> {
    let mut lines = Vec::new();
    let is_complete = text.ends_with('\n');
    let count = text.lines().count();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(line) => lines.push(line),
            Err(_) if index + 1 == count && !is_complete => {}
            Err(source) => return Err(TraceError { line: index + 1, source }),
        }
    }
    Ok(lines)
}

/// Formats a line as JSON, without the line end.
#[must_use]
pub fn write(line: &Line) -> String {
    serde_json::to_string(line).unwrap_or_default()
}
