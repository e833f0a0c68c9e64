//! Packets of both protocol versions under one name each: what came in, acknowledgements and answers going out.
//! Called by front and bridge; the coding itself is the library's.

use crate::intake::Rejection;
use mqtt_protocol_core::mqtt::packet::ReasonString;
use mqtt_protocol_core::mqtt::packet::{v3_1_1, v5_0, CorrelationData, Packet, Property, Qos, UserProperty};
use mqtt_protocol_core::mqtt::result_code::{
    DisconnectReasonCode, MqttError, PubackReasonCode, PubrecReasonCode, SubackReasonCode, SubackReturnCode,
    UnsubackReasonCode,
};
use slatevalve_engine::{Answer, Verdict};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// The protocol versions that are spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Version {
    V3,
    V5,
}

/// A publish that came in, in either version.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    pub(crate) topic: String,
    pub(crate) qos: Qos,
    pub(crate) dup: bool,
    pub(crate) retain: bool,
    pub(crate) packet_id: Option<u16>,
    pub(crate) payload: Arc<[u8]>,
    pub(crate) properties: Vec<Property>,
}

impl Inbound {
    pub(crate) fn v5(p: &v5_0::Publish) -> Self {
        Inbound {
            topic: p.topic_name().to_string(),
            qos: p.qos(),
            dup: p.dup(),
            retain: p.retain(),
            packet_id: p.packet_id(),
            payload: p.payload().as_slice().into(),
            properties: p.props().clone(),
        }
    }

    pub(crate) fn v3(p: &v3_1_1::Publish) -> Self {
        Inbound {
            topic: p.topic_name().to_string(),
            qos: p.qos(),
            dup: p.dup(),
            retain: p.retain(),
            packet_id: p.packet_id(),
            payload: p.payload().as_slice().into(),
            properties: Vec::new(),
        }
    }
}

impl Inbound {
    /// What tells this message from another one with the same packet id.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.topic, &self.payload).hash(&mut hasher);
        self.properties.iter().for_each(|p| p.to_continuous_buffer().hash(&mut hasher));
        hasher.finish()
    }
}

/// A message that waits to go out, in either version.
#[derive(Clone, Debug)]
pub(crate) struct Outbound {
    pub(crate) topic: String,
    pub(crate) qos: Qos,
    pub(crate) payload: Arc<[u8]>,
    pub(crate) correlation: Option<Vec<u8>>,
    /// User properties; version 5 only.
    pub(crate) told: Vec<(&'static str, String)>,
}

impl Outbound {
    /// The message that tells an answer.
    pub(crate) fn answer(
        topic: String,
        qos: Qos,
        correlation: Option<Vec<u8>>,
        answer: &Answer,
        settings: Option<&str>,
    ) -> Self {
        let mut told = vec![("outcome", answer.verdict.word().to_string())];
        told.extend(answer.verdict.reason().map(|r| ("reason", r.words().to_string())));
        told.push(("attempts", answer.attempts.to_string()));
        told.extend(answer.version.iter().map(|v| ("version", v.name.to_string())));
        told.extend(answer.version.iter().map(|v| ("digest", v.digest.to_string())));
        told.extend(settings.map(|s| ("settings", s.to_string())));
        if answer.recorded {
            told.push(("recorded", "true".into()));
        }
        let payload = match &answer.verdict {
            Verdict::Served { payload, ran } => {
                told.extend(ran.iter().map(|ran| ("ran", ran.to_string())));
                payload.clone()
            }
            // Version 3.1.1 has no properties: the reason's words are the payload.
            Verdict::Refused(reason) | Verdict::Failed(reason) => reason.words().as_bytes().into(),
        };
        Outbound { topic, qos, payload, correlation, told }
    }

    /// The same answer where its result is too large for the client: how it ended is still told.
    pub(crate) fn without_result(&self) -> Self {
        let mut told = self.told.clone();
        told.push(("result", "omitted: larger than the client takes".into()));
        Outbound { payload: Arc::from([].as_slice()), told, ..self.clone() }
    }

