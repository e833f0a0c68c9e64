//! What the pool says of requests whose bytes left in a turn that it was not told of yet, and of those that share a
//! connection. A worker here is a listener that accepts and says nothing.

use super::*;
use slatevalve::RequestId;
use slatevalve_platform::workers::Lines;
use slatevalve_reactor::Happening;
use std::net::TcpListener;
use std::time::Duration;

const WORKER: WorkerId = WorkerId(7);

struct Bench {
    reactor: Reactor,
    pool: Pool,
    _worker: TcpListener,
}

impl Bench {
    fn new(most: usize) -> Self {
        let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
        let settings = PoolSettings {
            connect_timeout: Micros(10_000_000),
            idle: Micros(10_000_000),
            most,
            total: 16,
            probe_timeout: Micros(10_000_000),
        };
        let wire = Lines { streams: 4, tells_crowd: false };
        let mut bench = Bench {
            reactor: Reactor::new(1 << 20).expect("a poller"),
            pool: Pool::new(settings, Box::new(wire), Micros(10_000_000)),
            _worker: worker,
        };
        let address = bench._worker.local_addr().expect("bound");
        bench.pool.list(&mut bench.reactor, WORKER, "w", address);
        bench
    }

    fn call(&mut self, request: u64) -> AttemptRef {
        let attempt = AttemptRef { request: RequestId(request), attempt: 0 };
        let order = Order::Infer(Call {
            function: "0000000000000001".into(),
            version: None,
            payload: b"charge".to_vec(),
            key: None,
            request_id: format!("{request:016x}"),
            attempt: 0,
            time_left_ms: 1_000,
            class: "card-charge".into(),
        });
        let end = self.pool.submit(Micros(0), &mut self.reactor, WORKER, Purpose::Attempt(attempt), order);
        assert!(end.is_none(), "it begins");
        attempt
    }

    /// Turns until a connection came up; the pool hears nothing of it, as when other news of the turn come first.
    fn until_up(&mut self) {
        let mut happened = Vec::new();
        for _ in 0..100 {
            self.reactor.turn(Some(Duration::from_millis(100)), &mut happened).expect("the poller works");
            if happened.iter().any(|h| matches!(h, Happening::Connected(_))) {
                return;
            }
        }
        panic!("no connection to a listener on this machine");
    }

    fn outcomes(ends: Vec<TaskEnd>) -> Vec<Outcome> {
        ends.into_iter().map(|e| e.understood.outcome).collect()
    }

    fn hold_back(&mut self) -> Vec<Outcome> {
        Self::outcomes(self.pool.hold_back(Micros(1), &mut self.reactor, WORKER))
    }

    fn call_off(&mut self, attempt: AttemptRef) -> Outcome {
        let end = self.pool.call_off(Micros(1), &mut self.reactor, attempt, Outcome::Cancelled);
        end.expect("it is out").understood.outcome
    }
}

#[test]
fn a_drain_told_in_the_turn_in_which_a_call_left_does_not_take_it_back() {
    let mut bench = Bench::new(8);
    bench.call(1);
    bench.until_up();
    assert_eq!(bench.hold_back(), [], "it has left and may run");
}

#[test]
fn a_drain_takes_back_what_waits_for_its_connection() {
    let mut bench = Bench::new(8);
    bench.call(1);
    assert_eq!(bench.hold_back(), [Outcome::NotSent]);
    assert_eq!(bench.pool.sizes()[1], 0, "its connection goes with it");
}

#[test]
fn a_call_given_up_in_the_turn_in_which_it_left_may_have_run() {
    let mut bench = Bench::new(8);
    let left = bench.call(1);
    bench.until_up();
    let waits = bench.call(2);
    assert_eq!(bench.call_off(left), Outcome::Cancelled);
    assert_eq!(bench.call_off(waits), Outcome::NotSent, "its own connection does not stand yet");
}

#[test]
fn a_call_given_up_while_others_wait_on_its_connection_leaves_with_them() {
    let mut bench = Bench::new(1);
    let (first, second) = (bench.call(1), bench.call(2));
    assert_eq!(bench.pool.sizes()[1], 1, "they share one");
    assert_eq!(bench.call_off(second), Outcome::Cancelled, "its bytes go out with the first one's");
    assert_eq!(bench.call_off(first), Outcome::NotSent, "alone, its connection closes unused");
}
