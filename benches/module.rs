//! CPU time of the balancer for one request with all its events, and for one change of the worker list, by
//! the number of workers. `cargo bench -p slatevalve`

use criterion::{BenchmarkId, Criterion};
use slatevalve::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A router in a simulated environment: every probe, load request and attempt succeeds after a fixed time.
struct SimulatedRouter {
    balancer: Balancer,
    now: i64,
    last_request: u64,
    due: BinaryHeap<Reverse<(i64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    actions: Vec<Action>,
    last_event: u64,
}

impl SimulatedRouter {
    fn new(workers: u64) -> Self {
        let class = Class { effect: Effect::Idempotent, ..Class::default() };
        let settings =
            Settings { classes: vec![class], reports: LoadReportSource::Answers, ..Settings::default() };
        let entries = (0..workers)
            .map(|index| WorkerEntry { id: WorkerId(index * 7_919 + 1), ..WorkerEntry::default() });
        let listing = Listing { scope: Scope::Full, entries: entries.collect() };
        let mut balancer = Balancer::new(settings, 1);
        let mut actions = Vec::new();
        balancer.handle(Micros(1), Event::WorkersListed(listing), &mut actions);
        let (due, events) = (BinaryHeap::new(), std::collections::HashMap::new());
        let mut router =
            SimulatedRouter { balancer, now: 1, last_request: 0, due, events, actions, last_event: 0 };
        // Warm-up: the same functions for all sizes, called often enough for stable statistics.
        (0..3_000).for_each(|_| router.request());
        router
    }

    fn schedule(&mut self, micros: i64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.due.push(Reverse((self.now + micros, self.last_event)));
    }

    fn execute(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { id, worker, .. } => {
                    let answer = Answer {
                        id,
                        attempt: 0,
                        worker,
                        outcome: Outcome::Ok,
                        closed: true,
                        latency: Micros(5_000),
                        queue_depth: None,
                        load_failed: false,
                        report: Some(Report { queue: Some(0.0), inflight: Some(1.0), util: Some(0.3) }),
                        process: None,
                    };
                    self.schedule(5_000, Event::Answer(answer));
                }
                Action::Probe { worker } => {
                    let (outcome, latency, report) = (Outcome::Ok, Micros(300), None);
                    self.schedule(
                        300,
                        Event::ProbeCompleted { worker, outcome, latency, report, process: None },
                    );
                }
                Action::Load { worker, function, copies } => {
                    let (outcome, latency) = (Outcome::Ok, Micros(1_000));
                    self.schedule(
                        1_000,
                        Event::LoadCompleted { worker, function, outcome, copies: copies.max(1), latency },
                    );
                }
                Action::Wake { at, token } => self.schedule((at.0 - self.now).max(0), Event::Wake { token }),
                _ => {}
            }
        }
    }

    /// Advances the time by a millisecond, handles the events due until then, and sends one request.
    fn request(&mut self) {
        let until = self.now + 1_000;
        while let Some(Reverse((at, number))) = self.due.peek().copied().filter(|entry| entry.0 .0 <= until) {
            self.due.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.balancer.handle(Micros(at), event, &mut self.actions);
                self.execute();
            }
        }
        self.now = until;
        self.last_request += 1;
        let function = FunctionId(self.last_request * self.last_request % 61);
        let request = Request { id: RequestId(self.last_request), function, ..Request::default() };
        self.balancer.handle(Micros(until), Event::Request(request), &mut self.actions);
        self.execute();
    }
}

fn request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("module: one request, all its events");
    group.sample_size(20);
    for workers in [3, 12, 85, 1_000] {
        let mut router = SimulatedRouter::new(workers);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| router.request())
        });
    }
    group.finish();
}

/// One worker alternates between draining and ready.
fn list_change(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("module: one change of the list");
    group.sample_size(20);
    for workers in [12, 85, 1_000] {
        let mut router = SimulatedRouter::new(workers);
        let mut draining = false;
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                draining = !draining;
                let state = if draining { WorkerState::Draining } else { WorkerState::Ready };
                let entry = WorkerEntry { id: WorkerId(7_919 + 1), state, ..WorkerEntry::default() };
                let listing = Listing { scope: Scope::Changes, entries: vec![entry] };
                router.balancer.handle(
                    Micros(router.now),
                    Event::WorkersListed(listing),
                    &mut router.actions,
                );
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    request(&mut criterion);
    list_change(&mut criterion);
    criterion.final_summary();
}
