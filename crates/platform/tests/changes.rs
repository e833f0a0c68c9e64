//! The change log through breaks, silence and moves: no event is missed, none half applied.

use serde_json::{json, Value};
use slatevalve::{Micros, Scope, WorkerState};
use slatevalve_engine::worker_id;
use slatevalve_platform::changes::{Change, ChangeLogClient, ChangeLogOutput, ContactEvent, ContactFailure};
use slatevalve_site_config::Names;
use std::net::SocketAddr;

struct Log {
    follower: ChangeLogClient,
    now: Micros,
    address: SocketAddr,
}

/// What the follower wanted: connections, questions, closes, events.
#[derive(Default)]
struct Seen {
    connects: Vec<SocketAddr>,
    asked: Vec<String>,
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

impl Log {
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
        let at = Box::new(|ms: f64| Micros((ms * 1000.0) as i64));
        let (follower, told) = ChangeLogClient::new(names, at, address, known.as_object().unwrap(), seed)
            .expect("the known events");
        (Log { follower, now: Micros(10_000_000), address }, told.changes)
    }

    /// One that stands at event 3 and has asked.
    fn asked() -> Self {
        let (mut log, _) = Log::new(json!({"seq": 3, "results": [fleet(3, true, &[("a", "active")])]}));
        assert_eq!(log.tick(0).connects, [log.address]);
        let seen = log.with(|f, now, out| f.connected(now, out));
        assert_eq!(seen.asked.len(), 1);
        assert!(seen.asked[0].starts_with("GET /changes?since=3&timeout="), "{}", seen.asked[0]);
        log
    }

    fn with(&mut self, act: impl FnOnce(&mut ChangeLogClient, Micros, &mut Vec<ChangeLogOutput>)) -> Seen {
        let mut out = Vec::new();
        act(&mut self.follower, self.now, &mut out);
        let mut seen = Seen::default();
        for wanted in out {
            match wanted {
                ChangeLogOutput::Connect(address) => seen.connects.push(address),
                ChangeLogOutput::Write(bytes) => seen.asked.push(String::from_utf8(bytes).unwrap()),
                ChangeLogOutput::Close => seen.closes += 1,
                ChangeLogOutput::Change(change) => seen.changes.push(change),
                ChangeLogOutput::Malformed(_) => seen.malformed += 1,
                ChangeLogOutput::Contact(event) => seen.contact.push(event),
            }
        }
        seen
    }

    fn tick(&mut self, ms: i64) -> Seen {
        self.now.0 += ms * 1000;
        self.with(|f, now, out| f.advance(now, out))
    }

    fn bytes(&mut self, bytes: &[u8]) -> Seen {
        self.with(|f, now, out| f.received(now, Micros(0), bytes, out))
    }
}

#[test]
fn the_events_of_the_start_are_the_first_list() {
    let (log, changes) = Log::new(json!({"seq": 2, "results": [
        fleet(1, true, &[("a", "active"), ("b", "active")]), fleet(2, false, &[("b", "leaving")])]}));
    assert_eq!((log.follower.seq(), changes.len()), (2, 2));
    let listing = changes[0].listing();
    assert_eq!((listing.scope, listing.entries.len()), (Scope::Full, 2));
    assert_eq!(listing.entries[0].id, worker_id("a"));
    assert_eq!((listing.entries[0].zone.0, listing.entries[0].cell.0), (1, 2));
    assert_eq!(changes[1].lines[0].entry.state, WorkerState::Draining);
    assert_eq!(changes[1].listing().scope, Scope::Changes);
}

#[test]
fn news_are_told_and_the_next_question_goes_on_from_them() {
    let mut log = Log::asked();
    let seen = log.bytes(&answer(5, &[fleet(4, false, &[("a", "leaving")]), json!({"seq": 5, "other": {}})]));
    assert_eq!((seen.changes.len(), seen.closes), (1, 0));
    assert!(seen.asked[0].contains("since=5&"));
    // Told again, it is not news.
    let seen = log.bytes(&answer(5, &[fleet(4, false, &[("a", "active")])]));
    assert_eq!((seen.changes.len(), seen.asked.len()), (0, 1));
}

