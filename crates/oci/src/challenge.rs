//! Authentication challenges and credentials of registries (RFC 9110 section 11.6.1; RFC 7617; the token
//! protocol of container registries: `Bearer realm=...,service=...,scope=...`).

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::fmt;
use url::Url;

/// Name and password for a registry, set by the operator. `Debug` does not show the password.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// Sent before the colon of basic authentication, so it must not hold one.
    pub user: String,
    /// Sent to the registry or its token service only.
    pub password: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Credentials {{ user: {:?}, password: not shown }}", self.user)
    }
}

impl Credentials {
    /// The value of an `Authorization` header (RFC 7617).
    #[must_use]
    pub fn basic(&self) -> String {
        format!("Basic {}", STANDARD.encode(format!("{}:{}", self.user, self.password)))
    }
}

/// A challenge of a `WWW-Authenticate` header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Challenge {
    /// Name and password are required.
    Basic,
    /// A token that a token service issues is required.
    Bearer {
        /// The URL of the token service.
        realm: String,
        /// Name of the registry, passed on to the token service.
        service: Option<String>,
        /// Requested access, such as `repository:fare:pull`, passed on to the token service.
        scope: Option<String>,
    },
}

impl Challenge {
    /// Parses the value of a `WWW-Authenticate` header; `None` where its scheme is not supported or it is
    /// malformed.
    pub fn parse(value: &str) -> Option<Self> {
        let (scheme, rest) = value.trim().split_once(' ').unwrap_or((value.trim(), ""));
        if scheme.eq_ignore_ascii_case("basic") {
            return Some(Challenge::Basic);
        }
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let (mut realm, mut service, mut scope) = (None, None, None);
        for (name, value) in parameters(rest) {
            match name.to_ascii_lowercase().as_str() {
                "realm" => realm = Some(value),
                "service" => service = Some(value),
                "scope" => scope = Some(value),
                _ => {}
            }
        }
        Some(Challenge::Bearer { realm: realm?, service, scope })
    }

    /// The URL of the token request; `None` unless this is a bearer challenge with an `http` realm.
    pub fn token_url(&self) -> Option<Url> {
        let Challenge::Bearer { realm, service, scope } = self else { return None };
        let mut url = Url::parse(realm).ok().filter(|u| u.scheme() == "http" && u.host().is_some())?;
        for (name, value) in [("service", service), ("scope", scope)] {
            if let Some(value) = value {
                url.query_pairs_mut().append_pair(name, value);
            }
        }
        Some(url)
    }
}

/// Parses a list of `name=token` and `name="quoted, \"text\""`, separated by commas; stops at the first
/// malformed parameter.
fn parameters(text: &str) -> Vec<(String, String)> {
    let (mut parsed, mut remaining) = (Vec::new(), text.trim());
    while let Some((name, after)) = remaining.split_once('=') {
        let name = name.trim_matches([' ', ',', '\t']).to_string();
        let (value, tail) = match after.strip_prefix('"') {
            Some(quoted) => match unquote(quoted) {
                Some(unquoted) => unquoted,
                None => break,
            },
            None => {
                let end = after.find(',').unwrap_or(after.len());
                (after[..end].trim().to_string(), &after[end..])
            }
        };
        parsed.push((name, value));
        remaining = tail.trim_start_matches([' ', ',', '\t']);
    }
    parsed
}

/// Returns the unescaped text up to the closing quote, and the text after it; `None` without a closing quote.
fn unquote(quoted: &str) -> Option<(String, &str)> {
    let (mut value, mut escaped) = (String::new(), false);
    for (index, character) in quoted.char_indices() {
        match character {
            _ if escaped => {
                value.push(character);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return Some((value, &quoted[index + 1..])),
            _ => value.push(character),
        }
    }
    None
}

/// A token service's response; services use either name for the token.
#[derive(Deserialize)]
struct TokenResponse {
    token: Option<String>,
    access_token: Option<String>,
}

/// Parses the token of a token service's response; `None` where there is none or it is not valid in a header.
pub(crate) fn read_token(body: &[u8]) -> Option<String> {
    let response: TokenResponse = serde_json::from_slice(body).ok()?;
    let token = response.token.or(response.access_token)?;
    (!token.is_empty() && token.bytes().all(|b| b.is_ascii_graphic())).then_some(token)
}

#[cfg(test)]
mod tests;
