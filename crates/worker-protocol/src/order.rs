//! What the gateway asks of a worker, as requests: encoded by the gateway, read by the stand-in worker.

use crate::{headers, tensor, TensorError};
use serde_json::{json, Value};
use slatevalve_http::Message;
use std::fmt;
use std::fmt::Write as _;

/// A call of a function, as it goes to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Call {
    /// The function, a name without `/`.
    pub function: String,
    /// The version asked for; `None` for the worker's current one.
    pub version: Option<String>,
    /// The payload, passed through untouched.
    pub payload: Vec<u8>,
    /// The key by which workers drop repeats; keyed and unsafe classes have one.
    pub key: Option<Vec<u8>>,
    /// The gateway's number of the call.
    pub request_id: String,
    /// Which attempt this is, from 0.
    pub attempt: usize,
    /// Milliseconds until the client gives up.
    pub time_left_ms: u64,
    /// The class's name.
    pub class: String,
    /// The numbers of the settings documents that it is sent by; one, or two while a change is prepared, or none.
    pub settings: Vec<u64>,
}

/// What the gateway asks of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Run a call.
    Infer(Call),
    /// Hold copies of a function.
    Load {
        /// Which function.
        function: String,
        /// How many copies.
        copies: u32,
    },
    /// Tell how many copies of a function stand.
    Count {
        /// Which function.
        function: String,
    },
    /// Unload the idle copies of a function.
    Unload {
        /// Which function.
        function: String,
    },
    /// Tell how you are.
    Ready,
}

/// Why a request is no order of this profile; the worker answers 400 or 404 without the never-ran header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No such method and path.
    Unknown(String),
    /// A header is missing or malformed.
    Header(&'static str),
    /// The payload.
    Tensor(TensorError),
    /// The JSON body lacks what it must hold.
    Body,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Unknown(target) => write!(f, "no such method and path: {target}"),
            RequestError::Header(name) => write!(f, "header {name} is missing or malformed"),
            RequestError::Tensor(e) => e.fmt(f),
            RequestError::Body => f.write_str("the JSON body is malformed"),
        }
    }
}

impl std::error::Error for RequestError {}

/// A request as a worker took it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedRequest {
    /// What is asked.
    pub order: WorkerRequest,
    /// The gateway that asks, where it says so.
    pub gateway: Option<String>,
}

/// Percent-encodes a path segment (RFC 3986 section 2.3: unreserved bytes stand for themselves).
fn segment(name: &str) -> String {
    let mut out = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}

fn unsegment(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digit = |b: Option<u8>| char::from(b?).to_digit(16);
            bytes.push((digit(rest.next())? * 16 + digit(rest.next())?) as u8);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok().filter(|name| !name.is_empty())
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|c| c.to_digit(16)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect())
}

impl WorkerRequest {
    /// The request's bytes. `host` is the worker's address, `gateway` the sender's name; neither may hold line
    /// ends, which the settings check.
    pub fn encode(&self, host: &str, gateway: &str) -> Vec<u8> {
        let repository =
            |function: &str, verb: &str| format!("/v2/repository/models/{}/{verb}", segment(function));
        let mut extra = String::new();
        let (method, path, body) = match self {
            WorkerRequest::Infer(call) => {
                let version = call.version.as_ref().map(|v| format!("/versions/{}", segment(v)));
                let path =
                    format!("/v2/models/{}{}/infer", segment(&call.function), version.unwrap_or_default());
                let outer = json!({
                    "id": call.request_id,
                    "outputs": [{"name": "payload", "parameters": {"binary_data": true}}],
                });
                let (body, json_length) = tensor::wrap("inputs", outer, &call.payload);
                let mut put = |name: &str, value: &dyn fmt::Display| {
                    let _ = write!(extra, "{name}: {value}\r\n");
                };
                put(headers::JSON_LENGTH, &json_length);
                put(headers::REQUEST_ID, &segment(&call.request_id));
                put(headers::ATTEMPT, &call.attempt);
                put(headers::TIME_LEFT, &call.time_left_ms);
                put(headers::CLASS, &segment(&call.class));
                if !call.settings.is_empty() {
                    let numbers: Vec<String> = call.settings.iter().map(u64::to_string).collect();
                    put(headers::SETTINGS, &numbers.join(","));
                }
                if let Some(key) = &call.key {
                    put(headers::KEY, &hex(key));
                }
                ("POST", path, body)
            }
            WorkerRequest::Load { function, copies } => {
                let body = json!({"parameters": {"copies": copies}}).to_string().into_bytes();
                ("POST", repository(function, "load"), body)
            }
            WorkerRequest::Count { function } => {
                let body = json!({"name": function}).to_string().into_bytes();
                ("POST", "/v2/repository/index".into(), body)
            }
            WorkerRequest::Unload { function } => ("POST", repository(function, "unload"), b"{}".to_vec()),
            WorkerRequest::Ready => ("GET", "/v2/health/ready".into(), Vec::new()),
        };
        let kind = if matches!(self, WorkerRequest::Infer(_)) {
            "application/octet-stream"
        } else {
            "application/json"
        };
        let length = body.len();
        let name = headers::GATEWAY;
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{name}: {gateway}\r\n{extra}\
             Content-Type: {kind}\r\nContent-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        bytes.extend(body);
        bytes
    }
}

