//! Workers whose processes are replaced at their addresses. While the worker list is out of date, its cells, zones
//! and start times apply only to processes that run since before it was last confirmed; while it is current, not
//! to processes that may have replaced others so recently that the list does not tell yet.

use slatevalve::*;

const LEASE: Micros = Micros(7_000_000);
const DRAIN_GRACE: Micros = Micros(250_000);
const BUDGET: Micros = Micros(3_000_000);
const WARM_UP: Micros = Micros(16_000_000);
/// When the list was last confirmed.
const CONFIRMED_AT: Micros = Micros(1_000_000);
/// A process that the list names, and one that replaced it.
const LISTED: Option<ProcessInfo> = Some(ProcessInfo { since: Micros(900_000), may_be_new: false });
const REPLACED: Option<ProcessInfo> = Some(ProcessInfo { since: Micros(3_000_000), may_be_new: true });
/// A process to which a connection was opened after the list was confirmed, without any sign of another one.
const RECONNECTED: Option<ProcessInfo> = Some(ProcessInfo { since: Micros(3_000_000), may_be_new: false });
/// Like `RECONNECTED`, after the start of a router at the end of the lease.
const RECONNECTED_LATER: Option<ProcessInfo> =
    Some(ProcessInfo { since: Micros(CONFIRMED_AT.0 + LEASE.0 + 1), may_be_new: false });
const CELL_KEY: Effect = Effect::IdempotentWithKey { group: Group::Cell, memory: Micros(6_000_000) };
const ZONE_KEY: Effect = Effect::IdempotentWithKey { group: Group::Zone, memory: Micros(6_000_000) };
const SHARED_KEY: Effect = Effect::IdempotentWithKey { group: Group::All, memory: Micros(6_000_000) };
const REQUEST: RequestId = RequestId(1);

/// What a router did with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decision {
    /// It was sent to a worker, limited to processes that run since the given time.
    Sent(WorkerId, Option<Micros>),
    Refused,
    Failed,
}

/// A router whose workers are simulated: each answers health checks at once.
struct Router {
    balancer: Balancer,
    now: Micros,
    /// The process of each worker, in the order of their ids from 1.
    processes: Vec<Option<ProcessInfo>>,
    /// Number of attempts sent.
    attempts: usize,
}

impl Router {
    /// A router with these workers, whose list was confirmed once. The lease has expired.
    fn new(effect: Effect, entries: Vec<WorkerEntry>) -> Self {
        let class = Class { effect, ..Class::default() };
        let mut settings =
            Settings { classes: vec![class], reports: LoadReportSource::Probes, ..Settings::default() };
        settings.rules.drain_grace = DRAIN_GRACE;
        settings.rules.start_capacity = 0.1;
        settings.rules.warm_up_time = WARM_UP;
        settings.rules.overload_window = Micros(1_000_000);
        settings.rules.overload_multiple = 3.0;
        let processes = vec![LISTED; entries.len()];
        let mut router =
            Router { balancer: Balancer::new(settings, 1), now: CONFIRMED_AT, processes, attempts: 0 };
        router.handle(Event::WorkersListed(Listing { scope: Scope::Full, entries }));
        router.confirm();
        router.now = Micros(CONFIRMED_AT.0 + LEASE.0);
        router
    }

