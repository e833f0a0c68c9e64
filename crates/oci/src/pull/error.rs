//! Why a pull failed.

use crate::document::DocumentError;
use crate::exchange::ExchangeError;
use crate::location::LocationError;
use slatevalve_blobs::BlobError;
use slatevalve_plugins::{Digest, ManifestProblem, VerifyError};
use std::error::Error;
use std::fmt;

/// Why a pull ended without a version.
#[derive(Debug)]
pub enum PullError {
    /// The name or reference is not valid in a registry.
    Name(LocationError),
    /// A request got no response.
    Exchange(ExchangeError),
    /// The registry does not have, or does not serve, what was requested; holds its name and the status.
    Rejected(String, u16),
    /// The registry served content that does not match its digest, twice.
    Corrupt(Digest, VerifyError),
    /// The image manifest is not that of a plug-in.
    Document(DocumentError),
    /// The plug-in's manifest is invalid.
    Manifest(Vec<ManifestProblem>),
    /// The plug-in's manifest names another plug-in or version.
    OtherVersion {
        /// The requested `NAME@VERSION`.
        requested: String,
        /// The `NAME@VERSION` that its manifest names.
        found: String,
    },
    /// The content is larger than allowed; holds its size in bytes.
    TooLarge(u64),
    /// The blob store failed. What was received is kept for the next pull.
    Store(BlobError),
}

impl PullError {
    /// The digest whose content the registry serves corrupt, where that is the reason.
    pub fn corrupt_digest(&self) -> Option<Digest> {
        match self {
            PullError::Corrupt(digest, _) => Some(*digest),
            _ => None,
        }
    }
}

impl fmt::Display for PullError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PullError::Name(e) => e.fmt(f),
            PullError::Exchange(e) => e.fmt(f),
            PullError::Rejected(subject, status) => {
                write!(f, "the registry answered {status} for {subject}")
            }
            PullError::Corrupt(digest, reason) => {
                write!(f, "the registry's content of {digest}: {reason}")
            }
            PullError::Document(e) => e.fmt(f),
            PullError::Manifest(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            PullError::OtherVersion { requested, found } => {
                write!(f, "{requested} was asked for, and it is {found}")
            }
            PullError::TooLarge(bytes) => write!(f, "its content is {bytes} bytes, more than is taken"),
            PullError::Store(e) => write!(f, "the folder of plug-ins: {e}"),
        }
    }
}

impl Error for PullError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PullError::Name(e) => Some(e),
            PullError::Exchange(e) => Some(e),
            PullError::Corrupt(_, e) => Some(e),
            PullError::Document(e) => Some(e),
            PullError::Store(e) => Some(e),
            PullError::Rejected(..)
            | PullError::Manifest(_)
            | PullError::OtherVersion { .. }
            | PullError::TooLarge(_) => None,
        }
    }
}

impl From<LocationError> for PullError {
    fn from(e: LocationError) -> Self {
        PullError::Name(e)
    }
}

impl From<ExchangeError> for PullError {
    fn from(e: ExchangeError) -> Self {
        PullError::Exchange(e)
    }
}

impl From<DocumentError> for PullError {
    fn from(e: DocumentError) -> Self {
        PullError::Document(e)
    }
}

impl From<BlobError> for PullError {
    fn from(e: BlobError) -> Self {
        PullError::Store(e)
    }
}
