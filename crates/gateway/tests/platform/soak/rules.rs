//! Checks of the platform's rules on the records of a run.

use super::clients::{Call, Ending};
use super::run::{Drained, LogOutage, RouterExit, RunRecord};
use crate::test_servers::{Command, Received};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An answer that is later than this after the client's timeout counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Attempts may still start this long after their client left.
const LEAVE_GRACE: Duration = Duration::from_millis(100);
/// The drain grace of the settings plus the tolerance for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// A change during an outage of the log counts as delivered this long after the start or the end of the
/// outage, whichever comes first.
const DELIVERED_AFTER_START: Duration = Duration::from_secs(7);
const DELIVERED_AFTER_END: Duration = Duration::from_secs(2);
/// A change counts as delivered this long after a move of the log.
const DELIVERED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Tolerance by which the time allowed to a worker may exceed the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// The client sends a request once more if its connection closes within this time after it was sent.
const RESEND_WINDOW: Duration = Duration::from_millis(50);

/// Describes each violation of a rule in a run, after the run's script; empty if there is none.
pub(super) fn check(run: &RunRecord) -> Vec<String> {
    let calls: HashMap<&str, &Call> = run.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut violations = Vec::new();
    violations.extend(run.calls.iter().filter_map(|call| lost(call, &run.router_exits)));
    violations.extend(run.drained.iter().filter_map(|drained| sent_to_draining(run, drained)));
    violations.extend(unsafe_runs(run, &calls));
    for received in run.received.iter().flatten() {
        violations.extend(sent_for_client(received, &calls));
    }
    violations.extend(run.memory_over_limit_mb.iter().map(|peak| format!("memory: {peak:.1} MB")));
    if !violations.is_empty() {
        violations.insert(0, run.script.clone());
    }
    violations
}

/// Reports a call that got no answer in time, unless its client left, its router was killed without SIGTERM,
/// or its connection closed within the resend window.
fn lost(call: &Call, exits: &[RouterExit]) -> Option<String> {
    let last = call.sent_at + call.timeout + LOST_AFTER;
    if matches!(call.ending, Some(Ending::ByClient(_))) || call.answered_at.is_some_and(|at| at <= last) {
        return None;
    }
    let until = match call.ending {
        Some(Ending::ByRouter(at)) => at,
        _ => last,
    };
    let mut exits = exits.iter().filter(|exit| exit.router == call.router);
    let was_killed = exits.any(|exit| !exit.was_planned && (call.sent_at..=until).contains(&exit.at));
    let is_resent = matches!(call.ending, Some(Ending::ByRouter(at)) if at - call.sent_at <= RESEND_WINDOW);
    let is_expected = !was_killed && !is_resent;
    is_expected.then(|| format!("lost: {call:?}"))
}

/// Reports requests to a worker after its drain was delivered and the grace had passed.
fn sent_to_draining(run: &RunRecord, drained: &Drained) -> Option<String> {
    let last = delivered_at(run, drained.published_at) + DRAIN_GRACE;
    let late: Vec<&Received> = run.received[drained.worker].iter().filter(|sent| sent.at > last).collect();
    let first = late.first()?;
    let after = first.at - drained.published_at;
    Some(format!(
        "drain: {} requests to worker {}, the first {after:?} after its drain was published",
        late.len(),
        drained.worker
    ))
}

/// When a change that the log published at `at` counts as delivered.
fn delivered_at(run: &RunRecord, at: Instant) -> Instant {
    let delivered = |outage: &LogOutage| match outage.is_move {
        true => outage.began_at + DELIVERED_AFTER_MOVE,
        false => (outage.ended_at + DELIVERED_AFTER_END).min(outage.began_at + DELIVERED_AFTER_START),
    };
    let delays = |outage: &&LogOutage| outage.began_at <= at + DRAIN_GRACE && delivered(outage) > at;
    run.log_outages.iter().filter(delays).map(delivered).fold(at, Instant::max)
}

/// Reports unsafe calls that were executed more than once.
fn unsafe_runs(run: &RunRecord, calls: &HashMap<&str, &Call>) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for received in run.received.iter().flatten() {
        if let Command::Exec { id, ran: true, .. } = &received.command {
            *runs.entry(id).or_default() += 1;
        }
    }
    let is_unsafe = |id: &str| calls.get(id).is_some_and(|call| call.class == "charge");
    let twice = runs.into_iter().filter(|(id, runs)| *runs > 1 && is_unsafe(id));
    twice.map(|(id, runs)| format!("duplicate: {id} ran {runs} times")).collect()
}

/// Reports an attempt that started after its client had left, or that was allowed more time than the client
/// had left.
fn sent_for_client(received: &Received, calls: &HashMap<&str, &Call>) -> Option<String> {
    let Command::Exec { id, max_ms, .. } = &received.command else { return None };
    let call = calls.get(id.as_str())?;
    if let Some(Ending::ByClient(left_at)) = call.ending {
        if received.at > left_at + LEAVE_GRACE {
            return Some(format!("lost: sent {:?} after its client left: {call:?}", received.at - left_at));
        }
    }
    let passed = received.at - call.sent_at;
    let allowed = Duration::from_millis(*max_ms);
    let is_beyond = passed + allowed > call.timeout + DEADLINE_SLACK;
    is_beyond.then(|| format!("deadline: {allowed:?} allowed {passed:?} after {call:?} was sent"))
}
