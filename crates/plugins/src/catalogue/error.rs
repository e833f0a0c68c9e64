//! Errors of the catalogue.

use crate::digest::Digest;
use std::fmt;

/// Why the catalogue refuses an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogueError {
    /// There is no function of this name.
    UnknownFunction(String),
    /// There is no version or alias of this name, or none that matches this reference.
    UnknownVersion(String),
    /// The version exists with this other digest; versions never change.
    VersionTaken(Digest),
    /// The name is taken: an alias and a version of a function may not share one.
    NameTaken(String),
    /// Content of this version is missing.
    Partial(String),
    /// The version is in quarantine, for this reason.
    Quarantined(String),
    /// No key of the admission policy has signed this version.
    Unsigned(String),
    /// The manifest names a class that does not exist here, has another effect, or is not allowed for its
    /// tenant.
    NotAllowed(String),
    /// The alias was moved concurrently and is now at this revision.
    Stale(u64),
    /// The version cannot be deleted, as this alias means it.
    InUse(String),
    /// A malformed function name, alias or version.
    BadName(String),
}

impl fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogueError::UnknownFunction(name) => write!(f, "there is no plug-in {name}"),
            CatalogueError::UnknownVersion(name) => write!(f, "there is no version or alias {name}"),
            CatalogueError::VersionTaken(digest) => {
                write!(f, "this version is already published with digest {digest}")
            }
            CatalogueError::NameTaken(name) => {
                write!(f, "{name} is already the name of an alias or a version")
            }
            CatalogueError::Partial(version) => write!(f, "content of version {version} is missing"),
            CatalogueError::Quarantined(reason) => write!(f, "in quarantine: {reason}"),
            CatalogueError::Unsigned(version) => {
                write!(f, "no key of the list has signed version {version}")
            }
            CatalogueError::NotAllowed(message) => f.write_str(message),
            CatalogueError::Stale(revision) => {
                write!(f, "somebody else moved this alias in between; it is at revision {revision}")
            }
            CatalogueError::InUse(alias) => write!(f, "alias {alias} means this version"),
            CatalogueError::BadName(name) => write!(f, "{name:?} is not a valid name"),
        }
    }
}

impl std::error::Error for CatalogueError {}
