//! Recovery after new versions of all functions appear at once, so that every loaded copy is lost without any
//! other fault. Many balancers and workers run in simulated time; the test counts their load requests and
//! calls independently.

use slatevalve::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

const ROUTERS: usize = 30;
const WORKERS: u64 = 10;
const FUNCTIONS: u64 = 20;
/// Interval between the calls of one router, in microseconds; the routers' calls are spread evenly over it.
const CALL_INTERVAL: i64 = 100_000;
/// Load time and service time of each function, in microseconds.
const LOAD_TIME: i64 = 400_000;
const SERVICE_TIME: i64 = 60_000;
/// When the new versions appear and when the simulation ends, in microseconds.
const VERSION_CHANGE: i64 = 8_000_000;
const END: i64 = 16_000_000;
/// The load request quota of each router: its window in microseconds, the load requests allowed in it, and
/// the additional ones for each request accepted in it.
const QUOTA_WINDOW: i64 = 2_000_000;
const QUOTA_FREE: f64 = 2.0;
const QUOTA_SHARE: f64 = 0.3;
/// This worker restarts when the new versions appear, and starts with this fraction of its capacity.
const STARTED_WORKER: u64 = 3;
const START_CAPACITY: f64 = 0.3;

/// A scheduled step of the simulation.
enum Due {
    /// The next call arrives at this router.
    Call(usize),
    /// This router receives an event.
    Event(usize, Box<Event>),
}

#[derive(Default)]
struct Simulation {
    now: i64,
    schedule: BTreeMap<(i64, u64), Due>,
    last_entry: u64,
    /// When a copy is or will be loaded, by worker and function.
    copies: HashMap<(u64, u64), i64>,
    /// Number of attempts, the function and the arrival time, by router and request.
    attempts: HashMap<(usize, u64), usize>,
    functions: HashMap<(usize, u64), u64>,
    arrived_at: HashMap<(usize, u64), i64>,
    /// Times of the requests accepted and of the load requests, by router.
    accepted: Vec<Vec<i64>>,
    load_requests: Vec<Vec<i64>>,
    /// Times of all calls sent to the started worker.
    calls_to_started: Vec<i64>,
    /// Completion and arrival times of the requests served.
    served: Vec<(i64, i64)>,
    /// Arrival times of the requests refused or failed.
    unserved: Vec<i64>,
    /// Loads begun since the new versions appeared.
    loads: usize,
}

impl Simulation {
    fn at(&mut self, after: i64, due: Due) {
        self.last_entry += 1;
        self.schedule.insert((self.now + after, self.last_entry), due);
    }

    fn deliver(&mut self, after: i64, router: usize, event: Event) {
        self.at(after, Due::Event(router, Box::new(event)));
    }

    fn execute(&mut self, n: usize, action: Action) {
        match action {
            Action::Send { id, worker, .. } => {
                let attempt = self.attempts.entry((n, id.0)).or_default();
                *attempt += 1;
                let (attempt, function) = (*attempt - 1, self.functions[&(n, id.0)]);
                if worker.0 == STARTED_WORKER {
                    self.calls_to_started.push(self.now);
                }
                let loaded_at = self.copies.get(&(worker.0, function)).copied();
                // A call waits for a load in progress; without one it is answered with a miss.
                let (outcome, latency) = match loaded_at {
                    Some(at) => (Outcome::Ok, (at - self.now).max(0) + SERVICE_TIME),
                    None => (Outcome::Miss, 1_000),
                };
                let answer = Answer {
                    id,
                    attempt,
                    worker,
                    outcome,
                    closed: outcome == Outcome::Ok,
                    latency: Micros(latency),
                    queue_depth: None,
                    load_failed: false,
                    report: None,
                    process: None,
                };
                self.deliver(latency, n, Event::Answer(answer));
            }
            Action::Load { worker, function, copies } => {
                self.load_requests[n].push(self.now);
                let now = self.now;
                let mut begun = 0;
                let loaded_at = *self.copies.entry((worker.0, function.0)).or_insert_with(|| {
                    begun = 1;
                    now + LOAD_TIME
                });
                self.loads += begun;
                let delay = (loaded_at - now).max(1_000);
                let (outcome, latency) = (Outcome::Ok, Micros(delay));
                self.deliver(delay, n, Event::LoadCompleted { worker, function, outcome, copies, latency });
            }
            Action::Wake { at, token } => {
                self.deliver((at.0 - self.now).max(0), n, Event::Wake { token });
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                self.unserved.push(self.arrived_at[&(n, id.0)])
            }
            _ => {}
        }
    }
}

