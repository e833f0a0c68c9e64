//! The lease on the worker list: what is sent once it has expired, and to whom.

use slatevalve::*;

const LEASE: i64 = 7_000_000;
const DRAIN_GRACE: i64 = 250_000;

struct Router {
    balancer: Balancer,
    now: i64,
}

impl Router {
    /// One before workers 1 to 4, with an expired lease.
    fn expired() -> Self {
        let class = Class { effect: Effect::Idempotent, ..Class::default() };
        let mut settings =
            Settings { classes: vec![class], reports: LoadReportSource::Probes, ..Settings::default() };
        settings.rules.drain_grace = Micros(DRAIN_GRACE);
        let mut router = Router { balancer: Balancer::new(settings, 1), now: 1_000_000 };
        let entry = |id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() };
        let listing = Listing { scope: Scope::Full, entries: (1..=4).map(entry).collect() };
        router.handle(Event::WorkersListed(listing));
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
        self.handle(Event::WorkerListConfirmed { lease: Micros(LEASE) });
    }

    fn request(&mut self, id: u64) -> Vec<Action> {
        let budget = Micros(3_000_000);
        self.handle(Event::Request(Request { id: RequestId(id), budget, ..Request::default() }))
    }

    fn probe_ends(&mut self, worker: WorkerId, outcome: Outcome) -> Vec<Action> {
        let latency = Micros(1_000);
        self.handle(Event::ProbeCompleted { worker, outcome, latency, report: None })
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
        }))
    }
}

fn probed(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Probe { worker } => Some(*worker),
        _ => None,
    })
}

/// The worker of a call or of a load request.
fn used(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { worker, .. } | Action::Load { worker, .. } => Some(*worker),
        _ => None,
    })
}

/// Guards against new work for a worker that drained while the list was out of date.
#[test]
fn once_the_lease_has_expired_a_worker_is_asked_before_it_is_sent_anything() {
    let mut router = Router::expired();
    let actions = router.request(1);
    let first = probed(&actions).expect("a probe");
    assert_eq!(used(&actions), None);
    // It drains: the next one is asked, and used once it says that it is ready.
    let actions = router.probe_ends(first, Outcome::Error);
    assert_eq!(used(&actions), None);
    let second = probed(&actions).expect("a probe of another worker");
    assert_ne!(second, first);
    assert_eq!(used(&router.probe_ends(second, Outcome::Ok)), Some(second));
}

/// Guards against a worker's word that counts for longer than a drain may stay unheard.
#[test]
fn a_workers_own_word_counts_for_less_than_the_drain_grace() {
    let mut router = Router::expired();
    let worker = probed(&router.request(1)).expect("a probe");
    router.probe_ends(worker, Outcome::Ok);
    router.now += DRAIN_GRACE;
    let actions = router.request(2);
    assert_eq!((used(&actions), probed(&actions).is_some()), (None, true));
}

/// Guards against a successor at the address of a process that ended unseen.
#[test]
fn a_worker_whose_connection_broke_is_left_alone_until_the_list_is_confirmed() {
    let mut router = Router::expired();
    let worker = probed(&router.request(1)).expect("a probe");
    router.probe_ends(worker, Outcome::Ok);
    router.now += 10_000;
    let actions = router.handle(Event::Wake { token: 2 });
    let actions = if used(&actions).is_some() { actions } else { router.handle(Event::Wake { token: 0 }) };
    assert!(used(&actions).is_none_or(|used| used == worker));
    router.answer(1, worker, Outcome::Reset);
    for id in 2..40 {
        router.now += 100_000;
        let actions = router.request(id);
        for asked in [probed(&actions), used(&actions)].into_iter().flatten() {
            assert_ne!(asked, worker);
            router.probe_ends(asked, Outcome::Error);
        }
    }
    router.confirm();
    let reached = (100..200).any(|id| {
        router.now += 1_000_000;
        router.confirm();
        let function = FunctionId(id);
        let request =
            Request { id: RequestId(id), function, budget: Micros(3_000_000), ..Request::default() };
        let actions = router.handle(Event::Request(request));
        [probed(&actions), used(&actions)].contains(&Some(worker))
    });
    assert!(reached, "it is used again");
}

/// Guards against routers that refuse all work for want of a confirmation that they never get.
#[test]
fn without_any_confirmation_the_list_counts_as_current() {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let mut settings = Settings { classes: vec![class], ..Settings::default() };
    settings.limits.probes = false;
    let mut router = Router { balancer: Balancer::new(settings, 1), now: 1_000_000 };
    let entry = WorkerEntry { id: WorkerId(1), ..WorkerEntry::default() };
    router.handle(Event::WorkersListed(Listing { scope: Scope::Full, entries: vec![entry] }));
    router.now += 100 * LEASE;
    assert_eq!(used(&router.request(1)), Some(WorkerId(1)));
}
