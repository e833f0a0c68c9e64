//! The interface between a job at a registry (a pull or a push) and the event loop that drives it.

use crate::exchange::{AttemptFailure, Next};
use slatevalve_http::MessageEvent;
use std::error::Error;

/// A job at a registry. Its driver uses one connection at a time. It calls [`Job::next`], and after each part
/// of a response [`Job::is_receiving`]; where that returns false before the end of the response, the job does
/// not need the rest and the driver closes the connection. All times are microseconds of the driver's clock.
pub trait Job {
    /// Why the job failed.
    type Error: Error + 'static;

    /// Returns the next step. After [`Next::Send`] the request counts as sent, and the next call waits for
    /// its response.
    ///
    /// # Errors
    /// When the job's deadline has passed.
    fn next(&mut self, now_us: i64) -> Result<Next, Self::Error>;

    /// Handles a part of a response: its head, a chunk of its body, or its end.
    ///
    /// # Errors
    /// When the response makes the job fail.
    fn response_event(&mut self, now_us: i64, response_part: MessageEvent) -> Result<(), Self::Error>;

    /// Handles a failed attempt: no connection was established, or the response did not arrive completely.
    ///
    /// # Errors
    /// When no attempt is left.
    fn attempt_failed(&mut self, now_us: i64, failure: AttemptFailure) -> Result<(), Self::Error>;

    /// Whether a response is outstanding or being read.
    fn is_receiving(&self) -> bool;

    /// Bytes of content that were transferred or already present, and the total; the total is 0 while it is
    /// unknown.
    fn progress(&self) -> (u64, u64);
}
