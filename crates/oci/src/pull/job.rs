//! A pull as a [`Job`].

use super::{Pull, PullError};
use crate::exchange::{Broke, Next};
use crate::job::Job;
use slatevalve_blobs::{BlobStore, Files};
use slatevalve_http::Part;

/// A pull together with the store that it writes to.
pub struct Pulling<'a, F> {
    /// The pull.
    pub pull: Pull,
    /// The store.
    pub store: &'a mut BlobStore<F>,
}

impl<F: Files> Job for Pulling<'_, F> {
    type Error = PullError;

    fn next(&mut self, now_us: i64) -> Result<Next, PullError> {
        self.pull.next(now_us)
    }

    fn part(&mut self, now_us: i64, response_part: Part) -> Result<(), PullError> {
        match response_part {
            Part::Head(head) => self.pull.handle_head(now_us, self.store, &head),
            Part::Body(chunk) => self.pull.handle_body(now_us, self.store, &chunk),
            Part::End => self.pull.handle_end(now_us, self.store),
        }
    }

    fn broke(&mut self, now_us: i64, failure: Broke) -> Result<(), PullError> {
        self.pull.handle_failure(now_us, failure)
    }

    fn is_receiving(&self) -> bool {
        self.pull.is_receiving()
    }

    fn progress(&self) -> (u64, u64) {
        self.pull.progress()
    }
}