#[test]
fn an_event_cut_in_the_middle_counts_for_nothing_and_is_asked_for_again_at_once() {
    let whole = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    for cut in [1, 40, whole.len() - 1] {
        let mut log = Log::asked();
        assert!(log.bytes(&whole[..cut]).changes.is_empty());
        let seen = log.with(|f, now, out| f.closed(now, out));
        assert!(seen.changes.is_empty());
        assert_eq!(log.tick(0).connects.len(), 1, "at once");
        let seen = log.with(|f, now, out| f.connected(now, out));
        assert!(seen.asked[0].contains("since=3&"), "from the last that came whole");
        assert_eq!(log.bytes(&whole).changes.len(), 1);
    }
}

#[test]
fn a_log_that_stops_and_stays_open_is_left_just_beyond_the_wait() {
    // The first poll is a short one, so that the list is confirmed soon.
    let mut log = Log::asked();
    assert_eq!(time_until_left(&mut log), 500);
    let mut log = Log::asked();
    log.bytes(&answer(3, &[]));
    let waited = time_until_left(&mut log);
    assert!((1_001..2_000).contains(&waited), "{waited}");
    assert_eq!(log.tick(0).connects.len(), 1);
}

/// Milliseconds until a log that stops in the middle of an answer is left.
fn time_until_left(log: &mut Log) -> i64 {
    let whole = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    log.bytes(&whole[..60]);
    let mut waited = 0;
    let seen = loop {
        waited += 50;
        let seen = log.tick(50);
        if seen.closes + seen.connects.len() > 0 {
            break seen;
        }
        assert!(waited < 2_000, "never left");
    };
    assert_eq!(seen.closes, 1);
    waited
}

/// Guards against a cold worker that passes for a warm one, or for one that never warms up, after a step of the Unix clock.
#[test]
fn a_start_is_known_by_the_monotonic_clock_whatever_the_unix_clock_does() {
    const HOUR_MS: i64 = 3_600_000;
    for step_ms in [0, 1_000, -1_000, 30_000, -30_000, HOUR_MS, -HOUR_MS] {
        let mut log = Log::asked();
        log.now.0 += 2 * HOUR_MS * 1_000;
        let mut event = fleet(4, false, &[("b", "active")]);
        // It started a second ago, and the Unix clock has stepped since.
        event["fleet"]["members"][0]["up_since_ms"] = (log.now.0 / 1_000 - 1_000 + step_ms).into();
        let told = log.now;
        let up_since = log.bytes(&answer(4, &[event.clone()])).changes[0].lines[0].entry.up_since.unwrap();
        let age_ms = (told.0 - up_since.0) / 1_000;
        assert!((0..=5_000).contains(&age_ms), "a step of {step_ms} ms: {age_ms} ms old");
        // The same start told again, later, is no restart.
        log.tick(500);
        event["seq"] = 5.into();
        event["fleet"]["members"][0]["phase"] = "leaving".into();
        let again = log.bytes(&answer(5, &[event])).changes[0].lines[0].entry.up_since;
        assert_eq!(again, Some(up_since));
    }
}

/// Guards against limits that a slow log never meets: its connections and answers are given up and asked for anew without end.
#[test]
fn a_log_whose_connections_or_answers_come_late_is_heard_within_seven_seconds() {
    for (connect_ms, answer_ms) in [(0, 2_000), (900, 0), (900, 1_000), (200, 250)] {
        let mut log = Log::asked();
        log.bytes(&answer(3, &[]));
        // The log falls silent for the poll that is open, and is slow from then on.
        let (mut elapsed_ms, mut connects_at, mut answers_at) = (0, None, None);
        let changes = loop {
            elapsed_ms += 10;
            assert!(
                elapsed_ms < 7_000,
                "not heard: connections take {connect_ms} ms, answers {answer_ms} ms"
            );
            let seen = log.tick(10);
            if seen.closes > 0 {
                (connects_at, answers_at) = (None, None);
            }
            if !seen.connects.is_empty() {
                connects_at = Some(elapsed_ms + connect_ms);
            }
            if connects_at.take_if(|at| *at <= elapsed_ms).is_some() {
                log.with(|f, now, out| f.connected(now, out));
                answers_at = Some(elapsed_ms + answer_ms);
            }
            if answers_at.take_if(|at| *at <= elapsed_ms).is_some() {
                break log.bytes(&answer(4, &[fleet(4, false, &[("a", "leaving")])])).changes;
            }
        };
        assert_eq!(changes.len(), 1);
    }
}

#[test]
fn a_log_that_cannot_be_reached_is_tried_again_with_pauses() {
    let mut log = Log::asked();
    let mut tries = 0;
    log.with(|f, now, out| f.closed(now, out));
    for _ in 0..1_000 {
        if !log.tick(10).connects.is_empty() {
            tries += 1;
            log.with(|f, now, out| f.closed(now, out));
        }
    }
    assert!((45..=100).contains(&tries), "{tries} tries in 10 s");
}

