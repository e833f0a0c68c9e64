//! Front end for the platform's clients: their connections, their requests and one response to each request.
//!
//! An invalid request is rejected with an error response and is not passed to the engine. A client that
//! violates the protocol is disconnected. When a connection ends, its open requests are abandoned.
//! Connections that send nothing, stop within a message or are idle for too long are closed; when the
//! connection limit is reached, they are evicted earlier.
//!
//! The front end does no I/O: the gateway's event loop executes the outputs ([`FrontOutput`]) and passes
//! calls to the engine.
//!
//! Bounds: [`FrontSettings::connections`], with 32 open requests and one message of 20 KiB on each
//! connection, and [`FrontSettings::incomplete_bytes`].

mod connection;
mod recent_ids;

use crate::after;
use crate::frame::FrameError;
use crate::message::{self, ClientRequest, InvalidRequest, Message};
use connection::Connection;
use recent_ids::RecentIds;
use slatevalve::{ClassId, Effect, Micros};
use slatevalve_engine::{Answer, Call, ClientRef, Repeat, Ticket, Verdict};
use std::collections::{BTreeMap, HashMap};

/// Limit of open requests on one connection, set by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// How often connections are checked for timeouts.
const SWEEP_INTERVAL: Micros = Micros(250_000);
/// Error code of the response to an invalid request.
const CODE_INVALID: &str = "Unusable";
/// Error code of the response to a refused call.
const CODE_REFUSED: &str = "Throttled";
/// Error code of the response to a failed call.
const CODE_FAILED: &str = "Broken";

/// Identifies a client connection; never reused within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Settings of the front end.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Names and effects of the classes, in the order of their ids.
    pub classes: Vec<(String, Effect)>,
    /// Limit of client connections; when it is exceeded, an idle connection is evicted.
    pub connections: usize,
    /// Limit of the bytes of incomplete messages on all connections; when it is exceeded, the connection that
    /// has been within a message for the longest time is closed.
    pub incomplete_bytes: usize,
}

/// An action for the event loop to execute.
#[derive(Clone, Debug)]
pub enum FrontOutput {
    /// Write the bytes to the connection.
    Write(LinkId, Vec<u8>),
    /// Close the connection once all buffered bytes are written.
    Finish(LinkId),
    /// Pass a call to the engine.
    Call(Box<Call>),
    /// The client of the call disconnected or sent an interrupt; no response is expected any more.
    ClientDisconnected(Ticket),
    /// A message was rejected or a connection closed by the front end; only to be logged.
    Rejected(LinkId, RejectReason),
}

/// Why a message was rejected or a connection closed. Variant names appear in the log field `reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The received bytes are not a valid frame; the connection is closed.
    Frame(FrameError),
    /// A complete frame is not a message of the protocol; the connection is closed.
    NotAMessage,
    /// A request has an invalid field or class; it gets an error response.
    Call(InvalidRequest),
    /// A request's number is not above the previous one of its connection; the connection is closed.
    Number,
    /// A request with the same id is open. On the same connection, the connection is closed; on another, the
    /// request gets an error response.
    OpenId,
    /// A request with the same id may have run and is no longer open: it was answered, or its client has left.
    /// It gets an error response.
    UsedId,
    /// The connection has more open requests than the protocol allows; it is closed.
    TooManyOpen,
    /// The connection timed out: no complete message in time, idle, or nothing but interrupted requests.
    Silent,
    /// The connection was evicted because the limit of connections or of incomplete messages was exceeded.
    NoRoom,
}

impl RejectReason {
    /// The reason's name, without its details.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::Frame(_) => "frame",
            RejectReason::NotAMessage => "not_a_message",
            RejectReason::Call(_) => "call",
            RejectReason::Number => "number",
            RejectReason::OpenId => "open_id",
            RejectReason::UsedId => "used_id",
            RejectReason::TooManyOpen => "too_many_open",
            RejectReason::Silent => "silent",
            RejectReason::NoRoom => "no_room",
        }
    }
}

