//! The report of a chaos test: outcomes, weights, latencies and violations.

mod text;

use super::runner::{ClockWindow, RunRecord};
use hdrhistogram::Histogram;
use serde::Serialize;
use slatevalve_test_servers::ClientReport;
use slatevalve_trace_checker::trace::TraceEvent;
use slatevalve_trace_checker::{check, ClassTerms, EffectTerms, Rule, Violation};
use std::collections::BTreeMap;

/// Upper bound of recorded latencies, in microseconds; larger ones count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// The report of a run. Operators' scripts read its JSON, so `serde` attributes keep the outer names.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the script.
    pub name: String,
    /// Seed from which calls, workers and gateways derive theirs.
    pub seed: u64,
    /// Calls that clients published, each counted once.
    pub calls: u64,
    /// Calls whose first answer was `served`.
    pub served: u64,
    /// Calls whose first answer was `refused`.
    pub refused: u64,
    /// Calls whose first answer had another outcome.
    pub failed: u64,
    /// Calls without an answer whose gateway was killed or whose session was lost, so that none was required.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Calls that required an answer and received none.
    pub unanswered: u64,
    /// Non-idempotent calls that ran more than once.
    pub ran_twice: u64,
    /// Gateways that at the end did not stop in time on request, or stopped with an error.
    #[serde(rename = "stopped_badly")]
    pub unclean_stops: u64,
    /// All violations, ordered by time.
    pub violations: Vec<Violation>,
    /// Total priority weight of all calls.
    #[serde(rename = "worth_asked")]
    pub requested_weight: f64,
    /// Total priority weight of served calls. Those answered after the latency objective count with the late
    /// value, those answered after the budget not at all.
    #[serde(rename = "worth_in_time")]
    pub weight_in_time: f64,
    /// Statistics of the calls that were published in the script's window, if it has one.
    pub window: Option<WindowReport>,
    /// Load requests that arrived at workers.
    #[serde(rename = "orders")]
    pub load_requests: u64,
    /// Loads that workers began, each of which fetches from the store.
    pub fetches: u64,
    /// Numbers of load requests and of fetches in the script's window, if it has one.
    #[serde(rename = "window_orders")]
    pub window_loads: Option<(u64, u64)>,
    /// Median latency of served calls, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of served calls, in microseconds.
    pub p99_us: u64,
}

/// Statistics of the calls published in the script's window. Serialized as an array in field order.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64, u64)")]
pub struct WindowReport {
    /// Total priority weight of all calls.
    pub requested_weight: f64,
    /// Total priority weight of served calls. Those answered after the latency objective count with the late
    /// value, those answered after the budget not at all.
    pub weight_in_time: f64,
    /// 99th percentile of the latency of served calls, in microseconds.
    pub p99_us: u64,
}

impl From<WindowReport> for (f64, f64, u64) {
    fn from(window: WindowReport) -> Self {
        (window.requested_weight, window.weight_in_time, window.p99_us)
    }
}

/// Accumulated weights and latencies of a set of calls.
struct CallStatistics {
    requested_weight: f64,
    weight_in_time: f64,
    latencies: Histogram<u64>,
}

impl CallStatistics {
    fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
            .expect("the bounds and digits are constants that the library accepts");
        CallStatistics { requested_weight: 0.0, weight_in_time: 0.0, latencies }
    }

    fn record(&mut self, call: &CallResult) {
        self.requested_weight += call.weight;
        if let Some(served) = &call.served {
            self.weight_in_time += served.weight;
            self.latencies.saturating_record(served.latency_us as u64);
        }
    }

    fn quantile_us(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile)
    }
}

/// The contribution of one call to the statistics.
struct CallResult {
    weight: f64,
    served: Option<ServedCall>,
}

struct ServedCall {
    latency_us: i64,
    /// Weight according to the latency.
    weight: f64,
}

impl CallResult {
    fn new(call: &ClientReport, published_us: i64, class: &ClassTerms) -> Self {
        let answer = call.answer.as_ref().filter(|(_, outcome)| outcome == "served");
        let served = answer.map(|(answered_us, _)| {
            let latency_us = (answered_us - published_us).max(1);
            ServedCall { latency_us, weight: earned_weight(class, latency_us, call.budget_us) }
        });
        CallResult { weight: class.priority_weight, served }
    }
}

