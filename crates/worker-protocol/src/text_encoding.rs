//! Encodings of header values and path segments: percent-encoding (RFC 3986) and hexadecimal.

use std::fmt::Write as _;

/// Bytes other than letters and digits that are not percent-encoded (RFC 3986 section 2.3).
const UNRESERVED_PUNCTUATION: &[u8] = b"-._~";

const HEX_RADIX: u32 = 16;

/// Percent-encodes all bytes that are not unreserved.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || UNRESERVED_PUNCTUATION.contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a String cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Decodes percent-encoded text; `None` if it is malformed, not UTF-8 or empty.
pub(crate) fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            decoded.push(hex_byte(char::from(rest.next()?), char::from(rest.next()?))?);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok().filter(|name| !name.is_empty())
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn hex_encode(bytes: &[u8]) -> String {
    let mut encoded = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a String cannot fail.
        let _ = write!(encoded, "{byte:02x}");
    }
    encoded
}

/// Decodes hexadecimal digits of either case; `None` if there are other characters or an odd number of
/// digits.
pub(crate) fn hex_decode(text: &str) -> Option<Vec<u8>> {
    let digits: Vec<char> = text.chars().collect();
    let pairs = digits.chunks_exact(2);
    if !pairs.remainder().is_empty() {
        return None;
    }
    pairs.map(|pair| hex_byte(pair[0], pair[1])).collect()
}

fn hex_byte(high: char, low: char) -> Option<u8> {
    let byte = high.to_digit(HEX_RADIX)? * HEX_RADIX + low.to_digit(HEX_RADIX)?;
    u8::try_from(byte).ok()
}