struct OpenRequest {
    connection: LinkId,
    number: u32,
    id: String,
}

/// Tracks client connections and open requests; see the module documentation.
pub struct Front {
    settings: FrontSettings,
    connections: BTreeMap<LinkId, Connection>,
    open: HashMap<Ticket, OpenRequest>,
    /// Connection of each open request, by the request's id.
    ids: HashMap<String, LinkId>,
    /// Ids of calls that may have run, also of open ones.
    recent_ids: RecentIds,
    next_ticket: u64,
    next_sweep: Option<Micros>,
    /// Bytes of incomplete messages on all connections.
    incomplete_bytes: usize,
}

impl Front {
    /// Creates a front end without connections.
    #[must_use]
    pub fn new(settings: FrontSettings) -> Self {
        Front {
            settings,
            connections: BTreeMap::new(),
            open: HashMap::new(),
            ids: HashMap::new(),
            recent_ids: RecentIds::default(),
            next_ticket: 0,
            next_sweep: None,
            incomplete_bytes: 0,
        }
    }

    /// Numbers of connections, open requests and ids of open requests; for tests of the bounds.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.connections.len(), self.open.len(), self.ids.len())
    }

    /// Number of requests without a response.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.open.len()
    }

    /// Number of connections with an incomplete message.
    #[must_use]
    pub fn incomplete(&self) -> usize {
        self.connections.values().filter(|connection| connection.incomplete_since.is_some()).count()
    }

    /// Number of bytes of incomplete messages, on all connections.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }

    /// Adds a client connection. If the limit is then exceeded, an idle connection is evicted, possibly the
    /// new one.
    pub fn opened(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        self.connections.insert(id, Connection::new(now));
        self.next_sweep.get_or_insert(after(now, SWEEP_INTERVAL));
        if self.connections.len() > self.settings.connections {
            let idle = self.connections.iter().filter(|(_, connection)| connection.open.is_empty());
            let evicted = idle.min_by_key(|(other, connection)| connection.eviction_rank(now, **other == id));
            if let Some(evicted) = evicted.map(|(other, _)| *other) {
                self.close(evicted, RejectReason::NoRoom, out);
            }
        }
    }

    /// Handles a connection that the client closed.
    pub fn closed(&mut self, id: LinkId, out: &mut Vec<FrontOutput>) {
        if let Some(connection) = self.remove_connection(id) {
            self.abandon_open(connection, out);
        }
    }

    fn remove_connection(&mut self, id: LinkId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.incomplete_bytes -= connection.buffer.len();
        Some(connection)
    }

    /// Closes a connection on the front end's own initiative.
    fn close(&mut self, id: LinkId, reason: RejectReason, out: &mut Vec<FrontOutput>) {
        if let Some(connection) = self.remove_connection(id) {
            self.abandon_open(connection, out);
            out.push(FrontOutput::Rejected(id, reason));
            out.push(FrontOutput::Finish(id));
        }
    }

    /// Removes the open requests of a connection that has ended, and reports them as abandoned by their
    /// client.
    fn abandon_open(&mut self, connection: Connection, out: &mut Vec<FrontOutput>) {
        for ticket in connection.open.into_values() {
            self.remove_request(ticket);
            out.push(FrontOutput::ClientDisconnected(ticket));
        }
    }

    fn remove_request(&mut self, ticket: Ticket) -> Option<OpenRequest> {
        let request = self.open.remove(&ticket)?;
        self.ids.remove(&request.id);
        Some(request)
    }

    /// Handles bytes received from a client; `ready` is the result for `check` requests.
    pub fn received(
        &mut self,
        now: Micros,
        id: LinkId,
        bytes: &[u8],
        ready: bool,
        out: &mut Vec<FrontOutput>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let mut buffer = std::mem::take(&mut connection.buffer);
        self.incomplete_bytes -= buffer.len();
        buffer.extend_from_slice(bytes);
        let mut start = 0;
        // Handling a message may close the connection; the bytes after it are then ignored.
        while let Some(connection) = self.connections.get_mut(&id) {
            let rest = buffer.get(start..).unwrap_or_default();
            match connection.scanner.scan(rest) {
                Ok(Some(length)) => {
                    let frame = rest.get(..length).unwrap_or_default();
                    connection.message_completed(now);
                    match message::read(frame) {
                        Ok(message) => self.handle_message(now, id, message, ready, out),
                        Err(_) => self.close(id, RejectReason::NotAMessage, out),
                    }
                    start += length;
                }
                Ok(None) => {
                    buffer.drain(..start);
                    self.incomplete_bytes += buffer.len();
                    connection.keep_incomplete(now, buffer);
                    return self.limit_incomplete(out);
                }
                Err(e) => return self.close(id, RejectReason::Frame(e), out),
            }
        }
    }

    /// Closes the connections that have been within a message for the longest time, while the incomplete
    /// messages exceed their limit.
    fn limit_incomplete(&mut self, out: &mut Vec<FrontOutput>) {
        while self.incomplete_bytes > self.settings.incomplete_bytes {
            let incomplete = self.connections.iter().filter(|(_, connection)| !connection.buffer.is_empty());
            let oldest = incomplete.min_by_key(|(_, connection)| connection.incomplete_since);
            let Some(oldest) = oldest.map(|(id, _)| *id) else { return };
            self.close(oldest, RejectReason::NoRoom, out);
        }
    }

    fn handle_message(
        &mut self,
        now: Micros,
        id: LinkId,
        message: Message,
        ready: bool,
        out: &mut Vec<FrontOutput>,
    ) {
        match message {
            Message::Check { number } => {
                if self.accept_number(id, number, out) {
                    self.write(id, message::checked(number, ready), out);
                }
            }
            Message::Call { number, request } => {
                if self.accept_number(id, number, out) {
                    self.handle_request(id, number, request, out);
                }
            }
            Message::Interrupt(numbers) => self.handle_interrupt(now, id, &numbers, out),
            Message::Other => {}
        }
    }

    /// Returns whether `number` is above all earlier ones; otherwise closes the connection, because the
    /// client could not tell which of two requests with the same number a response belongs to.
    fn accept_number(&mut self, id: LinkId, number: u32, out: &mut Vec<FrontOutput>) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if number <= connection.last_number {
            self.close(id, RejectReason::Number, out);
            return false;
        }
        connection.last_number = number;
        true
    }

    fn handle_request(
        &mut self,
        id: LinkId,
        number: u32,
        request: Result<ClientRequest, InvalidRequest>,
        out: &mut Vec<FrontOutput>,
    ) {
        let resolved = request.and_then(|request| Ok((self.resolve_class(&request)?, request)));
        let (class, request) = match resolved {
            Ok(resolved) => resolved,
            Err(e) => return self.reject(id, number, RejectReason::Call(e), out),
        };
        match self.ids.get(&request.id) {
            // With the same id for two requests, the client could not tell which of them a response belongs
            // to.
            Some(other) if *other == id => return self.close(id, RejectReason::OpenId, out),
            Some(_) => return self.reject(id, number, RejectReason::OpenId, out),
            // Workers would run it once more: they drop duplicates by key, and not in every class.
            None if self.recent_ids.contains(&request.id) => {
                return self.reject(id, number, RejectReason::UsedId, out);
            }
            None => {}
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.open.len() >= MAX_OPEN_REQUESTS {
            return self.close(id, RejectReason::TooManyOpen, out);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        connection.open.insert(number, ticket);
        self.ids.insert(request.id.clone(), id);
        self.recent_ids.insert(&request.id);
        self.open.insert(ticket, OpenRequest { connection: id, number, id: request.id.clone() });
        out.push(FrontOutput::Call(Box::new(call(ticket, id, class, request))));
    }

    /// Looks up the class of a request.
    ///
    /// # Errors
    /// If the class does not exist, or requires a key that the request does not have.
    fn resolve_class(&self, request: &ClientRequest) -> Result<ClassId, InvalidRequest> {
        let mut classes = self.settings.classes.iter().enumerate();
        let class = classes.find(|(_, (name, _))| *name == request.class);
        match class.ok_or(InvalidRequest::Class)? {
            (_, (_, Effect::IdempotentWithKey { .. })) if request.key.is_none() => {
                Err(InvalidRequest::Missing("opkey"))
            }
            (index, _) => Ok(ClassId(index)),
        }
    }

    /// Sends an error response to an invalid request; the connection stays open.
    fn reject(&mut self, id: LinkId, number: u32, reason: RejectReason, out: &mut Vec<FrontOutput>) {
        out.push(FrontOutput::Rejected(id, reason));
        self.write(id, message::error(number, CODE_INVALID), out);
    }

    fn handle_interrupt(&mut self, now: Micros, id: LinkId, numbers: &[u32], out: &mut Vec<FrontOutput>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let interrupted: Vec<Ticket> =
            numbers.iter().filter_map(|number| connection.open.remove(number)).collect();
        if !interrupted.is_empty() {
            connection.interrupted_since.get_or_insert(now);
        }
        for ticket in &interrupted {
            self.remove_request(*ticket);
            out.push(FrontOutput::ClientDisconnected(*ticket));
        }
    }

    fn write(&mut self, id: LinkId, bytes: Vec<u8>, out: &mut Vec<FrontOutput>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_response = true;
        }
        out.push(FrontOutput::Write(id, bytes));
    }

    /// Writes the response to a call, unless its client has disconnected or interrupted it.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer, out: &mut Vec<FrontOutput>) {
        let Some(request) = self.remove_request(ticket) else { return };
        if let Some(connection) = self.connections.get_mut(&request.connection) {
            connection.open.remove(&request.number);
            connection.last_active = now;
        }
        let bytes = match &answer.verdict {
            Verdict::Served { payload, .. } => message::served(request.number, payload),
            Verdict::Refused(_) => {
                self.recent_ids.remove(&request.id);
                message::error(request.number, CODE_REFUSED)
            }
            Verdict::Failed(_) => message::error(request.number, CODE_FAILED),
        };
        self.write(request.connection, bytes, out);
    }

    /// Restarts the timeouts of a connection that has sent input which was not passed on yet.
    pub fn restart_timeouts(&mut self, now: Micros, id: LinkId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.restart_timeouts(now);
        }
    }

    /// When [`Front::advance`] is due next.
    #[must_use]
    pub fn next_wake(&self) -> Option<Micros> {
        self.next_sweep
    }

    /// Closes connections that timed out.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FrontOutput>) {
        if self.next_sweep.is_none_or(|at| at > now) {
            return;
        }
        let expired = self.connections.iter().filter(|(_, connection)| connection.is_expired(now));
        let expired: Vec<LinkId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.close(id, RejectReason::Silent, out);
        }
        self.next_sweep = (!self.connections.is_empty()).then(|| after(now, SWEEP_INTERVAL));
    }
}

fn call(ticket: Ticket, connection: LinkId, class: ClassId, request: ClientRequest) -> Call {
    Call {
        ticket,
        client: ClientRef(connection.0),
        class,
        tenant: None,
        function: request.function.into(),
        version: Ok(None),
        traits: Some(request.traits),
        key: request.key.map(|key| key.into_bytes().into()),
        request_id: Some(request.id.into()),
        payload: request.body.into(),
        budget: request.timeout,
        age: Micros(0),
        repeat: if request.resent { Repeat::Marked { covered_since: None } } else { Repeat::Unmarked },
    }
}
