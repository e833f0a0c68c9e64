//! The five rules, checked from recorded traffic by arithmetic of its own.
//!
//! It guards the gateway against its own opinion: all it knows is what passed at the taps, at the clients, at the
//! workers and where the worker list is told. It shares no code with what it checks. Stand-ins write
//! [`trace::Line`]s; the scripted bad day and its tests call [`check`]. The format stands in `docs/trace.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod answers;
mod cold;
mod drains;
mod effects;
mod orders;
mod terms;
pub mod trace;

pub use terms::{ClassTerms, EffectTerms, GroupTerms, SettingsTerms, Terms, WorkerTerms};

use serde::Serialize;
use trace::Line;

/// A rule as the users number them; [`Rule::Once`] is part of the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: one final answer before the client gives up.
    Answered,
    /// 1: and no second one that says otherwise.
    Once,
    /// 2: an effect happens as its class allows.
    Effects,
    /// 3: nothing new to a worker that drains or is gone.
    Drains,
    /// 4: a cold worker is not pushed over.
    Cold,
    /// 5: orders to load are rationed.
    Orders,
    /// Beside the five: gateways do not act by settings that contradict each other for longer than stated.
    Agreement,
}

/// A rule that was broken, and where the trace shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// Microseconds of the Unix clock.
    pub at_us: i64,
    /// What was seen, in words.
    pub what: String,
}

/// All violations in a trace, in the order of time. Lines may come in any order.
pub fn check(terms: &Terms, lines: &[Line]) -> Vec<Violation> {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|l| l.at_us);
    let mut found = Vec::new();
    answers::check(terms, &sorted, &mut found);
    effects::check(terms, &sorted, &mut found);
    drains::check(terms, &sorted, &mut found);
    cold::check(terms, &sorted, &mut found);
    orders::check(terms, &sorted, &mut found);
    agreement::check(terms, &sorted, &mut found);
    found.sort_by_key(|v| v.at_us);
    found
}
