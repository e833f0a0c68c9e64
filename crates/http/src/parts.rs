//! One HTTP/1.1 message after another from bytes that come in pieces: the head, then the body as it comes (RFC 9112).
//!
//! It guards against heads and bodies without end, ambiguous framing (both a length and chunks, two lengths: RFC 9112
//! section 6.3) and bytes after the message, as nothing here ever pipelines.

use std::fmt;

/// Most headers of one message.
const MAX_HEADERS: usize = 64;

/// Which message is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A request, as a worker reads it.
    Request,
    /// A response, as the gateway reads it.
    Response,
}

/// How much of a message is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the head, start line and headers.
    pub head: usize,
    /// Bytes of the body, chunk framing not counted.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, body: 8 * 1024 * 1024 }
    }
}

/// Start line and headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Names as sent, and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whether the sender will close the connection after this message.
    pub last: bool,
}

impl Head {
    /// The value of a header, where it is present once or more and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, v)| std::str::from_utf8(v).ok()).map(str::trim)
    }
}

/// Why bytes are no message of this profile. The connection is of no use afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// Not HTTP/1.1.
    Syntax,
    /// The head is longer than the limit, or has more headers.
    HeadTooLong,
    /// The body is longer than the limit.
    BodyTooLong,
    /// Both a length and chunks, several lengths, a transfer coding other than chunked, or a length that is no
    /// number.
    Framing,
    /// A chunk's size line or end is malformed.
    Chunk,
    /// Bytes after the end of the message.
    Trailing,
    /// The connection ended before the message.
    Cut,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::Syntax => "not HTTP/1.1",
            MessageError::HeadTooLong => "the head is too long",
            MessageError::BodyTooLong => "the body is too long",
            MessageError::Framing => "the body's length is stated wrongly or twice",
            MessageError::Chunk => "a chunk is malformed",
            MessageError::Trailing => "bytes came after the message",
            MessageError::Cut => "the connection ended within the message",
        })
    }
}

impl std::error::Error for MessageError {}

/// What came of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Start line and headers.
    Head(Head),
    /// A piece of the body, without chunk framing; never empty.
    Body(Vec<u8>),
    /// The message is whole.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// So many bytes of the body are to come.
    Length(usize),
    UntilClose,
    ChunkSize,
    /// So many bytes of the chunk are to come, and the line end behind them.
    Chunk(usize),
    ChunkEnd,
    Trailers,
}

/// Reads one message after another from one connection.
#[derive(Debug)]
pub struct PartReader {
    side: Side,
    limits: Limits,
    buffer: Vec<u8>,
    state: State,
    /// Bytes of the body that have come.
    body: usize,
    /// The next response answers a HEAD request: it has no body, whatever its head says.
    bodiless: bool,
}

impl PartReader {
    /// A reader at the start of a message.
    pub fn new(side: Side, limits: Limits) -> Self {
        PartReader { side, limits, buffer: Vec::new(), state: State::Head, body: 0, bodiless: false }
    }

    /// The next response answers a HEAD request (RFC 9110 section 9.3.2).
    pub fn expect_no_body(&mut self) {
        self.bodiless = true;
    }

    /// Whether nothing of the next message has come yet.
    pub fn is_idle(&self) -> bool {
        self.state == State::Head && self.buffer.is_empty()
    }

