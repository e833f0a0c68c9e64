//! Errors of a pull.

use crate::document::DocumentError;
use crate::exchange::ExchangeError;
use crate::location::LocationError;
use slatevalve_blobs::BlobError;
use slatevalve_plugins::{Digest, ManifestProblem, VerifyError};
use std::error::Error;
use std::fmt;

/// Why a pull failed.
#[derive(Debug)]
pub enum PullError {
    /// The name or reference is not valid in a registry.
    Name(LocationError),
    /// A request was not completed.
    Exchange(ExchangeError),
    /// The registry does not serve the requested manifest or blob; holds `REPOSITORY:REFERENCE` or the
    /// digest, and the status.
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
    /// The content or a document exceeds its size limit; holds its size in bytes, as far as known.
    TooLarge(u64),
    /// The blob store failed. The received content is kept for the next pull.
    Store(BlobError),
}

impl PullError {
    /// The digest of the corrupt content, if that made the pull fail.
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
                write!(f, "the registry answered the request for {subject} with status {status}")
            }
            // The catalogue stores this text as the reason of the quarantine.
            PullError::Corrupt(digest, reason) => {
                write!(f, "the registry's content of {digest}: {reason}")
            }
            PullError::Document(e) => e.fmt(f),
            PullError::Manifest(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            PullError::OtherVersion { requested, found } => {
                write!(f, "{requested} was requested, but the plug-in's manifest names {found}")
            }
            PullError::TooLarge(bytes) => write!(f, "the content of {bytes} bytes exceeds the size limit"),
            PullError::Store(e) => write!(f, "the plug-in folder: {e}"),
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
