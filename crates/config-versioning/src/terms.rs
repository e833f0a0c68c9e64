//! The rules of a document that can contradict another document's, and the meet: the strictest common rules
//! of two documents.
//!
//! Each rule has two sides: what a router under these terms *applies* itself, and what it *tolerates* of
//! other routers. For a single document both are equal. The meet of two applies only what both allow, and
//! tolerates what either applies. Used by [`crate::contradictions`] and to derive a router's rules from its
//! active settings.

use crate::document::{ActiveSettings, DocumentVersion};
use std::collections::{BTreeMap, BTreeSet};

/// A condition for retrying a call that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryCondition {
    /// The call carries a key.
    Key,
    /// The retry goes to a worker in the same zone as the first attempt.
    Zone,
    /// The retry goes to a worker in the same cell as the first attempt.
    Cell,
}

/// When a call that may already have run may be sent again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryRule {
    conditions: BTreeSet<RetryCondition>,
    window_us: i64,
}

impl RetryRule {
    /// Unconditional retries, for an idempotent class.
    #[must_use]
    pub fn always() -> Self {
        RetryRule { conditions: BTreeSet::new(), window_us: i64::MAX }
    }

    /// No retries, for a class that is not idempotent.
    #[must_use]
    pub fn forbidden() -> Self {
        RetryRule {
            conditions: [RetryCondition::Key, RetryCondition::Zone, RetryCondition::Cell].into(),
            window_us: 0,
        }
    }

    /// Retries with the same key, within `window_us` microseconds of the first send. `group` limits them to
    /// workers in the same zone or cell; `None` allows all workers. A window of zero or less forbids retries.
    #[must_use]
    pub fn keyed(group: Option<RetryCondition>, window_us: i64) -> Self {
        if window_us <= 0 {
            return RetryRule::forbidden();
        }
        RetryRule { conditions: group.into_iter().chain([RetryCondition::Key]).collect(), window_us }
    }

    /// Whether the rule equals [`RetryRule::always`].
    #[must_use]
    pub fn is_unconditional(&self) -> bool {
        self.conditions.is_empty() && self.window_us == i64::MAX
    }

    /// The conditions, all of which must be met for a retry.
    #[must_use]
    pub fn conditions(&self) -> &BTreeSet<RetryCondition> {
        &self.conditions
    }

    /// The time after the first send within which retries are allowed, in microseconds; 0 if they are
    /// forbidden.
    #[must_use]
    pub fn window_us(&self) -> i64 {
        self.window_us
    }

    /// Whether the other rule allows every retry that this one allows.
    #[must_use]
    pub fn is_within(&self, other: &RetryRule) -> bool {
        other.conditions.is_subset(&self.conditions) && self.window_us <= other.window_us
    }

    /// The rule that allows exactly the retries that both rules allow.
    #[must_use]
    pub fn meet(&self, other: &RetryRule) -> RetryRule {
        let window_us = self.window_us.min(other.window_us);
        if window_us == 0 {
            return RetryRule::forbidden();
        }
        RetryRule { conditions: self.conditions.union(&other.conditions).copied().collect(), window_us }
    }
}

/// A numeric limit, of which a lower value is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bound {
    /// The maximum that a router under these terms keeps to.
    pub applied: i64,
    /// The highest maximum that it tolerates of other routers; never below `applied`.
    pub tolerated: i64,
}

impl Bound {
    /// The bound of a single document.
    #[must_use]
    pub fn new(maximum: i64) -> Self {
        Bound { applied: maximum, tolerated: maximum }
    }

    /// The meet with terms that lack this bound and so leave other routers unlimited.
    fn meet_unknown(self) -> Bound {
        Bound { tolerated: i64::MAX, ..self }
    }

    fn meet(self, other: Bound) -> Bound {
        Bound { applied: self.applied.min(other.applied), tolerated: self.tolerated.max(other.tolerated) }
    }
}

/// The rules for one class of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// When a router under these terms retries a call.
    pub retry: RetryRule,
    /// The alternatives that are tolerated of other routers: their rule must lie within one of these.
    pub tolerated: BTreeSet<RetryRule>,
    /// The maximum number of attempts per call. It can contradict only if one of the classes is not
    /// idempotent.
    pub attempts: Bound,
    /// How long a key is remembered, in microseconds. A longer time is stricter; different times do not
    /// contradict.
    pub remember_us: i64,
}

impl Class {
    /// The class of a single document.
    #[must_use]
    pub fn new(retry: RetryRule, attempts: i64, remember_us: i64) -> Self {
        Class { tolerated: [retry.clone()].into(), retry, attempts: Bound::new(attempts), remember_us }
    }

