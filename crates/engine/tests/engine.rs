//! The engine against a shell made of this test: what clients are told, whatever workers and clients do.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slatevalve::{
    Class, ClassId, Effect, Group, Limits, Listing, Loading, Micros, Outcome, Scope, Settings, WorkerEntry,
    WorkerId,
};
use slatevalve_engine::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

const SAFE: ClassId = ClassId(0);
const KEYED: ClassId = ClassId(1);
const UNSAFE: ClassId = ClassId(2);

/// An engine, its clock, and all that it put out.
struct Bench {
    engine: Engine,
    now: Micros,
    out: Vec<Output>,
    next: u64,
    answers: BTreeMap<Ticket, Vec<Answer>>,
    superseded: BTreeSet<Ticket>,
    /// Attempts that were sent and have not ended, with the key they carry.
    waiting: Vec<(AttemptRef, Arc<RunBody>)>,
    sent: Vec<Arc<RunBody>>,
    /// How each attempt of a charge ended, by key, over the whole life of the gateway.
    charges: HashMap<Arc<[u8]>, BTreeMap<AttemptRef, Option<Outcome>>>,
}

fn settings(remember: Micros) -> EngineSettings {
    let class = |effect| Class { effect, deadline: Micros(1_000_000), ..Class::default() };
    let keyed = Effect::Keyed { group: Group::All, memory: Micros(5_000_000) };
    EngineSettings {
        module: Settings {
            classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
            limits: Limits { probes: false, ..Limits::default() },
            loading: Loading { on_request: true, orders: true, ..Loading::default() },
            ..Settings::default()
        },
        classes: vec![ClassPolicy { remember }; 3],
        duplicates: Some(DuplicateLimits { keys: 64, ..DuplicateLimits::default() }),
        margin: Micros(10_000),
        max_open: 32,
        max_functions: 16,
        ..EngineSettings::default()
    }
}

impl Bench {
    fn new() -> Self {
        Bench::with_memory(Micros(2_000_000))
    }

    fn with_memory(remember: Micros) -> Self {
        let mut bench = Bench {
            engine: Engine::new(settings(remember)),
            now: Micros(0),
            out: Vec::new(),
            next: 0,
            answers: BTreeMap::new(),
            superseded: BTreeSet::new(),
            waiting: Vec::new(),
            sent: Vec::new(),
            charges: HashMap::new(),
        };
        let entries = ["a", "b"].map(|n| WorkerEntry { id: worker_id(n), ..WorkerEntry::default() });
        let listing = Listing { scope: Scope::Full, entries: entries.into() };
        bench.engine.listed(bench.now, listing, &mut bench.out);
        bench
    }

    fn call(&mut self, client: u64, class: ClassId, key: Option<&str>, repeat: Repeat) -> Ticket {
        self.next += 1;
        let call = Call {
            ticket: Ticket(self.next),
            client: ClientRef(client),
            class,
            tenant: None,
            function: "f".into(),
            version: Ok(None),
            traits: None,
            request_id: None,
            key: key.map(|k| k.as_bytes().into()),
            payload: Arc::from(&b"p"[..]),
            budget: Micros(1_000_000),
            age: Micros(0),
            repeat,
        };
        self.engine.call(self.now, call, &mut self.out);
        self.carry_out();
        Ticket(self.next)
    }

    /// Notes what was put out; attempts that are called off or expire end as these orders say.
    fn carry_out(&mut self) {
        while !self.out.is_empty() {
            for output in std::mem::take(&mut self.out) {
                match output {
                    Output::Send { attempt, body, .. } => {
                        self.sent.push(body.clone());
                        self.note_charge(attempt, &body);
                        self.waiting.push((attempt, body));
                    }
                    Output::Cancel(attempt) => self.end(attempt, Outcome::Cancelled),
                    Output::Expire(attempt) => self.end(attempt, Outcome::TimedOut),
                    Output::Answer(ticket, answer) => self.answers.entry(ticket).or_default().push(answer),
                    Output::Superseded(ticket) => {
                        assert!(self.superseded.insert(ticket), "superseded twice");
                    }
                    _ => {}
                }
            }
        }
    }

