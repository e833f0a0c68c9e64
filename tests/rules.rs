//! Arbitrary histories against a checker that knows the rules but nothing of the module.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use slatevalve::*;
use std::collections::BTreeMap;

const GRACE: i64 = 250_000;
const SLACK: i64 = 8_000;
const ATTEMPTS: usize = 3;
const WINDOW: i64 = 2_000_000;
const FREE: f64 = 2.0;
const SHARE: f64 = 0.5;

#[derive(Clone)]
struct CheckedAttempt {
    worker: u64,
    cell: u64,
    at: i64,
    /// Since when the key's time counts.
    from: i64,
    end: Option<Outcome>,
}

struct CheckedRequest {
    class: usize,
    until: i64,
    attempts: Vec<CheckedAttempt>,
    over: bool,
}

/// What the rules say about one action, told apart from any decision.
struct Checker {
    second: bool,
    ration: bool,
    requests: BTreeMap<u64, CheckedRequest>,
    /// Worker: cell, and since when it drains or is gone.
    workers: BTreeMap<u64, (u64, Option<i64>)>,
    accepted_at: Vec<i64>,
    loads: Vec<i64>,
    orders: Vec<(u64, u64)>,
    probes: Vec<u64>,
}

impl Checker {
    fn check_worker_accepts(&self, worker: u64, now: i64) -> Result<u64, String> {
        let (cell, stop) = self.workers.get(&worker).ok_or("a worker never named")?;
        if stop.is_some_and(|t| now > t + GRACE) {
            return Err(format!("drain: worker {worker} was used too late"));
        }
        Ok(*cell)
    }

    fn act(&mut self, now: i64, action: &Action) -> Result<(), String> {
        match action {
            Action::Send { id, worker, .. } => {
                let cell = self.check_worker_accepts(worker.0, now)?;
                let (second, a) = (self.second, self.requests.get_mut(&id.0).ok_or("a request never taken")?);
                if a.over {
                    return Err("lost: sent after the end".into());
                }
                if a.attempts.len() >= ATTEMPTS {
                    return Err("limit: attempts".into());
                }
                if !second && a.attempts.iter().any(|t| t.end.is_none()) {
                    return Err("limit: two attempts out".into());
                }
                for t in a.attempts.iter().filter(|t| !t.end.is_some_and(proves_not_executed)) {
                    let same = t.cell == cell && now - t.from < 1_000_000;
                    if a.class == 2 || (a.class == 1 && !same) {
                        return Err("effect: sent again".into());
                    }
                }
                let ran = a.attempts.iter().filter(|t| !t.end.is_some_and(proves_not_executed));
                let from = ran.map(|t| t.from).min().unwrap_or(now);
                a.attempts.push(CheckedAttempt { worker: worker.0, cell, at: now, from, end: None });
            }
            Action::Refuse { id, .. } => {
                let a = self.requests.get_mut(&id.0).ok_or("a request never taken")?;
                let ran = a.attempts.iter().any(|t| !t.end.is_some_and(proves_not_executed));
                if a.over {
                    return Err("lost: two final answers".into());
                }
                if a.class > 0 && ran {
                    return Err("effect: refused what may have run".into());
                }
                a.over = true;
            }
            Action::Fail { id } => {
                let a = self.requests.get_mut(&id.0).ok_or("a request never taken")?;
                if std::mem::replace(&mut a.over, true) {
                    return Err("lost: two final answers".into());
                }
            }
            Action::Cancel { id, attempt } => {
                let a = self.requests.get(&id.0).ok_or("a request never taken")?;
                a.attempts.get(*attempt).ok_or("cancelled an attempt never made")?;
            }
            Action::Load { worker, function, copies } => {
                self.check_worker_accepts(worker.0, now)?;
                self.loads.push(now);
                let count = |v: &[i64]| v.iter().filter(|t| now - **t < WINDOW).count() as f64;
                if self.ration && *copies > 0 && count(&self.loads) > FREE + SHARE * count(&self.accepted_at)
                {
                    return Err("loads: over the ration".into());
                }
                if self.orders.contains(&(worker.0, function.0)) {
                    return Err("two orders out for one function and worker".into());
                }
                self.orders.push((worker.0, function.0));
            }
            Action::Probe { worker } => self.probes.push(worker.0),
            Action::Wake { at, .. } if at.0 <= now => return Err("a wake in the past".into()),
            Action::Drop { .. } | Action::Subscribe | Action::Wake { .. } => {}
        }
        Ok(())
    }

