//! The rules of a document that can contradict another's, and the strictest rules that contradict neither of two.
//!
//! Each rule has two sides: what a router by these terms *applies*, and what it *tolerates* of other routers. In one document
//! both are the same; in the meet of two, what both allow is applied, and what either applies is tolerated. Used by
//! [`crate::contradictions`] and by whoever derives a router's rules from its active settings.

use crate::document::{ActiveSettings, DocumentVersion};
use std::collections::{BTreeMap, BTreeSet};

/// What must hold where a call is repeated that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryCondition {
    /// The call carries a key.
    Key,
    /// The worker is in the zone of the first one.
    Zone,
    /// The worker is in the cell of the first one.
    Cell,
}

/// When a call that may have run may be sent again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryRule {
    conditions: BTreeSet<RetryCondition>,
    window_us: i64,
}

impl RetryRule {
    /// Retries without condition: the call is idempotent.
    #[must_use]
    pub fn always() -> Self {
        RetryRule { conditions: BTreeSet::new(), window_us: i64::MAX }
    }

    /// No retries: the call is not idempotent.
    #[must_use]
    pub fn forbidden() -> Self {
        RetryRule {
            conditions: [RetryCondition::Key, RetryCondition::Zone, RetryCondition::Cell].into(),
            window_us: 0,
        }
    }

    /// Retries of a call with its key, to workers for which `group` holds (`None` for all workers), within so many
    /// microseconds of the first send.
    #[must_use]
    pub fn keyed(group: Option<RetryCondition>, window_us: i64) -> Self {
        if window_us <= 0 {
            return RetryRule::forbidden();
        }
        RetryRule { conditions: group.into_iter().chain([RetryCondition::Key]).collect(), window_us }
    }

    /// Whether it is [`RetryRule::always`].
    #[must_use]
    pub fn is_unconditional(&self) -> bool {
        self.conditions.is_empty() && self.window_us == i64::MAX
    }

    /// What must hold for a retry.
    #[must_use]
    pub fn conditions(&self) -> &BTreeSet<RetryCondition> {
        &self.conditions
    }

    /// How long after the first send a retry may be made, in microseconds; 0 if none is allowed.
    #[must_use]
    pub fn window_us(&self) -> i64 {
        self.window_us
    }

    /// Whether the other rule allows each retry that this one allows.
    #[must_use]
    pub fn is_within(&self, other: &RetryRule) -> bool {
        other.conditions.is_subset(&self.conditions) && self.window_us <= other.window_us
    }

    /// The rule that allows the retries that both allow.
    #[must_use]
    pub fn meet(&self, other: &RetryRule) -> RetryRule {
        let window_us = self.window_us.min(other.window_us);
        if window_us == 0 {
            return RetryRule::forbidden();
        }
        RetryRule { conditions: self.conditions.union(&other.conditions).copied().collect(), window_us }
    }
}

/// A number of which less is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bound {
    /// The maximum that a router by these terms observes.
    pub applied: i64,
    /// The maximum that it tolerates of other routers.
    pub tolerated: i64,
}

impl Bound {
    /// The bound of one document.
    #[must_use]
    pub fn new(maximum: i64) -> Self {
        Bound { applied: maximum, tolerated: maximum }
    }

    /// The meet with terms that do not have this bound, under which other routers may do anything.
    fn meet_unknown(self) -> Bound {
        Bound { tolerated: i64::MAX, ..self }
    }

    fn meet(self, other: Bound) -> Bound {
        Bound { applied: self.applied.min(other.applied), tolerated: self.tolerated.max(other.tolerated) }
    }
}

/// The rules of a class of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// How its calls are retried.
    pub retry: RetryRule,
    /// How other routers may retry them: each alternative by itself.
    pub tolerated: BTreeSet<RetryRule>,
    /// The maximum of attempts of a call; it counts where the class is not idempotent.
    pub attempts: Bound,
    /// How long a key is remembered, in microseconds. More is stricter, and contradicts nothing.
    pub remember_us: i64,
}

impl Class {
    /// The class of one document.
    #[must_use]
    pub fn new(retry: RetryRule, attempts: i64, remember_us: i64) -> Self {
        Class { tolerated: [retry.clone()].into(), retry, attempts: Bound::new(attempts), remember_us }
    }

    /// The meet with terms that do not have this class: none of its calls is made, and everything is tolerated.
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

/// Where the calls of some topics go. The first route of a table that matches a topic takes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// The topics, as an MQTT topic filter.
    pub filter: String,
    /// Their class.
    pub class: String,
    /// How function, tenant and key follow from the topic, which must be the same at all routers where the class is not
    /// idempotent. Empty for an idempotent class.
    pub templates: String,
}

impl Route {
    /// Whether both routes treat a topic alike.
    pub(crate) fn has_same_target(&self, other: &Route) -> bool {
        self.class == other.class && self.templates == other.templates
    }
}

/// The rules of a document, or of the meet of several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Classes by name.
    pub classes: BTreeMap<String, Class>,
    /// The routing tables: one of a document, several of a meet. A topic is accepted only where all tables agree on it.
    pub tables: BTreeSet<Vec<Route>>,
    /// Plain facts by name, such as the cell of a worker or the target of an alias: the values in the documents, `None` for a
    /// document without it. A fact that is not the same in all is not acted on.
    pub facts: BTreeMap<String, BTreeSet<Option<String>>>,
    /// Numbers by name, such as the grace of a drain.
    pub bounds: BTreeMap<String, Bound>,
}

impl Terms {
    /// The rules of active settings, from those of their documents; `None` if one of these is not known.
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

    /// The strictest rules that contradict neither side.
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

    /// The value of a fact, if it may be acted on.
    #[must_use]
    pub fn fact(&self, name: &str) -> Option<&str> {
        let values = self.facts.get(name)?;
        values.first().filter(|_| values.len() == 1)?.as_deref()
    }

    /// The route of a topic, if it may be acted on: all tables give it the same class and templates.
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

/// Merges two maps: entries of both by `meet`, entries of one of them by `meet_unknown`.
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
