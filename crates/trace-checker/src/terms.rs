//! What the rules are checked against: classes, workers and the rules' figures, in plain numbers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Which workers drop a repeated key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GroupTerms {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell (a rack).
    Cell,
}

/// How often an effect may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EffectTerms {
    /// As often as may be.
    Safe,
    /// Again only within a group and a time from the first sending.
    Keyed {
        /// The group.
        group: GroupTerms,
        /// The time.
        window_us: i64,
    },
    /// Once.
    Unsafe,
}

/// A class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// How often its effect may happen.
    pub effect: EffectTerms,
    /// An answer within this earns the full worth.
    pub aim_us: i64,
    /// What an answer is worth.
    pub worth: f64,
    /// The part of it that a late answer earns.
    pub late_worth: f64,
}

/// Where a worker stands.
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
    /// A final answer counts until so long after the client's budget.
    pub answer_slack_us: i64,
    /// New work may reach a worker until so long after the list told of its drain.
    pub drain_grace_us: i64,
    /// Work sent to a cold worker beyond this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... over this time pushes it over.
    pub fall_window_us: i64,
    /// The window of the ration of orders; 0 for no ration.
    pub ration_window_us: i64,
    /// Orders free in each window.
    pub ration_free: f64,
    /// Further orders for each call asked in the window.
    pub ration_share: f64,
    /// Which settings documents must not be in use together, where gateways act by documents.
    #[serde(default)]
    pub settings: Option<SettingsTerms>,
}

/// Settings documents that contradict each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTerms {
    /// Pairs of their numbers, in either order.
    pub contradict: Vec<(u64, u64)>,
    /// An attempt by an overtaken document may come so long after the first one by what overtook it, in microseconds.
    pub bound_us: i64,
}
