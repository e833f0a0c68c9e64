//! The parameters of the checks: classes, workers and the bounds of the rules. Stored as `terms.json`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The workers that share records of idempotency keys, so that a repeated key has no second effect there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroupTerms {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell, such as a rack.
    Cell,
}

/// How often an effect may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectTerms {
    /// Idempotent: any number of times.
    Safe,
    /// Idempotent with a key: may be retried only within a group, and within a window from the first attempt
    /// that may have run.
    Keyed {
        /// Workers that a retry may be sent to, relative to the worker of that first attempt.
        group: GroupTerms,
        /// Length of the window, in microseconds.
        window_us: i64,
    },
    /// Non-idempotent: at most once.
    Unsafe,
}

/// Parameters of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// How often its effect may happen.
    pub effect: EffectTerms,
    /// Latency objective in microseconds: an answer within it earns the full weight.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: i64,
    /// Priority weight of a served call.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that a served call earns after the latency objective but within its budget.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
}

/// Location of a worker, which determines its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTerms {
    /// Name of the zone.
    pub zone: String,
    /// Number of the cell.
    pub cell: u64,
}

/// All parameters that a trace is checked against.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Classes by name. Rule 2 does not apply to classes that are missing here.
    pub classes: BTreeMap<String, ClassTerms>,
    /// Workers by name, as traces record them.
    pub workers: BTreeMap<String, WorkerTerms>,
    /// Microseconds after a client's deadline within which an answer still counts as in time.
    pub answer_slack_us: i64,
    /// Microseconds after the notification of a drain within which new work may still arrive at the worker.
    pub drain_grace_us: i64,
    /// Limit of the work sent to a worker in slow start, as a multiple of its capacity in one window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Window for `overload_multiple`, in microseconds.
    #[serde(rename = "fall_window_us")]
    pub overload_window_us: i64,
    /// Window of the load quota, in microseconds; 0 disables the check.
    #[serde(rename = "ration_window_us")]
    pub load_quota_window_us: i64,
    /// Load requests that each gateway may send in a window regardless of its calls.
    #[serde(rename = "ration_free")]
    pub load_quota_free: f64,
    /// Additional load requests for each call that was published to the gateway in the window.
    #[serde(rename = "ration_share")]
    pub load_quota_share: f64,
    /// Settings documents that must not be in use together; `None` without versioned settings.
    #[serde(default)]
    pub settings: Option<SettingsTerms>,
}

/// Settings documents that contradict each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTerms {
    /// Pairs of numbers of contradicting documents, in either order.
    #[serde(rename = "contradict")]
    pub contradictions: Vec<(u64, u64)>,
    /// Microseconds for which an older document may be in use after the first attempt under a newer one.
    pub bound_us: i64,
}
