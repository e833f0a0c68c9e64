//! Client of the change log: numbered membership events over HTTP long polling, read without a gap.
//!
//! The log is polled with a short timeout. If no answer arrives within it, the connection is closed and the
//! log is polled on a new one, starting after the last complete event. The first retry after a failure is
//! immediate, further ones are delayed by random backoff ([`slatevalve_pacing`]). A truncated answer has no
//! effect. An answer that omits sequence numbers is applied, but the events after the last one before the gap
//! are requested again. The same holds for an answer with a malformed member: its other members are applied.
//!
//! The client does no I/O: the gateway's event loop owns the connection and executes the outputs
//! ([`ChangeLogOutput`]).

mod contact;
mod event;
mod starts;
mod timeouts;

pub use contact::{ContactEvent, ContactFailure};
pub use event::{Change, MemberLine};

use crate::after;
use contact::Contact;
use event::{Event, EventReader};
use serde_json::Value;
use slatevalve::Micros;
use slatevalve_http::{Limits, Message, MessageReader, Side};
use slatevalve_pacing::{Limits as PaceLimits, PollSchedule};
use slatevalve_site_config::object::{array, object, unsigned, JsonObject};
use slatevalve_site_config::{FieldError, Names};
use std::net::SocketAddr;
use timeouts::Timeouts;

/// How long the worker list may be used after the poll that brought a complete answer. The platform's
/// protocol treats an event as delivered this long after the log became unreachable, so an older list must
/// not be relied on.
pub const LIST_LEASE: Micros = Micros(7_000_000);
/// How long the list in the configuration may be used without an answer from the log: the timeout of a first
/// poll plus its grace period. The log may have been unreachable long before the router started.
pub const KNOWN_LIST_LEASE: Micros = Micros(500_000);
/// `timeout` parameter of a poll, in milliseconds: how long the log may hold it open before it answers
/// without events.
const LONG_POLL_TIMEOUT_MS: i64 = 1_000;
/// `timeout` of a poll after the start or a failure: short, because the list has to be confirmed soon.
const FIRST_POLL_TIMEOUT_MS: i64 = 200;
/// `timeout` of a poll after an answer that was read too late: requests the current state without waiting for
/// an event.
const IMMEDIATE_POLL_TIMEOUT_MS: i64 = 1;
/// An answer that may have been in the socket buffer for longer does not confirm the list. Shorter than the
/// platform's shortest drain grace period.
const ANSWER_READ_DELAY_MAX: Micros = Micros(100_000);
const MICROS_PER_MILLISECOND: i64 = 1_000;
/// Backoff: one immediate retry, then random delays, so that routers that lose the log at the same time do
/// not retry in step. With the shortest connect timeout, an event is requested at most 0.65 s after it
/// becomes available; the platform allows 2 s after a broken connection.
const RETRY_LIMITS: PaceLimits = PaceLimits {
    per_second: 500.0,
    requests: 1.0,
    initial_window_us: 100_000,
    few_clients_max_delay_us: 400_000,
    max_delay_us: 400_000,
    immediate_retries: 1,
};
/// Consecutive answers with a gap or a malformed member after which the client stops requesting the same
/// events again: the missing numbers are then assumed to be unused, or the member to be malformed in the log
/// itself.
const MAX_INCOMPLETE_ANSWERS: u32 = 3;
/// Limit of an answer's HTTP head, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Limit of an answer's body, in bytes: enough for a list of thousands of workers.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// The events of one answer, or those in the configuration at startup.
#[derive(Debug, Default)]
pub struct EventBatch {
    /// Membership changes, in order.
    pub changes: Vec<Change>,
    /// One error for each malformed member; such members are left out of `changes`.
    pub malformed: Vec<FieldError>,
}

/// An action for the event loop to execute.
#[derive(Debug)]
pub enum ChangeLogOutput {
    /// Connect to the log, then call [`ChangeLogClient::connected`] or [`ChangeLogClient::closed`].
    Connect(SocketAddr),
    /// Write a request.
    Write(Vec<u8>),
    /// Close the connection; the client must not receive further input from it.
    Close,
    /// A complete event with a membership change.
    Change(Change),
    /// An answer or one of its members is malformed. The client polls the log again by itself.
    Malformed(FieldError),
    /// The list was confirmed, or an outage of the log began or ended.
    Contact(ContactEvent),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Disconnected {
        connect_at: Micros,
    },
    /// Connecting or waiting for an answer.
    Pending {
        deadline: Micros,
        /// Reported as the failure when the deadline passes.
        timeout: ContactFailure,
    },
}

/// Whether an answer contained everything that was requested.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AnswerStatus {
    Complete,
    /// The events must be requested again.
    Failed(ContactFailure),
}

