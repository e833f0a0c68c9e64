//! Why bytes are rejected.

use std::error::Error;
use std::fmt;

/// Why bytes are not a message that this crate accepts. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Not HTTP/1.1.
    Syntax(httparse::Error),
    /// The head exceeds the limit, or the number of headers does.
    HeadTooLong,
    /// The body exceeds the limit.
    BodyTooLong,
    /// Ambiguous or unsupported framing (RFC 9112 section 6.3): both a length and chunks, several lengths, a transfer coding
    /// other than chunked, or a length that is not a number.
    Framing,
    /// The size line or the end of a chunk is malformed.
    Chunk,
    /// Bytes arrived after the end of the message.
    Trailing,
    /// The connection ended within the message.
    Truncated,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::Syntax(_) => "not HTTP/1.1",
            MessageError::HeadTooLong => "the head is too long",
            MessageError::BodyTooLong => "the body is too long",
            MessageError::Framing => "the body's length is stated wrongly or twice",
            MessageError::Chunk => "a chunk is malformed",
            MessageError::Trailing => "bytes came after the message",
            MessageError::Truncated => "the connection ended within the message",
        })
    }
}

impl Error for MessageError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            MessageError::Syntax(error) => Some(error),
            _ => None,
        }
    }
}

impl From<httparse::Error> for MessageError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => MessageError::HeadTooLong,
            other => MessageError::Syntax(other),
        }
    }
}
