//! The format of traces: one JSON object per line and event. Test servers write them, the checker reads them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds of the Unix clock, which all processes on one machine share.
    pub at_us: i64,
    /// Name of the client or worker that recorded the event, or `list` for the worker list.
    pub who: String,
    /// Its kind and fields are part of the same JSON object.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// An event, by the process that records it. In the trace, the field `seen` holds the kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum TraceEvent {
    /// Client: a call was published. Repeated publications of a call have the same name.
    #[serde(rename = "asked")]
    Published {
        /// Name of the call, which its payload contains as well.
        call: String,
        /// Name of the call's class.
        class: String,
        /// Idempotency key that the client set, if any.
        key: Option<String>,
        /// Microseconds from the publication to the client's deadline.
        budget_us: i64,
        /// Name of the gateway that the call was published to.
        gateway: String,
        /// Whether the client published the same call before.
        #[serde(rename = "again")]
        republished: bool,
    },
    /// Client: an answer arrived.
    Answered {
        /// Name of the call.
        call: String,
        /// `served`, `refused` or `failed`.
        outcome: String,
        /// Reason in the answer; `None` for `served`.
        reason: Option<String>,
    },
    /// Client: its connection was closed or its gateway was killed, so this call need not be answered.
    #[serde(rename = "left")]
    Disconnected {
        /// Name of the call.
        call: String,
    },
    /// Worker: the process started.
    Started {
        /// Share of the full capacity at the start, from 0 to 1.
        start_capacity: f64,
        /// Duration of the slow start, in microseconds.
        #[serde(rename = "warm_us")]
        slow_start_us: i64,
        /// Concurrent calls at full capacity.
        #[serde(rename = "lanes")]
        concurrency: f64,
        /// Whether this is the first start, before any call, which is exempt from the check of slow start.
        first: bool,
    },
    /// Worker: an attempt of a call arrived.
    Received {
        /// Name of the call.
        call: String,
        /// Name of the call's class.
        class: String,
        /// Idempotency key that the client set, if any.
        key: Option<String>,
        /// Name of the gateway that sent the attempt.
        gateway: String,
        /// Number of the attempt at that gateway.
        attempt: usize,
        /// Work of the call at full capacity, in microseconds.
        work_us: i64,
        /// Numbers of the settings documents that the gateway applied; empty without versioned settings.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        settings: Vec<u64>,
    },
    /// Worker: it responded that an attempt did not run and will not run.
    NeverRan {
        /// Name of the call.
        call: String,
        /// Name of the gateway that sent the attempt.
        gateway: String,
        /// Number of the attempt at that gateway.
        attempt: usize,
    },
    /// Worker: a call's effect happened.
    Ran {
        /// Name of the call.
        call: String,
        /// Name of the call's class.
        class: String,
        /// Idempotency key that the client set, if any.
        key: Option<String>,
    },
    /// Worker: a load request arrived.
    #[serde(rename = "ordered")]
    LoadRequested {
        /// Name of the function.
        function: String,
        /// Number of copies to hold; 0 for a query that changes nothing.
        copies: u32,
        /// Name of the gateway that sent the load request.
        gateway: String,
    },
    /// Worker: a load began, which fetches the function's content from the store.
    Fetched {
        /// Name of the function.
        function: String,
    },
    /// Worker list: a gateway was notified of a worker's state.
    #[serde(rename = "told")]
    StateNotified {
        /// Name of the worker.
        worker: String,
        /// `ready`, `draining` or `gone`.
        state: String,
        /// Name of the notified gateway.
        gateway: String,
    },
}

/// A line that cannot be parsed.
#[derive(Debug)]
pub struct TraceError {
    /// Line number, from 1.
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

/// Parses a trace. Empty lines are skipped, and so is an incomplete last line, which a killed process leaves
/// behind.
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

/// Formats a line as JSON, without a line terminator.
#[must_use]
pub fn write(line: &Line) -> String {
    serde_json::to_string(line).unwrap_or_default()
}
