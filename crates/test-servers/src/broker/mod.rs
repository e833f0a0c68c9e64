//! The test broker: MQTT 5 with sessions, shared subscriptions and redelivery, for small loads on one
//! machine. Its faults are those that a bridge must tolerate: connections closed with messages in flight,
//! discarded sessions, lost acknowledgements.

mod plan;
mod session;

pub use plan::{BrokerFault, BrokerFaultKind, BrokerPlan};

use crate::clock::unix_micros;
use crate::listen::listening_reactor;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::{
    v5_0, AssignedClientIdentifier, GenericPacketTrait, Packet, Property, Qos,
};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, MqttError, SubackReasonCode, UnsubackReasonCode,
};
use mqtt_protocol_core::mqtt::{role, Version};
use session::{Delivery, Message, Session, Subscription};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The write buffer limit of a connection, in bytes.
const MAX_BUFFERED: usize = 16 * 1024 * 1024;
/// The longest wait of the event loop, in microseconds.
const MAX_WAIT_US: i64 = 1_000_000;

struct ClientConnection {
    mqtt: Connection<role::Server>,
    /// The client identifier; none before the CONNECT packet.
    client: Option<String>,
}

/// The group and the filter of a shared subscription.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SharedSubscription {
    group: String,
    filter: String,
}

/// A client to which a message is delivered.
#[derive(Clone)]
struct Recipient {
    client: String,
    /// The QoS of the client's subscription.
    qos: Qos,
}

/// Clients whose acknowledgements are ignored until a time.
struct IgnoredAcknowledgements {
    client_prefix: String,
    until_us: i64,
}

struct Broker {
    reactor: Reactor,
    connections: HashMap<Id, ClientConnection>,
    sessions: BTreeMap<String, Session>,
    /// The number of messages delivered to each shared subscription, for round-robin selection of the client.
    round_robin: HashMap<SharedSubscription, usize>,
    /// Number of client ids that were assigned to clients without one.
    assigned_ids: u64,
    /// When the broker started; part of the client ids that it assigns, so that they differ from those that an
    /// earlier process assigned.
    started_us: i64,
    /// Pending faults, ordered by time.
    faults: Vec<BrokerFault>,
    ignored: Vec<IgnoredAcknowledgements>,
}

/// Runs a broker until SIGTERM; `ready` is called with the listening address.
///
/// # Errors
/// When the socket cannot be opened or the poller fails.
pub fn run_broker(plan: BrokerPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let (reactor, address) = listening_reactor(plan.listen, MAX_BUFFERED, &[libc::SIGTERM])?;
    ready(address);
    let mut faults = plan.faults;
    faults.sort_by_key(|fault| fault.at_us);
    let mut broker = Broker {
        reactor,
        connections: HashMap::new(),
        sessions: BTreeMap::new(),
        round_robin: HashMap::new(),
        assigned_ids: 0,
        started_us: unix_micros(),
        faults,
        ignored: Vec::new(),
    };
    broker.run()
}

