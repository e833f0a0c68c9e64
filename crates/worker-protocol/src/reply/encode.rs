//! Encoding of replies as HTTP/1.1 messages.

use super::Reply;
use crate::tensor::{self, EncodedTensor, TensorList};
use crate::{headers, LoadReport};
use serde_json::json;

const OK: &str = "200 OK";
const BAD_REQUEST: &str = "400 Bad Request";
const NOT_FOUND: &str = "404 Not Found";
const INTERNAL_SERVER_ERROR: &str = "500 Internal Server Error";
const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";

/// The parts of a message that differ between replies.
struct MessageParts {
    /// Status code and reason phrase.
    status: &'static str,
    /// Headers that only some replies have, in the order of transmission.
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl MessageParts {
    fn new(status: &'static str, body: &str) -> Self {
        MessageParts { status, headers: Vec::new(), body: body.into() }
    }

    fn error(status: &'static str, message: &str) -> Self {
        Self::new(status, &json!({ "error": message }).to_string())
    }

    fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

impl Reply {
    /// Encodes the reply; the load report and the queue depth are sent as headers if given.
    #[must_use]
    pub fn encode(&self, load: Option<LoadReport>, queue_depth: Option<u64>) -> Vec<u8> {
        let MessageParts { status, mut headers, body } = self.message_parts();
        headers.extend(queue_depth.map(|depth| (headers::QUEUE_DEPTH, depth.to_string())));
        headers.extend(load.map(|report| (headers::LOAD, report.to_header())));
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            // Line breaks in a value would end the header early; all control characters are removed.
            let value: String = value.chars().filter(|character| !character.is_control()).collect();
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        bytes
    }

    fn message_parts(&self) -> MessageParts {
        match self {
            Reply::Served { payload, ran } => served(payload, ran.as_deref()),
            Reply::Failed(message) => MessageParts::error(INTERNAL_SERVER_ERROR, message),
            Reply::Full => MessageParts::error(SERVICE_UNAVAILABLE, "full")
                .with_header(headers::NOT_EXECUTED, headers::NOT_EXECUTED_FULL),
            Reply::Miss => MessageParts::error(NOT_FOUND, "not loaded")
                .with_header(headers::NOT_EXECUTED, headers::NOT_EXECUTED_MISS),
            Reply::Copies(copies) => {
                MessageParts::new(OK, "[]").with_header(headers::COPIES, copies.to_string())
            }
            Reply::NoRoom => MessageParts::error(SERVICE_UNAVAILABLE, "no room")
                .with_header(headers::NOT_EXECUTED, headers::NOT_EXECUTED_FULL),
            Reply::LoadFailed => MessageParts::error(INTERNAL_SERVER_ERROR, "the load failed")
                .with_header(headers::LOAD_FAILED, headers::LOAD_FAILED_TRUE),
            Reply::Ready => MessageParts::new(OK, "{}"),
            Reply::BadRequest(message) => MessageParts::error(BAD_REQUEST, message),
        }
    }
}

fn served(payload: &[u8], ran: Option<&str>) -> MessageParts {
    let document = json!({"model_name": ""});
    let EncodedTensor { body, json_length } = tensor::encode(TensorList::Outputs, document, payload);
    let mut headers = vec![(headers::JSON_LENGTH, json_length.to_string())];
    headers.extend(ran.map(|ran| (headers::RAN, ran.to_string())));
    MessageParts { status: OK, headers, body }
}