    /// No attempt of a charge is sent unless every earlier one is known not to have run.
    fn note_charge(&mut self, attempt: AttemptRef, body: &RunBody) {
        if body.class == UNSAFE {
            let key = body.key.clone().expect("a charge without a key was sent");
            let earlier = self.charges.entry(key).or_default();
            let safe = earlier.values().all(|o| o.is_some_and(Outcome::proves_never_ran));
            assert!(safe, "{attempt:?} was sent after {earlier:?}");
            earlier.insert(attempt, None);
        }
    }

    fn end(&mut self, attempt: AttemptRef, outcome: Outcome) {
        for ends in self.charges.values_mut() {
            ends.entry(attempt).and_modify(|end| *end = end.or(Some(outcome)));
        }
        self.waiting.retain(|(a, _)| *a != attempt);
        self.engine.attempt_ended(self.now, attempt, AttemptEnd::without_payload(outcome), &mut self.out);
    }

    fn answer_first(&mut self, outcome: Outcome) {
        if let Some((attempt, _)) = self.waiting.first().cloned() {
            self.end(attempt, outcome);
            self.carry_out();
        }
    }

    fn pass(&mut self, micros: i64) {
        let until = Micros(self.now.0 + micros);
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.advance(self.now, &mut self.out);
            self.carry_out();
        }
        self.now = until;
    }

    fn words(&self, ticket: Ticket) -> Vec<&'static str> {
        self.answers.get(&ticket).into_iter().flatten().map(|a| a.verdict.word()).collect()
    }

    fn reason(&self, ticket: Ticket) -> Option<Reason> {
        self.answers.get(&ticket)?.first()?.verdict.reason()
    }
}

