//! Where a registry is, and the names that it takes (distribution specification, "Pulling manifests": grammar of names
//! and references).

use std::fmt;
use url::Url;

/// Longest tag (the specification's own limit) and repository name (what common registries take), in bytes.
const MAX_TAG: usize = 128;
const MAX_NAME: usize = 255;

/// A registry and the path below which plug-ins lie in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    base: Url,
    prefix: String,
}

/// Why a text is no registry's address, or a name none that it could hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocationError {
    /// No URL.
    Url(String),
    /// Not `http`; other schemes are not spoken yet.
    Scheme(String),
    /// A query, fragment, user or no host.
    Extra,
    /// A repository name that registries do not take.
    Repository(String),
    /// A tag that registries do not take.
    Tag(String),
}

impl fmt::Display for LocationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LocationError::Url(words) => write!(f, "no address of a registry: {words}"),
            LocationError::Scheme(scheme) => write!(f, "{scheme} is not spoken to registries, only http"),
            LocationError::Extra => {
                f.write_str("a registry's address is http://HOST[:PORT][/PREFIX] and no more")
            }
            LocationError::Repository(name) => write!(
                f,
                "a registry takes no name {name:?}: lower-case letters and digits, with single . _ - between"
            ),
            LocationError::Tag(tag) => write!(f, "a registry takes no tag {tag:?}"),
        }
    }
}

impl std::error::Error for LocationError {}

impl Location {
    /// Reads `http://HOST[:PORT][/PREFIX]`.
    ///
    /// # Errors
    /// When it is anything else.
    pub fn parse(text: &str) -> Result<Self, LocationError> {
        let url = Url::parse(text).map_err(|e| LocationError::Url(e.to_string()))?;
        if url.scheme() != "http" {
            return Err(LocationError::Scheme(url.scheme().into()));
        }
        let extra = url.query().is_some() || url.fragment().is_some() || !url.username().is_empty();
        if extra || url.password().is_some() || url.host().is_none() {
            return Err(LocationError::Extra);
        }
        let prefix = url.path().trim_matches('/').to_string();
        if !prefix.is_empty() && !is_repository(&prefix) {
            return Err(LocationError::Repository(prefix));
        }
        let mut base = url;
        base.set_path("/");
        Ok(Location { base, prefix })
    }

    /// The repository of a plug-in.
    ///
    /// # Errors
    /// When registries take no such name.
    pub fn repository(&self, name: &str) -> Result<String, LocationError> {
        let full = if self.prefix.is_empty() { name.to_string() } else { format!("{}/{name}", self.prefix) };
        match is_repository(&full) {
            true => Ok(full),
            false => Err(LocationError::Repository(full)),
        }
    }

    /// A path below `/v2/`.
    pub(crate) fn url(&self, path: &str) -> Url {
        let mut url = self.base.clone();
        let (path, query) = path.split_once('?').map_or((path, None), |(p, q)| (p, Some(q)));
        url.set_path(&format!("/v2/{path}"));
        url.set_query(query);
        url
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.base, self.prefix)
    }
}

/// `[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*(\/[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*)*`
pub(crate) fn is_repository(name: &str) -> bool {
    let component = |part: &str| {
        let bytes = part.as_bytes();
        let word = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
        let ends = bytes.first().copied().is_some_and(word) && bytes.last().copied().is_some_and(word);
        let separators = part.split(|c: char| word(c as u8) && c.is_ascii()).filter(|s| !s.is_empty());
        ends && separators.into_iter().all(|s| matches!(s, "." | "_" | "__") || s.bytes().all(|b| b == b'-'))
    };
    name.len() <= MAX_NAME && name.split('/').all(component)
}

/// `[a-zA-Z0-9_][a-zA-Z0-9._-]{0,127}`
pub(crate) fn is_tag(tag: &str) -> bool {
    let word = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
    let first = tag.bytes().next().is_some_and(word);
    first && tag.len() <= MAX_TAG && tag.bytes().all(|b| word(b) || b == b'.' || b == b'-')
}

#[cfg(test)]
mod tests;
