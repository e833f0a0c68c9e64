//! Builds acknowledgements and DISCONNECT packets of both protocol versions.

use crate::publish::{InboundPublish, Version};
use crate::rejection::Rejection;
use mqtt_protocol_core::mqtt::packet::{v3_1_1, v5_0, Packet, Property, Qos, ReasonString};
use mqtt_protocol_core::mqtt::result_code::{
    DisconnectReasonCode, MqttError, SubackReasonCode, SubackReturnCode, UnsubackReasonCode,
};

/// Prefix of the filter of a shared subscription (section 4.8.2).
const SHARED_PREFIX: &str = "$share/";

/// The first acknowledgement of a publish, PUBACK or PUBREC, with any rejection; `None` for QoS 0.
pub(crate) fn acknowledge(
    version: Version,
    publish: &InboundPublish,
    rejection: Option<Rejection>,
) -> Result<Option<Packet>, MqttError> {
    let Some(id) = publish.packet_id else { return Ok(None) };
    let packet = match (version, publish.qos) {
        // Acknowledgements of version 3.1.1 have no reason code (3.1.1 section 3.3.5.2).
        (Version::V3, Qos::ExactlyOnce) => v3_1_1::Pubrec::builder().packet_id(id).build()?.into(),
        (Version::V3, _) => v3_1_1::Puback::builder().packet_id(id).build()?.into(),
        (Version::V5, Qos::ExactlyOnce) => v5_pubrec(id, rejection)?,
        (Version::V5, _) => v5_puback(id, rejection)?,
    };
    Ok(Some(packet))
}

fn v5_pubrec(id: u16, rejection: Option<Rejection>) -> Result<Packet, MqttError> {
    let mut builder = v5_0::Pubrec::builder().packet_id(id);
    if let Some(rejection) = rejection {
        builder = builder.reason_code(rejection.pubrec_code()).props(reason_string(rejection)?);
    }
    Ok(builder.build()?.into())
}

/// A PUBACK of version 5, with a reason if the publish is rejected.
pub(crate) fn v5_puback(id: u16, rejection: Option<Rejection>) -> Result<Packet, MqttError> {
    let mut builder = v5_0::Puback::builder().packet_id(id);
    if let Some(rejection) = rejection {
        builder = builder.reason_code(rejection.puback_code()).props(reason_string(rejection)?);
    }
    Ok(builder.build()?.into())
}

fn reason_string(rejection: Rejection) -> Result<Vec<Property>, MqttError> {
    Ok(vec![ReasonString::new(rejection.as_str())?.into()])
}

/// PUBCOMP, which completes a received publish with QoS 2.
pub(crate) fn pubcomp(version: Version, id: u16) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => v3_1_1::Pubcomp::builder().packet_id(id).build()?.into(),
        Version::V5 => v5_0::Pubcomp::builder().packet_id(id).build()?.into(),
    })
}

/// PUBREL, the reply to the PUBREC of a sent publish with QoS 2.
pub(crate) fn pubrel(version: Version, id: u16) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => v3_1_1::Pubrel::builder().packet_id(id).build()?.into(),
        Version::V5 => v5_0::Pubrel::builder().packet_id(id).build()?.into(),
    })
}

/// One topic filter of a SUBSCRIBE.
pub(crate) struct RequestedFilter {
    pub(crate) filter: String,
    pub(crate) qos: Qos,
}

impl RequestedFilter {
    fn is_shared(&self) -> bool {
        self.filter.starts_with(SHARED_PREFIX)
    }

    fn has_wildcard(&self) -> bool {
        self.filter.contains(['+', '#'])
    }

    fn v3_code(&self) -> SubackReturnCode {
        match self.qos {
            _ if self.is_shared() || self.has_wildcard() => SubackReturnCode::Failure,
            Qos::AtMostOnce => SubackReturnCode::SuccessMaximumQos0,
            Qos::AtLeastOnce => SubackReturnCode::SuccessMaximumQos1,
            Qos::ExactlyOnce => SubackReturnCode::SuccessMaximumQos2,
        }
    }

    fn v5_code(&self) -> SubackReasonCode {
        match self.qos {
            _ if self.is_shared() => SubackReasonCode::SharedSubscriptionsNotSupported,
            _ if self.has_wildcard() => SubackReasonCode::WildcardSubscriptionsNotSupported,
            Qos::AtMostOnce => SubackReasonCode::GrantedQos0,
            Qos::AtLeastOnce => SubackReasonCode::GrantedQos1,
            Qos::ExactlyOnce => SubackReasonCode::GrantedQos2,
        }
    }
}

/// SUBACK. Grants exact topics and refuses wildcards and shared subscriptions. A granted subscription has no
/// effect, because answers go to the calling client and not to subscribers; it is granted because some
/// clients require one before they publish.
pub(crate) fn suback(version: Version, id: u16, filters: &[RequestedFilter]) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => {
            let codes = filters.iter().map(RequestedFilter::v3_code).collect();
            v3_1_1::Suback::builder().packet_id(id).return_codes(codes).build()?.into()
        }
        Version::V5 => {
            let codes = filters.iter().map(RequestedFilter::v5_code).collect();
            v5_0::Suback::builder().packet_id(id).reason_codes(codes).build()?.into()
        }
    })
}

/// UNSUBACK for a number of topic filters.
pub(crate) fn unsuback(version: Version, id: u16, filters: usize) -> Result<Packet, MqttError> {
    Ok(match version {
        Version::V3 => v3_1_1::Unsuback::builder().packet_id(id).build()?.into(),
        Version::V5 => {
            let codes = vec![UnsubackReasonCode::Success; filters];
            v5_0::Unsuback::builder().packet_id(id).reason_codes(codes).build()?.into()
        }
    })
}

/// A DISCONNECT with its reason; `None` for version 3.1.1, where only clients send one.
pub(crate) fn disconnect(version: Version, code: DisconnectReasonCode) -> Result<Option<Packet>, MqttError> {
    match version {
        Version::V3 => Ok(None),
        Version::V5 => Ok(Some(v5_0::Disconnect::builder().reason_code(code).build()?.into())),
    }
}
