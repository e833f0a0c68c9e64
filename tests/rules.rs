//! Checks arbitrary histories of events against the rules, independently of the balancer's implementation.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use slatevalve::*;
use std::collections::BTreeMap;

const DRAIN_GRACE: i64 = 250_000;
const ANSWER_SLACK: i64 = 8_000;
const ATTEMPTS_MAX: usize = 3;
const QUOTA_WINDOW: i64 = 2_000_000;
const QUOTA_FREE: f64 = 2.0;
const QUOTA_SHARE: f64 = 0.5;

#[derive(Clone)]
struct CheckedAttempt {
    worker: u64,
    cell: u64,
    sent_at: i64,
    /// Start of the idempotency key's lifetime.
    key_sent_at: i64,
    outcome: Option<Outcome>,
}

struct CheckedRequest {
    class: usize,
    deadline: i64,
    attempts: Vec<CheckedAttempt>,
    is_closed: bool,
}

/// Checks each action against the rules, without knowledge of the balancer's state.
struct Checker {
    hedged_requests: bool,
    has_load_quota: bool,
    requests: BTreeMap<u64, CheckedRequest>,
    /// By worker: its cell, and when it began to drain or was removed.
    workers: BTreeMap<u64, (u64, Option<i64>)>,
    accepted_at: Vec<i64>,
    /// Times of the load requests.
    loads: Vec<i64>,
    /// Worker and function of each load request in flight.
    pending_loads: Vec<(u64, u64)>,
    /// Workers with a probe in flight.
    probes: Vec<u64>,
}

impl Checker {
    fn check_worker_accepts(&self, worker: u64, now: i64) -> Result<u64, String> {
        let (cell, stop) = self.workers.get(&worker).ok_or("worker: never listed")?;
        if stop.is_some_and(|t| now > t + DRAIN_GRACE) {
            return Err(format!("drain: worker {worker} was used after the drain grace"));
        }
        Ok(*cell)
    }

    fn check(&mut self, now: i64, action: &Action) -> Result<(), String> {
        match action {
            Action::Send { id, worker, .. } => {
                let cell = self.check_worker_accepts(worker.0, now)?;
                let (hedged_requests, a) =
                    (self.hedged_requests, self.requests.get_mut(&id.0).ok_or("request: never received")?);
                if a.is_closed {
                    return Err("lost: sent after the final answer".into());
                }
                if a.attempts.len() >= ATTEMPTS_MAX {
                    return Err("limit: too many attempts".into());
                }
                if !hedged_requests && a.attempts.iter().any(|t| t.outcome.is_none()) {
                    return Err("limit: two attempts in flight".into());
                }
                for t in a.attempts.iter().filter(|t| !t.outcome.is_some_and(proves_not_executed)) {
                    let is_same_key = t.cell == cell && now - t.key_sent_at < 1_000_000;
                    if a.class == 2 || (a.class == 1 && !is_same_key) {
                        return Err("effect: sent again after an attempt that could have run".into());
                    }
                }
                let ran = a.attempts.iter().filter(|t| !t.outcome.is_some_and(proves_not_executed));
                let key_sent_at = ran.map(|t| t.key_sent_at).min().unwrap_or(now);
                a.attempts.push(CheckedAttempt {
                    worker: worker.0,
                    cell,
                    sent_at: now,
                    key_sent_at,
                    outcome: None,
                });
            }
            Action::Refuse { id, .. } => {
                let a = self.requests.get_mut(&id.0).ok_or("request: never received")?;
                let ran = a.attempts.iter().any(|t| !t.outcome.is_some_and(proves_not_executed));
                if a.is_closed {
                    return Err("lost: two final answers".into());
                }
                if a.class > 0 && ran {
                    return Err("effect: refused although an attempt could have run".into());
                }
                a.is_closed = true;
            }
            Action::Fail { id } => {
                let a = self.requests.get_mut(&id.0).ok_or("request: never received")?;
                if std::mem::replace(&mut a.is_closed, true) {
                    return Err("lost: two final answers".into());
                }
            }
            Action::Cancel { id, attempt } => {
                let a = self.requests.get(&id.0).ok_or("request: never received")?;
                a.attempts.get(*attempt).ok_or("cancel: attempt was never sent")?;
            }
            Action::Load { worker, function, copies } => {
                self.check_worker_accepts(worker.0, now)?;
                self.loads.push(now);
                let count = |v: &[i64]| v.iter().filter(|t| now - **t < QUOTA_WINDOW).count() as f64;
                if self.has_load_quota
                    && *copies > 0
                    && count(&self.loads) > QUOTA_FREE + QUOTA_SHARE * count(&self.accepted_at)
                {
                    return Err("loads: over the quota".into());
                }
                if self.pending_loads.contains(&(worker.0, function.0)) {
                    return Err("pending: second load request for a function and worker".into());
                }
                self.pending_loads.push((worker.0, function.0));
            }
            Action::Probe { worker } => self.probes.push(worker.0),
            Action::Wake { at, .. } if at.0 <= now => return Err("wake: not in the future".into()),
            Action::Drop { .. } | Action::Subscribe | Action::Wake { .. } => {}
        }
        Ok(())
    }

