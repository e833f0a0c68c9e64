//! Clients of the platform: their connections, their requests and one response to each.
//!
//! A request that is invalid gets an error response and reaches nothing else. A client that violates the protocol loses its
//! connection and, as with any connection that ends, the requests that are open on it. Connections that send nothing, stop
//! within a message or are idle are closed, and evicted before that where the limit is reached.
//!
//! The front does no I/O: the gateway's event loop executes the outputs ([`FrontOutput`]) and passes calls to the engine.
//!
//! Bounds: [`FrontSettings::connections`], with 32 open requests and one message of 20 KiB on each.

mod connection;

use crate::after;
use crate::frame::FrameError;
use crate::message::{self, ClientRequest, InvalidRequest, Message};
use connection::Connection;
use slatevalve::{ClassId, Effect, Micros};
use slatevalve_engine::{Answer, Call, ClientRef, Repeat, Ticket, Verdict};
use std::collections::{BTreeMap, HashMap};

/// The most open requests on one connection, set by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// How often connections are checked for timeouts.
const SWEEP_INTERVAL: Micros = Micros(250_000);
/// The error code of a response to an invalid request.
const CODE_INVALID: &str = "Unusable";
/// The error code of a response to a request that was refused.
const CODE_REFUSED: &str = "Throttled";
/// The error code of a response to a request that failed.
const CODE_FAILED: &str = "Broken";

/// The id of a client's connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// The settings of the front.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The names and effects of the classes, in the order of their ids.
    pub classes: Vec<(String, Effect)>,
    /// The most connections at a time.
    pub connections: usize,
}

/// An output of the front, to be executed by the event loop.
#[derive(Clone, Debug)]
pub enum FrontOutput {
    /// Write to a connection.
    Write(LinkId, Vec<u8>),
    /// Close a connection once all is written.
    Finish(LinkId),
    /// Pass a call to the engine.
    Call(Box<Call>),
    /// The client of a call disconnected or interrupted it.
    ClientDisconnected(Ticket),
    /// A message was rejected or a connection closed; for the log.
    Rejected(LinkId, RejectReason),
}

/// Why a message was rejected or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The bytes cannot become a message.
    Frame(FrameError),
    /// A whole value is no message of the protocol.
    NotAMessage,
    /// A request is invalid.
    Call(InvalidRequest),
    /// The number of a request is not above the one before on its connection.
    Number,
    /// A request with the same id is open.
    OpenId,
    /// There are more open requests than the protocol allows.
    TooManyOpen,
    /// The connection timed out.
    Silent,
    /// The connection was evicted.
    NoRoom,
}

/// An open request.
struct OpenRequest {
    connection: LinkId,
    number: u32,
    id: String,
}

/// The clients' side of the router; see the module's documentation.
pub struct Front {
    settings: FrontSettings,
    connections: BTreeMap<LinkId, Connection>,
    open: HashMap<Ticket, OpenRequest>,
    /// The connections of the open requests, by the requests' ids.
    ids: HashMap<String, LinkId>,
    next_ticket: u64,
    next_sweep: Option<Micros>,
}

impl Front {
    /// A front without connections.
    #[must_use]
    pub fn new(settings: FrontSettings) -> Self {
        Front {
            settings,
            connections: BTreeMap::new(),
            open: HashMap::new(),
            ids: HashMap::new(),
            next_ticket: 0,
            next_sweep: None,
        }
    }

    /// The numbers of connections, open requests and ids of open requests; for tests of bounds.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.connections.len(), self.open.len(), self.ids.len())
    }

    /// The number of open requests.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.open.len()
    }

    /// The number of connections with an incomplete message.
    #[must_use]
    pub fn incomplete(&self) -> usize {
        self.connections.values().filter(|connection| connection.incomplete_since.is_some()).count()
    }

    /// A client connected; another connection is evicted where the limit is exceeded.
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

    /// A client disconnected.
    pub fn closed(&mut self, id: LinkId, out: &mut Vec<FrontOutput>) {
        if let Some(connection) = self.connections.remove(&id) {
            self.abandon_open(connection, out);
        }
    }

    /// Closes a connection from this side.
    fn close(&mut self, id: LinkId, reason: RejectReason, out: &mut Vec<FrontOutput>) {
        if let Some(connection) = self.connections.remove(&id) {
            self.abandon_open(connection, out);
            out.push(FrontOutput::Rejected(id, reason));
            out.push(FrontOutput::Finish(id));
        }
    }

    /// Abandons the open requests of a connection that has ended.
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

    /// Handles bytes that were read from a connection; `ready` is the response to `check`.
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
        buffer.extend_from_slice(bytes);
        let mut start = 0;
        // A message may close the connection; the bytes behind it are then ignored.
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
                    return connection.keep_incomplete(now, buffer);
                }
                Err(e) => return self.close(id, RejectReason::Frame(e), out),
            }
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

    /// Closes the connection unless `number` is above all earlier ones: with a number that was used before, the client could
    /// not tell which request a response belongs to.
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
            // With one id for two requests, the client could not tell which of them a response belongs to.
            Some(other) if *other == id => return self.close(id, RejectReason::OpenId, out),
            Some(_) => return self.reject(id, number, RejectReason::OpenId, out),
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
        self.open.insert(ticket, OpenRequest { connection: id, number, id: request.id.clone() });
        out.push(FrontOutput::Call(Box::new(call(ticket, id, class, request))));
    }

    /// The class of a request.
    ///
    /// # Errors
    /// Where the class does not exist, or requires a key that the request does not have.
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

    /// Responds to a request with an error; the connection stays open.
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

    /// Writes the response to a call, unless its client disconnected or interrupted it.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer, out: &mut Vec<FrontOutput>) {
        let Some(request) = self.remove_request(ticket) else { return };
        if let Some(connection) = self.connections.get_mut(&request.connection) {
            connection.open.remove(&request.number);
            connection.last_active = now;
        }
        let bytes = match &answer.verdict {
            Verdict::Served { payload, .. } => message::served(request.number, payload),
            Verdict::Refused(_) => message::error(request.number, CODE_REFUSED),
            Verdict::Failed(_) => message::error(request.number, CODE_FAILED),
        };
        self.write(request.connection, bytes, out);
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