#[test]
fn many_routers_whose_log_went_away_together_do_not_knock_in_step() {
    // All lose it in the same instant, and each try fails at once.
    let known = json!({"seq": 3, "results": [fleet(3, true, &[("a", "active")])]});
    let mut routers: Vec<Log> = (0..300).map(|seed| Log::seeded(known.clone(), seed).0).collect();
    let mut connects = Vec::new();
    let mut quiet = vec![0; routers.len()];
    for _ in 0..500 {
        let mut now = 0;
        for (log, quiet) in routers.iter_mut().zip(&mut quiet) {
            let tried = !log.tick(10).connects.is_empty();
            *quiet = if tried { 0 } else { *quiet + 10 };
            assert!(*quiet <= 410, "a wait of {quiet} ms");
            if tried {
                now += 1;
                log.with(|f, now, out| f.closed(now, out));
            }
        }
        connects.push(now);
    }
    // A pause is 0.2 s in the mean: 15 of 300 in 10 ms. The first tries, which are at once, are left out.
    let most = connects[100..].iter().max().copied().unwrap_or_default();
    assert!(most <= 45, "{most} of 300 in the same 10 ms");
    let all: usize = connects[100..].iter().sum();
    assert!((300 * 4 * 3..300 * 4 * 8).contains(&all), "{all} tries in 4 s");
}

#[test]
fn a_line_that_cannot_be_read_keeps_no_other_from_being_heard() {
    // The drain stands beside it, or in the next event.
    let asleep = || ("b", "asleep");
    let beside = answer(4, &[fleet(4, false, &[("a", "leaving"), asleep()])]);
    let behind = answer(5, &[fleet(4, false, &[asleep()]), fleet(5, false, &[("a", "leaving")])]);
    for (bytes, last) in [(beside, 4), (behind, 5)] {
        let mut log = Log::asked();
        for again in 0..4 {
            let seen = log.bytes(&bytes);
            let lines = seen.changes.iter().flat_map(|c| &c.lines);
            let drained: Vec<&str> =
                lines.filter(|l| l.entry.state == WorkerState::Draining).map(|l| l.name.as_str()).collect();
            assert_eq!((drained, seen.malformed), (vec!["a"], 1), "at once, and it is said");
            if again == 3 {
                // It may have been spoilt on its way, so it was asked for again; it is not asked for without end.
                assert_eq!((seen.closes, log.follower.seq()), (0, last));
                break;
            }
            assert_eq!((seen.closes, log.follower.seq()), (1, 3), "asked again");
            log.tick(1_000);
            assert!(log.with(|f, now, out| f.connected(now, out)).asked[0].contains("since=3&"));
        }
    }
    // At the start, too: the others are there.
    let (log, changes) =
        Log::new(json!({"seq": 1, "results": [fleet(1, true, &[("a", "active"), asleep()])]}));
    assert_eq!((changes[0].lines.len(), log.follower.seq()), (1, 1));
}

#[test]
fn zones_and_kinds_that_the_settings_do_not_list_are_ones_of_their_own() {
    let mut event = fleet(4, false, &[("a", "active"), ("b", "active"), ("c", "active"), ("d", "active")]);
    for (n, (zone, kind)) in [("annexe", "duo"), ("yard", "giga"), ("annexe", "duo")].iter().enumerate() {
        event["fleet"]["members"][n]["locality"] = (*zone).into();
        event["fleet"]["members"][n]["flavor"] = (*kind).into();
    }
    let mut log = Log::asked();
    let seen = log.bytes(&answer(4, &[event]));
    assert_eq!((seen.malformed, log.follower.seq()), (0, 4));
    let zones: Vec<usize> = seen.changes[0].lines.iter().map(|l| l.entry.zone.0).collect();
    assert!(zones[0] == zones[2] && zones[0] != zones[1], "{zones:?}");
    assert!(zones[0] > 1 && zones[1] > 1 && zones[3] == 1, "none of those that are listed: {zones:?}");
}

#[test]
fn answers_that_cannot_be_read_change_nothing() {
    let no_event = json!({"seq": 4, "fleet": {"members": "none"}});
    for bytes in
        [answer(4, &[no_event]), b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec(), b"???".to_vec()]
    {
        let mut log = Log::asked();
        let seen = log.bytes(&bytes);
        assert_eq!((seen.changes.len(), seen.closes, log.follower.seq()), (0, 1, 3));
    }
}