    fn late(&self, now: i64) -> Result<(), String> {
        match self.requests.iter().find(|(_, a)| !a.over && now > a.until + SLACK) {
            Some((id, _)) => Err(format!("lost: request {id} has no answer in time")),
            None => Ok(()),
        }
    }
}

fn proves_not_executed(o: Outcome) -> bool {
    matches!(o, Outcome::Full | Outcome::Miss | Outcome::ConnectFailed | Outcome::NotSent)
}

struct World {
    balancer: Balancer,
    check: Checker,
    now: i64,
    wakes: Vec<(i64, u64)>,
    log: Vec<Action>,
    next: u64,
}

impl World {
    fn new(shape: u8) -> Self {
        let keyed = Effect::IdempotentWithKey { group: Group::Cell, memory: Micros(1_000_000) };
        let class = |effect| Class { effect, ..Class::default() };
        let (second, ration) = (shape & 1 == 0, shape & 2 == 0);
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
                load_quota_window: Micros(if ration { WINDOW } else { 0 }),
                load_quota_free: FREE,
                load_quota_share: SHARE,
                ..Loading::default()
            },
            limits: Limits { hedged_requests: second, max_attempts: ATTEMPTS, ..Limits::default() },
            rules: Rules {
                answer_slack: Micros(SLACK),
                drain_grace: Micros(GRACE),
                overload_multiple: 3.0,
                ..Rules::default()
            },
            ..Settings::default()
        };
        let check = Checker {
            second,
            ration,
            requests: BTreeMap::new(),
            workers: BTreeMap::new(),
            accepted_at: Vec::new(),
            loads: Vec::new(),
            orders: Vec::new(),
            probes: Vec::new(),
        };
        let balancer = Balancer::new(settings, 5);
        World { balancer, check, now: 1_000, wakes: Vec::new(), log: Vec::new(), next: 1 }
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        let mut out = Vec::new();
        self.balancer.handle(Micros(self.now), event, &mut out);
        for a in &out {
            self.check.act(self.now, a)?;
            if let Action::Wake { at, token } = a {
                self.wakes.push((at.0, *token));
            }
        }
        self.log.extend(out);
        Ok(())
    }

    /// Lets time pass: wakes come, and an attempt still out when its client gives up times out.
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
            let overdue = self.check.requests.iter().filter(|(_, a)| now >= a.until).map(|(id, _)| *id);
            for id in overdue.collect::<Vec<_>>() {
                for n in 0..self.check.requests[&id].attempts.len() {
                    self.end(id, n, Outcome::TimedOut)?;
                }
            }
            self.check.late(self.now)?;
        }
        Ok(())
    }

    fn end(&mut self, id: u64, n: usize, outcome: Outcome) -> Result<(), String> {
        let Some(a) = self.check.requests.get_mut(&id) else { return Ok(()) };
        let Some(t) = a.attempts.get_mut(n).filter(|t| t.end.is_none()) else { return Ok(()) };
        t.end = Some(outcome);
        let (worker, latency) = (WorkerId(t.worker), Micros(self.now - t.at));
        a.over |= outcome == Outcome::Ok;
        let closed = a.over;
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
            let named = self.check.workers.iter().filter(|(w, s)| **w != id && s.1.is_none());
            entries.extend(named.map(|(w, _)| entry(*w, WorkerState::Ready, None)));
            entries.retain(|e| e.state != WorkerState::Gone);
        }
        let old = self.check.workers.get(&id).and_then(|w| w.1);
        self.check.workers.insert(id, (id % 2, stop.map(|t| old.unwrap_or(t))));
        self.handle_event(Event::WorkersListed(Listing {
            scope: if full { Scope::Full } else { Scope::Changes },
            entries,
        }))
    }

    fn step(&mut self, (operation, first, second): (u8, u16, u16)) -> Result<(), String> {
        const ENDS: [Outcome; 9] = [
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
                self.check.accepted_at.push(self.now);
                let requests = CheckedRequest {
                    class: choice % 3,
                    until: self.now + budget,
                    attempts: vec![],
                    over: false,
                };
                self.check.requests.insert(self.next, requests);
                self.next += 1;
                self.handle_event(Event::Request(Request {
                    id: RequestId(self.next - 1),
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
                let out = |(id, request): (&u64, &CheckedRequest)| {
                    let attempt = request.attempts.iter().position(|t| t.end.is_none())?;
                    Some((*id, attempt))
                };
                let all: Vec<_> = self.check.requests.iter().filter_map(out).collect();
                match all.get(choice % all.len().max(1)) {
                    Some(&(id, attempt)) => {
                        self.end(id, attempt, ENDS[if variant % 2 == 0 { 0 } else { variant / 2 % 9 }])
                    }
                    None => Ok(()),
                }
            }
            7 => self.pass(i64::from(second) * 8),
            8 => {
                let state =
                    [WorkerState::Ready, WorkerState::Ready, WorkerState::Draining, WorkerState::Gone];
                self.list((choice % 6) as u64, state[variant % 4], variant % 3 == 0, variant % 5 == 0)
            }
            9 if !self.check.orders.is_empty() => {
                let (worker, function) = self.check.orders.remove(choice % self.check.orders.len());
                let (worker, function) = (WorkerId(worker), FunctionId(function));
                let (outcome, copies) = (ENDS[variant % 6], (variant % 3) as u32);
                self.handle_event(Event::LoadCompleted {
                    worker,
                    function,
                    outcome,
                    copies,
                    latency: Micros(i64::from(second) * 9),
                })
            }
            10 if !self.check.probes.is_empty() => {
                let worker = WorkerId(self.check.probes.remove(0));
                let (outcome, latency) = (ENDS[variant % 6], Micros(1_000));
                self.handle_event(Event::ProbeCompleted { worker, outcome, latency, report: None })
            }
            11 => {
                // A client leaves, or an event speaks of what nobody knows.
                let id = 1 + (first as u64) % self.next;
                if let Some(a) = self.check.requests.get_mut(&id) {
                    a.over = true;
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

    fn history(shape: u8, steps: &[(u8, u16, u16)]) -> Result<Vec<Action>, String> {
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
            n => Err(format!("{n} requests are kept after all was answered")),
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
            let first = World::history(shape, &steps).map_err(TestCaseError::fail)?;
            let again = World::history(shape, &steps).map_err(TestCaseError::fail)?;
            prop_assert!(first == again, "equal events gave other actions");
            Ok(())
        })
        .unwrap();
}

/// The checker must bite: each broken action list is caught by the rule it breaks.
#[test]
fn the_checker_catches_each_broken_rule() {
    let world = |class: usize| {
        let mut c = World::new(1).check;
        c.ration = true;
        c.workers.extend([(1, (1, None)), (2, (0, None)), (3, (1, Some(0)))]);
        c.requests.insert(1, CheckedRequest { class, until: 3_000_000, attempts: vec![], over: false });
        c
    };
    let send = |w| Action::Send { id: RequestId(1), worker: WorkerId(w), timeout: None };
    let refuse = || Action::Refuse { id: RequestId(1), retry_after: None };
    let load = |f| Action::Load { worker: WorkerId(1), function: FunctionId(f), copies: 1 };
    let broken = |class, end: Option<Outcome>, actions: &[Action]| {
        let mut c = world(class);
        for (n, a) in actions.iter().enumerate() {
            if let Err(e) = c.act(1_000_000, a) {
                assert_eq!(n + 1, actions.len(), "caught too early: {e}");
                return e.split(':').next().unwrap_or_default().to_string();
            }
            for t in c.requests.get_mut(&1).unwrap().attempts.iter_mut() {
                t.end = end;
            }
        }
        match c.late(3_100_000) {
            Err(e) => e.split(':').next().unwrap_or_default().to_string(),
            Ok(()) => "kept".into(),
        }
    };
    assert_eq!(broken(2, Some(Outcome::TimedOut), &[send(1), send(2)]), "effect");
    assert_eq!(broken(1, Some(Outcome::TimedOut), &[send(1), send(2)]), "effect");
    assert_eq!(broken(2, Some(Outcome::Error), &[send(1), refuse()]), "effect");
    assert_eq!(broken(0, None, &[send(1), send(2)]), "limit");
    assert_eq!(broken(0, Some(Outcome::Full), &[send(1), send(1), send(1), send(1)]), "limit");
    assert_eq!(broken(0, None, &[send(3)]), "drain");
    assert_eq!(broken(0, None, &[refuse(), refuse()]), "lost");
    assert_eq!(broken(0, None, &[refuse(), send(1)]), "lost");
    assert_eq!(broken(0, None, &[send(1)]), "lost");
    assert_eq!(broken(0, None, &[load(1), load(2), load(3)]), "loads");
    assert_eq!(broken(2, Some(Outcome::Miss), &[send(1), send(2), refuse()]), "kept");
}
