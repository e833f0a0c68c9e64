//! The server side: clients connect here, no broker is needed.
//!
//! Invariants, each with a test: a ticket is answered to its session once, on whichever connection it then has; a
//! session without a connection keeps its answers until it expires, and what it still waits for has then left; bytes
//! that are no MQTT close their own connection and nothing else.

mod calls;

use crate::connect::{first_packet, Expected, FirstPacket};
use crate::packets::{self, Inbound, Outbound, Version};
use crate::routes::Routes;
use crate::session::{Session, TicketSource};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, ConnectionOptions, Event, TimerKind};
use mqtt_protocol_core::mqtt::packet::{
    v3_1_1, v5_0, AssignedClientIdentifier, MaximumPacketSize, ReceiveMaximum, RetainAvailable,
    ServerKeepAlive, SharedSubscriptionAvailable, SubscriptionIdentifierAvailable, TopicAliasMaximum,
    WildcardSubscriptionAvailable,
};
use mqtt_protocol_core::mqtt::packet::{GenericPacketTrait, Packet, Property, Qos, SessionExpiryInterval};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, ConnectReturnCode, DisconnectReasonCode, MqttError,
};
use mqtt_protocol_core::mqtt::{role, Version as AnyVersion};
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, ClientRef, Ticket, Timers};
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tracing::{debug, info, warn};

/// A client's connection, numbered by the shell and never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What the shell is to do.
#[derive(Clone, Debug)]
pub enum FrontOutput {
    /// Write bytes to a connection.
    Write(LinkId, Vec<u8>),
    /// Close a connection once all is written. The front has forgotten it.
    Finish(LinkId),
    /// Hand a call to the engine.
    Call(Box<Call>),
    /// Tell the engine that a ticket's client left for good.
    Left(Ticket),
}

/// What the front is told when it starts.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// This front's number among those of one engine.
    pub number: u8,
    /// The routes.
    pub routes: Routes,
    /// Numbers of the settings documents that the routes and classes are of; answers name them.
    pub documents: Option<String>,
    /// Longest packet taken, in bytes.
    pub max_packet: u32,
    /// Publishes of one client that may be unacknowledged.
    pub receive_maximum: u16,
    /// Topic aliases that one connection may use.
    pub topic_alias_maximum: u16,
    /// Longest life of a session without a connection.
    pub max_session_expiry: Micros,
    /// Sessions at a time.
    pub max_sessions: usize,
    /// Calls and waiting answers of one session.
    pub session_quota: usize,
    /// A connection must have sent its CONNECT within this time.
    pub connect_timeout: Micros,
    /// Longest keep-alive, in seconds; holds for clients that want none as well.
    pub max_keep_alive: u16,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            number: 1,
            routes: Routes::default(),
            documents: None,
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

enum Stage {
    /// The CONNECT has not come whole yet.
    Opening(Vec<u8>),
    /// A session stands on it.
    Open(ClientRef),
}

struct Link {
    mqtt: Connection<role::Server>,
    stage: Stage,
    opened: Micros,
    /// Answers that the client takes unacknowledged.
    receive_maximum: usize,
    /// What is due, and when; one timer at most is set for it.
    due: Option<(Option<TimerKind>, Micros)>,
    timer_set: bool,
}

enum Timer {
    Link(LinkId),
    Session(ClientRef),
}

/// See the module's documentation.
pub struct Front {
    settings: FrontSettings,
    links: HashMap<LinkId, Link>,
    sessions: HashMap<ClientRef, Session>,
    by_id: HashMap<String, ClientRef>,
    tickets: HashMap<Ticket, ClientRef>,
    numbers: TicketSource,
    assigned: u64,
    timers: Timers<Timer>,
}

/// A CONNECT of either version.
struct Asking {
    version: Version,
    client_id: String,
    clean: bool,
    expiry: Micros,
    keep_alive: u16,
    will: bool,
}

