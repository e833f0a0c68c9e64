//! One HTTP/1.1 message from bytes that come in pieces: head and body, within limits (RFC 9112).
//!
//! Both sides feed it what a socket brought. It guards against heads and bodies without end, ambiguous framing
//! (both a length and chunks, two lengths: RFC 9112 section 6.3) and bytes after the message, which the profile
//! forbids, as it never pipelines.

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

/// A whole message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Start line and headers.
    pub head: Head,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

#[derive(Debug)]
enum State {
    Head,
    Body(Framing),
    Done,
}

/// Reads one message after another from one connection.
#[derive(Debug)]
pub struct MessageReader {
    side: Side,
    limits: Limits,
    buffer: Vec<u8>,
    state: State,
    message: Message,
}

impl MessageReader {
    /// A reader at the start of a message.
    pub fn new(side: Side, limits: Limits) -> Self {
        MessageReader { side, limits, buffer: Vec::new(), state: State::Head, message: Message::default() }
    }

    /// Whether nothing of the next message has come yet.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Head) && self.buffer.is_empty()
    }

    /// Takes bytes; gives the message once it is whole, after which the next one may begin.
    ///
    /// # Errors
    /// When the bytes are no message of this profile; the connection is then to be closed.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Message>, MessageError> {
        self.buffer.extend_from_slice(bytes);
        if matches!(self.state, State::Head) {
            self.read_head()?;
        }
        if let State::Body(framing) = self.state {
            self.read_body(framing)?;
        }
        if !matches!(self.state, State::Done) {
            return Ok(None);
        }
        // Never pipelined: whatever follows a message before it was answered belongs to nobody.
        if !self.buffer.is_empty() {
            return Err(MessageError::Trailing);
        }
        self.state = State::Head;
        Ok(Some(std::mem::take(&mut self.message)))
    }

    /// The connection ended: gives the message that only this end completes, if any.
    ///
    /// # Errors
    /// [`MessageError::Cut`] where a message had begun and is not whole.
    pub fn end(&mut self) -> Result<Option<Message>, MessageError> {
        match self.state {
            State::Body(Framing::UntilClose) => {
                self.state = State::Head;
                Ok(Some(std::mem::take(&mut self.message)))
            }
            State::Head if self.buffer.is_empty() => Ok(None),
            _ => Err(MessageError::Cut),
        }
    }

    fn read_head(&mut self) -> Result<(), MessageError> {
        loop {
            let (length, head) = match parse_head(self.side, &self.buffer)? {
                Some(found) => found,
                None if self.buffer.len() > self.limits.head => return Err(MessageError::HeadTooLong),
                None => return Ok(()),
            };
            if length > self.limits.head {
                return Err(MessageError::HeadTooLong);
            }
            self.buffer.drain(..length);
            // 1xx responses come before the one that counts (RFC 9110 section 15.2).
            if (100..200).contains(&head.status) {
                continue;
            }
            let framing = framing(self.side, &head)?;
            if matches!(framing, Framing::Length(n) if n > self.limits.body) {
                return Err(MessageError::BodyTooLong);
            }
            self.message = Message { head, body: Vec::new() };
            if framing == Framing::UntilClose {
                self.message.head.last = true;
            }
            self.state = State::Body(framing);
            return Ok(());
        }
    }

    fn read_body(&mut self, framing: Framing) -> Result<(), MessageError> {
        match framing {
            Framing::Length(length) => {
                if self.buffer.len() >= length {
                    self.message.body = self.buffer.drain(..length).collect();
                    self.state = State::Done;
                }
                Ok(())
            }
            Framing::UntilClose => {
                self.message.body.append(&mut self.buffer);
                if self.message.body.len() > self.limits.body {
                    return Err(MessageError::BodyTooLong);
                }
                Ok(())
            }
            Framing::Chunked => self.read_chunks(),
        }
    }

    fn read_chunks(&mut self) -> Result<(), MessageError> {
        loop {
            let (start, size) = match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete(found)) => found,
                Ok(httparse::Status::Partial) if self.buffer.len() > 256 => return Err(MessageError::Chunk),
                Ok(httparse::Status::Partial) => return Ok(()),
                Err(_) => return Err(MessageError::Chunk),
            };
            let size = usize::try_from(size).map_err(|_| MessageError::BodyTooLong)?;
            if size > self.limits.body.saturating_sub(self.message.body.len()) {
                return Err(MessageError::BodyTooLong);
            }
            if size == 0 {
                return self.read_trailers(start);
            }
            // The chunk's data and the line end behind it.
            if self.buffer.len() < start + size + 2 {
                return Ok(());
            }
            if &self.buffer[start + size..start + size + 2] != b"\r\n" {
                return Err(MessageError::Chunk);
            }
            self.message.body.extend_from_slice(&self.buffer[start..start + size]);
            self.buffer.drain(..start + size + 2);
        }
    }

    /// Trailer fields are read over (RFC 9112 section 7.1.2 allows that).
    fn read_trailers(&mut self, start: usize) -> Result<(), MessageError> {
        let rest = &self.buffer[start..];
        let end = if rest.starts_with(b"\r\n") {
            Some(2)
        } else {
            rest.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4)
        };
        match end {
            Some(end) => {
                self.buffer.drain(..start + end);
                self.state = State::Done;
                Ok(())
            }
            None if rest.len() > self.limits.head => Err(MessageError::HeadTooLong),
            None => Ok(()),
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

fn framing(side: Side, head: &Head) -> Result<Framing, MessageError> {
    let all = |name: &str| -> Vec<&[u8]> {
        let named = head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.trim_ascii()).collect()
    };
    let (codings, lengths) = (all("Transfer-Encoding"), all("Content-Length"));
    if side == Side::Response && matches!(head.status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) if side == Side::Request => Ok(Framing::Length(0)),
        ([], []) => Ok(Framing::UntilClose),
        ([], [length]) => {
            let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(length).ok().filter(|_| digits);
            // A number too large for the type is too large a body as well.
            text.map(|t| Framing::Length(t.parse().unwrap_or(usize::MAX))).ok_or(MessageError::Framing)
        }
        ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        _ => Err(MessageError::Framing),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn whole(side: Side, bytes: &[u8]) -> Result<Option<Message>, MessageError> {
        MessageReader::new(side, Limits { head: 512, body: 64 }).feed(bytes)
    }

    #[test]
    fn pieces_of_any_size_give_the_same_message() {
        let bytes: &[u8] =
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
            4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\nT: v\r\n\r\n";
        for step in 1..bytes.len() {
            let mut reader = MessageReader::new(Side::Response, Limits { head: 512, body: 64 });
            let mut found = None;
            for piece in bytes.chunks(step) {
                assert!(found.is_none());
                found = reader.feed(piece).unwrap();
            }
            assert_eq!(found.expect("whole").body, b"abcdefg");
            assert!(reader.is_idle());
        }
    }

    #[test]
    fn framing_that_two_readers_could_take_differently_is_an_error() {
        let two = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na";
        let both = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        let sign = b"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na";
        for bytes in [&two[..], both, sign] {
            assert_eq!(whole(Side::Response, bytes), Err(MessageError::Framing));
        }
    }

    #[test]
    fn limits_hold_for_head_body_and_chunks() {
        let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(600));
        assert_eq!(whole(Side::Request, long.as_bytes()), Err(MessageError::HeadTooLong));
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(70));
        assert_eq!(whole(Side::Request, many.as_bytes()), Err(MessageError::HeadTooLong));
        let body = b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
        assert_eq!(whole(Side::Request, body), Err(MessageError::BodyTooLong));
        let huge = b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n";
        assert_eq!(whole(Side::Request, huge), Err(MessageError::BodyTooLong));
        let chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
        assert_eq!(whole(Side::Response, chunk), Err(MessageError::BodyTooLong));
    }

    #[test]
    fn a_cut_message_is_told_from_one_that_never_began() {
        let mut reader = MessageReader::new(Side::Response, Limits::default());
        assert_eq!(reader.end(), Ok(None));
        assert_eq!(reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"), Ok(None));
        assert_eq!(reader.end(), Err(MessageError::Cut));
        let mut reader = MessageReader::new(Side::Response, Limits::default());
        assert_eq!(reader.feed(b"HTTP/1.1 200 OK\r\n\r\nab"), Ok(None));
        let message = reader.end().unwrap().expect("ended by the close");
        assert!(message.head.last && message.body == b"ab");
    }

    #[test]
    fn bytes_after_a_message_are_an_error() {
        let two = b"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n";
        assert_eq!(whole(Side::Request, two), Err(MessageError::Trailing));
    }

    proptest::proptest! {
        #![proptest_config(proptest::test_runner::Config {
            rng_seed: proptest::test_runner::RngSeed::Fixed(5),
            failure_persistence: None,
            ..proptest::test_runner::Config::default()
        })]

        #[test]
        fn no_bytes_make_the_reader_panic_or_give_more_than_its_limits(
            pieces in proptest::collection::vec(proptest::collection::vec(0u8..=255, 0..80), 0..8),
            start in proptest::sample::select(vec![
                &b""[..], b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"HTTP/1.1 200 OK\r\n",
                b"POST /v2/models/a/infer HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
            ]),
        ) {
            for side in [Side::Request, Side::Response] {
                let mut reader = MessageReader::new(side, Limits { head: 128, body: 32 });
                let mut input = vec![start.to_vec()];
                input.extend(pieces.iter().cloned());
                for piece in &input {
                    match reader.feed(piece) {
                        Ok(Some(message)) => proptest::prop_assert!(message.body.len() <= 32),
                        Ok(None) => {}
                        Err(_) => break,
                    }
                }
                let _ = reader.end();
            }
        }
    }
}
