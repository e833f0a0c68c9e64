//! Cost and memory of requests that are cancelled at once, of one function or of ever new ones.

use crate::{
    Action, Answer, Balancer, Class, Effect, Event, FunctionId, Listing, Micros, Outcome, Request, RequestId,
    Scope, Settings, WorkerEntry, WorkerId,
};
use std::ops::Range;
use std::time::{Duration, Instant};

const WINDOW: Micros = Micros(1_000_000);
/// Time between two requests.
const INTERVAL: Micros = Micros(100);

fn balancer() -> Balancer {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let mut settings = Settings { classes: vec![class], ..Settings::default() };
    settings.loading.load_requests = true;
    settings.loading.load_quota_window = WINDOW;
    settings.loading.load_quota_share = 1.0;
    settings.limits.probes = false;
    let mut balancer = Balancer::new(settings, 1);
    let entries = (0..4).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    let listing = Listing { scope: Scope::Full, entries };
    balancer.handle(Micros(0), Event::WorkersListed(listing), &mut Vec::new());
    balancer
}

/// Passes an event to the balancer, and ends what it sends at once: loads succeed, attempts are not sent.
fn handle(balancer: &mut Balancer, now: Micros, event: Event) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        balancer.handle(now, event, &mut actions);
        events.extend(actions.into_iter().filter_map(end));
    }
}

fn end(action: Action) -> Option<Event> {
    match action {
        Action::Load { worker, function, copies } => {
            let (outcome, latency) = (Outcome::Ok, Micros(1_000));
            Some(Event::LoadCompleted { worker, function, outcome, copies, latency })
        }
        Action::Send { id, worker, .. } => Some(Event::Answer(Answer {
            id,
            attempt: 0,
            worker,
            outcome: Outcome::Ok,
            closed: true,
            latency: Micros(1_000),
            queue_depth: None,
            load_failed: false,
            report: None,
            process: None,
        })),
        _ => None,
    }
}

/// Sends requests of the functions with these numbers; the client of each leaves at once.
fn send_and_leave(
    balancer: &mut Balancer,
    numbers: Range<u64>,
    function_of: impl Fn(u64) -> u64,
) -> Duration {
    let start = Instant::now();
    for number in numbers {
        let now = Micros(number as i64 * INTERVAL.0);
        let (id, function) = (RequestId(number), FunctionId(function_of(number)));
        let request = Request { id, function, budget: Micros(1_000_000), ..Request::default() };
        handle(balancer, now, Event::Request(request));
        handle(balancer, now, Event::ClientDisconnected { id });
    }
    start.elapsed()
}

/// Guards against memory that grows with each request while no function has to be loaded (report 9fde00).
#[test]
fn request_times_beyond_the_quota_window_are_forgotten_without_a_load() {
    let mut balancer = balancer();
    send_and_leave(&mut balancer, 0..50_000, |_| 1);
    let kept = balancer.placement.request_times.len() as i64;
    assert!(kept <= WINDOW.0 / INTERVAL.0, "{kept} times kept");
}

/// Guards against requests under ever new function names that cost the more the more there were before (report
/// 9fde00).
#[test]
fn a_request_of_a_new_function_costs_the_same_after_many_others() {
    let mut balancer = balancer();
    let first = send_and_leave(&mut balancer, 0..2_000, |number| number);
    send_and_leave(&mut balancer, 2_000..12_000, |number| number);
    let last = send_and_leave(&mut balancer, 12_000..14_000, |number| number);
    // Tables are larger, so that look-ups take a little longer.
    let allowed = first * 3 + Duration::from_millis(10);
    assert!(last < allowed, "{last:?} for the last requests, {first:?} for the first");
    let functions = balancer.placement.functions.len();
    assert!(functions <= super::super::placement::FUNCTIONS_MAX + 1, "{functions} functions");
}
