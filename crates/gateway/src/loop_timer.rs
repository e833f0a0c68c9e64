//! The wait of a loop iteration, and the detection of process pauses.
//!
//! It guards against stale decisions. What an iteration decides is written when the next one begins; if the process was
//! paused in between, the next iteration first reads what arrived meanwhile, as that may forbid what is about to be written.
//! After any pause everything that arrived is read before a part of it is acted on: one read of a connection brings a request,
//! the next one its client's disconnect. Called by both event loops (`server`, `platform`) once an iteration.

use crate::clock::Clock;
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use std::io;
use std::time::Duration;

/// A decision is stale after the workers' drain grace divided by this: a drain announced meanwhile is then still in time.
const DRAIN_GRACE_DIVISOR: i64 = 5;
/// Age at which a decision is stale where the workers have no drain grace.
const STALE_AFTER_WITHOUT_GRACE: Micros = Micros(50_000);
/// Reads after a pause at most, until one of them brings nothing.
const MAX_READS_AFTER_PAUSE: usize = 4;

/// What the wait of one iteration brought.
pub(crate) struct LoopIteration {
    /// The time after the wait.
    pub(crate) now: Micros,
    /// Longest time that bytes read in this iteration may have been in the kernel: the previous iteration's work, and any
    /// pause of the process.
    pub(crate) read_delay: Micros,
    /// The reactor's events, in the order of the poller.
    pub(crate) events: Vec<ReactorEvent>,
}

/// Waits for events, and withholds writes that a pause of the process has made stale.
pub(crate) struct LoopTimer {
    /// When the previous iteration began to decide what it left to be written.
    decided_at: Micros,
    /// Age at which a decision is stale.
    stale_after: Micros,
    /// The previous iteration only read: this one writes, however long it took.
    only_read: bool,
}

impl LoopTimer {
    /// For a loop that starts now, with the workers' current drain grace.
    pub(crate) fn new(now: Micros, drain_grace: Micros) -> Self {
        LoopTimer { decided_at: now, stale_after: stale_after(drain_grace), only_read: false }
    }

    /// Sets the workers' drain grace from now on.
    pub(crate) fn set_drain_grace(&mut self, drain_grace: Micros) {
        self.stale_after = stale_after(drain_grace);
    }

    /// Writes what the previous iteration decided, unless that is stale or the time `write_deadline` has come, and waits for
    /// events, for `timeout` at most.
    ///
    /// # Errors
    /// When the poller fails.
    pub(crate) fn wait(
        &mut self,
        clock: &Clock,
        reactor: &mut Reactor,
        mut timeout: Duration,
        write_deadline: Option<Micros>,
    ) -> io::Result<LoopIteration> {
        let wait_began = clock.now();
        let worked = wait_began.0 - self.decided_at.0;
        let mut events = Vec::new();
        if worked > self.stale_after.0 && !self.only_read {
            read_until_idle(reactor, &mut events)?;
            timeout = Duration::ZERO;
        }
        self.only_read = !events.is_empty();
        if !self.only_read {
            reactor.poll_until(Some(timeout), write_deadline.map(|at| clock.instant(at)), &mut events)?;
        }
        let overslept = (clock.now().0 - wait_began.0 - timeout.as_micros() as i64).max(0);
        if overslept > self.stale_after.0 {
            read_until_idle(reactor, &mut events)?;
        }
        self.decided_at = clock.now();
        Ok(LoopIteration { now: self.decided_at, read_delay: Micros(worked + overslept), events })
    }
}

/// Age at which a decision is stale, for a drain grace of the workers.
fn stale_after(drain_grace: Micros) -> Micros {
    if drain_grace.0 > 0 {
        Micros(drain_grace.0 / DRAIN_GRACE_DIVISOR)
    } else {
        STALE_AFTER_WITHOUT_GRACE
    }
}

/// Reads what arrived, without writing, until nothing more comes.
fn read_until_idle(reactor: &mut Reactor, events: &mut Vec<ReactorEvent>) -> io::Result<()> {
    for _ in 0..MAX_READS_AFTER_PAUSE {
        let before = events.len();
        reactor.poll_without_writing(Some(Duration::ZERO), events)?;
        if events.len() == before {
            break;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