    pub(crate) fn packet(&self, version: Version, packet_id: Option<u16>) -> Result<Packet, MqttError> {
        match version {
            Version::V5 => {
                let mut properties: Vec<Property> = Vec::new();
                if let Some(data) = &self.correlation {
                    properties.push(CorrelationData::new(data.clone())?.into());
                }
                for (name, value) in &self.told {
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
            Version::V3 => {
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
    }
}

/// The acknowledgement of a publish: PUBACK or PUBREC, with a reason where it is rejected.
pub(crate) fn acknowledge(
    version: Version,
    publish: &Inbound,
    rejection: Option<Rejection>,
) -> Result<Option<Packet>, MqttError> {
    let Some(id) = publish.packet_id else { return Ok(None) };
    let words =
        |r: Rejection| -> Result<Vec<Property>, MqttError> { Ok(vec![ReasonString::new(r.words())?.into()]) };
    Ok(Some(match (version, publish.qos) {
        // Version 3.1.1 can only accept (3.1.1 section 3.3.5.2).
        (Version::V3, Qos::ExactlyOnce) => v3_1_1::Pubrec::builder().packet_id(id).build()?.into(),
        (Version::V3, _) => v3_1_1::Puback::builder().packet_id(id).build()?.into(),
        (Version::V5, Qos::ExactlyOnce) => {
            let builder = v5_0::Pubrec::builder().packet_id(id);
            match rejection {
                None => builder.build()?.into(),
                Some(r) => builder.reason_code(pubrec_code(r)).props(words(r)?).build()?.into(),
            }
        }
        (Version::V5, _) => {
            let builder = v5_0::Puback::builder().packet_id(id);
            match rejection {
                None => builder.build()?.into(),
                Some(r) => builder.reason_code(puback_code(r)).props(words(r)?).build()?.into(),
            }
        }
    }))
}

fn puback_code(rejection: Rejection) -> PubackReasonCode {
    match rejection {
        Rejection::NoRoute | Rejection::Name => PubackReasonCode::TopicNameInvalid,
        Rejection::ResponseTopic => PubackReasonCode::TopicNameInvalid,
        Rejection::Property => PubackReasonCode::ImplementationSpecificError,
        Rejection::Quota => PubackReasonCode::QuotaExceeded,
    }
}

fn pubrec_code(rejection: Rejection) -> PubrecReasonCode {
    match rejection {
        Rejection::NoRoute | Rejection::Name => PubrecReasonCode::TopicNameInvalid,
        Rejection::ResponseTopic => PubrecReasonCode::TopicNameInvalid,
        Rejection::Property => PubrecReasonCode::ImplementationSpecificError,
        Rejection::Quota => PubrecReasonCode::QuotaExceeded,
    }
}

/// The second acknowledgements of a publish with QoS 2.
pub(crate) fn pubcomp(version: Version, id: u16) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => v3_1_1::Pubcomp::builder().packet_id(id).build()?.into(),
        Version::V5 => v5_0::Pubcomp::builder().packet_id(id).build()?.into(),
    })
}

/// See [`pubcomp`].
pub(crate) fn pubrel(version: Version, id: u16) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => v3_1_1::Pubrel::builder().packet_id(id).build()?.into(),
        Version::V5 => v5_0::Pubrel::builder().packet_id(id).build()?.into(),
    })
}

/// Grants each exact topic and refuses wildcards: answers go to who asked, not to who listens, so a subscription
/// is a courtesy to clients that want one before they publish.
pub(crate) fn suback(version: Version, id: u16, filters: &[(String, Qos)]) -> Result<Packet, MqttError> {
    let shared = |f: &str| f.starts_with("$share/");
    let wild = |f: &str| f.contains(['+', '#']);
    match version {
        Version::V3 => {
            let code = |(f, qos): &(String, Qos)| match qos {
                _ if shared(f) || wild(f) => SubackReturnCode::Failure,
                Qos::AtMostOnce => SubackReturnCode::SuccessMaximumQos0,
                Qos::AtLeastOnce => SubackReturnCode::SuccessMaximumQos1,
                Qos::ExactlyOnce => SubackReturnCode::SuccessMaximumQos2,
            };
            let codes = filters.iter().map(code).collect();
            Ok(v3_1_1::Suback::builder().packet_id(id).return_codes(codes).build()?.into())
        }
        Version::V5 => {
            let code = |(f, qos): &(String, Qos)| match qos {
                _ if shared(f) => SubackReasonCode::SharedSubscriptionsNotSupported,
                _ if wild(f) => SubackReasonCode::WildcardSubscriptionsNotSupported,
                Qos::AtMostOnce => SubackReasonCode::GrantedQos0,
                Qos::AtLeastOnce => SubackReasonCode::GrantedQos1,
                Qos::ExactlyOnce => SubackReasonCode::GrantedQos2,
            };
            let codes = filters.iter().map(code).collect();
            Ok(v5_0::Suback::builder().packet_id(id).reason_codes(codes).build()?.into())
        }
    }
}

pub(crate) fn unsuback(version: Version, id: u16, filters: usize) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => v3_1_1::Unsuback::builder().packet_id(id).build()?.into(),
        Version::V5 => {
            let codes = vec![UnsubackReasonCode::Success; filters];
            v5_0::Unsuback::builder().packet_id(id).reason_codes(codes).build()?.into()
        }
    })
}

/// A DISCONNECT with its reason; version 3.1.1 servers have none and just close.
pub(crate) fn disconnect(version: Version, code: DisconnectReasonCode) -> Result<Option<Packet>, MqttError> {
    match version {
        Version::V3 => Ok(None),
        Version::V5 => Ok(Some(v5_0::Disconnect::builder().reason_code(code).build()?.into())),
    }
}
