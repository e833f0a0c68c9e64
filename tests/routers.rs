//! Decisions that depend on the number of routers, on incremental worker lists and on probes.

use slatevalve::*;

/// The actions of a router with eight workers over a second of frequent calls, after the router counts
/// `updates`.
fn actions(routers_at_start: usize, updates: &[usize]) -> Vec<String> {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let settings = Settings { routers: routers_at_start, classes: vec![class], ..Settings::default() };
    let (mut balancer, mut out, mut seen) = (Balancer::new(settings, 1), Vec::new(), Vec::new());
    let start = Micros(100_000_000);
    let entries = (1..=8).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(start, Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    for routers in updates {
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
                    process: None,
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
    let (single, one_of_eight) = (actions(1, &[]), actions(8, &[]));
    assert_ne!(single, one_of_eight, "the router count has no effect on these calls");
    assert_eq!(actions(1, &[8]), one_of_eight);
    assert_eq!(actions(8, &[1]), single);
    assert_eq!(actions(1, &[3, 20, 8]), one_of_eight);
    assert_eq!(actions(8, &[0]), single, "a count of 0 does not act as a single router");
}

/// The actions of a router for 200 calls after the updates `listings` of the worker list.
fn actions_after(listings: Vec<Listing>) -> Vec<String> {
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
    let initial = full((1..=40).map(|id| ready(id, 1.0)).collect());
    let steps = vec![
        initial,
        changes(vec![entry(3, WorkerState::Draining, 1.0)]),
        changes(vec![entry(4, WorkerState::Gone, 1.0)]),
        changes(vec![ready(5, 1.5), ready(41, 1.0)]),
        // A repeated entry, then a worker that becomes ready again.
        changes(vec![ready(41, 1.0)]),
        changes(vec![ready(3, 1.0), entry(6, WorkerState::Draining, 1.0)]),
    ];
    let mut expected: Vec<WorkerEntry> = (1..=41).filter(|id| *id != 4).map(|id| ready(id, 1.0)).collect();
    expected.iter_mut().for_each(|e| match e.id.0 / 7_919 {
        5 => e.weight = 1.5,
        6 => e.state = WorkerState::Draining,
        _ => {}
    });
    assert_eq!(actions_after(steps), actions_after(vec![full(expected)]));
}

/// The probes that a router with little traffic and 100 workers sends for 600 calls of 60 functions, and its
/// calls to workers that reported a long queue within the second before. Each probe costs `price`; one of
/// `congested_divisor` workers reports a long queue.
fn probes(price: f64, congested_divisor: Option<u64>) -> (usize, usize) {
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
    let is_congested = |w: WorkerId| congested_divisor.is_some_and(|divisor| w.0.is_multiple_of(divisor));
    let (mut probes, mut calls_to_congested) = (0, 0);
    let mut reported_at = std::collections::HashMap::new();
    for n in 0..600u64 {
        let function = FunctionId(n * 7 % 60);
        let request =
            Request { id: RequestId(n + 1), function, budget: Micros(3_000_000), ..Request::default() };
        balancer.handle(now, Event::Request(request), &mut out);
        // Each probe is answered after a millisecond and each call at once, until no actions are left.
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                match action {
                    Action::Probe { worker } => {
                        probes += 1;
                        now.0 += 1_000;
                        reported_at.insert(worker, now);
                        let queue = Some(if is_congested(worker) { 12.0 } else { 0.0 });
                        let (outcome, latency) = (Outcome::Ok, Micros(1_000));
                        let report = Some(Report { queue, ..Report::default() });
                        balancer.handle(
                            now,
                            Event::ProbeCompleted { worker, outcome, latency, report, process: None },
                            &mut out,
                        );
                    }
                    Action::Send { id, worker, .. } => {
                        let is_recent = reported_at.get(&worker).is_some_and(|t| now.0 - t.0 < 1_000_000);
                        calls_to_congested += usize::from(is_recent && is_congested(worker));
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
                            process: None,
                        };
                        balancer.handle(now, Event::Answer(answer), &mut out);
                    }
                    _ => {}
                }
            }
        }
        now.0 += 100_000;
    }
    (probes, calls_to_congested)
}

#[test]
fn probes_are_sent_while_their_gain_exceeds_their_price() {
    let (unpriced, priced) = (probes(0.0, None).0, probes(0.2, None).0);
    assert!(unpriced > 300, "only {unpriced} probes of workers without recent contact at no price");
    assert!(
        (5..=30).contains(&priced),
        "{priced} probes for 600 calls, where only a few are needed to estimate the gain"
    );
    let (congested, sent) = probes(0.2, Some(2));
    assert!(congested > 10 * priced, "only {congested} probes with every second worker congested");
    assert_eq!(sent, 0, "calls were sent to workers that reported a long queue");
}

