//! The rules of a document that can contradict another's, and the strictest rules that contradict neither of two.
//!
//! It guards what a router does while a change is under way. Each rule has two sides: what a router by these terms *does*, and
//! what it *bears* of others. In one document they are the same; in a meet, what is done is what both documents allow, and what
//! is borne is what either does. Called by [`crate::contradictions`] and by whoever makes a router's rules of a stance.

use crate::document::{ActiveSettings, DocumentVersion};
use std::collections::{BTreeMap, BTreeSet};

/// What must hold where a call is repeated that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryCondition {
    /// It carries a key.
    Key,
    /// The worker is in the zone of the first one.
    Zone,
    /// The worker is in the cell of the first one.
    Cell,
}

/// When a call that may have run may be sent again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryRule {
    needs: BTreeSet<RetryCondition>,
    within_us: i64,
}

impl RetryRule {
    /// Always: the effect is safe.
    pub fn always() -> Self {
        RetryRule { needs: BTreeSet::new(), within_us: i64::MAX }
    }

    /// Not at all: the effect is unsafe.
    pub fn never() -> Self {
        RetryRule {
            needs: [RetryCondition::Key, RetryCondition::Zone, RetryCondition::Cell].into(),
            within_us: 0,
        }
    }

    /// With its key, where `group` holds (nothing for all workers), for so many microseconds after the first sending.
    pub fn keyed(group: Option<RetryCondition>, within_us: i64) -> Self {
        let needs: BTreeSet<RetryCondition> = group.into_iter().chain([RetryCondition::Key]).collect();
        if within_us <= 0 {
            return RetryRule::never();
        }
        RetryRule { needs, within_us }
    }

    /// Whether it is [`RetryRule::always`].
    pub fn is_unconditional(&self) -> bool {
        self.needs.is_empty() && self.within_us == i64::MAX
    }

    /// What must hold.
    pub fn needs(&self) -> &BTreeSet<RetryCondition> {
        &self.needs
    }

    /// For how long after the first sending, in microseconds; 0 where it may never be sent again.
    pub fn within_us(&self) -> i64 {
        self.within_us
    }

    /// Whether whatever this allows is allowed by the other as well.
    pub fn is_inside(&self, other: &RetryRule) -> bool {
        other.needs.is_subset(&self.needs) && self.within_us <= other.within_us
    }

    /// What both allow.
    pub fn meet(&self, other: &RetryRule) -> RetryRule {
        let within_us = self.within_us.min(other.within_us);
        if within_us == 0 {
            return RetryRule::never();
        }
        RetryRule { needs: self.needs.union(&other.needs).copied().collect(), within_us }
    }
}

/// A number of which less is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bound {
    /// What a router by these terms keeps to.
    pub most: i64,
    /// What it bears of others.
    pub borne: i64,
}

impl Bound {
    /// The bound of one document.
    pub fn of(most: i64) -> Self {
        Bound { most, borne: most }
    }

    /// Beside terms that do not know it, whose others may do anything.
    fn alone(self) -> Bound {
        Bound { borne: i64::MAX, ..self }
    }

    fn meet(self, other: Bound) -> Bound {
        Bound { most: self.most.min(other.most), borne: self.borne.max(other.borne) }
    }
}

/// The rules of a class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// How its calls are repeated.
    pub repeat: RetryRule,
    /// How others may repeat them: each alternative by itself.
    pub borne: BTreeSet<RetryRule>,
    /// Attempts of a call, at most; counts where the class is not safe.
    pub attempts: Bound,
    /// For how long a key is remembered, in microseconds. More is stricter, and contradicts nothing.
    pub remember_us: i64,
}

impl Class {
    /// The class of one document.
    pub fn of(repeat: RetryRule, attempts: i64, remember_us: i64) -> Self {
        Class { borne: [repeat.clone()].into(), repeat, attempts: Bound::of(attempts), remember_us }
    }

