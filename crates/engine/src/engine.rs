//! The engine itself: open calls, attempts and final answers around one [`Balancer`].
//!
//! Invariants, each with a test: a ticket gets one answer, or is superseded by the same client's repeat, or was
//! said to have left; a deadline always ends a call, should the module stay silent too; an attempt that ended is
//! told to the module once; what is closed leaves nothing behind but its key's record.

use crate::answer::{Answer, Reason, Verdict};
use crate::call::{Call, ClientRef, Repeat, RunBody, Ticket, Version};
use crate::duplicates::{DuplicateLimits, DuplicateTable, Fingerprint, KeyDigest, KeyStatus};
use crate::names::{function_id, Names};
use crate::timers::Timers;
use slatevalve::{
    Action, Answer as AttemptAnswer, Balancer, ClassId, Effect, Event, FunctionId, Listing, Micros, Outcome,
    Report, Request, RequestId, Settings, WorkerId,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// What the gateway remembers of a class's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// How long a key's answer is on record after the call ended.
    pub remember: Micros,
}

/// What the settings tell of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionTraits {
    /// Calls that one loaded copy runs at a time.
    pub concurrency: usize,
    /// Expected work on a standard core.
    pub work: Option<Micros>,
    /// The usual time of a load.
    pub load_time: Option<Micros>,
    /// Memory of a loaded copy, in MB.
    pub memory_mb: f64,
}

impl Default for FunctionTraits {
    fn default() -> Self {
        FunctionTraits { concurrency: 1, work: None, load_time: None, memory_mb: 0.0 }
    }
}

/// All that the engine is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct EngineSettings {
    /// The module's settings; their classes are this engine's.
    pub module: Settings,
    /// The module's seed.
    pub seed: u64,
    /// One for each class of the module's settings, in their order.
    pub classes: Vec<ClassPolicy>,
    /// For each class, the one under which its keys are known, where that is another one: a class may get a new place when its
    /// rules change, and keeps its keys.
    pub key_spaces: Vec<ClassId>,
    /// What is known of functions, by name.
    pub functions: HashMap<String, FunctionTraits>,
    /// What holds for functions not named.
    pub other_functions: FunctionTraits,
    /// Limits of the table of keys; `None` where workers alone drop repeats: every call then begins a run, keys are
    /// passed on, and a call whose client left is left to the module.
    pub duplicates: Option<DuplicateLimits>,
    /// Time kept back from each budget for the answer's way to the client.
    pub margin: Micros,
    /// Calls open at a time.
    pub max_open: usize,
    /// Names of functions held at a time.
    pub max_functions: usize,
}

/// One attempt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptRef {
    /// The call.
    pub request: RequestId,
    /// Which attempt, from 0.
    pub attempt: usize,
}

/// How an attempt ended, as the worker wire saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// In the module's terms.
    pub outcome: Outcome,
    /// The result, for [`Outcome::Ok`].
    pub payload: Arc<[u8]>,
    /// Version or digest that ran.
    pub ran: Option<Arc<str>>,
    /// Calls of the same function that the worker held on arrival.
    pub queue_depth: Option<u64>,
    /// The load behind it failed.
    pub load_failed: bool,
    /// The worker's report.
    pub report: Option<Report>,
}

impl AttemptEnd {
    /// An end that brought nothing but its outcome.
    pub fn without_payload(outcome: Outcome) -> Self {
        let payload = Arc::from([].as_slice());
        AttemptEnd { outcome, payload, ran: None, queue_depth: None, load_failed: false, report: None }
    }
}

