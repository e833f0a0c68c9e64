//! Start line, headers and body framing of a message.

use crate::error::MessageError;

/// Maximum number of headers of one message.
const MAX_HEADERS: usize = 64;

/// Kind of the messages to parse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests, as received by a server.
    Request,
    /// Responses, as received by a client.
    Response,
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
    /// Header names and values, as sent and in the order of transmission.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whether the sender closes the connection after this message.
    pub closes_connection: bool,
}

impl Head {
    /// Returns the first value of a header, trimmed; `None` if it is absent or not UTF-8. Names are
    /// case-insensitive.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.values(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns the values of all headers with a name.
    fn values<'a: 'n, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + 'n {
        self.headers
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Whether the `Connection` header lists an option (RFC 9110 section 7.6.1).
    fn has_connection_option(&self, option: &str) -> bool {
        let options = self.header("Connection").unwrap_or_default();
        options.split(',').any(|listed| listed.trim().eq_ignore_ascii_case(option))
    }
}

/// A parsed head.
pub(crate) struct ParsedHead {
    pub(crate) head: Head,
    /// Length in bytes, including the empty line.
    pub(crate) length: usize,
}

/// Parses the head at the start of `bytes`; `None` if it is incomplete.
pub(crate) fn parse_head(side: Side, bytes: &[u8]) -> Result<Option<ParsedHead>, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = Head::default();
    let (status, version, parsed) = match side {
        Side::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes)?;
            head.method = request.method.unwrap_or_default().into();
            head.target = request.path.unwrap_or_default().into();
            (status, request.version, request.headers)
        }
        Side::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(bytes)?;
            head.status = response.code.unwrap_or_default();
            (status, response.version, response.headers)
        }
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    head.headers = parsed.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect();
    let is_http_1_0 = version == Some(0);
    head.closes_connection =
        head.has_connection_option("close") || (is_http_1_0 && !head.has_connection_option("keep-alive"));
    Ok(Some(ParsedHead { head, length }))
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Determines the framing of a message's body (RFC 9112 section 6.3).
pub(crate) fn framing(side: Side, head: &Head) -> Result<Framing, MessageError> {
    if side == Side::Response && matches!(head.status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let codings: Vec<&[u8]> = head.values("Transfer-Encoding").map(<[u8]>::trim_ascii).collect();
    let lengths: Vec<&[u8]> = head.values("Content-Length").map(<[u8]>::trim_ascii).collect();
    match (codings.as_slice(), lengths.as_slice()) {
        ([], []) if side == Side::Request => Ok(Framing::Length(0)),
        ([], []) => Ok(Framing::UntilClose),
        ([], [length]) => content_length(length).map(Framing::Length),
        ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        _ => Err(MessageError::Framing),
    }
}

/// Parses a length. One that does not fit in `usize` becomes `usize::MAX`, which exceeds any limit.
fn content_length(value: &[u8]) -> Result<usize, MessageError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(MessageError::Framing);
    }
    let text = std::str::from_utf8(value).map_err(|_| MessageError::Framing)?;
    Ok(text.parse().unwrap_or(usize::MAX))
}
