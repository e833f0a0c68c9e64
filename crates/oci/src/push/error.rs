//! Errors of a push.

use crate::document::DocumentError;
use crate::exchange::ExchangeError;
use crate::location::LocationError;
use std::error::Error;
use std::fmt;

/// Why a push failed.
#[derive(Debug)]
pub enum PushError {
    /// The name or version is not valid in a registry.
    Name(LocationError),
    /// A request was not completed.
    Exchange(ExchangeError),
    /// The registry rejected a blob or manifest; holds the digest or `REPOSITORY:REFERENCE`, and the status.
    Rejected(String, u16),
    /// A manifest could not be encoded.
    Document(DocumentError),
    /// The registry reports another digest for a pushed manifest than that of the sent bytes; holds the
    /// reported one.
    OtherDigest(String),
    /// The registry opened an upload without a usable `Location`, or with one at another address.
    Upload,
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PushError::Name(e) => e.fmt(f),
            PushError::Exchange(e) => e.fmt(f),
            PushError::Rejected(subject, status) => {
                write!(f, "the registry rejected {subject} with status {status}")
            }
            PushError::Document(e) => e.fmt(f),
            PushError::OtherDigest(found) => write!(
                f,
                "the registry reports digest {found} for the pushed manifest, which has another one"
            ),
            PushError::Upload => {
                f.write_str("the registry opened an upload without a usable Location at its own address")
            }
        }
    }
}

impl Error for PushError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PushError::Name(e) => Some(e),
            PushError::Exchange(e) => Some(e),
            PushError::Document(e) => Some(e),
            PushError::Rejected(..) | PushError::OtherDigest(_) | PushError::Upload => None,
        }
    }
}

impl From<LocationError> for PushError {
    fn from(e: LocationError) -> Self {
        PushError::Name(e)
    }
}

impl From<ExchangeError> for PushError {
    fn from(e: ExchangeError) -> Self {
        PushError::Exchange(e)
    }
}

impl From<DocumentError> for PushError {
    fn from(e: DocumentError) -> Self {
        PushError::Document(e)
    }
}
