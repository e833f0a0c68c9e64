//! The number of routers may change while a router runs: from then on it decides as one that was started so.

use slatevalve::*;

/// The actions of a router over a busy second before eight workers, and what it was told of its fellows at the start.
fn actions(routers_at_start: usize, told: &[usize]) -> Vec<String> {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let settings = Settings { routers: routers_at_start, classes: vec![class], ..Settings::default() };
    let (mut balancer, mut out, mut seen) = (Balancer::new(settings, 1), Vec::new(), Vec::new());
    let start = Micros(100_000_000);
    let entries = (1..=8).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(start, Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    for routers in told {
        balancer.handle(start, Event::RouterCountChanged(*routers), &mut out);
    }
    for n in 0..600i64 {
        let now = Micros(start.0 + n * 1_700);
        let function = FunctionId(if n % 3 == 0 { n as u64 % 40 } else { 1 });
        let request = Request { id: RequestId(n as u64 + 1), function, ..Request::default() };
        balancer.handle(now, Event::Request(request), &mut out);
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
                    queue_depth: None,
                    load_failed: false,
                    report: None,
                });
            }
            seen.push(format!("{action:?}"));
        }
        let later = Micros(now.0 + 1_000);
        answers.into_iter().for_each(|a| balancer.handle(later, Event::Answer(a), &mut out));
    }
    seen
}

#[test]
fn a_changed_router_count_has_the_effect_of_one_set_at_start() {
    let (alone, among) = (actions(1, &[]), actions(8, &[]));
    assert_ne!(alone, among, "the number makes a difference in these calls");
    assert_eq!(actions(1, &[8]), among);
    assert_eq!(actions(8, &[1]), alone);
    assert_eq!(actions(1, &[3, 20, 8]), among);
    assert_eq!(actions(8, &[0]), alone, "nobody at all is this one alone");
}

/// What a router does with calls, once it knows a fleet by the list's events given.
fn after(listings: Vec<Listing>) -> Vec<String> {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let settings = Settings { classes: vec![class], weights: Weights::Size, ..Settings::default() };
    let (mut balancer, mut out) = (Balancer::new(settings, 1), Vec::new());
    listings.into_iter().for_each(|l| balancer.handle(Micros(1_000), Event::WorkersListed(l), &mut out));
    out.clear();
    for n in 0..200u64 {
        let request = Request { id: RequestId(n + 1), function: FunctionId(n), ..Request::default() };
        balancer.handle(Micros(2_000), Event::Request(request), &mut out);
    }
    out.iter().map(|a| format!("{a:?}")).collect()
}

#[test]
fn incremental_lists_lead_to_the_same_ring_as_a_complete_one() {
    let entry = |id: u64, state: WorkerState, weight: f64| WorkerEntry {
        id: WorkerId(id * 7_919),
        state,
        weight,
        ..WorkerEntry::default()
    };
    let ready = |id, weight| entry(id, WorkerState::Ready, weight);
    let changes = |entries| Listing { scope: Scope::Changes, entries };
    let full = |entries| Listing { scope: Scope::Full, entries };
    let begun = full((1..=40).map(|id| ready(id, 1.0)).collect());
    let steps = vec![
        begun,
        changes(vec![entry(3, WorkerState::Draining, 1.0)]),
        changes(vec![entry(4, WorkerState::Gone, 1.0)]),
        changes(vec![ready(5, 1.5), ready(41, 1.0)]),
        // The same twice, and one that comes back.
        changes(vec![ready(41, 1.0)]),
        changes(vec![ready(3, 1.0), entry(6, WorkerState::Draining, 1.0)]),
    ];
    let mut end: Vec<WorkerEntry> = (1..=41).filter(|id| *id != 4).map(|id| ready(id, 1.0)).collect();
    end.iter_mut().for_each(|e| match e.id.0 / 7_919 {
        5 => e.weight = 1.5,
        6 => e.state = WorkerState::Draining,
        _ => {}
    });
    assert_eq!(after(steps), after(vec![full(end)]));
}

