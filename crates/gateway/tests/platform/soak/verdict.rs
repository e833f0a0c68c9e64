//! The platform's rules, applied to what a day left behind.

use super::clients::{Call, Ending};
use super::day::{Day, Drained, Ended};
use crate::test_servers::{Command, Received};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An answer this long after the client's time counts as none.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// An attempt this long after its client left is a break.
const LEAVE_GRACE: Duration = Duration::from_millis(100);
/// The drain's grace of the settings and the slack on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// When news of a log that was in trouble count as told: so long after its beginning, or after its end.
const TOLD_AFTER_BEGINNING: Duration = Duration::from_secs(7);
const TOLD_AFTER_END: Duration = Duration::from_secs(2);
/// When news of a log that moved count as told.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// What a router may pass on beyond the time that a client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A request that crosses the close of its connection within this time is the client's to send once more.
const CROSSING: Duration = Duration::from_millis(50);

/// The violations of a day, each in words.
pub(super) fn judge(day: &Day) -> Vec<String> {
    let calls: HashMap<&str, &Call> = day.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut violations = Vec::new();
    violations.extend(day.calls.iter().filter_map(|call| lost(call, &day.ended)));
    violations.extend(day.drained.iter().filter_map(|drained| sent_to_draining(day, drained)));
    violations.extend(unsafe_runs(day, &calls));
    for received in day.received.iter().flatten() {
        violations.extend(sent_for_client(received, &calls));
    }
    if !violations.is_empty() {
        violations.insert(0, day.script.clone());
    }
    violations
}

/// A call without an answer in its time, where one was owed.
fn lost(call: &Call, ended: &[Ended]) -> Option<String> {
    let last = call.sent_at + call.timeout + LOST_AFTER;
    if matches!(call.ending, Some(Ending::Left(_))) || call.answered_at.is_some_and(|at| at <= last) {
        return None;
    }
    let until = match call.ending {
        Some(Ending::Closed(at)) => at,
        _ => last,
    };
    let mut ends = ended.iter().filter(|end| end.router == call.router);
    let was_killed = ends.any(|end| !end.was_planned && (call.sent_at..=until).contains(&end.at));
    let has_crossed = matches!(call.ending, Some(Ending::Closed(at)) if at - call.sent_at <= CROSSING);
    let is_owed = !was_killed && !has_crossed;
    is_owed.then(|| format!("lost: {call:?}"))
}

fn sent_to_draining(day: &Day, drained: &Drained) -> Option<String> {
    let last = told_at(day, drained.told_at) + DRAIN_GRACE;
    let late: Vec<&Received> = day.received[drained.worker].iter().filter(|sent| sent.at > last).collect();
    let first = late.first()?;
    let after = first.at - drained.told_at;
    Some(format!(
        "drain: {} sends to worker {}, the first {after:?} after it was told",
        late.len(),
        drained.worker
    ))
}

/// When a change counts as told that the log had at `at`.
fn told_at(day: &Day, at: Instant) -> Instant {
    let told = |trouble: &super::day::LogTrouble| match trouble.is_move {
        true => trouble.began_at + TOLD_AFTER_MOVE,
        false => (trouble.ended_at + TOLD_AFTER_END).min(trouble.began_at + TOLD_AFTER_BEGINNING),
    };
    let matters =
        |trouble: &&super::day::LogTrouble| trouble.began_at <= at + DRAIN_GRACE && told(trouble) > at;
    day.log_troubles.iter().filter(matters).map(told).fold(at, Instant::max)
}

fn unsafe_runs(day: &Day, calls: &HashMap<&str, &Call>) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for received in day.received.iter().flatten() {
        if let Command::Exec { id, ran: true, .. } = &received.command {
            *runs.entry(id).or_default() += 1;
        }
    }
    let is_unsafe = |id: &str| calls.get(id).is_some_and(|call| call.class == "charge");
    let twice = runs.into_iter().filter(|(id, runs)| *runs > 1 && is_unsafe(id));
    twice.map(|(id, runs)| format!("duplicate: {id} ran {runs} times")).collect()
}

/// An attempt that began after its client had left, or that was given more time than the client had.
fn sent_for_client(received: &Received, calls: &HashMap<&str, &Call>) -> Option<String> {
    let Command::Exec { id, max_ms, .. } = &received.command else { return None };
    let call = calls.get(id.as_str())?;
    if let Some(Ending::Left(left_at)) = call.ending {
        if received.at > left_at + LEAVE_GRACE {
            return Some(format!("lost: sent {:?} after its client left: {call:?}", received.at - left_at));
        }
    }
    let passed = received.at - call.sent_at;
    let given = Duration::from_millis(*max_ms);
    let is_beyond = passed + given > call.timeout + DEADLINE_SLACK;
    is_beyond.then(|| format!("deadline: {given:?} given {passed:?} after {call:?} was sent"))
}
