//! The stand-in broker: MQTT 5 with sessions, shared subscriptions and redelivery, for one machine and small loads.
//! Its faults are those that a bridge must live through: a connection dropped with messages under way, sessions
//! forgotten, acknowledgements that are not heard.

use crate::tap::unix_micros;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::{v5_0, GenericPacketTrait, Packet, Property, Qos};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, MqttError, SubackReasonCode, UnsubackReasonCode,
};
use mqtt_protocol_core::mqtt::{role, Version};
use serde::{Deserialize, Serialize};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What goes wrong at a broker, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerFault {
    /// When.
    pub at_us: i64,
    /// What.
    pub kind: BrokerFaultKind,
}

/// See [`BrokerFault`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BrokerFaultKind {
    /// The connections of clients whose id begins so are dropped; their sessions stay.
    Drop {
        /// The beginning.
        prefix: String,
    },
    /// All connections are dropped and all sessions forgotten, as by a restart without a store.
    Forget,
    /// The next acknowledgements of clients whose id begins so are not heard, and then their connections drop.
    LoseAcknowledgements {
        /// The beginning.
        prefix: String,
        /// For how long.
        for_us: i64,
    },
}

/// All that a stand-in broker is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct BrokerPlan {
    /// Where it listens; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// What goes wrong, and when.
    pub faults: Vec<BrokerFault>,
}

impl Default for BrokerPlan {
    fn default() -> Self {
        BrokerPlan { listen: SocketAddr::from(([127, 0, 0, 1], 0)), faults: Vec::new() }
    }
}

struct Link {
    mqtt: Connection<role::Server>,
    client: Option<String>,
}

#[derive(Clone)]
struct Message {
    topic: String,
    payload: Vec<u8>,
    properties: Vec<Property>,
    qos: Qos,
}

struct Subscription {
    filter: String,
    group: Option<String>,
    qos: Qos,
}

#[derive(Default)]
struct Session {
    link: Option<Id>,
    lasting: bool,
    receive_maximum: usize,
    subscriptions: Vec<Subscription>,
    queue: VecDeque<Message>,
    /// Sent and not acknowledged, by packet id; the ids are the broker's own count.
    sent: BTreeMap<u16, Message>,
    next_id: u16,
}

struct Broker {
    reactor: Reactor,
    links: HashMap<Id, Link>,
    sessions: BTreeMap<String, Session>,
    turns: HashMap<(String, String), usize>,
    faults: Vec<BrokerFault>,
    /// Clients whose acknowledgements are not heard, by the beginning of their ids, and until when.
    deaf: Vec<(String, i64)>,
}

/// Runs a stand-in broker until SIGTERM. `ready` is told the address that was bound.
///
/// # Errors
/// When its socket cannot be opened or its poller fails.
pub fn run_broker(plan: BrokerPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let mut reactor = Reactor::new(16 * 1024 * 1024)?;
    reactor.signal(libc::SIGTERM)?;
    let (_, address) = reactor.listen(plan.listen)?;
    ready(address);
    let (links, sessions, turns) = (HashMap::new(), BTreeMap::new(), HashMap::new());
    let mut faults = plan.faults;
    faults.sort_by_key(|f| f.at_us);
    Broker { reactor, links, sessions, turns, faults, deaf: Vec::new() }.run()
}

/// Whether a topic matches a filter (section 4.7); both are taken for well formed.
fn matches(filter: &str, topic: &str) -> bool {
    let (mut filters, mut topics) = (filter.split('/'), topic.split('/'));
    loop {
        match (filters.next(), topics.next()) {
            (Some("#"), _) => return true,
            (Some("+"), Some(_)) => {}
            (Some(f), Some(t)) if f == t => {}
            (None, None) => return true,
            _ => return false,
        }
    }
}

impl Broker {
    fn run(&mut self) -> io::Result<()> {
        let mut happened = Vec::new();
        loop {
            let next =
                self.faults.first().map_or(1_000_000, |f| (f.at_us - unix_micros()).clamp(0, 1_000_000));
            self.reactor.poll(Some(Duration::from_micros(next as u64)), &mut happened)?;
            while self.faults.first().is_some_and(|f| f.at_us <= unix_micros()) {
                let fault = self.faults.remove(0);
                self.act(fault);
            }
            for event in happened.drain(..) {
                match event {
                    ReactorEvent::Signal(_) => return Ok(()),
                    ReactorEvent::Accepted { connection, .. } => {
                        let mut mqtt = Connection::new(Version::V5_0);
                        mqtt.set_auto_ping_response(true);
                        self.links.insert(connection, Link { mqtt, client: None });
                    }
                    ReactorEvent::Received(id, bytes) => self.received(id, &bytes),
                    ReactorEvent::Closed { id, .. } => self.gone(id),
                    _ => {}
                }
            }
        }
    }