impl Front {
    /// A front without connections.
    pub fn new(settings: FrontSettings) -> Self {
        Front {
            numbers: TicketSource::new(settings.number),
            settings,
            links: HashMap::new(),
            sessions: HashMap::new(),
            by_id: HashMap::new(),
            tickets: HashMap::new(),
            assigned: 0,
            timers: Timers::default(),
        }
    }

    /// Takes other routes, which count for publishes that come from now on, and the numbers that answers name.
    pub fn take_routes(&mut self, routes: Routes, documents: Option<String>) {
        self.settings.routes = routes;
        self.settings.documents = documents;
    }

    /// A client connected.
    pub fn opened(&mut self, now: Micros, id: LinkId) {
        let size = self.settings.max_packet;
        // The library takes 0 for none; 65,535 is what holds where nothing is stated (section 3.2.2.3.3).
        let receive_maximum = Some(self.settings.receive_maximum).filter(|m| *m < u16::MAX).unwrap_or(0);
        let options =
            ConnectionOptions::new().maximum_packet_size_recv(size).receive_maximum(receive_maximum);
        let mut mqtt = Connection::with_options(AnyVersion::Undetermined, options);
        mqtt.set_auto_ping_response(true);
        let due = Some((None, Micros(now.0.saturating_add(self.settings.connect_timeout.0))));
        let (stage, receive_maximum) = (Stage::Opening(Vec::new()), usize::from(u16::MAX));
        let link = Link { mqtt, stage, opened: now, receive_maximum, due, timer_set: false };
        self.links.insert(id, link);
        self.arm(id);
    }

    /// Bytes came.
    pub fn received(&mut self, now: Micros, id: LinkId, bytes: &[u8], out: &mut Vec<FrontOutput>) {
        let limit = self.settings.max_packet as usize;
        let Some(link) = self.links.get_mut(&id) else { return };
        let Stage::Opening(buffer) = &mut link.stage else { return self.feed(now, id, bytes, out) };
        buffer.extend_from_slice(bytes);
        match first_packet(Expected::Connect, buffer, limit) {
            FirstPacket::Partial => {}
            FirstPacket::Refused => {
                info!(link = id.0, "closed: the first packet is no CONNECT that can be taken");
                self.finish(now, id, out);
            }
            FirstPacket::Whole { packet, receive_maximum, length } => {
                let rest = buffer.split_off(length);
                link.receive_maximum = usize::from(receive_maximum.unwrap_or(u16::MAX));
                self.feed(now, id, &packet, out);
                self.feed(now, id, &rest, out);
            }
        }
    }

    /// The connection ended.
    pub fn closed(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        self.end(now, id, out);
    }

