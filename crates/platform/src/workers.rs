//! Client side of the platform's line protocol for workers: encoding of requests, bounded parsing of replies.
//!
//! A reply of `NOENT`, `AGAIN` or `STALE` means that the request never ran; after any other reply or failure
//! it may have run. An unterminated line, or a body length that exceeds the bound or does not match the body,
//! is an error that closes the connection. Replies with an unknown id and duplicate replies are ignored, but
//! the connection is not reused after them. The gateway's connection pool uses this module through
//! [`WorkerProtocol`].

mod reply;

use reply::{RawReply, RequestKind};
use slatevalve_worker_protocol::{
    CompletedRequest, MalformedReply, ReplyReader, Tag, WorkerProtocol, WorkerRequest,
};

/// Capacity that an empty receive buffer keeps: a connection that once carried much takes little while it is idle.
const RETAINED_CAPACITY: usize = 4 * 1024;

/// The line protocol, with the parameters from the operators' settings.
#[derive(Clone, Copy, Debug)]
pub struct LineProtocol {
    /// Limit of concurrent requests on one connection.
    pub max_streams: usize,
    /// Whether workers report the queue depth of a function in their replies; a reply without one then means
    /// depth 0.
    pub reports_queue_depth: bool,
}

/// The id of a request on the wire: the client's request id for a call, otherwise derived from the tag.
fn wire_id(tag: Tag, request: &WorkerRequest) -> String {
    match request {
        WorkerRequest::Infer(call) => call.request_id.clone(),
        _ => format!("t{}", tag.0),
    }
}

impl WorkerProtocol for LineProtocol {
    fn max_streams(&self) -> usize {
        self.max_streams
    }

    fn can_run_partial_request(&self) -> bool {
        false
    }

    fn reader(&self) -> Box<dyn ReplyReader> {
        Box::new(LineReader {
            reports_queue_depth: self.reports_queue_depth,
            pending: Vec::new(),
            buffer: Vec::new(),
            unsolicited: false,
        })
    }

    fn encode(&self, _: &str, tag: Tag, request: &WorkerRequest) -> Vec<u8> {
        let id = wire_id(tag, request);
        match request {
            WorkerRequest::Infer(call) => {
                let mut line = format!("exec {id} profile={},thing={}", call.class, call.function);
                line.push_str(&format!(",max={}", call.time_remaining_ms.max(1)));
                if let Some(key) = &call.key {
                    line.push_str(",replay=");
                    line.push_str(&String::from_utf8_lossy(key));
                }
                line.push_str(&format!(" {}\r\n", call.payload.len()));
                let mut bytes = line.into_bytes();
                bytes.extend_from_slice(&call.payload);
                bytes.extend_from_slice(b"\r\n");
                bytes
            }
            WorkerRequest::Load { function, copies } => {
                format!("ensure {id} thing={function},copies={copies}\r\n").into_bytes()
            }
            WorkerRequest::Count { function } => {
                format!("ensure {id} thing={function},copies=0\r\n").into_bytes()
            }
            WorkerRequest::Unload { function } => format!("release {function}\r\n").into_bytes(),
            WorkerRequest::Ready => format!("load {id}\r\n").into_bytes(),
        }
    }

    fn encode_cancel(&self, request: &WorkerRequest) -> Option<Vec<u8>> {
        match request {
            WorkerRequest::Infer(call) => Some(format!("drop {}\r\n", call.request_id).into_bytes()),
            _ => None,
        }
    }
}

/// A request without a reply so far.
struct PendingRequest {
    tag: Tag,
    id: String,
    kind: RequestKind,
}

/// Parser of the replies on one connection.
struct LineReader {
    reports_queue_depth: bool,
    /// Requests in flight; bounded by [`LineProtocol::max_streams`].
    pending: Vec<PendingRequest>,
    buffer: Vec<u8>,
    /// Whether bytes were received that belong to no pending request; the connection must then not be reused.
    unsolicited: bool,
}

impl LineReader {
    /// Completes the pending request with the id of `reply`; `None` if there is none.
    ///
    /// # Errors
    /// If the reply is malformed; the request then stays pending, because it may have run.
    fn complete(
        pending: &mut Vec<PendingRequest>,
        reply: &RawReply<'_>,
        reports_queue_depth: bool,
    ) -> Result<Option<CompletedRequest>, MalformedReply> {
        let Some(index) = pending.iter().position(|request| request.id == reply.id) else { return Ok(None) };
        let request = pending.remove(index);
        match reply.interpret(request.kind, reports_queue_depth) {
            Some(reply) => Ok(Some(CompletedRequest { tag: request.tag, reply })),
            None => {
                pending.push(request);
                Err(MalformedReply)
            }
        }
    }

    /// Parses replies from the buffer until one is incomplete or malformed; adds the bytes of complete ones
    /// to `consumed`.
    fn parse_buffer(
        &mut self,
        consumed: &mut usize,
        out: &mut Vec<CompletedRequest>,
    ) -> Result<(), MalformedReply> {
        while let Some(reply) = RawReply::parse(self.buffer.get(*consumed..).unwrap_or_default())? {
            *consumed += reply.length;
            match Self::complete(&mut self.pending, &reply, self.reports_queue_depth)? {
                Some(completed) => out.push(completed),
                None => self.unsolicited = true,
            }
        }
        Ok(())
    }
}

impl ReplyReader for LineReader {
    fn expect(&mut self, tag: Tag, request: &WorkerRequest) {
        let kind = match request {
            // The protocol has no reply to an unload.
            WorkerRequest::Unload { .. } => return,
            WorkerRequest::Infer(_) => RequestKind::Call,
            _ => RequestKind::Control,
        };
        self.pending.push(PendingRequest { tag, id: wire_id(tag, request), kind });
    }

    fn forget(&mut self, tag: Tag) {
        self.pending.retain(|request| request.tag != tag);
    }

    fn feed(&mut self, bytes: &[u8], out: &mut Vec<CompletedRequest>) -> Result<(), MalformedReply> {
        self.buffer.extend_from_slice(bytes);
        let mut consumed = 0;
        let result = self.parse_buffer(&mut consumed, out);
        self.buffer.drain(..consumed);
        if self.buffer.is_empty() {
            self.buffer.shrink_to(RETAINED_CAPACITY);
        }
        if self.pending.is_empty() && !self.buffer.is_empty() {
            self.unsolicited = true;
        }
        result
    }

    fn end(&mut self) -> Option<CompletedRequest> {
        None
    }

    fn is_reusable(&self) -> bool {
        !self.unsolicited && self.buffer.is_empty()
    }
}

#[cfg(test)]
mod tests;
