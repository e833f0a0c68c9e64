//! MQTT packets of the test clients.

use super::plan::Arrival;
use crate::call_body::CallBody;
use mqtt_protocol_core::mqtt::packet::{
    v5_0, CorrelationData, GenericPacketTrait, Packet, Property, Qos, ResponseTopic, SessionExpiryInterval,
    UserProperty,
};
use mqtt_protocol_core::mqtt::result_code::MqttError;

/// The session expiry interval that clients request, in seconds.
const SESSION_EXPIRY_S: u32 = 60;
/// The keep-alive interval of a connection, in seconds.
const KEEP_ALIVE_S: u16 = 30;

/// The answer to a call, from the properties of its PUBLISH packet.
#[derive(Default)]
pub(super) struct Answer {
    pub(super) call: String,
    pub(super) outcome: String,
    pub(super) reason: Option<String>,
}

/// A CONNECT packet that resumes the client's session if it exists.
pub(super) fn connect(client: &str) -> Result<Packet, MqttError> {
    let properties = vec![SessionExpiryInterval::new(SESSION_EXPIRY_S)?.into()];
    let builder = v5_0::Connect::builder().client_id(client)?;
    Ok(builder.clean_start(false).keep_alive(KEEP_ALIVE_S).props(properties).build()?.into())
}

/// The PUBLISH packet of a call; `packet_id` is none with QoS 0.
pub(super) fn publish(client: &str, arrival: &Arrival, packet_id: Option<u16>) -> Result<Packet, MqttError> {
    let mut properties: Vec<Property> = vec![
        ResponseTopic::new(format!("replies/{client}").as_str())?.into(),
        CorrelationData::new(arrival.call.as_bytes().to_vec())?.into(),
        UserProperty::new("budget-ms", (arrival.budget_us / 1_000).to_string().as_str())?.into(),
    ];
    if let Some(key) = &arrival.key {
        properties.push(UserProperty::new("key", key.as_str())?.into());
    }
    let mut builder = v5_0::Publish::builder()
        .topic_name(arrival.topic.as_str())?
        .qos(quality_of_service(arrival))
        .props(properties)
        .payload(CallBody::write(&arrival.call, arrival.work_us));
    if let Some(packet_id) = packet_id {
        builder = builder.packet_id(packet_id);
    }
    Ok(builder.build()?.into())
}

pub(super) fn quality_of_service(arrival: &Arrival) -> Qos {
    match arrival.qos {
        0 => Qos::AtMostOnce,
        1 => Qos::AtLeastOnce,
        _ => Qos::ExactlyOnce,
    }
}

/// The name of a call that the protocol library resends on a resumed session; none for any other packet.
pub(super) fn retransmitted_call(packet: &Packet) -> Option<String> {
    match packet {
        Packet::V5_0Publish(publish) if publish.dup() => publish.props().iter().find_map(correlation),
        _ => None,
    }
}

/// The answer in a PUBLISH packet of a gateway.
pub(super) fn answer(publish: &v5_0::Publish) -> Answer {
    let mut answer = Answer::default();
    for property in publish.props() {
        match property {
            Property::CorrelationData(data) => answer.call = String::from_utf8_lossy(data.val()).into_owned(),
            Property::UserProperty(user) if user.key() == "outcome" => answer.outcome = user.val().into(),
            Property::UserProperty(user) if user.key() == "reason" => answer.reason = Some(user.val().into()),
            _ => {}
        }
    }
    answer
}

fn correlation(property: &Property) -> Option<String> {
    match property {
        Property::CorrelationData(data) => Some(String::from_utf8_lossy(data.val()).into_owned()),
        _ => None,
    }
}

/// The bytes of a packet.
pub(super) fn encode(packet: &Packet) -> Vec<u8> {
    packet.to_continuous_buffer()
}
