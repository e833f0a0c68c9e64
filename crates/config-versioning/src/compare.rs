//! Whether two sets of terms contradict each other, field by field and with a reason.
//!
//! Two terms contradict where one *applies* what the other does not *tolerate*; see [`Terms`]. What is unknown to one side
//! contradicts nothing, as that side refuses it. Priority weights, objectives and the like are no terms. Used by coordinators
//! and by the commands that show a change.

use crate::terms::{find_route, Route, Terms};
use crate::topics::{intersection, representative_topics};
use std::collections::BTreeSet;
use std::fmt;

/// The number of filters above which routes are taken to contradict without a full comparison, which bounds its cost.
const MAX_COMPARED_FILTERS: usize = 20_000;

/// One field in which two terms contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contradiction {
    /// The field, such as `class "charge" effect`.
    pub field: String,
    /// Why it is one.
    pub reason: String,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// All fields in which two terms contradict each other, in order. The result is symmetric.
#[must_use]
pub fn contradictions(one: &Terms, two: &Terms) -> Vec<Contradiction> {
    let mut found = Contradictions::default();
    for (applied, tolerant) in [(one, two), (two, one)] {
        found.compare_classes(applied, tolerant);
        found.compare_bounds(applied, tolerant);
        found.compare_facts(applied, tolerant);
        found.compare_routes(applied, tolerant);
    }
    found.0.into_iter().collect()
}

/// What `applied` does and `tolerant` does not tolerate, for both directions.
#[derive(Default)]
struct Contradictions(BTreeSet<Contradiction>);

impl Contradictions {
    fn add(&mut self, field: impl Into<String>, reason: impl Into<String>) {
        self.0.insert(Contradiction { field: field.into(), reason: reason.into() });
    }

    fn compare_classes(&mut self, applied: &Terms, tolerant: &Terms) {
        for (name, class) in &applied.classes {
            let Some(other) = tolerant.classes.get(name) else { continue };
            if !other.tolerated.iter().any(|rule| class.retry.is_within(rule)) {
                let reason = "one side sends a call again where the other holds that it must not run twice";
                self.add(format!("class \"{name}\" effect"), reason);
            }
            let attempts_count = !class.retry.is_unconditional() || !other.retry.is_unconditional();
            if attempts_count && class.attempts.applied > other.attempts.tolerated {
                let reason = "one side makes more attempts than the other allows";
                self.add(format!("class \"{name}\" attempts"), reason);
            }
        }
    }

    fn compare_bounds(&mut self, applied: &Terms, tolerant: &Terms) {
        for (name, bound) in &applied.bounds {
            if tolerant.bounds.get(name).is_some_and(|other| bound.applied > other.tolerated) {
                self.add(name, "one side goes further than the other allows");
            }
        }
    }

    fn compare_facts(&mut self, applied: &Terms, tolerant: &Terms) {
        for name in applied.facts.keys() {
            let (Some(value), Some(others)) = (applied.fact(name), tolerant.facts.get(name)) else {
                continue;
            };
            if !others.iter().any(|other| other.as_deref().is_none_or(|other| other == value)) {
                self.add(name, "the sides hold different things for true");
            }
        }
    }

    /// Finds topics that one side accepts and for which every table of the other side has another target.
    fn compare_routes(&mut self, applied: &Terms, tolerant: &Terms) {
        // Sides that share a table tolerate each other: a meet tolerates all that either of its documents applies.
        let shares_table = !applied.tables.is_disjoint(&tolerant.tables);
        if applied.tables.is_empty() || tolerant.tables.is_empty() || shares_table {
            return;
        }
        let tables: Vec<&[Route]> =
            applied.tables.iter().chain(&tolerant.tables).map(Vec::as_slice).collect();
        let Some(filters) = shared_filters(&tables) else {
            let reason = "too many filters share topics to be compared; they are taken to contradict";
            return self.add("routes", reason);
        };
        let levels = tables.iter().copied().flatten().map(|route| route.filter.split('/').count()).max();
        let levels = levels.unwrap_or(0);
        for topic in filters.iter().flat_map(|filter| representative_topics(filter, levels)) {
            self.compare_topic(&topic, applied, tolerant);
        }
    }

    fn compare_topic(&mut self, topic: &str, applied: &Terms, tolerant: &Terms) {
        let Some(route) = applied.route(topic) else { return };
        let others: Option<Vec<&Route>> =
            tolerant.tables.iter().map(|table| find_route(table, topic)).collect();
        // A table without a route for the topic refuses it, and so contradicts nothing.
        let Some(others) = others else { return };
        if others.iter().any(|other| other.has_same_target(route)) {
            return;
        }
        let classes: BTreeSet<&str> = others.iter().map(|other| other.class.as_str()).collect();
        let classes: Vec<&str> = classes.into_iter().collect();
        let mut sides = [format!("\"{}\"", route.class), format!("\"{}\"", classes.join("\", \""))];
        sides.sort();
        let [low, high] = sides;
        let reason = if low == high {
            format!("function, tenant or key of class {low} follow from it differently")
        } else {
            format!("it belongs to class {low} on one side and to {high} on the other")
        };
        self.add(format!("topic \"{topic}\""), reason);
    }
}

/// The filters that routes of all tables share, by which each topic that all tables match is represented; `None` if they are
/// more than [`MAX_COMPARED_FILTERS`].
fn shared_filters(tables: &[&[Route]]) -> Option<BTreeSet<String>> {
    let (first, others) = tables.split_first()?;
    let mut filters: BTreeSet<String> = first.iter().map(|route| route.filter.clone()).collect();
    for table in others {
        let shared = filters
            .iter()
            .flat_map(|filter| table.iter().filter_map(move |route| intersection(filter, &route.filter)));
        filters = shared.take(MAX_COMPARED_FILTERS + 1).collect();
        if filters.len() > MAX_COMPARED_FILTERS {
            return None;
        }
    }
    Some(filters)
}
