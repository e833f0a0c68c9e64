//! A pull as a [`Job`].

use super::{Pull, PullError};
use crate::exchange::{AttemptFailure, Next};
use crate::job::Job;
use slatevalve_blobs::{BlobStore, Files};
use slatevalve_http::MessageEvent;

/// A pull together with the store that it writes to.
pub struct PullJob<'a, F> {
    /// Its result can be taken once [`Job::next`] has returned [`Next::Done`].
    pub pull: Pull,
    /// Keeps received content also when the pull fails, so that the next one resumes it.
    pub store: &'a mut BlobStore<F>,
}

impl<F: Files> Job for PullJob<'_, F> {
    type Error = PullError;

    fn next(&mut self, now_us: i64) -> Result<Next, PullError> {
        self.pull.next(now_us)
    }

    fn response_event(&mut self, now_us: i64, response_part: MessageEvent) -> Result<(), PullError> {
        match response_part {
            MessageEvent::Head(head) => self.pull.handle_head(now_us, self.store, &head),
            MessageEvent::Body(chunk) => self.pull.handle_body(now_us, self.store, &chunk),
            MessageEvent::End => self.pull.handle_end(now_us, self.store),
        }
    }

    fn attempt_failed(&mut self, now_us: i64, failure: AttemptFailure) -> Result<(), PullError> {
        self.pull.handle_failure(now_us, failure)
    }

    fn is_receiving(&self) -> bool {
        self.pull.is_receiving()
    }

    fn progress(&self) -> (u64, u64) {
        self.pull.progress()
    }
}