fn earned_weight(class: &ClassTerms, latency_us: i64, budget_us: i64) -> f64 {
    if latency_us <= class.latency_objective_us {
        class.priority_weight
    } else if latency_us <= budget_us {
        class.priority_weight * class.late_value
    } else {
        0.0
    }
}

impl Report {
    pub(super) fn new(name: &str, seed: u64, record: &RunRecord) -> Self {
        let violations = check(&record.terms, &record.lines);
        let mut report = Report {
            name: name.into(),
            seed,
            unanswered: violations.iter().filter(|violation| is_unanswered(violation)).count() as u64,
            ran_twice: count_repeated_runs(record),
            unclean_stops: record.unclean_stops as u64,
            violations,
            load_requests: count_events(record, None, is_load_request),
            fetches: count_events(record, None, is_fetch),
            window_loads: record.window.map(|window| {
                let count = |is_counted| count_events(record, Some(window), is_counted);
                (count(is_load_request), count(is_fetch))
            }),
            ..Report::default()
        };
        report.add_calls(record);
        report
    }

    fn add_calls(&mut self, record: &RunRecord) {
        let mut all = CallStatistics::new();
        let mut window = record.window.map(|window| (window, CallStatistics::new()));
        for call in record.calls.values() {
            let (Some(published_us), Some(class)) =
                (call.published_us, record.terms.classes.get(&call.class))
            else {
                continue;
            };
            let result = CallResult::new(call, published_us, class);
            all.record(&result);
            if let Some((_, statistics)) = window.as_mut().filter(|(window, _)| window.contains(published_us))
            {
                statistics.record(&result);
            }
            self.count_outcome(call);
        }
        self.requested_weight = all.requested_weight;
        self.weight_in_time = all.weight_in_time;
        self.p50_us = all.quantile_us(0.5);
        self.p99_us = all.quantile_us(0.99);
        self.window = window.map(|(_, statistics)| WindowReport {
            requested_weight: statistics.requested_weight,
            weight_in_time: statistics.weight_in_time,
            p99_us: statistics.quantile_us(0.99),
        });
    }

    fn count_outcome(&mut self, call: &ClientReport) {
        self.calls += 1;
        match call.answer.as_ref().map(|(_, outcome)| outcome.as_str()) {
            Some("served") => self.served += 1,
            Some("refused") => self.refused += 1,
            Some(_) => self.failed += 1,
            None if call.is_disconnected => self.disconnected += 1,
            None => {}
        }
    }

    /// Whether no rule was violated, every call was answered, and every gateway stopped cleanly.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.unanswered == 0 && self.ran_twice == 0 && self.unclean_stops == 0
    }
}

/// Whether a violation is a call without any answer. A late answer violates the same rule, so this checks the
/// description.
fn is_unanswered(violation: &Violation) -> bool {
    violation.rule == Rule::Answered && violation.what.contains("never")
}

fn is_load_request(event: &TraceEvent) -> bool {
    matches!(event, TraceEvent::LoadRequested { copies, .. } if *copies > 0)
}

fn is_fetch(event: &TraceEvent) -> bool {
    matches!(event, TraceEvent::Fetched { .. })
}

/// Counts events, in a window if one is given.
fn count_events(record: &RunRecord, window: Option<ClockWindow>, is_counted: fn(&TraceEvent) -> bool) -> u64 {
    let is_in_window = |at_us| window.is_none_or(|window| window.contains(at_us));
    let counted = record.lines.iter().filter(|line| is_in_window(line.at_us) && is_counted(&line.event));
    counted.count() as u64
}

/// The number of non-idempotent calls that ran more than once.
fn count_repeated_runs(record: &RunRecord) -> u64 {
    let is_non_idempotent = |class: &String| {
        record.terms.classes.get(class).is_some_and(|terms| terms.effect == EffectTerms::Unsafe)
    };
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &record.lines {
        match &line.event {
            TraceEvent::Ran { call, class, .. } if is_non_idempotent(class) => {
                *runs.entry(call).or_default() += 1
            }
            _ => {}
        }
    }
    runs.values().filter(|count| **count > 1).count() as u64
}