/// The client of one change log.
pub struct ChangeLogClient {
    events: EventReader,
    address: SocketAddr,
    /// Sequence number of the last event before any gap.
    seq: u64,
    state: State,
    response: MessageReader,
    schedule: PollSchedule,
    contact: Contact,
    /// When the last poll request was written; the lease on the list counts from here.
    polled_at: Micros,
    /// Whether the last answer may have been in the socket buffer for longer than [`ANSWER_READ_DELAY_MAX`].
    is_outdated: bool,
    timeouts: Timeouts,
    /// Consecutive answers with a gap or a malformed member.
    incomplete_answers: u32,
}

fn response_reader() -> MessageReader {
    MessageReader::new(Side::Response, Limits { head: MAX_HEAD, body: MAX_BODY })
}

impl ChangeLogClient {
    /// Creates a client that continues after the events in `known`, and returns it with those events.
    /// `at_unix_ms` converts a Unix time in milliseconds to the router's clock. `seed` randomizes the backoff
    /// and must differ between routers.
    ///
    /// # Errors
    /// If `known` is malformed.
    pub fn new(
        names: Names,
        at_unix_ms: Box<dyn Fn(f64) -> Micros>,
        address: SocketAddr,
        known: &JsonObject,
        seed: u64,
    ) -> Result<(Self, EventBatch), FieldError> {
        let mut client = ChangeLogClient {
            events: EventReader::new(names, at_unix_ms),
            address,
            seq: 0,
            state: State::Disconnected { connect_at: Micros(0) },
            response: response_reader(),
            // The number of routers is unknown here, so the backoff is that of a single client.
            schedule: PollSchedule::new(RETRY_LIMITS, 1, seed),
            contact: Contact::default(),
            polled_at: Micros(0),
            is_outdated: false,
            timeouts: Timeouts::default(),
            // The first event may have any number: a gap before it is accepted without another request.
            incomplete_answers: MAX_INCOMPLETE_ANSWERS,
        };
        let batch = client.read_events(None, known)?;
        Ok((client, batch))
    }

    /// Sequence number of the last event before any gap.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Sets the log's address and reconnects if it differs. The sequence numbers continue.
    pub fn set_address(&mut self, now: Micros, address: SocketAddr, out: &mut Vec<ChangeLogOutput>) {
        if self.address != address {
            self.address = address;
            self.disconnect(now, out);
        }
    }

