//! Detects contradictions between two sets of terms, with the field and a reason for each.
//!
//! Two sets contradict each other where one *applies* a rule that the other does not *tolerate*; see
//! [`Terms`]. An item that only one side defines never contradicts, because the other side refuses such
//! calls. Priority weights, objectives and similar settings are not part of the terms. Used by coordinators
//! and by the commands that show a change.

use crate::terms::{find_route, Route, Terms};
use crate::topics::{intersection, representative_topics};
use std::collections::BTreeSet;
use std::fmt;

/// Bounds the cost of comparing routes: with more shared filters than this, the routes count as
/// contradicting.
const MAX_COMPARED_FILTERS: usize = 20_000;

/// A field in which two sets of terms contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contradiction {
    /// The name of the field, such as `class "charge" effect`.
    pub field: String,
    /// An explanation for operators.
    pub reason: String,
}

impl fmt::Display for Contradiction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// All contradictions between two sets of terms, sorted by field. The order of the arguments does not matter.
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

/// Collects the rules that `applied` applies and `tolerant` does not tolerate; called for both directions.
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
                let reason =
                    "one document permits a retry that the other forbids because the call must not run twice";
                self.add(format!("class \"{name}\" effect"), reason);
            }
            let attempts_matter = !class.retry.is_unconditional() || !other.retry.is_unconditional();
            if attempts_matter && class.attempts.applied > other.attempts.tolerated {
                let reason = "one document permits more attempts than the other";
                self.add(format!("class \"{name}\" attempts"), reason);
            }
        }
    }

    fn compare_bounds(&mut self, applied: &Terms, tolerant: &Terms) {
        for (name, bound) in &applied.bounds {
            if tolerant.bounds.get(name).is_some_and(|other| bound.applied > other.tolerated) {
                self.add(name, "the value in one document exceeds the maximum of the other");
            }
        }
    }

    fn compare_facts(&mut self, applied: &Terms, tolerant: &Terms) {
        for name in applied.facts.keys() {
            let (Some(value), Some(others)) = (applied.fact(name), tolerant.facts.get(name)) else {
                continue;
            };
            if !others.iter().any(|other| other.as_deref().is_none_or(|other| other == value)) {
                self.add(name, "the documents have different values");
            }
        }
    }

    /// Finds topics that one side accepts and that every table of the other side routes to a different
    /// target.
    fn compare_routes(&mut self, applied: &Terms, tolerant: &Terms) {
        // Sides with a common table cannot contradict: a meet tolerates whatever one of its documents
        // applies.
        let shares_table = !applied.tables.is_disjoint(&tolerant.tables);
        if applied.tables.is_empty() || tolerant.tables.is_empty() || shares_table {
            return;
        }
        let tables: Vec<&[Route]> =
            applied.tables.iter().chain(&tolerant.tables).map(Vec::as_slice).collect();
        let Some(filters) = shared_filters(&tables) else {
            let reason = "too many overlapping topic filters to compare; the routes count as contradicting";
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
        // A table without a route for the topic refuses its calls, so that there is no contradiction.
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
            format!("the documents derive function, tenant or key of class {low} differently from it")
        } else {
            format!("one document routes it to class {low}, the other to {high}")
        };
        self.add(format!("topic \"{topic}\""), reason);
    }
}

/// Intersections of the filters of all tables. Together they match exactly the topics that every table
/// matches. `None` if there are more than [`MAX_COMPARED_FILTERS`].
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