    fn check_deadlines(&self, now: i64) -> Result<(), String> {
        match self.requests.iter().find(|(_, a)| !a.is_closed && now > a.deadline + ANSWER_SLACK) {
            Some((id, _)) => {
                Err(format!("lost: request {id} has no answer within the slack after its deadline"))
            }
            None => Ok(()),
        }
    }
}

fn proves_not_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::Miss | Outcome::ConnectFailed | Outcome::NotSent)
}

struct World {
    balancer: Balancer,
    checker: Checker,
    now: i64,
    wakes: Vec<(i64, u64)>,
    log: Vec<Action>,
    next_request: u64,
}

impl World {
    fn new(shape: u8) -> Self {
        let keyed = Effect::IdempotentWithKey { group: Group::Cell, memory: Micros(1_000_000) };
        let class = |effect| Class { effect, ..Class::default() };
        let (hedged_requests, has_load_quota) = (shape & 1 == 0, shape & 2 == 0);
        let settings = Settings {
            routers: 3,
            classes: vec![class(Effect::Idempotent), class(keyed), class(Effect::NonIdempotent)],
            tenants: vec![Tenant { quota_per_s: 3.0 }],
            weights: Weights::Size,
            reports: if shape & 8 == 0 { LoadReportSource::Probes } else { LoadReportSource::None },
            loading: Loading {
                on_request: shape & 4 == 0,
                load_requests: true,
                idle_retention: Micros(3_000_000),
                load_timeout: Micros(5_000_000),
                load_quota_window: Micros(if has_load_quota { QUOTA_WINDOW } else { 0 }),
                load_quota_free: QUOTA_FREE,
                load_quota_share: QUOTA_SHARE,
                ..Loading::default()
            },
            limits: Limits { hedged_requests, max_attempts: ATTEMPTS_MAX, ..Limits::default() },
            rules: Rules {
                answer_slack: Micros(ANSWER_SLACK),
                drain_grace: Micros(DRAIN_GRACE),
                overload_multiple: 3.0,
                ..Rules::default()
            },
            ..Settings::default()
        };
        let checker = Checker {
            hedged_requests,
            has_load_quota,
            requests: BTreeMap::new(),
            workers: BTreeMap::new(),
            accepted_at: Vec::new(),
            loads: Vec::new(),
            pending_loads: Vec::new(),
            probes: Vec::new(),
        };
        let balancer = Balancer::new(settings, 5);
        World { balancer, checker, now: 1_000, wakes: Vec::new(), log: Vec::new(), next_request: 1 }
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        let mut out = Vec::new();
        self.balancer.handle(Micros(self.now), event, &mut out);
        for a in &out {
            self.checker.check(self.now, a)?;
            if let Action::Wake { at, token } = a {
                self.wakes.push((at.0, *token));
            }
        }
        self.log.extend(out);
        Ok(())
    }

