//! Why a publish is rejected at the level of the protocol.

use mqtt_protocol_core::mqtt::result_code::{PubackReasonCode, PubrecReasonCode};
use std::fmt;

/// Why a publish is rejected by its acknowledgement: there is no topic for an answer, or no call to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches the topic.
    NoRoute,
    /// The response topic is not a topic name (section 3.3.2.3.5: no wildcards).
    ResponseTopic,
    /// A property is malformed: the budget is no number, the key too long or given twice.
    Property,
    /// A name made from the topic is empty or too long.
    Name,
    /// The session has as many open calls and waiting answers as it may have.
    Quota,
}

impl Rejection {
    /// The reason string of the acknowledgement, also for logs.
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

    /// The reason code of a PUBACK.
    pub(crate) fn puback_code(self) -> PubackReasonCode {
        match self {
            Rejection::NoRoute | Rejection::Name | Rejection::ResponseTopic => {
                PubackReasonCode::TopicNameInvalid
            }
            Rejection::Property => PubackReasonCode::ImplementationSpecificError,
            Rejection::Quota => PubackReasonCode::QuotaExceeded,
        }
    }

    /// The reason code of a PUBREC.
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