#[test]
fn a_log_that_moves_is_asked_at_its_new_address_from_the_same_number() {
    let mut log = Log::asked();
    let address: SocketAddr = "127.0.0.2:4222".parse().unwrap();
    let seen = log.with(|f, now, out| f.set_address(now, address, out));
    assert_eq!(seen.closes, 1);
    assert_eq!(log.tick(0).connects, [address]);
    assert!(log.with(|f, now, out| f.connected(now, out)).asked[0].contains("since=3&"));
    assert_eq!(log.with(|f, now, out| f.set_address(now, address, out)).closes, 0, "the same is no move");
}

#[test]
fn no_event_is_skipped_where_an_answer_leaves_out_numbers() {
    // Its events do not begin at the next number; its number is beyond its events; both.
    let later = || fleet(5, false, &[("b", "active")]);
    for first in [answer(5, &[later()]), answer(4, &[]), answer(6, &[later()])] {
        let mut log = Log::asked();
        log.bytes(&first);
        assert_eq!(log.follower.seq(), 3, "the drain is event 4");
        let seen = log.tick(0);
        assert_eq!(seen.connects.len(), 1, "asked again at once");
        let seen = log.with(|f, now, out| f.connected(now, out));
        assert!(seen.asked[0].contains("since=3&"), "{}", seen.asked[0]);
        let seen = log.bytes(&answer(5, &[fleet(4, false, &[("a", "leaving")]), later()]));
        assert_eq!(seen.changes[0].lines[0].entry.state, WorkerState::Draining);
        assert_eq!((seen.changes.len(), log.follower.seq()), (2, 5));
    }
}

#[test]
fn numbers_that_nothing_ever_has_do_not_stop_the_news() {
    let mut log = Log::asked();
    for _ in 0..4 {
        let seen = log.bytes(&answer(6, &[fleet(6, false, &[("a", "leaving")])]));
        assert!(seen.changes.len() <= 1);
        log.tick(1_000);
        log.with(|f, now, out| f.connected(now, out));
    }
    assert_eq!(log.follower.seq(), 6, "after some answers they are taken for none of ours");
}

#[test]
fn an_answer_that_repeats_or_goes_back_changes_nothing() {
    let mut log = Log::asked();
    let news = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    assert_eq!(log.bytes(&news).changes.len(), 1);
    assert_eq!(log.bytes(&news).changes.len(), 0);
    assert_eq!(log.bytes(&answer(1, &[fleet(1, true, &[("a", "active")])])).changes.len(), 0);
    assert_eq!(log.follower.seq(), 4);
}

#[test]
fn a_whole_list_closes_the_gap_before_it() {
    let mut log = Log::asked();
    let seen = log.bytes(&answer(9, &[fleet(9, true, &[("a", "active")])]));
    assert_eq!((seen.changes.len(), seen.asked.len(), log.follower.seq()), (1, 1, 9));
}

#[test]
fn an_outage_of_the_log_is_reported_once_with_its_cause_and_once_when_it_ends() {
    let mut log = Log::asked();
    let whole = answer(4, &[fleet(4, false, &[("a", "leaving")])]);
    log.tick(150);
    // The lease on the list counts from the poll, as the log may have had the answer since then.
    assert_eq!(log.bytes(&whole).contact, [ContactEvent::Confirmed { age: Micros(150_000) }]);
    let mut contact = Vec::new();
    for _ in 0..40 {
        let seen = log.tick(50);
        contact.extend(seen.contact);
        if !seen.connects.is_empty() {
            contact.extend(log.with(|f, now, out| f.closed(now, out)).contact);
        }
    }
    let [ContactEvent::Lost { failure: ContactFailure::Closed, silent_for: Some(silent_for) }] = contact[..]
    else {
        panic!("{contact:?}");
    };
    // A poll of 1 s and its grace had passed without an answer; the retry at once failed too.
    assert!((1_300_000..1_500_000).contains(&silent_for.0), "{silent_for:?}");
    while log.tick(50).connects.is_empty() {}
    log.with(|f, now, out| f.connected(now, out));
    let contact = log.bytes(&answer(4, &[])).contact;
    assert!(
        matches!(contact[..], [ContactEvent::Restored { .. }, ContactEvent::Confirmed { .. }]),
        "{contact:?}"
    );
}
