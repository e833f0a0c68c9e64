//! Contradictions and the meet: properties over generated documents, and deliberately wrong meets that must
//! be detected.

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use slatevalve_config_versioning::{contradictions, Bound, Class, RetryCondition, RetryRule, Route, Terms};
use std::collections::BTreeSet;

fn retry_rule() -> impl Strategy<Value = RetryRule> {
    let group = prop_oneof![Just(None), Just(Some(RetryCondition::Zone)), Just(Some(RetryCondition::Cell))];
    prop_oneof![
        Just(RetryRule::always()),
        Just(RetryRule::forbidden()),
        (group, 1..4i64).prop_map(|(group, seconds)| RetryRule::keyed(group, seconds * 1_000_000)),
    ]
}

fn class() -> impl Strategy<Value = Class> {
    (retry_rule(), 1..4i64, 1..4i64)
        .prop_map(|(retry, attempts, remember_us)| Class::new(retry, attempts, remember_us))
}

const LEVELS: [&str; 3] = ["a", "b", "$c"];

fn filter() -> impl Strategy<Value = String> {
    let level = prop_oneof![Just("a"), Just("b"), Just("$c"), Just("+")];
    (vec(level, 0..3), any::<bool>()).prop_map(|(mut levels, multi_level)| {
        if multi_level || levels.is_empty() {
            levels.push("#");
        }
        levels.join("/")
    })
}

fn route() -> impl Strategy<Value = Route> {
    let class = prop_oneof![Just("x"), Just("y")];
    let templates = prop_oneof![Just(""), Just("{2}")];
    (filter(), class, templates).prop_map(|(filter, class, templates)| Route {
        filter,
        class: class.into(),
        templates: templates.into(),
    })
}

fn terms() -> impl Strategy<Value = Terms> {
    let name = || prop_oneof![Just("x".to_string()), Just("y".to_string())];
    let value = prop_oneof![Just("1".to_string()), Just("2".to_string())];
    let facts = btree_map(name(), value.prop_map(|v| BTreeSet::from([Some(v)])), 0..3);
    let bounds = btree_map(name(), (0..3i64).prop_map(Bound::new), 0..3);
    (btree_map(name(), class(), 0..3), vec(route(), 0..4), facts, bounds)
        .prop_map(|(classes, table, facts, bounds)| Terms { classes, tables: [table].into(), facts, bounds })
}

/// All topics of up to four levels, built from the level names in filters and one that occurs in no filter.
fn topics() -> Vec<String> {
    let names = [&LEVELS[..], &["other"]].concat();
    let mut all: Vec<String> = names.iter().map(|n| n.to_string()).collect();
    let mut last = all.clone();
    for _ in 0..3 {
        last = last.iter().flat_map(|t| names.iter().map(move |n| format!("{t}/{n}"))).collect();
        all.extend(last.clone());
    }
    all
}

proptest! {
    #[test]
    fn the_meet_is_commutative_associative_and_idempotent(a in terms(), b in terms(), c in terms()) {
        prop_assert_eq!(a.meet(&b), b.meet(&a));
        prop_assert_eq!(a.meet(&a), a.clone());
        prop_assert_eq!(a.meet(&b).meet(&c), a.meet(&b.meet(&c)));
    }

    #[test]
    fn a_meet_contradicts_neither_its_sides_nor_overlapping_meets(a in terms(), b in terms(), c in terms()) {
        prop_assert_eq!(contradictions(&a, &a), vec![]);
        prop_assert_eq!(contradictions(&a.meet(&b), &a), vec![]);
        prop_assert_eq!(contradictions(&a.meet(&b), &b.meet(&c)), vec![]);
        prop_assert_eq!(contradictions(&a, &b), contradictions(&b, &a));
    }

    #[test]
    fn route_contradictions_match_an_exhaustive_search_over_topics(a in terms(), b in terms()) {
        let table = |t: &Terms| Terms { tables: t.tables.clone(), ..Terms::default() };
        let (a, b) = (table(&a), table(&b));
        let differs = |topic: &String| {
            let (one, other) = (a.route(topic), b.route(topic));
            one.zip(other).is_some_and(|(x, y)| (&x.class, &x.templates) != (&y.class, &y.templates))
        };
        prop_assert_eq!(!contradictions(&a, &b).is_empty(), topics().iter().any(differs));
    }

    #[test]
    fn a_meet_applies_only_what_both_sides_allow(a in terms(), b in terms()) {
        let both = a.meet(&b);
        for (name, class) in &both.classes {
            for side in [&a, &b].into_iter().filter_map(|t| t.classes.get(name)) {
                prop_assert!(class.retry.is_within(&side.retry) && class.attempts.applied <= side.attempts.applied);
                prop_assert!(class.remember_us >= side.remember_us);
            }
        }
        for topic in topics().iter().take(100) {
            if let Some(route) = both.route(topic) {
                for side in [&a, &b] {
                    let same = side.route(topic).map(|r| (&r.class, &r.templates));
                    prop_assert_eq!(same, Some((&route.class, &route.templates)));
                }
            }
        }
    }
}

