//! The interface between a job at a registry (a pull or a push) and the event loop that drives it.

use crate::exchange::{AttemptFailure, Next};
use slatevalve_http::MessageEvent;
use std::error::Error;

/// A job at a registry. Its driver has one connection: it calls [`Job::next`], and after each part of a response
/// [`Job::is_receiving`]; where that is false within a response, the rest is not needed and the connection is closed.
/// All times are microseconds of the driver's clock.
pub trait Job {
    /// Why the job failed.
    type Error: Error + 'static;

    /// What the driver is to do. After [`Next::Send`] the request counts as sent: the next call waits for its response.
    ///
    /// # Errors
    /// When the job's deadline has passed.
    fn next(&mut self, now_us: i64) -> Result<Next, Self::Error>;

    /// Handles a part of a response: its head, a chunk of its body, or its end.
    ///
    /// # Errors
    /// When the response makes the job fail.
    fn response_event(&mut self, now_us: i64, response_part: MessageEvent) -> Result<(), Self::Error>;

    /// Handles a failed attempt: no connection was established, or it failed before the end of the response.
    ///
    /// # Errors
    /// When no attempt is left.
    fn attempt_failed(&mut self, now_us: i64, failure: AttemptFailure) -> Result<(), Self::Error>;

    /// Whether a response is outstanding or being read.
    fn is_receiving(&self) -> bool;

    /// Bytes of content that are transferred or were present, and the total; 0 while that is unknown.
    fn progress(&self) -> (u64, u64);
}
