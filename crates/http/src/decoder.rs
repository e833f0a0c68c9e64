//! Incremental decoding of consecutive HTTP/1.1 messages (RFC 9112): the head, then the body as it arrives.
//!
//! Pipelining is not supported: bytes after the end of a message are an error.

use crate::error::MessageError;
use crate::head::{framing, parse_head, Framing, Head, ParsedHead, Side};

const CRLF: &[u8] = b"\r\n";
/// The end of a line and an empty line: the end of the trailer fields.
const EMPTY_LINE: &[u8] = b"\r\n\r\n";
/// Maximum length in bytes of a chunk's size line, including extensions.
const CHUNK_SIZE_LINE_MAX: usize = 256;

/// Size limits of a message, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the head: start line and headers.
    pub head: usize,
    /// Maximum size of the body, without chunk framing.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, body: 8 * 1024 * 1024 }
    }
}

/// A decoded piece of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageEvent {
    /// Start line and headers.
    Head(Head),
    /// A piece of the body, without chunk framing; never empty.
    Body(Vec<u8>),
    /// The message is complete.
    End,
}

/// What the decoder reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// The rest of a body of known length.
    Length {
        remaining: usize,
    },
    /// A body that ends with the connection.
    UntilClose,
    ChunkSize,
    /// The rest of a chunk's data.
    Chunk {
        remaining: usize,
    },
    /// The end of line after a chunk's data.
    ChunkEnd,
    Trailers,
}

impl From<Framing> for State {
    fn from(framing: Framing) -> Self {
        match framing {
            Framing::Length(remaining) => State::Length { remaining },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        }
    }
}

/// Whether a step completed the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Incomplete,
    Complete,
}

/// Decodes one message after another from one connection.
#[derive(Debug)]
pub struct MessageDecoder {
    side: Side,
    limits: Limits,
    /// Bytes received and not decoded yet.
    buffer: Vec<u8>,
    state: State,
    /// Bytes of the current body decoded so far.
    body_length: usize,
    /// Whether the next response answers a HEAD request and so has no body, whatever its head declares.
    expects_no_body: bool,
}

impl MessageDecoder {
    /// Creates a decoder at the start of a message.
    #[must_use]
    pub fn new(side: Side, limits: Limits) -> Self {
        MessageDecoder {
            side,
            limits,
            buffer: Vec::new(),
            state: State::Head,
            body_length: 0,
            expects_no_body: false,
        }
    }

    /// Declares that the next response answers a HEAD request and has no body (RFC 9110 section 9.3.2).
    pub fn expect_no_body(&mut self) {
        self.expects_no_body = true;
    }

