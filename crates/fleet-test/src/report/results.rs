//! The parts of a report. Where the JSON has an array of unlike values, a struct is serialized as a tuple.

use crate::counters::{Bucket, BUCKET_US};
use crate::runner::DrainCommand;
use serde::Serialize;
use std::collections::BTreeMap;

/// The time over which peaks are counted, in microseconds.
const PEAK_WINDOW_US: i64 = 2 * BUCKET_US;
/// A router may log a drain this much before the operator's command has its response, in microseconds.
const EARLY_NOTICE_US: i64 = 50_000;

/// The notification of a drain at a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(String, i64)")]
pub struct DrainNotice {
    /// The worker.
    pub worker: String,
    /// Microseconds of the Unix clock.
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
    /// Its start.
    pub from_us: i64,
    /// Its end; `i64::MAX` where the process was not resumed.
    pub to_us: i64,
}

impl From<PausePeriod> for (i64, i64) {
    fn from(pause: PausePeriod) -> Self {
        (pause.from_us, pause.to_us)
    }
}

/// One run of a router's process, as its log shows it. Times are microseconds of the Unix clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RouterRun {
    /// The router's name.
    pub name: String,
    /// The start of the process.
    pub started_us: i64,
    /// The end of the process.
    pub ended_us: i64,
    /// Whether the script ended it.
    pub killed: bool,
    /// When it first held a list, which may be one from its disk.
    pub first_list_us: Option<i64>,
    /// When it first held a list from the registry.
    pub listed_us: Option<i64>,
    /// Each time at which it took a whole list.
    pub lists_us: Vec<i64>,
    /// The drains that it was notified of.
    pub drains: Vec<DrainNotice>,
    /// The periods in which it was paused.
    pub pauses: Vec<PausePeriod>,
}

impl RouterRun {
    /// When it knew that a worker drains: by a notification, or by a list that it took after the drain.
    fn learned_drain_us(&self, worker: &str, drained_us: i64) -> Option<i64> {
        let notices = self.drains.iter().filter(|notice| notice.worker == worker);
        let times = notices.map(|notice| notice.at_us).chain(self.lists_us.iter().copied());
        times.filter(|at_us| *at_us >= drained_us - EARLY_NOTICE_US).min()
    }

    /// Whether it ran without a pause and held a list for a whole period.
    fn is_available(&self, from_us: i64, duration_us: i64) -> bool {
        let to_us = from_us.saturating_add(duration_us);
        self.listed_us.is_some_and(|at_us| at_us <= from_us)
            && self.ended_us >= to_us
            && !self.pauses.iter().any(|pause| pause.from_us < to_us && pause.to_us > from_us)
    }

    /// Milliseconds from its start to its first list from the registry; infinite where it received none.
    pub(super) fn listed_after_ms(&self) -> f64 {
        self.listed_us.map_or(f64::INFINITY, |at_us| (at_us - self.started_us) as f64 / 1e3)
    }
}

/// An operator's drain and its propagation to the routers.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, Option<i64>, Vec<f64>)")]
pub struct DrainResult {
    /// The worker.
    pub worker: String,
    /// When the operator's command succeeded, in microseconds of the Unix clock; none where it failed.
    pub succeeded_us: Option<i64>,
    /// Milliseconds until each available router knew of it; infinite where a router never did.
    pub learned_after_ms: Vec<f64>,
}

impl DrainResult {
    /// Evaluates a drain; the routers that are available from the command's success on for `bound_us` count.
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

/// The largest counts in any 200 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct PeakTraffic {
    /// Connections.
    pub connections: u64,
    /// Requests.
    pub requests: u64,
    /// Bytes in both directions.
    pub bytes: u64,
}

impl From<PeakTraffic> for (u64, u64, u64) {
    fn from(peak: PeakTraffic) -> Self {
        (peak.connections, peak.requests, peak.bytes)
    }
}

/// What passed a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LinkTraffic {
    /// All connections.
    pub connections: u64,
    /// All requests, by the last segment of their path.
    pub requests: BTreeMap<String, u64>,
    /// All bytes, in both directions.
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

    /// The number of all requests.
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
    /// The expectation.
    pub expected: String,
    /// What was observed instead.
    #[serde(rename = "seen")]
    pub observed: String,
}
