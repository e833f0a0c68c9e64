//! What a registry wants to know of a caller before it serves it (RFC 9110 section 11.6.1; the token protocol of
//! container registries: `Bearer realm=...,service=...,scope=...`).

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use std::fmt;
use url::Url;

/// Who the caller is, towards a registry.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The user's name.
    pub user: String,
    /// The password.
    pub password: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Credentials {{ user: {:?}, password: not shown }}", self.user)
    }
}

impl Credentials {
    /// The value of an `Authorization` header (RFC 7617).
    pub fn basic(&self) -> String {
        format!("Basic {}", STANDARD.encode(format!("{}:{}", self.user, self.password)))
    }
}

/// What a `WWW-Authenticate` header asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Challenge {
    /// Name and password.
    Basic,
    /// A token, to be had at a URL.
    Bearer {
        /// Where.
        realm: String,
        /// For which service.
        service: Option<String>,
        /// For what.
        scope: Option<String>,
    },
}

impl Challenge {
    /// Reads the header's value; of several schemes the first that is known.
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

    /// Where a token is asked for.
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

/// `name=token` and `name="quoted, \"text\""`, by commas; what is malformed ends the list.
fn parameters(text: &str) -> Vec<(String, String)> {
    let (mut found, mut rest) = (Vec::new(), text.trim());
    while let Some((name, after)) = rest.split_once('=') {
        let name = name.trim_matches([' ', ',', '\t']).to_string();
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => match unquote(quoted) {
                Some(unquoted) => unquoted,
                None => break,
            },
            None => {
                let end = after.find(',').unwrap_or(after.len());
                (after[..end].trim().to_string(), &after[end..])
            }
        };
        found.push((name, value));
        rest = left.trim_start_matches([' ', ',', '\t']);
    }
    found
}

/// The text up to the closing quote, and what follows it.
fn unquote(quoted: &str) -> Option<(String, &str)> {
    let (mut value, mut escaped) = (String::new(), false);
    for (at, c) in quoted.char_indices() {
        match c {
            _ if escaped => {
                value.push(c);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return Some((value, &quoted[at + 1..])),
            _ => value.push(c),
        }
    }
    None
}

#[derive(Deserialize)]
struct TokenAnswer {
    token: Option<String>,
    access_token: Option<String>,
}

/// The token in a token service's answer; one that could not stand in a header is none.
pub(crate) fn read_token(body: &[u8]) -> Option<String> {
    let answer: TokenAnswer = serde_json::from_slice(body).ok()?;
    let token = answer.token.or(answer.access_token)?;
    (!token.is_empty() && token.bytes().all(|b| b.is_ascii_graphic())).then_some(token)
}

#[cfg(test)]
mod tests;
