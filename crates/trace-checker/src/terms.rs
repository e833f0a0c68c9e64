//! The terms that a trace is checked against: classes, workers and the rules' bounds. Stored as `terms.json`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The workers that share their records of keys, so that a repeated key has no second effect there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroupTerms {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell (a rack).
    Cell,
}

/// How often an effect may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectTerms {
    /// Idempotent: any number of times.
    Safe,
    /// Idempotent with a key: retried only within a group and a time from the first attempt that may have run.
    Keyed {
        /// The group.
        group: GroupTerms,
        /// Microseconds from the first attempt that may have run.
        window_us: i64,
    },
    /// Non-idempotent: at most once.
    Unsafe,
}

/// The terms of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// How often its effect may happen.
    pub effect: EffectTerms,
    /// Latency objective in microseconds: an answer within it earns the full weight.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: i64,
    /// Priority weight of an answer.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that a late answer earns.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
}

/// The place of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTerms {
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
}

/// Everything that a trace is checked against.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The classes by name.
    pub classes: BTreeMap<String, ClassTerms>,
    /// The workers by name.
    pub workers: BTreeMap<String, WorkerTerms>,
    /// Microseconds after a client's deadline within which a final answer still counts.
    pub answer_slack_us: i64,
    /// Microseconds after the notification of a drain within which new work may still reach the worker.
    pub drain_grace_us: i64,
    /// Multiple of a worker's capacity beyond which the work sent in one window overloads it during slow start.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The window of that overload, in microseconds.
    #[serde(rename = "fall_window_us")]
    pub overload_window_us: i64,
    /// The window of the load quota, in microseconds; 0 for no quota.
    #[serde(rename = "ration_window_us")]
    pub load_quota_window_us: i64,
    /// Load requests that are free in each window.
    #[serde(rename = "ration_free")]
    pub load_quota_free: f64,
    /// Further load requests for each call that was published in the window.
    #[serde(rename = "ration_share")]
    pub load_quota_share: f64,
    /// The settings documents that must not be in use together; none where gateways do not act by documents.
    #[serde(default)]
    pub settings: Option<SettingsTerms>,
}

/// Settings documents that contradict each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTerms {
    /// Pairs of the documents' numbers, in either order.
    #[serde(rename = "contradict")]
    pub contradictions: Vec<(u64, u64)>,
    /// Microseconds after the first attempt by a newer document within which an older one may still be in use.
    pub bound_us: i64,
}