#[test]
fn a_repeat_joins_the_running_call_and_the_same_clients_first_ticket_gives_way() {
    let mut b = Bench::new();
    let first = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    let again = b.call(1, UNSAFE, Some("k"), Repeat::Marked { covered_since: Some(b.now) });
    let other = b.call(2, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(b.sent.len(), 1);
    b.answer_first(Outcome::Ok);
    assert!(b.superseded.contains(&first) && b.words(first).is_empty());
    assert_eq!((b.words(again), b.words(other)), (vec!["served"], vec!["served"]));
    assert!(b.engine.is_idle());
}

#[test]
fn a_repeat_after_the_answer_gets_the_record_and_after_the_memory_a_refusal() {
    let mut b = Bench::new();
    b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    b.answer_first(Outcome::Ok);
    b.pass(1_900_000);
    let again = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(b.words(again), ["served"]);
    assert!(b.answers[&again][0].recorded);
    b.pass(200_000);
    let late = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!(b.reason(late), Some(Reason::UnknownRepeat));
    assert_eq!(b.sent.len(), 1, "nothing ran again");
    b.pass(20_000_000);
    assert_eq!(b.engine.keys(), 0, "the table empties");
}

#[test]
fn a_marked_repeat_with_an_unknown_key_runs_only_where_all_that_was_taken_is_remembered() {
    let mut b = Bench::new();
    b.pass(10_000_000);
    let blind = b.call(1, UNSAFE, Some("a"), Repeat::Marked { covered_since: None });
    let old = b.call(1, KEYED, Some("b"), Repeat::Marked { covered_since: Some(Micros(1)) });
    assert_eq!((b.reason(blind), b.reason(old)), (Some(Reason::UnknownRepeat), Some(Reason::UnknownRepeat)));
    assert!(b.sent.is_empty());
    b.call(1, UNSAFE, Some("c"), Repeat::Marked { covered_since: Some(Micros(9_000_000)) });
    assert_eq!(b.sent.len(), 1);
}

#[test]
fn a_charge_that_may_have_run_fails_is_not_sent_again_and_its_failure_is_on_record() {
    let mut b = Bench::new();
    let first = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    b.answer_first(Outcome::Reset);
    b.pass(100_000);
    let again = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!((b.words(first), b.words(again)), (vec!["failed"], vec!["failed"]));
    assert_eq!(b.sent.len(), 1);
}

#[test]
fn a_key_of_which_nothing_ran_may_run_later() {
    let mut b = Bench::new();
    let first = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    for _ in 0..8 {
        b.answer_first(Outcome::Full);
        b.pass(100_000);
    }
    b.pass(1_000_000);
    assert_eq!(b.words(first), ["refused"]);
    let before = b.sent.len();
    b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    b.pass(500_000);
    assert!(b.sent.len() > before);
}

fn versioned(digest: &str) -> Version {
    Version { name: "1".into(), digest: digest.into(), function: format!("f@{digest}").into() }
}

#[test]
fn an_answer_from_other_content_is_not_passed_on_and_counts_as_run() {
    for class in [SAFE, UNSAFE] {
        let mut b = Bench::new();
        let ticket = Ticket(700);
        let call = Call {
            ticket,
            client: ClientRef(1),
            class,
            tenant: None,
            function: "f".into(),
            version: Ok(Some(versioned("sha256:aa"))),
            traits: None,
            request_id: None,
            key: Some(b"k".as_slice().into()),
            payload: Arc::from(&b"p"[..]),
            budget: Micros(1_000_000),
            age: Micros(0),
            repeat: Repeat::Unmarked,
        };
        b.engine.call(b.now, call, &mut b.out);
        b.carry_out();
        for _ in 0..3 {
            if let Some((attempt, body)) = b.waiting.first().cloned() {
                assert_eq!(&*body.function, "f@sha256:aa");
                let end =
                    AttemptEnd { ran: Some("sha256:bb".into()), ..AttemptEnd::without_payload(Outcome::Ok) };
                b.waiting.clear();
                b.engine.attempt_ended(b.now, attempt, end, &mut b.out);
                b.carry_out();
            }
        }
        b.pass(2_000_000);
        let words = b.words(ticket);
        assert!(words == ["failed"] || (class == SAFE && words == ["refused"]), "{words:?}");
        assert_eq!(b.answers[&ticket][0].version.as_ref().map(|v| &*v.digest), Some("sha256:aa"));
        let sent = b.sent.len() as u64;
        assert_eq!((b.engine.statistics().ran_other, class == SAFE || sent == 1), (sent, true));
    }
}

#[test]
fn a_repeat_stays_with_the_version_of_the_first_also_when_its_name_means_nothing_any_more() {
    let mut b = Bench::new();
    b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    b.answer_first(Outcome::Ok);
    let call = Call {
        ticket: Ticket(800),
        client: ClientRef(1),
        class: UNSAFE,
        tenant: None,
        function: "f".into(),
        version: Err(Reason::Quarantined),
        traits: None,
        request_id: None,
        key: Some(b"k".as_slice().into()),
        payload: Arc::from(&b"p"[..]),
        budget: Micros(1_000_000),
        age: Micros(0),
        repeat: Repeat::Unmarked,
    };
    b.engine.call(b.now, call.clone(), &mut b.out);
    let other = Call { ticket: Ticket(801), key: Some(b"l".as_slice().into()), ..call };
    b.engine.call(b.now, other, &mut b.out);
    b.carry_out();
    assert_eq!(b.words(Ticket(800)), ["served"]);
    assert_eq!(b.reason(Ticket(801)), Some(Reason::Quarantined));
}

#[test]
fn copies_are_ordered_ahead_for_a_function_that_takes_over() {
    let mut b = Bench::new();
    for _ in 0..40 {
        b.call(1, SAFE, None, Repeat::Unmarked);
        b.answer_first(Outcome::Ok);
    }
    let (new, mut out): (Arc<str>, _) = ("f@new".into(), Vec::new());
    assert!(b.engine.workers_serving("f") >= 1);
    assert_eq!(b.engine.expect(b.now, &new, "f", 1, &mut out), 1);
    assert!(matches!(&out[..], [Output::Load { name, copies: 1, .. }] if **name == *new));
    assert_eq!(b.engine.expect(b.now, &new, "nobody", 1, &mut out), 0);
}

#[test]
fn keys_used_for_another_call_and_calls_without_the_key_they_need_are_refused() {
    let mut b = Bench::new();
    let none = b.call(1, KEYED, None, Repeat::Unmarked);
    assert_eq!(b.reason(none), Some(Reason::KeyMissing));
    b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    let call = Call {
        ticket: Ticket(900),
        client: ClientRef(1),
        class: UNSAFE,
        tenant: None,
        function: "f".into(),
        version: Ok(None),
        traits: None,
        request_id: None,
        key: Some(b"k".as_slice().into()),
        payload: Arc::from(&b"another amount"[..]),
        budget: Micros(1_000_000),
        age: Micros(0),
        repeat: Repeat::Unmarked,
    };
    b.engine.call(b.now, call, &mut b.out);
    b.carry_out();
    assert_eq!(b.reason(Ticket(900)), Some(Reason::KeyReused));
}

#[test]
fn a_safe_call_is_called_off_when_its_client_leaves_and_a_charge_runs_on_for_the_record() {
    let mut b = Bench::new();
    let (quote, charge) =
        (b.call(1, SAFE, None, Repeat::Unmarked), b.call(1, UNSAFE, Some("k"), Repeat::Unmarked));
    b.engine.client_disconnected(b.now, quote, &mut b.out);
    b.engine.client_disconnected(b.now, charge, &mut b.out);
    b.carry_out();
    assert_eq!(b.waiting.len(), 1, "the quote's attempt was called off");
    b.answer_first(Outcome::Ok);
    assert!(b.answers.is_empty() && b.engine.is_idle());
    let again = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    assert_eq!((b.words(again), b.sent.len()), (vec!["served"], 2));
}

#[test]
fn stopping_refuses_what_never_ran_and_fails_what_may_have() {
    let mut b = Bench::new();
    let sent = b.call(1, SAFE, None, Repeat::Unmarked);
    b.engine.stop(b.now, Micros(b.now.0 + 50_000));
    let late = b.call(1, SAFE, None, Repeat::Unmarked);
    assert_eq!(b.reason(late), Some(Reason::Stopping));
    b.pass(60_000);
    assert_eq!((b.words(sent), b.engine.unanswered()), (vec!["failed"], 0));
}

#[test]
fn everything_is_bounded_and_what_is_beyond_is_refused_with_its_reason() {
    let mut b = Bench::new();
    let tickets: Vec<Ticket> = (0..40).map(|_| b.call(1, SAFE, None, Repeat::Unmarked)).collect();
    assert_eq!(b.reason(tickets[39]), Some(Reason::TooManyOpen));
    b.pass(2_000_000);
    assert!(tickets.iter().all(|t| b.words(*t).len() == 1));
    for n in 0..64 {
        b.call(1, UNSAFE, Some(&format!("k{n}")), Repeat::Unmarked);
        b.answer_first(Outcome::Ok);
    }
    let beyond = b.call(1, UNSAFE, Some("one more"), Repeat::Unmarked);
    assert_eq!(b.reason(beyond), Some(Reason::KeyTableFull));
}

#[derive(Clone, Debug)]
enum Step {
    Call { client: u64, class: usize, key: Option<u8>, marked: bool },
    End { which: usize, outcome: Outcome },
    Late { which: u64, outcome: Outcome },
    Leave(u64),
    Pass(i64),
    Gone(bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = || {
        prop::sample::select(vec![
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Error,
            Outcome::Full,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::NotSent,
            Outcome::Miss,
        ])
    };
    let step = prop_oneof![
        4 => (0u64..3, 0usize..3, prop::option::of(0u8..4), any::<bool>())
            .prop_map(|(client, class, key, marked)| Step::Call { client, class, key, marked }),
        4 => (0usize..4, outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0u64..30, outcome()).prop_map(|(which, outcome)| Step::Late { which, outcome }),
        1 => (0u64..30).prop_map(Step::Leave),
        3 => (0i64..400_000).prop_map(Step::Pass),
        1 => any::<bool>().prop_map(Step::Gone),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// The two promises: one answer for each ticket, and no key that may have run is sent again.
    #[test]
    fn whatever_happens_each_ticket_is_answered_once_and_no_charge_is_sent_twice(steps in steps()) {
        let mut b = Bench::with_memory(Micros(100_000_000));
        let (mut asked, mut left) = (Vec::new(), BTreeSet::new());
        for step in steps {
            match step {
                Step::Call { client, class, key, marked } => {
                    let key = key.map(|k| format!("{class}{k}"));
                    let repeat = match marked {
                        true => Repeat::Marked { covered_since: Some(b.now) },
                        false => Repeat::Unmarked,
                    };
                    asked.push(b.call(client, ClassId(class), key.as_deref(), repeat));
                }
                Step::End { which, outcome } => {
                    if let Some((attempt, _)) = b.waiting.get(which).cloned() {
                        b.end(attempt, outcome);
                        b.carry_out();
                    }
                }
                Step::Late { which, outcome } => {
                    let attempt = AttemptRef { request: slatevalve::RequestId(which), attempt: 0 };
                    if !b.waiting.iter().any(|(a, _)| *a == attempt) {
                        b.end(attempt, outcome);
                        b.carry_out();
                    }
                }
                Step::Leave(ticket) => {
                    if asked.contains(&Ticket(ticket)) && b.words(Ticket(ticket)).is_empty() {
                        left.insert(Ticket(ticket));
                        b.engine.client_disconnected(b.now, Ticket(ticket), &mut b.out);
                        b.carry_out();
                    }
                }
                Step::Pass(micros) => b.pass(micros),
                Step::Gone(gone) => {
                    let state = if gone { slatevalve::WorkerState::Gone } else { slatevalve::WorkerState::Ready };
                    let entries = vec![WorkerEntry { id: worker_id("a"), state, ..WorkerEntry::default() }];
                    let listing = Listing { scope: Scope::Changes, entries };
                    b.engine.listed(b.now, listing, &mut b.out);
                    b.carry_out();
                }
            }
        }
        b.pass(3_000_000);
        for ticket in asked {
            let owed = usize::from(!b.superseded.contains(&ticket) && !left.contains(&ticket));
            prop_assert_eq!(b.words(ticket).len(), owed, "{:?}", ticket);
        }
        prop_assert_eq!(b.engine.statistics().overdue, 0, "the module left a call without an answer");
        prop_assert!(b.engine.is_idle(), "something is left behind");
    }
}

/// On a platform whose workers drop repeats, nothing but the module decides: each call begins a run, an unsafe one needs
/// no key, a keyed one's key is passed on, and a call whose client left is left to the module.
#[test]
fn without_a_table_every_call_runs_and_keys_pass() {
    let mut without = settings(Micros(1_000_000));
    without.duplicates = None;
    let mut engine = Engine::new(without);
    let mut out = Vec::new();
    let worker = WorkerEntry { id: WorkerId(1), ..WorkerEntry::default() };
    let listing = Listing { scope: Scope::Full, entries: vec![worker] };
    engine.listed(Micros(1_000), listing, &mut out);
    let call = |ticket: u64, key: Option<&[u8]>| Call {
        ticket: Ticket(ticket),
        client: ClientRef(1),
        class: UNSAFE,
        tenant: None,
        function: "f".into(),
        version: Ok(None),
        traits: None,
        request_id: Some(format!("id-{ticket}").into()),
        key: key.map(Into::into),
        payload: Arc::from(&b"p"[..]),
        budget: Micros(1_000_000),
        age: Micros(0),
        repeat: Repeat::Marked { covered_since: None },
    };
    let keys: [Option<&[u8]>; 3] = [None, Some(b"k"), Some(b"k")];
    for (n, key) in keys.into_iter().enumerate() {
        engine.call(Micros(2_000), call(n as u64 + 1, key), &mut out);
    }
    for n in 1..200 {
        engine.advance(Micros(2_000 + n * 1_000), &mut out);
    }
    let bodies: Vec<_> = out
        .iter()
        .filter_map(|o| match o {
            Output::Send { body, .. } => Some((body.request_id.as_deref(), body.key.as_deref())),
            _ => None,
        })
        .collect();
    let wanted: Vec<(Option<&str>, Option<&[u8]>)> =
        vec![(Some("id-1"), None), (Some("id-2"), Some(b"k")), (Some("id-3"), Some(b"k"))];
    assert_eq!(bodies, wanted);
    assert_eq!(engine.keys(), 0);
    out.clear();
    engine.client_disconnected(Micros(300_000), Ticket(1), &mut out);
    assert!(out.iter().any(|o| matches!(o, Output::Cancel(_))), "what nobody waits for is called off");
}

/// The settings of a bench with other classes.
fn other_settings(classes: Vec<Class>, spaces: &[usize], max_attempts: usize) -> EngineSettings {
    let base = settings(Micros(2_000_000));
    let policies = vec![ClassPolicy { remember: Micros(2_000_000) }; classes.len()];
    let limits = Limits { max_attempts, ..base.module.limits.clone() };
    let module = Settings { classes, limits, ..base.module };
    EngineSettings {
        module,
        classes: policies,
        key_spaces: spaces.iter().map(|s| ClassId(*s)).collect(),
        ..base
    }
}

#[test]
fn an_open_call_goes_by_stricter_rules_at_once_and_by_more_attempts_never() {
    let classes = settings(Micros(0)).module.classes;
    let mut b = Bench::new();
    let open = b.call(1, KEYED, Some("k"), Repeat::Unmarked);
    let mut stricter = classes.clone();
    stricter[KEYED.0].effect = Effect::Unsafe;
    b.engine.update_settings(other_settings(stricter, &[], 3));
    b.answer_first(Outcome::Reset);
    b.pass(200_000);
    assert_eq!((b.words(open), b.sent.len()), (vec!["failed"], 1), "it is not sent again");
    // One attempt, then many: what was taken under one stays with one, and what comes after it as well until that is closed.
    let mut b = Bench::new();
    b.engine.update_settings(other_settings(classes.clone(), &[], 1));
    let open = b.call(1, SAFE, None, Repeat::Unmarked);
    b.engine.update_settings(other_settings(classes, &[], 5));
    b.answer_first(Outcome::Full);
    b.pass(500_000);
    assert_eq!((b.words(open).len(), b.sent.len()), (1, 1));
    b.pass(1_000_000);
    assert!(b.engine.is_idle());
    b.call(1, SAFE, None, Repeat::Unmarked);
    b.answer_first(Outcome::Full);
    b.pass(900_000);
    assert!(b.sent.len() > 2, "now there may be more");
}

#[test]
fn a_class_that_got_another_place_keeps_its_keys() {
    let mut classes = settings(Micros(0)).module.classes;
    classes.push(Class { effect: Effect::Safe, ..classes[UNSAFE.0] });
    let mut b = Bench::new();
    let first = b.call(1, UNSAFE, Some("k"), Repeat::Unmarked);
    b.engine.update_settings(other_settings(classes, &[0, 1, 2, 2], 3));
    assert_eq!(b.engine.open_classes(), BTreeSet::from([UNSAFE]));
    let again = b.call(2, ClassId(3), Some("k"), Repeat::Unmarked);
    let other = b.call(2, KEYED, Some("k"), Repeat::Unmarked);
    assert_eq!(
        b.sent.len(),
        2,
        "the repeat starts no second run, the other class's call has a key of its own"
    );
    b.answer_first(Outcome::Ok);
    b.answer_first(Outcome::Ok);
    for ticket in [first, again, other] {
        assert_eq!(b.words(ticket), ["served"]);
    }
    let late = b.call(3, ClassId(3), Some("k"), Repeat::Unmarked);
    assert!(b.answers[&late][0].recorded);
}

#[test]
fn while_they_are_withheld_only_safe_calls_are_sent_and_records_are_given() {
    let mut b = Bench::new();
    b.call(1, UNSAFE, Some("old"), Repeat::Unmarked);
    b.answer_first(Outcome::Ok);
    let open = b.call(1, KEYED, Some("open"), Repeat::Unmarked);
    assert_eq!(b.sent.len(), 2);
    let request = b.waiting[0].0.request;
    assert!(!b.engine.is_suspended(request));
    b.engine.suspend_non_idempotent(true);
    assert!(b.engine.is_suspended(request));
    let record = b.call(1, UNSAFE, Some("old"), Repeat::Unmarked);
    let new = b.call(1, UNSAFE, Some("new"), Repeat::Unmarked);
    let safe = b.call(1, SAFE, None, Repeat::Unmarked);
    assert_eq!((b.words(record), b.reason(new)), (vec!["served"], Some(Reason::LeaseExpired)));
    assert_eq!(b.sent.len(), 3, "the safe one");
    b.answer_first(Outcome::Full);
    b.pass(300_000);
    assert_eq!(b.sent.len(), 3, "the open one is not sent again");
    b.answer_first(Outcome::Ok);
    b.pass(1_000_000);
    assert_eq!((b.words(open), b.words(safe)), (vec!["refused"], vec!["served"]), "it never ran");
    b.engine.suspend_non_idempotent(false);
    let new = b.call(1, UNSAFE, Some("new"), Repeat::Unmarked);
    b.answer_first(Outcome::Ok);
    assert_eq!(b.words(new), ["served"]);
    assert!(b.engine.is_idle());
}
