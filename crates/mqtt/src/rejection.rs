//! Reasons for which a publish is rejected by its acknowledgement.

use mqtt_protocol_core::mqtt::result_code::{PubackReasonCode, PubrecReasonCode};
use std::fmt;

/// Why a publish is rejected by its acknowledgement instead of an answer: there is no valid topic for an
/// answer, or the publish does not result in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches the topic.
    NoRoute,
    /// The response topic is not a topic name (section 3.3.2.3.5: no wildcards).
    ResponseTopic,
    /// A property is malformed: the budget is not a number, or the key is empty, too long or given twice.
    Property,
    /// The function or tenant name derived from the topic is empty or too long.
    Name,
    /// The session has reached its quota of open calls and queued answers.
    Quota,
}

impl Rejection {
    /// The reason string of the acknowledgement, also used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::NoRoute => "no route takes this topic",
            Rejection::ResponseTopic => "the response topic is empty or holds wildcards",
            Rejection::Property => "a user property is malformed",
            Rejection::Name => "the topic gives an empty or too long name",
            Rejection::Quota => "too many calls or answers of this session are open",
        }
    }

    /// Whether another process of the gateway may have accepted the publish, as the reason lies in the
    /// settings or state of the gateway and not in the publish alone.
    pub(crate) fn depends_on_gateway(self) -> bool {
        match self {
            Rejection::NoRoute | Rejection::Name | Rejection::Quota => true,
            Rejection::ResponseTopic | Rejection::Property => false,
        }
    }

    pub(crate) fn puback_code(self) -> PubackReasonCode {
        match self {
            Rejection::NoRoute | Rejection::Name | Rejection::ResponseTopic => {
                PubackReasonCode::TopicNameInvalid
            }
            Rejection::Property => PubackReasonCode::ImplementationSpecificError,
            Rejection::Quota => PubackReasonCode::QuotaExceeded,
        }
    }

    pub(crate) fn pubrec_code(self) -> PubrecReasonCode {
        match self {
            Rejection::NoRoute | Rejection::Name | Rejection::ResponseTopic => {
                PubrecReasonCode::TopicNameInvalid
            }
            Rejection::Property => PubrecReasonCode::ImplementationSpecificError,
            Rejection::Quota => PubrecReasonCode::QuotaExceeded,
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for Rejection {}
