//! What a pool of connections must know of a protocol that workers speak: requests into bytes, bytes into their ends.
//!
//! It guards the pool against knowing any one of them: [`Http`] is the Open Inference Protocol, one request at a time on
//! a connection; the platform's lines are another. Called by the gateway's pool.

use crate::order::WorkerRequest;
use crate::reply::{self, ParsedReply};
use slatevalve_http::{Limits, MessageReader, Side};

/// A request on one connection, as the pool numbers it; never used twice on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tag(pub u64);

/// The end of a request, as a worker told it.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRequest {
    /// Which request.
    pub tag: Tag,
    /// What came of it.
    pub understood: ParsedReply,
}

/// The bytes are none of the protocol; the connection is of no use afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedReply;

/// One protocol.
pub trait WorkerProtocol {
    /// Requests that one connection may carry at a time.
    fn streams(&self) -> usize;
    /// Whether a request may run of which the worker has only a part.
    fn partial_request_may_run(&self) -> bool;
    /// A reader for a new connection.
    fn reader(&self) -> Box<dyn Reader>;
    /// A request's bytes; `host` is the worker's address.
    fn encode(&self, host: &str, tag: Tag, order: &WorkerRequest) -> Vec<u8>;
    /// The bytes that give a request up, where the protocol has any.
    fn give_up(&self, order: &WorkerRequest) -> Option<Vec<u8>>;
}

/// What comes back on one connection.
pub trait Reader {
    /// A request goes out on the connection.
    fn expect(&mut self, tag: Tag, order: &WorkerRequest);
    /// A request is over for us; what still comes for it is passed over.
    fn forget(&mut self, tag: Tag);
    /// Takes bytes; appends the requests that ended with them.
    ///
    /// # Errors
    /// When the bytes are none of the protocol. What was appended before stands.
    fn feed(&mut self, bytes: &[u8], out: &mut Vec<CompletedRequest>) -> Result<(), MalformedReply>;
    /// The connection ended: the request that only this end completes, if any.
    fn end(&mut self) -> Option<CompletedRequest>;
    /// Whether nothing of a further answer has come and the worker will take further requests.
    fn is_clean(&self) -> bool;
}

/// The Open Inference Protocol over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct Http {
    /// The gateway's name, as workers see it.
    pub gateway: String,
    /// Limits of an answer.
    pub limits: Limits,
}

impl WorkerProtocol for Http {
    fn streams(&self) -> usize {
        1
    }

    fn partial_request_may_run(&self) -> bool {
        true
    }

    fn reader(&self) -> Box<dyn Reader> {
        let reader = MessageReader::new(Side::Response, self.limits);
        Box::new(HttpReader { reader, expected: None, last: false })
    }

    fn encode(&self, host: &str, _: Tag, order: &WorkerRequest) -> Vec<u8> {
        order.encode(host, &self.gateway)
    }

    fn give_up(&self, _: &WorkerRequest) -> Option<Vec<u8>> {
        None
    }
}

struct HttpReader {
    reader: MessageReader,
    expected: Option<(Tag, WorkerRequest)>,
    last: bool,
}

impl Reader for HttpReader {
    fn expect(&mut self, tag: Tag, order: &WorkerRequest) {
        self.expected = Some((tag, order.clone()));
    }

    fn forget(&mut self, _: Tag) {
        self.expected = None;
    }

    fn feed(&mut self, bytes: &[u8], out: &mut Vec<CompletedRequest>) -> Result<(), MalformedReply> {
        // Nothing was asked: whatever this answers, it is nobody's.
        let (tag, order) = self.expected.as_ref().ok_or(MalformedReply)?;
        if let Some(message) = self.reader.feed(bytes).map_err(|_| MalformedReply)? {
            self.last = message.head.last;
            out.push(CompletedRequest { tag: *tag, understood: reply::read(order, message) });
            self.expected = None;
        }
        Ok(())
    }

    fn end(&mut self) -> Option<CompletedRequest> {
        let (tag, order) = self.expected.take()?;
        let message = self.reader.end().ok()??;
        Some(CompletedRequest { tag, understood: reply::read(&order, message) })
    }

    fn is_clean(&self) -> bool {
        !self.last && self.reader.is_idle()
    }
}
