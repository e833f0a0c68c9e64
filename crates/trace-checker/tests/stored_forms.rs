//! Examples of the forms that are stored or sent, byte for byte: one line of the recorded trace for each kind of thing that a
//! tap sees. Traces are kept and read by other versions, so a change of names in the code must not change them. The literals
//! are what the program wrote; they are not to be made from code.

use slatevalve_trace_checker::trace::{read, write, Line, TraceEvent};

/// The line is read to this, and written as it stands.
fn stands(literal: &str, at_us: i64, who: &str, event: TraceEvent) {
    let line = Line { at_us, who: who.into(), event };
    assert_eq!(write(&line), literal);
    assert_eq!(read(&[literal, "\n"].concat()).unwrap(), [line]);
}

fn asked(key: Option<&str>, republished: bool) -> TraceEvent {
    TraceEvent::Published {
        call: "call-1".into(),
        class: "booking".into(),
        key: key.map(String::from),
        budget_us: 2_000_000,
        gateway: "gateway-1".into(),
        republished,
    }
}

#[test]
fn a_line_of_a_call_that_was_asked_stands() {
    let literal = r#"{"at_us":1764684181000001,"who":"client-1","seen":"asked","call":"call-1","class":"booking","key":"key-1","budget_us":2000000,"gateway":"gateway-1","again":false}"#;
    stands(literal, 1_764_684_181_000_001, "client-1", asked(Some("key-1"), false));
}

#[test]
fn a_line_of_a_call_that_was_asked_again_without_a_key_stands() {
    let literal = r#"{"at_us":-1,"who":"client \"ü\"","seen":"asked","call":"call-1","class":"booking","key":null,"budget_us":2000000,"gateway":"gateway-1","again":true}"#;
    stands(literal, -1, "client \"ü\"", asked(None, true));
}

#[test]
fn a_line_of_an_answer_stands() {
    let literal =
        r#"{"at_us":2,"who":"client-1","seen":"answered","call":"call-1","outcome":"served","reason":null}"#;
    let event = TraceEvent::Answered { call: "call-1".into(), outcome: "served".into(), reason: None };
    stands(literal, 2, "client-1", event);
}

#[test]
fn a_line_of_an_answer_with_a_reason_stands() {
    let literal = r#"{"at_us":3,"who":"client-1","seen":"answered","call":"call-1","outcome":"refused","reason":"not-sent"}"#;
    let (outcome, reason) = ("refused".into(), Some("not-sent".into()));
    stands(literal, 3, "client-1", TraceEvent::Answered { call: "call-1".into(), outcome, reason });
}

#[test]
fn a_line_of_a_call_that_was_left_stands() {
    let literal = r#"{"at_us":4,"who":"client-1","seen":"left","call":"call-1"}"#;
    stands(literal, 4, "client-1", TraceEvent::Disconnected { call: "call-1".into() });
}

#[test]
fn a_line_of_a_worker_that_started_stands() {
    let literal = r#"{"at_us":5,"who":"worker-1","seen":"started","start_capacity":0.25,"warm_us":30000000,"lanes":4.0,"first":true}"#;
    let event = TraceEvent::Started {
        start_capacity: 0.25,
        slow_start_us: 30_000_000,
        concurrency: 4.0,
        first: true,
    };
    stands(literal, 5, "worker-1", event);
}

fn received(key: Option<&str>, settings: &[u64]) -> TraceEvent {
    TraceEvent::Received {
        call: "call-1".into(),
        class: "booking".into(),
        key: key.map(String::from),
        gateway: "gateway-1".into(),
        attempt: 2,
        work_us: 100_000,
        settings: settings.to_vec(),
    }
}

#[test]
fn a_line_of_a_call_that_a_worker_received_stands() {
    let literal = r#"{"at_us":6,"who":"worker-1","seen":"received","call":"call-1","class":"booking","key":"key-1","gateway":"gateway-1","attempt":2,"work_us":100000,"settings":[7,8]}"#;
    stands(literal, 6, "worker-1", received(Some("key-1"), &[7, 8]));
}

#[test]
fn a_line_of_a_call_received_without_key_and_settings_stands() {
    let literal = r#"{"at_us":7,"who":"worker-1","seen":"received","call":"call-1","class":"booking","key":null,"gateway":"gateway-1","attempt":2,"work_us":100000}"#;
    stands(literal, 7, "worker-1", received(None, &[]));
}

#[test]
fn a_line_of_a_call_that_never_ran_stands() {
    let literal = r#"{"at_us":8,"who":"worker-1","seen":"never-ran","call":"call-1","gateway":"gateway-1","attempt":1}"#;
    let event = TraceEvent::NeverRan { call: "call-1".into(), gateway: "gateway-1".into(), attempt: 1 };
    stands(literal, 8, "worker-1", event);
}

#[test]
fn a_line_of_a_call_that_ran_stands() {
    let literal =
        r#"{"at_us":9,"who":"worker-1","seen":"ran","call":"call-1","class":"booking","key":"key-1"}"#;
    let event = TraceEvent::Ran { call: "call-1".into(), class: "booking".into(), key: Some("key-1".into()) };
    stands(literal, 9, "worker-1", event);
}

#[test]
fn a_line_of_an_order_to_hold_copies_stands() {
    let literal = r#"{"at_us":10,"who":"worker-1","seen":"ordered","function":"function-1","copies":3,"gateway":"gateway-1"}"#;
    let event =
        TraceEvent::LoadRequested { function: "function-1".into(), copies: 3, gateway: "gateway-1".into() };
    stands(literal, 10, "worker-1", event);
}

#[test]
fn a_line_of_a_load_that_began_stands() {
    let literal = r#"{"at_us":11,"who":"worker-1","seen":"fetched","function":"function-1"}"#;
    stands(literal, 11, "worker-1", TraceEvent::Fetched { function: "function-1".into() });
}

#[test]
fn a_line_of_a_state_that_a_gateway_was_told_stands() {
    let literal = r#"{"at_us":12,"who":"list","seen":"told","worker":"worker-1","state":"draining","gateway":"gateway-1"}"#;
    let (worker, state, gateway) = ("worker-1".into(), "draining".into(), "gateway-1".into());
    stands(literal, 12, "list", TraceEvent::StateNotified { worker, state, gateway });
}