    fn act(&mut self, fault: BrokerFault) {
        match fault.kind {
            BrokerFaultKind::LoseAcknowledgements { prefix, for_us } => {
                let until_us = fault.at_us + for_us;
                self.deaf.push((prefix.clone(), until_us));
                self.faults.push(BrokerFault { at_us: until_us, kind: BrokerFaultKind::Drop { prefix } });
                self.faults.sort_by_key(|f| f.at_us);
            }
            BrokerFaultKind::Drop { prefix } => self.drop_links(&prefix),
            BrokerFaultKind::Forget => {
                self.drop_links("");
                self.sessions.clear();
            }
        }
    }

    fn drop_links(&mut self, prefix: &str) {
        let named = self.sessions.iter().filter(|(client, _)| client.starts_with(prefix));
        let links: Vec<Id> = named.filter_map(|(_, session)| session.link).collect();
        for link in links {
            self.reactor.close(link);
            self.gone(link);
        }
    }

    fn gone(&mut self, id: Id) {
        let Some(client) = self.links.remove(&id).and_then(|l| l.client) else { return };
        let Some(session) = self.sessions.get_mut(&client).filter(|s| s.link == Some(id)) else { return };
        session.link = None;
        if !session.lasting {
            self.sessions.remove(&client);
        }
    }