fn simulate(new_versions: bool) -> Simulation {
    let settings = Settings {
        routers: ROUTERS,
        classes: vec![Class { effect: Effect::NonIdempotent, ..Class::default() }],
        loading: Loading {
            on_request: false,
            load_requests: true,
            idle_retention: Micros(20_000_000),
            load_quota_window: Micros(QUOTA_WINDOW),
            load_quota_free: QUOTA_FREE,
            load_quota_share: QUOTA_SHARE,
            ..Loading::default()
        },
        limits: Limits { probes: false, max_attempts: 3, ..Limits::default() },
        rules: Rules { start_capacity: START_CAPACITY, warm_up_time: Micros(6_000_000), ..Rules::default() },
        ..Settings::default()
    };
    let mut balancers: Vec<Balancer> =
        (0..ROUTERS).map(|n| Balancer::new(settings.clone(), n as u64 + 1)).collect();
    let mut simulation = Simulation {
        accepted: vec![vec![]; ROUTERS],
        load_requests: vec![vec![]; ROUTERS],
        now: 1_000_000,
        ..Simulation::default()
    };
    let entries: Vec<WorkerEntry> =
        (1..=WORKERS).map(|w| WorkerEntry { id: WorkerId(w), ..WorkerEntry::default() }).collect();
    for n in 0..ROUTERS {
        let listing = Listing { scope: Scope::Full, entries: entries.clone() };
        simulation.deliver(0, n, Event::WorkersListed(listing));
        let first = 1_000 + n as i64 * CALL_INTERVAL / ROUTERS as i64;
        simulation.at(first, Due::Call(n));
    }
    let (mut requests, mut changed) = (0, !new_versions);
    while let Some(((at, _), due)) = simulation.schedule.pop_first() {
        simulation.now = at;
        if at >= END {
            break;
        }
        if !changed && at >= VERSION_CHANGE {
            changed = true;
            simulation.copies.clear();
            simulation.loads = 0;
            let up_since = Some(Micros(at));
            let started = WorkerEntry { id: WorkerId(STARTED_WORKER), up_since, ..WorkerEntry::default() };
            for n in 0..ROUTERS {
                simulation.deliver(
                    0,
                    n,
                    Event::WorkersListed(Listing { scope: Scope::Changes, entries: vec![started.clone()] }),
                );
            }
        }
        let (n, event) = match due {
            Due::Event(n, event) => (n, *event),
            Due::Call(n) => {
                requests += 1;
                // A fifth of the functions receive half of the calls.
                let draw = (requests * 7919 + requests / 13) % 40;
                let function = if draw < 20 { draw % 4 } else { draw % FUNCTIONS };
                simulation.functions.insert((n, requests), function);
                simulation.arrived_at.insert((n, requests), at);
                simulation.accepted[n].push(at);
                simulation.at(CALL_INTERVAL, Due::Call(n));
                let request = Request {
                    id: RequestId(requests),
                    function: FunctionId(function),
                    budget: Micros(3_000_000),
                    ..Request::default()
                };
                (n, Event::Request(request))
            }
        };
        if let Event::Answer(Answer { id, outcome: Outcome::Ok, .. }) = &event {
            let arrival = simulation.arrived_at[&(n, id.0)];
            simulation.served.push((at, arrival));
        }
        let mut out = Vec::new();
        balancers[n].handle(Micros(at), event, &mut out);
        out.into_iter().for_each(|action| simulation.execute(n, action));
    }
    simulation
}

