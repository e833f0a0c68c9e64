//! The interface between the connection pool and a worker protocol: requests to bytes, bytes to completed
//! requests.
//!
//! The pool depends on these traits only. [`crate::HttpProtocol`] implements the Open Inference Protocol with
//! one request at a time on a connection; the platform's line protocol is another implementation.

use crate::reply::ParsedReply;
use crate::request::WorkerRequest;
use std::fmt;

/// Identifies a request on one connection. The pool assigns it and never reuses it on the same connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag(pub u64);

/// A request whose reply was received.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRequest {
    /// Tag of the request.
    pub tag: Tag,
    /// The reply to it.
    pub reply: ParsedReply,
}

/// The received bytes violate the protocol; the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedReply;

impl fmt::Display for MalformedReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the reply violates the worker protocol")
    }
}

impl std::error::Error for MalformedReply {}

/// A worker protocol.
pub trait WorkerProtocol {
    /// Maximum number of concurrent requests on one connection.
    fn max_streams(&self) -> usize;
    /// Whether a worker may run a request of which it received only a part; if so, a partly written request
    /// may have run.
    fn can_run_partial_request(&self) -> bool;
    /// Creates the reader of a new connection.
    fn reader(&self) -> Box<dyn ReplyReader>;
    /// Encodes a request; `host` is the worker's address, `tag` identifies the request on its connection.
    fn encode(&self, host: &str, tag: Tag, request: &WorkerRequest) -> Vec<u8>;
    /// Encodes the cancellation of a request, if the protocol has one.
    fn encode_cancel(&self, request: &WorkerRequest) -> Option<Vec<u8>>;
}

/// Parses the replies on one connection.
pub trait ReplyReader {
    /// Registers a request that is sent on the connection.
    fn expect(&mut self, tag: Tag, request: &WorkerRequest);
    /// Discards a request; a reply to it will be ignored.
    fn forget(&mut self, tag: Tag);
    /// Parses received bytes and appends the requests that they complete.
    ///
    /// # Errors
    /// If the bytes violate the protocol. Requests appended before the error remain valid.
    fn feed(&mut self, bytes: &[u8], out: &mut Vec<CompletedRequest>) -> Result<(), MalformedReply>;
    /// Handles that the peer closed the connection: returns the request whose reply is completed by that, if
    /// any.
    fn end(&mut self) -> Option<CompletedRequest>;
    /// Whether the connection can carry further requests: no reply is partly received, and the worker has not
    /// announced that it will close the connection.
    fn is_reusable(&self) -> bool;
}
