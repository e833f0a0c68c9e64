//! MessagePack-RPC messages of clients, read from whole frames, and the router's answers as bytes.
//!
//! It guards what goes further: a request is read only where every field is there, of its type and in its range, so
//! that nothing unusable reaches the module or a worker. Called by the front.

use rmp::decode;
use rmp::encode;
use slatevalve::Micros;
use slatevalve_engine::FunctionTraits;
use std::fmt;

/// Fields of one request at most.
const MAX_FIELDS: u32 = 32;
/// The longest time that a client may give, in milliseconds: an hour.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;

/// What a client sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call.
    Call {
        /// Its number on the connection.
        number: u32,
        /// What it asks, or why that cannot be used.
        asked: Result<Asked, BadCall>,
    },
    /// A question whether the router is ready.
    Check {
        /// Its number on the connection.
        number: u32,
    },
    /// The client no longer waits for these numbers.
    Interrupt(Vec<u32>),
    /// A notification that is not known; nothing is owed.
    Other,
}

/// A call as it can be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// The client's own id of the request: 16 hex digits.
    pub id: String,
    /// The class's name; whether there is such a class is not known here.
    pub class: String,
    /// The function: 16 hex digits.
    pub function: String,
    /// How long the client waits.
    pub timeout: Micros,
    /// The client's retry.
    pub resent: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// What the client says of the function.
    pub traits: FunctionTraits,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a call cannot be used; it gets an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// It is not `[FIELDS, BODY]` with texts and bytes of the right types.
    Shape,
    /// A field that must be there is absent.
    Missing(&'static str),
    /// A field has a value that is not of its form or out of its range.
    Field(&'static str),
    /// There is no such class.
    Class,
}

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadCall::Shape => f.write_str("not a map of texts and a body of bytes"),
            BadCall::Missing(field) => write!(f, "field '{field}' is missing"),
            BadCall::Field(field) => write!(f, "field '{field}' cannot be used"),
            BadCall::Class => f.write_str("there is no such class"),
        }
    }
}

/// The bytes are a value, but no message of this protocol; the connection is of no use afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAMessage;

/// Reads one whole frame.
///
/// # Errors
/// Where type, number or method cannot be read.
pub fn read(frame: &[u8]) -> Result<Message, NotAMessage> {
    let mut rest = frame;
    let values = decode::read_array_len(&mut rest).map_err(|_| NotAMessage)?;
    let kind: u8 = decode::read_int(&mut rest).map_err(|_| NotAMessage)?;
    match (kind, values) {
        (0, 4) => {
            let number: u32 = decode::read_int(&mut rest).map_err(|_| NotAMessage)?;
            let method = text(&mut rest).ok_or(NotAMessage)?;
            if method == "check" {
                return Ok(Message::Check { number });
            }
            Ok(Message::Call { number, asked: asked(method, rest) })
        }
        (2, 3) => {
            let method = text(&mut rest).ok_or(NotAMessage)?;
            if method != "interrupt" {
                return Ok(Message::Other);
            }
            let count = decode::read_array_len(&mut rest).map_err(|_| NotAMessage)?;
            let mut numbers = Vec::new();
            for _ in 0..count {
                numbers.push(decode::read_int(&mut rest).map_err(|_| NotAMessage)?);
            }
            Ok(Message::Interrupt(numbers))
        }
        _ => Err(NotAMessage),
    }
}

/// The text at the start of `rest`, which then stands behind it.
fn text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let (text, behind) = decode::read_str_from_slice(*rest).ok()?;
    *rest = behind;
    Some(text)
}