    /// A router with workers 1 and 2 in one cell and zone, 3 and 4 in another.
    fn with_two_cells(effect: Effect) -> Self {
        Router::new(effect, (1..=4).map(entry).collect())
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    fn confirm(&mut self) {
        self.handle(Event::WorkerListConfirmed { as_of: self.now, lease: LEASE });
    }

    fn list(&mut self, entry: WorkerEntry) {
        self.handle(Event::WorkersListed(Listing { scope: Scope::Changes, entries: vec![entry] }));
    }

    /// Answers health checks until the request is decided.
    fn decide(&mut self, actions: Vec<Action>) -> Decision {
        self.decide_within(actions, BUDGET).expect("the request is decided within its budget")
    }

    /// Answers health checks until the request is decided, for at most the time `limit`.
    fn decide_within(&mut self, mut actions: Vec<Action>, limit: Micros) -> Option<Decision> {
        let give_up_at = self.now.0 + limit.0;
        while self.now.0 <= give_up_at {
            let mut probed = None;
            for action in actions.drain(..) {
                match action {
                    Action::Send { worker, process, .. } => {
                        self.attempts += 1;
                        return Some(Decision::Sent(worker, process.since));
                    }
                    Action::Refuse { .. } => return Some(Decision::Refused),
                    Action::Fail { .. } => return Some(Decision::Failed),
                    Action::Probe { worker } => probed = Some(worker),
                    _ => {}
                }
            }
            self.now.0 += 1_000;
            actions = match probed {
                Some(worker) => {
                    let process = self.processes[worker.0 as usize - 1];
                    let (outcome, latency) = (Outcome::Ok, Micros(1_000));
                    self.handle(Event::ProbeCompleted { worker, outcome, latency, report: None, process })
                }
                None => self.handle(Event::Wake { token: 0 }),
            };
        }
        None
    }

    fn request(&mut self) -> Decision {
        let actions =
            self.handle(Event::Request(Request { id: REQUEST, budget: BUDGET, ..Request::default() }));
        self.decide(actions)
    }

    /// Sends a request to one of the workers, as none of the others answers; returns the worker.
    fn request_at_one_of(&mut self, workers: [u64; 2]) -> WorkerId {
        for id in 0..100 {
            let function = FunctionId(id);
            let request = Request { id: REQUEST, function, budget: BUDGET, ..Request::default() };
            let actions = self.handle(Event::Request(request));
            match self.decide(actions) {
                Decision::Sent(worker, _) if workers.contains(&worker.0) => return worker,
                _ => self.answer(Outcome::Ok),
            };
        }
        panic!("no function is served by the workers {workers:?}");
    }

    /// Ends the last attempt, which reached the worker's present process.
    fn answer(&mut self, outcome: Outcome) -> Vec<Action> {
        self.answer_from(outcome, LISTED)
    }

    fn answer_from(&mut self, outcome: Outcome, process: Option<ProcessInfo>) -> Vec<Action> {
        let attempt = self.attempts - 1;
        if outcome == Outcome::Ok {
            self.attempts = 0;
        }
        self.handle(Event::Answer(Answer {
            id: REQUEST,
            attempt,
            worker: WorkerId(0),
            outcome,
            closed: outcome == Outcome::Ok,
            latency: Micros(1_000),
            queue_depth: None,
            load_failed: false,
            report: None,
            process,
        }))
    }
}

fn entry(id: u64) -> WorkerEntry {
    let group = (id as usize - 1) / 2;
    WorkerEntry {
        id: WorkerId(id),
        cell: CellId(group as u64),
        zone: ZoneId(group),
        ..WorkerEntry::default()
    }
}

/// The other worker of the cell.
fn peer(worker: WorkerId) -> WorkerId {
    WorkerId(((worker.0 - 1) ^ 1) + 1)
}

/// Guards against a second run of a booking at a process that took over the address of a worker of its cell
/// or zone (review/4).
#[test]
fn a_keyed_call_that_could_have_run_is_not_sent_to_a_process_that_the_list_does_not_name() {
    for (effect, replaced) in [(CELL_KEY, REPLACED), (ZONE_KEY, REPLACED), (CELL_KEY, RECONNECTED)] {
        let mut router = Router::with_two_cells(effect);
        let first = router.request_at_one_of([1, 2]);
        router.processes[peer(first).0 as usize - 1] = replaced;
        // The replaced process has answered a health check.
        let (worker, outcome, latency) = (peer(first), Outcome::Ok, Micros(1_000));
        router.handle(Event::ProbeCompleted { worker, outcome, latency, report: None, process: replaced });
        let actions = router.answer(Outcome::Error);
        match router.decide(actions) {
            Decision::Failed => {}
            Decision::Sent(worker, limit) => {
                assert_eq!((worker, limit), (first, Some(CONFIRMED_AT)), "{effect:?}");
            }
            Decision::Refused => panic!("refused a call that could have run"),
        }
    }
}

/// Guards against bookings that fail without need: a process that runs since before the list was confirmed is
/// the one that the list names.
#[test]
fn a_keyed_call_is_repeated_in_its_cell_at_a_process_that_the_list_names() {
    let mut router = Router::with_two_cells(CELL_KEY);
    let first = router.request_at_one_of([1, 2]);
    let (worker, outcome, latency) = (peer(first), Outcome::Ok, Micros(1_000));
    router.handle(Event::ProbeCompleted { worker, outcome, latency, report: None, process: LISTED });
    let actions = router.answer(Outcome::Error);
    let Decision::Sent(second, limit) = router.decide(actions) else { panic!("the call was not repeated") };
    assert!([first, peer(first)].contains(&second));
    assert_eq!(limit, Some(CONFIRMED_AT), "the attempt must not reach a process of another cell");
}

/// Guards against a second run where the booking ran at a process that the list does not name: its cell is
/// not known.
#[test]
fn a_keyed_call_that_ran_at_an_unlisted_process_is_not_repeated() {
    let mut router = Router::with_two_cells(CELL_KEY);
    router.request_at_one_of([1, 2]);
    let actions = router.answer_from(Outcome::Error, REPLACED);
    assert_eq!(router.decide(actions), Decision::Failed);
}

/// Guards against a second run after the list was received again and shows that the process was another one.
#[test]
fn a_call_that_ran_at_an_unlisted_process_is_not_repeated_once_its_worker_has_left_the_list() {
    let mut router = Router::with_two_cells(CELL_KEY);
    let first = router.request_at_one_of([1, 2]);
    let actions = router.answer_from(Outcome::Error, REPLACED);
    assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. } | Action::Fail { .. })));
    router.list(WorkerEntry { state: WorkerState::Gone, ..entry(first.0) });
    router.confirm();
    assert_eq!(router.decide(Vec::new()), Decision::Failed);
}

