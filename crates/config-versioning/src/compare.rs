//! Whether two sets of terms contradict each other, field by field and with a reason.
//!
//! Two terms contradict where one *does* what the other does not *bear*; see [`Terms`]. What is unknown to one side contradicts
//! nothing: it refuses there. Worth, aims and the like are no terms. Called by drivers and by the commands that show a change.

use crate::terms::{first, Route, Terms};
use crate::topics::{shared, standing_for};
use std::collections::BTreeSet;
use std::fmt;

/// Filters that are compared before routes are said to be too entangled to tell.
const MOST_FILTERS: usize = 20_000;

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

/// All fields in which two terms contradict each other, in order; the same whichever comes first.
pub fn contradictions(a: &Terms, b: &Terms) -> Vec<Contradiction> {
    let mut found = BTreeSet::new();
    for (one, other) in [(a, b), (b, a)] {
        classes(one, other, &mut found);
        plain(one, other, &mut found);
        routes(one, other, &mut found);
    }
    found.into_iter().collect()
}

type Found = BTreeSet<Contradiction>;

fn tell(found: &mut Found, field: String, reason: impl Into<String>) {
    found.insert(Contradiction { field, reason: reason.into() });
}

fn classes(one: &Terms, other: &Terms, found: &mut Found) {
    for (name, class) in &one.classes {
        let Some(borne) = other.classes.get(name) else { continue };
        if !borne.borne.iter().any(|b| class.repeat.is_inside(b)) {
            let reason = "one side sends a call again where the other holds that it must not run twice";
            tell(found, format!("class \"{name}\" effect"), reason);
        }
        let counted = !class.repeat.is_unconditional() || !borne.repeat.is_unconditional();
        if counted && class.attempts.most > borne.attempts.borne {
            tell(
                found,
                format!("class \"{name}\" attempts"),
                "one side makes more attempts than the other allows",
            );
        }
    }
}

fn plain(one: &Terms, other: &Terms, found: &mut Found) {
    for (name, bound) in &one.bounds {
        if other.bounds.get(name).is_some_and(|b| bound.most > b.borne) {
            tell(found, name.clone(), "one side goes further than the other allows");
        }
    }
    for name in one.facts.keys() {
        let (Some(value), Some(values)) = (one.fact(name), other.facts.get(name)) else { continue };
        if !values.iter().any(|v| v.as_deref().is_none_or(|v| v == value)) {
            tell(found, name.clone(), "the sides hold different things for true");
        }
    }
}

/// A topic that one side takes, and for which every table of the other side names something else.
fn routes(one: &Terms, other: &Terms, found: &mut Found) {
    // A table of both bears all that either does.
    if one.tables.is_empty() || other.tables.is_empty() || !one.tables.is_disjoint(&other.tables) {
        return;
    }
    let all: Vec<&Vec<Route>> = one.tables.iter().chain(&other.tables).collect();
    let levels = all.iter().flat_map(|t| t.iter()).map(|r| r.filter.split('/').count()).max().unwrap_or(0);
    // Each topic is stood for by one of the filters that some routes of all tables share.
    let mut filters: BTreeSet<String> = all[0].iter().map(|r| r.filter.clone()).collect();
    for table in &all[1..] {
        let pairs = filters.iter().flat_map(|f| table.iter().filter_map(move |r| shared(f, &r.filter)));
        filters = pairs.take(MOST_FILTERS + 1).collect();
        if filters.len() > MOST_FILTERS {
            let reason = "too many filters share topics to be compared; they are taken to contradict";
            return tell(found, "routes".into(), reason);
        }
    }
    for topic in filters.iter().flat_map(|f| standing_for(f, levels)) {
        let Some(route) = one.route(&topic) else { continue };
        let others = other.tables.iter().map(|t| first(t, &topic));
        let differs =
            |r: Option<&Route>| r.is_some_and(|r| (&r.class, &r.rest) != (&route.class, &route.rest));
        if others.clone().all(differs) {
            let seconds: BTreeSet<&str> = others.flatten().map(|r| r.class.as_str()).collect();
            let (a, b) = (
                format!("\"{}\"", route.class),
                format!("\"{}\"", seconds.into_iter().collect::<Vec<_>>().join("\", \"")),
            );
            let (low, high) = if a <= b { (a, b) } else { (b, a) };
            let reason = match low == high {
                true => format!("function, tenant or key of class {low} follow from it differently"),
                false => format!("it belongs to class {low} on one side and to {high} on the other"),
            };
            tell(found, format!("topic \"{topic}\""), reason);
        }
    }
}
