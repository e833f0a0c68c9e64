//! Parsing of HTTP/1.1 messages as requests.

use super::{Call, ParsedRequest, RequestError, WorkerRequest};
use crate::headers;
use crate::tensor::{self, TensorList};
use crate::text_encoding::{hex_decode, percent_decode};
use serde_json::Value;
use slatevalve_http::{Head, Message};
use std::str::FromStr;

/// Maximum number of settings versions read from one call; further ones are ignored.
const MAX_SETTINGS_VERSIONS: usize = 8;

/// Number of replicas if a load request specifies none.
const DEFAULT_COPIES: u64 = 1;

impl ParsedRequest {
    /// Parses a message as a request.
    ///
    /// # Errors
    /// If the message is not a request of this profile.
    pub fn read(message: Message) -> Result<Self, RequestError> {
        let gateway = message.head.header(headers::GATEWAY).map(str::to_string);
        let request = parse_request(message)?;
        Ok(ParsedRequest { request, gateway })
    }
}

fn parse_request(message: Message) -> Result<WorkerRequest, RequestError> {
    let (method, target) = (message.head.method.clone(), message.head.target.clone());
    let unknown = || RequestError::Unknown(format!("{method} {target}"));
    let name = |segment: &str| percent_decode(segment).ok_or_else(unknown);
    let segments: Vec<&str> = target.trim_start_matches('/').split('/').collect();
    let request = match (method.as_str(), segments.as_slice()) {
        ("GET", ["v2", "health", "ready"]) => WorkerRequest::Ready,
        ("POST", ["v2", "repository", "index"]) => {
            WorkerRequest::Count { function: parse_index_name(&message.body)? }
        }
        ("POST", ["v2", "repository", "models", function, "load"]) => {
            let copies = parse_copies(&message.body)?;
            WorkerRequest::Load { function: name(function)?, copies }
        }
        ("POST", ["v2", "repository", "models", function, "unload"]) => {
            WorkerRequest::Unload { function: name(function)? }
        }
        ("POST", ["v2", "models", function, "infer"]) => {
            WorkerRequest::Infer(parse_call(name(function)?, None, message)?)
        }
        ("POST", ["v2", "models", function, "versions", version, "infer"]) => {
            WorkerRequest::Infer(parse_call(name(function)?, Some(name(version)?), message)?)
        }
        _ => return Err(unknown()),
    };
    Ok(request)
}

fn parse_json(body: &[u8]) -> Result<Value, RequestError> {
    serde_json::from_slice(body).map_err(|_| RequestError::Body)
}

fn parse_index_name(body: &[u8]) -> Result<String, RequestError> {
    let document = parse_json(body)?;
    let name = document.get("name").and_then(Value::as_str);
    name.map(str::to_string).ok_or(RequestError::Body)
}

fn parse_copies(body: &[u8]) -> Result<u32, RequestError> {
    let document = parse_json(body)?;
    let copies = document.pointer("/parameters/copies").map_or(Some(DEFAULT_COPIES), Value::as_u64);
    copies.and_then(|copies| u32::try_from(copies).ok()).ok_or(RequestError::Body)
}

fn parse_call(function: String, version: Option<String>, message: Message) -> Result<Call, RequestError> {
    let head = message.head.clone();
    let key = parse_key(&head)?;
    let settings = parse_settings(&head)?;
    Ok(Call {
        function,
        version,
        payload: tensor::decode(TensorList::Inputs, message)?,
        key,
        request_id: parse_text(&head, headers::REQUEST_ID)?,
        attempt: parse_number(&head, headers::ATTEMPT)?,
        time_remaining_ms: parse_number(&head, headers::TIME_REMAINING)?,
        class: parse_text(&head, headers::CLASS)?,
        settings,
    })
}

fn parse_key(head: &Head) -> Result<Option<Vec<u8>>, RequestError> {
    let Some(text) = head.header(headers::KEY) else { return Ok(None) };
    hex_decode(text).map(Some).ok_or(RequestError::Header(headers::KEY))
}

fn parse_settings(head: &Head) -> Result<Vec<u64>, RequestError> {
    let Some(text) = head.header(headers::SETTINGS) else { return Ok(Vec::new()) };
    let versions = text.split(',').take(MAX_SETTINGS_VERSIONS).map(str::parse);
    versions.collect::<Result<_, _>>().map_err(|_| RequestError::Header(headers::SETTINGS))
}

fn parse_text(head: &Head, name: &'static str) -> Result<String, RequestError> {
    head.header(name).and_then(percent_decode).ok_or(RequestError::Header(name))
}

fn parse_number<T: FromStr>(head: &Head, name: &'static str) -> Result<T, RequestError> {
    head.header(name).and_then(|value| value.parse().ok()).ok_or(RequestError::Header(name))
}
