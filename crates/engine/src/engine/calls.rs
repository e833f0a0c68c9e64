//! Accepts calls: duplicate detection, admission control and submission to the balancer. Handles disconnects
//! of clients.

use super::open_call::{OpenCall, Waiter};
use super::Engine;
use crate::answer::{Answer, Reason, Verdict};
use crate::call::{Call, Repeat, RunBody, Ticket};
use crate::duplicates::{Fingerprint, KeyDigest, KeyStatus};
use crate::output::Output;
use crate::settings::OPEN_CALL_BYTES;
use crate::version::Version;
use slatevalve::{ClassId, Effect, Event, FunctionId, Micros, Request, RequestId};
use std::sync::Arc;

/// The rules of a class that decide about acceptance.
#[derive(Clone, Copy)]
struct ClassRules {
    /// Whether the class is keyed or non-idempotent, so that a second run could do harm.
    has_side_effects: bool,
    deadline: Micros,
    /// How long the answer to a key is stored.
    retention: Micros,
}

/// An idempotency key together with the fingerprint of its call.
#[derive(Clone, Copy)]
struct CallKey {
    digest: KeyDigest,
    fingerprint: Fingerprint,
}

/// Result of duplicate detection for a call.
enum DuplicateDecision {
    /// Start a run. The key, if any, is inserted into the duplicate table.
    Run(Option<CallKey>),
    /// Join the running call with the same key.
    Join(RequestId),
    /// Return the stored answer.
    Replay(Answer),
    /// Start no run: an earlier process may have run the call. The key is inserted into the duplicate table
    /// as that of a call whose outcome is unknown.
    Unknown(CallKey),
}

/// A call that passed admission.
struct AcceptedCall {
    id: RequestId,
    call: Call,
    rules: ClassRules,
    function: FunctionId,
    version: Option<Version>,
    key: Option<KeyDigest>,
    budget: Micros,
}

impl Engine {
    /// Submits a call. Its ticket gets exactly one answer, at once or later, unless it is superseded or its
    /// client disconnects.
    pub fn call(&mut self, now: Micros, call: Call, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.statistics.calls += 1;
        let Call { ticket, class, repeat, .. } = call;
        if let Err(reason) = self.accept(call, out) {
            let may_have_run = reason == Reason::UnknownRepeat || self.may_have_run_before(class, repeat);
            let verdict = match may_have_run {
                true => Verdict::Failed(reason),
                false => Verdict::Refused(reason),
            };
            self.deliver(ticket, answer_without_run(verdict), out);
        }
    }

    /// Refuses a call that is not submitted. Its ticket gets its answer.
    pub fn refuse_unsubmitted(&mut self, now: Micros, ticket: Ticket, reason: Reason, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.statistics.calls += 1;
        self.deliver(ticket, answer_without_run(Verdict::Refused(reason)), out);
    }

    /// Whether a declined call may have run at an earlier submission of which this engine has no record, so
    /// that no answer may say that it never ran.
    fn may_have_run_before(&self, class: ClassId, repeat: Repeat) -> bool {
        let has_table = self.settings.duplicates.is_some();
        let rules = self.class_rules(class).filter(|rules| has_table && rules.has_side_effects);
        rules.is_some_and(|rules| self.may_have_been_accepted_before(repeat, rules.retention))
    }

    fn accept(&mut self, call: Call, out: &mut Vec<Output>) -> Result<(), Reason> {
        let rules = self.class_rules(call.class).ok_or(Reason::NoCapacity)?;
        let key = match self.check_duplicate(&call, rules)? {
            DuplicateDecision::Run(key) => key,
            DuplicateDecision::Join(id) => {
                self.statistics.repeats += 1;
                self.join(id, &call, out);
                return Ok(());
            }
            DuplicateDecision::Replay(answer) => {
                self.statistics.repeats += 1;
                self.deliver(call.ticket, answer, out);
                return Ok(());
            }
            DuplicateDecision::Unknown(key) => {
                self.statistics.repeats += 1;
                let answer = answer_without_run(Verdict::Failed(Reason::UnknownRepeat));
                self.keys.insert_unknown(key.digest, key.fingerprint, rules.retention);
                self.store_answer(key.digest, &answer);
                self.deliver(call.ticket, answer, out);
                return Ok(());
            }
        };
        let budget = self.admit(&call, rules)?;
        let version = call.version.clone()?;
        let function_name = version.as_ref().map_or(&call.function, |version| &version.function);
        let function = self.names.acquire(function_name).map_err(|_| Reason::InvalidFunctionName)?;
        let id = RequestId(self.next_request);
        self.next_request += 1;
        if let Some(CallKey { digest, fingerprint }) = key {
            self.keys.insert_running(digest, fingerprint, id, rules.retention);
        }
        let key = key.map(|key| key.digest);
        self.start(AcceptedCall { id, call, rules, function, version, key, budget }, out);
        Ok(())
    }

