//! The wait of a loop iteration, with detection of process pauses.
//!
//! Guards against acting on stale decisions. The output of an iteration is written when the next one begins.
//! If the process was paused in between, the next iteration reads all input before it writes, because that
//! input may invalidate the pending output. After any pause, all available input is read before any of it is
//! handled: one read of a connection may return a request, and the next one the disconnect of its client.
//! Both event loops (`server`, `platform`) call it once per iteration.

use crate::clock::Clock;
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use std::io;
use std::time::Duration;

/// A decision is stale after the workers' drain grace period divided by this, so that a drain announced in
/// the meantime is still read within the grace period.
const DRAIN_GRACE_DIVISOR: i64 = 5;
/// Age at which a decision is stale if the workers have no drain grace period.
const STALE_AFTER_WITHOUT_GRACE: Micros = Micros(50_000);
/// Limit of reads after a pause; reading stops earlier if a read returns nothing.
const MAX_READS_AFTER_PAUSE: usize = 4;

/// Result of one iteration's wait.
pub(crate) struct LoopIteration {
    /// The time after the wait.
    pub(crate) now: Micros,
    /// Upper bound of the time for which bytes read in this iteration were in socket buffers: the duration of
    /// the previous iteration's work, plus any pause of the process.
    pub(crate) read_delay: Micros,
    /// The reactor's events, in the order of the poller.
    pub(crate) events: Vec<ReactorEvent>,
}

/// Waits for events, and withholds writes that have become stale by a pause of the process.
pub(crate) struct LoopTimer {
    /// When the previous iteration began to handle its events, and so to decide on the pending output.
    decided_at: Micros,
    /// Age at which a decision is stale.
    stale_after: Micros,
    /// Whether the previous iteration only read. The current one then writes in any case, so that writes are
    /// not withheld forever.
    read_only: bool,
}

impl LoopTimer {
    /// Creates a timer for a loop that starts at `now`.
    pub(crate) fn new(now: Micros, drain_grace: Micros) -> Self {
        LoopTimer { decided_at: now, stale_after: stale_after(drain_grace), read_only: false }
    }

    /// Sets the workers' drain grace period.
    pub(crate) fn set_drain_grace(&mut self, drain_grace: Micros) {
        self.stale_after = stale_after(drain_grace);
    }

    /// Writes the pending output, unless it is stale or `write_deadline` has passed, and waits for events for
    /// at most `timeout`.
    ///
    /// # Errors
    /// If the poller fails.
    pub(crate) fn wait(
        &mut self,
        clock: &Clock,
        reactor: &mut Reactor,
        mut timeout: Duration,
        write_deadline: Option<Micros>,
    ) -> io::Result<LoopIteration> {
        let wait_began_at = clock.now();
        let work_us = wait_began_at.0 - self.decided_at.0;
        let mut events = Vec::new();
        if work_us > self.stale_after.0 && !self.read_only {
            read_until_idle(reactor, &mut events)?;
            timeout = Duration::ZERO;
        }
        self.read_only = !events.is_empty();
        if !self.read_only {
            reactor.poll_until(Some(timeout), write_deadline.map(|at| clock.instant(at)), &mut events)?;
        }
        let overrun_us = (clock.now().0 - wait_began_at.0 - timeout.as_micros() as i64).max(0);
        if overrun_us > self.stale_after.0 {
            read_until_idle(reactor, &mut events)?;
        }
        self.decided_at = clock.now();
        Ok(LoopIteration { now: self.decided_at, read_delay: Micros(work_us + overrun_us), events })
    }
}

/// Age at which a decision is stale, for the given drain grace period.
fn stale_after(drain_grace: Micros) -> Micros {
    if drain_grace.0 > 0 {
        Micros(drain_grace.0 / DRAIN_GRACE_DIVISOR)
    } else {
        STALE_AFTER_WITHOUT_GRACE
    }
}

/// Reads without writing until a read returns nothing, at most [`MAX_READS_AFTER_PAUSE`] times.
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
