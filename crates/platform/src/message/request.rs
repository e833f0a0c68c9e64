//! Parameters of a call: `[FIELDS, BODY]`, where `FIELDS` is a map of strings and `BODY` a byte string.

use super::take_text;
use rmp::decode;
use slatevalve::Micros;
use slatevalve_engine::FunctionTraits;
use std::fmt;
use std::ops::RangeInclusive;

/// Limit of fields in one request.
const MAX_FIELDS: u32 = 32;
/// Limit of durations that a client may state, in milliseconds: one hour.
const MAX_TIME_MS: f64 = 3_600_000.0;
/// Limit of the memory that a function may need, in MB.
const MAX_MEMORY_MB: f64 = 1e7;
/// Limit of the concurrency that a client may state for a function.
const MAX_CONCURRENCY: f64 = 1e4;
/// Limit of the length of a number, in characters.
const MAX_DIGITS: usize = 20;

/// A call with validated fields.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Request id chosen by the client: 16 hex digits. It is also the id sent to the worker.
    pub id: String,
    /// Name of the class. [`Front`](crate::front::Front) checks that the class exists.
    pub class: String,
    /// Id of the function: 16 hex digits.
    pub function: String,
    /// How long the client waits for the response.
    pub timeout: Micros,
    /// Whether the client has sent this request before.
    pub resent: bool,
    /// Idempotency key: up to 64 hex digits.
    pub key: Option<String>,
    /// Resource needs of the function, as far as the client states them.
    pub traits: FunctionTraits,
    /// Payload, passed to the worker unchanged.
    pub body: Vec<u8>,
}

/// Why a call is rejected with an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The parameters are not `[FIELDS, BODY]` of the right types, or have too many or duplicate fields.
    Shape,
    /// A required field is absent.
    Missing(&'static str),
    /// A field is malformed or out of range.
    Field(&'static str),
    /// The class does not exist.
    Class,
}

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidRequest::Shape => f.write_str("parameters are not a map of strings and a byte string"),
            InvalidRequest::Missing(field) => write!(f, "field '{field}' is missing"),
            InvalidRequest::Field(field) => write!(f, "field '{field}' is malformed or out of range"),
            InvalidRequest::Class => f.write_str("class does not exist"),
        }
    }
}

impl std::error::Error for InvalidRequest {}

/// The known fields of a request before validation.
#[derive(Default)]
struct RawFields<'a> {
    id: Option<&'a str>,
    timeout: Option<&'a str>,
    resent: Option<&'a str>,
    key: Option<&'a str>,
    function: Option<&'a str>,
    info: Option<&'a str>,
}

impl<'a> RawFields<'a> {
    /// Reads the map at the start of `rest` and advances `rest` past it. Unknown fields are ignored, so that
    /// the protocol can be extended.
    fn read(rest: &mut &'a [u8]) -> Result<Self, InvalidRequest> {
        let count = decode::read_map_len(rest).map_err(|_| InvalidRequest::Shape)?;
        if count > MAX_FIELDS {
            return Err(InvalidRequest::Shape);
        }
        let mut fields = RawFields::default();
        for _ in 0..count {
            let name = take_text(rest).ok_or(InvalidRequest::Shape)?;
            let value = take_text(rest).ok_or(InvalidRequest::Shape)?;
            let field = match name {
                "req" => &mut fields.id,
                "timeout" => &mut fields.timeout,
                "resent" => &mut fields.resent,
                "opkey" => &mut fields.key,
                "subject" => &mut fields.function,
                "info" => &mut fields.info,
                _ => continue,
            };
            if field.replace(value).is_some() {
                return Err(InvalidRequest::Shape);
            }
        }
        Ok(fields)
    }

    fn validate(&self, class: &str, body: &[u8]) -> Result<ClientRequest, InvalidRequest> {
        let id = self.id.ok_or(InvalidRequest::Missing("req"))?;
        let function = self.function.ok_or(InvalidRequest::Missing("subject"))?;
        let timeout = self.timeout.ok_or(InvalidRequest::Missing("timeout"))?;
        if !is_hex(id, 16..=16) {
            return Err(InvalidRequest::Field("req"));
        }
        if !is_hex(function, 16..=16) {
            return Err(InvalidRequest::Field("subject"));
        }
        if self.key.is_some_and(|key| !is_hex(key, 1..=64)) {
            return Err(InvalidRequest::Field("opkey"));
        }
        let timeout_ms = parse_number(timeout, 0.0..=MAX_TIME_MS).filter(|time| *time > 0.0);
        let timeout_ms = timeout_ms.ok_or(InvalidRequest::Field("timeout"))?;
        let resent = match self.resent {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(InvalidRequest::Field("resent")),
        };
        Ok(ClientRequest {
            id: id.into(),
            class: class.into(),
            function: function.into(),
            timeout: micros(timeout_ms),
            resent,
            key: self.key.map(Into::into),
            traits: parse_traits(self.info.unwrap_or_default()).ok_or(InvalidRequest::Field("info"))?,
            body: body.to_vec(),
        })
    }
}

/// Parses the parameters of a call of `class`.
///
/// # Errors
/// If the parameters have the wrong shape, or for the first field that is missing or invalid.
pub(super) fn read(class: &str, mut rest: &[u8]) -> Result<ClientRequest, InvalidRequest> {
    if decode::read_array_len(&mut rest).map_err(|_| InvalidRequest::Shape)? != 2 {
        return Err(InvalidRequest::Shape);
    }
    let fields = RawFields::read(&mut rest)?;
    let length = decode::read_bin_len(&mut rest).map_err(|_| InvalidRequest::Shape)?;
    let body = rest.get(..length as usize).ok_or(InvalidRequest::Shape)?;
    fields.validate(class, body)
}

fn is_hex(text: &str, length: RangeInclusive<usize>) -> bool {
    length.contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a decimal number. Signs and exponents are rejected, so that a worker cannot interpret the value
/// differently.
fn parse_number(text: &str, range: RangeInclusive<f64>) -> Option<f64> {
    let is_decimal =
        text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number| is_decimal && range.contains(number))
}

fn micros(milliseconds: f64) -> Micros {
    Micros((milliseconds * 1000.0) as i64)
}

/// Parses `memory_mb:512;lanes:2;load_ms:640`. Both the platform's and the simulator's names are accepted.
/// `None` if a known entry is malformed.
fn parse_traits(info: &str) -> Option<FunctionTraits> {
    let mut traits = FunctionTraits::default();
    for entry in info.split(';').filter(|entry| !entry.is_empty()) {
        let (name, value) = entry.split_once(':')?;
        let time = || parse_number(value, 0.0..=MAX_TIME_MS).map(micros);
        match name {
            "memory_mb" => traits.memory_mb = parse_number(value, 0.0..=MAX_MEMORY_MB)?,
            "lanes" | "at_once" => {
                let concurrency = parse_number(value, 1.0..=MAX_CONCURRENCY)?;
                traits.concurrency = Some(concurrency).filter(|number| number.fract() == 0.0)? as usize;
            }
            "load_ms" | "warm_ms" => traits.load_time = Some(time()?),
            "work_ms" | "effort" | "hint" | "ms" => traits.work = Some(time()?),
            _ => {}
        }
    }
    Some(traits)
}
