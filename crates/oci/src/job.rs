//! What drives a pull and a push alike: bytes of answers in, requests and waits out.

use crate::exchange::{Broke, Next};
use crate::pull::{Pull, PullError};
use crate::push::{Push, PushError};
use slatevalve_blobs::{BlobStore, Files};
use slatevalve_http::Part;

/// A job at a registry. Whoever drives it has one connection: it asks [`Job::next`], and after each part of an answer
/// whether the job still listens; one that does not has left that answer, and its connection is closed.
pub trait Job {
    /// Why it ends without being done.
    type Error: std::error::Error + 'static;
    /// What is to be done now. A request that was given is out: asking again waits for its answer.
    ///
    /// # Errors
    /// When the time is up.
    fn next(&mut self, now_us: i64) -> Result<Next, Self::Error>;
    /// A part of an answer came.
    ///
    /// # Errors
    /// When that ends the job.
    fn part(&mut self, now_us: i64, part: Part) -> Result<(), Self::Error>;
    /// The connection failed, or never stood.
    ///
    /// # Errors
    /// When it was the last try.
    fn broke(&mut self, now_us: i64, broke: Broke) -> Result<(), Self::Error>;
    /// Whether an answer is waited for or read.
    fn is_receiving(&self) -> bool;
    /// Bytes of content that are over, and all that there will be, as far as is known.
    fn progress(&self) -> (u64, u64);
}

/// A pull and the store that it writes to.
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

    fn part(&mut self, now_us: i64, part: Part) -> Result<(), PullError> {
        match part {
            Part::Head(head) => self.pull.head(now_us, self.store, &head),
            Part::Body(piece) => self.pull.piece(now_us, self.store, &piece),
            Part::End => self.pull.ended(now_us, self.store),
        }
    }

    fn broke(&mut self, now_us: i64, broke: Broke) -> Result<(), PullError> {
        self.pull.broke(now_us, broke)
    }

    fn is_receiving(&self) -> bool {
        self.pull.is_receiving()
    }

    fn progress(&self) -> (u64, u64) {
        self.pull.progress()
    }
}

impl Job for Push {
    type Error = PushError;

    fn next(&mut self, now_us: i64) -> Result<Next, PushError> {
        Push::next(self, now_us)
    }

    fn part(&mut self, now_us: i64, part: Part) -> Result<(), PushError> {
        match part {
            Part::Head(head) => self.head(now_us, &head),
            Part::Body(piece) => self.piece(now_us, &piece),
            Part::End => self.ended(now_us),
        }
    }

    fn broke(&mut self, now_us: i64, broke: Broke) -> Result<(), PushError> {
        Push::broke(self, now_us, broke)
    }

    fn is_receiving(&self) -> bool {
        Push::is_receiving(self)
    }

    fn progress(&self) -> (u64, u64) {
        Push::progress(self)
    }
}