    /// Lets time pass: timers expire, and attempts in flight at the deadline of their request time out.
    fn pass(&mut self, by: i64) -> Result<(), String> {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + 2_000);
            let (now, wakes) = (self.now, std::mem::take(&mut self.wakes));
            let (due, later): (Vec<_>, Vec<_>) = wakes.into_iter().partition(|w| w.0 <= now);
            self.wakes = later;
            for (_, token) in due {
                self.handle_event(Event::Wake { token })?;
            }
            let overdue = self.checker.requests.iter().filter(|(_, a)| now >= a.deadline).map(|(id, _)| *id);
            for id in overdue.collect::<Vec<_>>() {
                for n in 0..self.checker.requests[&id].attempts.len() {
                    self.complete_attempt(id, n, Outcome::TimedOut)?;
                }
            }
            self.checker.check_deadlines(self.now)?;
        }
        Ok(())
    }

    fn complete_attempt(&mut self, id: u64, n: usize, outcome: Outcome) -> Result<(), String> {
        let Some(a) = self.checker.requests.get_mut(&id) else { return Ok(()) };
        let Some(t) = a.attempts.get_mut(n).filter(|t| t.outcome.is_none()) else { return Ok(()) };
        t.outcome = Some(outcome);
        let (worker, latency) = (WorkerId(t.worker), Micros(self.now - t.sent_at));
        a.is_closed |= outcome == Outcome::Ok;
        let closed = a.is_closed;
        let id = RequestId(id);
        self.handle_event(Event::Answer(Answer {
            id,
            attempt: n,
            worker,
            outcome,
            closed,
            latency,
            queue_depth: None,
            load_failed: false,
            report: Some(Report { queue: Some(1.0), inflight: None, util: Some(0.5) }),
            process: None,
        }))
    }

    fn list(&mut self, id: u64, state: WorkerState, started: bool, full: bool) -> Result<(), String> {
        let stop = (state != WorkerState::Ready).then_some(self.now);
        let up_since = started.then_some(Micros(self.now));
        let entry = |id: u64, state, up_since| WorkerEntry {
            id: WorkerId(id),
            cell: CellId(id % 2),
            weight: 1.0 + (id % 3) as f64 * 0.5,
            state,
            up_since,
            ..WorkerEntry::default()
        };
        let mut entries = vec![entry(id, state, up_since)];
        if full {
            let named = self.checker.workers.iter().filter(|(w, s)| **w != id && s.1.is_none());
            entries.extend(named.map(|(w, _)| entry(*w, WorkerState::Ready, None)));
            entries.retain(|e| e.state != WorkerState::Gone);
        }
        let old = self.checker.workers.get(&id).and_then(|w| w.1);
        self.checker.workers.insert(id, (id % 2, stop.map(|t| old.unwrap_or(t))));
        self.handle_event(Event::WorkersListed(Listing {
            scope: if full { Scope::Full } else { Scope::Changes },
            entries,
        }))
    }

    fn step(&mut self, (operation, first, second): (u8, u16, u16)) -> Result<(), String> {
        const OUTCOMES: [Outcome; 9] = [
            Outcome::Ok,
            Outcome::Error,
            Outcome::Full,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
            Outcome::Miss,
        ];
        let (choice, variant) = (first as usize, second as usize);
        match operation % 12 {
            0..=3 => {
                let budget = [5_000, 60_000, 900_000, 3_000_000][variant % 4];
                self.checker.accepted_at.push(self.now);
                let request = CheckedRequest {
                    class: choice % 3,
                    deadline: self.now + budget,
                    attempts: vec![],
                    is_closed: false,
                };
                self.checker.requests.insert(self.next_request, request);
                self.next_request += 1;
                self.handle_event(Event::Request(Request {
                    id: RequestId(self.next_request - 1),
                    budget: Micros(budget),
                    class: ClassId(choice % 3),
                    tenant: (variant % 3 == 0).then_some(TenantId(0)),
                    function: FunctionId((choice / 3 % 7) as u64),
                    concurrency: variant % 3,
                    work: (variant % 2 == 0).then_some(Micros(i64::from(second))),
                    ..Request::default()
                }))
            }
            4..=6 => {
                let in_flight = |(id, request): (&u64, &CheckedRequest)| {
                    let attempt = request.attempts.iter().position(|t| t.outcome.is_none())?;
                    Some((*id, attempt))
                };
                let all: Vec<_> = self.checker.requests.iter().filter_map(in_flight).collect();
                match all.get(choice % all.len().max(1)) {
                    Some(&(id, attempt)) => self.complete_attempt(
                        id,
                        attempt,
                        OUTCOMES[if variant % 2 == 0 { 0 } else { variant / 2 % 9 }],
                    ),
                    None => Ok(()),
                }
            }
            7 => self.pass(i64::from(second) * 8),
            8 => {
                let state =
                    [WorkerState::Ready, WorkerState::Ready, WorkerState::Draining, WorkerState::Gone];
                self.list((choice % 6) as u64, state[variant % 4], variant % 3 == 0, variant % 5 == 0)
            }
            9 if !self.checker.pending_loads.is_empty() => {
                let (worker, function) =
                    self.checker.pending_loads.remove(choice % self.checker.pending_loads.len());
                let (worker, function) = (WorkerId(worker), FunctionId(function));
                let (outcome, copies) = (OUTCOMES[variant % 6], (variant % 3) as u32);
                self.handle_event(Event::LoadCompleted {
                    worker,
                    function,
                    outcome,
                    copies,
                    latency: Micros(i64::from(second) * 9),
                })
            }
            10 if !self.checker.probes.is_empty() => {
                let worker = WorkerId(self.checker.probes.remove(0));
                let (outcome, latency) = (OUTCOMES[variant % 6], Micros(1_000));
                self.handle_event(Event::ProbeCompleted {
                    worker,
                    outcome,
                    latency,
                    report: None,
                    process: None,
                })
            }
            11 => {
                // A client disconnects; also events with an arbitrary token and an unknown worker and
                // function.
                let id = 1 + (first as u64) % self.next_request;
                if let Some(a) = self.checker.requests.get_mut(&id) {
                    a.is_closed = true;
                }
                self.handle_event(Event::ClientDisconnected { id: RequestId(id) })?;
                self.handle_event(Event::Wake { token: second as u64 })?;
                self.handle_event(Event::LoadCompleted {
                    worker: WorkerId(999),
                    function: FunctionId(999),
                    outcome: Outcome::Ok,
                    copies: 1,
                    latency: Micros(0),
                })
            }
            _ => Ok(()),
        }
    }

    /// Runs the steps and returns all actions, or the first violation of a rule.
    fn run(shape: u8, steps: &[(u8, u16, u16)]) -> Result<Vec<Action>, String> {
        let mut w = World::new(shape);
        for id in 0..4 {
            w.list(id, WorkerState::Ready, false, false)?;
        }
        for (n, s) in steps.iter().enumerate() {
            w.step(*s).map_err(|e| format!("step {n} {s:?}: {e}"))?;
        }
        w.pass(4_000_000)?;
        match w.balancer.open_requests() {
            0 => Ok(w.log),
            n => Err(format!("{n} requests are still open after all were answered")),
        }
    }
}

