//! Errors of the requests that the client's owner sends.

use std::fmt;

/// Why a request sent with [`Client::send_request`](super::Client::send_request) has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The registry responded with an error.
    Rejected {
        /// The HTTP status; not 200.
        status: u16,
        /// The message of the error body; empty if the body could not be parsed.
        message: String,
    },
    /// The endpoint is overloaded and did not execute the request.
    Overloaded {
        /// The HTTP status, 429 or 503.
        status: u16,
    },
    /// The connection was lost before a response arrived; the request may have been executed.
    OutcomeUnknown {
        /// The endpoint, `HOST:PORT`.
        endpoint: String,
        /// What failed.
        reason: String,
    },
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Rejected { status, message } => write!(f, "HTTP status {status}: {message}"),
            RequestError::Overloaded { status } => {
                write!(f, "HTTP status {status}: it has too much to do")
            }
            RequestError::OutcomeUnknown { endpoint, reason } => {
                write!(f, "{endpoint}: {reason}; the request may have been executed")
            }
        }
    }
}

impl std::error::Error for RequestError {}