/// The largest number by which the load requests of a router exceeded its quota; negative if none did.
fn load_requests_over_quota(simulation: &Simulation) -> f64 {
    let mut most = f64::MIN;
    for (load_requests, accepted) in simulation.load_requests.iter().zip(&simulation.accepted) {
        let mut window: VecDeque<i64> = VecDeque::new();
        for at in load_requests {
            window.push_back(*at);
            window.retain(|t| at - t <= QUOTA_WINDOW);
            let requests = accepted.iter().filter(|t| **t <= *at && at - **t < QUOTA_WINDOW).count();
            most = most.max(window.len() as f64 - QUOTA_FREE - QUOTA_SHARE * requests as f64);
        }
    }
    most
}

/// The fraction of the requests that arrived from `from` to `to` and were served within a second.
fn share_served(simulation: &Simulation, from: i64, to: i64) -> f64 {
    let within = |t: &i64| (from..to).contains(t);
    let served =
        simulation.served.iter().filter(|(at, arrival)| within(arrival) && at - arrival < 1_000_000).count();
    let arrived = simulation.arrived_at.values().filter(|t| within(t)).count();
    served as f64 / arrived as f64
}

#[test]
fn service_recovers_within_quota_and_slow_start_budget_when_all_copies_are_lost() {
    let (unchanged, changed) = (simulate(false), simulate(true));
    let usual = share_served(&unchanged, VERSION_CHANGE, END - 3_000_000);
    assert!(usual > 0.99, "only {usual} served within a second without new versions");
    assert!(
        load_requests_over_quota(&changed) <= 0.0,
        "load requests exceeded the quota by {}",
        load_requests_over_quota(&changed)
    );
    let (first, then) = (
        share_served(&changed, VERSION_CHANGE, VERSION_CHANGE + 2_000_000),
        share_served(&changed, VERSION_CHANGE + 2_000_000, END - 3_000_000),
    );
    let waited_for_load = |simulation: &Simulation| {
        let early = VERSION_CHANGE..VERSION_CHANGE + 2_000_000;
        let first = simulation.served.iter().filter(|(_, arrival)| early.contains(arrival));
        first.filter(|(at, arrival)| at - arrival > 2 * SERVICE_TIME).count()
    };
    let (waited, usual_waits) = (waited_for_load(&changed), waited_for_load(&unchanged));
    assert!(
        waited > 20 && waited > 4 * usual_waits,
        "{waited} calls waited for loads, {usual_waits} without new versions"
    );
    assert!(then > 0.98, "{first} served within a second in the first two seconds, {then} afterwards");
    // About one load for each worker that serves a function, not one for each router.
    assert!(changed.loads <= 3 * FUNCTIONS as usize, "{} loads by {ROUTERS} routers", changed.loads);
    // The started worker may receive up to three times its capacity, which is its share of 300 calls a
    // second.
    let capacity = (ROUTERS as f64 * 1e6 / CALL_INTERVAL as f64) / WORKERS as f64 * START_CAPACITY;
    let calls_in_second_from = |from: &i64| {
        changed.calls_to_started.iter().filter(|t| **t >= *from && **t < from + 1_000_000).count()
    };
    let early =
        changed.calls_to_started.iter().filter(|t| **t >= VERSION_CHANGE && **t < VERSION_CHANGE + 2_000_000);
    let most = early.map(calls_in_second_from).max().unwrap_or(0);
    let bound = 3.0 * capacity;
    let slack = 3.0 * bound.sqrt() + 3.0;
    assert!(most > 0, "the started worker received no calls");
    assert!(
        most as f64 <= bound + slack,
        "{most} calls in a second to the started worker, more than {bound} + {slack}"
    );
}
