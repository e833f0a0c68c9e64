//! The `mqtt` and `bridge` forms: where clients connect, and the broker that the gateway connects to.

use super::forms::{address, optional, whole, Res};
use slatevalve_mqtt::{BridgeSettings, FrontSettings, Routes};
use slatevalve_sexpr::{Fields, Form};
use std::net::SocketAddr;

/// The number of the front end for clients among the engine's front ends.
const FRONT_NUMBER: u8 = 1;
/// The number of the bridge among the engine's front ends.
const BRIDGE_NUMBER: u8 = 2;
/// The largest MQTT packet that may be set, in bytes.
const MAX_PACKET_BYTES: u64 = 256 * 1024 * 1024;
/// The largest value of MQTT's two-byte integers.
const MAX_TWO_BYTES: u64 = 65_535;
/// The smallest packet maximum of a bridge, in bytes.
const MIN_BRIDGE_PACKET_BYTES: u32 = 64;

/// The form `(mqtt ...)`.
pub(super) struct MqttForm {
    pub(super) listen: SocketAddr,
    pub(super) front: FrontSettings,
}

impl MqttForm {
    pub(super) fn read(top: &mut Fields<'_>, routes: Routes) -> Res<Self> {
        let mut form = top.need("mqtt")?.fields()?;
        let listen = address(&form.need("listen")?)?;
        let base = FrontSettings::default();
        let front = FrontSettings {
            number: FRONT_NUMBER,
            routes,
            documents: None,
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

/// What a bridge takes over from the other forms.
pub(super) struct BridgeContext<'a> {
    pub(super) routes: &'a Routes,
    /// Whether some class is not idempotent.
    pub(super) has_unsafe_class: bool,
    pub(super) seed: u64,
}

/// Reads `(bridge ...)`: the broker's address, and how to connect to it.
pub(super) fn bridge(
    top: &mut Fields<'_>,
    context: &BridgeContext<'_>,
) -> Res<Option<(SocketAddr, BridgeSettings)>> {
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

/// The shared-subscription group of a bridge.
fn group(
    fields: &mut Fields<'_>,
    form: &Form<'_>,
    client_id: &str,
    has_unsafe_class: bool,
) -> Res<Option<String>> {
    let group = optional(fields, "group", Form::text)?;
    let is_invalid = |group: &str| group.is_empty() || group.contains(['/', '+', '#']);
    if client_id.is_empty() || group.as_deref().is_some_and(is_invalid) {
        return Err(form.error("client-id is empty, or group is empty or holds one of / + #"));
    }
    let is_sole_member = fields.or("sole-member", false, Form::flag)?;
    // A broker may hand what one member had not acknowledged to another, unmarked; gateways share nothing, so the
    // other cannot know that it ran.
    if group.is_some() && has_unsafe_class && !is_sole_member {
        return Err(form.error(
            "a group whose broker may hand a publish from one gateway to another would let unsafe calls run twice; \
             leave (group ...) out, or say (sole-member yes) where no other gateway is in it",
        ));
    }
    Ok(group)
}
