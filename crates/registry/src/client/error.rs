//! Errors of requests that the client's owner sends.

use std::fmt;

/// Why a request of [`Client::send_request`](super::Client::send_request) has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The registry rejected the request.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The registry's message.
        message: String,
    },
    /// The member is overloaded and did not execute the request.
    Overloaded {
        /// The HTTP status.
        status: u16,
    },
    /// The connection or the response was lost, so that the request may have been executed.
    OutcomeUnknown {
        /// The member, `HOST:PORT`.
        endpoint: String,
        /// What was lost.
        reason: String,
    },
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Rejected { status, message } => write!(f, "{status}: {message}"),
            RequestError::Overloaded { status } => write!(f, "{status}: it has too much to do"),
            RequestError::OutcomeUnknown { endpoint, reason } => {
                write!(f, "{endpoint}: {reason}; it may have been done")
            }
        }
    }
}

impl std::error::Error for RequestError {}
