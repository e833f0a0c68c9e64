//! Responses of the registry, their error bodies and their HTTP/1.1 encoding (distribution specification,
//! "Error Codes").

use oci_spec::distribution::{ErrorCode, ErrorInfoBuilder, ErrorResponseBuilder};
use serde::Serialize;
use slatevalve_blobs::BlobError;
use std::fmt;

/// A response before its encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

/// The response to a request; an error response is the `Err` variant, so that handlers can use `?`.
pub(super) type ServeResult = Result<Response, Response>;

impl Response {
    pub(super) fn new(status: u16) -> Self {
        Response { status, ..Response::default() }
    }

    #[must_use]
    pub(super) fn with_header(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    #[must_use]
    pub(super) fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// A JSON document with the media type `application/json`.
    pub(super) fn json(status: u16, value: &impl Serialize) -> Self {
        Response::json_as("application/json", status, value)
    }

    /// A JSON document with another media type.
    pub(super) fn json_as(media_type: impl fmt::Display, status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response::new(status).with_header("Content-Type", media_type).with_body(body)
    }

    /// An error with the JSON body that the specification defines.
    pub(super) fn error(status: u16, code: ErrorCode, message: &str) -> Self {
        let info = ErrorInfoBuilder::default().code(code).message(message).build();
        let body = info.ok().and_then(|info| ErrorResponseBuilder::default().errors(vec![info]).build().ok());
        body.map_or(Response::new(status), |body| Response::json(status, &body))
    }

    pub(super) fn unknown_blob() -> Self {
        Response::error(404, ErrorCode::BlobUnknown, "no such blob")
    }

    pub(super) fn invalid_digest(reason: impl fmt::Display) -> Self {
        Response::error(400, ErrorCode::DigestInvalid, &reason.to_string())
    }

    /// Encodes the response; `with_body` is false for a response to HEAD.
    pub(super) fn encode(&self, with_body: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        let has_length = self.headers.iter().any(|(name, _)| *name == "Content-Length");
        if !has_length && self.status != 204 {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "Docker-Distribution-API-Version: registry/2.0\r\n\r\n";
        let mut bytes = head.into_bytes();
        if with_body {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

impl From<BlobError> for Response {
    fn from(e: BlobError) -> Self {
        match e {
            BlobError::Missing => Response::unknown_blob(),
            BlobError::Corrupt(reason) => Response::invalid_digest(reason),
            BlobError::Disk(e) => Response::error(507, ErrorCode::Unsupported, &e.to_string()),
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        429 => "Too Many Requests",
        507 => "Insufficient Storage",
        _ => "Error",
    }
}
