//! What is kept of a client between its connections. Called by the front.

use crate::packets::{Inbound, Outbound, Version};
use crate::LinkId;
use mqtt_protocol_core::mqtt::packet::{Qos, StorePacket};
use slatevalve::Micros;
use slatevalve_engine::{ClientRef, Ticket};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Packet ids of which a session remembers what they stood for.
const MAX_TAKEN: usize = 2_048;

/// Numbers for tickets and clients, apart from those of every other front of the same engine.
#[derive(Clone, Debug)]
pub struct TicketSource {
    front: u8,
    next: u64,
}

impl TicketSource {
    /// Numbers of the front with this number, which no other front may have.
    pub fn new(front: u8) -> Self {
        TicketSource { front, next: 0 }
    }

    /// The front that a ticket is of.
    pub fn front_of(ticket: Ticket) -> u8 {
        (ticket.0 >> 56) as u8
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        (u64::from(self.front) << 56) | self.next
    }

    pub(crate) fn ticket(&mut self) -> Ticket {
        Ticket(self.number())
    }

    pub(crate) fn client(&mut self) -> ClientRef {
        ClientRef(self.number())
    }

    /// A client known by a name only, the same each time.
    pub(crate) fn client_named(&self, name: &str) -> ClientRef {
        // With the fixed keys of its `new`, this hasher gives the same for the same name.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        ClientRef((u64::from(self.front) << 56) | (hasher.finish() >> 8))
    }
}

/// Where an answer goes.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// `None` for a client of version 3.1.1, whose topic is made from the outcome.
    pub(crate) response_topic: Option<String>,
    pub(crate) correlation: Option<Vec<u8>>,
    pub(crate) qos: Qos,
    /// What a reply topic of version 3.1.1 names the call by.
    pub(crate) call: String,
}

/// A client's session (section 4.1).
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) client: ClientRef,
    pub(crate) client_id: String,
    pub(crate) version: Version,
    /// The connection that stands.
    pub(crate) link: Option<LinkId>,
    /// How long it lives without one.
    pub(crate) expiry: Micros,
    pub(crate) expires_at: Option<Micros>,
    /// When the connection that stands, or stood last, was opened.
    pub(crate) opened: Micros,
    /// Since when every publish of this session that was taken was taken by this gateway's knowledge; see
    /// [`slatevalve_engine::Repeat::Marked`].
    pub(crate) covered_since: Option<Micros>,
    /// Publishes that were taken on this connection and the one before, by packet id: one that is sent again because
    /// its acknowledgement was lost is known by it, also where it has no key.
    pub(crate) taken: HashMap<u16, u64>,
    /// What the library had in flight when the connection ended.
    pub(crate) stored: Vec<StorePacket>,
    pub(crate) received_qos2: Vec<u16>,
    /// Answers owed.
    pub(crate) waiting: BTreeMap<Ticket, Waiting>,
    /// Answers that wait for the connection or for the client's receive maximum.
    pub(crate) outbox: VecDeque<Outbound>,
    /// Answers that were sent and not yet acknowledged.
    pub(crate) unacknowledged: HashSet<u16>,
}

impl Session {
    pub(crate) fn new(client: ClientRef, client_id: String, version: Version, now: Micros) -> Self {
        Session {
            client,
            client_id,
            version,
            link: None,
            expiry: Micros(0),
            expires_at: None,
            opened: now,
            covered_since: None,
            taken: HashMap::new(),
            stored: Vec::new(),
            received_qos2: Vec::new(),
            waiting: BTreeMap::new(),
            outbox: VecDeque::new(),
            unacknowledged: HashSet::new(),
        }
    }

    /// Notes a publish that is taken; true where it is one that was taken before and is sent again.
    pub(crate) fn is_redelivery(&mut self, publish: &Inbound) -> bool {
        let Some(id) = publish.packet_id else { return false };
        let fingerprint = publish.fingerprint();
        if publish.dup && self.covered_since.is_some() && self.taken.get(&id) == Some(&fingerprint) {
            return true;
        }
        // Beyond so many the table of keys alone tells repeats, for the classes that need it.
        if self.taken.len() < MAX_TAKEN || self.taken.contains_key(&id) {
            self.taken.insert(id, fingerprint);
        }
        false
    }

    /// Calls and answers that count against the session's quota.
    pub(crate) fn load(&self) -> usize {
        self.waiting.len() + self.outbox.len()
    }

    /// The topic of an answer.
    pub(crate) fn reply_topic(&self, waiting: &Waiting, outcome: &str) -> String {
        match &waiting.response_topic {
            Some(topic) => topic.clone(),
            None => format!("slatevalve/reply/{}/{outcome}/{}", escape(&self.client_id), waiting.call),
        }
    }
}

/// A client id as one level of a topic: what may not stand there is percent-encoded.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '+' | '#' | '/' | '%' => out.push_str(&format!("%{:02X}", u32::from(c))),
            c => out.push(c),
        }
    }
    out
}
