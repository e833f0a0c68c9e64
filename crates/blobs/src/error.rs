//! Errors of the store.

use slatevalve_plugins::VerifyError;
use std::error::Error;
use std::fmt;
use std::io;

/// Why a blob or document cannot be read or stored.
#[derive(Debug)]
pub enum BlobError {
    /// The blob or document does not exist.
    Missing,
    /// The content does not match its digest or size.
    Corrupt(VerifyError),
    /// A file operation failed. If it failed for lack of space, the bytes written before are kept and the
    /// blob can be resumed.
    Disk(io::Error),
}

impl fmt::Display for BlobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlobError::Missing => f.write_str("no such blob or document in the store"),
            BlobError::Corrupt(e) => e.fmt(f),
            BlobError::Disk(e) => write!(f, "a file operation of the store failed: {e}"),
        }
    }
}

impl Error for BlobError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            BlobError::Missing => None,
            BlobError::Corrupt(e) => Some(e),
            BlobError::Disk(e) => Some(e),
        }
    }
}

impl From<io::Error> for BlobError {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::NotFound => BlobError::Missing,
            _ => BlobError::Disk(e),
        }
    }
}

impl From<VerifyError> for BlobError {
    fn from(e: VerifyError) -> Self {
        BlobError::Corrupt(e)
    }
}
