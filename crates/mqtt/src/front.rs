//! The MQTT server, to which clients connect directly, without a broker.
//!
//! Invariants, each with a test:
//! - A ticket is answered to its session once, on the connection that the session has at that time.
//! - A session without a connection keeps its answers until it expires; calls that are still open then are
//!   abandoned.
//! - Bytes that are not MQTT close the connection that they arrived on and affect no other.

mod calls;
mod connection;
mod dispatch;
mod handshake;
mod owed;

pub use owed::OwedAnswers;

use crate::after;
use crate::first_packet::{first_packet, Expected, FirstPacket};
use crate::routes::Routes;
use crate::session::Session;
use crate::ticket::TicketSource;
use connection::{ClientConnection, DeadlineKind, Stage};
use mqtt_protocol_core::mqtt::result_code::DisconnectReasonCode;
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, ClientRef, Ticket, Timers};
use std::collections::HashMap;
use tracing::info;

/// The id of a client's connection, given by the event loop and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An output of the front, to be executed by the event loop.
#[derive(Clone, Debug)]
pub enum FrontOutput {
    /// Write bytes to a connection.
    Write(LinkId, Vec<u8>),
    /// Close a connection after writing all pending bytes; the front has already removed it.
    Finish(LinkId),
    /// Pass a call to the engine.
    Call(Box<Call>),
    /// The session that a ticket belongs to ended before the answer arrived.
    ClientDisconnected(Ticket),
}

/// Settings of the front. CONNACK announces the limits for which the protocol has a property.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Distinguishes the tickets of this front from those of the engine's other fronts.
    pub number: u8,
    /// Maps topics to classes, functions, tenants and keys.
    pub routes: Routes,
    /// Numbers of the settings documents that define routes and classes, for the answers' `settings`
    /// property; `None` without versioned settings.
    pub documents: Option<String>,
    /// Part of the client ids that the front assigns. It must differ from that of every other process, also of
    /// earlier ones: clients come back with the ids that they were assigned.
    pub instance: String,
    /// Maximum size of a received packet, in bytes.
    pub max_packet: u32,
    /// Maximum number of unacknowledged publishes of one client.
    pub receive_maximum: u16,
    /// Maximum number of topic aliases of one connection.
    pub topic_alias_maximum: u16,
    /// Maximum time for which a session is kept without a connection.
    pub max_session_expiry: Micros,
    /// Maximum number of concurrent sessions, with and without a connection.
    pub max_sessions: usize,
    /// Maximum number of open calls and queued answers of one session.
    pub session_quota: usize,
    /// Time within which a new connection must send its CONNECT.
    pub connect_timeout: Micros,
    /// Maximum keep-alive, in seconds; also applies to clients that request none.
    pub max_keep_alive: u16,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            number: 1,
            routes: Routes::default(),
            documents: None,
            instance: String::new(),
            max_packet: 1024 * 1024,
            receive_maximum: 256,
            topic_alias_maximum: 16,
            max_session_expiry: Micros(600_000_000),
            max_sessions: 10_000,
            session_quota: 4_096,
            connect_timeout: Micros(5_000_000),
            max_keep_alive: 300,
        }
    }
}

enum Timer {
    Connection(LinkId),
    Session(ClientRef),
}

/// An MQTT server without I/O; see the module documentation.
pub struct Front {
    settings: FrontSettings,
    connections: HashMap<LinkId, ClientConnection>,
    sessions: HashMap<ClientRef, Session>,
    clients_by_id: HashMap<String, ClientRef>,
    /// Clients by the tickets of their open calls.
    tickets: HashMap<Ticket, ClientRef>,
    ticket_source: TicketSource,
    /// Number of client ids that were assigned to clients without one.
    assigned_ids: u64,
    /// When the gateway began to stop, after which no further sessions begin.
    stopped_accepting_at: Option<Micros>,
    timers: Timers<Timer>,
}

impl Front {
    /// Creates a front without connections.
    #[must_use]
    pub fn new(settings: FrontSettings) -> Self {
        Front {
            ticket_source: TicketSource::new(settings.number),
            settings,
            connections: HashMap::new(),
            sessions: HashMap::new(),
            clients_by_id: HashMap::new(),
            tickets: HashMap::new(),
            assigned_ids: 0,
            stopped_accepting_at: None,
            timers: Timers::default(),
        }
    }

    /// Replaces the routes and the numbers of the settings documents. Open calls keep the route that they
    /// were made by.
    pub fn set_routes(&mut self, routes: Routes, documents: Option<String>) {
        self.settings.routes = routes;
        self.settings.documents = documents;
    }

    /// Handles a new connection.
    pub fn opened(&mut self, now: Micros, id: LinkId) {
        self.connections.insert(id, ClientConnection::new(now, &self.settings));
        self.set_timer(id);
    }

