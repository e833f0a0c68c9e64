//! The `mqtt` and `bridge` forms: the listener for clients, and the broker to which the gateway connects.

use super::forms::{address, optional, whole, FormResult};
use slatevalve_mqtt::{BridgeSettings, FrontSettings, Routes};
use slatevalve_sexpr::{Fields, Form};
use std::net::SocketAddr;

/// Number of the front end for clients among the engine's front ends.
const FRONT_NUMBER: u8 = 1;
/// Number of the bridge among the engine's front ends.
const BRIDGE_NUMBER: u8 = 2;
/// Largest value of the maximum packet size, in bytes.
const MAX_PACKET_BYTES: u64 = 256 * 1024 * 1024;
/// Largest value of MQTT's two-byte integers.
const MAX_TWO_BYTES: u64 = 65_535;
/// Smallest value of a bridge's maximum packet size, in bytes.
const MIN_BRIDGE_PACKET_BYTES: u32 = 64;

/// The form `(mqtt ...)`.
pub(super) struct MqttForm {
    pub(super) listen: SocketAddr,
    pub(super) front: FrontSettings,
}

impl MqttForm {
    pub(super) fn read(top: &mut Fields<'_>, routes: Routes) -> FormResult<Self> {
        let mut form = top.need("mqtt")?.fields()?;
        let listen = address(&form.need("listen")?)?;
        let base = FrontSettings::default();
        let front = FrontSettings {
            number: FRONT_NUMBER,
            routes,
            documents: None,
            instance: String::new(),
            max_packet: whole(&mut form, "max-packet", base.max_packet, MAX_PACKET_BYTES)?,
            receive_maximum: whole(&mut form, "receive-maximum", base.receive_maximum, MAX_TWO_BYTES)?,
            topic_alias_maximum: whole(&mut form, "topic-aliases", base.topic_alias_maximum, MAX_TWO_BYTES)?,
            max_session_expiry: form.or("session-expiry-ms", base.max_session_expiry, Form::millis)?,
            max_sessions: whole(&mut form, "max-sessions", base.max_sessions, 10_000_000)?,
            session_quota: whole(&mut form, "session-quota", base.session_quota, 10_000_000)?,
            connect_timeout: form.or("connect-timeout-ms", base.connect_timeout, Form::millis)?,
            max_keep_alive: whole(&mut form, "keep-alive-s", base.max_keep_alive, MAX_TWO_BYTES)?,
        };
        form.finish()?;
        Ok(MqttForm { listen, front })
    }
}

/// Values from other forms that a bridge needs.
pub(super) struct BridgeContext<'a> {
    pub(super) routes: &'a Routes,
    /// Whether a class has the effect `unsafe`.
    pub(super) has_unsafe_class: bool,
    pub(super) seed: u64,
}

/// Reads `(bridge ...)`: the broker's address, and the settings of the connection to it.
pub(super) fn bridge(
    top: &mut Fields<'_>,
    context: &BridgeContext<'_>,
) -> FormResult<Option<(SocketAddr, BridgeSettings)>> {
    let Some(form) = top.take("bridge")? else { return Ok(None) };
    let mut fields = form.fields()?;
    let base = BridgeSettings::default();
    let broker = address(&fields.need("broker")?)?;
    let client_id = fields.need("client-id")?.text()?;
    let group = group(&mut fields, &form, &client_id, context.has_unsafe_class)?;
    let settings = BridgeSettings {
        number: BRIDGE_NUMBER,
        client_id,
        group,
        routes: context.routes.clone(),
        receive_maximum: whole(&mut fields, "receive-maximum", base.receive_maximum, MAX_TWO_BYTES)?.max(1),
        max_packet: whole(&mut fields, "max-packet", base.max_packet, MAX_PACKET_BYTES)?
            .max(MIN_BRIDGE_PACKET_BYTES),
        session_expiry_s: whole(&mut fields, "session-expiry-s", base.session_expiry_s, u64::from(u32::MAX))?,
        keep_alive_s: whole(&mut fields, "keep-alive-s", base.keep_alive_s, MAX_TWO_BYTES)?,
        backoff: (
            fields.or("back-off-ms", base.backoff.0, Form::millis)?,
            fields.or("longest-back-off-ms", base.backoff.1, Form::millis)?,
        ),
        connect_timeout: fields.or("connect-timeout-ms", base.connect_timeout, Form::millis)?,
        seed: context.seed,
    };
    fields.finish()?;
    Ok(Some((broker, settings)))
}

/// Reads the shared-subscription group of a bridge.
fn group(
    fields: &mut Fields<'_>,
    form: &Form<'_>,
    client_id: &str,
    has_unsafe_class: bool,
) -> FormResult<Option<String>> {
    let group = optional(fields, "group", Form::text)?;
    let is_invalid = |group: &str| group.is_empty() || group.contains(['/', '+', '#']);
    if client_id.is_empty() || group.as_deref().is_some_and(is_invalid) {
        return Err(
            form.error("client-id must not be empty, and group must not be empty or contain /, + or #")
        );
    }
    let is_sole_member = fields.or("sole-member", false, Form::flag)?;
    // A broker may redeliver a publish that one member had not acknowledged to another one without marking it
    // as a duplicate. Gateways share no state, so the other one cannot detect that the call already ran.
    if group.is_some() && has_unsafe_class && !is_sole_member {
        return Err(form.error(
            "a broker may redeliver a publish to another gateway of the group and make unsafe calls run twice; \
             remove (group ...), or set (sole-member yes) if the group has no other gateway",
        ));
    }
    Ok(group)
}
