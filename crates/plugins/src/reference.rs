//! References to versions of functions: `name`, `name@alias`, `name@version` or `name@sha256:...`.

use crate::digest::{Digest, DigestError};
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name, alias or version, in bytes.
const MAX_LENGTH: usize = 128;

/// A reference to a version of a function, as a call names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// Name of the function.
    pub name: String,
    /// Selects one of its versions.
    pub selector: Selector,
}

/// Which version of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// The version that the alias `current` means; written as the name alone.
    Current,
    /// The version that this alias means, or the version of this name.
    AliasOrVersion(String),
    /// The version whose manifest has this digest.
    Digest(Digest),
}

/// Why a text is not a reference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReferenceError {
    /// The name is empty or too long, has an empty or dotted path segment, or has characters other than ASCII
    /// letters, digits and `-_./`.
    Name,
    /// The alias or version is empty, too long, or has characters other than ASCII letters, digits and `-_.`.
    AliasOrVersion,
    /// The digest is malformed or of an unsupported algorithm.
    Digest(DigestError),
}

impl fmt::Display for ReferenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReferenceError::Name => f.write_str(
                "a name must consist of 1 to 128 letters, digits and -_./, without empty or dotted segments",
            ),
            ReferenceError::AliasOrVersion => {
                f.write_str("an alias or version must consist of 1 to 128 letters, digits and -_.")
            }
            ReferenceError::Digest(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ReferenceError {}

fn is_label(text: &str, extra: &[u8]) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b) || extra.contains(&b);
    (1..=MAX_LENGTH).contains(&text.len()) && text.bytes().all(is_allowed)
}

impl Reference {
    /// Whether `text` is a valid function name; empty, `.` and `..` path segments are not allowed.
    pub fn is_name(text: &str) -> bool {
        is_label(text, b"/") && text.split('/').all(|s| !s.is_empty() && s != "." && s != "..")
    }

    /// Whether `text` is a valid alias or version name.
    pub fn is_alias_or_version(text: &str) -> bool {
        is_label(text, b"")
    }
}

impl FromStr for Reference {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self, ReferenceError> {
        let (name, selector) = match text.split_once('@') {
            None => (text, Selector::Current),
            Some((name, label)) if label.contains(':') => {
                (name, Selector::Digest(label.parse().map_err(ReferenceError::Digest)?))
            }
            Some((name, label)) if Reference::is_alias_or_version(label) => {
                (name, Selector::AliasOrVersion(label.into()))
            }
            Some(_) => return Err(ReferenceError::AliasOrVersion),
        };
        if !Reference::is_name(name) {
            return Err(ReferenceError::Name);
        }
        Ok(Reference { name: name.into(), selector })
    }
}

impl fmt::Display for Reference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.selector {
            Selector::Current => f.write_str(&self.name),
            Selector::AliasOrVersion(label) => write!(f, "{}@{label}", self.name),
            Selector::Digest(digest) => write!(f, "{}@{digest}", self.name),
        }
    }
}

#[cfg(test)]
mod tests;
