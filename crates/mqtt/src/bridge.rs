//! The bridge: a client of a broker that receives calls from shared subscriptions and publishes answers.
//!
//! Invariants, each with a test:
//! - A publish is acknowledged to the broker only after its answer was sent in the same broker session, so a
//!   lost connection loses no accepted call.
//! - Acknowledgements are sent in the order of the publishes (section 4.6).
//! - A redelivery on a resumed session is detected, see `accepted`, and starts no call.
//! - A lost connection is retried with exponential backoff and seeded jitter.

mod connection;
mod deliveries;

use crate::publish::{OutboundPublish, ReplyAddress};
use crate::redelivery::RedeliveryRecord;
use crate::routes::Routes;
use crate::ticket::TicketSource;
use deliveries::Deliveries;
use mqtt_protocol_core::mqtt::connection::{Connection, TimerKind};
use mqtt_protocol_core::mqtt::packet::Qos;
use mqtt_protocol_core::mqtt::role;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slatevalve::Micros;
use slatevalve_engine::{Answer, Call, Ticket};
use std::collections::{BTreeMap, VecDeque};

/// An output of the bridge, to be executed by the event loop.
#[derive(Clone, Debug)]
pub enum BridgeOutput {
    /// Connect to the broker, then call [`Bridge::connected`] or [`Bridge::closed`].
    Connect,
    /// Write bytes to the connection.
    Write(Vec<u8>),
    /// Close the connection after writing all pending bytes; the bridge already treats it as closed.
    Finish,
    /// Pass a call to the engine.
    Call(Box<Call>),
}

/// Settings of the bridge.
#[derive(Clone, Debug)]
pub struct BridgeSettings {
    /// Distinguishes the tickets of this bridge from those of the engine's other fronts.
    pub number: u8,
    /// The client id at the broker. The broker resumes a session only for the same id.
    pub client_id: String,
    /// The group of the shared subscriptions; `None` for subscriptions that are not shared.
    pub group: Option<String>,
    /// Maps topics to calls; the bridge subscribes to the routes' filters.
    pub routes: Routes,
    /// Maximum number of publishes that the broker sends without acknowledgement; it keeps the rest.
    pub receive_maximum: u16,
    /// Maximum size of a received packet, in bytes.
    pub max_packet: u32,
    /// Seconds for which the broker keeps the session without a connection.
    pub session_expiry_s: u32,
    /// Keep-alive interval, in seconds.
    pub keep_alive_s: u16,
    /// Minimum and maximum backoff before a lost connection is retried.
    pub backoff: (Micros, Micros),
    /// Time within which a connection must be established and accepted by the broker.
    pub connect_timeout: Micros,
    /// Seed of the backoff's jitter.
    pub seed: u64,
}

impl Default for BridgeSettings {
    fn default() -> Self {
        BridgeSettings {
            number: 2,
            client_id: "slatevalve".into(),
            group: None,
            routes: Routes::default(),
            receive_maximum: 256,
            max_packet: 1024 * 1024,
            session_expiry_s: 3_600,
            keep_alive_s: 30,
            backoff: (Micros(100_000), Micros(10_000_000)),
            connect_timeout: Micros(5_000_000),
            seed: 1,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Disconnected {
        retry_at: Micros,
    },
    /// The event loop is connecting, or the CONNACK has not arrived.
    Connecting {
        deadline: Micros,
    },
    /// The broker accepted the session.
    Connected,
}

/// A timer of the protocol library.
#[derive(Clone, Copy)]
struct LibraryTimer {
    kind: TimerKind,
    at: Micros,
}

/// Where the answer to an open call goes.
struct PendingReply {
    /// The packet id of the call's publish; `None` for QoS 0 or after the broker lost the session.
    packet_id: Option<u16>,
    address: ReplyAddress,
}

/// A client of a broker, without I/O; see the module documentation.
pub struct Bridge {
    settings: BridgeSettings,
    stage: Stage,
    mqtt: Connection<role::Client>,
    /// The bytes of an incomplete CONNACK; `None` once it is complete.
    opening: Option<Vec<u8>>,
    random: Pcg64Mcg,
    /// Number of consecutive connections that the broker did not accept.
    failures: u32,
    /// Timers of the library by `TimerKind` as a number.
    timers: BTreeMap<u8, LibraryTimer>,
    ticket_source: TicketSource,
    /// Open calls.
    pending: BTreeMap<Ticket, PendingReply>,
    deliveries: Deliveries,
    /// Answers queued until there is a connection and the broker's receive maximum permits them.
    outbox: VecDeque<OutboundPublish>,
    /// Answers that the broker has not acknowledged, by packet id.
    unacknowledged: BTreeMap<u16, OutboundPublish>,
    /// The broker's receive maximum: the number of unacknowledged answers that it accepts.
    send_maximum: usize,
    redeliveries: RedeliveryRecord,
    /// Whether received publishes are ignored, so that the broker keeps them.
    stopped_accepting: bool,
}

impl Bridge {
    /// Creates a bridge that connects at its first [`Bridge::advance`].
    #[must_use]
    pub fn new(settings: BridgeSettings) -> Self {
        Bridge {
            mqtt: connection::new_library_connection(&settings),
            stage: Stage::Disconnected { retry_at: Micros(i64::MIN) },
            opening: None,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            failures: 0,
            timers: BTreeMap::new(),
            ticket_source: TicketSource::new(settings.number),
            pending: BTreeMap::new(),
            deliveries: Deliveries::new(settings.receive_maximum),
            outbox: VecDeque::new(),
            unacknowledged: BTreeMap::new(),
            send_maximum: usize::from(u16::MAX),
            redeliveries: RedeliveryRecord::of_earlier_session(),
            stopped_accepting: false,
            settings,
        }
    }

    /// Whether the broker accepted the connection.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.stage == Stage::Connected
    }

    /// Stops accepting publishes. They are not acknowledged, so the broker keeps them. Accepted ones that are
    /// delivered again are still acknowledged.
    pub fn stop_accepting(&mut self) {
        self.stopped_accepting = true;
    }

    /// Number of answers that the broker has not acknowledged, including those not yet sent.
    #[must_use]
    pub fn unacknowledged_answers(&self) -> usize {
        self.outbox.len() + self.unacknowledged.len()
    }

    /// Number of accepted publishes that were not acknowledged to the broker.
    #[must_use]
    pub fn unacknowledged_publishes(&self) -> usize {
        self.deliveries.unacknowledged()
    }

    /// Publishes the answer to a call and then acknowledges the call's publish.
    pub fn answer(&mut self, now: Micros, ticket: Ticket, answer: &Answer, out: &mut Vec<BridgeOutput>) {
        let Some(reply) = self.pending.remove(&ticket) else { return };
        let topic = reply.address.response_topic.filter(|topic| crate::topics::is_topic_name(topic));
        if let Some(topic) = topic {
            let correlation = reply.address.correlation;
            self.outbox.push_back(OutboundPublish::answer(
                topic,
                Qos::AtLeastOnce,
                correlation,
                answer,
                None,
            ));
        }
        self.complete(now, reply.packet_id, ticket, out);
    }

    /// Drops a ticket that gets no answer because its call was repeated, and acknowledges its publish.
    pub fn superseded(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<BridgeOutput>) {
        if let Some(reply) = self.pending.remove(&ticket) {
            self.complete(now, reply.packet_id, ticket, out);
        }
    }
}
