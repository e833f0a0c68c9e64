//! Checks a recorded trace against the operators' five rules.
//!
//! The checker depends on no other crate of the project and computes every bound itself, so that it cannot
//! share a defect with the gateway. Its only input is the events recorded at the clients, at the workers and
//! where the worker list is published. Test servers write [`trace::Line`]s; the chaos test and its tests call
//! [`check`]. The format is described in `docs/trace.md`.
#![forbid(unsafe_code)]

mod draining;
mod effects;
mod final_answers;
mod load_quota;
mod settings_conflicts;
mod slow_start;
mod terms;
pub mod trace;

pub use terms::{ClassTerms, EffectTerms, GroupTerms, SettingsTerms, Terms, WorkerTerms};

use serde::Serialize;
use trace::Line;

/// The violated rule, with the operators' number. Reports print the names of the variants, so these are part
/// of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: one final answer before the client's deadline.
    Answered,
    /// Rule 1: no more final answers than publications of the call.
    Once,
    /// Rule 2: an effect happens only as often as its class allows.
    Effects,
    /// Rule 3: no new work for a worker that is draining or gone.
    Drains,
    /// Rule 4: a worker in slow start is not overloaded.
    Cold,
    /// Rule 5: load requests stay within their quota.
    Orders,
    /// In addition to the five: contradicting settings documents are not in use for longer than the bound.
    Agreement,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violating line, or of the deadline that passed, in microseconds of the Unix clock.
    pub at_us: i64,
    /// Human-readable description that names the call, worker or gateway.
    pub what: String,
}

/// Returns all violations in a trace, ordered by time. Lines may come in any order.
#[must_use]
pub fn check(terms: &Terms, lines: &[Line]) -> Vec<Violation> {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|line| line.at_us);
    let mut violations = Vec::new();
    final_answers::check(terms, &sorted, &mut violations);
    effects::check(terms, &sorted, &mut violations);
    draining::check(terms, &sorted, &mut violations);
    slow_start::check(terms, &sorted, &mut violations);
    load_quota::check(terms, &sorted, &mut violations);
    settings_conflicts::check(terms, &sorted, &mut violations);
    violations.sort_by_key(|violation| violation.at_us);
    violations
}
