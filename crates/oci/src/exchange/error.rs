//! Errors of single attempts and of whole requests.

use std::error::Error;
use std::fmt;

/// How one attempt of a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established.
    Connect,
    /// The connection was closed before the end of a response.
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
            AttemptFailure::Connect => f.write_str("the server cannot be reached"),
            AttemptFailure::ConnectionClosed => {
                f.write_str("the connection was closed before the end of the response")
            }
            AttemptFailure::Stalled => f.write_str("no bytes arrived within the stall timeout"),
            AttemptFailure::MalformedResponse => {
                f.write_str("the response is malformed or its content is corrupt")
            }
            AttemptFailure::Range => f.write_str("the response holds another range than the requested one"),
            AttemptFailure::Busy(status) => write!(f, "the server answered with status {status}"),
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
    /// A redirect or a token service at an address that [`crate::Policy::hosts`] does not allow, or with a
    /// scheme other than `http`; holds scheme, host and port.
    AddressNotAllowed(String),
    /// Too many redirects, or one without a usable `Location`.
    InvalidRedirect,
    /// The challenge names no usable token service, or that returned no usable token.
    Token,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExchangeError::AttemptsExhausted(failure) => {
                write!(f, "no attempts left; the last one failed: {failure}")
            }
            ExchangeError::DeadlineExceeded(None) => f.write_str("the deadline of the transfer has passed"),
            ExchangeError::DeadlineExceeded(Some(failure)) => {
                write!(f, "the deadline of the transfer has passed; the last failed attempt: {failure}")
            }
            ExchangeError::Unauthorized => {
                f.write_str("the registry requires credentials or rejected the given ones")
            }
            ExchangeError::AddressNotAllowed(address) => {
                write!(f, "the registry refers to {address}, which (hosts ...) does not allow")
            }
            ExchangeError::InvalidRedirect => {
                f.write_str("too many redirects, or a redirect without a usable Location")
            }
            ExchangeError::Token => f.write_str(
                "the token service returned no usable token, or the registry names no usable service",
            ),
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
