//! The address of a registry, and the grammar of repository names and tags (distribution specification,
//! "Pulling manifests").

use std::error::Error;
use std::fmt;
use url::Url;

/// Limit of a tag's length in bytes, from the specification.
const MAX_TAG: usize = 128;
/// Limit of a repository name's length in bytes, which common registries apply.
const MAX_NAME: usize = 255;

/// The address of a registry, and the prefix of the repositories of plug-ins in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    base: Url,
    prefix: String,
}

/// Why the address of a registry, or a repository name or tag, is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocationError {
    /// Not a URL.
    Url(url::ParseError),
    /// A scheme other than `http`; holds the scheme.
    Scheme(String),
    /// The URL has a query, a fragment, a user or password, or no host.
    UnsupportedPart,
    /// Violates the grammar of repository names or exceeds their length; holds the name.
    Repository(String),
    /// Violates the grammar of tags; holds the tag.
    Tag(String),
}

impl fmt::Display for LocationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LocationError::Url(e) => write!(f, "invalid registry address: {e}"),
            LocationError::Scheme(scheme) => {
                write!(f, "unsupported scheme {scheme:?} of a registry address: only http is supported")
            }
            LocationError::UnsupportedPart => f.write_str(
                "a registry address has the form http://HOST[:PORT][/PREFIX], without user, query or fragment",
            ),
            LocationError::Repository(name) => write!(
                f,
                "invalid repository name {name:?}: it consists of lower-case letters and digits, separated by \
                 /, ., _, __ or hyphens, {MAX_NAME} bytes at most"
            ),
            LocationError::Tag(tag) => write!(
                f,
                "invalid tag {tag:?}: it consists of letters, digits, _, . and -, does not begin with . or - \
                 and has {MAX_TAG} bytes at most"
            ),
        }
    }
}

impl Error for LocationError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            LocationError::Url(e) => Some(e),
            LocationError::Scheme(_)
            | LocationError::UnsupportedPart
            | LocationError::Repository(_)
            | LocationError::Tag(_) => None,
        }
    }
}

impl From<url::ParseError> for LocationError {
    fn from(e: url::ParseError) -> Self {
        LocationError::Url(e)
    }
}

impl Location {
    /// Parses `http://HOST[:PORT][/PREFIX]`.
    ///
    /// # Errors
    /// When the text has another form.
    pub fn parse(text: &str) -> Result<Self, LocationError> {
        let url = Url::parse(text)?;
        if url.scheme() != "http" {
            return Err(LocationError::Scheme(url.scheme().into()));
        }
        let extra = url.query().is_some() || url.fragment().is_some() || !url.username().is_empty();
        if extra || url.password().is_some() || url.host().is_none() {
            return Err(LocationError::UnsupportedPart);
        }
        let prefix = url.path().trim_matches('/').to_string();
        if !prefix.is_empty() && !is_repository(&prefix) {
            return Err(LocationError::Repository(prefix));
        }
        let mut base = url;
        base.set_path("/");
        Ok(Location { base, prefix })
    }

    /// The full repository name of a plug-in: the prefix and the plug-in's name.
    ///
    /// # Errors
    /// [`LocationError::Repository`] when the name is not valid in a registry.
    pub fn repository(&self, name: &str) -> Result<String, LocationError> {
        let full = if self.prefix.is_empty() { name.to_string() } else { format!("{}/{name}", self.prefix) };
        match is_repository(&full) {
            true => Ok(full),
            false => Err(LocationError::Repository(full)),
        }
    }

    /// The URL of a path below `/v2/`; the path may have a query.
    pub(crate) fn url(&self, path: &str) -> Url {
        let mut url = self.base.clone();
        let (path, query) = path.split_once('?').map_or((path, None), |(path, query)| (path, Some(query)));
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

/// Whether a name matches `[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*(\/[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*)*`
pub(crate) fn is_repository(name: &str) -> bool {
    name.len() <= MAX_NAME && name.split('/').all(is_repository_component)
}

fn is_repository_component(component: &str) -> bool {
    let is_alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let is_separator = |text: &str| matches!(text, "." | "_" | "__") || text.bytes().all(|b| b == b'-');
    let mut separators = component.split(is_alphanumeric).filter(|text| !text.is_empty());
    component.starts_with(is_alphanumeric)
        && component.ends_with(is_alphanumeric)
        && separators.all(is_separator)
}

/// Whether a tag matches `[a-zA-Z0-9_][a-zA-Z0-9._-]{0,127}`
pub(crate) fn is_tag(tag: &str) -> bool {
    let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
    let is_allowed = |b: u8| is_word(b) || b == b'.' || b == b'-';
    tag.len() <= MAX_TAG && tag.bytes().next().is_some_and(is_word) && tag.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;
