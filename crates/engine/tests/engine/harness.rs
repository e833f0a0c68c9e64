//! A test harness in place of the event loop: the engine, its clock, and the attempts that are in flight.

use slatevalve::{
    Class, ClassId, Effect, Group, Limits, Listing, Loading, Micros, Outcome, Scope, Settings, WorkerEntry,
};
use slatevalve_engine::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub(crate) const SAFE: ClassId = ClassId(0);
pub(crate) const KEYED: ClassId = ClassId(1);
pub(crate) const UNSAFE: ClassId = ClassId(2);

/// An engine, its clock and its outputs.
pub(crate) struct Harness {
    pub(crate) engine: Engine,
    pub(crate) now: Micros,
    pub(crate) out: Vec<Output>,
    pub(crate) next: u64,
    pub(crate) answers: BTreeMap<Ticket, Vec<Answer>>,
    pub(crate) superseded: BTreeSet<Ticket>,
    /// Attempts in flight.
    pub(crate) waiting: Vec<(AttemptRef, Arc<RunBody>)>,
    pub(crate) sent: Vec<Arc<RunBody>>,
    /// Outcome of each attempt of a non-idempotent call, by key, since the start of the engine.
    pub(crate) charges: HashMap<Arc<[u8]>, BTreeMap<AttemptRef, Option<Outcome>>>,
}

pub(crate) fn settings(retention: Micros) -> EngineSettings {
    let class = |effect| Class { effect, deadline: Micros(1_000_000), ..Class::default() };
    let keyed = Effect::IdempotentWithKey { group: Group::All, memory: Micros(5_000_000) };
    EngineSettings {
        balancer: Settings {
            classes: vec![class(Effect::Idempotent), class(keyed), class(Effect::NonIdempotent)],
            limits: Limits { probes: false, ..Limits::default() },
            loading: Loading { on_request: true, orders: true, ..Loading::default() },
            ..Settings::default()
        },
        classes: vec![ClassPolicy { retention }; 3],
        duplicates: Some(DuplicateLimits { keys: 64, ..DuplicateLimits::default() }),
        answer_margin: Micros(10_000),
        max_open_calls: 32,
        max_function_names: 16,
        ..EngineSettings::default()
    }
}

/// A call of the function `f` by client 1 without a key, which is no repeat.
pub(crate) fn new_call(ticket: Ticket, class: ClassId) -> Call {
    Call {
        ticket,
        client: ClientRef(1),
        class,
        tenant: None,
        function: "f".into(),
        version: Ok(None),
        traits: None,
        request_id: None,
        key: None,
        payload: Arc::from(&b"p"[..]),
        budget: Micros(1_000_000),
        age: Micros(0),
        repeat: Repeat::Unmarked,
    }
}

impl Harness {
    pub(crate) fn new() -> Self {
        Harness::with_retention(Micros(2_000_000))
    }

    pub(crate) fn with_retention(retention: Micros) -> Self {
        let mut harness = Harness {
            engine: Engine::new(settings(retention)),
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
        harness.engine.workers_listed(harness.now, listing, &mut harness.out);
        harness
    }

    pub(crate) fn call(&mut self, client: u64, class: ClassId, key: Option<&str>, repeat: Repeat) -> Ticket {
        self.next += 1;
        let call = Call {
            client: ClientRef(client),
            key: key.map(|k| k.as_bytes().into()),
            repeat,
            ..new_call(Ticket(self.next), class)
        };
        self.engine.call(self.now, call, &mut self.out);
        self.drain_outputs();
        Ticket(self.next)
    }

    /// Executes the outputs: attempts that are cancelled or expire end so at once.
    pub(crate) fn drain_outputs(&mut self) {
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

    /// Asserts that an attempt of a non-idempotent call is sent only if no earlier one can have run.
    pub(crate) fn note_charge(&mut self, attempt: AttemptRef, body: &RunBody) {
        if body.class == UNSAFE {
            let key = body.key.clone().expect("a charge without a key was sent");
            let earlier = self.charges.entry(key).or_default();
            let safe = earlier.values().all(|o| o.is_some_and(Outcome::proves_not_run));
            assert!(safe, "{attempt:?} was sent after {earlier:?}");
            earlier.insert(attempt, None);
        }
    }

    /// Ends an attempt, which may be unknown to the engine.
    pub(crate) fn end(&mut self, attempt: AttemptRef, outcome: Outcome) {
        for ends in self.charges.values_mut() {
            ends.entry(attempt).and_modify(|end| *end = end.or(Some(outcome)));
        }
        self.waiting.retain(|(a, _)| *a != attempt);
        self.engine.attempt_completed(self.now, attempt, AttemptEnd::without_payload(outcome), &mut self.out);
    }

    /// Ends the attempt that is in flight for longest, if any.
    pub(crate) fn end_first(&mut self, outcome: Outcome) {
        if let Some((attempt, _)) = self.waiting.first().cloned() {
            self.end(attempt, outcome);
            self.drain_outputs();
        }
    }

    /// Lets time pass and fires the timers that become due.
    pub(crate) fn advance_by(&mut self, micros: i64) {
        let until = Micros(self.now.0 + micros);
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.advance(self.now, &mut self.out);
            self.drain_outputs();
        }
        self.now = until;
    }

    pub(crate) fn verdicts(&self, ticket: Ticket) -> Vec<&'static str> {
        self.answers.get(&ticket).into_iter().flatten().map(|a| a.verdict.as_str()).collect()
    }

    pub(crate) fn reason(&self, ticket: Ticket) -> Option<Reason> {
        self.answers.get(&ticket)?.first()?.verdict.reason()
    }
}
