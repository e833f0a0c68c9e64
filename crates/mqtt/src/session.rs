//! The state of a client's session, which outlives its connections (section 4.1).

use crate::accepted::AcceptedPublishes;
use crate::publish::{OutboundPublish, ReplyAddress, Version};
use crate::redelivery::RedeliveryRecord;
use crate::LinkId;
use mqtt_protocol_core::mqtt::packet::{Qos, StorePacket};
use slatevalve::Micros;
use slatevalve_engine::{ClientRef, Ticket};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Where the answer to an open call goes.
#[derive(Clone, Debug)]
pub(crate) struct PendingReply {
    /// Without a response topic, as in version 3.1.1, one is generated from client, outcome and call.
    pub(crate) address: ReplyAddress,
    pub(crate) qos: Qos,
    /// The call in a generated reply topic: the packet id of its publish, 0 for QoS 0.
    pub(crate) call_name: String,
    /// When the call was received.
    pub(crate) received_at: Micros,
}

/// An answer that waits to be sent.
#[derive(Clone, Debug)]
pub(crate) struct QueuedAnswer {
    pub(crate) publish: OutboundPublish,
    /// When its call was received.
    pub(crate) received_at: Micros,
}

#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) client: ClientRef,
    pub(crate) client_id: String,
    pub(crate) version: Version,
    /// `None` while the client is disconnected.
    pub(crate) connection: Option<LinkId>,
    /// Time for which the session is kept without a connection.
    pub(crate) expiry: Micros,
    /// Set while the session has no connection.
    pub(crate) expires_at: Option<Micros>,
    pub(crate) redeliveries: RedeliveryRecord,
    /// The accepted publishes that the client may send again because their acknowledgements were lost.
    pub(crate) accepted: AcceptedPublishes,
    /// Packets that the library had in flight when the connection ended.
    pub(crate) stored: Vec<StorePacket>,
    /// Packet ids of received publishes with QoS 2 whose PUBREL has not arrived.
    pub(crate) received_qos2: Vec<u16>,
    /// Open calls.
    pub(crate) pending: BTreeMap<Ticket, PendingReply>,
    /// Answers queued until there is a connection and the client's receive maximum permits them.
    pub(crate) outbox: VecDeque<QueuedAnswer>,
    /// When the calls were received whose answers were sent and not yet acknowledged, by the answers' packet ids.
    pub(crate) unacknowledged: HashMap<u16, Micros>,
}

impl Session {
    /// Creates a session of a client that may have `receive_maximum` publishes without acknowledgement.
    pub(crate) fn new(client: ClientRef, client_id: String, version: Version, receive_maximum: u16) -> Self {
        Session {
            client,
            client_id,
            version,
            connection: None,
            expiry: Micros(0),
            expires_at: None,
            // The client may not have received the CONNACK that tells that the session is a new one.
            redeliveries: RedeliveryRecord::of_earlier_session(),
            accepted: AcceptedPublishes::new(receive_maximum),
            stored: Vec::new(),
            received_qos2: Vec::new(),
            pending: BTreeMap::new(),
            outbox: VecDeque::new(),
            unacknowledged: HashMap::new(),
        }
    }

    /// Number of open calls and queued answers, which the session's quota limits.
    pub(crate) fn open_calls_and_answers(&self) -> usize {
        self.pending.len() + self.outbox.len()
    }

    /// The topic of an answer: the response topic, or else one generated from client, outcome and call.
    pub(crate) fn reply_topic(&self, reply: &PendingReply, outcome: &str) -> String {
        match &reply.address.response_topic {
            Some(topic) => topic.clone(),
            None => {
                let client = escape_level(&self.client_id);
                format!("slatevalve/reply/{client}/{outcome}/{}", reply.call_name)
            }
        }
    }
}

/// Percent-encodes characters that may not occur in one level of a topic.
fn escape_level(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '+' | '#' | '/' | '%' => escaped.push_str(&format!("%{:02X}", u32::from(character))),
            _ => escaped.push(character),
        }
    }
    escaped
}
