//! The server side of the protocol, as far as the relay and the test registry share it.

use crate::wire::{Streamed, WatchResponse};

/// Returns whether a key lies in a range: an empty end stands for only the key `from`, a single zero byte for all keys from
/// there on.
#[must_use]
pub fn is_in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

/// Encodes a complete HTTP response; `headers` are additional header lines, each with its line end.
#[must_use]
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// The head of a watch's response, whose body is a stream of chunks.
pub const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The end of a watch's response.
pub const WATCH_END: &[u8] = b"0\r\n\r\n";

/// Encodes one line of a watch's response.
#[must_use]
pub fn watch_line(response: WatchResponse) -> Vec<u8> {
    let streamed = Streamed { result: Some(response), error: None };
    let mut line = serde_json::to_vec(&streamed).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Encodes a chunk of a body without a stated length (RFC 9112, "Chunked Transfer Coding").
#[must_use]
pub fn chunk(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
}
