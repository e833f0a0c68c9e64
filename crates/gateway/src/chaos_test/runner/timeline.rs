//! Expands the events of a script into the steps that the runner executes.

use super::processes::WorkerState;
use crate::chaos_test::script::{Script, ScriptedEvent};

/// Seconds between the stop of a replaced worker and the start of its successor.
const REPLACEMENT_START_S: f64 = 0.05;
/// Seconds between the stop of a replaced worker and the update of the worker list.
const REPLACEMENT_READY_S: f64 = 0.1;

/// One action of the runner. Workers and gateways are numbered from 0.
#[derive(Clone, Debug)]
pub(super) enum Step {
    PublishState { worker: usize, state: WorkerState },
    StopWorker(usize),
    StartWorker(usize),
    KillGateway(usize),
    StartGateway(usize),
    PauseGateway(usize),
    ResumeGateway(usize),
    DropConnections { every: usize },
    MoveAliases,
}

pub(super) struct TimedStep {
    /// When the step is due, in microseconds of the Unix clock.
    pub(super) at_us: i64,
    pub(super) step: Step,
}

/// The steps of a script, ordered by time.
pub(super) fn timeline(script: &Script, start_us: i64) -> Vec<TimedStep> {
    let mut timeline = Vec::new();
    for timed in &script.events {
        for (after_s, step) in steps_of(&timed.event, script.fleet.workers) {
            timeline.push(TimedStep { at_us: start_us + ((timed.at_s + after_s) * 1e6) as i64, step });
        }
    }
    timeline.sort_by_key(|timed| timed.at_us);
    timeline
}

/// The steps of an event, each with its delay after the event in seconds.
fn steps_of(event: &ScriptedEvent, workers: usize) -> Vec<(f64, Step)> {
    let publish = |worker, state| Step::PublishState { worker, state };
    match *event {
        ScriptedEvent::Drain(worker) => vec![(0.0, publish(worker, WorkerState::Draining))],
        ScriptedEvent::Gone(worker) => vec![(0.0, publish(worker, WorkerState::Gone))],
        ScriptedEvent::Ready(worker) => vec![(0.0, publish(worker, WorkerState::Ready))],
        ScriptedEvent::CrashWorker { worker, down_s, notified_after_s } => vec![
            (0.0, Step::StopWorker(worker)),
            (down_s, Step::StartWorker(worker)),
            (down_s + notified_after_s, publish(worker, WorkerState::Ready)),
        ],
        ScriptedEvent::Deploy { share, interval_s, drain_s } => {
            let count = (workers as f64 * share).floor() as usize;
            let replacements = (0..count).flat_map(|worker| {
                let from_s = interval_s * worker as f64;
                [
                    (from_s, publish(worker, WorkerState::Draining)),
                    (from_s + drain_s, Step::StopWorker(worker)),
                    (from_s + drain_s + REPLACEMENT_START_S, Step::StartWorker(worker)),
                    (from_s + drain_s + REPLACEMENT_READY_S, publish(worker, WorkerState::Ready)),
                ]
            });
            replacements.collect()
        }
        ScriptedEvent::CrashGateway { gateway, down_s } => {
            vec![(0.0, Step::KillGateway(gateway)), (down_s, Step::StartGateway(gateway))]
        }
        ScriptedEvent::PauseGateway { gateway, duration_s } => {
            vec![(0.0, Step::PauseGateway(gateway)), (duration_s, Step::ResumeGateway(gateway))]
        }
        ScriptedEvent::DropConnections(every) => vec![(0.0, Step::DropConnections { every })],
        ScriptedEvent::MoveAliases => vec![(0.0, Step::MoveAliases)],
    }
}
