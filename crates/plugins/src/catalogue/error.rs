//! Why the catalogue refuses an operation.

use crate::digest::Digest;
use std::fmt;

/// Why something cannot be done or found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogueError {
    /// No such function.
    UnknownFunction(String),
    /// No such version or alias.
    UnknownVersion(String),
    /// The version was published with other content; versions never change.
    VersionTaken(Digest),
    /// An alias and a version may not have the same name.
    NameTaken(String),
    /// Not all of its content is here.
    Partial(String),
    /// It is in quarantine.
    Quarantined(String),
    /// No key of the list vouches for it.
    Unsigned(String),
    /// It claims what its tenant, or nobody, may at this site.
    NotAllowed(String),
    /// Somebody else moved the alias in between; it is at this revision now.
    Stale(u64),
    /// An alias means this version.
    InUse(String),
    /// A name, alias or version that cannot be one.
    BadName(String),
}

impl fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogueError::UnknownFunction(name) => write!(f, "there is no plug-in {name}"),
            CatalogueError::UnknownVersion(name) => write!(f, "there is no version or alias {name}"),
            CatalogueError::VersionTaken(digest) => {
                write!(f, "this version is published already, as {digest}")
            }
            CatalogueError::NameTaken(name) => write!(f, "{name} is an alias or a version already"),
            CatalogueError::Partial(version) => write!(f, "not all of version {version} is here"),
            CatalogueError::Quarantined(reason) => write!(f, "in quarantine: {reason}"),
            CatalogueError::Unsigned(version) => {
                write!(f, "no key of the list has signed version {version}")
            }
            CatalogueError::NotAllowed(words) => f.write_str(words),
            CatalogueError::Stale(revision) => {
                write!(f, "somebody else moved this alias in between; it is at revision {revision}")
            }
            CatalogueError::InUse(alias) => write!(f, "alias {alias} means this version"),
            CatalogueError::BadName(name) => write!(f, "{name:?} cannot be a name here"),
        }
    }
}

impl std::error::Error for CatalogueError {}