/// Guards against bookings that fail although the list is received again within their time and names the same
/// processes.
#[test]
fn a_call_that_ran_at_an_unknown_process_is_repeated_once_the_list_confirms_its_worker() {
    let mut router = Router::with_two_cells(CELL_KEY);
    router.request_at_one_of([1, 2]);
    router.answer_from(Outcome::Error, REPLACED);
    router.confirm();
    assert!(matches!(router.decide(Vec::new()), Decision::Sent(WorkerId(1 | 2), None)));
}

/// Guards against a second run in the first moments of a router that starts during an outage: the list in its
/// configuration may be older than the replacement of a worker.
#[test]
fn a_call_that_ran_is_repeated_by_an_assumed_list_only_once_the_list_is_confirmed() {
    let mut router = Router::with_two_cells(CELL_KEY);
    router.handle(Event::WorkerListAssumed { lease: LEASE });
    let first = router.request_at_one_of([1, 2]);
    let actions = router.answer_from(Outcome::Error, RECONNECTED_LATER);
    assert_eq!(router.decide_within(actions, Micros(200_000)), None, "it waits for the list");
    router.confirm();
    let Decision::Sent(second, None) = router.decide(Vec::new()) else { panic!("the call was not repeated") };
    assert!([first, peer(first)].contains(&second));
}

/// Guards against limits on calls that any worker recognizes as repeats.
#[test]
fn a_call_whose_key_all_workers_share_is_repeated_at_any_process() {
    let mut router = Router::with_two_cells(SHARED_KEY);
    router.processes = vec![RECONNECTED; 4];
    assert!(matches!(router.request(), Decision::Sent(_, None)));
    let actions = router.answer_from(Outcome::Error, RECONNECTED);
    assert!(matches!(router.decide(actions), Decision::Sent(_, None)));
}

/// Guards against more work for a process that has just started than slow start allows, because the expired
/// list names the one before it, which had long been warm.
#[test]
fn slow_start_applies_to_a_process_that_the_list_does_not_name() {
    let sent = |process: Option<ProcessInfo>| {
        let mut router = Router::new(Effect::Idempotent, vec![entry(1)]);
        router.processes = vec![process];
        let mut sent = 0;
        for id in 0..50 {
            let request = Request { id: RequestId(id + 1), budget: BUDGET, ..Request::default() };
            let mut actions = router.handle(Event::Request(request));
            if let Some(Action::Probe { worker }) =
                actions.iter().find(|action| matches!(action, Action::Probe { .. })).cloned()
            {
                router.now.0 += 1_000;
                let (outcome, latency) = (Outcome::Ok, Micros(1_000));
                actions =
                    router.handle(Event::ProbeCompleted { worker, outcome, latency, report: None, process });
            }
            router.now.0 += 1_000;
            sent += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        }
        sent
    };
    let started_just_now =
        |may_be_new| Some(ProcessInfo { since: Micros(CONFIRMED_AT.0 + LEASE.0), may_be_new });
    for process in [LISTED, started_just_now(false)] {
        assert!(sent(process) > 30, "{} of 50 sent to {process:?}", sent(process));
    }
    assert!(
        sent(started_just_now(true)) < 10,
        "{} of 50 sent to a new process",
        sent(started_just_now(true))
    );
}

/// Guards against a booking that runs twice because a new process came up at the address of a worker of its cell
/// and is taken for that worker until the list tells of it (report 9fde00).
#[test]
fn a_current_list_does_not_name_a_process_that_may_have_replaced_another_one_lately() {
    for (age_us, is_named) in [(1_000_000, false), (LEASE.0 + 1, true)] {
        let mut router = Router::with_two_cells(CELL_KEY);
        router.confirm();
        let since = Micros(router.now.0 - age_us);
        let replaced = Some(ProcessInfo { since, may_be_new: true });
        // It ran at the worker that the list names, and the other one of the cell may be another process.
        let first = router.request_at_one_of([1, 2]);
        let (worker, outcome, latency) = (peer(first), Outcome::Ok, Micros(1_000));
        router.handle(Event::ProbeCompleted { worker, outcome, latency, report: None, process: replaced });
        let actions = router.answer(Outcome::Error);
        let second = router.decide_within(actions, Micros(500_000));
        assert_ne!(second, Some(Decision::Sent(peer(first), None)).filter(|_| !is_named), "{age_us}");
        // It ran at a process that may be another one than the list names.
        let mut router = Router::with_two_cells(CELL_KEY);
        router.confirm();
        router.request_at_one_of([1, 2]);
        let actions = router.answer_from(Outcome::Error, replaced);
        let is_repeated = matches!(router.decide_within(actions, Micros(500_000)), Some(Decision::Sent(..)));
        assert_eq!(is_repeated, is_named, "{age_us}");
    }
}