/// What the shell and the fronts are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send an attempt; ends in one [`Engine::attempt_ended`].
    Send {
        /// Which attempt.
        attempt: AttemptRef,
        /// To which worker.
        worker: WorkerId,
        /// What to run.
        body: Arc<RunBody>,
        /// Until the call's deadline.
        time_left: Micros,
    },
    /// Call an attempt off: it ends as cancelled, or as not sent where no byte of it was written.
    Cancel(AttemptRef),
    /// Nobody wants the call's answer any more: if no byte of the attempt has left, none is to leave, and it ends as not sent;
    /// one that began to leave runs on. This needs nobody's leave, other than [`Output::Cancel`].
    Withhold(AttemptRef),
    /// The call's deadline came: the attempt ends as timed out, or as not sent where no byte of it was written.
    Expire(AttemptRef),
    /// Order copies held; ends in one [`Engine::loaded`]. With 0 copies the worker is only asked how many stand.
    Load {
        /// Which worker.
        worker: WorkerId,
        /// Which function.
        function: FunctionId,
        /// Its name.
        name: Arc<str>,
        /// How many.
        copies: u32,
    },
    /// Have a function's idle copies unloaded; nothing is told back.
    Unload {
        /// Which worker.
        worker: WorkerId,
        /// The function's name.
        name: Arc<str>,
    },
    /// Ask a worker how it is; ends in one [`Engine::probed`].
    Probe(WorkerId),
    /// Ask for the worker list and its changes.
    Subscribe,
    /// A worker ran other content than the call's, or did not name what it ran; its answer was not passed on.
    RanOther {
        /// Which worker.
        worker: WorkerId,
        /// What was to run.
        version: Version,
        /// What it named.
        ran: Option<Arc<str>>,
    },
    /// Give a ticket its answer.
    Answer(Ticket, Answer),
    /// The same client repeated the call: this ticket gets no answer, the repeat's does.
    Superseded(Ticket),
}

/// Counts since the start, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Calls handed in.
    pub calls: u64,
    /// Of these, those that joined a running call or got a recorded answer.
    pub repeats: u64,
    /// Answers given, by verdict.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Calls that the module left without an answer past their deadline.
    pub overdue: u64,
    /// Answers from other content than the call's; none of them was passed on.
    pub ran_other: u64,
}

#[derive(Debug)]
enum Timer {
    Wake(u64),
    Deadline(RequestId),
    Overdue(RequestId),
    Key(KeyDigest),
    Stop,
}

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    sent: Micros,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
pub(crate) struct Open {
    tickets: Vec<(Ticket, ClientRef)>,
    pub(crate) body: Arc<RunBody>,
    function: FunctionId,
    key: Option<KeyDigest>,
    /// Whether its answer goes on record: its class may not repeat freely.
    pub(crate) recorded: bool,
    until: Micros,
    attempts: Vec<Attempt>,
    answered: bool,
}

impl Open {
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| !a.outcome.is_some_and(Outcome::proves_never_ran))
    }

    fn out(&self) -> impl Iterator<Item = usize> + '_ {
        self.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()).map(|(n, _)| n)
    }
}

/// See the module's documentation.
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) balancer: Balancer,
    now: Micros,
    pub(crate) next: u64,
    pub(crate) open: BTreeMap<RequestId, Open>,
    tickets: HashMap<Ticket, RequestId>,
    names: Names,
    keys: DuplicateTable,
    timers: Timers<Timer>,
    stopping: bool,
    /// See [`Engine::suspend_non_idempotent`].
    pub(crate) withheld: bool,
    /// Attempts that a call may have once all before this one are closed.
    pub(crate) looser: Option<(RequestId, usize)>,
    statistics: Statistics,
    /// Reused for the module's actions.
    actions: Vec<Action>,
}