    /// Handles bytes that were read from a connection.
    pub fn received(&mut self, now: Micros, id: LinkId, bytes: &[u8], out: &mut Vec<FrontOutput>) {
        let limit = self.settings.max_packet as usize;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Stage::Opening(buffer) = &mut connection.stage else { return self.feed(now, id, bytes, out) };
        buffer.extend_from_slice(bytes);
        match first_packet(Expected::Connect, buffer, limit) {
            FirstPacket::Partial => {}
            FirstPacket::Rejected => {
                info!(link = id.0, "closed: the first packet is not a valid CONNECT");
                self.close(now, id, out);
            }
            FirstPacket::Complete { packet, receive_maximum, length } => {
                let rest = buffer.split_off(length);
                connection.receive_maximum = usize::from(receive_maximum.unwrap_or(u16::MAX));
                self.feed(now, id, &packet, out);
                self.feed(now, id, &rest, out);
            }
        }
    }

    /// Handles the end of a connection.
    pub fn closed(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        self.remove_connection(now, id, out);
    }

    /// Sends the answer to a call, or queues it until its session has a connection that permits it.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer, out: &mut Vec<FrontOutput>) {
        let Some(client) = self.tickets.remove(&ticket) else { return };
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let Some(reply) = session.pending.remove(&ticket) else { return };
        self.queue_answer(now, client, reply, answer, out);
    }

    /// Drops a ticket that gets no answer because its client repeated the call.
    pub fn superseded(&mut self, ticket: Ticket) {
        let client = self.tickets.remove(&ticket);
        if let Some(session) = client.and_then(|client| self.sessions.get_mut(&client)) {
            session.pending.remove(&ticket);
        }
    }

    /// The time of the next timer, when [`Front::advance`] must be called.
    #[must_use]
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Handles timers that are due: keep-alives and the expiry of sessions.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FrontOutput>) {
        for _ in 0..self.timers.len() {
            match self.timers.pop(now) {
                None => return,
                Some(Timer::Session(client)) => {
                    let expires_at = self.sessions.get(&client).and_then(|session| session.expires_at);
                    if expires_at.is_some_and(|at| at <= now) {
                        self.remove_session(client, out);
                    }
                }
                Some(Timer::Connection(id)) => self.handle_timer(now, id, out),
            }
        }
    }

    /// Closes all connections because the gateway shuts down.
    pub fn stop(&mut self, now: Micros, out: &mut Vec<FrontOutput>) {
        let ids: Vec<LinkId> = self.connections.keys().copied().collect();
        for id in ids {
            self.disconnect(now, id, DisconnectReasonCode::ServerShuttingDown, out);
        }
    }

    /// Numbers of connections and of sessions, for logs and metrics.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.connections.len(), self.sessions.len())
    }

    /// Sets the timer of a connection to its deadline, unless a timer is already set.
    fn set_timer(&mut self, id: LinkId) {
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| !connection.timer_set)
        else {
            return;
        };
        if let Some(deadline) = connection.deadline {
            connection.timer_set = true;
            self.timers.set(deadline.at, Timer::Connection(id));
        }
    }

    fn handle_timer(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.timer_set = false;
        let Some(deadline) = connection.deadline.filter(|deadline| deadline.at <= now) else {
            return self.set_timer(id);
        };
        connection.deadline = None;
        match deadline.kind {
            DeadlineKind::Connect => {
                info!(link = id.0, "closed: no CONNECT within the connect timeout");
                self.close(now, id, out);
            }
            DeadlineKind::Library(timer) => {
                info!(link = id.0, "keep-alive timeout: no packet received");
                let events = connection.mqtt.notify_timer_fired(timer);
                self.execute(now, id, events, out);
            }
        }
    }

    /// Removes a connection. Its session is kept until it expires.
    fn remove_connection(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let Stage::Open(client) = connection.stage else { return };
        let session = self.sessions.get_mut(&client).filter(|session| session.connection == Some(id));
        let Some(session) = session else { return };
        session.connection = None;
        if session.expiry.0 == 0 {
            return self.remove_session(client, out);
        }
        session.stored = connection.mqtt.get_stored_packets();
        session.received_qos2 = connection.mqtt.get_qos2_publish_handled().into_iter().collect();
        let expires_at = after(now, session.expiry);
        session.expires_at = Some(expires_at);
        self.timers.set(expires_at, Timer::Session(client));
    }

    /// Removes a session and abandons its open calls.
    fn remove_session(&mut self, client: ClientRef, out: &mut Vec<FrontOutput>) {
        let Some(session) = self.sessions.remove(&client) else { return };
        self.clients_by_id.remove(&session.client_id);
        for ticket in session.pending.into_keys() {
            self.tickets.remove(&ticket);
            out.push(FrontOutput::ClientDisconnected(ticket));
        }
    }

    fn session_of(&self, id: LinkId) -> Option<&Session> {
        match self.connections.get(&id)?.stage {
            Stage::Open(client) => self.sessions.get(&client),
            Stage::Opening(_) => None,
        }
    }
}