fn asked(class: &str, mut rest: &[u8]) -> Result<Asked, BadCall> {
    let shape = |_| BadCall::Shape;
    if decode::read_array_len(&mut rest).map_err(shape)? != 2 {
        return Err(BadCall::Shape);
    }
    let fields = decode::read_map_len(&mut rest).map_err(shape)?;
    if fields > MAX_FIELDS {
        return Err(BadCall::Shape);
    }
    let (mut id, mut timeout, mut resent, mut key, mut function, mut info) =
        (None, None, None, None, None, None);
    for _ in 0..fields {
        let name = text(&mut rest).ok_or(BadCall::Shape)?;
        let value = text(&mut rest).ok_or(BadCall::Shape)?;
        let place = match name {
            "req" => &mut id,
            "timeout" => &mut timeout,
            "resent" => &mut resent,
            "opkey" => &mut key,
            "subject" => &mut function,
            "info" => &mut info,
            // Fields can be added; what is not known is passed over.
            _ => continue,
        };
        if place.replace(value).is_some() {
            return Err(BadCall::Shape);
        }
    }
    let length = decode::read_bin_len(&mut rest).map_err(|_| BadCall::Shape)?;
    let body = rest.get(..length as usize).ok_or(BadCall::Shape)?;
    let id = id.ok_or(BadCall::Missing("req"))?;
    let function = function.ok_or(BadCall::Missing("subject"))?;
    let timeout = timeout.ok_or(BadCall::Missing("timeout"))?;
    if !is_hex(id, 16..=16) {
        return Err(BadCall::Field("req"));
    }
    if !is_hex(function, 16..=16) {
        return Err(BadCall::Field("subject"));
    }
    if key.is_some_and(|key| !is_hex(key, 1..=64)) {
        return Err(BadCall::Field("opkey"));
    }
    let timeout = figure(timeout, 0.0..=MAX_TIMEOUT_MS).ok_or(BadCall::Field("timeout"))?;
    if timeout <= 0.0 {
        return Err(BadCall::Field("timeout"));
    }
    Ok(Asked {
        id: id.into(),
        class: class.into(),
        function: function.into(),
        timeout: Micros((timeout * 1000.0) as i64),
        resent: match resent {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(BadCall::Field("resent")),
        },
        key: key.map(Into::into),
        traits: traits(info.unwrap_or_default())?,
        body: body.to_vec(),
    })
}

fn is_hex(text: &str, length: std::ops::RangeInclusive<usize>) -> bool {
    length.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// A number in digits, with a fraction at most: nothing that a worker could read in another way.
fn figure(text: &str, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
    let plain = text.len() <= 20 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n| plain && range.contains(n))
}

/// The further figures of a request, `memory_mb:512;concurrency:2;load_ms:640`, under the platform's or the simulator's names.
fn traits(info: &str) -> Result<FunctionTraits, BadCall> {
    let mut traits = FunctionTraits::default();
    let bad = BadCall::Field("info");
    for part in info.split(';').filter(|p| !p.is_empty()) {
        let (name, value) = part.split_once(':').ok_or(bad)?;
        let millis = || Some(Micros((figure(value, 0.0..=MAX_TIMEOUT_MS)? * 1000.0) as i64));
        match name {
            "memory_mb" => traits.memory_mb = figure(value, 0.0..=1e7).ok_or(bad)?,
            "lanes" | "at_once" => {
                traits.concurrency =
                    figure(value, 1.0..=1e4).filter(|n| n.fract() == 0.0).ok_or(bad)? as usize;
            }
            "load_ms" | "warm_ms" => traits.load_time = Some(millis().ok_or(bad)?),
            "work_ms" | "effort" | "hint" | "ms" => traits.work = Some(millis().ok_or(bad)?),
            _ => {}
        }
    }
    Ok(traits)
}

/// The start of the answer under a number; `room` is about how many bytes follow. Writing to a vector cannot fail.
fn answer(number: u32, room: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(room + 16);
    let _ = encode::write_array_len(&mut out, 4);
    let _ = encode::write_uint(&mut out, 1);
    let _ = encode::write_uint(&mut out, u64::from(number));
    out
}

/// The start of an answer without an error: its result is a value and its fields, of which there are none.
fn result(number: u32, room: usize) -> Vec<u8> {
    let mut out = answer(number, room);
    let _ = encode::write_nil(&mut out);
    let _ = encode::write_array_len(&mut out, 2);
    out
}

/// The answer `served`.
pub fn served(number: u32, body: &[u8]) -> Vec<u8> {
    let mut out = result(number, body.len());
    let _ = encode::write_bin(&mut out, body);
    let _ = encode::write_map_len(&mut out, 0);
    out
}

/// The answer to `check`.
pub fn checked(number: u32, ready: bool) -> Vec<u8> {
    let mut out = result(number, 1);
    let _ = encode::write_bool(&mut out, ready);
    let _ = encode::write_map_len(&mut out, 0);
    out
}

/// An error: `Throttled` where the call is refused, any other where it failed.
pub fn error(number: u32, word: &str) -> Vec<u8> {
    let mut out = answer(number, word.len());
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_str(&mut out, word);
    let _ = encode::write_map_len(&mut out, 0);
    let _ = encode::write_nil(&mut out);
    out
}