/// The calls sent to an unresponsive worker, one of eight, in two minutes of ten calls a second, and the
/// probes sent. The price of probes exceeds their usual gain.
fn calls_lost_at_unresponsive_worker() -> (usize, usize) {
    let class = Class { effect: Effect::Idempotent, ..Class::default() };
    let settings = Settings { routers: 300, classes: vec![class], probe_price: 0.5, ..Settings::default() };
    let (mut balancer, mut out) = (Balancer::new(settings, 1), Vec::new());
    let start = 100_000_000;
    let entries = (1..=8).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(Micros(start), Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    let is_silent = |w: WorkerId| w == WorkerId(3);
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
                    sent += usize::from(is_silent(worker));
                    let duration = if is_silent(worker) { 2_900_000 } else { 20_000 };
                    let outcome = if is_silent(worker) { Outcome::TimedOut } else { Outcome::Ok };
                    let nth = attempts.entry(id).or_insert(0);
                    let attempt = std::mem::replace(nth, *nth + 1);
                    let (latency, closed) = (Micros(duration), outcome == Outcome::Ok);
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
                        process: None,
                    };
                    (duration, Event::Answer(answer))
                }
                Action::Probe { worker } => {
                    probes += 1;
                    let duration = if is_silent(worker) { 1_000_000 } else { 1_000 };
                    let outcome = if is_silent(worker) { Outcome::TimedOut } else { Outcome::Ok };
                    (
                        duration,
                        Event::ProbeCompleted {
                            worker,
                            outcome,
                            latency: Micros(duration),
                            report: None,
                            process: None,
                        },
                    )
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
    // The first lost calls make the worker suspect; from then on probes show that it is still unresponsive.
    assert!((1..=4).contains(&sent), "{sent} calls were sent to the unresponsive worker");
    assert!(probes < 120, "{probes} probes for 1,200 calls");
}

/// What happens to a call of a class that is refused behind long queues, and after how many milliseconds. The
/// probe of the first of two workers is answered after `silent_ms`; `had_contact` is whether the workers
/// were probed before.
fn outcomes_behind_slow_probes(had_contact: bool, silent_ms: i64) -> Vec<(i64, &'static str)> {
    let class = |latency_objective| Class {
        effect: Effect::Idempotent,
        latency_objective: Micros(latency_objective),
        ..Class::default()
    };
    // The other class has more value per unit of work, so that this one is refused first.
    let classes = vec![class(1_000_000), class(100_000)];
    let (mut balancer, mut out) = (Balancer::new(Settings { classes, ..Settings::default() }, 1), Vec::new());
    let start = 100_000_000;
    let entries = (1..=2).map(|id| WorkerEntry { id: WorkerId(id), ..WorkerEntry::default() }).collect();
    balancer.handle(Micros(start), Event::WorkersListed(Listing { scope: Scope::Full, entries }), &mut out);
    let probed = |worker| Event::ProbeCompleted {
        worker,
        outcome: Outcome::Ok,
        latency: Micros(1_000),
        report: None,
        process: None,
    };
    if had_contact {
        (1..=2).for_each(|w| balancer.handle(Micros(start), probed(WorkerId(w)), &mut out));
    }
    // Long enough after the last contact for another probe.
    let arrival = start + 5_000_000;
    let request = Request { id: RequestId(1), budget: Micros(3_000_000), ..Request::default() };
    let mut queue = std::collections::BTreeMap::from([((arrival, 0), Event::Request(request))]);
    let (mut done, mut order) = (Vec::new(), 0);
    while let Some(((now, _), event)) = queue.pop_first().filter(|e| e.0 .0 < arrival + 400_000) {
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
                    let result = if matches!(action, Action::Send { .. }) { "sent" } else { "refused" };
                    done.push(((now - arrival) / 1_000, result));
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
fn a_probe_response_after_ten_milliseconds_causes_no_refusal() {
    // Guards against refusals on a busy machine: connections and answers took 10 to 20 ms there, and calls
    // with five seconds left were refused.
    assert_eq!(
        outcomes_behind_slow_probes(false, 20),
        [(14, "sent")],
        "a worker without any contact may still be starting"
    );
    assert_eq!(outcomes_behind_slow_probes(false, 300), [(14, "sent")]);
    assert_eq!(
        outcomes_behind_slow_probes(true, 20).last().map(|d| d.1),
        Some("sent"),
        "the worker answered the probe in time"
    );
    assert_eq!(
        outcomes_behind_slow_probes(true, 300),
        [(100, "refused")],
        "a probe unanswered for a tenth of the objective indicates a long queue"
    );
}
