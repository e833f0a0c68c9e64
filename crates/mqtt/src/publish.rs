//! PUBLISH packets of both protocol versions, received with calls or sent with answers.

use crate::request::REPEAT_PROPERTY;
use mqtt_protocol_core::mqtt::packet::{v3_1_1, v5_0, CorrelationData, Packet, Property, Qos, UserProperty};
use mqtt_protocol_core::mqtt::result_code::MqttError;
use slatevalve::Micros;
use slatevalve_engine::{Answer, Reason, Repeat, Verdict};
use std::sync::Arc;

/// The supported protocol versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Version {
    /// MQTT 3.1.1.
    V3,
    /// MQTT 5.0.
    V5,
}

/// A received PUBLISH of either version.
#[derive(Clone, Debug)]
pub(crate) struct InboundPublish {
    pub(crate) topic: String,
    pub(crate) qos: Qos,
    pub(crate) dup: bool,
    pub(crate) retain: bool,
    /// `None` for QoS 0.
    pub(crate) packet_id: Option<u16>,
    pub(crate) payload: Arc<[u8]>,
    /// Empty for version 3.1.1.
    pub(crate) properties: Vec<Property>,
}

impl From<&v5_0::Publish> for InboundPublish {
    fn from(publish: &v5_0::Publish) -> Self {
        InboundPublish {
            topic: publish.topic_name().to_string(),
            qos: publish.qos(),
            dup: publish.dup(),
            retain: publish.retain(),
            packet_id: publish.packet_id(),
            payload: publish.payload().as_slice().into(),
            properties: publish.props().clone(),
        }
    }
}

impl From<&v3_1_1::Publish> for InboundPublish {
    fn from(publish: &v3_1_1::Publish) -> Self {
        InboundPublish {
            topic: publish.topic_name().to_string(),
            qos: publish.qos(),
            dup: publish.dup(),
            retain: publish.retain(),
            packet_id: publish.packet_id(),
            payload: publish.payload().as_slice().into(),
            properties: Vec::new(),
        }
    }
}

impl InboundPublish {
    /// Whether the publish may have been received before, by this process or an earlier one. `covered_since`
    /// holds for redeliveries of the session: what the client itself repeats, it may have sent at any time.
    pub(crate) fn repeat(&self, covered_since: Option<Micros>) -> Repeat {
        match self.is_marked_by_client() {
            true => Repeat::Marked { covered_since: None },
            false if self.dup => Repeat::Marked { covered_since },
            false => Repeat::Unmarked,
        }
    }

    fn is_marked_by_client(&self) -> bool {
        self.properties.iter().any(|property| match property {
            Property::UserProperty(property) => property.key() == REPEAT_PROPERTY && property.val() == "true",
            _ => false,
        })
    }

    /// Whether an earlier process may have accepted the publish.
    pub(crate) fn may_be_accepted_before(&self, covered_since: Option<Micros>) -> bool {
        self.repeat(covered_since) == Repeat::Marked { covered_since: None }
    }

    /// The answer to a publish that makes no call for `reason`. If an earlier process may have accepted it,
    /// nothing is known of what became of it there.
    pub(crate) fn declined(&self, reason: Reason, covered_since: Option<Micros>) -> Answer {
        let verdict = match self.may_be_accepted_before(covered_since) {
            true => Verdict::Failed(reason),
            false => Verdict::Refused(reason),
        };
        Answer { verdict, attempts: 0, recorded: false, version: None }
    }

    /// Reads the response topic and correlation data.
    pub(crate) fn reply_address(&self) -> ReplyAddress {
        let mut address = ReplyAddress::default();
        for property in &self.properties {
            match property {
                Property::ResponseTopic(topic) => address.response_topic = Some(topic.val().to_string()),
                Property::CorrelationData(data) => address.correlation = Some(data.val().to_vec()),
                _ => {}
            }
        }
        address
    }
}

/// The request/response properties of a PUBLISH (section 4.10); empty in version 3.1.1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplyAddress {
    pub(crate) response_topic: Option<String>,
    pub(crate) correlation: Option<Vec<u8>>,
}

/// A PUBLISH that carries an answer, to be encoded in either version.
#[derive(Clone, Debug)]
pub(crate) struct OutboundPublish {
    pub(crate) topic: String,
    pub(crate) qos: Qos,
    payload: Arc<[u8]>,
    correlation: Option<Vec<u8>>,
    /// Names and values; version 5 only.
    user_properties: Vec<(&'static str, String)>,
}

impl OutboundPublish {
    /// Creates the message for an answer; `documents` are the numbers of the settings documents in effect.
    pub(crate) fn answer(
        topic: String,
        qos: Qos,
        correlation: Option<Vec<u8>>,
        answer: &Answer,
        documents: Option<&str>,
    ) -> Self {
        let mut properties = vec![("outcome", answer.verdict.as_str().to_string())];
        properties.extend(answer.verdict.reason().map(|reason| ("reason", reason.description().to_string())));
        properties.push(("attempts", answer.attempts.to_string()));
        if let Some(version) = &answer.version {
            properties.push(("version", version.name.to_string()));
            properties.push(("digest", version.digest.to_string()));
        }
        properties.extend(documents.map(|documents| ("settings", documents.to_string())));
        if answer.recorded {
            properties.push(("recorded", "true".into()));
        }
        let payload = match &answer.verdict {
            Verdict::Served { payload, ran } => {
                properties.extend(ran.iter().map(|ran| ("ran", ran.to_string())));
                payload.clone()
            }
            // Version 3.1.1 has no properties, so the payload holds the reason.
            Verdict::Refused(reason) | Verdict::Failed(reason) => reason.description().as_bytes().into(),
        };
        OutboundPublish { topic, qos, payload, correlation, user_properties: properties }
    }

    /// The same answer without its result, for a client whose maximum packet size it exceeds.
    pub(crate) fn without_result(&self) -> Self {
        let mut user_properties = self.user_properties.clone();
        user_properties.push(("result", "omitted: larger than the client takes".into()));
        OutboundPublish { payload: Arc::from([].as_slice()), user_properties, ..self.clone() }
    }

    /// Encodes the message; `packet_id` is `None` for QoS 0.
    pub(crate) fn packet(&self, version: Version, packet_id: Option<u16>) -> Result<Packet, MqttError> {
        match version {
            Version::V5 => self.v5_packet(packet_id),
            Version::V3 => self.v3_packet(packet_id),
        }
    }

    fn v5_packet(&self, packet_id: Option<u16>) -> Result<Packet, MqttError> {
        let mut properties: Vec<Property> = Vec::new();
        if let Some(data) = &self.correlation {
            properties.push(CorrelationData::new(data.clone())?.into());
        }
        for (name, value) in &self.user_properties {
            properties.push(UserProperty::new(*name, value.as_str())?.into());
        }
        let mut builder = v5_0::Publish::builder()
            .topic_name(self.topic.as_str())?
            .qos(self.qos)
            .props(properties)
            .payload(self.payload.to_vec());
        if let Some(id) = packet_id {
            builder = builder.packet_id(id);
        }
        Ok(builder.build()?.into())
    }

    fn v3_packet(&self, packet_id: Option<u16>) -> Result<Packet, MqttError> {
        let mut builder = v3_1_1::Publish::builder()
            .topic_name(self.topic.as_str())?
            .qos(self.qos)
            .payload(self.payload.to_vec());
        if let Some(id) = packet_id {
            builder = builder.packet_id(id);
        }
        Ok(builder.build()?.into())
    }
}
