//! State of one open call: the tickets that wait for its answer, and its attempts.

use crate::call::{ClientRef, RunBody, Ticket};
use crate::duplicates::KeyDigest;
use slatevalve::{FunctionId, Micros, Outcome, WorkerId};
use std::sync::Arc;

/// One attempt of an open call.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    /// `None` while the attempt is in flight.
    pub(super) outcome: Option<Outcome>,
}

/// A submission that waits for the answer of a call.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) client: ClientRef,
}

/// A call, from its acceptance until it is answered and no attempt is in flight.
#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) waiters: Vec<Waiter>,
    pub(super) body: Arc<RunBody>,
    pub(super) function: FunctionId,
    pub(super) key: Option<KeyDigest>,
    /// Whether the answer will be stored in the duplicate table: the class has side effects and the engine
    /// has a table.
    pub(super) recorded: bool,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) answered: bool,
}

impl OpenCall {
    /// Whether the call may have run: the outcome of some attempt does not prove that it never ran.
    pub(super) fn can_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.outcome.is_some_and(Outcome::proves_not_run))
    }

    /// Numbers of the attempts in flight, in the order in which they were sent.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = usize> + '_ {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(number, _)| number)
    }
}
