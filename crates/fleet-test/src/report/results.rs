//! The parts of a report. Some structs are serialized as tuples, because operators' scripts read those values
//! as JSON arrays.

use crate::counters::{Bucket, BUCKET_US};
use crate::runner::DrainCommand;
use serde::Serialize;
use std::collections::BTreeMap;

/// The sliding window in which peaks are counted, in microseconds.
const PEAK_WINDOW_US: i64 = 2 * BUCKET_US;
/// The longest time by which a router may log a drain before the drain command receives its response, in
/// microseconds.
const EARLY_NOTICE_US: i64 = 50_000;

/// A drain notification that a router received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(String, i64)")]
pub struct DrainNotice {
    /// The name of the draining worker.
    pub worker: String,
    /// The time of the log line, in microseconds of the Unix clock.
    pub at_us: i64,
}

impl From<DrainNotice> for (String, i64) {
    fn from(notice: DrainNotice) -> Self {
        (notice.worker, notice.at_us)
    }
}

/// A period in which a process was stopped by SIGSTOP, in microseconds of the Unix clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(i64, i64)")]
pub struct PausePeriod {
    /// The time of SIGSTOP.
    pub from_us: i64,
    /// The time of SIGCONT; `i64::MAX` where the process was not resumed.
    pub to_us: i64,
}

impl From<PausePeriod> for (i64, i64) {
    fn from(pause: PausePeriod) -> Self {
        (pause.from_us, pause.to_us)
    }
}

/// One run of a router's process, from its log. Times are microseconds of the Unix clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RouterRun {
    /// The name of the router, the same for all its runs.
    pub name: String,
    /// The time at which the process was started.
    pub started_us: i64,
    /// The time at which the script ended the process, or the end of the test.
    pub ended_us: i64,
    /// Whether the script ended the process.
    pub killed: bool,
    /// The time of the first list that is not empty, from disk or from the registry.
    pub first_list_us: Option<i64>,
    /// The time of the first list from the registry that is not empty.
    pub listed_us: Option<i64>,
    /// The times of all complete lists, including empty ones.
    pub lists_us: Vec<i64>,
    /// The drain notifications of the run, in the order of the log.
    pub drains: Vec<DrainNotice>,
    /// The periods in which the router was paused, in any of its runs.
    pub pauses: Vec<PausePeriod>,
}

impl RouterRun {
    /// The time at which the router learned of a drain: from a notification, or from a complete list received
    /// after the drain.
    fn learned_drain_us(&self, worker: &str, drained_us: i64) -> Option<i64> {
        let notices = self.drains.iter().filter(|notice| notice.worker == worker);
        let times = notices.map(|notice| notice.at_us).chain(self.lists_us.iter().copied());
        times.filter(|at_us| *at_us >= drained_us - EARLY_NOTICE_US).min()
    }

    /// Whether the router ran without a pause and held a list for the whole period.
    fn is_available(&self, from_us: i64, duration_us: i64) -> bool {
        let to_us = from_us.saturating_add(duration_us);
        self.listed_us.is_some_and(|at_us| at_us <= from_us)
            && self.ended_us >= to_us
            && !self.pauses.iter().any(|pause| pause.from_us < to_us && pause.to_us > from_us)
    }

    /// Milliseconds from the start to the first list from the registry; infinite where the router received
    /// none.
    pub(super) fn listed_after_ms(&self) -> f64 {
        self.listed_us.map_or(f64::INFINITY, |at_us| (at_us - self.started_us) as f64 / 1e3)
    }
}

/// A drain command and the propagation of the drain to the routers.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, Option<i64>, Vec<f64>)")]
pub struct DrainResult {
    /// The name of the drained worker.
    pub worker: String,
    /// The time at which the command succeeded, in microseconds of the Unix clock; none where it failed or
    /// timed out.
    pub succeeded_us: Option<i64>,
    /// Milliseconds from the success until each available router learned of the drain; infinite where it
    /// never did. May be slightly negative, as a router can log the drain before the command receives its
    /// response.
    pub learned_after_ms: Vec<f64>,
}

impl DrainResult {
    /// Evaluates a drain over the routers that are available for `bound_us` after the command's success.
    pub(super) fn new(command: &DrainCommand, routers: &[RouterRun], bound_us: i64) -> Self {
        let worker = command.worker.clone();
        let Some(drained_us) = command.succeeded_us else {
            return DrainResult { worker, succeeded_us: None, learned_after_ms: Vec::new() };
        };
        let available = routers.iter().filter(|run| run.is_available(drained_us, bound_us));
        let learned_after_ms = available.map(|run| match run.learned_drain_us(&worker, drained_us) {
            Some(at_us) => (at_us - drained_us) as f64 / 1e3,
            None => f64::INFINITY,
        });
        let learned_after_ms = learned_after_ms.collect();
        DrainResult { worker, succeeded_us: Some(drained_us), learned_after_ms }
    }
}

impl From<DrainResult> for (String, Option<i64>, Vec<f64>) {
    fn from(drain: DrainResult) -> Self {
        (drain.worker, drain.succeeded_us, drain.learned_after_ms)
    }
}

/// The largest counts in any 200 ms; the three maxima may be of different times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct PeakTraffic {
    /// New connections.
    pub connections: u64,
    /// Complete requests.
    pub requests: u64,
    /// Bytes in both directions.
    pub bytes: u64,
}

impl From<PeakTraffic> for (u64, u64, u64) {
    fn from(peak: PeakTraffic) -> Self {
        (peak.connections, peak.requests, peak.bytes)
    }
}

/// The traffic of a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LinkTraffic {
    /// The total of new connections.
    pub connections: u64,
    /// Complete requests, by the last segment of their path.
    pub requests: BTreeMap<String, u64>,
    /// The total of bytes in both directions.
    pub bytes: u64,
    /// The largest counts in any 200 ms.
    #[serde(rename = "most")]
    pub peak: PeakTraffic,
    /// The counts by tenths of a second; tenths without traffic are absent.
    pub buckets: Vec<Bucket>,
}

impl LinkTraffic {
    pub(super) fn new(buckets: Vec<Bucket>) -> Self {
        let mut requests = BTreeMap::new();
        for (path, count) in buckets.iter().flat_map(|bucket| &bucket.requests) {
            *requests.entry(path.clone()).or_default() += count;
        }
        LinkTraffic {
            connections: buckets.iter().map(|bucket| bucket.connections).sum(),
            requests,
            bytes: buckets.iter().map(Bucket::total_bytes).sum(),
            peak: PeakTraffic {
                connections: peak(&buckets, |bucket| bucket.connections),
                requests: peak(&buckets, Bucket::total_requests),
                bytes: peak(&buckets, Bucket::total_bytes),
            },
            buckets,
        }
    }

    /// The total of complete requests.
    #[must_use]
    pub fn total_requests(&self) -> u64 {
        self.requests.values().sum()
    }
}

/// The largest sum of a count over [`PEAK_WINDOW_US`].
pub(super) fn peak(buckets: &[Bucket], count: impl Fn(&Bucket) -> u64) -> u64 {
    let sum_from = |first: &Bucket| {
        let window = first.at_us..first.at_us + PEAK_WINDOW_US;
        buckets.iter().filter(|bucket| window.contains(&bucket.at_us)).map(&count).sum()
    };
    buckets.iter().map(sum_from).max().unwrap_or(0)
}

/// An expectation that was not met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnmetExpectation {
    /// The expectation, with its bound.
    pub expected: String,
    /// What was observed instead.
    #[serde(rename = "seen")]
    pub observed: String,
}