    fn class_rules(&self, class: ClassId) -> Option<ClassRules> {
        let rules = self.settings.balancer.classes.get(class.0)?;
        let policy = self.settings.classes.get(class.0);
        Some(ClassRules {
            has_side_effects: rules.effect != Effect::Idempotent,
            deadline: rules.deadline,
            retention: policy.map_or(Micros(0), |policy| policy.retention),
        })
    }

    /// Looks up the call's key in the duplicate table, if the engine has one.
    fn check_duplicate(&self, call: &Call, rules: ClassRules) -> Result<DuplicateDecision, Reason> {
        if self.settings.duplicates.is_none() {
            return Ok(DuplicateDecision::Run(None));
        }
        let Some(key) = self.call_key(call) else {
            return match rules.has_side_effects {
                true => Err(Reason::KeyMissing),
                false => Ok(DuplicateDecision::Run(None)),
            };
        };
        match self.keys.lookup(self.now, key.digest, key.fingerprint) {
            KeyStatus::Running(id) => Ok(DuplicateDecision::Join(id)),
            KeyStatus::Completed(answer) => Ok(DuplicateDecision::Replay(answer)),
            KeyStatus::Expired => Err(Reason::UnknownRepeat),
            KeyStatus::Mismatch if rules.has_side_effects => Err(Reason::KeyReused),
            // Clients may reuse their correlation data after a restart; without side effects that does no
            // harm.
            KeyStatus::Mismatch => Ok(DuplicateDecision::Run(None)),
            KeyStatus::Unknown => self.check_unknown_key(key, call.repeat, rules),
        }
    }

    fn check_unknown_key(
        &self,
        key: CallKey,
        repeat: Repeat,
        rules: ClassRules,
    ) -> Result<DuplicateDecision, Reason> {
        if rules.has_side_effects && self.may_have_been_accepted_before(repeat, rules.retention) {
            return match self.keys.is_full() {
                true => Err(Reason::UnknownRepeat),
                false => Ok(DuplicateDecision::Unknown(key)),
            };
        }
        match (self.keys.is_full(), rules.has_side_effects) {
            (false, _) => Ok(DuplicateDecision::Run(Some(key))),
            (true, false) => Ok(DuplicateDecision::Run(None)),
            (true, true) => Err(Reason::KeyTableFull),
        }
    }

    fn call_key(&self, call: &Call) -> Option<CallKey> {
        let key = call.key.as_ref()?;
        let key_space = self.settings.key_spaces.get(call.class.0).copied().unwrap_or(call.class);
        Some(CallKey {
            digest: KeyDigest::new(call.tenant, key_space, key),
            fingerprint: Fingerprint::new(&call.function, &call.payload),
        })
    }

    /// Whether a marked repeat with an unknown key may have been accepted before: so long ago that its key
    /// was removed from the table, or by a previous process of this gateway.
    fn may_have_been_accepted_before(&self, repeat: Repeat, retention: Micros) -> bool {
        match repeat {
            Repeat::Unmarked => false,
            Repeat::Marked { covered_since: None } => true,
            Repeat::Marked { covered_since: Some(since) } => {
                self.now.0.saturating_sub(since.0) >= retention.0
            }
        }
    }

    /// Checks whether a new call can be accepted now; returns the time budget that remains for it.
    fn admit(&self, call: &Call, rules: ClassRules) -> Result<Micros, Reason> {
        if self.is_stopping {
            return Err(Reason::Stopping);
        }
        if self.non_idempotent_suspended && rules.has_side_effects {
            return Err(Reason::LeaseExpired);
        }
        let reserved = self.settings.answer_margin.0.saturating_add(call.age.0.max(0));
        let budget = Micros(call.budget.0.min(rules.deadline.0).saturating_sub(reserved));
        if budget.0 <= 0 {
            return Err(Reason::BudgetTooShort);
        }
        let open_bytes = self.open_bytes + open_call_bytes(&call.payload);
        if self.open_calls.len() >= self.settings.max_open_calls || open_bytes > self.settings.max_open_bytes
        {
            return Err(Reason::TooManyOpen);
        }
        Ok(budget)
    }

