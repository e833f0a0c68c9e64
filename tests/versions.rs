//! New versions of all that is loaded arrive on a quiet day: every copy is gone at once, and nothing else is wrong. Many
//! instances of the module before workers in simulated time; what they order and send is counted here, by itself.

use slatevalve::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

const ROUTERS: usize = 30;
const WORKERS: u64 = 10;
const FUNCTIONS: u64 = 20;
/// Calls come to each router so far apart, in microseconds, in turn over all routers.
const EVERY: i64 = 100_000;
const LOAD: i64 = 400_000;
const WORK: i64 = 60_000;
/// When the new versions come, and when the day ends.
const NEW: i64 = 8_000_000;
const END: i64 = 16_000_000;
/// The ration of each router: so many orders in the window, and so many more for each request taken in it.
const WINDOW: i64 = 2_000_000;
const FREE: f64 = 2.0;
const SHARE: f64 = 0.3;
/// This worker has just come up when the new versions do, and begins with this part of its capacity.
const COLD: u64 = 3;
const START: f64 = 0.3;

enum Due {
    Call(usize),
    Tell(usize, Box<Event>),
}

#[derive(Default)]
struct Day {
    now: i64,
    agenda: BTreeMap<(i64, u64), Due>,
    next: u64,
    /// When a copy stands, by worker and function.
    copies: HashMap<(u64, u64), i64>,
    attempts: HashMap<(usize, u64), usize>,
    functions: HashMap<(usize, u64), u64>,
    asked: HashMap<(usize, u64), i64>,
    /// For each router, times of requests taken and of orders.
    taken: Vec<Vec<i64>>,
    orders: Vec<Vec<i64>>,
    /// Times of all calls that reached the cold worker.
    cold: Vec<i64>,
    /// Times of requests served, with the time of their coming, and of those that were not.
    served: Vec<(i64, i64)>,
    lost: Vec<i64>,
    loads: usize,
}

impl Day {
    fn at(&mut self, after: i64, due: Due) {
        self.next += 1;
        self.agenda.insert((self.now + after, self.next), due);
    }

    fn handle_event(&mut self, after: i64, router: usize, event: Event) {
        self.at(after, Due::Tell(router, Box::new(event)));
    }

