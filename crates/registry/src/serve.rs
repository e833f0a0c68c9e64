//! Server side of the protocol: the functions shared by the relay and the test registry.

use crate::wire::{Streamed, WatchResponse};

/// Returns whether a key is in the range from `from` (inclusive) to `end` (exclusive). An empty `end` selects
/// only the key `from`, a single zero byte all keys from there on.
#[must_use]
pub fn is_in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

/// Encodes a complete HTTP response with a JSON body. `headers` holds additional header lines, each
/// terminated by CRLF.
#[must_use]
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// The head of the response to a watch, whose body is chunked.
pub const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The last chunk, which ends the response to a watch.
pub const WATCH_END: &[u8] = b"0\r\n\r\n";

/// Encodes one line of the response to a watch; not yet chunked.
#[must_use]
pub fn watch_line(response: WatchResponse) -> Vec<u8> {
    let streamed = Streamed { result: Some(response), error: None };
    let mut line = serde_json::to_vec(&streamed).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Encodes a chunk of a body (RFC 9112, "Chunked Transfer Coding"). `piece` must not be empty, because an
/// empty chunk ends the body.
#[must_use]
pub fn chunk(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
}
