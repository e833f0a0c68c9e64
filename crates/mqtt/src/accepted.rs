//! Which two deliveries are one message, and until when. Front and bridge both ask here.
//!
//! A sender delivers a message with QoS 1 again, with the DUP flag under the same packet id, until it has
//! received the acknowledgement (sections 4.3.2 and 4.4). The id alone does not identify the message: the
//! acknowledgement may have arrived and the id may have been reused for a message whose first delivery was
//! lost. With QoS 2 the id identifies the message until PUBREL (section 4.3.3), which the protocol library
//! checks, so such publishes are not recorded here.
//!
//! Which two deliveries under one packet id are the same message:
//!
//! | second delivery | same message | section |
//! | --- | --- | --- |
//! | without the DUP flag | no | 3.3.1.1 |
//! | other topic, QoS, payload, payload format, content type, response topic or correlation data | no | 4.4 |
//! | other user properties, or in another order | no | 3.3.2.3.7 |
//! | other order of properties of different kinds | yes | 2.2.2.2 |
//! | other topic alias, or none | yes, an alias belongs to a connection | 3.3.2.3.4 |
//! | other subscription identifiers | yes, they describe the subscription | 3.3.2.3.8 |
//! | other message expiry, the first delivery not acknowledged | yes, the id is in use | 2.2.1 |
//! | other message expiry, the first delivery acknowledged | only if it has become less, by at least the time between the first delivery and the current connection | 3.3.2.3.3 |
//!
//! Until when a recorded message can be delivered again:
//!
//! | event | the message can be delivered again | section |
//! | --- | --- | --- |
//! | no acknowledgement sent | yes | 4.3.2 |
//! | acknowledgement sent, the connection lost before anything shows that it arrived | yes | 4.4 |
//! | a client acknowledges an answer that was sent after the acknowledgement, on the same connection | no, as it received both in order | 4.3.2 |
//! | a broker does so | yes, it may have lost its latest state and gone back to an earlier one | beyond the standard |
//! | the packet id arrives with another message | no, the peer reuses the id | 2.2.1 |
//! | the session ends | no, packet ids belong to a session | 4.1 |

use crate::publish::InboundPublish;
use mqtt_protocol_core::mqtt::packet::{Property, Qos};
use slatevalve::Micros;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Minimum of [`AcceptedPublishes::limit`]; a peer of version 3.1.1 states no receive maximum.
const MIN_LIMIT: usize = 4_096;
const MICROS_PER_SECOND: i64 = 1_000_000;
/// A message expiry is a whole number of seconds, so that two of them may differ by one second more or less
/// than the time between them.
const EXPIRY_RESOLUTION_S: i64 = 1;

/// When a publish was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acknowledged {
    Never,
    /// On an earlier connection, which ended before the peer showed that it had received the acknowledgement.
    Earlier,
    /// On the current connection, as the acknowledgement with this number.
    Now(u64),
}

/// A publish that was accepted and that the peer may deliver again.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    content: u64,
    /// In seconds; `None` if the message does not expire.
    expiry_s: Option<u32>,
    received_at: Micros,
    acknowledged: Acknowledged,
    /// The key in `packet_ids_by_age`.
    age: u64,
}

impl Accepted {
    /// Whether a publish with the same packet id and the DUP flag is this message.
    fn is_delivered_again_by(&self, publish: &InboundPublish, connected_at: Micros) -> bool {
        let is_expiry_possible = || self.can_expire_in(expiry_s(publish), connected_at);
        content(publish) == self.content && (self.acknowledged == Acknowledged::Never || is_expiry_possible())
    }

    /// Whether this message can have the given expiry, in seconds, on a connection made at `connected_at`.
    /// The peer subtracts the time for which the message waited, or sends it unchanged.
    fn can_expire_in(&self, expiry_s: Option<u32>, connected_at: Micros) -> bool {
        if expiry_s == self.expiry_s {
            return true;
        }
        let (Some(first), Some(second)) = (self.expiry_s, expiry_s) else { return false };
        let waited_s = connected_at.0.saturating_sub(self.received_at.0).max(0) / MICROS_PER_SECOND;
        let greatest = (i64::from(first) - waited_s).max(0) + EXPIRY_RESOLUTION_S;
        second < first && i64::from(second) <= greatest
    }
}

/// The accepted publishes with QoS 1 of one session.
#[derive(Debug)]
pub(crate) struct AcceptedPublishes {
    /// Maximum number of recorded publishes; beyond it, the oldest ones are dropped.
    limit: usize,
    by_packet_id: HashMap<u16, Accepted>,
    packet_ids_by_age: BTreeMap<u64, u16>,
    next_age: u64,
    connected_at: Micros,
    /// Packet ids by the numbers of their acknowledgements on the current connection, as far as the peer has
    /// not shown that it received them.
    acknowledgements: BTreeMap<u64, u16>,
    next_acknowledgement: u64,
    /// For each answer sent on the current connection and not acknowledged by the peer, the number of the next
    /// acknowledgement when it was sent.
    answers: HashMap<u16, u64>,
}

