//! The error of the parser.

use std::error::Error;
use std::fmt;

/// Why bytes are not a message that this crate accepts. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Not HTTP/1.1.
    Syntax(httparse::Error),
    /// The head exceeds its size limit, or there are too many headers.
    HeadTooLong,
    /// The body exceeds its size limit.
    BodyTooLong,
    /// Ambiguous or unsupported framing (RFC 9112 section 6.3): both a length and chunks, several lengths, a
    /// transfer coding other than chunked, or a length that is not a number.
    Framing,
    /// The size line or the end of a chunk is malformed.
    Chunk,
    /// Bytes arrived after the end of the message.
    Trailing,
    /// The connection was closed before the end of the message.
    Truncated,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::Syntax(_) => "not HTTP/1.1",
            MessageError::HeadTooLong => "the head is too long",
            MessageError::BodyTooLong => "the body is too long",
            MessageError::Framing => "the framing of the body is ambiguous or unsupported",
            MessageError::Chunk => "a chunk is malformed",
            MessageError::Trailing => "unexpected bytes after the end of the message",
            MessageError::Truncated => "the connection was closed before the end of the message",
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