/// Probes that a router of little traffic before 100 workers sends for 600 calls of 60 functions, at a price for each;
/// one of `jammed` workers tells of a long queue. Also its calls to those that told so within the second before.
fn probes(price: f64, jammed: Option<u64>) -> (usize, usize) {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let settings = Settings {
        routers: 300,
        classes: vec![class],
        reports: LoadReportSource::Probes,
        probe_price: price,
        ..Settings::default()
    };
    let (mut balancer, mut out) = (Balancer::new(settings, 1), Vec::new());
    let mut now = Micros(100_000_000);
    let entries = (0..100).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(now, Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    let is_jammed = |w: WorkerId| jammed.is_some_and(|one_of| w.0.is_multiple_of(one_of));
    let (mut probes, mut known_and_sent) = (0, 0);
    let mut told = std::collections::HashMap::new();
    for n in 0..600u64 {
        let function = FunctionId(n * 7 % 60);
        let request =
            Request { id: RequestId(n + 1), function, budget: Micros(3_000_000), ..Request::default() };
        balancer.handle(now, Event::Request(request), &mut out);
        // Each probe is answered after a millisecond, each call at once, until nothing more is wanted.
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                match action {
                    Action::Probe { worker } => {
                        probes += 1;
                        now.0 += 1_000;
                        told.insert(worker, now);
                        let queue = Some(if is_jammed(worker) { 12.0 } else { 0.0 });
                        let (outcome, latency) = (Outcome::Ok, Micros(1_000));
                        let report = Some(Report { queue, ..Report::default() });
                        balancer.handle(
                            now,
                            Event::ProbeCompleted { worker, outcome, latency, report },
                            &mut out,
                        );
                    }
                    Action::Send { id, worker, .. } => {
                        let lately = told.get(&worker).is_some_and(|t| now.0 - t.0 < 1_000_000);
                        known_and_sent += usize::from(lately && is_jammed(worker));
                        let (outcome, latency) = (Outcome::Ok, Micros(100_000));
                        let (attempt, closed, queue_depth, report) = (0, true, None, None);
                        let answer = Answer {
                            id,
                            attempt,
                            worker,
                            outcome,
                            closed,
                            latency,
                            queue_depth,
                            load_failed: false,
                            report,
                        };
                        balancer.handle(now, Event::Answer(answer), &mut out);
                    }
                    _ => {}
                }
            }
        }
        now.0 += 100_000;
    }
    (probes, known_and_sent)
}

#[test]
fn probes_are_sent_while_they_gain_more_than_they_cost() {
    let (free, dear) = (probes(0.0, None).0, probes(0.2, None).0);
    assert!(free > 300, "where they cost nothing a worker not heard from is asked: {free}");
    assert!(
        (5..=30).contains(&dear),
        "where nobody is jammed a few are sent to learn from: {dear} for 600 calls"
    );
    let (mostly_jammed, sent) = probes(0.2, Some(2));
    assert!(mostly_jammed > 10 * dear, "where every second worker is jammed they pay: {mostly_jammed}");
    assert_eq!(sent, 0, "and what they tell is kept to");
}

