//! Test fixture: a front with clients that use the protocol library, and packets for them.

use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve::{ClassId, Micros};
use slatevalve_engine::{Answer, Call, Ticket, Verdict};
use slatevalve_mqtt::*;
use std::collections::BTreeMap;

/// A front with a simulated clock and one client connection of the protocol library for each link.
pub(crate) struct Bench {
    pub front: Front,
    pub now: Micros,
    pub clients: BTreeMap<LinkId, Connection<role::Client>>,
    /// Packets that each client received since the last call of `take_received`.
    pub received: BTreeMap<LinkId, Vec<Packet>>,
    /// All bytes that the front wrote.
    pub written: Vec<u8>,
    pub closed: Vec<LinkId>,
    pub calls: Vec<Call>,
    /// Tickets of calls whose sessions ended.
    pub disconnected: Vec<Ticket>,
    /// Whether clients that connect from now on acknowledge answers automatically.
    pub acknowledge: bool,
}

pub(crate) fn settings() -> FrontSettings {
    let route = |filter: &str, class, key: Option<&str>| Route {
        filter: TopicFilter::parse(filter).unwrap(),
        class: ClassId(class),
        tenant: None,
        function: Template::parse("{2}").unwrap(),
        key: key.map(|k| Template::parse(k).unwrap()),
    };
    let routes =
        vec![route("quote/+", 0, None), route("charge/+", 1, None), route("old/+/+", 1, Some("{3}"))];
    FrontSettings {
        routes: Routes { routes, ..Routes::default() },
        max_packet: 2_000,
        receive_maximum: u16::MAX,
        session_quota: 4,
        max_session_expiry: Micros(60_000_000),
        ..FrontSettings::default()
    }
}

pub(crate) fn v5_connect(id: &str, clean: bool, properties: Vec<Property>) -> Packet {
    let builder = v5_0::Connect::builder().client_id(id).unwrap().clean_start(clean).props(properties);
    builder.build().unwrap().into()
}

pub(crate) fn expiry(seconds: u32) -> Property {
    SessionExpiryInterval::new(seconds).unwrap().into()
}

pub(crate) fn v5_publish(topic: &str, qos: Qos, id: u16, properties: Vec<Property>) -> v5_0::Publish {
    let builder = v5_0::Publish::builder().topic_name(topic).unwrap().qos(qos).props(properties).payload("p");
    match qos {
        Qos::AtMostOnce => builder.build().unwrap(),
        _ => builder.packet_id(id).build().unwrap(),
    }
}

pub(crate) fn key(text: &str) -> Property {
    UserProperty::new("key", text).unwrap().into()
}

pub(crate) fn served(bytes: usize) -> Answer {
    let payload = vec![b'x'; bytes].into();
    Answer { verdict: Verdict::Served { payload, ran: None }, attempts: 1, recorded: false, version: None }
}

impl Bench {
    pub(crate) fn new(settings: FrontSettings) -> Self {
        Bench {
            front: Front::new(settings),
            now: Micros(1_000_000),
            clients: BTreeMap::new(),
            received: BTreeMap::new(),
            written: Vec::new(),
            closed: Vec::new(),
            calls: Vec::new(),
            disconnected: Vec::new(),
            acknowledge: true,
        }
    }

    pub(crate) fn connect(&mut self, link: u64, version: Version, packet: Packet) {
        let id = LinkId(link);
        let mut client = Connection::new(version);
        client.set_auto_pub_response(self.acknowledge);
        self.clients.insert(id, client);
        self.front.opened(self.now, id);
        self.send(link, packet);
    }

    /// Sends a packet through the client's library.
    pub(crate) fn send(&mut self, link: u64, packet: Packet) {
        let events = self.clients.get_mut(&LinkId(link)).unwrap().send(packet);
        self.execute_client_events(LinkId(link), events);
    }

    pub(crate) fn publish(&mut self, link: u64, publish: v5_0::Publish) {
        if let Some(id) = publish.packet_id() {
            let _ = self.clients.get_mut(&LinkId(link)).unwrap().register_packet_id(id);
        }
        self.send(link, publish.into());
    }

    /// Sends raw bytes, without the client's library.
    pub(crate) fn send_bytes(&mut self, link: u64, bytes: &[u8]) {
        let mut out = Vec::new();
        self.front.received(self.now, LinkId(link), bytes, &mut out);
        self.execute(out);
    }

    pub(crate) fn execute_client_events(&mut self, id: LinkId, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    let bytes = packet.to_continuous_buffer();
                    let mut out = Vec::new();
                    self.front.received(self.now, id, &bytes, &mut out);
                    self.execute(out);
                }
                Event::NotifyPacketReceived(packet) => self.received.entry(id).or_default().push(packet),
                _ => {}
            }
        }
    }

    pub(crate) fn execute(&mut self, out: Vec<FrontOutput>) {
        for output in out {
            match output {
                FrontOutput::Write(id, bytes) => {
                    self.written.extend_from_slice(&bytes);
                    let mut cursor = Cursor::new(bytes.as_slice());
                    while (cursor.position() as usize) < bytes.len() {
                        let Some(client) = self.clients.get_mut(&id) else { break };
                        let events = client.recv(&mut cursor);
                        self.execute_client_events(id, events);
                    }
                }
                FrontOutput::Finish(id) => self.closed.push(id),
                FrontOutput::Call(call) => self.calls.push(*call),
                FrontOutput::ClientDisconnected(ticket) => self.disconnected.push(ticket),
            }
        }
    }

    pub(crate) fn disconnect(&mut self, link: u64) {
        self.clients.remove(&LinkId(link));
        let mut out = Vec::new();
        self.front.closed(self.now, LinkId(link), &mut out);
        self.execute(out);
    }

    pub(crate) fn answer(&mut self, call: usize, answer: &Answer) {
        let mut out = Vec::new();
        self.front.answer(self.now, self.calls[call].ticket, answer, &mut out);
        self.execute(out);
    }

    /// Moves the clock forward and fires the timers that are due.
    pub(crate) fn advance_by(&mut self, seconds: i64) {
        self.now.0 += seconds * 1_000_000;
        let mut out = Vec::new();
        self.front.advance(self.now, &mut out);
        self.execute(out);
    }

    pub(crate) fn take_received(&mut self, link: u64) -> Vec<Packet> {
        self.received.remove(&LinkId(link)).unwrap_or_default()
    }

    /// The outcomes in the answers that a client received since the last call.
    pub(crate) fn outcomes(&mut self, link: u64) -> Vec<String> {
        let user_property = |p: &v5_0::Publish, name: &str| {
            p.props().iter().find_map(|p| match p {
                Property::UserProperty(p) if p.key() == name => Some(p.val().to_string()),
                _ => None,
            })
        };
        let publishes = self.take_received(link).into_iter().filter_map(|p| match p {
            Packet::V5_0Publish(p) => Some(p),
            _ => None,
        });
        publishes.map(|p| user_property(&p, "outcome").unwrap_or_default()).collect()
    }
}
