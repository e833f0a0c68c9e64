//! Reads class, function, tenant, key, budget and repeat mark of a call from its publish. Front and bridge
//! share this code, so a call has the same meaning in both.

use crate::publish::{InboundPublish, ReplyAddress};
use crate::rejection::Rejection;
use crate::routes::{Route, Routes};
use crate::topics::is_topic_name;
use mqtt_protocol_core::mqtt::packet::Property;
use slatevalve::{ClassId, Micros, TenantId};
use slatevalve_engine::{Call, ClientRef, Reason, Repeat, Ticket};
use std::sync::Arc;

/// User property: the idempotency key of the call. Its scope is all connections and clients.
pub const KEY_PROPERTY: &str = "key";
/// User property: milliseconds until the client's deadline.
pub const BUDGET_PROPERTY: &str = "budget-ms";
/// User property: `true` if the client itself repeats the call.
pub const REPEAT_PROPERTY: &str = "repeat";

/// Maximum length of a key with its prefix, in bytes.
const MAX_KEY: usize = 256;
/// Maximum length of a function or tenant name derived from a topic, in bytes.
const MAX_NAME: usize = 256;
/// Prefix of a key from the key property or the topic.
const EXPLICIT_KEY_PREFIX: &[u8] = b"k:";
/// Prefix of a key made of client id and correlation data.
const CORRELATION_KEY_PREFIX: &[u8] = b"c:";

/// A call as read from its publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallRequest {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) function: Arc<str>,
    pub(crate) key: Option<Arc<[u8]>>,
    /// `None` if the publish has neither a budget nor a message expiry.
    pub(crate) budget: Option<Micros>,
    pub(crate) reply_address: ReplyAddress,
}

/// Why a publish does not result in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Declined {
    /// The publish is rejected by its acknowledgement.
    Rejected(Rejection),
    /// The publish is accepted, but the call is refused by an answer.
    Refused(Reason),
}

impl Declined {
    pub(crate) fn rejection(self) -> Option<Rejection> {
        match self {
            Declined::Rejected(rejection) => Some(rejection),
            Declined::Refused(_) => None,
        }
    }
}

impl From<Rejection> for Declined {
    fn from(rejection: Rejection) -> Self {
        Declined::Rejected(rejection)
    }
}

impl From<Reason> for Declined {
    fn from(reason: Reason) -> Self {
        Declined::Refused(reason)
    }
}

impl CallRequest {
    /// Builds the call for the engine.
    pub(crate) fn call(self, ticket: Ticket, client: ClientRef, payload: Arc<[u8]>, repeat: Repeat) -> Call {
        Call {
            ticket,
            client,
            class: self.class,
            tenant: self.tenant,
            function: self.function,
            version: Ok(None),
            traits: None,
            request_id: None,
            key: self.key,
            payload,
            budget: self.budget.unwrap_or(Micros(i64::MAX)),
            age: Micros(0),
            repeat,
        }
    }

    /// Reads a publish. Behind a broker, `client_id` is `None` and the response topic identifies the client.
    ///
    /// # Errors
    /// If the publish does not result in a call.
    pub(crate) fn read(
        routes: &Routes,
        client_id: Option<&str>,
        publish: &InboundPublish,
    ) -> Result<Self, Declined> {
        let Some(route) = routes.find(&publish.topic) else {
            return Err(match routes.is_known(&publish.topic) {
                true => Reason::SettingsChanging.into(),
                false => Rejection::NoRoute.into(),
            });
        };
        let properties = CallProperties::read(publish)?;
        let reply_address = publish.reply_address();
        let response_topic = reply_address.response_topic.as_deref();
        if response_topic.is_some_and(|topic| !is_topic_name(topic)) {
            return Err(Rejection::ResponseTopic.into());
        }
        let function = checked_name(route.function.fill(&publish.topic))?;
        let client = client_id.or(response_topic);
        let explicit_key = properties.key.or_else(|| topic_key(route, &publish.topic));
        let key = duplicate_key(explicit_key, reply_address.correlation.as_deref(), client);
        if key.as_ref().is_some_and(|key| key.len() > MAX_KEY) {
            return Err(Rejection::Property.into());
        }
        Ok(CallRequest {
            class: route.class,
            tenant: tenant(routes, route, &publish.topic)?,
            function: function.into(),
            key: key.map(Into::into),
            budget: properties.budget.or(properties.expiry),
            reply_address,
        })
    }
}

/// The properties of a publish that concern its call.
#[derive(Default)]
struct CallProperties {
    key: Option<String>,
    /// Takes precedence over `expiry`, which has a resolution of one second.
    budget: Option<Micros>,
    expiry: Option<Micros>,
}

impl CallProperties {
    fn read(publish: &InboundPublish) -> Result<Self, Rejection> {
        let mut properties = CallProperties::default();
        for property in &publish.properties {
            match property {
                Property::MessageExpiryInterval(seconds) => {
                    properties.expiry = Some(Micros(i64::from(seconds.val()) * 1_000_000));
                }
                Property::UserProperty(property) => {
                    properties.read_user_property(property.key(), property.val())?;
                }
                _ => {}
            }
        }
        Ok(properties)
    }

    fn read_user_property(&mut self, name: &str, value: &str) -> Result<(), Rejection> {
        match name {
            KEY_PROPERTY if self.key.is_some() || value.is_empty() => return Err(Rejection::Property),
            KEY_PROPERTY => self.key = Some(value.to_string()),
            BUDGET_PROPERTY => {
                let millis: i64 = value.parse().map_err(|_| Rejection::Property)?;
                let micros = millis.checked_mul(1_000).filter(|micros| *micros >= 0);
                self.budget = Some(Micros(micros.ok_or(Rejection::Property)?));
            }
            _ => {}
        }
        Ok(())
    }
}

fn checked_name(name: String) -> Result<String, Rejection> {
    match name.len() {
        1..=MAX_NAME => Ok(name),
        _ => Err(Rejection::Name),
    }
}

fn tenant(routes: &Routes, route: &Route, topic: &str) -> Result<Option<TenantId>, Declined> {
    let Some(template) = &route.tenant else { return Ok(None) };
    let name = checked_name(template.fill(topic))?;
    let tenant = routes.tenants.get(&name).ok_or(Reason::UnknownTenant)?;
    Ok(Some(*tenant))
}

/// The key that a route derives from the topic; `None` if it is empty.
fn topic_key(route: &Route, topic: &str) -> Option<String> {
    route.key.as_ref().map(|template| template.fill(topic)).filter(|key| !key.is_empty())
}

/// The key by which repeats of a call are detected. An explicit key has the same meaning for all clients.
/// Correlation data is unique only per client, so the key includes the client: two clients that both count
/// from 1 must not get each other's answers.
fn duplicate_key(
    explicit: Option<String>,
    correlation: Option<&[u8]>,
    client: Option<&str>,
) -> Option<Vec<u8>> {
    match (explicit, correlation, client) {
        (Some(key), _, _) => Some([EXPLICIT_KEY_PREFIX, key.as_bytes()].concat()),
        (None, Some(data), Some(client)) if !data.is_empty() => {
            Some([CORRELATION_KEY_PREFIX, client.as_bytes(), b"\0", data].concat())
        }
        _ => None,
    }
}