    /// Takes bytes; appends what came of them to `out`. After [`Part::End`] the next message may begin.
    ///
    /// # Errors
    /// When the bytes are no message of this profile; the connection is then to be closed. What was appended before the
    /// error stands.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Part>) -> Result<(), MessageError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let before = (self.state, self.buffer.len());
            if self.step(out)? {
                // Never pipelined: whatever follows a message before it was answered belongs to nobody.
                return if self.buffer.is_empty() { Ok(()) } else { Err(MessageError::Trailing) };
            }
            if before == (self.state, self.buffer.len()) {
                return Ok(());
            }
        }
    }

    /// The connection ended: whether that end makes a message whole that began.
    ///
    /// # Errors
    /// [`MessageError::Cut`] where a message had begun and is not whole.
    pub fn end(&mut self) -> Result<bool, MessageError> {
        match self.state {
            State::UntilClose => {
                self.state = State::Head;
                Ok(true)
            }
            State::Head if self.buffer.is_empty() => Ok(false),
            _ => Err(MessageError::Cut),
        }
    }

    /// One step; whether the message is whole. No step that changes nothing can go on without more bytes.
    fn step(&mut self, out: &mut Vec<Part>) -> Result<bool, MessageError> {
        match self.state {
            State::Head => self.head(out),
            State::Length(left) => {
                let left = left - self.body_piece(left, out)?;
                self.state = State::Length(left);
                Ok(left == 0 && self.finish(out))
            }
            State::UntilClose => {
                self.body_piece(usize::MAX, out)?;
                Ok(false)
            }
            State::ChunkSize => self.chunk_size(),
            State::Chunk(left) => {
                let left = left - self.body_piece(left, out)?;
                self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                Ok(false)
            }
            State::ChunkEnd => {
                if self.buffer.len() >= 2 {
                    if !self.buffer.starts_with(b"\r\n") {
                        return Err(MessageError::Chunk);
                    }
                    self.buffer.drain(..2);
                    self.state = State::ChunkSize;
                }
                Ok(false)
            }
            State::Trailers => self.trailers(out),
        }
    }

    fn finish(&mut self, out: &mut Vec<Part>) -> bool {
        self.state = State::Head;
        out.push(Part::End);
        true
    }

    fn head(&mut self, out: &mut Vec<Part>) -> Result<bool, MessageError> {
        let (length, head) = match parse_head(self.side, &self.buffer)? {
            Some(found) => found,
            None if self.buffer.len() > self.limits.head => return Err(MessageError::HeadTooLong),
            None => return Ok(false),
        };
        if length > self.limits.head {
            return Err(MessageError::HeadTooLong);
        }
        self.buffer.drain(..length);
        // 1xx responses come before the one that counts (RFC 9110 section 15.2).
        if (100..200).contains(&head.status) {
            return Ok(false);
        }
        let mut head = head;
        let bodiless = std::mem::take(&mut self.bodiless);
        self.state = if bodiless { State::Length(0) } else { framing(self.side, &head)? };
        if matches!(self.state, State::Length(n) if n > self.limits.body) {
            return Err(MessageError::BodyTooLong);
        }
        head.last |= self.state == State::UntilClose;
        self.body = 0;
        out.push(Part::Head(head));
        Ok(self.state == State::Length(0) && self.finish(out))
    }

    /// Hands on at most `most` bytes of the body; gives how many.
    fn body_piece(&mut self, most: usize, out: &mut Vec<Part>) -> Result<usize, MessageError> {
        let count = self.buffer.len().min(most);
        if count > self.limits.body.saturating_sub(self.body) {
            return Err(MessageError::BodyTooLong);
        }
        self.body += count;
        if count > 0 && count == self.buffer.len() {
            out.push(Part::Body(std::mem::take(&mut self.buffer)));
        } else if count > 0 {
            out.push(Part::Body(self.buffer.drain(..count).collect()));
        }
        Ok(count)
    }

    fn chunk_size(&mut self) -> Result<bool, MessageError> {
        let (start, size) = match httparse::parse_chunk_size(&self.buffer) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if self.buffer.len() > 256 => return Err(MessageError::Chunk),
            Ok(httparse::Status::Partial) => return Ok(false),
            Err(_) => return Err(MessageError::Chunk),
        };
        let size = usize::try_from(size).map_err(|_| MessageError::BodyTooLong)?;
        if size > self.limits.body.saturating_sub(self.body) {
            return Err(MessageError::BodyTooLong);
        }
        self.buffer.drain(..start);
        self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
        Ok(false)
    }

    /// Trailer fields are read over (RFC 9112 section 7.1.2 allows that).
    fn trailers(&mut self, out: &mut Vec<Part>) -> Result<bool, MessageError> {
        let rest = &self.buffer;
        let end = if rest.starts_with(b"\r\n") {
            Some(2)
        } else {
            rest.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4)
        };
        match end {
            Some(end) => {
                self.buffer.drain(..end);
                Ok(self.finish(out))
            }
            None if rest.len() > self.limits.head => Err(MessageError::HeadTooLong),
            None => Ok(false),
        }
    }
}

fn parse_head(side: Side, bytes: &[u8]) -> Result<Option<(usize, Head)>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let refuse = |e| match e {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLong,
        _ => MessageError::Syntax,
    };
    let mut head = Head::default();
    let (status, version, parsed) = match side {
        Side::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(refuse)?;
            head.method = request.method.unwrap_or_default().into();
            head.target = request.path.unwrap_or_default().into();
            (status, request.version, request.headers)
        }
        Side::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(bytes).map_err(refuse)?;
            head.status = response.code.unwrap_or_default();
            (status, response.version, response.headers)
        }
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    head.headers = parsed.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect();
    let connection = head.header("Connection").unwrap_or_default().to_ascii_lowercase();
    let says = |word: &str| connection.split(',').any(|part| part.trim() == word);
    head.last = says("close") || (version == Some(0) && !says("keep-alive"));
    Ok(Some((length, head)))
}

fn framing(side: Side, head: &Head) -> Result<State, MessageError> {
    let all = |name: &str| -> Vec<&[u8]> {
        let named = head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.trim_ascii()).collect()
    };
    let (codings, lengths) = (all("Transfer-Encoding"), all("Content-Length"));
    if side == Side::Response && matches!(head.status, 204 | 304) {
        return Ok(State::Length(0));
    }
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) if side == Side::Request => Ok(State::Length(0)),
        ([], []) => Ok(State::UntilClose),
        ([], [length]) => {
            let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(length).ok().filter(|_| digits);
            // A number too large for the type is too large a body as well.
            text.map(|t| State::Length(t.parse().unwrap_or(usize::MAX))).ok_or(MessageError::Framing)
        }
        ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => Ok(State::ChunkSize),
        _ => Err(MessageError::Framing),
    }
}
