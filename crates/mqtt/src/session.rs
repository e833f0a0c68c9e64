//! The state of a client's session, which outlives its connections (section 4.1).

use crate::publish::{InboundPublish, OutboundPublish, ReplyAddress, Version};
use crate::LinkId;
use mqtt_protocol_core::mqtt::packet::{Qos, StorePacket};
use slatevalve::Micros;
use slatevalve_engine::{ClientRef, Ticket};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// The most packet ids for which a session remembers the message.
const MAX_REMEMBERED: usize = 2_048;

/// Where the answer to an open call goes.
#[derive(Clone, Debug)]
pub(crate) struct PendingReply {
    /// Without a response topic, as in version 3.1.1, the topic is made from client, outcome and call.
    pub(crate) address: ReplyAddress,
    pub(crate) qos: Qos,
    /// The call in a topic that is made: the packet id of its publish, 0 for QoS 0.
    pub(crate) call_name: String,
}

/// A client's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) client: ClientRef,
    pub(crate) client_id: String,
    pub(crate) version: Version,
    /// The connection, if any.
    pub(crate) connection: Option<LinkId>,
    /// How long the session lives without a connection.
    pub(crate) expiry: Micros,
    pub(crate) expires_at: Option<Micros>,
    /// When the connection, or else the last one, was opened.
    pub(crate) opened_at: Micros,
    /// Since when this gateway knows every publish that was accepted in this session; see
    /// [`slatevalve_engine::Repeat::Marked`].
    pub(crate) covered_since: Option<Micros>,
    /// Fingerprints of the publishes that were accepted, by packet id. A publish that is sent again, as its
    /// acknowledgement was lost, is known by them even if it has no key.
    accepted: HashMap<u16, u64>,
    /// What the library had in flight when the connection ended.
    pub(crate) stored: Vec<StorePacket>,
    /// Packet ids of received publishes with QoS 2 whose PUBREL has not come.
    pub(crate) received_qos2: Vec<u16>,
    /// Open calls.
    pub(crate) pending: BTreeMap<Ticket, PendingReply>,
    /// Answers that wait for a connection or for the client's receive maximum.
    pub(crate) outbox: VecDeque<OutboundPublish>,
    /// Packet ids of answers that were sent and not yet acknowledged.
    pub(crate) unacknowledged: HashSet<u16>,
}

impl Session {
    pub(crate) fn new(client: ClientRef, client_id: String, version: Version, now: Micros) -> Self {
        Session {
            client,
            client_id,
            version,
            connection: None,
            expiry: Micros(0),
            expires_at: None,
            opened_at: now,
            covered_since: None,
            accepted: HashMap::new(),
            stored: Vec::new(),
            received_qos2: Vec::new(),
            pending: BTreeMap::new(),
            outbox: VecDeque::new(),
            unacknowledged: HashSet::new(),
        }
    }

    /// Notes an accepted publish and returns whether it was accepted before and is sent again.
    pub(crate) fn note_accepted(&mut self, publish: &InboundPublish) -> bool {
        let Some(id) = publish.packet_id else { return false };
        let fingerprint = publish.fingerprint();
        if publish.dup && self.covered_since.is_some() && self.accepted.get(&id) == Some(&fingerprint) {
            return true;
        }
        // Beyond the bound, repeats are known by their keys only, in the classes that have keys.
        if self.accepted.len() < MAX_REMEMBERED || self.accepted.contains_key(&id) {
            self.accepted.insert(id, fingerprint);
        }
        false
    }

    /// Open calls and waiting answers, which count against the session's quota.
    pub(crate) fn load(&self) -> usize {
        self.pending.len() + self.outbox.len()
    }

    /// The topic of an answer with this outcome.
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

/// Percent-encodes what may not occur in one level of a topic.
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