    /// Handles expired timers.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<ChangeLogOutput>) {
        match self.state {
            State::Disconnected { connect_at } if connect_at <= now => {
                let deadline = after(now, self.timeouts.connect());
                self.state = State::Pending { deadline, timeout: ContactFailure::ConnectTimeout };
                self.response = response_reader();
                out.push(ChangeLogOutput::Connect(self.address));
            }
            State::Pending { deadline, timeout } if deadline <= now => {
                self.timeouts.expired();
                self.schedule_retry(now, timeout, out);
            }
            _ => {}
        }
    }

    /// When [`ChangeLogClient::advance`] is due next.
    #[must_use]
    pub fn next_wake(&self) -> Micros {
        match self.state {
            State::Disconnected { connect_at: at } | State::Pending { deadline: at, .. } => at,
        }
    }

    /// Handles an established connection.
    pub fn connected(&mut self, now: Micros, out: &mut Vec<ChangeLogOutput>) {
        self.poll(now, out);
    }

    /// Handles a connection that ended or could not be established.
    pub fn closed(&mut self, now: Micros, out: &mut Vec<ChangeLogOutput>) {
        // An answer without a content length ends where the connection is closed.
        if let Ok(Some(message)) = self.response.end() {
            self.handle_answer(now, &message, out);
        }
        self.schedule_retry(now, ContactFailure::Closed, out);
    }

    /// Handles received bytes, which may have been in the socket buffer for up to `read_delay`.
    pub fn received(
        &mut self,
        now: Micros,
        read_delay: Micros,
        bytes: &[u8],
        out: &mut Vec<ChangeLogOutput>,
    ) {
        self.is_outdated = read_delay > ANSWER_READ_DELAY_MAX;
        let message = match self.response.feed(bytes) {
            Ok(None) => return,
            Ok(Some(message)) => message,
            Err(_) => return self.schedule_retry(now, ContactFailure::InvalidAnswer, out),
        };
        match self.handle_answer(now, &message, out) {
            AnswerStatus::Failed(failure) => self.schedule_retry(now, failure, out),
            AnswerStatus::Complete if message.head.closes_connection => self.disconnect(now, out),
            AnswerStatus::Complete => self.poll(now, out),
        }
    }

    fn poll(&mut self, now: Micros, out: &mut Vec<ChangeLogOutput>) {
        self.polled_at = now;
        let timeout_ms = match self.contact.is_established() {
            _ if self.is_outdated => IMMEDIATE_POLL_TIMEOUT_MS,
            true => LONG_POLL_TIMEOUT_MS,
            false => FIRST_POLL_TIMEOUT_MS,
        };
        let target = format!("/changes?since={}&timeout={timeout_ms}", self.seq);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let deadline =
            after(after(now, Micros(timeout_ms * MICROS_PER_MILLISECOND)), self.timeouts.response_grace());
        self.state = State::Pending { deadline, timeout: ContactFailure::ResponseTimeout };
        out.push(ChangeLogOutput::Write(request.into_bytes()));
    }

    fn handle_answer(
        &mut self,
        now: Micros,
        message: &Message,
        out: &mut Vec<ChangeLogOutput>,
    ) -> AnswerStatus {
        if message.head.status != 200 {
            return AnswerStatus::Failed(ContactFailure::InvalidAnswer);
        }
        match self.read_answer(now, &message.body) {
            Ok(batch) => {
                out.extend(batch.changes.into_iter().map(ChangeLogOutput::Change));
                out.extend(batch.malformed.into_iter().map(ChangeLogOutput::Malformed));
            }
            Err(e) => {
                out.push(ChangeLogOutput::Malformed(e));
                return AnswerStatus::Failed(ContactFailure::InvalidAnswer);
            }
        }
        if self.incomplete_answers > 0 {
            return AnswerStatus::Failed(ContactFailure::IncompleteAnswer);
        }
        self.schedule.succeeded();
        if let State::Pending { deadline, .. } = self.state {
            self.timeouts.answered(Micros(deadline.0.saturating_sub(now.0)));
        }
        out.extend(self.contact.confirmed(now).map(ChangeLogOutput::Contact));
        let age = Micros(now.0.saturating_sub(self.polled_at.0));
        let event = if self.is_outdated { ContactEvent::Outdated } else { ContactEvent::Confirmed { age } };
        out.push(ChangeLogOutput::Contact(event));
        AnswerStatus::Complete
    }

    fn read_answer(&mut self, now: Micros, body: &[u8]) -> Result<EventBatch, FieldError> {
        const NAME: &str = "the answer";
        let value: Value = serde_json::from_slice(body).map_err(|_| FieldError::NotObject(NAME.into()))?;
        self.read_events(Some(now), object(&value, NAME)?)
    }

    /// Disconnects, and reconnects after the backoff delay, which is zero for the first failure.
    fn schedule_retry(&mut self, now: Micros, failure: ContactFailure, out: &mut Vec<ChangeLogOutput>) {
        out.extend(self.contact.failed(now, failure).map(ChangeLogOutput::Contact));
        let delay = Micros(self.schedule.failed(None));
        self.disconnect(after(now, delay), out);
    }

    fn disconnect(&mut self, connect_at: Micros, out: &mut Vec<ChangeLogOutput>) {
        self.state = State::Disconnected { connect_at };
        self.response = response_reader();
        out.push(ChangeLogOutput::Close);
    }

    /// Parses `{"seq":N,"results":[...]}`: returns all events after `self.seq` or, on an error, none.
    ///
    /// Events after a gap are returned too, because it is better to apply a drain out of order than not at
    /// all, but `self.seq` stays before the gap, so that they are requested again together with the missing
    /// ones. A complete list closes any gap before it. An event with a malformed member counts as a gap, and
    /// its other members are applied: one malformed member must not hide the drain of another worker.
    fn read_events(&mut self, now: Option<Micros>, answer: &JsonObject) -> Result<EventBatch, FieldError> {
        let last_seq = unsigned(answer, "seq")?;
        let mut contiguous_seq = self.seq;
        let mut highest_seq = self.seq;
        let mut batch = EventBatch::default();
        for value in array(answer, "results")? {
            let Some(event) = self.events.read(now, value, highest_seq)? else { continue };
            let Event { seq, change, malformed } = event;
            let complete = change.as_ref().is_some_and(|change| change.complete);
            if (complete || seq == contiguous_seq + 1) && malformed.is_empty() {
                contiguous_seq = seq;
            }
            highest_seq = seq;
            batch.malformed.extend(malformed);
            batch.changes.extend(change);
        }
        highest_seq = highest_seq.max(last_seq);
        let gap = highest_seq > contiguous_seq;
        if gap && self.incomplete_answers < MAX_INCOMPLETE_ANSWERS {
            self.incomplete_answers += 1;
            self.seq = contiguous_seq;
        } else {
            self.incomplete_answers = 0;
            self.seq = highest_seq;
        }
        Ok(batch)
    }
}
