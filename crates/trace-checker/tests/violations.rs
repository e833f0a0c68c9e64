//! For each rule: a trace that keeps it, and one deliberately broken that must be caught.

use slatevalve_trace_checker::trace::{read, write, Line, TraceEvent};
use slatevalve_trace_checker::*;

fn terms() -> Terms {
    let class =
        |effect| ClassTerms { effect, latency_objective_us: 500_000, priority_weight: 1.0, late_value: 0.0 };
    let keyed = EffectTerms::Keyed { group: GroupTerms::Cell, window_us: 1_000_000 };
    let classes = [("quote", EffectTerms::Safe), ("booking", keyed), ("charge", EffectTerms::Unsafe)];
    let worker = |cell| WorkerTerms { zone: "z".into(), cell };
    Terms {
        classes: classes.map(|(name, effect)| (name.to_string(), class(effect))).into(),
        workers: [("w1", 1), ("w2", 1), ("w3", 2)].map(|(n, cell)| (n.to_string(), worker(cell))).into(),
        answer_slack_us: 1_000,
        drain_grace_us: 250_000,
        overload_multiple: 1.0,
        overload_window_us: 1_000_000,
        load_quota_window_us: 1_000_000,
        load_quota_free: 2.0,
        load_quota_share: 0.5,
        settings: None,
    }
}

fn line(at_us: i64, who: &str, event: TraceEvent) -> Line {
    Line { at_us, who: who.into(), event }
}

fn asked(at_us: i64, call: &str, class: &str) -> Line {
    let (call, class, key) = (call.into(), class.into(), Some(call.into()));
    let (gateway, republished) = ("g".into(), false);
    line(at_us, "c", TraceEvent::Published { call, class, key, budget_us: 2_000_000, gateway, republished })
}

fn answered(at_us: i64, call: &str, outcome: &str) -> Line {
    line(at_us, "c", TraceEvent::Answered { call: call.into(), outcome: outcome.into(), reason: None })
}

fn received(at_us: i64, worker: &str, call: &str, class: &str, attempt: usize) -> Line {
    let (call, class, gateway) = (call.into(), class.into(), "g".into());
    line(
        at_us,
        worker,
        TraceEvent::Received { call, class, key: None, gateway, attempt, work_us: 100_000, settings: vec![] },
    )
}

fn never_ran(at_us: i64, worker: &str, call: &str, attempt: usize) -> Line {
    line(at_us, worker, TraceEvent::NeverRan { call: call.into(), gateway: "g".into(), attempt })
}

fn ran(at_us: i64, worker: &str, call: &str, class: &str) -> Line {
    line(at_us, worker, TraceEvent::Ran { call: call.into(), class: class.into(), key: None })
}

fn told(at_us: i64, worker: &str, state: &str) -> Line {
    line(
        at_us,
        "list",
        TraceEvent::StateNotified { worker: worker.into(), state: state.into(), gateway: "g".into() },
    )
}