    fn received(&mut self, id: Id, bytes: &[u8]) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() {
            let Some(link) = self.links.get_mut(&id) else { return };
            let events = link.mqtt.recv(&mut cursor);
            self.carry(id, events);
        }
    }

    fn carry(&mut self, id: Id, events: Vec<Event>) {
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => self.packet(id, packet),
                Event::RequestSendPacket { packet, .. } => {
                    self.reactor.write(id, &packet.to_continuous_buffer());
                }
                Event::RequestClose => {
                    self.reactor.finish(id);
                    self.gone(id);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, id: Id, packet: Result<Packet, MqttError>) {
        let (Ok(packet), Some(link)) = (packet, self.links.get_mut(&id)) else { return };
        let events = link.mqtt.send(packet);
        self.carry(id, events);
    }

    fn packet(&mut self, id: Id, packet: Packet) {
        let client = self.links.get(&id).and_then(|l| l.client.clone());
        match (packet, client) {
            (Packet::V5_0Connect(p), _) => self.connect(id, &p),
            (Packet::V5_0Publish(p), Some(_)) => {
                let message = Message {
                    topic: p.topic_name().into(),
                    payload: p.payload().as_slice().to_vec(),
                    properties: p.props().clone(),
                    qos: p.qos(),
                };
                match (p.qos(), p.packet_id()) {
                    (Qos::AtLeastOnce, Some(number)) => {
                        self.send(id, v5_0::Puback::builder().packet_id(number).build().map(Into::into));
                    }
                    (Qos::ExactlyOnce, Some(number)) => {
                        self.send(id, v5_0::Pubrec::builder().packet_id(number).build().map(Into::into));
                    }
                    _ => {}
                }
                self.route(message);
            }
            (Packet::V5_0Pubrel(p), Some(_)) => {
                self.send(id, v5_0::Pubcomp::builder().packet_id(p.packet_id()).build().map(Into::into));
            }
            (Packet::V5_0Puback(p), Some(client)) => {
                let now = unix_micros();
                let deaf = self.deaf.iter().any(|(prefix, until)| client.starts_with(prefix) && now < *until);
                if let Some(session) = self.sessions.get_mut(&client).filter(|_| !deaf) {
                    session.sent.remove(&p.packet_id());
                }
                self.pump(&client);
            }
            (Packet::V5_0Subscribe(p), Some(client)) => self.subscribe(id, &client, &p),
            (Packet::V5_0Unsubscribe(p), Some(_)) => {
                let codes = vec![UnsubackReasonCode::Success; p.entries().len()];
                let ack = v5_0::Unsuback::builder().packet_id(p.packet_id()).reason_codes(codes).build();
                self.send(id, ack.map(Into::into));
            }
            (Packet::V5_0Disconnect(_), _) => {
                self.reactor.finish(id);
                self.gone(id);
            }
            _ => {}
        }
    }

    fn connect(&mut self, id: Id, connect: &v5_0::Connect) {
        let client = connect.client_id().to_string();
        let (mut lasting, mut receive_maximum) = (false, usize::from(u16::MAX));
        for property in connect.props() {
            match property {
                Property::SessionExpiryInterval(p) => lasting = p.val() > 0,
                Property::ReceiveMaximum(p) => receive_maximum = usize::from(p.val()),
                _ => {}
            }
        }
        if let Some(old) = self.sessions.get(&client).and_then(|s| s.link) {
            self.reactor.close(old);
            self.gone(old);
        }
        if connect.clean_start() {
            self.sessions.remove(&client);
        }
        let resumed = self.sessions.contains_key(&client);
        let session = self.sessions.entry(client.clone()).or_default();
        (session.link, session.lasting, session.receive_maximum) = (Some(id), lasting, receive_maximum);
        if let Some(link) = self.links.get_mut(&id) {
            link.client = Some(client.clone());
        }
        let connack =
            v5_0::Connack::builder().reason_code(ConnectReasonCode::Success).session_present(resumed);
        self.send(id, connack.build().map(Into::into));
        let Some(session) = self.sessions.get(&client) else { return };
        let again: Vec<(u16, Message)> = session.sent.iter().map(|(n, m)| (*n, m.clone())).collect();
        for (number, message) in again {
            self.deliver(id, &message, number, true);
        }
        self.pump(&client);
    }

    fn subscribe(&mut self, id: Id, client: &str, subscribe: &v5_0::Subscribe) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        let mut codes = Vec::new();
        for entry in subscribe.entries() {
            let text = entry.topic_filter();
            let (group, filter) = match text.strip_prefix("$share/").and_then(|rest| rest.split_once('/')) {
                Some((group, filter)) => (Some(group.to_string()), filter.to_string()),
                None => (None, text.to_string()),
            };
            // QoS 1 is all that this broker delivers.
            let qos = match entry.sub_opts().qos() {
                Qos::AtMostOnce => Qos::AtMostOnce,
                _ => Qos::AtLeastOnce,
            };
            session.subscriptions.retain(|s| s.filter != filter || s.group != group);
            session.subscriptions.push(Subscription { filter, group, qos });
            codes.push(SubackReasonCode::GrantedQos1);
        }
        let ack = v5_0::Suback::builder().packet_id(subscribe.packet_id()).reason_codes(codes).build();
        self.send(id, ack.map(Into::into));
    }

    /// Queues a message for each subscriber and for one member of each group.
    fn route(&mut self, message: Message) {
        let mut alone = Vec::new();
        let mut groups: BTreeMap<(String, String), Vec<(String, Qos)>> = BTreeMap::new();
        for (client, session) in &self.sessions {
            for s in session.subscriptions.iter().filter(|s| matches(&s.filter, &message.topic)) {
                match &s.group {
                    None => alone.push((client.clone(), s.qos)),
                    Some(group) => {
                        let key = (group.clone(), s.filter.clone());
                        groups.entry(key).or_default().push((client.clone(), s.qos));
                    }
                }
            }
        }
        for (group, members) in groups {
            // In turn, those with a connection first.
            let up = |c: &String| self.sessions.get(c).is_some_and(|s| s.link.is_some());
            let connected: Vec<_> = members.iter().filter(|m| up(&m.0)).cloned().collect();
            let members = if connected.is_empty() { members } else { connected };
            let turn = self.turns.entry(group).or_default();
            *turn += 1;
            alone.push(members[*turn % members.len()].clone());
        }
        for (client, qos) in alone {
            let mut message = message.clone();
            if qos == Qos::AtMostOnce {
                message.qos = Qos::AtMostOnce;
            } else if message.qos == Qos::ExactlyOnce {
                message.qos = Qos::AtLeastOnce;
            }
            if let Some(session) = self.sessions.get_mut(&client) {
                session.queue.push_back(message);
            }
            self.pump(&client);
        }
    }

    fn pump(&mut self, client: &str) {
        loop {
            let Some(session) = self.sessions.get_mut(client) else { return };
            let Some(id) = session.link.filter(|_| session.sent.len() < session.receive_maximum) else {
                return;
            };
            let Some(message) = session.queue.pop_front() else { return };
            let mut number = 0;
            if message.qos != Qos::AtMostOnce {
                loop {
                    session.next_id = session.next_id.wrapping_add(1).max(1);
                    if !session.sent.contains_key(&session.next_id) {
                        break;
                    }
                }
                number = session.next_id;
                session.sent.insert(number, message.clone());
            }
            self.deliver(id, &message, number, false);
        }
    }

    fn deliver(&mut self, id: Id, message: &Message, number: u16, dup: bool) {
        let packet = || -> Result<v5_0::Publish, MqttError> {
            let properties: Vec<Property> = message
                .properties
                .iter()
                .filter(|p| !matches!(p, Property::TopicAlias(_)))
                .cloned()
                .collect();
            let builder = v5_0::Publish::builder()
                .topic_name(message.topic.as_str())?
                .qos(message.qos)
                .props(properties)
                .payload(message.payload.clone());
            match message.qos {
                Qos::AtMostOnce => builder.build(),
                _ => builder.packet_id(number).dup(dup).build(),
            }
        };
        let Ok(packet) = packet() else { return };
        if let Some(link) = self.links.get_mut(&id).filter(|_| number != 0) {
            let _ = link.mqtt.register_packet_id(number);
        }
        self.send(id, Ok(packet.into()));
    }
}
