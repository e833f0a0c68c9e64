//! The platform's line protocol of workers, client side: requests encoded as lines, replies parsed within bounds.
//!
//! `NOENT`, `AGAIN` and `STALE` prove that a request never ran; after any other end it may have run. A line without end, a
//! length that does not fit its body or exceeds the bound is an error that ends the connection. Replies under an unknown
//! id, and duplicates, are ignored, but the connection is not reused after them. The gateway's connection pool calls this
//! through [`WorkerProtocol`].

mod reply;

use reply::{RawReply, RequestKind};
use slatevalve_worker_protocol::{
    CompletedRequest, MalformedReply, ReplyReader, Tag, WorkerProtocol, WorkerRequest,
};

/// The protocol, as the operators' settings configure it.
#[derive(Clone, Copy, Debug)]
pub struct LineProtocol {
    /// Requests that one connection may carry at a time.
    pub max_streams: usize,
    /// Whether replies state the queue depth of their function; one that does not then has depth 0.
    pub reports_queue_depth: bool,
}

/// The id of a request on the wire: the client's own for a call, else a name made from the tag.
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

/// A request whose reply has not come.
struct PendingRequest {
    tag: Tag,
    id: String,
    kind: RequestKind,
}

/// Parses the replies of one connection.
struct LineReader {
    reports_queue_depth: bool,
    /// Requests on the connection; bounded by [`LineProtocol::max_streams`].
    pending: Vec<PendingRequest>,
    buffer: Vec<u8>,
    /// Whether bytes came that belong to no pending request.
    unsolicited: bool,
}

impl LineReader {
    /// Completes the pending request that `reply` names.
    ///
    /// # Errors
    /// Where the reply is malformed; the request then stays pending, as it may have run.
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

    /// Parses replies from the buffer until one is incomplete or malformed; `consumed` counts the bytes of whole ones.
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