/// Calls that a worker which never answers anything swallows in two minutes of ten calls a second before eight, at a price at
/// which probes do not pay; and the probes sent.
fn calls_lost_at_unresponsive_worker() -> (usize, usize) {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let settings = Settings { routers: 300, classes: vec![class], probe_price: 0.5, ..Settings::default() };
    let (mut balancer, mut out) = (Balancer::new(settings, 1), Vec::new());
    let start = 100_000_000;
    let entries = (1..=8).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(Micros(start), Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    let silent = |w: WorkerId| w == WorkerId(3);
    let mut queue: std::collections::BTreeMap<(i64, usize), Event> = (0..1_200)
        .map(|n| {
            let (id, function) = (RequestId(n as u64 + 1), FunctionId(n as u64 % 40));
            let request = Request { id, function, budget: Micros(3_000_000), ..Request::default() };
            ((start + n * 100_000, n as usize), Event::Request(request))
        })
        .collect();
    let (mut sent, mut probes, mut order) = (0, 0, 10_000);
    let mut attempts = std::collections::HashMap::new();
    while let Some(((now, _), event)) = queue.pop_first() {
        balancer.handle(Micros(now), event, &mut out);
        for action in out.drain(..) {
            order += 1;
            let (after, event) = match action {
                Action::Send { id, worker, .. } => {
                    sent += usize::from(silent(worker));
                    let lasts = if silent(worker) { 2_900_000 } else { 20_000 };
                    let outcome = if silent(worker) { Outcome::TimedOut } else { Outcome::Ok };
                    let nth = attempts.entry(id).or_insert(0);
                    let attempt = std::mem::replace(nth, *nth + 1);
                    let (latency, closed) = (Micros(lasts), outcome == Outcome::Ok);
                    let (queue_depth, load_failed, report) = (None, false, None);
                    let answer = Answer {
                        id,
                        attempt,
                        worker,
                        outcome,
                        closed,
                        latency,
                        queue_depth,
                        load_failed,
                        report,
                    };
                    (lasts, Event::Answer(answer))
                }
                Action::Probe { worker } => {
                    probes += 1;
                    let lasts = if silent(worker) { 1_000_000 } else { 1_000 };
                    let outcome = if silent(worker) { Outcome::TimedOut } else { Outcome::Ok };
                    (lasts, Event::ProbeCompleted { worker, outcome, latency: Micros(lasts), report: None })
                }
                Action::Load { worker, function, copies } => {
                    let (outcome, latency) = (Outcome::Ok, Micros(10_000));
                    (10_000, Event::LoadCompleted { worker, function, outcome, copies, latency })
                }
                Action::Wake { at, token } => (at.0 - now, Event::Wake { token }),
                _ => continue,
            };
            queue.insert((now + after.max(0), order), event);
        }
    }
    (sent, probes)
}

#[test]
fn a_suspect_worker_is_probed_before_it_is_sent_a_call() {
    let (sent, probes) = calls_lost_at_unresponsive_worker();
    // The first ones that it swallows tell of it; from then on probes find it silent still.
    assert!((1..=4).contains(&sent), "{sent} calls went to the silent worker");
    assert!(probes < 120, "{probes} probes for 1,200 calls");
}

/// A call of a class that is refused behind crowds, before two workers of which the first one asked says nothing for
/// `silent_ms`; `met` is whether it was heard from before. What was done about the call, and when, in milliseconds.
fn outcomes_behind_slow_probes(met: bool, silent_ms: i64) -> Vec<(i64, &'static str)> {
    let class = |latency_objective| Class {
        effect: Effect::Idempotent,
        latency_objective: Micros(latency_objective),
        ..Class::default()
    };
    // The other class has more worth for its work, so that this one is the first to be refused.
    let classes = vec![class(1_000_000), class(100_000)];
    let (mut balancer, mut out) = (Balancer::new(Settings { classes, ..Settings::default() }, 1), Vec::new());
    let start = 100_000_000;
    let entries = (1..=2).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(Micros(start), Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    let probed =
        |worker| Event::ProbeCompleted { worker, outcome: Outcome::Ok, latency: Micros(1_000), report: None };
    if met {
        (1..=2).for_each(|w| balancer.handle(Micros(start), probed(WorkerId(w)), &mut out));
    }
    // Long enough ago for it to be asked anew.
    let begun = start + 5_000_000;
    let request = Request { id: RequestId(1), budget: Micros(3_000_000), ..Request::default() };
    let mut queue = std::collections::BTreeMap::from([((begun, 0), Event::Request(request))]);
    let (mut done, mut order) = (Vec::new(), 0);
    while let Some(((now, _), event)) = queue.pop_first().filter(|e| e.0 .0 < begun + 400_000) {
        balancer.handle(Micros(now), event, &mut out);
        for action in out.drain(..) {
            order += 1;
            let (at, event) = match action {
                Action::Probe { worker } => (now + silent_ms * 1_000, probed(worker)),
                Action::Load { worker, function, copies } => {
                    let (outcome, latency) = (Outcome::Ok, Micros(1_000));
                    (now + 1_000, Event::LoadCompleted { worker, function, outcome, copies, latency })
                }
                Action::Wake { at, token } => (at.0.max(now), Event::Wake { token }),
                Action::Send { .. } | Action::Refuse { .. } => {
                    let word = if matches!(action, Action::Send { .. }) { "sent" } else { "refused" };
                    done.push(((now - begun) / 1_000, word));
                    continue;
                }
                _ => continue,
            };
            queue.insert((at, order), event);
        }
    }
    done
}

#[test]
fn ten_milliseconds_without_a_probe_response_refuse_no_call() {
    // Seen on a machine that was busy: connections and answers took 10 to 20 ms, and calls with five seconds left were refused.
    assert_eq!(
        outcomes_behind_slow_probes(false, 20),
        [(14, "sent")],
        "one never heard from: it may be coming up"
    );
    assert_eq!(outcomes_behind_slow_probes(false, 300), [(14, "sent")]);
    assert_eq!(
        outcomes_behind_slow_probes(true, 20).last().map(|d| d.1),
        Some("sent"),
        "it answered after all"
    );
    assert_eq!(
        outcomes_behind_slow_probes(true, 300),
        [(100, "refused")],
        "a tenth of the aim tells of a crowd"
    );
}
