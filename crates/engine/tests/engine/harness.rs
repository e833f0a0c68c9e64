//! Test harness that replaces the event loop: runs the engine with a simulated clock and tracks attempts in
//! flight.

use slatevalve::{
    Class, ClassId, Effect, Group, Limits, Listing, Loading, Micros, Outcome, Scope, Settings, WorkerEntry,
};
use slatevalve_engine::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub(crate) const SAFE: ClassId = ClassId(0);
pub(crate) const KEYED: ClassId = ClassId(1);
pub(crate) const UNSAFE: ClassId = ClassId(2);

/// An engine with a simulated clock, and what it has put out.
pub(crate) struct Harness {
    pub(crate) engine: Engine,
    pub(crate) now: Micros,
    pub(crate) out: Vec<Output>,
    /// Number of the last ticket; tickets are numbered from 1.
    pub(crate) last_ticket: u64,
    pub(crate) answers: BTreeMap<Ticket, Vec<Answer>>,
    pub(crate) superseded: BTreeSet<Ticket>,
    /// Attempts in flight, in the order in which they were sent.
    pub(crate) in_flight: Vec<(AttemptRef, Arc<RunBody>)>,
    /// Bodies of all attempts that were sent.
    pub(crate) sent: Vec<Arc<RunBody>>,
    /// Attempts of non-idempotent calls by key, with their outcomes; `None` while in flight.
    pub(crate) non_idempotent_attempts: HashMap<Arc<[u8]>, BTreeMap<AttemptRef, Option<Outcome>>>,
}

pub(crate) fn settings(retention: Micros) -> EngineSettings {
    let class = |effect| Class { effect, deadline: Micros(1_000_000), ..Class::default() };
    let keyed = Effect::IdempotentWithKey { group: Group::All, memory: Micros(5_000_000) };
    EngineSettings {
        balancer: Settings {
            classes: vec![class(Effect::Idempotent), class(keyed), class(Effect::NonIdempotent)],
            limits: Limits { probes: false, ..Limits::default() },
            loading: Loading { on_request: true, load_requests: true, ..Loading::default() },
            ..Settings::default()
        },
        classes: vec![ClassPolicy { retention }; 3],
        duplicates: Some(DuplicateLimits { keys: 64, ..DuplicateLimits::default() }),
        answer_margin: Micros(10_000),
        max_open_calls: 32,
        max_open_bytes: usize::MAX,
        max_function_names: 16,
        ..EngineSettings::default()
    }
}

/// Returns a call of the function `f` by client 1, without a key and not marked as a repeat.
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
        Harness::with_settings(settings(retention))
    }

    pub(crate) fn with_settings(settings: EngineSettings) -> Self {
        let mut harness = Harness {
            engine: Engine::new(settings),
            now: Micros(0),
            out: Vec::new(),
            last_ticket: 0,
            answers: BTreeMap::new(),
            superseded: BTreeSet::new(),
            in_flight: Vec::new(),
            sent: Vec::new(),
            non_idempotent_attempts: HashMap::new(),
        };
        let entries = ["a", "b"].map(|n| WorkerEntry { id: worker_id(n), ..WorkerEntry::default() });
        let listing = Listing { scope: Scope::Full, entries: entries.into() };
        harness.engine.workers_listed(harness.now, listing, &mut harness.out);
        harness
    }

    pub(crate) fn call(&mut self, client: u64, class: ClassId, key: Option<&str>, repeat: Repeat) -> Ticket {
        self.last_ticket += 1;
        let call = Call {
            client: ClientRef(client),
            key: key.map(|k| k.as_bytes().into()),
            repeat,
            ..new_call(Ticket(self.last_ticket), class)
        };
        self.engine.call(self.now, call, &mut self.out);
        self.drain_outputs();
        Ticket(self.last_ticket)
    }

    /// Executes the outputs. Cancelled and expired attempts end at once with that outcome.
    pub(crate) fn drain_outputs(&mut self) {
        while !self.out.is_empty() {
            for output in std::mem::take(&mut self.out) {
                match output {
                    Output::Send { attempt, body, .. } => {
                        self.sent.push(body.clone());
                        self.record_non_idempotent_attempt(attempt, &body);
                        self.in_flight.push((attempt, body));
                    }
                    Output::Cancel(attempt) => self.end(attempt, Outcome::Cancelled),
                    Output::Expire(attempt) => self.end(attempt, Outcome::TimedOut),
                    Output::Answer(ticket, answer) => self.answers.entry(ticket).or_default().push(answer),
                    Output::Superseded(ticket) => {
                        assert!(self.superseded.insert(ticket), "{ticket:?} was superseded twice");
                    }
                    _ => {}
                }
            }
        }
    }

    /// Records an attempt; asserts that one of a non-idempotent call is sent only if no earlier one can have
    /// run.
    pub(crate) fn record_non_idempotent_attempt(&mut self, attempt: AttemptRef, body: &RunBody) {
        if body.class == UNSAFE {
            let key = body.key.clone().expect("a non-idempotent call was sent without a key");
            let earlier = self.non_idempotent_attempts.entry(key).or_default();
            let none_ran = earlier.values().all(|o| o.is_some_and(Outcome::proves_not_run));
            assert!(none_ran, "{attempt:?} was sent although an earlier attempt may have run: {earlier:?}");
            earlier.insert(attempt, None);
        }
    }

    /// Ends an attempt, which may be unknown to the engine.
    pub(crate) fn end(&mut self, attempt: AttemptRef, outcome: Outcome) {
        for attempts in self.non_idempotent_attempts.values_mut() {
            attempts.entry(attempt).and_modify(|recorded| *recorded = recorded.or(Some(outcome)));
        }
        self.in_flight.retain(|(a, _)| *a != attempt);
        self.engine.attempt_completed(self.now, attempt, AttemptEnd::without_payload(outcome), &mut self.out);
    }

    /// Ends the attempt that has been in flight longest, if any.
    pub(crate) fn end_oldest(&mut self, outcome: Outcome) {
        if let Some((attempt, _)) = self.in_flight.first().cloned() {
            self.end(attempt, outcome);
            self.drain_outputs();
        }
    }

    /// Advances the clock and fires the timers that become due.
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
