//! Errors of the `settings` sub-commands.

use std::error::Error;
use std::fmt;

/// Why a `settings` sub-command failed, apart from errors in documents and of the registry.
#[derive(Debug)]
pub(super) enum SettingsError {
    /// The registry holds no state.
    NothingPublished,
    /// Another writer changed the same entries.
    Conflict,
    /// The write of the document with this number failed; after a lost response it may be published
    /// nevertheless.
    NotPublished { number: u64, source: Box<dyn Error> },
    /// Another command withdrew the change while this one was driving it.
    Withdrawn,
    /// There is no document with this number.
    NoDocument(u64),
    /// The router with this name holds no lease.
    NoLease(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NothingPublished => f.write_str("no document has been published yet"),
            SettingsError::Conflict => f.write_str(
                "another writer changed the settings at the same time; check the status and try again",
            ),
            SettingsError::NotPublished { number, source } => {
                write!(f, "document {number} may not have been published: {source}")
            }
            SettingsError::Withdrawn => f.write_str("the change was withdrawn by another command"),
            SettingsError::NoDocument(number) => write!(f, "document {number} does not exist"),
            SettingsError::NoLease(name) => write!(f, "router {name} has no lease in the registry"),
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
