//! Load reports of workers as header values: ORCA load reports in JSON form.

use serde_json::{json, Map, Value};
use slatevalve::Report;
use std::ops::Range;

/// Prefix of a header value that marks the JSON form of an ORCA load report.
const JSON_PREFIX: &str = "JSON ";

/// Range of plausible metrics; values outside it are ignored.
const VALID_VALUES: Range<f64> = 0.0..1e9;

/// Load of a worker, as it reports it; a metric that the worker does not measure is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queued calls.
    pub queue: Option<f64>,
    /// Number of calls in flight.
    pub inflight: Option<f64>,
    /// Utilization of the cores, 0 to 1.
    pub util: Option<f64>,
}

impl LoadReport {
    /// Encodes the report as a value of the header [`LOAD`](crate::headers::LOAD).
    pub(crate) fn to_header(self) -> String {
        let mut named_metrics = Map::new();
        named_metrics.extend(self.queue.map(|value| ("queue".to_string(), json!(value))));
        named_metrics.extend(self.inflight.map(|value| ("inflight".to_string(), json!(value))));
        let mut report = json!({ "named_metrics": named_metrics });
        if let Some(utilization) = self.util {
            report["cpu_utilization"] = json!(utilization);
        }
        format!("{JSON_PREFIX}{report}")
    }
}

/// Parses a value of the header [`LOAD`](crate::headers::LOAD). Reports are hints: a malformed report is
/// ignored, and so is each metric that is out of range.
pub(crate) fn parse_load_report(header: &str) -> Option<Report> {
    let report: Value = serde_json::from_str(header.strip_prefix(JSON_PREFIX)?).ok()?;
    let metric = |pointer: &str| {
        let value = report.pointer(pointer).and_then(Value::as_f64);
        value.filter(|value| value.is_finite() && VALID_VALUES.contains(value))
    };
    Some(Report {
        queue: metric("/named_metrics/queue"),
        inflight: metric("/named_metrics/inflight"),
        util: metric("/cpu_utilization"),
    })
}
