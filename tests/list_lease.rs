//! The lease on the worker list: which workers receive calls and load requests after it has expired.

use slatevalve::*;

const LEASE: i64 = 7_000_000;
const DRAIN_GRACE: i64 = 250_000;

struct Router {
    balancer: Balancer,
    now: i64,
}

impl Router {
    /// A router with workers 1 to 4 and an expired lease.
    fn expired() -> Self {
        let entry = |id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() };
        Router::expired_with(Effect::Idempotent, (1..=4).map(entry).collect())
    }

    /// A router with one class of calls, these workers and an expired lease.
    fn expired_with(effect: Effect, entries: Vec<WorkerEntry>) -> Self {
        let class = Class { effect, ..Class::default() };
        let mut settings =
            Settings { classes: vec![class], reports: LoadReportSource::Probes, ..Settings::default() };
        settings.rules.drain_grace = Micros(DRAIN_GRACE);
        let mut router = Router { balancer: Balancer::new(settings, 1), now: 1_000_000 };
        router.handle(Event::WorkersListed(Listing { scope: Scope::Full, entries }));
        router.confirm();
        router.now += LEASE;
        router
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(Micros(self.now), event, &mut actions);
        actions
    }

    fn confirm(&mut self) {
        self.handle(Event::WorkerListConfirmed { as_of: Micros(self.now), lease: Micros(LEASE) });
    }

    fn request(&mut self, id: u64) -> Vec<Action> {
        let budget = Micros(3_000_000);
        self.handle(Event::Request(Request { id: RequestId(id), budget, ..Request::default() }))
    }

    fn complete_probe(&mut self, worker: WorkerId, outcome: Outcome) -> Vec<Action> {
        let latency = Micros(1_000);
        self.handle(Event::ProbeCompleted { worker, outcome, latency, report: None, process: None })
    }

    fn answer(&mut self, id: u64, worker: WorkerId, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::Answer(Answer {
            id: RequestId(id),
            attempt: 0,
            worker,
            outcome,
            closed: outcome == Outcome::Ok,
            latency: Micros(1_000),
            queue_depth: None,
            load_failed: false,
            report: None,
            process: None,
        }))
    }
}

fn probed(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Probe { worker } => Some(*worker),
        _ => None,
    })
}

/// The worker that a call or load request was sent to.
fn used_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { worker, .. } | Action::Load { worker, .. } => Some(*worker),
        _ => None,
    })
}

/// Guards against sending new work to a worker that began to drain while the list was out of date.
#[test]
fn a_worker_is_probed_before_it_receives_work_once_the_lease_has_expired() {
    let mut router = Router::expired();
    let actions = router.request(1);
    let first = probed(&actions).expect("a probe");
    assert_eq!(used_worker(&actions), None);
    // The worker drains: the next one is probed, and used after a successful probe.
    let actions = router.complete_probe(first, Outcome::Error);
    assert_eq!(used_worker(&actions), None);
    let second = probed(&actions).expect("a probe of another worker");
    assert_ne!(second, first);
    assert_eq!(used_worker(&router.complete_probe(second, Outcome::Ok)), Some(second));
}

/// Guards against a worker's own confirmation that stays valid beyond the drain grace: the worker may drain
/// meanwhile.
#[test]
fn a_workers_confirmation_expires_within_the_drain_grace() {
    let mut router = Router::expired();
    let worker = probed(&router.request(1)).expect("a probe");
    router.complete_probe(worker, Outcome::Ok);
    router.now += DRAIN_GRACE;
    let actions = router.request(2);
    assert_eq!((used_worker(&actions), probed(&actions).is_some()), (None, true));
}