impl Engine {
    /// An engine that knows its settings and no worker yet.
    pub fn new(settings: EngineSettings) -> Self {
        Engine {
            balancer: Balancer::new(settings.module.clone(), settings.seed),
            now: Micros(0),
            next: 1,
            open: BTreeMap::new(),
            tickets: HashMap::new(),
            names: Names::new(settings.max_functions),
            keys: DuplicateTable::new(settings.duplicates.unwrap_or_default()),
            timers: Timers::default(),
            stopping: false,
            withheld: false,
            looser: None,
            statistics: Statistics::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes a call. Its ticket gets exactly one answer, at once or later, unless it is superseded or leaves.
    pub fn call(&mut self, now: Micros, call: Call, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.statistics.calls += 1;
        let ticket = call.ticket;
        if let Err(reason) = self.take(call, out) {
            let verdict = Verdict::Refused(reason);
            let answer = Answer { verdict, attempts: 0, recorded: false, version: None };
            self.give(ticket, answer, out);
        }
    }

    fn take(&mut self, call: Call, out: &mut Vec<Output>) -> Result<(), Reason> {
        let class = self.settings.module.classes.get(call.class.0).ok_or(Reason::NoCapacity)?;
        let (safe, deadline) = (class.effect == Effect::Safe, class.deadline);
        let remember = self.settings.classes.get(call.class.0).map_or(Micros(0), |c| c.remember);
        let remembers = self.settings.duplicates.is_some();
        let own_key = call.key.as_ref().filter(|_| remembers);
        let mut key = own_key.map(|k| {
            let fingerprint = Fingerprint::new(&call.function, &call.payload);
            let space = self.settings.key_spaces.get(call.class.0).copied().unwrap_or(call.class);
            (KeyDigest::new(call.tenant, space, k), fingerprint)
        });
        if remembers && key.is_none() && !safe {
            return Err(Reason::KeyMissing);
        }
        if let Some((digest, fingerprint)) = key {
            match self.keys.lookup(self.now, digest, fingerprint) {
                KeyStatus::Running(id) => {
                    self.statistics.repeats += 1;
                    self.join(id, call, out);
                    return Ok(());
                }
                KeyStatus::Completed(answer) => {
                    self.statistics.repeats += 1;
                    self.give(call.ticket, answer, out);
                    return Ok(());
                }
                KeyStatus::Forgotten => return Err(Reason::UnknownRepeat),
                // Clients may count their correlation data anew; for a safe call that harms nobody.
                KeyStatus::Mismatch if safe => key = None,
                KeyStatus::Mismatch => return Err(Reason::KeyReused),
                KeyStatus::Unknown if !safe && self.may_be_forgotten(call.repeat, remember) => {
                    return Err(Reason::UnknownRepeat)
                }
                KeyStatus::Unknown if self.keys.is_full() && safe => key = None,
                KeyStatus::Unknown if self.keys.is_full() => return Err(Reason::KeysFull),
                KeyStatus::Unknown => {}
            }
        }
        if self.stopping {
            return Err(Reason::Stopping);
        }
        if self.withheld && !safe {
            return Err(Reason::NoRight);
        }
        let kept_back = self.settings.margin.0.saturating_add(call.age.0.max(0));
        let budget = Micros(call.budget.0.min(deadline.0).saturating_sub(kept_back));
        if budget.0 <= 0 {
            return Err(Reason::NoTime);
        }
        if self.open.len() >= self.settings.max_open {
            return Err(Reason::TooManyOpen);
        }
        let version = call.version.clone()?;
        let run_name = version.as_ref().map_or(&call.function, |v| &v.function);
        let function = self.names.acquire(run_name).map_err(|_| Reason::FunctionName)?;
        let id = RequestId(self.next);
        self.next += 1;
        if let Some((key, fingerprint)) = key {
            self.keys.insert_running(key, fingerprint, id, remember);
        }
        self.begin(id, call, (function, version), key.map(|k| k.0), budget, out);
        Ok(())
    }

    /// Whether a marked repeat with an unknown key could have been taken so long ago that it is forgotten, or by
    /// a gateway before this one.
    fn may_be_forgotten(&self, repeat: Repeat, remember: Micros) -> bool {
        match repeat {
            Repeat::Unmarked => false,
            Repeat::Marked { covered_since: None } => true,
            Repeat::Marked { covered_since: Some(since) } => self.now.0.saturating_sub(since.0) >= remember.0,
        }
    }

    fn begin(
        &mut self,
        id: RequestId,
        call: Call,
        (function, version): (FunctionId, Option<Version>),
        key: Option<KeyDigest>,
        budget: Micros,
        out: &mut Vec<Output>,
    ) {
        let stated = self.settings.functions.get(&*call.function).unwrap_or(&self.settings.other_functions);
        let traits = call.traits.unwrap_or(*stated);
        let request = Request {
            id,
            budget,
            class: call.class,
            tenant: call.tenant,
            function,
            concurrency: traits.concurrency,
            work: traits.work,
            load_time: traits.load_time,
            memory_mb: traits.memory_mb,
            retry: call.repeat != Repeat::Unmarked,
        };
        let until = Micros(self.now.0.saturating_add(budget.0));
        let class = self.settings.module.classes.get(call.class.0);
        let effects = class.is_some_and(|c| c.effect != Effect::Safe);
        let recorded = effects && self.settings.duplicates.is_some();
        // Workers drop repeats of keyed and unsafe calls; a safe one's key is only ours.
        let key_sent = call.key.filter(|_| effects);
        let name = version.as_ref().map_or(call.function, |v| v.function.clone());
        let (payload, class, request_id) = (call.payload, call.class, call.request_id);
        let body = RunBody { function: name, version, payload, key: key_sent, class, request_id };
        let open = Open {
            tickets: vec![(call.ticket, call.client)],
            body: Arc::new(body),
            function,
            key,
            recorded,
            until,
            attempts: Vec::new(),
            answered: false,
        };
        self.open.insert(id, open);
        self.tickets.insert(call.ticket, id);
        self.timers.set(until, Timer::Deadline(id));
        let overdue = until.0.saturating_add(self.settings.module.rules.answer_slack.0);
        self.timers.set(Micros(overdue), Timer::Overdue(id));
        self.tell(Event::Request(request), out);
    }

    /// A repeat of a running call waits for the same answer. The same client's earlier ticket gives way to it, so
    /// that a client which reconnected gets one answer, not two.
    fn join(&mut self, id: RequestId, call: Call, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(earlier) = open.tickets.iter_mut().find(|t| t.1 == call.client) {
            out.push(Output::Superseded(earlier.0));
            self.tickets.remove(&earlier.0);
            earlier.0 = call.ticket;
        } else {
            open.tickets.push((call.ticket, call.client));
        }
        self.tickets.insert(call.ticket, id);
    }

    /// A ticket's client left for good: nothing is owed to it. A safe call that nobody waits for any more is
    /// called off. One whose answer goes on record runs on: its key's owner may come back for it, and calling it
    /// off would turn a known end into an unknown one.
    pub fn client_disconnected(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        open.tickets.retain(|t| t.0 != ticket);
        if open.tickets.is_empty() && !open.recorded {
            self.finish(id, Verdict::Failed(Reason::ClientLeft), out);
            self.tell(Event::ClientDisconnected { id }, out);
            self.sweep(id);
        }
    }

    /// An attempt ended. Ends of attempts that are over already are passed by.
    pub fn attempt_ended(&mut self, now: Micros, of: AttemptRef, mut end: AttemptEnd, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(open) = self.open.get_mut(&of.request) else { return };
        let Some(attempt) = open.attempts.get_mut(of.attempt).filter(|a| a.outcome.is_none()) else { return };
        let (worker, sent) = (attempt.worker, attempt.sent);
        // What ran must be what was asked for. Other content is no result of this call, and something did run.
        if let Some(version) = open.body.version.as_ref().filter(|_| end.outcome == Outcome::Ok) {
            if end.ran.as_ref() != Some(&version.digest) {
                self.statistics.ran_other += 1;
                let version = version.clone();
                out.push(Output::RanOther { worker, version, ran: end.ran.take() });
                end = AttemptEnd { report: end.report, ..AttemptEnd::without_payload(Outcome::Error) };
            }
        }
        attempt.outcome = Some(end.outcome);
        if end.outcome == Outcome::Ok {
            self.finish(of.request, Verdict::Served { payload: end.payload, ran: end.ran }, out);
        }
        let answer = AttemptAnswer {
            id: of.request,
            attempt: of.attempt,
            worker,
            outcome: end.outcome,
            closed: self.open.get(&of.request).is_none_or(|o| o.answered),
            latency: Micros(self.now.0.saturating_sub(sent.0)),
            queue_depth: end.queue_depth,
            load_failed: end.load_failed,
            report: end.report,
        };
        self.tell(Event::Answer(answer), out);
        self.sweep(of.request);
    }

    /// The worker list said something.
    pub fn listed(&mut self, now: Micros, listing: Listing, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.tell(Event::WorkersListed(listing), out);
    }

    /// The number of routers is another one now, this one included.
    pub fn routers(&mut self, now: Micros, routers: usize, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.tell(Event::RouterCountChanged(routers), out);
    }

    /// A probe ended.
    pub fn probed(
        &mut self,
        now: Micros,
        worker: WorkerId,
        outcome: Outcome,
        latency: Micros,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        self.now = self.now.max(now);
        self.tell(Event::ProbeCompleted { worker, outcome, latency, report }, out);
    }

    /// An order to load ended.
    #[allow(clippy::too_many_arguments)] // the module's event, field by field
    pub fn loaded(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        outcome: Outcome,
        copies: u32,
        latency: Micros,
        out: &mut Vec<Output>,
    ) {
        self.now = self.now.max(now);
        self.tell(Event::LoadCompleted { worker, function, outcome, copies, latency }, out);
    }

    /// Calls of one function are about to take over from those of another: the module may order up to `most` copies
    /// ahead. Gives the orders that it made.
    pub fn expect(
        &mut self,
        now: Micros,
        name: &Arc<str>,
        like: &str,
        most: usize,
        out: &mut Vec<Output>,
    ) -> usize {
        self.now = self.now.max(now);
        // Its name must be known for the orders that come back, also before its first call.
        let Ok(function) = self.names.acquire(name) else { return 0 };
        self.names.release(function);
        let before = out.len();
        self.tell(Event::LoadExpected { function, like: function_id(like), most }, out);
        out[before..]
            .iter()
            .filter(|o| matches!(o, Output::Load { function: f, .. } if *f == function))
            .count()
    }

    /// On how many workers copies of a function are known to stand.
    pub fn loaded_replicas(&self, name: &str) -> usize {
        self.balancer.loaded_replicas(function_id(name))
    }

    /// How many workers serve a function; 0 for one without calls.
    pub fn workers_serving(&self, name: &str) -> usize {
        self.balancer.workers_serving(function_id(name))
    }

    /// When [`Engine::advance`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Lets time pass: fires what is due.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.loosen();
        // As many as stood at the start: whatever is set meanwhile, even for now, waits for the next turn.
        for _ in 0..self.timers.len() {
            let Some(timer) = self.timers.pop(self.now) else { return };
            match timer {
                Timer::Wake(token) => self.tell(Event::Wake { token }, out),
                Timer::Deadline(id) => {
                    let attempts = self.open.get(&id).into_iter().flat_map(|o| o.out());
                    out.extend(attempts.map(|attempt| Output::Expire(AttemptRef { request: id, attempt })));
                }
                Timer::Overdue(id) => self.overdue(id, out),
                Timer::Key(key) => {
                    if let Some(at) = self.keys.expire(self.now, key) {
                        self.timers.set(at, Timer::Key(key));
                    }
                }
                Timer::Stop => self.end_all(out),
            }
        }
    }

    /// Takes no new call from now on; what is open at `until` is refused, or failed where it may have run.
    pub fn stop(&mut self, now: Micros, until: Micros) {
        self.now = self.now.max(now);
        self.stopping = true;
        self.timers.set(until, Timer::Stop);
    }

    /// Calls that have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.answered).count()
    }

