//! Components shared by the event loops of the gateway server and of the platform's router: signals, the poll
//! timeout, the public listener, client connections and the worker side.
//!
//! Each loop defines its own order of steps; nothing here runs an iteration or makes decisions about a call.
//! The wait itself is in [`crate::loop_timer`].

mod client_connections;
mod client_output;
mod input_queue;
mod listener;
mod worker_side;

pub(crate) use client_connections::{ClientConnections, ClientRead};
pub(crate) use listener::Listener;
pub(crate) use worker_side::WorkerSide;

use slatevalve::Micros;
use slatevalve_reactor::Reactor;
use std::io;
use std::time::Duration;

/// Longest wait of one iteration, so that a pause of the process is detected even if no timer is due.
pub(crate) const LONGEST_WAIT: Duration = Duration::from_millis(100);

/// Subscribes to the signals for an orderly shutdown (SIGTERM, SIGINT) and for a reload (SIGHUP).
///
/// # Errors
/// If a signal handler cannot be installed.
pub(crate) fn subscribe_to_signals(reactor: &mut Reactor) -> io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    [SIGTERM, SIGINT, SIGHUP].into_iter().try_for_each(|signal| reactor.signal(signal))
}

/// Time from `now` until the earliest of `timers`, at most [`LONGEST_WAIT`].
#[must_use]
pub(crate) fn poll_timeout(now: Micros, timers: impl IntoIterator<Item = Option<Micros>>) -> Duration {
    timers.into_iter().flatten().min().map_or(LONGEST_WAIT, |due| {
        Duration::from_micros(due.0.saturating_sub(now.0).max(0) as u64).min(LONGEST_WAIT)
    })
}
