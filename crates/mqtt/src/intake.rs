//! From a publish to a call: key, budget, repeat, and what cannot be taken. Front and bridge call it, so that a
//! call means the same whichever way it came.

use crate::packets::Inbound;
use crate::routes::Routes;
use crate::topics::is_topic_name;
use mqtt_protocol_core::mqtt::packet::Property;
use slatevalve::{ClassId, Micros, TenantId};
use slatevalve_engine::{Call, ClientRef, Reason, Repeat, Ticket};
use std::fmt;
use std::sync::Arc;

/// User property: the key of the call, the same in every connection and for every client.
pub const KEY_PROPERTY: &str = "key";
/// User property: milliseconds until the client gives up.
pub const BUDGET_PROPERTY: &str = "budget-ms";
/// User property: `true` where the client itself sends the call again.
pub const REPEAT_PROPERTY: &str = "repeat";

/// Longest key, in bytes.
const MAX_KEY: usize = 256;
/// Longest function or tenant name made from a topic, in bytes.
const MAX_NAME: usize = 256;

/// Why a publish is refused at the level of the protocol: there is nowhere to send an answer, or nothing to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route takes the topic.
    NoRoute,
    /// The response topic is no topic name (section 3.3.2.3.5: no wildcards).
    ResponseTopic,
    /// A property is malformed: the budget is no number, the key too long or given twice.
    Property,
    /// A name made from the topic is empty or too long.
    Name,
    /// The session has as many calls open or answers waiting as it may have.
    Quota,
}

impl Rejection {
    /// The plain words for reason strings and logs.
    pub fn words(self) -> &'static str {
        match self {
            Rejection::NoRoute => "no route takes this topic",
            Rejection::ResponseTopic => "the response topic is empty or holds wildcards",
            Rejection::Property => "a user property is malformed",
            Rejection::Name => "the topic gives an empty or too long name",
            Rejection::Quota => "too many calls or answers of this session are open",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.words())
    }
}

/// What a publish asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Asked {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) function: Arc<str>,
    pub(crate) key: Option<Arc<[u8]>>,
    /// `None` where the client states none.
    pub(crate) budget: Option<Micros>,
    /// The client's own mark or the DUP flag.
    pub(crate) repeat: bool,
    pub(crate) response_topic: Option<String>,
    pub(crate) correlation: Option<Vec<u8>>,
}

impl Asked {
    /// The call for the engine; where the answer goes stays with the front.
    pub(crate) fn call(
        self,
        ticket: Ticket,
        client: ClientRef,
        payload: Arc<[u8]>,
        covered_since: Option<Micros>,
    ) -> Call {
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
            repeat: if self.repeat { Repeat::Marked { covered_since } } else { Repeat::Unmarked },
        }
    }
}

/// Reads a publish. The inner error refuses the call in an answer of its own. Behind a broker the client's id is not
/// known; its response topic stands for it.
pub(crate) fn read(
    routes: &Routes,
    client_id: Option<&str>,
    publish: &Inbound,
) -> Result<Result<Asked, Reason>, Rejection> {
    let Some(route) = routes.find(&publish.topic) else {
        return if routes.is_known(&publish.topic) {
            Ok(Err(Reason::InChange))
        } else {
            Err(Rejection::NoRoute)
        };
    };
    let (mut response_topic, mut correlation, mut expiry) = (None, None, None);
    let (mut key, mut budget, mut repeat) = (None, None, publish.dup);
    for property in &publish.properties {
        match property {
            Property::ResponseTopic(p) => response_topic = Some(p.val().to_string()),
            Property::CorrelationData(p) => correlation = Some(p.val().to_vec()),
            Property::MessageExpiryInterval(p) => expiry = Some(p.val()),
            Property::UserProperty(p) => match p.key() {
                KEY_PROPERTY if key.is_some() || p.val().is_empty() => return Err(Rejection::Property),
                KEY_PROPERTY => key = Some(p.val().to_string()),
                BUDGET_PROPERTY => {
                    let millis: i64 = p.val().parse().map_err(|_| Rejection::Property)?;
                    let micros = millis.checked_mul(1_000).filter(|m| *m >= 0);
                    budget = Some(Micros(micros.ok_or(Rejection::Property)?));
                }
                REPEAT_PROPERTY => repeat |= p.val() == "true",
                _ => {}
            },
            _ => {}
        }
    }
    if response_topic.as_deref().is_some_and(|t| !is_topic_name(t)) {
        return Err(Rejection::ResponseTopic);
    }
    // The stated budget counts before the expiry, which has whole seconds only.
    let expiry = expiry.map(|seconds| Micros(i64::from(seconds) * 1_000_000));
    let name = |text: String| match text.len() {
        1..=MAX_NAME => Ok(text),
        _ => Err(Rejection::Name),
    };
    let function = name(route.function.fill(&publish.topic))?;
    let from_topic = route.key.as_ref().map(|t| t.fill(&publish.topic)).filter(|k| !k.is_empty());
    let owner = client_id.or(response_topic.as_deref());
    let key = key_bytes(key.or(from_topic), correlation.as_deref(), owner);
    if key.as_ref().is_some_and(|k| k.len() > MAX_KEY) {
        return Err(Rejection::Property);
    }
    let tenant = match &route.tenant {
        None => None,
        Some(template) => match routes.tenants.get(&name(template.fill(&publish.topic))?) {
            Some(tenant) => Some(*tenant),
            None => return Ok(Err(Reason::UnknownTenant)),
        },
    };
    Ok(Ok(Asked {
        class: route.class,
        tenant,
        function: function.into(),
        key: key.map(Into::into),
        budget: budget.or(expiry),
        repeat,
        response_topic,
        correlation,
    }))
}

/// A stated key is the same whoever sends it. Correlation data is one client's own count, so it is a key only
/// together with the client's id: two clients that both begin at 1 must not get each other's charges.
fn key_bytes(stated: Option<String>, correlation: Option<&[u8]>, owner: Option<&str>) -> Option<Vec<u8>> {
    match (stated, correlation, owner) {
        (Some(key), _, _) => Some([b"k:", key.as_bytes()].concat()),
        (None, Some(data), Some(owner)) if !data.is_empty() => {
            Some([b"c:", owner.as_bytes(), b"\0", data].concat())
        }
        _ => None,
    }
}