    /// A ticket has its answer.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer, out: &mut Vec<FrontOutput>) {
        let Some(client) = self.tickets.remove(&ticket) else { return };
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let Some(waiting) = session.waiting.remove(&ticket) else { return };
        let topic = session.reply_topic(&waiting, answer.verdict.word());
        let by = self.settings.documents.as_deref();
        session.outbox.push_back(Outbound::answer(topic, waiting.qos, waiting.correlation, answer, by));
        self.pump(now, client, out);
    }

    /// A ticket gets no answer, as a repeat by the same client does.
    pub fn superseded(&mut self, ticket: Ticket) {
        let client = self.tickets.remove(&ticket);
        if let Some(session) = client.and_then(|c| self.sessions.get_mut(&c)) {
            session.waiting.remove(&ticket);
        }
    }

    /// When [`Front::advance`] is due next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Lets time pass: keep-alives, session expiry.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FrontOutput>) {
        for _ in 0..self.timers.len() {
            match self.timers.pop(now) {
                None => return,
                Some(Timer::Session(client)) => {
                    let expired = self.sessions.get(&client).and_then(|s| s.expires_at);
                    if expired.is_some_and(|at| at <= now) {
                        self.drop_session(client, out);
                    }
                }
                Some(Timer::Link(id)) => self.link_due(now, id, out),
            }
        }
    }

    /// Tells every client that the gateway stops, and lets all connections go.
    pub fn stop(&mut self, now: Micros, out: &mut Vec<FrontOutput>) {
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            self.dismiss(now, id, DisconnectReasonCode::ServerShuttingDown, out);
        }
    }

    /// Connections and sessions, for logs and metrics.
    pub fn counts(&self) -> (usize, usize) {
        (self.links.len(), self.sessions.len())
    }

    fn arm(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id).filter(|l| !l.timer_set) {
            if let Some((_, at)) = link.due {
                link.timer_set = true;
                self.timers.set(at, Timer::Link(id));
            }
        }
    }

    fn link_due(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.timer_set = false;
        match link.due {
            Some((kind, at)) if at <= now => {
                link.due = None;
                match kind {
                    None => {
                        info!(link = id.0, "closed: no CONNECT in time");
                        self.finish(now, id, out);
                    }
                    Some(kind) => {
                        info!(link = id.0, "keep-alive: nothing heard in time");
                        let events = link.mqtt.notify_timer_fired(kind);
                        self.carry(now, id, events, out);
                    }
                }
            }
            _ => self.arm(id),
        }
    }

    /// Gives bytes to the library and acts on what it makes of them.
    fn feed(&mut self, now: Micros, id: LinkId, bytes: &[u8], out: &mut Vec<FrontOutput>) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() {
            let Some(link) = self.links.get_mut(&id) else { return };
            // The last line of defence: should the library panic on what a peer sends, that peer's connection is
            // closed and no other client notices.
            let events = catch_unwind(AssertUnwindSafe(|| link.mqtt.recv(&mut cursor)));
            let Ok(events) = events else {
                warn!(link = id.0, "closed: the protocol library failed on what the peer sent");
                return self.finish(now, id, out);
            };
            let (packets, error) = self.carry(now, id, events, out);
            for packet in packets {
                self.packet(now, id, packet, out);
            }
            if let Some(error) = error {
                info!(link = id.0, %error, "closed: what the peer sent cannot be taken");
                return self.finish(now, id, out);
            }
        }
    }

    /// Carries out what the library wants; gives the packets that came and an error, if any.
    fn carry(
        &mut self,
        now: Micros,
        id: LinkId,
        events: Vec<Event>,
        out: &mut Vec<FrontOutput>,
    ) -> (Vec<Packet>, Option<MqttError>) {
        let (mut packets, mut error) = (Vec::new(), None);
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => packets.push(packet),
                Event::RequestSendPacket { packet, .. } => {
                    out.push(FrontOutput::Write(id, packet.to_continuous_buffer()));
                }
                Event::RequestTimerReset { kind, duration_ms } => {
                    let duration = i64::try_from(duration_ms).unwrap_or(i64::MAX).saturating_mul(1_000);
                    if let Some(link) = self.links.get_mut(&id) {
                        link.due = Some((Some(kind), Micros(now.0.saturating_add(duration))));
                    }
                    self.arm(id);
                }
                Event::RequestTimerCancel(_) => {
                    self.links.get_mut(&id).into_iter().for_each(|l| l.due = None);
                }
                Event::NotifyError(e) => error = Some(e),
                Event::RequestClose => self.finish(now, id, out),
                Event::NotifyPacketIdReleased(_) => {}
            }
        }
        (packets, error)
    }

    /// Sends a packet; an error means that the library would not.
    fn send(
        &mut self,
        now: Micros,
        id: LinkId,
        packet: Result<Packet, MqttError>,
        out: &mut Vec<FrontOutput>,
    ) -> Result<(), MqttError> {
        let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
        let events = link.mqtt.send(packet?);
        self.carry(now, id, events, out).1.map_or(Ok(()), Err)
    }

    /// Sends a packet that is part of the protocol's own course; a connection that cannot have it is closed.
    fn must_send(
        &mut self,
        now: Micros,
        id: LinkId,
        packet: Result<Packet, MqttError>,
        out: &mut Vec<FrontOutput>,
    ) {
        if let Err(error) = self.send(now, id, packet, out) {
            warn!(link = id.0, %error, "closed: a reply cannot be sent");
            self.finish(now, id, out);
        }
    }

    fn finish(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        if self.links.contains_key(&id) {
            out.push(FrontOutput::Finish(id));
            self.end(now, id, out);
        }
    }

    /// Closes a connection with a reason, where the version has one.
    fn dismiss(&mut self, now: Micros, id: LinkId, code: DisconnectReasonCode, out: &mut Vec<FrontOutput>) {
        let version = self.session_of(id).map(|s| s.version);
        if let Some(Ok(Some(packet))) = version.map(|v| packets::disconnect(v, code)) {
            let _ = self.send(now, id, Ok(packet), out);
        }
        self.finish(now, id, out);
    }

    fn session_of(&self, id: LinkId) -> Option<&Session> {
        match self.links.get(&id)?.stage {
            Stage::Open(client) => self.sessions.get(&client),
            Stage::Opening(_) => None,
        }
    }

    /// Forgets a connection; its session stays as long as it may.
    fn end(&mut self, now: Micros, id: LinkId, out: &mut Vec<FrontOutput>) {
        let Some(link) = self.links.remove(&id) else { return };
        let Stage::Open(client) = link.stage else { return };
        let Some(session) = self.sessions.get_mut(&client).filter(|s| s.link == Some(id)) else { return };
        session.link = None;
        if session.expiry.0 == 0 {
            return self.drop_session(client, out);
        }
        session.stored = link.mqtt.get_stored_packets();
        session.received_qos2 = link.mqtt.get_qos2_publish_handled().into_iter().collect();
        let at = Micros(now.0.saturating_add(session.expiry.0));
        session.expires_at = Some(at);
        self.timers.set(at, Timer::Session(client));
    }

    fn drop_session(&mut self, client: ClientRef, out: &mut Vec<FrontOutput>) {
        let Some(session) = self.sessions.remove(&client) else { return };
        self.by_id.remove(&session.client_id);
        for ticket in session.waiting.into_keys() {
            self.tickets.remove(&ticket);
            out.push(FrontOutput::Left(ticket));
        }
    }

    // ---- packets ----

    fn packet(&mut self, now: Micros, id: LinkId, packet: Packet, out: &mut Vec<FrontOutput>) {
        match &packet {
            Packet::V5_0Connect(p) => {
                let expiry = p.props().iter().find_map(|p| match p {
                    Property::SessionExpiryInterval(p) => Some(p.val()),
                    _ => None,
                });
                let asking = Asking {
                    version: Version::V5,
                    client_id: p.client_id().to_string(),
                    clean: p.clean_start(),
                    expiry: Micros(i64::from(expiry.unwrap_or(0)) * 1_000_000),
                    keep_alive: p.keep_alive(),
                    will: p.will_flag(),
                };
                return self.connect(now, id, asking, out);
            }
            Packet::V3_1_1Connect(p) => {
                let asking = Asking {
                    version: Version::V3,
                    client_id: p.client_id().to_string(),
                    clean: p.clean_session(),
                    expiry: if p.clean_session() { Micros(0) } else { Micros(i64::MAX) },
                    keep_alive: p.keep_alive(),
                    will: p.will_flag(),
                };
                return self.connect(now, id, asking, out);
            }
            _ => {}
        }
        let Some(session) = self.session_of(id) else { return self.finish(now, id, out) };
        let (version, client) = (session.version, session.client);
        match &packet {
            Packet::V5_0Publish(p) => self.publish(now, id, client, Inbound::v5(p), out),
            Packet::V3_1_1Publish(p) => self.publish(now, id, client, Inbound::v3(p), out),
            Packet::V5_0Pubrel(p) => self.must_send(now, id, packets::pubcomp(version, p.packet_id()), out),
            Packet::V3_1_1Pubrel(p) => self.must_send(now, id, packets::pubcomp(version, p.packet_id()), out),
            Packet::V5_0Pubrec(p) if p.reason_code().is_some_and(|c| c.is_failure()) => {
                self.acknowledged(now, client, p.packet_id(), out)
            }
            Packet::V5_0Pubrec(p) => self.must_send(now, id, packets::pubrel(version, p.packet_id()), out),
            Packet::V3_1_1Pubrec(p) => self.must_send(now, id, packets::pubrel(version, p.packet_id()), out),
            Packet::V5_0Puback(p) => self.acknowledged(now, client, p.packet_id(), out),
            Packet::V3_1_1Puback(p) => self.acknowledged(now, client, p.packet_id(), out),
            Packet::V5_0Pubcomp(p) => self.acknowledged(now, client, p.packet_id(), out),
            Packet::V3_1_1Pubcomp(p) => self.acknowledged(now, client, p.packet_id(), out),
            Packet::V5_0Subscribe(p) => {
                let filters: Vec<(String, Qos)> =
                    p.entries().iter().map(|e| (e.topic_filter().into(), e.sub_opts().qos())).collect();
                self.must_send(now, id, packets::suback(version, p.packet_id(), &filters), out);
            }
            Packet::V3_1_1Subscribe(p) => {
                let filters: Vec<(String, Qos)> =
                    p.entries().iter().map(|e| (e.topic_filter().into(), e.sub_opts().qos())).collect();
                self.must_send(now, id, packets::suback(version, p.packet_id(), &filters), out);
            }
            Packet::V5_0Unsubscribe(p) => {
                let ack = packets::unsuback(version, p.packet_id(), p.entries().len());
                self.must_send(now, id, ack, out);
            }
            Packet::V3_1_1Unsubscribe(p) => {
                self.must_send(now, id, packets::unsuback(version, p.packet_id(), 0), out)
            }
            Packet::V5_0Disconnect(p) => {
                let expiry = p.props().iter().flatten().find_map(|p| match p {
                    Property::SessionExpiryInterval(p) => Some(Micros(i64::from(p.val()) * 1_000_000)),
                    _ => None,
                });
                // A session that was to end with its connection cannot be prolonged (section 3.14.2.2.2).
                if let Some(session) = self.sessions.get_mut(&client).filter(|s| s.expiry.0 > 0) {
                    session.expiry = expiry.unwrap_or(session.expiry).min(self.settings.max_session_expiry);
                }
                self.finish(now, id, out);
            }
            Packet::V3_1_1Disconnect(_) => self.finish(now, id, out),
            Packet::V5_0Auth(_) => self.dismiss(now, id, DisconnectReasonCode::ProtocolError, out),
            _ => {}
        }
    }

    fn connect(&mut self, now: Micros, id: LinkId, asking: Asking, out: &mut Vec<FrontOutput>) {
        let assign = asking.client_id.is_empty();
        if assign && asking.version == Version::V3 && !asking.clean {
            return self.turn_away(now, id, asking.version, Refused::ClientId, out);
        }
        let mut client_id = asking.client_id.clone();
        if assign {
            self.assigned += 1;
            client_id = format!("slatevalve-{}", self.assigned);
        }
        let known = self.by_id.get(&client_id).copied();
        if known.is_none() && self.sessions.len() >= self.settings.max_sessions {
            return self.turn_away(now, id, asking.version, Refused::Full, out);
        }
        if asking.will {
            debug!(link = id.0, "a will was sent; wills are not kept");
        }
        // A second connection of the same client takes over (section 3.1.4).
        if let Some(old) = known.and_then(|c| self.sessions.get(&c)).and_then(|s| s.link) {
            self.dismiss(now, old, DisconnectReasonCode::SessionTakenOver, out);
        }
        let known = self.by_id.get(&client_id).copied();
        let resumes = known
            .filter(|c| !asking.clean && self.sessions.get(c).is_some_and(|s| s.version == asking.version));
        if let (Some(old), None) = (known, resumes) {
            self.drop_session(old, out);
        }
        let client = resumes.unwrap_or_else(|| {
            let client = self.numbers.client();
            self.sessions.insert(client, Session::new(client, client_id.clone(), asking.version, now));
            self.by_id.insert(client_id.clone(), client);
            client
        });
        let expiry = asking.expiry.min(self.settings.max_session_expiry);
        let Some(session) = self.sessions.get_mut(&client) else { return };
        session.covered_since = resumes.map(|_| session.opened);
        (session.link, session.expiry, session.expires_at) = (Some(id), expiry, None);
        session.opened = now;
        let (stored, received) = (std::mem::take(&mut session.stored), session.received_qos2.clone());
        if let Some(link) = self.links.get_mut(&id) {
            link.stage = Stage::Open(client);
            session.opened = link.opened;
            link.mqtt.restore_packets(stored);
            link.mqtt.restore_qos2_publish_handled(received.into_iter().collect());
            link.due = link.due.filter(|(kind, _)| kind.is_some());
        }
        let connack = self.connack(&asking, resumes.is_some(), assign.then_some(client_id.as_str()), expiry);
        self.must_send(now, id, connack, out);
        // Version 3.1.1 cannot be told a shorter keep-alive; its own, or none, holds.
        self.pump(now, client, out);
    }

    fn connack(
        &self,
        asking: &Asking,
        resumes: bool,
        assigned: Option<&str>,
        expiry: Micros,
    ) -> Result<Packet, MqttError> {
        if asking.version == Version::V3 {
            let builder = v3_1_1::Connack::builder().return_code(ConnectReturnCode::Accepted);
            return Ok(builder.session_present(resumes).build()?.into());
        }
        let s = &self.settings;
        let mut properties: Vec<Property> = vec![
            MaximumPacketSize::new(s.max_packet.max(1))?.into(),
            TopicAliasMaximum::new(s.topic_alias_maximum)?.into(),
            RetainAvailable::new(0)?.into(),
            WildcardSubscriptionAvailable::new(0)?.into(),
            SubscriptionIdentifierAvailable::new(0)?.into(),
            SharedSubscriptionAvailable::new(0)?.into(),
        ];
        if s.receive_maximum < u16::MAX {
            properties.push(ReceiveMaximum::new(s.receive_maximum.max(1))?.into());
        }
        if expiry != asking.expiry {
            let seconds = u32::try_from(expiry.0 / 1_000_000).unwrap_or(u32::MAX);
            properties.push(SessionExpiryInterval::new(seconds)?.into());
        }
        if let Some(client_id) = assigned {
            properties.push(AssignedClientIdentifier::new(client_id)?.into());
        }
        if asking.keep_alive == 0 || asking.keep_alive > s.max_keep_alive {
            properties.push(ServerKeepAlive::new(s.max_keep_alive)?.into());
        }
        let builder = v5_0::Connack::builder().reason_code(ConnectReasonCode::Success);
        Ok(builder.session_present(resumes).props(properties).build()?.into())
    }

    fn turn_away(
        &mut self,
        now: Micros,
        id: LinkId,
        version: Version,
        why: Refused,
        out: &mut Vec<FrontOutput>,
    ) {
        info!(link = id.0, why = ?why, "connection refused");
        let (code, old_code) = match why {
            Refused::ClientId => {
                (ConnectReasonCode::ClientIdentifierNotValid, ConnectReturnCode::IdentifierRejected)
            }
            Refused::Full => (ConnectReasonCode::ServerBusy, ConnectReturnCode::ServerUnavailable),
        };
        let packet = match version {
            Version::V5 => {
                v5_0::Connack::builder().reason_code(code).session_present(false).build().map(Into::into)
            }
            Version::V3 => v3_1_1::Connack::builder()
                .return_code(old_code)
                .session_present(false)
                .build()
                .map(Into::into),
        };
        self.must_send(now, id, packet, out);
        self.finish(now, id, out);
    }
}

#[derive(Clone, Copy, Debug)]
enum Refused {
    ClientId,
    Full,
}