fn broken(lines: &[Line]) -> Vec<Rule> {
    // Through the format, as the real traces come.
    let text: String = lines.iter().map(|l| write(l) + "\n").collect();
    let mut rules: Vec<Rule> = check(&terms(), &read(&text).unwrap()).into_iter().map(|v| v.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_call_must_be_answered_before_its_client_gives_up() {
    assert_eq!(broken(&[asked(0, "a", "quote"), answered(2_000_900, "a", "failed")]), []);
    assert_eq!(broken(&[asked(0, "a", "quote"), answered(2_001_100, "a", "served")]), [Rule::Answered]);
    assert_eq!(broken(&[asked(0, "a", "quote")]), [Rule::Answered]);
    assert_eq!(
        broken(&[asked(0, "a", "quote"), line(5, "c", TraceEvent::Disconnected { call: "a".into() })]),
        []
    );
}

#[test]
fn a_call_is_answered_once_for_each_asking() {
    let twice = [asked(0, "a", "quote"), answered(5, "a", "served"), answered(6, "a", "served")];
    assert_eq!(broken(&twice), [Rule::Once]);
    let asked_twice = [asked(0, "a", "quote"), asked(4, "a", "quote"), twice[1].clone(), twice[2].clone()];
    assert_eq!(broken(&asked_twice), []);
    assert_eq!(broken(&[answered(5, "b", "served")]), [Rule::Once]);
}

#[test]
fn an_unsafe_effect_happens_once_and_is_sent_again_only_where_it_never_ran() {
    let (ask, end) = (asked(0, "a", "charge"), answered(50, "a", "served"));
    let (one, two) = (received(10, "w1", "a", "charge", 0), received(30, "w2", "a", "charge", 1));
    let done = ran(40, "w2", "a", "charge");
    let good =
        [ask.clone(), one.clone(), never_ran(20, "w1", "a", 0), two.clone(), done.clone(), end.clone()];
    assert_eq!(broken(&good), []);
    assert_eq!(broken(&[ask.clone(), one.clone(), two, done.clone(), end.clone()]), [Rule::Effects]);
    assert_eq!(broken(&[ask.clone(), one.clone(), ran(20, "w1", "a", "charge"), done, end]), [Rule::Effects]);
    assert_eq!(broken(&[ask, one, answered(50, "a", "refused")]), [Rule::Effects]);
}

#[test]
fn a_keyed_effect_moves_only_within_its_group_and_window() {
    let (ask, end) = (asked(0, "a", "booking"), answered(1_900_000, "a", "served"));
    let first = received(10, "w1", "a", "booking", 0);
    let again =
        |at, worker| [ask.clone(), first.clone(), received(at, worker, "a", "booking", 1), end.clone()];
    assert_eq!(broken(&again(900_000, "w2")), []);
    assert_eq!(broken(&again(900_000, "w3")), [Rule::Effects]);
    assert_eq!(broken(&again(1_100_000, "w2")), [Rule::Effects]);
}

#[test]
fn nothing_new_reaches_a_draining_worker_after_the_grace() {
    let call = |at| {
        [
            asked(0, "a", "quote"),
            told(10, "w1", "draining"),
            received(at, "w1", "a", "quote", 0),
            answered(1_000_000, "a", "served"),
        ]
    };
    assert_eq!(broken(&call(250_010)), []);
    assert_eq!(broken(&call(250_011)), [Rule::Drains]);
    let order = TraceEvent::LoadRequested { function: "f".into(), copies: 1, gateway: "g".into() };
    assert_eq!(broken(&[told(10, "w1", "gone"), line(300_000, "w1", order)]), [Rule::Drains]);
    let back = [told(10, "w1", "gone"), told(20, "w1", "ready"), received(400_000, "w1", "a", "quote", 0)];
    assert_eq!(broken(&back), []);
}

#[test]
fn a_cold_worker_is_sent_no_more_than_it_can_do() {
    let started = |first| {
        line(
            0,
            "w1",
            TraceEvent::Started { start_capacity: 0.5, slow_start_us: 10_000_000, concurrency: 1.0, first },
        )
    };
    // Five calls of 0.1 s in a second are what half a lane can do.
    let calls = |n: i64| (0..n).map(|i| received(i * 10_000, "w1", "a", "quote", i as usize));
    assert_eq!(broken(&[vec![started(false)], calls(5).collect()].concat()), []);
    assert_eq!(broken(&[vec![started(false)], calls(6).collect()].concat()), [Rule::Cold]);
    assert_eq!(broken(&[vec![started(true)], calls(6).collect()].concat()), []);
}

#[test]
fn orders_stay_within_their_ration() {
    let order = |at| {
        line(at, "w1", TraceEvent::LoadRequested { function: "f".into(), copies: 1, gateway: "g".into() })
    };
    let asks = [
        asked(0, "a", "quote"),
        answered(1, "a", "served"),
        asked(2, "b", "quote"),
        answered(3, "b", "served"),
    ];
    let with = |n: i64| [asks.to_vec(), (0..n).map(|i| order(10 + i)).collect()].concat();
    assert_eq!(broken(&with(3)), []);
    assert_eq!(broken(&with(4)), [Rule::Orders]);
}

#[test]
fn a_cut_last_line_is_passed_over_and_any_other_is_an_error_with_its_number() {
    let good = write(&asked(0, "a", "quote"));
    assert_eq!(read(&format!("{good}\n{}", &good[..20])).unwrap().len(), 1);
    assert_eq!(read(&format!("{good}\n{}\n", &good[..20])).unwrap_err().line, 2);
}

/// An attempt of a charge by settings documents.
fn by(at_us: i64, gateway: &str, class: &str, settings: &[u64]) -> Line {
    let (call, class, gateway) = (format!("c{at_us}"), class.into(), gateway.into());
    let (attempt, work_us, settings) = (0, 1, settings.to_vec());
    line(at_us, "w1", TraceEvent::Received { call, class, key: None, gateway, attempt, work_us, settings })
}

#[test]
fn what_is_sent_by_overtaken_settings_that_contradict_is_caught_after_the_bound() {
    let settings = SettingsTerms { contradictions: vec![(2, 1), (2, 3)], bound_us: 1_000 };
    let terms = Terms { settings: Some(settings), ..terms() };
    let found = |lines: &[Line]| -> Vec<String> {
        let found = check(&terms, lines).into_iter().filter(|v| v.rule == Rule::Agreement);
        found.map(|v| v.what).collect()
    };
    let keeps = [
        by(0, "a", "charge", &[1]),
        by(100, "b", "charge", &[1, 2]),
        by(9_000, "a", "charge", &[1]),
        by(9_100, "a", "charge", &[2]),
        by(10_000, "b", "charge", &[1]), // within the bound
        by(90_000, "b", "charge", &[1, 2]),
        by(90_001, "b", "quote", &[1]), // a safe call
        by(90_002, "b", "charge", &[]), // a gateway without documents
        by(91_000, "a", "charge", &[2, 3]),
        by(92_000, "b", "charge", &[2]),
    ];
    assert_eq!(found(&keeps), [""; 0]);
    let broken = [by(0, "a", "charge", &[2]), by(1_001, "b", "charge", &[1])];
    assert_eq!(
        found(&broken),
        ["b sent c1001 by settings [1], 1001 us after a had sent by [2], which contradict them"]
    );
    let skipped = [by(0, "a", "charge", &[3]), by(5_000, "b", "booking", &[1, 2])];
    assert_eq!(found(&skipped).len(), 1, "two that share no document, of which some contradict");
    let third = [by(0, "a", "charge", &[3]), by(5_000, "b", "charge", &[1])];
    assert_eq!(found(&third), [""; 0], "a change of worth contradicts nothing");
}
