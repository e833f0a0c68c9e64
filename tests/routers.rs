//! The number of routers may change while a router runs: from then on it decides as one that was started so.

use slatevalve::*;

/// The actions of a router over a busy second before eight workers, and what it was told of its fellows at the start.
fn actions(routers_at_start: usize, told: &[usize]) -> Vec<String> {
    let class = Class { effect: Effect::Safe, ..Class::default() };
    let settings = Settings { routers: routers_at_start, classes: vec![class], ..Settings::default() };
    let (mut brain, mut out, mut seen) = (Brain::new(settings, 1), Vec::new(), Vec::new());
    let start = Micros(100_000_000);
    let entries = (1..=8).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    brain.handle(start, Event::Listed(Listing { scope: Scope::Full, entries }), &mut out);
    for routers in told {
        brain.handle(start, Event::Routers(*routers), &mut out);
    }
    for n in 0..600i64 {
        let now = Micros(start.0 + n * 1_700);
        let function = FunctionId(if n % 3 == 0 { n as u64 % 40 } else { 1 });
        let request = Request { id: RequestId(n as u64 + 1), function, ..Request::default() };
        brain.handle(now, Event::Request(request), &mut out);
        let mut answers = Vec::new();
        for action in out.drain(..) {
            if let Action::Send { id, worker, .. } = action {
                answers.push(Answer {
                    id,
                    attempt: 0,
                    worker,
                    outcome: Outcome::Ok,
                    closed: true,
                    latency: Micros(1_000),
                    crowd: None,
                    load_failed: false,
                    report: None,
                });
            }
            seen.push(format!("{action:?}"));
        }
        let later = Micros(now.0 + 1_000);
        answers.into_iter().for_each(|a| brain.handle(later, Event::Answer(a), &mut out));
    }
    seen
}

#[test]
fn a_router_that_hears_of_others_decides_from_then_on_as_one_started_among_them() {
    let (alone, among) = (actions(1, &[]), actions(8, &[]));
    assert_ne!(alone, among, "the number makes a difference in these calls");
    assert_eq!(actions(1, &[8]), among);
    assert_eq!(actions(8, &[1]), alone);
    assert_eq!(actions(1, &[3, 20, 8]), among);
    assert_eq!(actions(8, &[0]), alone, "nobody at all is this one alone");
}