    /// Whether no byte of the next message has been received.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == State::Head && self.buffer.is_empty()
    }

    /// Decodes bytes and appends the result to `out`. After [`MessageEvent::End`] the next message may begin.
    ///
    /// # Errors
    /// If the bytes are not a message that this crate accepts; the connection must then be closed. Events
    /// appended before the error remain valid.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<MessageEvent>) -> Result<(), MessageError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let (state, length) = (self.state, self.buffer.len());
            if self.step(out)? == Progress::Complete {
                // Without pipelining, the peer sends nothing after a request until it is answered, and
                // nothing after a response until the next request.
                return if self.buffer.is_empty() { Ok(()) } else { Err(MessageError::Trailing) };
            }
            // A step without progress needs more bytes.
            if state == self.state && length == self.buffer.len() {
                return Ok(());
            }
        }
    }

    /// Handles the end of the connection; returns whether it completes a message.
    ///
    /// # Errors
    /// [`MessageError::Truncated`] within a message that the end does not complete.
    pub fn end(&mut self) -> Result<bool, MessageError> {
        match self.state {
            State::UntilClose => {
                self.state = State::Head;
                Ok(true)
            }
            State::Head if self.buffer.is_empty() => Ok(false),
            _ => Err(MessageError::Truncated),
        }
    }

    fn step(&mut self, out: &mut Vec<MessageEvent>) -> Result<Progress, MessageError> {
        match self.state {
            State::Head => self.decode_head(out),
            State::Length { remaining } => self.decode_body(remaining, out),
            State::UntilClose => {
                self.take_body_piece(usize::MAX, out)?;
                Ok(Progress::Incomplete)
            }
            State::ChunkSize => self.decode_chunk_size(),
            State::Chunk { remaining } => self.decode_chunk(remaining, out),
            State::ChunkEnd => self.decode_chunk_end(),
            State::Trailers => self.skip_trailers(out),
        }
    }

    fn complete(&mut self, out: &mut Vec<MessageEvent>) -> Progress {
        self.state = State::Head;
        out.push(MessageEvent::End);
        Progress::Complete
    }

    fn decode_head(&mut self, out: &mut Vec<MessageEvent>) -> Result<Progress, MessageError> {
        let Some(ParsedHead { mut head, length }) = parse_head(self.side, &self.buffer)? else {
            if self.buffer.len() > self.limits.head {
                return Err(MessageError::HeadTooLong);
            }
            return Ok(Progress::Incomplete);
        };
        if length > self.limits.head {
            return Err(MessageError::HeadTooLong);
        }
        self.buffer.drain(..length);
        // Interim responses precede the final one (RFC 9110 section 15.2).
        if (100..200).contains(&head.status) {
            return Ok(Progress::Incomplete);
        }
        let framing = if std::mem::take(&mut self.expects_no_body) {
            Framing::Length(0)
        } else {
            framing(self.side, &head)?
        };
        self.state = framing.into();
        if matches!(framing, Framing::Length(length) if length > self.limits.body) {
            return Err(MessageError::BodyTooLong);
        }
        head.closes_connection |= framing == Framing::UntilClose;
        self.body_length = 0;
        out.push(MessageEvent::Head(head));
        Ok(if framing == Framing::Length(0) { self.complete(out) } else { Progress::Incomplete })
    }

    fn decode_body(
        &mut self,
        remaining: usize,
        out: &mut Vec<MessageEvent>,
    ) -> Result<Progress, MessageError> {
        let remaining = remaining - self.take_body_piece(remaining, out)?;
        self.state = State::Length { remaining };
        Ok(if remaining == 0 { self.complete(out) } else { Progress::Incomplete })
    }

    /// Appends the buffered bytes of the body to `out`, at most `max_length`; returns their number.
    fn take_body_piece(
        &mut self,
        max_length: usize,
        out: &mut Vec<MessageEvent>,
    ) -> Result<usize, MessageError> {
        let length = self.buffer.len().min(max_length);
        if length > self.remaining_body_limit() {
            return Err(MessageError::BodyTooLong);
        }
        self.body_length += length;
        if length > 0 && length == self.buffer.len() {
            out.push(MessageEvent::Body(std::mem::take(&mut self.buffer)));
        } else if length > 0 {
            out.push(MessageEvent::Body(self.buffer.drain(..length).collect()));
        }
        Ok(length)
    }

    fn remaining_body_limit(&self) -> usize {
        self.limits.body.saturating_sub(self.body_length)
    }

    fn decode_chunk_size(&mut self) -> Result<Progress, MessageError> {
        let (line_length, size) = match httparse::parse_chunk_size(&self.buffer) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if self.buffer.len() > CHUNK_SIZE_LINE_MAX => {
                return Err(MessageError::Chunk);
            }
            Ok(httparse::Status::Partial) => return Ok(Progress::Incomplete),
            Err(_) => return Err(MessageError::Chunk),
        };
        let size = usize::try_from(size).map_err(|_| MessageError::BodyTooLong)?;
        if size > self.remaining_body_limit() {
            return Err(MessageError::BodyTooLong);
        }
        self.buffer.drain(..line_length);
        self.state = if size == 0 { State::Trailers } else { State::Chunk { remaining: size } };
        Ok(Progress::Incomplete)
    }

    fn decode_chunk(
        &mut self,
        remaining: usize,
        out: &mut Vec<MessageEvent>,
    ) -> Result<Progress, MessageError> {
        let remaining = remaining - self.take_body_piece(remaining, out)?;
        self.state = if remaining == 0 { State::ChunkEnd } else { State::Chunk { remaining } };
        Ok(Progress::Incomplete)
    }

    fn decode_chunk_end(&mut self) -> Result<Progress, MessageError> {
        if self.buffer.len() >= CRLF.len() {
            if !self.buffer.starts_with(CRLF) {
                return Err(MessageError::Chunk);
            }
            self.buffer.drain(..CRLF.len());
            self.state = State::ChunkSize;
        }
        Ok(Progress::Incomplete)
    }

    /// Discards the trailer fields, as RFC 9112 section 7.1.2 allows.
    fn skip_trailers(&mut self, out: &mut Vec<MessageEvent>) -> Result<Progress, MessageError> {
        let end = if self.buffer.starts_with(CRLF) {
            Some(CRLF.len())
        } else {
            self.buffer
                .windows(EMPTY_LINE.len())
                .position(|w| w == EMPTY_LINE)
                .map(|at| at + EMPTY_LINE.len())
        };
        match end {
            Some(end) => {
                self.buffer.drain(..end);
                Ok(self.complete(out))
            }
            None if self.buffer.len() > self.limits.head => Err(MessageError::HeadTooLong),
            None => Ok(Progress::Incomplete),
        }
    }
}