/// Guards against calls to a worker that drains while its health checks say that it is ready, as they show
/// only that its process runs (review/5).
#[test]
fn a_worker_that_rejects_calls_is_sent_no_more_once_its_last_served_call_is_older_than_the_grace() {
    let mut router = Router::expired();
    let send = |router: &mut Router, id: u64| -> Option<WorkerId> {
        let (budget, function) = (Micros(3_000_000), FunctionId(id));
        let request = Request { id: RequestId(id), function, budget, ..Request::default() };
        let mut actions = router.handle(Event::Request(request));
        for _ in 0..20 {
            let sent = actions.iter().find_map(|action| match action {
                Action::Send { id: sent, worker, .. } if sent.0 == id => Some(*worker),
                _ => None,
            });
            if sent.is_some() {
                return sent;
            }
            // Each health check says that the worker is ready.
            actions = match probed(&actions) {
                Some(worker) => router.complete_probe(worker, Outcome::Ok),
                None => router.handle(Event::Wake { token: id + 1 }),
            };
            router.now += 1_000;
        }
        None
    };
    let draining = send(&mut router, 1).expect("an attempt");
    let actions = router.answer(1, draining, Outcome::Full);
    let other = probed(&actions).expect("a probe of another worker");
    router.complete_probe(other, Outcome::Ok);
    router.now += DRAIN_GRACE;
    let mut others_used = 0;
    for id in 2..40 {
        router.now += 100_000;
        let Some(used) = send(&mut router, id) else { continue };
        assert_ne!(used, draining, "request {id}");
        router.answer(id, used, Outcome::Ok);
        others_used += 1;
    }
    assert!(others_used > 30, "only {others_used} of 38 requests were sent to the other workers");
    router.confirm();
    let used_again = (100..200).any(|id| {
        router.now += 1_000_000;
        router.confirm();
        let request = Request {
            id: RequestId(id),
            function: FunctionId(id),
            budget: Micros(3_000_000),
            ..Request::default()
        };
        let actions = router.handle(Event::Request(request));
        [probed(&actions), used_worker(&actions)].contains(&Some(draining))
    });
    assert!(used_again, "the worker is not used again after the list was confirmed");
}

/// Guards against work sent to another process that took over the address of a worker whose end was not
/// noticed.
#[test]
fn a_worker_whose_connection_broke_is_not_used_until_the_list_is_confirmed() {
    let mut router = Router::expired();
    let worker = probed(&router.request(1)).expect("a probe");
    router.complete_probe(worker, Outcome::Ok);
    router.now += 10_000;
    let actions = router.handle(Event::Wake { token: 2 });
    let actions =
        if used_worker(&actions).is_some() { actions } else { router.handle(Event::Wake { token: 0 }) };
    assert!(used_worker(&actions).is_none_or(|used| used == worker));
    router.answer(1, worker, Outcome::Reset);
    for id in 2..40 {
        router.now += 100_000;
        let actions = router.request(id);
        for contacted in [probed(&actions), used_worker(&actions)].into_iter().flatten() {
            assert_ne!(contacted, worker);
            router.complete_probe(contacted, Outcome::Error);
        }
    }
    router.confirm();
    let used_again = (100..200).any(|id| {
        router.now += 1_000_000;
        router.confirm();
        let function = FunctionId(id);
        let request =
            Request { id: RequestId(id), function, budget: Micros(3_000_000), ..Request::default() };
        let actions = router.handle(Event::Request(request));
        [probed(&actions), used_worker(&actions)].contains(&Some(worker))
    });
    assert!(used_again, "the worker is not used again after the list was confirmed");
}

/// Guards against routers that refuse all work at sites where the list is never confirmed.
#[test]
fn a_list_that_was_never_confirmed_does_not_expire() {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let mut settings = Settings { classes: vec![class], ..Settings::default() };
    settings.limits.probes = false;
    let mut router = Router { balancer: Balancer::new(settings, 1), now: 1_000_000 };
    let entry = WorkerEntry { id: WorkerId(1), ..WorkerEntry::default() };
    router.handle(Event::WorkersListed(Listing { scope: Scope::Full, entries: vec![entry] }));
    router.now += 100 * LEASE;
    assert_eq!(used_worker(&router.request(1)), Some(WorkerId(1)));
}
