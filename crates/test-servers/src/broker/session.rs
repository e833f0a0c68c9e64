//! Sessions of the test broker: subscriptions, queued messages and messages in flight.

use mqtt_protocol_core::mqtt::packet::{v5_0, MessageExpiryInterval, Packet, Property, Qos};
use mqtt_protocol_core::mqtt::result_code::MqttError;
use slatevalve_reactor::Id;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

#[derive(Clone)]
pub(super) struct Message {
    pub(super) topic: String,
    pub(super) payload: Vec<u8>,
    pub(super) properties: Vec<Property>,
    pub(super) qos: Qos,
    pub(super) received_at: Instant,
}

impl Message {
    /// The message of a PUBLISH packet.
    pub(super) fn new(publish: &v5_0::Publish) -> Self {
        Message {
            topic: publish.topic_name().into(),
            payload: publish.payload().as_slice().to_vec(),
            properties: publish.props().clone(),
            qos: publish.qos(),
            received_at: Instant::now(),
        }
    }

    /// A property as it is sent now: the time for which the message has waited is subtracted from its expiry
    /// (section 3.3.2.3.3).
    fn sent_property(&self, property: &Property) -> Result<Property, MqttError> {
        let Property::MessageExpiryInterval(expiry) = property else { return Ok(property.clone()) };
        let waited_s = u32::try_from(self.received_at.elapsed().as_secs()).unwrap_or(u32::MAX);
        Ok(MessageExpiryInterval::new(expiry.val().saturating_sub(waited_s))?.into())
    }

    /// A PUBLISH packet; the identifier and the flag are ignored with QoS 0.
    pub(super) fn packet(&self, packet_id: u16, is_duplicate: bool) -> Result<Packet, MqttError> {
        let is_forwarded = |property: &&Property| !matches!(property, Property::TopicAlias(_));
        let properties = self.properties.iter().filter(is_forwarded);
        let properties = properties.map(|property| self.sent_property(property));
        let builder = v5_0::Publish::builder()
            .topic_name(self.topic.as_str())?
            .qos(self.qos)
            .props(properties.collect::<Result<Vec<_>, _>>()?)
            .payload(self.payload.clone());
        let packet = match self.qos {
            Qos::AtMostOnce => builder.build()?,
            _ => builder.packet_id(packet_id).dup(is_duplicate).build()?,
        };
        Ok(packet.into())
    }
}

pub(super) struct Subscription {
    pub(super) filter: String,
    /// The name of the group of a shared subscription.
    pub(super) group: Option<String>,
    pub(super) qos: Qos,
}

impl Subscription {
    /// The subscription of an entry of a SUBSCRIBE packet. The broker delivers with QoS 0 or 1.
    pub(super) fn new(topic_filter: &str, qos: Qos) -> Self {
        let shared = topic_filter.strip_prefix("$share/").and_then(|shared| shared.split_once('/'));
        let (group, filter) = match shared {
            Some((group, filter)) => (Some(group.to_string()), filter),
            None => (None, topic_filter),
        };
        let qos = if qos == Qos::AtMostOnce { Qos::AtMostOnce } else { Qos::AtLeastOnce };
        Subscription { filter: filter.to_string(), group, qos }
    }

    /// Whether a topic matches the filter (section 4.7 of MQTT 5); both must be well-formed.
    pub(super) fn is_matching(&self, topic: &str) -> bool {
        let (mut filter_levels, mut topic_levels) = (self.filter.split('/'), topic.split('/'));
        loop {
            match (filter_levels.next(), topic_levels.next()) {
                (Some("#"), _) => return true,
                (Some("+"), Some(_)) => {}
                (Some(filter), Some(level)) if filter == level => {}
                (None, None) => return true,
                _ => return false,
            }
        }
    }
}

#[derive(Default)]
pub(super) struct Session {
    pub(super) connection: Option<Id>,
    /// Whether the session remains after its connection is closed.
    pub(super) is_persistent: bool,
    /// The largest number of messages in flight.
    pub(super) receive_maximum: usize,
    pub(super) subscriptions: Vec<Subscription>,
    pub(super) queue: VecDeque<Message>,
    /// Messages that were sent and not acknowledged, by packet identifier.
    pub(super) in_flight: BTreeMap<u16, Message>,
    last_packet_id: u16,
}

/// A message to send to a connection.
pub(super) struct Delivery {
    pub(super) connection: Id,
    pub(super) message: Message,
    /// 0 with QoS 0.
    pub(super) packet_id: u16,
}

impl Session {
    /// Adds a subscription; replaces one with the same filter and group.
    pub(super) fn subscribe(&mut self, subscription: Subscription) {
        let is_other =
            |other: &Subscription| other.filter != subscription.filter || other.group != subscription.group;
        self.subscriptions.retain(is_other);
        self.subscriptions.push(subscription);
    }

    /// Takes the next message from the queue if the client is connected and its receive maximum is not
    /// reached.
    pub(super) fn next_delivery(&mut self) -> Option<Delivery> {
        let connection = self.connection.filter(|_| self.in_flight.len() < self.receive_maximum)?;
        let message = self.queue.pop_front()?;
        let mut packet_id = 0;
        if message.qos != Qos::AtMostOnce {
            packet_id = self.unused_packet_id();
            self.in_flight.insert(packet_id, message.clone());
        }
        Some(Delivery { connection, message, packet_id })
    }

    fn unused_packet_id(&mut self) -> u16 {
        loop {
            self.last_packet_id = self.last_packet_id.wrapping_add(1).max(1);
            if !self.in_flight.contains_key(&self.last_packet_id) {
                return self.last_packet_id;
            }
        }
    }
}
