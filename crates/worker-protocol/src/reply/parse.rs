//! Parsing of HTTP/1.1 messages as replies.

use super::ParsedReply;
use crate::load_report::parse_load_report;
use crate::tensor::{self, TensorList};
use crate::{headers, WorkerRequest};
use slatevalve::Outcome;
use slatevalve_http::{Head, Message};
use std::str::FromStr;

/// Status codes of successful responses.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// Parses the reply to a request. Only the profile's own header proves that a call never ran. Any other
/// unsuccessful response counts as an error after which the call may have run, whatever its status: 404, 429,
/// 502 and 503 may come from an intermediary.
#[must_use]
pub fn read(request: &WorkerRequest, message: Message) -> ParsedReply {
    let head = &message.head;
    let mut reply = ParsedReply {
        outcome: outcome(head),
        payload: Vec::new(),
        copies: number(head, headers::COPIES).unwrap_or(0),
        queue_depth: number(head, headers::QUEUE_DEPTH),
        load_failed: head.header(headers::LOAD_FAILED) == Some(headers::LOAD_FAILED_TRUE),
        ran: head.header(headers::RAN).map(str::to_string),
        report: head.header(headers::LOAD).and_then(parse_load_report),
    };
    if reply.outcome != Outcome::Ok {
        return reply;
    }
    match request {
        WorkerRequest::Infer(_) => match tensor::decode(TensorList::Outputs, message) {
            Ok(payload) => reply.payload = payload,
            // The call ran, but its result cannot be decoded.
            Err(_) => reply.outcome = Outcome::Error,
        },
        // A server without the header `X-Copies` reports only that the load succeeded: all requested replicas
        // are loaded.
        WorkerRequest::Load { copies, .. } if reply.copies == 0 => reply.copies = *copies,
        _ => {}
    }
    reply
}

fn outcome(head: &Head) -> Outcome {
    if SUCCESS.contains(&head.status) {
        return Outcome::Ok;
    }
    match head.header(headers::NOT_EXECUTED) {
        Some(headers::NOT_EXECUTED_FULL) => Outcome::Full,
        Some(headers::NOT_EXECUTED_MISS) => Outcome::Miss,
        _ => Outcome::Error,
    }
}

fn number<T: FromStr>(head: &Head, name: &str) -> Option<T> {
    head.header(name)?.parse().ok()
}
