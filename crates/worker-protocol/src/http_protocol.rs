//! The Open Inference Protocol over HTTP/1.1 as a [`WorkerProtocol`].

use crate::protocol::{CompletedRequest, MalformedReply, ReplyReader, Tag, WorkerProtocol};
use crate::reply;
use crate::request::WorkerRequest;
use slatevalve_http::{Limits, MessageReader, Side};

/// The Open Inference Protocol over HTTP/1.1, with one request at a time on a connection.
#[derive(Clone, Debug)]
pub struct HttpProtocol {
    /// Name of the gateway, sent to workers in the header [`GATEWAY`](crate::headers::GATEWAY).
    pub gateway: String,
    /// Size limits of a response.
    pub limits: Limits,
}

impl WorkerProtocol for HttpProtocol {
    fn max_streams(&self) -> usize {
        1
    }

    fn can_run_partial_request(&self) -> bool {
        true
    }

    fn reader(&self) -> Box<dyn ReplyReader> {
        let messages = MessageReader::new(Side::Response, self.limits);
        Box::new(HttpReader { messages, pending: None, is_closing: false })
    }

    fn encode(&self, host: &str, _: Tag, request: &WorkerRequest) -> Vec<u8> {
        request.encode(host, &self.gateway)
    }

    fn encode_cancel(&self, _: &WorkerRequest) -> Option<Vec<u8>> {
        None
    }
}

/// A request that waits for its response.
struct PendingRequest {
    tag: Tag,
    request: WorkerRequest,
}

struct HttpReader {
    messages: MessageReader,
    pending: Option<PendingRequest>,
    /// Whether the worker closes the connection after the last response.
    is_closing: bool,
}

impl ReplyReader for HttpReader {
    fn expect(&mut self, tag: Tag, request: &WorkerRequest) {
        self.pending = Some(PendingRequest { tag, request: request.clone() });
    }

    fn forget(&mut self, _: Tag) {
        self.pending = None;
    }

    fn feed(&mut self, bytes: &[u8], out: &mut Vec<CompletedRequest>) -> Result<(), MalformedReply> {
        // Bytes that arrive without a pending request belong to no response.
        let PendingRequest { tag, request } = self.pending.as_ref().ok_or(MalformedReply)?;
        if let Some(message) = self.messages.feed(bytes).map_err(|_| MalformedReply)? {
            self.is_closing = message.head.closes_connection;
            out.push(CompletedRequest { tag: *tag, reply: reply::read(request, message) });
            self.pending = None;
        }
        Ok(())
    }

    fn end(&mut self) -> Option<CompletedRequest> {
        let PendingRequest { tag, request } = self.pending.take()?;
        let message = self.messages.end().ok()??;
        Some(CompletedRequest { tag, reply: reply::read(&request, message) })
    }

    fn is_reusable(&self) -> bool {
        !self.is_closing && self.messages.is_idle()
    }
}