impl Broker {
    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let next_fault_us = self.faults.first().map(|fault| fault.at_us - unix_micros());
            let wait_us = next_fault_us.map_or(MAX_WAIT_US, |until_us| until_us.clamp(0, MAX_WAIT_US));
            self.reactor.poll(Some(Duration::from_micros(wait_us as u64)), &mut events)?;
            while self.faults.first().is_some_and(|fault| fault.at_us <= unix_micros()) {
                let fault = self.faults.remove(0);
                self.apply_fault(fault);
            }
            for event in events.drain(..) {
                match event {
                    ReactorEvent::Signal(_) => return Ok(()),
                    ReactorEvent::Accepted { connection, .. } => self.accept(connection),
                    ReactorEvent::Received(id, bytes) => self.receive(id, &bytes),
                    ReactorEvent::Closed { id, .. } => self.disconnect(id),
                    _ => {}
                }
            }
        }
    }

    fn apply_fault(&mut self, fault: BrokerFault) {
        match fault.kind {
            BrokerFaultKind::LoseAcknowledgements { prefix, for_us } => {
                let until_us = fault.at_us + for_us;
                self.ignored.push(IgnoredAcknowledgements { client_prefix: prefix.clone(), until_us });
                self.faults.push(BrokerFault { at_us: until_us, kind: BrokerFaultKind::Drop { prefix } });
                self.faults.sort_by_key(|fault| fault.at_us);
            }
            BrokerFaultKind::Drop { prefix } => self.drop_connections(&prefix),
            BrokerFaultKind::Forget => {
                self.drop_connections("");
                self.sessions.clear();
            }
        }
    }

    fn drop_connections(&mut self, client_prefix: &str) {
        let affected = self.sessions.iter().filter(|(client, _)| client.starts_with(client_prefix));
        let connections: Vec<Id> = affected.filter_map(|(_, session)| session.connection).collect();
        for id in connections {
            self.reactor.close(id);
            self.disconnect(id);
        }
    }

    fn accept(&mut self, id: Id) {
        let mut mqtt = Connection::new(Version::V5_0);
        mqtt.set_auto_ping_response(true);
        self.connections.insert(id, ClientConnection { mqtt, client: None });
    }

    fn disconnect(&mut self, id: Id) {
        let Some(client) = self.connections.remove(&id).and_then(|connection| connection.client) else {
            return;
        };
        let session = self.sessions.get_mut(&client).filter(|session| session.connection == Some(id));
        let Some(session) = session else { return };
        session.connection = None;
        if !session.is_persistent {
            self.sessions.remove(&client);
        }
    }

    /// Closes a connection after the buffered bytes are written.
    fn close(&mut self, id: Id) {
        self.reactor.close_gracefully(id);
        self.disconnect(id);
    }

    fn receive(&mut self, id: Id, bytes: &[u8]) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let events = connection.mqtt.recv(&mut cursor);
            self.handle_mqtt_events(id, events);
        }
    }

    fn handle_mqtt_events(&mut self, id: Id, events: Vec<Event>) {
        for event in events {
            match event {
                Event::NotifyPacketReceived(packet) => self.handle_packet(id, packet),
                Event::RequestSendPacket { packet, .. } => {
                    self.reactor.write(id, &packet.to_continuous_buffer());
                }
                Event::RequestClose => self.close(id),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: Id, packet: Result<impl Into<Packet>, MqttError>) {
        let (Ok(packet), Some(connection)) = (packet, self.connections.get_mut(&id)) else { return };
        let events = connection.mqtt.send(packet.into());
        self.handle_mqtt_events(id, events);
    }

    fn handle_packet(&mut self, id: Id, packet: Packet) {
        let client = self.connections.get(&id).and_then(|connection| connection.client.clone());
        match (packet, client) {
            (Packet::V5_0Connect(connect), _) => self.handle_connect(id, &connect),
            (Packet::V5_0Publish(publish), Some(_)) => self.handle_publish(id, &publish),
            (Packet::V5_0Pubrel(pubrel), Some(_)) => {
                self.send(id, v5_0::Pubcomp::builder().packet_id(pubrel.packet_id()).build());
            }
            (Packet::V5_0Puback(puback), Some(client)) => self.handle_puback(&client, puback.packet_id()),
            (Packet::V5_0Subscribe(subscribe), Some(client)) => {
                self.handle_subscribe(id, &client, &subscribe)
            }
            (Packet::V5_0Unsubscribe(unsubscribe), Some(_)) => {
                let codes = vec![UnsubackReasonCode::Success; unsubscribe.entries().len()];
                let packet_id = unsubscribe.packet_id();
                self.send(id, v5_0::Unsuback::builder().packet_id(packet_id).reason_codes(codes).build());
            }
            (Packet::V5_0Disconnect(_), _) => self.close(id),
            _ => {}
        }
    }

    fn handle_connect(&mut self, id: Id, connect: &v5_0::Connect) {
        let is_assigned = connect.client_id().is_empty();
        let client = if is_assigned { self.assign_client_id() } else { connect.client_id().to_string() };
        if let Some(previous) = self.sessions.get(&client).and_then(|session| session.connection) {
            self.reactor.close(previous);
            self.disconnect(previous);
        }
        if connect.clean_start() {
            self.sessions.remove(&client);
        }
        let is_resumed = self.sessions.contains_key(&client);
        let session = self.sessions.entry(client.clone()).or_default();
        session.connection = Some(id);
        session.is_persistent = false;
        session.receive_maximum = usize::from(u16::MAX);
        for property in connect.props() {
            match property {
                Property::SessionExpiryInterval(expiry) => session.is_persistent = expiry.val() > 0,
                Property::ReceiveMaximum(maximum) => session.receive_maximum = usize::from(maximum.val()),
                _ => {}
            }
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.client = Some(client.clone());
        }
        let connack = v5_0::Connack::builder().reason_code(ConnectReasonCode::Success);
        let assigned = AssignedClientIdentifier::new(client.as_str()).ok().filter(|_| is_assigned);
        let properties: Vec<Property> = assigned.map(Property::from).into_iter().collect();
        self.send(id, connack.session_present(is_resumed).props(properties).build());
        self.redeliver(id, &client);
        self.deliver_queued(&client);
    }

    /// Assigns a client id that no session has (section 3.1.3.1).
    fn assign_client_id(&mut self) -> String {
        loop {
            self.assigned_ids += 1;
            let client_id = format!("broker-{}-{}", self.started_us, self.assigned_ids);
            if !self.sessions.contains_key(&client_id) {
                return client_id;
            }
        }
    }

    /// Resends the messages in flight of a resumed session, marked as duplicates.
    fn redeliver(&mut self, connection: Id, client: &str) {
        let Some(session) = self.sessions.get(client) else { return };
        for (packet_id, message) in session.in_flight.clone() {
            self.deliver(&Delivery { connection, message, packet_id }, true);
        }
    }

    fn handle_publish(&mut self, id: Id, publish: &v5_0::Publish) {
        match (publish.qos(), publish.packet_id()) {
            (Qos::AtLeastOnce, Some(packet_id)) => {
                self.send(id, v5_0::Puback::builder().packet_id(packet_id).build());
            }
            (Qos::ExactlyOnce, Some(packet_id)) => {
                self.send(id, v5_0::Pubrec::builder().packet_id(packet_id).build());
            }
            _ => {}
        }
        self.route(&Message::new(publish));
    }

    fn handle_puback(&mut self, client: &str, packet_id: u16) {
        let now = unix_micros();
        let is_ignored = |ignored: &IgnoredAcknowledgements| {
            client.starts_with(&ignored.client_prefix) && now < ignored.until_us
        };
        if !self.ignored.iter().any(is_ignored) {
            if let Some(session) = self.sessions.get_mut(client) {
                session.in_flight.remove(&packet_id);
            }
        }
        self.deliver_queued(client);
    }

    fn handle_subscribe(&mut self, id: Id, client: &str, subscribe: &v5_0::Subscribe) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        for entry in subscribe.entries() {
            session.subscribe(Subscription::new(entry.topic_filter(), entry.sub_opts().qos()));
        }
        let codes = vec![SubackReasonCode::GrantedQos1; subscribe.entries().len()];
        let packet_id = subscribe.packet_id();
        self.send(id, v5_0::Suback::builder().packet_id(packet_id).reason_codes(codes).build());
    }

    /// Queues a message for each subscriber and for one client of each shared subscription.
    fn route(&mut self, message: &Message) {
        for Recipient { client, qos } in self.recipients(&message.topic) {
            let qos = match (qos, message.qos) {
                (Qos::AtMostOnce, _) => Qos::AtMostOnce,
                (_, Qos::ExactlyOnce) => Qos::AtLeastOnce,
                (_, published) => published,
            };
            if let Some(session) = self.sessions.get_mut(&client) {
                session.queue.push_back(Message { qos, ..message.clone() });
            }
            self.deliver_queued(&client);
        }
    }

    fn recipients(&mut self, topic: &str) -> Vec<Recipient> {
        let mut recipients = Vec::new();
        let mut shared: BTreeMap<SharedSubscription, Vec<Recipient>> = BTreeMap::new();
        for (client, session) in &self.sessions {
            for subscription in
                session.subscriptions.iter().filter(|subscription| subscription.is_matching(topic))
            {
                let recipient = Recipient { client: client.clone(), qos: subscription.qos };
                match &subscription.group {
                    None => recipients.push(recipient),
                    Some(group) => {
                        let filter = subscription.filter.clone();
                        let key = SharedSubscription { group: group.clone(), filter };
                        shared.entry(key).or_default().push(recipient);
                    }
                }
            }
        }
        for (subscription, members) in shared {
            recipients.push(self.select_member(subscription, members));
        }
        recipients
    }

    /// Selects a client of a shared subscription by round-robin, among the connected clients if there are
    /// any.
    fn select_member(&mut self, subscription: SharedSubscription, members: Vec<Recipient>) -> Recipient {
        let is_connected = |member: &&Recipient| {
            self.sessions.get(&member.client).is_some_and(|session| session.connection.is_some())
        };
        let connected: Vec<Recipient> = members.iter().filter(is_connected).cloned().collect();
        let candidates = if connected.is_empty() { members } else { connected };
        let counter = self.round_robin.entry(subscription).or_default();
        *counter += 1;
        candidates[*counter % candidates.len()].clone()
    }

    fn deliver_queued(&mut self, client: &str) {
        while let Some(delivery) = self.sessions.get_mut(client).and_then(Session::next_delivery) {
            self.deliver(&delivery, false);
        }
    }

    fn deliver(&mut self, delivery: &Delivery, is_duplicate: bool) {
        let Delivery { connection, message, packet_id } = delivery;
        let Ok(packet) = message.packet(*packet_id, is_duplicate) else { return };
        if let Some(connection) = self.connections.get_mut(connection).filter(|_| *packet_id != 0) {
            let _ = connection.mqtt.register_packet_id(*packet_id);
        }
        self.send(*connection, Ok(packet));
    }
}
