//! Test clients: MQTT 5 connections to gateways that publish calls on a schedule and record the answers.
//!
//! Gateways must not state a receive maximum, which means the default of 65,535: when the protocol library
//! resends publishes on a resumed session, it subtracts them from a count to which they were never added.

mod packets;
mod plan;

pub use plan::{Arrival, ClientPlan, ClientReport};

use crate::clock::unix_micros;
use crate::trace_writer::TraceWriter;
use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::{v5_0, Packet, Qos};
use mqtt_protocol_core::mqtt::result_code::ConnectReasonCode;
use mqtt_protocol_core::mqtt::{role, Version};
use packets::Answer;
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_trace_checker::trace::TraceEvent;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The write buffer limit of a connection, in bytes.
const MAX_BUFFERED: usize = 16 * 1024 * 1024;
/// The delay before a closed connection is opened again, in microseconds.
const RECONNECT_US: i64 = 50_000;

/// A connection to a gateway with its session.
struct Client {
    /// The index of the gateway in the plan.
    gateway: usize,
    name: String,
    mqtt: Connection<role::Client>,
    socket: Option<Id>,
    /// Whether the gateway has accepted the connection.
    is_ready: bool,
    connect_at_us: i64,
    /// Calls that are due and not yet published.
    queue: VecDeque<Arrival>,
    /// Names of the calls that are published and not answered.
    open_calls: BTreeSet<String>,
}

/// Runs all test clients in the thread that calls [`Driver::poll`].
pub struct Driver {
    reactor: Reactor,
    trace: TraceWriter,
    gateways: Vec<(String, SocketAddr)>,
    clients: Vec<Client>,
    client_by_socket: HashMap<Id, usize>,
    arrivals: VecDeque<Arrival>,
    reports: BTreeMap<String, ClientReport>,
}

impl Driver {
    /// Creates the clients, which connect at the first [`Driver::poll`].
    ///
    /// # Errors
    /// When the poller or the trace cannot be opened.
    pub fn new(plan: ClientPlan) -> io::Result<Self> {
        let clients = (0..plan.connections.max(1)).map(|index| Client {
            gateway: index % plan.gateways.len().max(1),
            name: format!("client-{index}"),
            mqtt: Connection::new(Version::V5_0),
            socket: None,
            is_ready: false,
            connect_at_us: 0,
            queue: VecDeque::new(),
            open_calls: BTreeSet::new(),
        });
        Ok(Driver {
            reactor: Reactor::new(MAX_BUFFERED)?,
            trace: TraceWriter::open("clients", plan.trace.as_deref())?,
            clients: clients.collect(),
            gateways: plan.gateways,
            client_by_socket: HashMap::new(),
            arrivals: plan.arrivals.into(),
            reports: BTreeMap::new(),
        })
    }

