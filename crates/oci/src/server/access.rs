//! Access control: basic authentication (RFC 7617) and bearer tokens of the container registries' token
//! protocol.

use super::response::{Response, ServeResult};
use super::Registry;
use crate::challenge::Credentials;
use oci_spec::distribution::ErrorCode;
use slatevalve_http::Message;

/// Announced lifetime of a token, in seconds. The registry itself does not expire tokens.
const TOKEN_EXPIRES_IN_S: u32 = 300;

/// Access control of a registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// No authentication.
    #[default]
    Open,
    /// Basic authentication with this name and password.
    Basic(Credentials),
    /// Bearer tokens, which `/token` below this base URL issues for this name and password.
    Token(Credentials, String),
}

impl<F> Registry<F> {
    /// Checks the request's `Authorization` header; a rejection carries the challenge.
    pub(super) fn authorize(&self, request: &Message) -> Result<(), Response> {
        let (expected, challenge) = match &self.access {
            Access::Open => return Ok(()),
            Access::Basic(credentials) => (credentials.basic(), "Basic realm=\"registry\"".into()),
            Access::Token(_, address) => (
                format!("Bearer {}", self.token),
                format!("Bearer realm=\"{address}/token\",service=\"slatevalve\""),
            ),
        };
        if request.head.header("Authorization") == Some(&expected) {
            return Ok(());
        }
        Err(unauthorized().with_header("WWW-Authenticate", challenge))
    }

    /// Serves `/token`.
    pub(super) fn issue_token(&self, request: &Message) -> ServeResult {
        match &self.access {
            Access::Token(credentials, _)
                if request.head.header("Authorization") == Some(&credentials.basic()) =>
            {
                let token = serde_json::json!({"token": self.token, "expires_in": TOKEN_EXPIRES_IN_S});
                Ok(Response::json(200, &token))
            }
            _ => Err(unauthorized()),
        }
    }
}

fn unauthorized() -> Response {
    Response::error(401, ErrorCode::Unauthorized, "who are you?")
}