    /// Beside terms that do not know it: nothing of it is done, and everything is borne.
    fn alone(&self) -> Class {
        let mut borne = self.borne.clone();
        borne.insert(RetryRule::always());
        let attempts = Bound { most: 0, borne: i64::MAX };
        Class { repeat: RetryRule::never(), borne, attempts, remember_us: self.remember_us }
    }

    fn meet(&self, other: &Class) -> Class {
        Class {
            repeat: self.repeat.meet(&other.repeat),
            borne: self.borne.union(&other.borne).cloned().collect(),
            attempts: self.attempts.meet(other.attempts),
            remember_us: self.remember_us.max(other.remember_us),
        }
    }
}

/// Where the calls of some topics go. The first route of a table that matches takes a topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// The topics, as an MQTT topic filter.
    pub filter: String,
    /// Their class.
    pub class: String,
    /// What else must be the same at all routers: how function, tenant and key follow from the topic, where the class is not
    /// safe. Empty for a safe class.
    pub rest: String,
}

/// The rules of a document, or of the meet of several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Classes by name.
    pub classes: BTreeMap<String, Class>,
    /// The tables of routes: one of a document, several of a meet. A topic is taken only where all tables agree on it.
    pub tables: BTreeSet<Vec<Route>>,
    /// Plain facts by name, such as the cell of a worker or what an alias names: the values that documents give, nothing for one
    /// that does not know it. A fact that is not the same in all is not acted on.
    pub facts: BTreeMap<String, BTreeSet<Option<String>>>,
    /// Numbers by name, such as the grace of a drain.
    pub bounds: BTreeMap<String, Bound>,
}

impl Terms {
    /// The rules by a stance, from those of its documents; nothing where one of them is not known.
    pub fn of(stance: &ActiveSettings, terms: impl Fn(&DocumentVersion) -> Option<Terms>) -> Option<Terms> {
        let prepared = stance.prepared.as_ref().map(&terms);
        let committed = terms(&stance.committed)?;
        match prepared {
            None => Some(committed),
            Some(prepared) => Some(committed.meet(&prepared?)),
        }
    }

    /// The strictest rules that contradict neither side.
    pub fn meet(&self, other: &Terms) -> Terms {
        Terms {
            classes: both(&self.classes, &other.classes, Class::meet, Class::alone),
            tables: self.tables.union(&other.tables).cloned().collect(),
            facts: both(
                &self.facts,
                &other.facts,
                |a, b| a.union(b).cloned().collect(),
                |a| a.iter().cloned().chain([None]).collect(),
            ),
            bounds: both(&self.bounds, &other.bounds, |a, b| a.meet(*b), |a| a.alone()),
        }
    }

    /// A fact that may be acted on.
    pub fn fact(&self, name: &str) -> Option<&str> {
        let values = self.facts.get(name)?;
        values.first().filter(|_| values.len() == 1)?.as_deref()
    }

    /// The route of a topic that may be acted on: all tables give it the same class and rest.
    pub fn route(&self, topic: &str) -> Option<&Route> {
        let mut found = self.tables.iter().map(|table| first(table, topic));
        let one = found.next()??;
        let same = |r: Option<&Route>| r.is_some_and(|r| (&r.class, &r.rest) == (&one.class, &one.rest));
        found.all(same).then_some(one)
    }
}

/// The route of a table that takes a topic.
pub(crate) fn first<'a>(table: &'a [Route], topic: &str) -> Option<&'a Route> {
    table.iter().find(|r| crate::topics::matches(&r.filter, topic))
}

/// What two sides know, each entry met where both know it, and changed by `alone` where one does.
fn both<V: Clone>(
    a: &BTreeMap<String, V>,
    b: &BTreeMap<String, V>,
    meet: impl Fn(&V, &V) -> V,
    alone: impl Fn(&V) -> V,
) -> BTreeMap<String, V> {
    let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let value = |name: &String| match (a.get(name), b.get(name)) {
        (Some(a), Some(b)) => Some(meet(a, b)),
        (one, other) => one.or(other).map(&alone),
    };
    names.into_iter().filter_map(|n| Some((n.clone(), value(n)?))).collect()
}