    fn act(&mut self, n: usize, action: Action) {
        match action {
            Action::Send { id, worker, .. } => {
                let attempt = self.attempts.entry((n, id.0)).or_default();
                *attempt += 1;
                let (attempt, function) = (*attempt - 1, self.functions[&(n, id.0)]);
                if worker.0 == COLD {
                    self.cold.push(self.now);
                }
                let stands = self.copies.get(&(worker.0, function)).copied();
                // A load under way is waited for, once its order has come.
                let (outcome, taken) = match stands {
                    Some(at) => (Outcome::Ok, (at - self.now).max(0) + WORK),
                    None => (Outcome::Miss, 1_000),
                };
                let answer = Answer {
                    id,
                    attempt,
                    worker,
                    outcome,
                    closed: outcome == Outcome::Ok,
                    latency: Micros(taken),
                    queue_depth: None,
                    load_failed: false,
                    report: None,
                };
                self.handle_event(taken, n, Event::Answer(answer));
            }
            Action::Load { worker, function, copies } => {
                self.orders[n].push(self.now);
                let now = self.now;
                let mut begun = 0;
                let stands = *self.copies.entry((worker.0, function.0)).or_insert_with(|| {
                    begun = 1;
                    now + LOAD
                });
                self.loads += begun;
                let taken = (stands - now).max(1_000);
                let (outcome, latency) = (Outcome::Ok, Micros(taken));
                self.handle_event(
                    taken,
                    n,
                    Event::LoadCompleted { worker, function, outcome, copies, latency },
                );
            }
            Action::Wake { at, token } => {
                self.handle_event((at.0 - self.now).max(0), n, Event::Wake { token });
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.lost.push(self.asked[&(n, id.0)]),
            _ => {}
        }
    }
}

fn day(new_versions: bool) -> Day {
    let settings = Settings {
        routers: ROUTERS,
        classes: vec![Class { effect: Effect::NonIdempotent, ..Class::default() }],
        loading: Loading {
            on_request: false,
            load_requests: true,
            idle_retention: Micros(20_000_000),
            load_quota_window: Micros(WINDOW),
            load_quota_free: FREE,
            load_quota_share: SHARE,
            ..Loading::default()
        },
        limits: Limits { probes: false, max_attempts: 3, ..Limits::default() },
        rules: Rules { start_capacity: START, warm_up_time: Micros(6_000_000), ..Rules::default() },
        ..Settings::default()
    };
    let mut brains: Vec<Balancer> =
        (0..ROUTERS).map(|n| Balancer::new(settings.clone(), n as u64 + 1)).collect();
    let mut day =
        Day { taken: vec![vec![]; ROUTERS], orders: vec![vec![]; ROUTERS], now: 1_000_000, ..Day::default() };
    let entries: Vec<WorkerEntry> =
        (1..=WORKERS).map(|w| WorkerEntry { id: WorkerId(w), ..WorkerEntry::default() }).collect();
    for n in 0..ROUTERS {
        let listing = Listing { scope: Scope::Full, entries: entries.clone() };
        day.handle_event(0, n, Event::WorkersListed(listing));
        let first = 1_000 + n as i64 * EVERY / ROUTERS as i64;
        day.at(first, Due::Call(n));
    }
    let (mut requests, mut changed) = (0, !new_versions);
    while let Some(((at, _), due)) = day.agenda.pop_first() {
        day.now = at;
        if at >= END {
            break;
        }
        if !changed && at >= NEW {
            changed = true;
            day.copies.clear();
            day.loads = 0;
            let up_since = Some(Micros(at));
            let cold = WorkerEntry { id: WorkerId(COLD), up_since, ..WorkerEntry::default() };
            for n in 0..ROUTERS {
                day.handle_event(
                    0,
                    n,
                    Event::WorkersListed(Listing { scope: Scope::Changes, entries: vec![cold.clone()] }),
                );
            }
        }
        let (n, event) = match due {
            Due::Tell(n, event) => (n, *event),
            Due::Call(n) => {
                requests += 1;
                // Half of the calls are for a fifth of the functions.
                let draw = (requests * 7919 + requests / 13) % 40;
                let function = if draw < 20 { draw % 4 } else { draw % FUNCTIONS };
                day.functions.insert((n, requests), function);
                day.asked.insert((n, requests), at);
                day.taken[n].push(at);
                day.at(EVERY, Due::Call(n));
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
            let came = day.asked[&(n, id.0)];
            day.served.push((at, came));
        }
        let mut out = Vec::new();
        brains[n].handle(Micros(at), event, &mut out);
        out.into_iter().for_each(|action| day.act(n, action));
    }
    day
}

/// The most that a router ordered beyond its ration at any order.
fn load_requests_over_quota(day: &Day) -> f64 {
    let mut most = f64::MIN;
    for (orders, taken) in day.orders.iter().zip(&day.taken) {
        let mut window: VecDeque<i64> = VecDeque::new();
        for at in orders {
            window.push_back(*at);
            window.retain(|t| at - t <= WINDOW);
            let requests = taken.iter().filter(|t| **t <= *at && at - **t < WINDOW).count();
            most = most.max(window.len() as f64 - FREE - SHARE * requests as f64);
        }
    }
    most
}

fn share_served(day: &Day, from: i64, to: i64) -> f64 {
    let within = |t: &i64| (from..to).contains(t);
    let served = day.served.iter().filter(|(at, came)| within(came) && at - came < 1_000_000).count();
    let asked = day.asked.values().filter(|t| within(t)).count();
    served as f64 / asked as f64
}

#[test]
fn service_recovers_within_quota_and_slow_start_budget_when_all_copies_are_lost() {
    let (quiet, day) = (day(false), day(true));
    let usual = share_served(&quiet, NEW, END - 3_000_000);
    assert!(usual > 0.99, "{usual} of a day without news");
    assert!(
        load_requests_over_quota(&day) <= 0.0,
        "an order beyond the ration: {}",
        load_requests_over_quota(&day)
    );
    let (first, then) =
        (share_served(&day, NEW, NEW + 2_000_000), share_served(&day, NEW + 2_000_000, END - 3_000_000));
    let waited = |d: &Day| {
        let first = d.served.iter().filter(|(_, came)| (NEW..NEW + 2_000_000).contains(came));
        first.filter(|(at, came)| at - came > 2 * WORK).count()
    };
    let (felt, before) = (waited(&day), waited(&quiet));
    assert!(felt > 20 && felt > 4 * before, "calls waited for copies: {felt}, {before} without news");
    assert!(then > 0.98, "{first} in the first two seconds, {then} afterwards");
    // About one load for each worker that serves a function, not one for each router.
    assert!(day.loads <= 3 * FUNCTIONS as usize, "{} loads by {ROUTERS} routers", day.loads);
    // In a second the cold worker may get three times what it can do: its part of 300 calls a second.
    let capacity = (ROUTERS as f64 * 1e6 / EVERY as f64) / WORKERS as f64 * START;
    let second = |from: &i64| day.cold.iter().filter(|t| **t >= *from && **t < from + 1_000_000).count();
    let early = day.cold.iter().filter(|t| **t >= NEW && **t < NEW + 2_000_000);
    let most = early.map(second).max().unwrap_or(0);
    let bound = 3.0 * capacity;
    let slack = 3.0 * bound.sqrt() + 3.0;
    assert!(most > 0, "it takes part");
    assert!(most as f64 <= bound + slack, "{most} calls in a second to the cold worker, {bound} + {slack}");
}
