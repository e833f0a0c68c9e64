//! Encoding of requests as HTTP/1.1 messages.

use super::{Call, WorkerRequest};
use crate::headers;
use crate::tensor::{self, EncodedTensor, TensorList};
use crate::text_encoding::{hex_encode, percent_encode};
use serde_json::{json, Value};

const JSON: &str = "application/json";
const BINARY: &str = "application/octet-stream";

/// The parts of a message that differ between requests.
struct MessageParts {
    method: &'static str,
    path: String,
    /// Headers that only some requests have, in the order of transmission.
    headers: Vec<(&'static str, String)>,
    content_type: &'static str,
    body: Vec<u8>,
}

impl MessageParts {
    fn post_json(path: String, body: &Value) -> Self {
        let body = body.to_string().into_bytes();
        MessageParts { method: "POST", path, headers: Vec::new(), content_type: JSON, body }
    }
}

impl WorkerRequest {
    /// Encodes the request. `host` is the worker's address and `gateway` the sender's name. Neither may
    /// contain line breaks; this is validated when the settings are read.
    #[must_use]
    pub fn encode(&self, host: &str, gateway: &str) -> Vec<u8> {
        let MessageParts { method, path, headers, content_type, body } = self.message_parts();
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
        head.push_str(&format!("{}: {gateway}\r\n", headers::GATEWAY));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Type: {content_type}\r\n"));
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        bytes
    }

    fn message_parts(&self) -> MessageParts {
        match self {
            WorkerRequest::Infer(call) => infer(call),
            WorkerRequest::Load { function, copies } => {
                let body = json!({"parameters": {"copies": copies}});
                MessageParts::post_json(repository_path(function, "load"), &body)
            }
            WorkerRequest::Count { function } => {
                MessageParts::post_json("/v2/repository/index".into(), &json!({"name": function}))
            }
            WorkerRequest::Unload { function } => {
                MessageParts::post_json(repository_path(function, "unload"), &json!({}))
            }
            WorkerRequest::Ready => MessageParts {
                method: "GET",
                path: "/v2/health/ready".into(),
                headers: Vec::new(),
                content_type: JSON,
                body: Vec::new(),
            },
        }
    }
}

fn repository_path(function: &str, operation: &str) -> String {
    format!("/v2/repository/models/{}/{operation}", percent_encode(function))
}

fn infer(call: &Call) -> MessageParts {
    let document = json!({
        "id": call.request_id,
        "outputs": [{"name": "payload", "parameters": {"binary_data": true}}],
    });
    let EncodedTensor { body, json_length } = tensor::encode(TensorList::Inputs, document, &call.payload);
    MessageParts {
        method: "POST",
        path: infer_path(call),
        headers: infer_headers(call, json_length),
        content_type: BINARY,
        body,
    }
}

fn infer_path(call: &Call) -> String {
    let function = percent_encode(&call.function);
    match &call.version {
        Some(version) => format!("/v2/models/{function}/versions/{}/infer", percent_encode(version)),
        None => format!("/v2/models/{function}/infer"),
    }
}

fn infer_headers(call: &Call, json_length: usize) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        (headers::JSON_LENGTH, json_length.to_string()),
        (headers::REQUEST_ID, percent_encode(&call.request_id)),
        (headers::ATTEMPT, call.attempt.to_string()),
        (headers::TIME_REMAINING, call.time_remaining_ms.to_string()),
        (headers::CLASS, percent_encode(&call.class)),
    ];
    if !call.settings.is_empty() {
        let versions: Vec<String> = call.settings.iter().map(u64::to_string).collect();
        headers.push((headers::SETTINGS, versions.join(",")));
    }
    if let Some(key) = &call.key {
        headers.push((headers::KEY, hex_encode(key)));
    }
    headers
}
