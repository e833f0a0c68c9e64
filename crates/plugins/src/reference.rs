//! What a call asks for: `name`, `name@alias`, `name@version` or `name@sha256:...`.

use crate::digest::{Digest, DigestError};
use std::fmt;
use std::str::FromStr;

/// Longest name, alias or version, in bytes.
const MAX_WORD: usize = 128;

/// A reference to the rules of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// The function.
    pub name: String,
    /// Which of its versions.
    pub selector: Selector,
}

/// Which version of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// What `current` means.
    Current,
    /// What an alias means, or a version.
    AliasOrVersion(String),
    /// Just this content.
    Digest(Digest),
}

/// Why a text is no reference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReferenceError {
    /// The name is empty, too long or has characters other than letters, digits and `-_./`.
    Name,
    /// The same of an alias or version.
    AliasOrVersion,
    /// The digest.
    Digest(DigestError),
}

impl fmt::Display for ReferenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReferenceError::Name => f.write_str("a name is made of letters, digits and -_./, 128 at most"),
            ReferenceError::AliasOrVersion => {
                f.write_str("an alias or version is made of letters, digits and -_., 128 at most")
            }
            ReferenceError::Digest(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ReferenceError {}

fn is_word(text: &str, also: &[u8]) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b) || also.contains(&b);
    (1..=MAX_WORD).contains(&text.len()) && text.bytes().all(good)
}

impl Reference {
    /// Whether a text may be a function's name: no empty or dotted path segments.
    pub fn is_name(text: &str) -> bool {
        is_word(text, b"/") && text.split('/').all(|s| !s.is_empty() && s != "." && s != "..")
    }

    /// Whether a text may be an alias or a version.
    pub fn is_alias_or_version(text: &str) -> bool {
        is_word(text, b"")
    }
}

impl FromStr for Reference {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self, ReferenceError> {
        let (name, selector) = match text.split_once('@') {
            None => (text, Selector::Current),
            Some((name, word)) if word.contains(':') => {
                (name, Selector::Digest(word.parse().map_err(ReferenceError::Digest)?))
            }
            Some((name, word)) if Reference::is_alias_or_version(word) => {
                (name, Selector::AliasOrVersion(word.into()))
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
            Selector::AliasOrVersion(word) => write!(f, "{}@{word}", self.name),
            Selector::Digest(digest) => write!(f, "{}@{digest}", self.name),
        }
    }
}

#[cfg(test)]
mod tests;
