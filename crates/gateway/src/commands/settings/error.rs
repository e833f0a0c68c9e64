//! Errors of the `settings` sub-commands.

use std::error::Error;
use std::fmt;

/// Why a `settings` sub-command failed, beside faults of documents and of the registry.
#[derive(Debug)]
pub(super) enum SettingsError {
    /// The registry holds no state.
    NothingPublished,
    /// Another writer changed the same entries.
    Conflict,
    /// The document with this number was not published.
    NotPublished { number: u64, source: Box<dyn Error> },
    /// The change was withdrawn while it was driven.
    Withdrawn,
    /// There is no document with this number.
    NoDocument(u64),
    /// The router with this name holds no lease.
    NoLease(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NothingPublished => f.write_str("nothing was published yet"),
            SettingsError::Conflict => {
                f.write_str("somebody else changed it at the same time; look at the status and try again")
            }
            SettingsError::NotPublished { number, source } => {
                write!(f, "document {number} may not be published: {source}")
            }
            SettingsError::Withdrawn => f.write_str("the change was taken back by somebody else"),
            SettingsError::NoDocument(number) => write!(f, "there is no document {number}"),
            SettingsError::NoLease(name) => write!(f, "{name} has no right to act in the registry"),
        }
    }
}

impl Error for SettingsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            SettingsError::NotPublished { source, .. } => Some(source.as_ref()),
            _ => None,
        }
    }
}
