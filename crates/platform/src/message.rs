//! MessagePack-RPC messages: parsing of clients' requests and notifications, and encoding of the responses.
//!
//! A request is accepted only if every required field is present and every field has the right type and
//! range, so that no malformed value reaches the load balancer or a worker.

mod request;
mod response;

pub use request::{ClientRequest, InvalidRequest};
pub use response::{checked, error, served};

use rmp::decode;
use std::fmt;

/// The MessagePack-RPC type of a request: `[0, NUMBER, METHOD, PARAMETERS]`.
const REQUEST: u8 = 0;
/// The MessagePack-RPC type of a notification: `[2, METHOD, PARAMETERS]`.
const NOTIFICATION: u8 = 2;

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call.
    Call {
        /// Number chosen by the client, repeated in the response.
        number: u32,
        /// The validated request, or why it is rejected with an error response.
        request: Result<ClientRequest, InvalidRequest>,
    },
    /// A readiness check.
    Check {
        /// Number chosen by the client, repeated in the response.
        number: u32,
    },
    /// The client no longer waits for the responses to the requests with these numbers.
    Interrupt(Vec<u32>),
    /// A notification of unknown method; it is ignored, as notifications get no response.
    Other,
}

/// A frame is not a message of this protocol; the connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl fmt::Display for MalformedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a MessagePack-RPC message of this protocol")
    }
}

impl std::error::Error for MalformedMessage {}

/// Parses a complete frame.
///
/// # Errors
/// If the message type, number or method is invalid. Invalid parameters of a call are reported in
/// [`Message::Call`].
pub fn read(frame: &[u8]) -> Result<Message, MalformedMessage> {
    let mut rest = frame;
    let length = decode::read_array_len(&mut rest).map_err(|_| MalformedMessage)?;
    let kind: u8 = decode::read_int(&mut rest).map_err(|_| MalformedMessage)?;
    match (kind, length) {
        (REQUEST, 4) => read_request(rest),
        (NOTIFICATION, 3) => read_notification(rest),
        _ => Err(MalformedMessage),
    }
}

fn read_request(mut rest: &[u8]) -> Result<Message, MalformedMessage> {
    let number = decode::read_int(&mut rest).map_err(|_| MalformedMessage)?;
    match take_text(&mut rest).ok_or(MalformedMessage)? {
        "check" => Ok(Message::Check { number }),
        class => Ok(Message::Call { number, request: request::read(class, rest) }),
    }
}

fn read_notification(mut rest: &[u8]) -> Result<Message, MalformedMessage> {
    if take_text(&mut rest).ok_or(MalformedMessage)? != "interrupt" {
        return Ok(Message::Other);
    }
    let count = decode::read_array_len(&mut rest).map_err(|_| MalformedMessage)?;
    let numbers = (0..count).map(|_| decode::read_int(&mut rest).map_err(|_| MalformedMessage));
    Ok(Message::Interrupt(numbers.collect::<Result<_, _>>()?))
}

/// Reads the string at the start of `rest` and advances `rest` past it.
fn take_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let (text, remaining) = decode::read_str_from_slice(*rest).ok()?;
    *rest = remaining;
    Some(text)
}