#[test]
fn every_rule_holds_over_arbitrary_histories() {
    let config = Config { cases: 150, max_shrink_iters: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(any::<(u8, u16, u16)>(), 1..250);
    runner
        .run(&(any::<u8>(), steps), |(shape, steps)| {
            let first = World::run(shape, &steps).map_err(TestCaseError::fail)?;
            let again = World::run(shape, &steps).map_err(TestCaseError::fail)?;
            prop_assert!(first == again, "equal events led to different actions");
            Ok(())
        })
        .unwrap();
}

/// Guards against a checker that misses violations: each list of actions breaks the rule named.
#[test]
fn the_checker_detects_each_broken_rule() {
    let world = |class: usize| {
        let mut c = World::new(1).checker;
        c.has_load_quota = true;
        c.workers.extend([(1, (1, None)), (2, (0, None)), (3, (1, Some(0)))]);
        c.requests
            .insert(1, CheckedRequest { class, deadline: 3_000_000, attempts: vec![], is_closed: false });
        c
    };
    let send = |w| Action::Send {
        id: RequestId(1),
        worker: WorkerId(w),
        timeout: None,
        process: ProcessLimits::default(),
        send_before: None,
    };
    let refuse = || Action::Refuse { id: RequestId(1), retry_after: None };
    let load = |f| Action::Load { worker: WorkerId(1), function: FunctionId(f), copies: 1 };
    let broken_rule = |class, outcome: Option<Outcome>, actions: &[Action]| {
        let mut c = world(class);
        for (n, a) in actions.iter().enumerate() {
            if let Err(e) = c.check(1_000_000, a) {
                assert_eq!(n + 1, actions.len(), "detected at an earlier action: {e}");
                return e.split(':').next().unwrap_or_default().to_string();
            }
            for t in c.requests.get_mut(&1).unwrap().attempts.iter_mut() {
                t.outcome = outcome;
            }
        }
        match c.check_deadlines(3_100_000) {
            Err(e) => e.split(':').next().unwrap_or_default().to_string(),
            Ok(()) => "kept".into(),
        }
    };
    assert_eq!(broken_rule(2, Some(Outcome::TimedOut), &[send(1), send(2)]), "effect");
    assert_eq!(broken_rule(1, Some(Outcome::TimedOut), &[send(1), send(2)]), "effect");
    assert_eq!(broken_rule(2, Some(Outcome::Error), &[send(1), refuse()]), "effect");
    assert_eq!(broken_rule(0, None, &[send(1), send(2)]), "limit");
    assert_eq!(broken_rule(0, Some(Outcome::Full), &[send(1), send(1), send(1), send(1)]), "limit");
    assert_eq!(broken_rule(0, None, &[send(3)]), "drain");
    assert_eq!(broken_rule(0, None, &[refuse(), refuse()]), "lost");
    assert_eq!(broken_rule(0, None, &[refuse(), send(1)]), "lost");
    assert_eq!(broken_rule(0, None, &[send(1)]), "lost");
    assert_eq!(broken_rule(0, None, &[load(1), load(2), load(3)]), "loads");
    assert_eq!(broken_rule(2, Some(Outcome::Miss), &[send(1), send(2), refuse()]), "kept");
}