    /// The meet with terms that lack this class: no calls of it are made, and everything is tolerated.
    fn meet_unknown(&self) -> Class {
        let mut tolerated = self.tolerated.clone();
        tolerated.insert(RetryRule::always());
        Class {
            retry: RetryRule::forbidden(),
            tolerated,
            attempts: Bound { applied: 0, tolerated: i64::MAX },
            remember_us: self.remember_us,
        }
    }

    fn meet(&self, other: &Class) -> Class {
        Class {
            retry: self.retry.meet(&other.retry),
            tolerated: self.tolerated.union(&other.tolerated).cloned().collect(),
            attempts: self.attempts.meet(other.attempts),
            remember_us: self.remember_us.max(other.remember_us),
        }
    }
}

/// Maps topics to a class. The first route of a table that matches a topic applies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// The MQTT topic filter.
    pub filter: String,
    /// The name of the class that handles the calls.
    pub class: String,
    /// The templates that derive function, tenant and key from the topic. All routers must use the same ones
    /// if the class is not idempotent; empty for an idempotent class.
    pub templates: String,
}

impl Route {
    /// Whether both routes handle a topic in the same way.
    pub(crate) fn has_same_target(&self, other: &Route) -> bool {
        self.class == other.class && self.templates == other.templates
    }
}

/// The rules of one document, or of the meet of several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Rules of classes, by name.
    pub classes: BTreeMap<String, Class>,
    /// Routing tables: one for a document, several for a meet. A topic is accepted only if all tables route
    /// it alike.
    pub tables: BTreeSet<Vec<Route>>,
    /// Plain values by name, such as the cell of a worker or the target of an alias: the values in all
    /// documents, with `None` for a document without one. A value is used only if all documents have the
    /// same.
    pub facts: BTreeMap<String, BTreeSet<Option<String>>>,
    /// Numeric limits by name, such as `drain-grace`.
    pub bounds: BTreeMap<String, Bound>,
}

impl Terms {
    /// The rules of active settings: those of the committed document, or the meet with the prepared one.
    /// `None` if `terms` does not know one of the documents.
    pub fn of_settings(
        active_settings: &ActiveSettings,
        terms: impl Fn(&DocumentVersion) -> Option<Terms>,
    ) -> Option<Terms> {
        let prepared = active_settings.prepared.as_ref().map(&terms);
        let committed = terms(&active_settings.committed)?;
        match prepared {
            None => Some(committed),
            Some(prepared) => Some(committed.meet(&prepared?)),
        }
    }

    /// The strictest common rules, which contradict neither side.
    #[must_use]
    pub fn meet(&self, other: &Terms) -> Terms {
        Terms {
            classes: merge(&self.classes, &other.classes, Class::meet, Class::meet_unknown),
            tables: self.tables.union(&other.tables).cloned().collect(),
            facts: merge(
                &self.facts,
                &other.facts,
                |one, two| one.union(two).cloned().collect(),
                |one| one.iter().cloned().chain([None]).collect(),
            ),
            bounds: merge(&self.bounds, &other.bounds, |one, two| one.meet(*two), |one| one.meet_unknown()),
        }
    }

    /// The value of a fact if all documents have the same, otherwise `None`.
    #[must_use]
    pub fn fact(&self, name: &str) -> Option<&str> {
        let values = self.facts.get(name)?;
        values.first().filter(|_| values.len() == 1)?.as_deref()
    }

    /// The route of a topic if all tables give it the same class and templates, otherwise `None`.
    #[must_use]
    pub fn route(&self, topic: &str) -> Option<&Route> {
        let mut routes = self.tables.iter().map(|table| find_route(table, topic));
        let first = routes.next()??;
        routes.all(|route| route.is_some_and(|route| route.has_same_target(first))).then_some(first)
    }
}

/// The first route of a table that matches a topic.
pub(crate) fn find_route<'a>(table: &'a [Route], topic: &str) -> Option<&'a Route> {
    table.iter().find(|route| crate::topics::matches(&route.filter, topic))
}

/// Merges two maps: entries in both by `meet`, entries in only one by `meet_unknown`.
fn merge<V: Clone>(
    one: &BTreeMap<String, V>,
    two: &BTreeMap<String, V>,
    meet: impl Fn(&V, &V) -> V,
    meet_unknown: impl Fn(&V) -> V,
) -> BTreeMap<String, V> {
    let names: BTreeSet<&String> = one.keys().chain(two.keys()).collect();
    let merged = |name: &String| match (one.get(name), two.get(name)) {
        (Some(left), Some(right)) => Some(meet(left, right)),
        (left, right) => left.or(right).map(&meet_unknown),
    };
    names.into_iter().filter_map(|name| Some((name.clone(), merged(name)?))).collect()
}
