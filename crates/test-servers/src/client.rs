//! Stand-in clients: MQTT 5 connections that publish calls at stated times and record what they asked and heard.
//! The scripted bad day, the demo and tests drive them, one turn at a time.
//!
//! The gateways they talk to must state no receive maximum (65,535): the protocol library counts publishes that it
//! sends again on a resumed session out of a count which they never entered.

use crate::service::CallBody;
use crate::tap::{unix_micros, Tap};
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::{
    v5_0, CorrelationData, GenericPacketTrait, Packet, Property, Qos, ResponseTopic, SessionExpiryInterval,
    UserProperty,
};
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, MqttError};
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_trace_checker::trace::Seen;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Microseconds until a lost connection is tried again.
const RECONNECT_US: i64 = 50_000;

/// A call to be published.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds of the Unix clock.
    pub at_us: i64,
    /// Its name, the same for each time it is published.
    pub call: String,
    /// Its class, for the record.
    pub class: String,
    /// Where it is published.
    pub topic: String,
    /// Its key, stated in a user property.
    pub key: Option<String>,
    /// Until the client gives up.
    pub budget_us: i64,
    /// Work that it brings.
    pub work_us: i64,
    /// Which connection publishes it.
    pub connection: usize,
    /// QoS 0, 1 or 2.
    pub qos: u8,
    /// Whether it was published before.
    pub again: bool,
}

/// The clients.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// Gateways by name and address; connection n goes to the n-th, in turn.
    pub gateways: Vec<(String, SocketAddr)>,
    /// How many connections.
    pub connections: usize,
    /// What is published, in the order of time.
    pub arrivals: Vec<Arrival>,
    /// Where it is recorded.
    pub trace: Option<PathBuf>,
}

/// How one call went, as its client saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientReport {
    /// Its class.
    pub class: String,
    /// When it was first published; `None` where it never was.
    pub asked_us: Option<i64>,
    /// Until the client gives up.
    pub budget_us: i64,
    /// When the first answer came, and what it said.
    pub answer: Option<(i64, String)>,
    /// The client lost the gateway for good and owes itself no answer.
    pub left: bool,
}

struct Client {
    gateway: usize,
    name: String,
    mqtt: Connection<role::Client>,
    socket: Option<Id>,
    ready: bool,
    connect_at: i64,
    waiting: VecDeque<Arrival>,
    /// Calls published and not answered.
    open: BTreeMap<String, i64>,
}

/// The clients at work.
pub struct Driver {
    reactor: Reactor,
    tap: Tap,
    gateways: Vec<(String, SocketAddr)>,
    clients: Vec<Client>,
    sockets: HashMap<Id, usize>,
    arrivals: VecDeque<Arrival>,
    calls: BTreeMap<String, ClientReport>,
}

impl Driver {
    /// Clients that have not connected yet.
    ///
    /// # Errors
    /// When there is no poller or the trace cannot be opened.
    pub fn new(plan: ClientPlan) -> io::Result<Self> {
        let clients = (0..plan.connections.max(1)).map(|n| Client {
            gateway: n % plan.gateways.len().max(1),
            name: format!("client-{n}"),
            mqtt: Connection::new(Version::V5_0),
            socket: None,
            ready: false,
            connect_at: 0,
            waiting: VecDeque::new(),
            open: BTreeMap::new(),
        });
        Ok(Driver {
            reactor: Reactor::new(16 * 1024 * 1024)?,
            tap: Tap::open("clients", plan.trace.as_deref())?,
            clients: clients.collect(),
            gateways: plan.gateways,
            sockets: HashMap::new(),
            arrivals: plan.arrivals.into(),
            calls: BTreeMap::new(),
        })
    }

    /// Whether each call was published and answered, or given up.
    pub fn is_done(&self) -> bool {
        self.arrivals.is_empty() && self.clients.iter().all(|c| c.waiting.is_empty() && c.open.is_empty())
    }

    /// How each call went so far.
    pub fn reports(&self) -> &BTreeMap<String, ClientReport> {
        &self.calls
    }

    /// Calls that are published and not answered.
    pub fn open(&self) -> usize {
        self.clients.iter().map(|c| c.open.len()).sum()
    }

    /// Where a gateway is found from now on, after it was started anew.
    pub fn moved(&mut self, gateway: usize, address: SocketAddr) {
        self.gateways[gateway].1 = address;
    }