    /// Opens an accepted call and submits it to the balancer.
    fn start(&mut self, accepted: AcceptedCall, out: &mut Vec<Output>) {
        let request = self.balancer_request(&accepted);
        let AcceptedCall { id, call, rules, function, version, key, budget } = accepted;
        let waiter = Waiter { ticket: call.ticket, client: call.client };
        let deadline = Micros(self.now.0.saturating_add(budget.0));
        let open_call = OpenCall {
            waiters: vec![waiter],
            body: Arc::new(run_body(call, version, rules)),
            function,
            key,
            recorded: rules.has_side_effects && self.settings.duplicates.is_some(),
            deadline,
            attempts: Vec::new(),
            answered: false,
        };
        self.open_bytes += open_call_bytes(&open_call.body.payload);
        self.tickets.insert(open_call.waiters[0].ticket, id);
        self.open_calls.insert(id, open_call);
        self.set_deadline(id, deadline);
        self.dispatch(Event::Request(request), out);
    }

    fn balancer_request(&self, accepted: &AcceptedCall) -> Request {
        let call = &accepted.call;
        let configured = self.settings.functions.get(&*call.function);
        let traits = call.traits.unwrap_or(*configured.unwrap_or(&self.settings.other_functions));
        Request {
            id: accepted.id,
            budget: accepted.budget,
            class: call.class,
            tenant: call.tenant,
            function: accepted.function,
            concurrency: traits.concurrency,
            work: traits.work,
            load_time: traits.load_time,
            memory_mb: traits.memory_mb,
            retry: call.repeat != Repeat::Unmarked,
        }
    }

    /// Adds a repeat to the running call with the same key. It supersedes the same client's earlier ticket,
    /// so that a client which reconnected gets one answer, not two.
    fn join(&mut self, id: RequestId, call: &Call, out: &mut Vec<Output>) {
        let Some(open_call) = self.open_calls.get_mut(&id) else { return };
        if let Some(earlier) = open_call.waiters.iter_mut().find(|waiter| waiter.client == call.client) {
            out.push(Output::Superseded(earlier.ticket));
            self.tickets.remove(&earlier.ticket);
            earlier.ticket = call.ticket;
        } else {
            open_call.waiters.push(Waiter { ticket: call.ticket, client: call.client });
        }
        self.tickets.insert(call.ticket, id);
    }

    /// Handles that the client of a ticket disconnected for good: the ticket gets no answer. A call without
    /// any other waiting ticket is cancelled, unless its answer will be stored: then it continues, because
    /// the client may reconnect and repeat its key, and a cancellation would turn a known outcome into an
    /// unknown one.
    pub fn client_disconnected(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<Output>) {
        self.advance_clock(now);
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(open_call) = self.open_calls.get_mut(&id) else { return };
        open_call.waiters.retain(|waiter| waiter.ticket != ticket);
        if open_call.waiters.is_empty() && !open_call.recorded {
            self.end_without_balancer(id, Verdict::Failed(Reason::ClientDisconnected), out);
        }
    }
}

/// Number of bytes that an open call with this payload counts for.
pub(super) fn open_call_bytes(payload: &[u8]) -> usize {
    payload.len() + OPEN_CALL_BYTES
}

/// The answer to a call that started no run.
fn answer_without_run(verdict: Verdict) -> Answer {
    Answer { verdict, attempts: 0, recorded: false, version: None }
}

/// The part of a call that is sent to workers.
fn run_body(call: Call, version: Option<Version>, rules: ClassRules) -> RunBody {
    let function = version.as_ref().map_or(call.function, |version| version.function.clone());
    RunBody {
        function,
        version,
        payload: call.payload,
        // Workers drop duplicates only of calls with side effects; they do not use the keys of other calls.
        key: call.key.filter(|_| rules.has_side_effects),
        class: call.class,
        request_id: call.request_id,
    }
}
