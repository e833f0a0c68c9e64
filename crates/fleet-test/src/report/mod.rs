//! The report of a fleet test: the traffic of each link, the lists and drains that each router received with
//! their times, and the expectations that were not met.

mod checks;
mod results;
mod text;

pub use results::{
    DrainNotice, DrainResult, LinkTraffic, PausePeriod, PeakTraffic, RouterRun, UnmetExpectation,
};

use crate::counters::Bucket;
use crate::runner::DrainCommand;
use crate::script::Script;
use serde::Serialize;
use std::collections::BTreeMap;

/// The raw results of a run, before their evaluation.
pub(crate) struct Results {
    pub(crate) seed: u64,
    /// Second 0 of the test, in microseconds of the Unix clock.
    pub(crate) start_us: i64,
    pub(crate) routers: Vec<RouterRun>,
    /// Buckets by link.
    pub(crate) traffic: BTreeMap<String, Vec<Bucket>>,
    pub(crate) drain_commands: Vec<DrainCommand>,
    /// Names of the processes that exited unexpectedly.
    pub(crate) crashed: Vec<String>,
}

/// The report of a fleet test. Its JSON is read by operators' scripts, so `serde` keeps the names in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The name that the script states.
    pub name: String,
    /// The seed of all random draws: the script's or the one that replaces it.
    pub seed: u64,
    /// Second 0 of the test, in microseconds of the Unix clock.
    pub start_us: i64,
    /// The scripted duration, in seconds.
    pub seconds: f64,
    /// Traffic by link name.
    pub links: BTreeMap<String, LinkTraffic>,
    /// One entry for each start of each router's process.
    pub routers: Vec<RouterRun>,
    /// One entry for each drain command of the script.
    pub drains: Vec<DrainResult>,
    /// Names of the processes that exited unexpectedly.
    pub crashed: Vec<String>,
    /// The expectations that were not met; empty for a successful test.
    #[serde(rename = "findings")]
    pub unmet: Vec<UnmetExpectation>,
}

impl Report {
    /// Evaluates the results of a run.
    pub(crate) fn new(script: &Script, results: Results) -> Self {
        let Results { seed, start_us, routers, traffic, drain_commands, crashed } = results;
        let bound_us = (script.expectations.drains_within_ms.unwrap_or(0.0) * 1e3) as i64;
        let drains = drain_commands.iter().map(|command| DrainResult::new(command, &routers, bound_us));
        let mut report = Report {
            name: script.name.clone(),
            seed,
            start_us,
            seconds: script.seconds,
            links: traffic.into_iter().map(|(name, buckets)| (name, LinkTraffic::new(buckets))).collect(),
            drains: drains.collect(),
            routers,
            crashed,
            unmet: Vec::new(),
        };
        report.unmet = report.check(&script.expectations);
        report
    }

    /// Whether all expectations were met.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.unmet.is_empty()
    }

    /// Milliseconds from the start of each run of a router to its first list from the registry; infinite
    /// where it received none. Runs that the script ended before their first list are left out.
    #[must_use]
    pub fn listed_after_ms(&self) -> Vec<f64> {
        let runs = self.routers.iter().filter(|run| !run.killed || run.listed_us.is_some());
        runs.map(RouterRun::listed_after_ms).collect()
    }
}

/// The quantile by nearest rank: the smallest value with at least this share of the values at or below it.
/// None without values.
pub(crate) fn quantile(values: &[f64], share: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1).min(sorted.len().checked_sub(1)?)).copied()
}

#[cfg(test)]
mod tests;