    /// Whether each call was published, and answered or abandoned.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let is_idle = |client: &Client| client.queue.is_empty() && client.open_calls.is_empty();
        self.arrivals.is_empty() && self.clients.iter().all(is_idle)
    }

    /// The results so far, by call name.
    #[must_use]
    pub fn reports(&self) -> &BTreeMap<String, ClientReport> {
        &self.reports
    }

    /// The number of calls that are published and not answered.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.clients.iter().map(|client| client.open_calls.len()).sum()
    }

    /// Sets the address of a restarted gateway, by its index in the plan.
    pub fn set_gateway_address(&mut self, gateway: usize, address: SocketAddr) {
        self.gateways[gateway].1 = address;
    }

    /// Disconnects the clients of a killed gateway; no answer to their open calls is expected.
    pub fn disconnect_gateway(&mut self, gateway: usize) {
        for index in 0..self.clients.len() {
            if self.clients[index].gateway == gateway {
                self.abandon_open_calls(index);
                self.close(index);
            }
        }
    }

    /// Closes the connection of every n-th client without a DISCONNECT packet.
    pub fn drop_connections(&mut self, nth: usize) {
        for index in (0..self.clients.len()).step_by(nth.max(1)) {
            self.close(index);
        }
    }

    /// Publishes the calls that are due and handles events, for at most `wait`.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn poll(&mut self, wait: Duration) -> io::Result<()> {
        let now = unix_micros();
        self.connect_due(now);
        self.queue_due_arrivals(now);
        for index in 0..self.clients.len() {
            self.publish_queued(index);
        }
        let next_arrival = self.arrivals.front().map(|arrival| {
            let until_us = (arrival.at_us - unix_micros()).max(0);
            Duration::from_micros(until_us as u64)
        });
        let mut events = Vec::new();
        self.reactor.poll(Some(next_arrival.map_or(wait, |until| until.min(wait))), &mut events)?;
        for event in events {
            match event {
                ReactorEvent::Connected(id) => self.send_connect(id),
                ReactorEvent::Received(id, bytes) => self.receive(id, &bytes),
                ReactorEvent::Closed { id, .. } => self.handle_closed(id),
                _ => {}
            }
        }
        Ok(())
    }

    fn connect_due(&mut self, now: i64) {
        for (index, client) in self.clients.iter_mut().enumerate() {
            if client.socket.is_some() || client.connect_at_us > now {
                continue;
            }
            client.connect_at_us = now + RECONNECT_US;
            if let Ok(id) = self.reactor.connect(self.gateways[client.gateway].1) {
                client.socket = Some(id);
                self.client_by_socket.insert(id, index);
            }
        }
    }

    fn queue_due_arrivals(&mut self, now: i64) {
        while self.arrivals.front().is_some_and(|arrival| arrival.at_us <= now) {
            let Some(arrival) = self.arrivals.pop_front() else { return };
            let index = arrival.connection % self.clients.len();
            self.clients[index].queue.push_back(arrival);
        }
    }

    fn send_connect(&mut self, id: Id) {
        let Some(&index) = self.client_by_socket.get(&id) else { return };
        if let Ok(packet) = packets::connect(&self.clients[index].name) {
            self.clients[index].mqtt.set_auto_pub_response(true);
            self.send(index, packet);
        }
    }

    fn send(&mut self, index: usize, packet: Packet) {
        let events = self.clients[index].mqtt.send(packet);
        self.handle_mqtt_events(index, events);
    }

    fn handle_mqtt_events(&mut self, index: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    self.record_retransmission(index, &packet);
                    if let Some(id) = self.clients[index].socket {
                        self.reactor.write(id, &packets::encode(&packet));
                    }
                }
                Event::NotifyPacketReceived(packet) => self.handle_packet(index, packet),
                Event::RequestClose => self.close(index),
                _ => {}
            }
        }
    }

    /// Records a call that the protocol library resends on a resumed session.
    fn record_retransmission(&mut self, index: usize, packet: &Packet) {
        let Some(call) = packets::retransmitted_call(packet) else { return };
        let Some(report) = self.reports.get(&call) else { return };
        let gateway = self.gateway_name(index);
        let (class, budget_us) = (report.class.clone(), report.budget_us);
        self.trace.record(TraceEvent::Published {
            call,
            class,
            key: None,
            budget_us,
            gateway,
            republished: true,
        });
    }

    fn gateway_name(&self, index: usize) -> String {
        self.gateways[self.clients[index].gateway].0.clone()
    }

    fn receive(&mut self, id: Id, bytes: &[u8]) {
        let mut cursor = Cursor::new(bytes);
        while (cursor.position() as usize) < bytes.len() {
            let Some(&index) = self.client_by_socket.get(&id) else { return };
            let events = self.clients[index].mqtt.recv(&mut cursor);
            self.handle_mqtt_events(index, events);
        }
    }

    fn handle_packet(&mut self, index: usize, packet: Packet) {
        match packet {
            Packet::V5_0Connack(connack) if connack.reason_code() == ConnectReasonCode::Success => {
                if !connack.session_present() {
                    self.abandon_open_calls(index);
                }
                self.clients[index].is_ready = true;
            }
            Packet::V5_0Publish(publish) => self.handle_publish(index, &publish),
            _ => {}
        }
    }

    fn handle_publish(&mut self, index: usize, publish: &v5_0::Publish) {
        let Answer { call, outcome, reason } = packets::answer(publish);
        // A gateway resends an answer whose acknowledgement it did not receive; that does not count as a
        // second answer.
        let is_answered = self.reports.get(&call).is_some_and(|report| report.answer.is_some());
        if publish.dup() && is_answered {
            return;
        }
        let now = unix_micros();
        self.trace
            .record_at(now, TraceEvent::Answered { call: call.clone(), outcome: outcome.clone(), reason });
        self.clients[index].open_calls.remove(&call);
        if let Some(report) = self.reports.get_mut(&call) {
            report.answer.get_or_insert((now, outcome));
        }
    }

    /// Marks the open calls of a client whose session is lost; no answer to them is expected.
    fn abandon_open_calls(&mut self, index: usize) {
        for call in std::mem::take(&mut self.clients[index].open_calls) {
            self.trace.record(TraceEvent::Disconnected { call: call.clone() });
            self.reports.entry(call).or_default().is_disconnected = true;
        }
    }

    fn close(&mut self, index: usize) {
        if let Some(id) = self.clients[index].socket {
            self.reactor.close(id);
            self.handle_closed(id);
        }
    }

    fn handle_closed(&mut self, id: Id) {
        let Some(index) = self.client_by_socket.remove(&id) else { return };
        let client = &mut self.clients[index];
        client.mqtt.notify_closed();
        client.socket = None;
        client.is_ready = false;
        client.connect_at_us = unix_micros() + RECONNECT_US;
    }

    /// Publishes queued calls of a client until the gateway's receive maximum is reached.
    fn publish_queued(&mut self, index: usize) {
        while self.clients[index].is_ready
            && self.clients[index].mqtt.get_receive_maximum_vacancy_for_send() != Some(0)
        {
            let Some(arrival) = self.clients[index].queue.pop_front() else { return };
            if self.publish(index, &arrival).is_err() {
                return self.clients[index].queue.push_front(arrival);
            }
        }
    }

    fn publish(&mut self, index: usize, arrival: &Arrival) -> Result<(), NoPacketId> {
        let packet_id = match packets::quality_of_service(arrival) {
            Qos::AtMostOnce => None,
            _ => Some(self.clients[index].mqtt.acquire_packet_id().map_err(|_| NoPacketId)?),
        };
        // An arrival that cannot be encoded as a valid packet is skipped.
        let Ok(packet) = packets::publish(&self.clients[index].name, arrival, packet_id) else {
            return Ok(());
        };
        self.record_publication(index, arrival);
        self.send(index, packet);
        Ok(())
    }

    fn record_publication(&mut self, index: usize, arrival: &Arrival) {
        let now = unix_micros();
        let published = TraceEvent::Published {
            call: arrival.call.clone(),
            class: arrival.class.clone(),
            key: arrival.key.clone(),
            budget_us: arrival.budget_us,
            gateway: self.gateway_name(index),
            republished: arrival.republished,
        };
        self.trace.record_at(now, published);
        let report = self.reports.entry(arrival.call.clone()).or_default();
        report.class.clone_from(&arrival.class);
        report.published_us.get_or_insert(now);
        report.budget_us = arrival.budget_us;
        self.clients[index].open_calls.insert(arrival.call.clone());
    }
}

/// All packet identifiers of a session are in use.
struct NoPacketId;