    /// Whether nothing is open, neither calls nor attempts of calls that ended.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.tickets.is_empty()
    }

    /// Keys that are remembered.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Counts since the start.
    pub fn statistics(&self) -> Statistics {
        self.statistics
    }

    /// The module is to have ended the call by now. That it did not is a fault of ours, and no client is to wait
    /// for ever because of it.
    fn overdue(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self.open.get(&id).is_some_and(|o| !o.answered) {
            self.statistics.overdue += 1;
            self.abandon(id, Reason::NoCapacity, out);
        }
    }

    fn end_all(&mut self, out: &mut Vec<Output>) {
        let unanswered: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| !o.answered).map(|(id, _)| *id).collect();
        for id in unanswered {
            self.abandon(id, Reason::Stopping, out);
        }
    }

    /// Ends a call without the module, as refused only where nothing of it can have run.
    fn abandon(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Output>) {
        let Some(open) = self.open.get(&id) else { return };
        let verdict = match open.may_have_run() {
            true => Verdict::Failed(Reason::NoResult),
            false => Verdict::Refused(reason),
        };
        self.finish(id, verdict, out);
        self.tell(Event::ClientDisconnected { id }, out);
        self.sweep(id);
    }

    /// Gives a call its final answer, once, and settles its key.
    fn finish(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let unwanted = open.out().map(|attempt| Output::Withhold(AttemptRef { request: id, attempt }));
        out.extend(unwanted);
        let (attempts, version) = (open.attempts.len(), open.body.version.clone());
        let answer = Answer { verdict, attempts, recorded: false, version };
        let tickets = std::mem::take(&mut open.tickets);
        if let Some(key) = open.key {
            // A key of which nothing ran is as good as new; a safe call's needs no record.
            if open.recorded && (open.may_have_run() || matches!(answer.verdict, Verdict::Served { .. })) {
                if let Some(at) = self.keys.record_answer(self.now, key, answer.clone()) {
                    self.timers.set(at, Timer::Key(key));
                }
            } else {
                self.keys.release(key);
            }
        }
        for (ticket, _) in tickets {
            self.tickets.remove(&ticket);
            self.give(ticket, answer.clone(), out);
        }
    }

    fn give(&mut self, ticket: Ticket, answer: Answer, out: &mut Vec<Output>) {
        let counts = &mut self.statistics;
        *match answer.verdict {
            Verdict::Served { .. } => &mut counts.served,
            Verdict::Refused(_) => &mut counts.refused,
            Verdict::Failed(_) => &mut counts.failed,
        } += 1;
        out.push(Output::Answer(ticket, answer));
    }

    /// Forgets a call that is answered and has no attempt out.
    fn sweep(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.answered && o.out().next().is_none()) {
            if let Some(open) = self.open.remove(&id) {
                self.names.release(open.function);
            }
        }
    }

    /// Tells the module of an event and carries out what it wants; what cannot be done at all is told at once.
    fn tell(&mut self, event: Event, out: &mut Vec<Output>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(action, out));
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, action: Action, out: &mut Vec<Output>) -> Option<Event> {
        match action {
            Action::Send { id, worker, timeout: _ } => return self.send(id, worker, out),
            // Advice on when to come back has no place in the answers yet; the module gives none.
            Action::Refuse { id, retry_after: _ } => {
                let reason = if self.is_suspended(id) { Reason::NoRight } else { Reason::NoCapacity };
                self.finish(id, Verdict::Refused(reason), out);
                self.sweep(id);
            }
            Action::Fail { id } => {
                self.finish(id, Verdict::Failed(Reason::NoResult), out);
                self.sweep(id);
            }
            Action::Cancel { id, attempt } => out.push(Output::Cancel(AttemptRef { request: id, attempt })),
            Action::Load { worker, function, copies } => match self.names.get(function) {
                Some(name) => out.push(Output::Load { worker, function, name, copies }),
                None => {
                    let (outcome, latency) = (Outcome::NotSent, Micros(0));
                    return Some(Event::LoadCompleted { worker, function, outcome, copies: 0, latency });
                }
            },
            Action::Drop { worker, function } => {
                let name = self.names.get(function);
                out.extend(name.map(|name| Output::Unload { worker, name }));
            }
            Action::Probe { worker } => out.push(Output::Probe(worker)),
            Action::Subscribe => out.push(Output::Subscribe),
            Action::Wake { at, token } => self.timers.set(at, Timer::Wake(token)),
        }
        None
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Output>) -> Option<Event> {
        let not_sent = |attempt, closed| {
            Some(Event::Answer(AttemptAnswer {
                id,
                attempt,
                worker,
                outcome: Outcome::NotSent,
                closed,
                latency: Micros(0),
                queue_depth: None,
                load_failed: false,
                report: None,
            }))
        };
        let now = self.now;
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return not_sent(0, true) };
        let attempt = AttemptRef { request: id, attempt: open.attempts.len() };
        let withheld = self.withheld && open.recorded;
        let outcome = withheld.then_some(Outcome::NotSent);
        open.attempts.push(Attempt { worker, sent: now, outcome });
        if withheld {
            return not_sent(attempt.attempt, false);
        }
        self.statistics.attempts += 1;
        let time_left = Micros(open.until.0.saturating_sub(now.0));
        out.push(Output::Send { attempt, worker, body: open.body.clone(), time_left });
        None
    }

    /// The class ids that the settings know, for fronts that check their routes.
    pub fn classes(&self) -> impl Iterator<Item = ClassId> {
        (0..self.settings.module.classes.len()).map(ClassId)
    }
}
