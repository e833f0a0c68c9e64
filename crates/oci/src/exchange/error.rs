//! Why an attempt, and why a whole request, failed.

use std::error::Error;
use std::fmt;

/// How one attempt of a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established.
    Connect,
    /// The connection was closed within a response.
    ConnectionClosed,
    /// No bytes arrived within [`crate::Policy::stall_timeout_us`].
    Stalled,
    /// The response is not HTTP, or its content does not match its digest.
    MalformedResponse,
    /// The response's range is not the requested one.
    Range,
    /// A status after which the request may be retried: 429, 500, 502, 503 or 504.
    Busy(u16),
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptFailure::Connect => f.write_str("it cannot be reached"),
            AttemptFailure::ConnectionClosed => f.write_str("the connection ended within an answer"),
            AttemptFailure::Stalled => f.write_str("nothing came for too long"),
            AttemptFailure::MalformedResponse => f.write_str("it did not answer in HTTP"),
            AttemptFailure::Range => f.write_str("it sent another range than was asked for"),
            AttemptFailure::Busy(status) => write!(f, "it answered {status}"),
        }
    }
}

impl Error for AttemptFailure {}

/// Why a request ended without a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The attempts are used up; holds the failure of the last one.
    AttemptsExhausted(AttemptFailure),
    /// The deadline of the job has passed; holds the failure of the last attempt, if one failed.
    DeadlineExceeded(Option<AttemptFailure>),
    /// The registry or its token service rejects the credentials, or requires some and there are none.
    Unauthorized,
    /// A redirect or a token service at an address that the policy does not allow; holds scheme, host and port.
    AddressNotAllowed(String),
    /// Too many redirects, or one without a usable `Location`.
    InvalidRedirect,
    /// The token service's response holds no usable token.
    Token,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::AttemptsExhausted(failure) => write!(f, "given up: {failure}"),
            ExchangeError::DeadlineExceeded(None) => f.write_str("the time for it is up"),
            ExchangeError::DeadlineExceeded(Some(failure)) => write!(f, "the time for it is up: {failure}"),
            ExchangeError::Unauthorized => f.write_str("the registry does not take these credentials"),
            ExchangeError::AddressNotAllowed(address) => {
                write!(f, "the registry sends to {address}, which (hosts ...) does not name")
            }
            ExchangeError::InvalidRedirect => f.write_str("the registry sends round and round"),
            ExchangeError::Token => f.write_str("the token service gave no token"),
        }
    }
}

impl Error for ExchangeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ExchangeError::AttemptsExhausted(failure) | ExchangeError::DeadlineExceeded(Some(failure)) => {
                Some(failure)
            }
            ExchangeError::DeadlineExceeded(None)
            | ExchangeError::Unauthorized
            | ExchangeError::AddressNotAllowed(_)
            | ExchangeError::InvalidRedirect
            | ExchangeError::Token => None,
        }
    }
}