impl ParsedRequest {
    /// Reads a request as an order.
    ///
    /// # Errors
    /// When it is none of this profile.
    pub fn read(message: Message) -> Result<Self, RequestError> {
        let gateway = message.head.header(headers::GATEWAY).map(str::to_string);
        let (method, target) = (message.head.method.clone(), message.head.target.clone());
        let unknown = || RequestError::Unknown(format!("{method} {target}"));
        let parts: Vec<&str> = target.trim_start_matches('/').split('/').collect();
        let name = |text: &str| unsegment(text).ok_or_else(unknown);
        let order = match (method.as_str(), parts.as_slice()) {
            ("GET", ["v2", "health", "ready"]) => WorkerRequest::Ready,
            ("POST", ["v2", "repository", "index"]) => {
                let body: Value = serde_json::from_slice(&message.body).map_err(|_| RequestError::Body)?;
                let function = body.get("name").and_then(Value::as_str).ok_or(RequestError::Body)?;
                WorkerRequest::Count { function: function.into() }
            }
            ("POST", ["v2", "repository", "models", function, "load"]) => {
                let body: Value = serde_json::from_slice(&message.body).map_err(|_| RequestError::Body)?;
                let copies = body.pointer("/parameters/copies").map_or(Some(1), Value::as_u64);
                let copies = copies.and_then(|n| u32::try_from(n).ok()).ok_or(RequestError::Body)?;
                WorkerRequest::Load { function: name(function)?, copies }
            }
            ("POST", ["v2", "repository", "models", function, "unload"]) => {
                WorkerRequest::Unload { function: name(function)? }
            }
            ("POST", ["v2", "models", function, "infer"]) => {
                WorkerRequest::Infer(call(name(function)?, None, message)?)
            }
            ("POST", ["v2", "models", function, "versions", version, "infer"]) => {
                WorkerRequest::Infer(call(name(function)?, Some(name(version)?), message)?)
            }
            _ => return Err(unknown()),
        };
        Ok(ParsedRequest { order, gateway })
    }
}

/// Numbers of settings documents that are read of one call.
const MOST_SETTINGS: usize = 8;

fn call(function: String, version: Option<String>, message: Message) -> Result<Call, RequestError> {
    let head = message.head.clone();
    let text = |name: &'static str| head.header(name).and_then(unsegment).ok_or(RequestError::Header(name));
    let number = |name: &'static str| -> Result<u64, RequestError> {
        head.header(name).and_then(|v| v.parse().ok()).ok_or(RequestError::Header(name))
    };
    let key = match head.header(headers::KEY) {
        None => None,
        Some(text) => Some(unhex(text).ok_or(RequestError::Header(headers::KEY))?),
    };
    let settings: Option<Vec<u64>> = match head.header(headers::SETTINGS) {
        None => Some(Vec::new()),
        Some(text) => text.split(',').take(MOST_SETTINGS).map(|n| n.parse().ok()).collect(),
    };
    Ok(Call {
        settings: settings.ok_or(RequestError::Header(headers::SETTINGS))?,
        function,
        version,
        payload: tensor::unwrap("inputs", message).map_err(RequestError::Tensor)?,
        key,
        request_id: text(headers::REQUEST_ID)?,
        attempt: usize::try_from(number(headers::ATTEMPT)?)
            .map_err(|_| RequestError::Header(headers::ATTEMPT))?,
        time_left_ms: number(headers::TIME_LEFT)?,
        class: text(headers::CLASS)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Limits, MessageReader, Side};

    fn through(order: WorkerRequest) -> ParsedRequest {
        let bytes = order.encode("127.0.0.1:9", "gw");
        let message = MessageReader::new(Side::Request, Limits::default()).feed(&bytes).unwrap();
        ParsedRequest::read(message.expect("whole")).unwrap()
    }

    #[test]
    fn every_order_arrives_as_it_was_meant() {
        let call = Call {
            function: "taxa påslag/1%".into(),
            version: Some("3".into()),
            payload: vec![0, 13, 10, 255],
            key: Some(vec![1, 254]),
            request_id: "77".into(),
            attempt: 2,
            time_left_ms: 900,
            class: "charge".into(),
            settings: vec![7, 8],
        };
        let orders = [
            WorkerRequest::Infer(call.clone()),
            WorkerRequest::Infer(Call {
                key: None,
                version: None,
                payload: Vec::new(),
                settings: vec![],
                ..call
            }),
            WorkerRequest::Load { function: "a b".into(), copies: 3 },
            WorkerRequest::Count { function: "a\"b".into() },
            WorkerRequest::Unload { function: "a".into() },
            WorkerRequest::Ready,
        ];
        for order in orders {
            assert_eq!(through(order.clone()), ParsedRequest { order, gateway: Some("gw".into()) });
        }
    }

    #[test]
    fn a_payload_that_is_not_what_its_head_says_is_refused() {
        let read = |bytes: &[u8]| {
            let message = MessageReader::new(Side::Request, Limits::default()).feed(bytes).unwrap();
            ParsedRequest::read(message.expect("whole"))
        };
        let call =
            Call { function: "f".into(), request_id: "1".into(), class: "c".into(), ..Call::default() };
        let good = WorkerRequest::Infer(Call { payload: b"four".to_vec(), ..call }).encode("h", "g");
        let text = String::from_utf8_lossy(&good).replace("\"binary_data_size\":8", "\"binary_data_size\":9");
        assert_eq!(read(text.as_bytes()), Err(RequestError::Tensor(TensorError::Binary)));
        let text = String::from_utf8_lossy(&good).replace("BYTES", "INT32");
        assert_eq!(read(text.as_bytes()), Err(RequestError::Tensor(TensorError::Shape)));
        let text = String::from_utf8_lossy(&good).replace("X-Attempt: 0", "X-Attempt: -1");
        assert_eq!(read(text.as_bytes()), Err(RequestError::Header(headers::ATTEMPT)));
        let text = String::from_utf8_lossy(&good).replace("X-Attempt: 0", "X-Attempt: 0\r\nX-Settings: 1,");
        assert_eq!(read(text.as_bytes()), Err(RequestError::Header(headers::SETTINGS)));
    }
}
