//! For each rule, a trace that complies with it and a deliberately violating one that must be detected.

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

fn published(at_us: i64, call: &str, class: &str) -> Line {
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

fn notified(at_us: i64, worker: &str, state: &str) -> Line {
    line(
        at_us,
        "list",
        TraceEvent::StateNotified { worker: worker.into(), state: state.into(), gateway: "g".into() },
    )
}

fn violated_rules(lines: &[Line]) -> Vec<Rule> {
    // Writes and parses the lines, as real traces are.
    let text: String = lines.iter().map(|l| write(l) + "\n").collect();
    let mut rules: Vec<Rule> = check(&terms(), &read(&text).unwrap()).into_iter().map(|v| v.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_call_must_be_answered_before_its_clients_deadline() {
    assert_eq!(violated_rules(&[published(0, "a", "quote"), answered(2_000_900, "a", "failed")]), []);
    assert_eq!(
        violated_rules(&[published(0, "a", "quote"), answered(2_001_100, "a", "served")]),
        [Rule::Answered]
    );
    assert_eq!(violated_rules(&[published(0, "a", "quote")]), [Rule::Answered]);
    assert_eq!(
        violated_rules(&[
            published(0, "a", "quote"),
            line(5, "c", TraceEvent::Disconnected { call: "a".into() })
        ]),
        []
    );
}

#[test]
fn a_call_is_answered_at_most_once_per_publication() {
    let twice = [published(0, "a", "quote"), answered(5, "a", "served"), answered(6, "a", "served")];
    assert_eq!(violated_rules(&twice), [Rule::Once]);
    let published_twice =
        [published(0, "a", "quote"), published(4, "a", "quote"), twice[1].clone(), twice[2].clone()];
    assert_eq!(violated_rules(&published_twice), []);
    assert_eq!(violated_rules(&[answered(5, "b", "served")]), [Rule::Once]);
}

#[test]
fn an_unsafe_call_runs_once_and_is_retried_only_after_an_attempt_that_never_ran() {
    let (publication, answer) = (published(0, "a", "charge"), answered(50, "a", "served"));
    let (one, two) = (received(10, "w1", "a", "charge", 0), received(30, "w2", "a", "charge", 1));
    let done = ran(40, "w2", "a", "charge");
    let valid = [
        publication.clone(),
        one.clone(),
        never_ran(20, "w1", "a", 0),
        two.clone(),
        done.clone(),
        answer.clone(),
    ];
    assert_eq!(violated_rules(&valid), []);
    assert_eq!(
        violated_rules(&[publication.clone(), one.clone(), two, done.clone(), answer.clone()]),
        [Rule::Effects]
    );
    assert_eq!(
        violated_rules(&[publication.clone(), one.clone(), ran(20, "w1", "a", "charge"), done, answer]),
        [Rule::Effects]
    );
    assert_eq!(violated_rules(&[publication, one, answered(50, "a", "refused")]), [Rule::Effects]);
}

#[test]
fn a_keyed_call_is_retried_only_within_its_group_and_window() {
    let (publication, answer) = (published(0, "a", "booking"), answered(1_900_000, "a", "served"));
    let first = received(10, "w1", "a", "booking", 0);
    let again = |at, worker| {
        [publication.clone(), first.clone(), received(at, worker, "a", "booking", 1), answer.clone()]
    };
    assert_eq!(violated_rules(&again(900_000, "w2")), []);
    assert_eq!(violated_rules(&again(900_000, "w3")), [Rule::Effects]);
    assert_eq!(violated_rules(&again(1_100_000, "w2")), [Rule::Effects]);
}

#[test]
fn no_new_work_is_sent_to_a_draining_or_gone_worker_after_the_grace_period() {
    let call = |at| {
        [
            published(0, "a", "quote"),
            notified(10, "w1", "draining"),
            received(at, "w1", "a", "quote", 0),
            answered(1_000_000, "a", "served"),
        ]
    };
    assert_eq!(violated_rules(&call(250_010)), []);
    assert_eq!(violated_rules(&call(250_011)), [Rule::Drains]);
    let load_request = TraceEvent::LoadRequested { function: "f".into(), copies: 1, gateway: "g".into() };
    assert_eq!(
        violated_rules(&[notified(10, "w1", "gone"), line(300_000, "w1", load_request)]),
        [Rule::Drains]
    );
    let back =
        [notified(10, "w1", "gone"), notified(20, "w1", "ready"), received(400_000, "w1", "a", "quote", 0)];
    assert_eq!(violated_rules(&back), []);
}

#[test]
fn a_worker_in_slow_start_is_not_sent_more_than_its_capacity() {
    let started = |first| {
        line(
            0,
            "w1",
            TraceEvent::Started { start_capacity: 0.5, slow_start_us: 10_000_000, concurrency: 1.0, first },
        )
    };
    // At half the capacity of one lane, five calls of 0.1 s fit into a second.
    let calls = |n: i64| (0..n).map(|i| received(i * 10_000, "w1", "a", "quote", i as usize));
    assert_eq!(violated_rules(&[vec![started(false)], calls(5).collect()].concat()), []);
    assert_eq!(violated_rules(&[vec![started(false)], calls(6).collect()].concat()), [Rule::Cold]);
    assert_eq!(violated_rules(&[vec![started(true)], calls(6).collect()].concat()), []);
}

#[test]
fn load_requests_stay_within_their_quota() {
    let load_request = |at| {
        line(at, "w1", TraceEvent::LoadRequested { function: "f".into(), copies: 1, gateway: "g".into() })
    };
    let calls = [
        published(0, "a", "quote"),
        answered(1, "a", "served"),
        published(2, "b", "quote"),
        answered(3, "b", "served"),
    ];
    let with = |n: i64| [calls.to_vec(), (0..n).map(|i| load_request(10 + i)).collect()].concat();
    assert_eq!(violated_rules(&with(3)), []);
    assert_eq!(violated_rules(&with(4)), [Rule::Orders]);
}

#[test]
fn an_incomplete_last_line_is_skipped_and_any_other_is_an_error_with_its_line_number() {
    let good = write(&published(0, "a", "quote"));
    assert_eq!(read(&format!("{good}\n{}", &good[..20])).unwrap().len(), 1);
    assert_eq!(read(&format!("{good}\n{}\n", &good[..20])).unwrap_err().line, 2);
}

/// An attempt that a gateway sent under the given settings documents.
fn attempt_under(at_us: i64, gateway: &str, class: &str, settings: &[u64]) -> Line {
    let (call, class, gateway) = (format!("c{at_us}"), class.into(), gateway.into());
    let (attempt, work_us, settings) = (0, 1, settings.to_vec());
    line(at_us, "w1", TraceEvent::Received { call, class, key: None, gateway, attempt, work_us, settings })
}

#[test]
fn attempts_under_superseded_contradicting_settings_are_violations_after_the_bound() {
    let settings = SettingsTerms { contradictions: vec![(2, 1), (2, 3)], bound_us: 1_000 };
    let terms = Terms { settings: Some(settings), ..terms() };
    let violations_of = |lines: &[Line]| -> Vec<String> {
        let found = check(&terms, lines).into_iter().filter(|v| v.rule == Rule::Agreement);
        found.map(|v| v.what).collect()
    };
    let consistent = [
        attempt_under(0, "a", "charge", &[1]),
        attempt_under(100, "b", "charge", &[1, 2]),
        attempt_under(9_000, "a", "charge", &[1]),
        attempt_under(9_100, "a", "charge", &[2]),
        attempt_under(10_000, "b", "charge", &[1]), // within the bound
        attempt_under(90_000, "b", "charge", &[1, 2]),
        attempt_under(90_001, "b", "quote", &[1]), // a safe call
        attempt_under(90_002, "b", "charge", &[]), // a gateway without documents
        attempt_under(91_000, "a", "charge", &[2, 3]),
        attempt_under(92_000, "b", "charge", &[2]),
    ];
    assert_eq!(violations_of(&consistent), [""; 0]);
    let violating = [attempt_under(0, "a", "charge", &[2]), attempt_under(1_001, "b", "charge", &[1])];
    assert_eq!(
        violations_of(&violating),
        ["b sent c1001 under settings [1], 1001 us after a first used the contradicting [2]"]
    );
    let partly_contradicting =
        [attempt_under(0, "a", "charge", &[3]), attempt_under(5_000, "b", "booking", &[1, 2])];
    assert_eq!(
        violations_of(&partly_contradicting).len(),
        1,
        "sets without a shared document, some of which contradict"
    );
    let compatible = [attempt_under(0, "a", "charge", &[3]), attempt_under(5_000, "b", "charge", &[1])];
    assert_eq!(
        violations_of(&compatible),
        [""; 0],
        "documents that differ only in weights do not contradict"
    );
}
