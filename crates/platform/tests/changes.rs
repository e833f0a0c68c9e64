//! Tests of the change log client during disconnects, timeouts and address changes: no event is missed or
//! partly applied.

use serde_json::{json, Value};
use slatevalve::{Micros, Scope, WorkerState};
use slatevalve_engine::worker_id;
use slatevalve_platform::changes::{Change, ChangeLogClient, ChangeLogOutput, ContactEvent, ContactFailure};
use slatevalve_site_config::Names;
use std::net::SocketAddr;

struct Fixture {
    client: ChangeLogClient,
    now: Micros,
    address: SocketAddr,
}

/// The client's outputs by kind.
#[derive(Default)]
struct Outputs {
    connects: Vec<SocketAddr>,
    requests: Vec<String>,
    closes: usize,
    changes: Vec<Change>,
    malformed: usize,
    contact: Vec<ContactEvent>,
}

fn fleet(seq: u64, complete: bool, members: &[(&str, &str)]) -> Value {
    let member = |(n, (id, phase)): (usize, &(&str, &str))| {
        json!({"id": id, "host_port": format!("127.0.0.1:{}", 9000 + n), "locality": "hall-b", "flavor": "duo",
            "cell": 2, "phase": phase, "size": 4, "up_since_ms": 0})
    };
    let members: Vec<Value> = members.iter().enumerate().map(member).collect();
    json!({"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}})
}

fn answer(seq: u64, results: &[Value]) -> Vec<u8> {
    let body = json!({"seq": seq, "results": results}).to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

impl Fixture {
    fn new(known: Value) -> (Self, Vec<Change>) {
        Self::seeded(known, 1)
    }

    fn seeded(known: Value, seed: u64) -> (Self, Vec<Change>) {
        let names = Names {
            zones: vec!["hall-a".into(), "hall-b".into()],
            kinds: vec!["duo".into()],
            ..Names::default()
        };
        let address = "127.0.0.1:4222".parse().unwrap();
        let at_unix_ms = Box::new(|ms: f64| Micros((ms * 1000.0) as i64));
        let (client, known_events) =
            ChangeLogClient::new(names, at_unix_ms, address, known.as_object().unwrap(), seed)
                .expect("valid known events");
        (Fixture { client, now: Micros(10_000_000), address }, known_events.changes)
    }

    /// A connected client that has event 3 and has written its first poll.
    fn polling() -> Self {
        let (mut fixture, _) =
            Fixture::new(json!({"seq": 3, "results": [fleet(3, true, &[("a", "active")])]}));
        assert_eq!(fixture.advance(0).connects, [fixture.address]);
        let outputs = fixture.run(|client, now, out| client.connected(now, out));
        assert_eq!(outputs.requests.len(), 1);
        assert!(outputs.requests[0].starts_with("GET /changes?since=3&timeout="), "{}", outputs.requests[0]);
        fixture
    }

    fn run(
        &mut self,
        action: impl FnOnce(&mut ChangeLogClient, Micros, &mut Vec<ChangeLogOutput>),
    ) -> Outputs {
        let mut out = Vec::new();
        action(&mut self.client, self.now, &mut out);
        let mut outputs = Outputs::default();
        for output in out {
            match output {
                ChangeLogOutput::Connect(address) => outputs.connects.push(address),
                ChangeLogOutput::Write(bytes) => outputs.requests.push(String::from_utf8(bytes).unwrap()),
                ChangeLogOutput::Close => outputs.closes += 1,
                ChangeLogOutput::Change(change) => outputs.changes.push(change),
                ChangeLogOutput::Malformed(_) => outputs.malformed += 1,
                ChangeLogOutput::Contact(event) => outputs.contact.push(event),
            }
        }
        outputs
    }

    /// Advances the time by `ms` milliseconds.
    fn advance(&mut self, ms: i64) -> Outputs {
        self.now.0 += ms * 1000;
        self.run(|client, now, out| client.advance(now, out))
    }

    fn receive(&mut self, bytes: &[u8]) -> Outputs {
        self.run(|client, now, out| client.received(now, Micros(0), bytes, out))
    }
}

#[test]
fn the_events_of_the_configuration_are_the_first_list() {
    let (fixture, changes) = Fixture::new(json!({"seq": 2, "results": [
        fleet(1, true, &[("a", "active"), ("b", "active")]), fleet(2, false, &[("b", "leaving")])]}));
    assert_eq!((fixture.client.seq(), changes.len()), (2, 2));
    let listing = changes[0].listing();
    assert_eq!((listing.scope, listing.entries.len()), (Scope::Full, 2));
    assert_eq!(listing.entries[0].id, worker_id("a"));
    assert_eq!((listing.entries[0].zone.0, listing.entries[0].cell.0), (1, 2));
    assert_eq!(changes[1].lines[0].entry.state, WorkerState::Draining);
    assert_eq!(changes[1].listing().scope, Scope::Changes);
}

#[test]
fn new_events_are_reported_and_the_next_poll_continues_after_them() {
    let mut fixture = Fixture::polling();
    let outputs =
        fixture.receive(&answer(5, &[fleet(4, false, &[("a", "leaving")]), json!({"seq": 5, "other": {}})]));
    assert_eq!((outputs.changes.len(), outputs.closes), (1, 0));
    assert!(outputs.requests[0].contains("since=5&"));
    // An event that was already reported is ignored.
    let outputs = fixture.receive(&answer(5, &[fleet(4, false, &[("a", "active")])]));
    assert_eq!((outputs.changes.len(), outputs.requests.len()), (0, 1));
}

#[test]
fn a_truncated_answer_has_no_effect_and_is_requested_again_immediately() {
    let whole = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    for cut in [1, 40, whole.len() - 1] {
        let mut fixture = Fixture::polling();
        assert!(fixture.receive(&whole[..cut]).changes.is_empty());
        let outputs = fixture.run(|client, now, out| client.closed(now, out));
        assert!(outputs.changes.is_empty());
        assert_eq!(fixture.advance(0).connects.len(), 1, "reconnects immediately");
        let outputs = fixture.run(|client, now, out| client.connected(now, out));
        assert!(outputs.requests[0].contains("since=3&"), "polls from the last complete event");
        assert_eq!(fixture.receive(&whole).changes.len(), 1);
    }
}

#[test]
fn a_poll_without_an_answer_is_aborted_shortly_after_its_timeout() {
    // The first poll is a short one, so that the list is confirmed soon.
    let mut fixture = Fixture::polling();
    assert_eq!(time_until_disconnect(&mut fixture), 500);
    let mut fixture = Fixture::polling();
    fixture.receive(&answer(3, &[]));
    let waited_ms = time_until_disconnect(&mut fixture);
    assert!((1_001..2_000).contains(&waited_ms), "{waited_ms}");
    assert_eq!(fixture.advance(0).connects.len(), 1);
}

/// Milliseconds until the client disconnects from a log that stops in the middle of an answer.
fn time_until_disconnect(fixture: &mut Fixture) -> i64 {
    let whole = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    fixture.receive(&whole[..60]);
    let mut waited_ms = 0;
    let outputs = loop {
        waited_ms += 50;
        let outputs = fixture.advance(50);
        if outputs.closes + outputs.connects.len() > 0 {
            break outputs;
        }
        assert!(waited_ms < 2_000, "not disconnected within 2 s");
    };
    assert_eq!(outputs.closes, 1);
    waited_ms
}

/// Guards against start times that follow a step of the Unix clock: a cold worker would then be treated as
/// warm, or as one that never warms up.
#[test]
fn a_start_time_is_unaffected_by_steps_of_the_unix_clock() {
    const HOUR_MS: i64 = 3_600_000;
    for step_ms in [0, 1_000, -1_000, 30_000, -30_000, HOUR_MS, -HOUR_MS] {
        let mut fixture = Fixture::polling();
        fixture.now.0 += 2 * HOUR_MS * 1_000;
        let mut event = fleet(4, false, &[("b", "active")]);
        // The worker started one second ago, and the Unix clock has stepped since.
        event["fleet"]["members"][0]["up_since_ms"] = (fixture.now.0 / 1_000 - 1_000 + step_ms).into();
        let received_at = fixture.now;
        let up_since =
            fixture.receive(&answer(4, &[event.clone()])).changes[0].lines[0].entry.up_since.unwrap();
        let age_ms = (received_at.0 - up_since.0) / 1_000;
        assert!((0..=5_000).contains(&age_ms), "clock step of {step_ms} ms: worker is {age_ms} ms old");
        // The same start time in a later event is not a restart.
        fixture.advance(500);
        event["seq"] = 5.into();
        event["fleet"]["members"][0]["phase"] = "leaving".into();
        let again = fixture.receive(&answer(5, &[event])).changes[0].lines[0].entry.up_since;
        assert_eq!(again, Some(up_since));
    }
}

/// Guards against fixed timeouts that a slow log never meets: the client would abort and repeat every poll
/// forever.
#[test]
fn an_event_of_a_slow_log_is_received_within_seven_seconds() {
    for (connect_ms, answer_ms) in [(0, 2_000), (900, 0), (900, 1_000), (200, 250)] {
        let mut fixture = Fixture::polling();
        fixture.receive(&answer(3, &[]));
        // The log does not answer the current poll, and is slow from then on.
        let (mut elapsed_ms, mut connects_at, mut answers_at) = (0, None, None);
        let changes = loop {
            elapsed_ms += 10;
            assert!(
                elapsed_ms < 7_000,
                "no event received; connections take {connect_ms} ms, answers {answer_ms} ms"
            );
            let outputs = fixture.advance(10);
            if outputs.closes > 0 {
                (connects_at, answers_at) = (None, None);
            }
            if !outputs.connects.is_empty() {
                connects_at = Some(elapsed_ms + connect_ms);
            }
            if connects_at.take_if(|at| *at <= elapsed_ms).is_some() {
                fixture.run(|client, now, out| client.connected(now, out));
                answers_at = Some(elapsed_ms + answer_ms);
            }
            if answers_at.take_if(|at| *at <= elapsed_ms).is_some() {
                break fixture.receive(&answer(4, &[fleet(4, false, &[("a", "leaving")])])).changes;
            }
        };
        assert_eq!(changes.len(), 1);
    }
}

#[test]
fn connecting_to_an_unreachable_log_is_retried_with_backoff() {
    let mut fixture = Fixture::polling();
    let mut attempts = 0;
    fixture.run(|client, now, out| client.closed(now, out));
    for _ in 0..1_000 {
        if !fixture.advance(10).connects.is_empty() {
            attempts += 1;
            fixture.run(|client, now, out| client.closed(now, out));
        }
    }
    assert!((45..=100).contains(&attempts), "{attempts} attempts in 10 s");
}

#[test]
fn routers_that_lose_the_log_together_do_not_reconnect_in_step() {
    // All routers lose the log at the same time, and every attempt fails immediately.
    let known = json!({"seq": 3, "results": [fleet(3, true, &[("a", "active")])]});
    let mut routers: Vec<Fixture> = (0..300).map(|seed| Fixture::seeded(known.clone(), seed).0).collect();
    let mut attempts = Vec::new();
    let mut idle_ms = vec![0; routers.len()];
    for _ in 0..500 {
        let mut count = 0;
        for (fixture, idle_ms) in routers.iter_mut().zip(&mut idle_ms) {
            let connects = !fixture.advance(10).connects.is_empty();
            *idle_ms = if connects { 0 } else { *idle_ms + 10 };
            assert!(*idle_ms <= 410, "no attempt for {idle_ms} ms");
            if connects {
                count += 1;
                fixture.run(|client, now, out| client.closed(now, out));
            }
        }
        attempts.push(count);
    }
    // The mean delay is 0.2 s, so 15 of 300 routers connect in each 10 ms. The first, immediate attempts are
    // excluded.
    let most = attempts[100..].iter().max().copied().unwrap_or_default();
    assert!(most <= 45, "{most} of 300 attempts in the same 10 ms");
    let all: usize = attempts[100..].iter().sum();
    assert!((300 * 4 * 3..300 * 4 * 8).contains(&all), "{all} attempts in 4 s");
}

#[test]
fn a_malformed_member_does_not_hide_other_members() {
    // The drain is in the same event or in the next one.
    let malformed_member = || ("b", "asleep");
    let same_event = answer(4, &[fleet(4, false, &[("a", "leaving"), malformed_member()])]);
    let next_event =
        answer(5, &[fleet(4, false, &[malformed_member()]), fleet(5, false, &[("a", "leaving")])]);
    for (bytes, last) in [(same_event, 4), (next_event, 5)] {
        let mut fixture = Fixture::polling();
        for repetition in 0..4 {
            let outputs = fixture.receive(&bytes);
            let lines = outputs.changes.iter().flat_map(|c| &c.lines);
            let drained: Vec<&str> =
                lines.filter(|l| l.entry.state == WorkerState::Draining).map(|l| l.name.as_str()).collect();
            assert_eq!(
                (drained, outputs.malformed),
                (vec!["a"], 1),
                "the drain is applied immediately, and the malformed member reported"
            );
            if repetition == 3 {
                // It may have been corrupted in transit, so it was requested again, but only a limited number
                // of times.
                assert_eq!((outputs.closes, fixture.client.seq()), (0, last));
                break;
            }
            assert_eq!((outputs.closes, fixture.client.seq()), (1, 3), "requested again");
            fixture.advance(1_000);
            assert!(
                fixture.run(|client, now, out| client.connected(now, out)).requests[0].contains("since=3&")
            );
        }
    }
    // In the configuration, too, the other members are accepted.
    let (fixture, changes) =
        Fixture::new(json!({"seq": 1, "results": [fleet(1, true, &[("a", "active"), malformed_member()])]}));
    assert_eq!((changes[0].lines.len(), fixture.client.seq()), (1, 1));
}

#[test]
fn unlisted_zones_and_kinds_get_indices_of_their_own() {
    let mut event = fleet(4, false, &[("a", "active"), ("b", "active"), ("c", "active"), ("d", "active")]);
    for (n, (zone, kind)) in [("annexe", "duo"), ("yard", "giga"), ("annexe", "duo")].iter().enumerate() {
        event["fleet"]["members"][n]["locality"] = (*zone).into();
        event["fleet"]["members"][n]["flavor"] = (*kind).into();
    }
    let mut fixture = Fixture::polling();
    let outputs = fixture.receive(&answer(4, &[event]));
    assert_eq!((outputs.malformed, fixture.client.seq()), (0, 4));
    let zones: Vec<usize> = outputs.changes[0].lines.iter().map(|l| l.entry.zone.0).collect();
    assert!(zones[0] == zones[2] && zones[0] != zones[1], "{zones:?}");
    assert!(
        zones[0] > 1 && zones[1] > 1 && zones[3] == 1,
        "unlisted zones get none of the listed indices: {zones:?}"
    );
}

#[test]
fn malformed_answers_change_nothing() {
    let malformed_event = json!({"seq": 4, "fleet": {"members": "none"}});
    for bytes in [
        answer(4, &[malformed_event]),
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec(),
        b"???".to_vec(),
    ] {
        let mut fixture = Fixture::polling();
        let outputs = fixture.receive(&bytes);
        assert_eq!((outputs.changes.len(), outputs.closes, fixture.client.seq()), (0, 1, 3));
    }
}

#[test]
fn after_an_address_change_the_log_is_polled_from_the_same_event() {
    let mut fixture = Fixture::polling();
    let address: SocketAddr = "127.0.0.2:4222".parse().unwrap();
    let outputs = fixture.run(|client, now, out| client.set_address(now, address, out));
    assert_eq!(outputs.closes, 1);
    assert_eq!(fixture.advance(0).connects, [address]);
    assert!(fixture.run(|client, now, out| client.connected(now, out)).requests[0].contains("since=3&"));
    assert_eq!(
        fixture.run(|client, now, out| client.set_address(now, address, out)).closes,
        0,
        "an unchanged address does not reconnect"
    );
}

#[test]
fn events_that_an_answer_omits_are_requested_again() {
    // The events do not start at the next number; the answer's number is above that of its events; both.
    let later = || fleet(5, false, &[("b", "active")]);
    for first in [answer(5, &[later()]), answer(4, &[]), answer(6, &[later()])] {
        let mut fixture = Fixture::polling();
        fixture.receive(&first);
        assert_eq!(fixture.client.seq(), 3, "event 4, the drain, is missing");
        let outputs = fixture.advance(0);
        assert_eq!(outputs.connects.len(), 1, "reconnects immediately");
        let outputs = fixture.run(|client, now, out| client.connected(now, out));
        assert!(outputs.requests[0].contains("since=3&"), "{}", outputs.requests[0]);
        let outputs = fixture.receive(&answer(5, &[fleet(4, false, &[("a", "leaving")]), later()]));
        assert_eq!(outputs.changes[0].lines[0].entry.state, WorkerState::Draining);
        assert_eq!((outputs.changes.len(), fixture.client.seq()), (2, 5));
    }
}

#[test]
fn permanently_missing_numbers_do_not_block_later_events() {
    let mut fixture = Fixture::polling();
    for _ in 0..4 {
        let outputs = fixture.receive(&answer(6, &[fleet(6, false, &[("a", "leaving")])]));
        assert!(outputs.changes.len() <= 1);
        fixture.advance(1_000);
        fixture.run(|client, now, out| client.connected(now, out));
    }
    assert_eq!(fixture.client.seq(), 6, "after several answers the missing numbers are assumed to be unused");
}

#[test]
fn repeated_or_older_events_change_nothing() {
    let mut fixture = Fixture::polling();
    let change = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    assert_eq!(fixture.receive(&change).changes.len(), 1);
    assert_eq!(fixture.receive(&change).changes.len(), 0);
    assert_eq!(fixture.receive(&answer(1, &[fleet(1, true, &[("a", "active")])])).changes.len(), 0);
    assert_eq!(fixture.client.seq(), 4);
}

#[test]
fn a_complete_list_closes_the_gap_before_it() {
    let mut fixture = Fixture::polling();
    let outputs = fixture.receive(&answer(9, &[fleet(9, true, &[("a", "active")])]));
    assert_eq!((outputs.changes.len(), outputs.requests.len(), fixture.client.seq()), (1, 1, 9));
}

#[test]
fn an_outage_of_the_log_is_reported_once_with_its_cause_and_once_when_it_ends() {
    let mut fixture = Fixture::polling();
    let whole = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    fixture.advance(150);
    // The lease on the list counts from the poll, because the answer may be as old as that.
    assert_eq!(fixture.receive(&whole).contact, [ContactEvent::Confirmed { age: Micros(150_000) }]);
    let mut contact = Vec::new();
    for _ in 0..40 {
        let outputs = fixture.advance(50);
        contact.extend(outputs.contact);
        if !outputs.connects.is_empty() {
            contact.extend(fixture.run(|client, now, out| client.closed(now, out)).contact);
        }
    }
    let [ContactEvent::Lost { failure: ContactFailure::Closed, silent_for: Some(silent_for) }] = contact[..]
    else {
        panic!("{contact:?}");
    };
    // A poll of 1 s and its grace period had passed without an answer, and the immediate retry failed too.
    assert!((1_300_000..1_500_000).contains(&silent_for.0), "{silent_for:?}");
    while fixture.advance(50).connects.is_empty() {}
    fixture.run(|client, now, out| client.connected(now, out));
    let contact = fixture.receive(&answer(4, &[])).contact;
    assert!(
        matches!(contact[..], [ContactEvent::Restored { .. }, ContactEvent::Confirmed { .. }]),
        "{contact:?}"
    );
}
