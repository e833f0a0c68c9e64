//! Errors of a registry's folder.

use super::DOCUMENT;
use slatevalve_blobs::BlobError;
use std::error::Error;
use std::fmt;

/// Why a registry's folder cannot be read or written.
#[derive(Debug)]
pub enum RegistryError {
    /// The blob store failed.
    Store(BlobError),
    /// The document of repositories cannot be parsed.
    Document(serde_json::Error),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegistryError::Store(e) => write!(f, "the registry's folder: {e}"),
            RegistryError::Document(e) => write!(f, "cannot parse {DOCUMENT}: {e}"),
        }
    }
}

impl Error for RegistryError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            RegistryError::Store(e) => Some(e),
            RegistryError::Document(e) => Some(e),
        }
    }
}

impl From<BlobError> for RegistryError {
    fn from(e: BlobError) -> Self {
        RegistryError::Store(e)
    }
}

impl From<serde_json::Error> for RegistryError {
    fn from(e: serde_json::Error) -> Self {
        RegistryError::Document(e)
    }
}