    /// A gateway was killed: what was open there is owed by nobody.
    pub fn killed(&mut self, gateway: usize) {
        for n in 0..self.clients.len() {
            if self.clients[n].gateway == gateway {
                self.forget_open(n);
                if let Some(id) = self.clients[n].socket {
                    self.reactor.close(id);
                    self.lost(id);
                }
            }
        }
    }

    /// Drops the connections of every `nth` client, without a word.
    pub fn drop_connections(&mut self, nth: usize) {
        for n in (0..self.clients.len()).step_by(nth.max(1)) {
            if let Some(id) = self.clients[n].socket {
                self.reactor.close(id);
                self.lost(id);
            }
        }
    }

    /// Publishes what is due, hears what comes, for at most `wait`.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn poll(&mut self, wait: Duration) -> io::Result<()> {
        let now = unix_micros();
        for n in 0..self.clients.len() {
            if self.clients[n].socket.is_none() && self.clients[n].connect_at <= now {
                self.connect(n, now);
            }
        }
        while self.arrivals.front().is_some_and(|a| a.at_us <= now) {
            if let Some(arrival) = self.arrivals.pop_front() {
                let n = arrival.connection % self.clients.len();
                self.clients[n].waiting.push_back(arrival);
            }
        }
        for n in 0..self.clients.len() {
            self.publish_waiting(n);
        }
        let until = self
            .arrivals
            .front()
            .map_or(wait, |a| Duration::from_micros((a.at_us - unix_micros()).max(0) as u64).min(wait));
        let mut happened = Vec::new();
        self.reactor.poll(Some(until), &mut happened)?;
        for event in happened {
            match event {
                ReactorEvent::Connected(id) => self.connected(id),
                ReactorEvent::Received(id, bytes) => self.received(id, &bytes),
                ReactorEvent::Closed { id, .. } => self.lost(id),
                _ => {}
            }
        }
        Ok(())
    }

    fn connect(&mut self, n: usize, now: i64) {
        let address = self.gateways[self.clients[n].gateway].1;
        self.clients[n].connect_at = now + RECONNECT_US;
        if let Ok(id) = self.reactor.connect(address) {
            self.clients[n].socket = Some(id);
            self.sockets.insert(id, n);
        }
    }

    fn connected(&mut self, id: Id) {
        let Some(&n) = self.sockets.get(&id) else { return };
        let connect = || -> Result<Packet, MqttError> {
            let properties = vec![SessionExpiryInterval::new(60)?.into()];
            let builder = v5_0::Connect::builder().client_id(self.clients[n].name.as_str())?;
            Ok(builder.clean_start(false).keep_alive(30).props(properties).build()?.into())
        };
        if let Ok(packet) = connect() {
            self.clients[n].mqtt.set_auto_pub_response(true);
            self.send(n, packet);
        }
    }

    fn send(&mut self, n: usize, packet: Packet) {
        let events = self.clients[n].mqtt.send(packet);
        self.carry(n, events);
    }

    fn carry(&mut self, n: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    self.note_repeat(n, &packet);
                    if let Some(id) = self.clients[n].socket {
                        self.reactor.write(id, &packet.to_continuous_buffer());
                    }
                }
                Event::NotifyPacketReceived(packet) => self.packet(n, packet),
                Event::RequestClose => {
                    if let Some(id) = self.clients[n].socket {
                        self.reactor.close(id);
                        self.lost(id);
                    }
                }
                _ => {}
            }
        }
    }

    /// A publish that the library sends again on a resumed session is asked again.
    fn note_repeat(&mut self, n: usize, packet: &Packet) {
        let Packet::V5_0Publish(publish) = packet else { return };
        if !publish.dup() {
            return;
        }
        let correlation = publish.props().iter().find_map(|p| match p {
            Property::CorrelationData(p) => Some(String::from_utf8_lossy(p.val()).into_owned()),
            _ => None,
        });
        let Some(call) = correlation else { return };
        let Some(report) = self.calls.get(&call) else { return };
        let gateway = self.gateways[self.clients[n].gateway].0.clone();
        let (class, budget_us) = (report.class.clone(), report.budget_us);
        self.tap.saw(Seen::Published { call, class, key: None, budget_us, gateway, republished: true });
    }

    fn received(&mut self, id: Id, bytes: &[u8]) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() {
            let Some(&n) = self.sockets.get(&id) else { return };
            let events = self.clients[n].mqtt.recv(&mut cursor);
            self.carry(n, events);
        }
    }

    fn packet(&mut self, n: usize, packet: Packet) {
        match packet {
            Packet::V5_0Connack(p) if p.reason_code() == ConnectReasonCode::Success => {
                if !p.session_present() {
                    self.forget_open(n);
                }
                self.clients[n].ready = true;
            }
            Packet::V5_0Publish(p) => {
                let (mut call, mut outcome, mut reason) = (String::new(), String::new(), None);
                for property in p.props() {
                    match property {
                        Property::CorrelationData(p) => call = String::from_utf8_lossy(p.val()).into_owned(),
                        Property::UserProperty(p) if p.key() == "outcome" => outcome = p.val().into(),
                        Property::UserProperty(p) if p.key() == "reason" => {
                            reason = Some(p.val().to_string())
                        }
                        _ => {}
                    }
                }
                // A message that the gateway sends again because it never saw our acknowledgement is no second one.
                if p.dup() && self.calls.get(&call).is_some_and(|c| c.answer.is_some()) {
                    return;
                }
                self.answered(n, call, outcome, reason);
            }
            _ => {}
        }
    }

    fn answered(&mut self, n: usize, call: String, outcome: String, reason: Option<String>) {
        let now = unix_micros();
        self.tap.saw_at(now, Seen::Answered { call: call.clone(), outcome: outcome.clone(), reason });
        self.clients[n].open.remove(&call);
        if let Some(report) = self.calls.get_mut(&call) {
            report.answer.get_or_insert((now, outcome));
        }
    }

    /// The session is gone, and with it what was owed.
    fn forget_open(&mut self, n: usize) {
        for (call, _) in std::mem::take(&mut self.clients[n].open) {
            self.tap.saw(Seen::Disconnected { call: call.clone() });
            self.calls.entry(call).or_default().left = true;
        }
    }

    fn lost(&mut self, id: Id) {
        let Some(n) = self.sockets.remove(&id) else { return };
        let client = &mut self.clients[n];
        client.mqtt.notify_closed();
        (client.socket, client.ready) = (None, false);
        client.connect_at = unix_micros() + RECONNECT_US;
    }

    fn publish_waiting(&mut self, n: usize) {
        while self.clients[n].ready && self.clients[n].mqtt.get_receive_maximum_vacancy_for_send() != Some(0)
        {
            let Some(arrival) = self.clients[n].waiting.pop_front() else { return };
            if !self.publish(n, &arrival) {
                return self.clients[n].waiting.push_front(arrival);
            }
        }
    }

    /// Publishes a call; false where no packet id is free.
    fn publish(&mut self, n: usize, arrival: &Arrival) -> bool {
        let qos = match arrival.qos {
            0 => Qos::AtMostOnce,
            1 => Qos::AtLeastOnce,
            _ => Qos::ExactlyOnce,
        };
        let number = match qos {
            Qos::AtMostOnce => None,
            _ => match self.clients[n].mqtt.acquire_packet_id() {
                Ok(number) => Some(number),
                Err(_) => return false,
            },
        };
        let packet = || -> Result<Packet, MqttError> {
            let mut properties: Vec<Property> = vec![
                ResponseTopic::new(format!("replies/{}", self.clients[n].name).as_str())?.into(),
                CorrelationData::new(arrival.call.as_bytes().to_vec())?.into(),
                UserProperty::new("budget-ms", (arrival.budget_us / 1_000).to_string().as_str())?.into(),
            ];
            if let Some(key) = &arrival.key {
                properties.push(UserProperty::new("key", key.as_str())?.into());
            }
            let mut builder = v5_0::Publish::builder()
                .topic_name(arrival.topic.as_str())?
                .qos(qos)
                .props(properties)
                .payload(CallBody::write(&arrival.call, arrival.work_us));
            if let Some(number) = number {
                builder = builder.packet_id(number);
            }
            Ok(builder.build()?.into())
        };
        let Ok(packet) = packet() else { return true };
        let now = unix_micros();
        self.tap.saw_at(
            now,
            Seen::Published {
                call: arrival.call.clone(),
                class: arrival.class.clone(),
                key: arrival.key.clone(),
                budget_us: arrival.budget_us,
                gateway: self.gateways[self.clients[n].gateway].0.clone(),
                republished: arrival.again,
            },
        );
        let report = self.calls.entry(arrival.call.clone()).or_default();
        report.class = arrival.class.clone();
        report.asked_us.get_or_insert(now);
        report.budget_us = arrival.budget_us;
        self.clients[n].open.insert(arrival.call.clone(), now);
        self.send(n, packet);
        true
    }
}