fn with_class(retry: RetryRule, attempts: i64) -> Terms {
    let classes = [("charge".to_string(), Class::new(retry, attempts, 1))].into();
    let route = Route { filter: "charge/+".into(), class: "charge".into(), templates: "{2}".into() };
    Terms { classes, tables: [vec![route]].into(), ..Terms::default() }
}

fn fields(a: &Terms, b: &Terms) -> Vec<String> {
    contradictions(a, b).into_iter().map(|c| c.field).collect()
}

#[test]
fn each_contradicting_field_is_reported() {
    let second = 1_000_000;
    let base = with_class(RetryRule::forbidden(), 3);
    assert_eq!(fields(&base, &with_class(RetryRule::forbidden(), 2)), ["class \"charge\" attempts"]);
    for other in [
        RetryRule::always(),
        RetryRule::keyed(None, second),
        RetryRule::keyed(Some(RetryCondition::Cell), second),
    ] {
        assert_eq!(fields(&base, &with_class(other, 3)), ["class \"charge\" effect"]);
    }
    let cell = with_class(RetryRule::keyed(Some(RetryCondition::Cell), second), 3);
    for other in [
        RetryRule::keyed(Some(RetryCondition::Zone), second),
        RetryRule::keyed(Some(RetryCondition::Cell), 2 * second),
    ] {
        assert_eq!(fields(&cell, &with_class(other, 3)), ["class \"charge\" effect"]);
    }
    let mut moved = base.clone();
    moved.tables =
        [vec![Route { filter: "+/visa".into(), class: "quote".into(), templates: String::new() }]].into();
    assert_eq!(fields(&base, &moved), ["topic \"charge/visa\""]);
    let (mut one, mut other) = (base.clone(), base.clone());
    for (terms, cell, grace) in [(&mut one, "1", 5), (&mut other, "2", 9)] {
        terms.facts.insert("worker \"w\" cell".into(), [Some(cell.to_string())].into());
        terms.bounds.insert("drain-grace".into(), Bound::new(grace));
    }
    assert_eq!(fields(&one, &other), ["drain-grace", "worker \"w\" cell"]);
    assert_eq!(one.meet(&other).fact("worker \"w\" cell"), None, "a fact with different values is not used");
    assert_eq!(one.fact("worker \"w\" cell"), Some("1"));
    // Attempts of a safe class are not limited; a class or route that only one side has does not contradict.
    assert_eq!(fields(&with_class(RetryRule::always(), 2), &with_class(RetryRule::always(), 9)), [""; 0]);
    assert_eq!(fields(&base, &Terms::default()), [""; 0]);
}

#[test]
fn a_meet_with_a_rule_of_the_less_strict_side_is_detected() {
    let (strict, loose) = (with_class(RetryRule::forbidden(), 1), with_class(RetryRule::always(), 5));
    let mut wrong = strict.meet(&loose);
    wrong.classes.get_mut("charge").unwrap().retry = RetryRule::always();
    assert_eq!(fields(&wrong, &strict), ["class \"charge\" effect"]);
    let mut wrong = strict.meet(&loose);
    wrong.classes.get_mut("charge").unwrap().attempts.applied = 5;
    assert_eq!(fields(&wrong, &strict), ["class \"charge\" attempts"]);
    let mut wrong = strict.meet(&loose);
    wrong.classes.get_mut("charge").unwrap().tolerated.clear();
    assert_eq!(fields(&wrong, &loose), ["class \"charge\" effect"], "tolerated rules are compared too");
}

/// 300 filters on each side have 90,000 intersections: the comparison must stop at its limit to keep its cost
/// bounded.
#[test]
fn too_many_shared_filters_count_as_contradicting() {
    let table = |class: &str, shape: fn(usize) -> String| -> Vec<Route> {
        let route = |n| Route { filter: shape(n), class: class.into(), templates: String::new() };
        (0..300).map(route).collect()
    };
    let terms = |table| Terms { tables: [table].into(), ..Terms::default() };
    let (a, b) = (terms(table("x", |n| format!("{n}/+"))), terms(table("x", |n| format!("+/{n}"))));
    assert_eq!(fields(&a, &b), ["routes"]);
    assert_eq!(fields(&a, &a), [""; 0]);
}
