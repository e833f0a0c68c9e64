//! Encoding of responses to clients: `[1, NUMBER, ERROR, RESULT]`.

use rmp::encode;

/// The MessagePack-RPC type of a response.
const RESPONSE: u64 = 1;
/// Upper bound of the encoded size of a response without its value, in bytes; only used to reserve memory.
const OVERHEAD: usize = 16;

/// Encodes the start of a response, before its error. `value_size` is the approximate number of bytes that
/// follow. Writing to a vector cannot fail.
fn response(number: u32, value_size: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(value_size + OVERHEAD);
    let _ = encode::write_array_len(&mut out, 4);
    let _ = encode::write_uint(&mut out, RESPONSE);
    let _ = encode::write_uint(&mut out, u64::from(number));
    out
}

/// Encodes the start of a response without error. The result that follows is a value and a map of fields,
/// which is always empty.
fn success(number: u32, value_size: usize) -> Vec<u8> {
    let mut out = response(number, value_size);
    let _ = encode::write_nil(&mut out);
    let _ = encode::write_array_len(&mut out, 2);
    out
}

/// Encodes the response to a served call.
#[must_use]
pub fn served(number: u32, body: &[u8]) -> Vec<u8> {
    let mut out = success(number, body.len());
    let _ = encode::write_bin(&mut out, body);
    let _ = encode::write_map_len(&mut out, 0);
    out
}

/// Encodes the response to `check`.
#[must_use]
pub fn checked(number: u32, ready: bool) -> Vec<u8> {
    let mut out = success(number, 1);
    let _ = encode::write_bool(&mut out, ready);
    let _ = encode::write_map_len(&mut out, 0);
    out
}

/// Encodes an error response. `code` identifies the kind of error: `Throttled` for a refused call, `Broken`
/// for a failed one, `Unusable` for an invalid request.
#[must_use]
pub fn error(number: u32, code: &str) -> Vec<u8> {
    let mut out = response(number, code.len());
    let _ = encode::write_array_len(&mut out, 2);
    let _ = encode::write_str(&mut out, code);
    let _ = encode::write_map_len(&mut out, 0);
    let _ = encode::write_nil(&mut out);
    out
}