impl AcceptedPublishes {
    /// Creates the record of a new session with a peer that has at most `receive_maximum` publishes without
    /// acknowledgement.
    pub(crate) fn new(receive_maximum: u16) -> Self {
        AcceptedPublishes {
            // A peer that resends its publishes and sends new ones may have acknowledgements of both outstanding.
            limit: MIN_LIMIT.max(2 * usize::from(receive_maximum)),
            by_packet_id: HashMap::new(),
            packet_ids_by_age: BTreeMap::new(),
            next_age: 0,
            connected_at: Micros(i64::MIN),
            acknowledgements: BTreeMap::new(),
            next_acknowledgement: 0,
            answers: HashMap::new(),
        }
    }

    /// Handles a new connection of the session.
    pub(crate) fn connected(&mut self, now: Micros) {
        self.connected_at = now;
        for packet_id in std::mem::take(&mut self.acknowledgements).into_values() {
            if let Some(accepted) = self.by_packet_id.get_mut(&packet_id) {
                accepted.acknowledged = Acknowledged::Earlier;
            }
        }
        self.answers.clear();
    }

    /// Handles a received publish and returns whether it is an accepted one that was delivered again.
    pub(crate) fn receive(&mut self, publish: &InboundPublish) -> bool {
        let Some(packet_id) = publish.packet_id else { return false };
        let Some(accepted) = self.by_packet_id.get(&packet_id) else { return false };
        if publish.dup && accepted.is_delivered_again_by(publish, self.connected_at) {
            return true;
        }
        self.forget(packet_id);
        false
    }

    /// Records an accepted publish.
    pub(crate) fn accept(&mut self, now: Micros, publish: &InboundPublish) {
        let Some(packet_id) = publish.packet_id.filter(|_| publish.qos == Qos::AtLeastOnce) else { return };
        self.forget(packet_id);
        let accepted = Accepted {
            content: content(publish),
            expiry_s: expiry_s(publish),
            received_at: now,
            acknowledged: Acknowledged::Never,
            age: self.next_age,
        };
        self.next_age += 1;
        self.packet_ids_by_age.insert(accepted.age, packet_id);
        self.by_packet_id.insert(packet_id, accepted);
        if self.by_packet_id.len() > self.limit {
            if let Some((_, oldest)) = self.packet_ids_by_age.pop_first() {
                self.forget(oldest);
            }
        }
    }

    /// Handles the acknowledgement that is sent for a publish.
    pub(crate) fn acknowledge(&mut self, packet_id: u16) {
        let Some(accepted) = self.by_packet_id.get_mut(&packet_id) else { return };
        if let Acknowledged::Now(number) = accepted.acknowledged {
            self.acknowledgements.remove(&number);
        }
        accepted.acknowledged = Acknowledged::Now(self.next_acknowledgement);
        self.acknowledgements.insert(self.next_acknowledgement, packet_id);
        self.next_acknowledgement += 1;
    }

    /// Handles an answer that is sent under a packet id of this side.
    pub(crate) fn answer_sent(&mut self, answer: u16) {
        self.answers.insert(answer, self.next_acknowledgement);
    }

    /// Handles the peer's acknowledgement of an answer.
    pub(crate) fn answer_received(&mut self, answer: u16) {
        if let Some(next) = self.answers.remove(&answer) {
            self.confirm_before(next);
        }
    }

    /// Drops the publishes whose acknowledgements have lower numbers: the peer received these.
    fn confirm_before(&mut self, next: u64) {
        let unconfirmed = self.acknowledgements.split_off(&next);
        for packet_id in std::mem::replace(&mut self.acknowledgements, unconfirmed).into_values() {
            self.forget(packet_id);
        }
    }

    fn forget(&mut self, packet_id: u16) {
        let Some(accepted) = self.by_packet_id.remove(&packet_id) else { return };
        self.packet_ids_by_age.remove(&accepted.age);
        if let Acknowledged::Now(number) = accepted.acknowledged {
            self.acknowledgements.remove(&number);
        }
    }
}

/// A hash of all that each delivery of a message has in common.
fn content(publish: &InboundPublish) -> u64 {
    let mut properties: Vec<&Property> = publish.properties.iter().filter(|p| is_common(p)).collect();
    // The sort is stable, so user properties stay in their order.
    properties.sort_by_key(|property| property.id() as u8);
    let mut hasher = DefaultHasher::new();
    (&publish.topic, publish.qos as u8, &publish.payload).hash(&mut hasher);
    properties.iter().for_each(|property| property.to_continuous_buffer().hash(&mut hasher));
    hasher.finish()
}

/// Whether all deliveries of a message have the property in common.
fn is_common(property: &Property) -> bool {
    !matches!(
        property,
        Property::MessageExpiryInterval(_) | Property::TopicAlias(_) | Property::SubscriptionIdentifier(_)
    )
}

fn expiry_s(publish: &InboundPublish) -> Option<u32> {
    publish.properties.iter().find_map(|property| match property {
        Property::MessageExpiryInterval(seconds) => Some(seconds.val()),
        _ => None,
    })
}

#[cfg(test)]
mod tests;
