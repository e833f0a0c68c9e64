//! The worker protocol, client and server side, without I/O: Open Inference Protocol v2 with the
//! model-repository extension, over HTTP/1.1.
//!
//! Whether a call with side effects may be retried depends on the proof that it never ran. Only a response
//! with the profile's own header is such a proof ([`reply::read`]); after any other response the call may
//! have run.
//! The gateway uses the client side ([`WorkerRequest::encode`], [`MessageReader`], [`reply::read`]), the test
//! worker the server side ([`ParsedRequest::read`], [`Reply::encode`]). The headers are listed in
//! `docs/worker-protocol.md`.
//!
//! Sources: KServe "Open Inference Protocol" v2 (inference, health), its model-repository extension and
//! binary-tensor-data extension; RFC 9112 (HTTP/1.1 messages); ORCA load reports (`endpoint-load-metrics`).
#![forbid(unsafe_code)]

pub mod headers;
mod http_protocol;
mod load_report;
mod protocol;
pub mod reply;
mod request;
mod tensor;
mod text_encoding;

pub use http_protocol::HttpProtocol;
pub use load_report::LoadReport;
pub use protocol::{CompletedRequest, MalformedReply, ReplyReader, Tag, WorkerProtocol};
pub use reply::Reply;
pub use request::{Call, ParsedRequest, RequestError, WorkerRequest};
pub use slatevalve_http::{Head, Limits, Message, MessageError, MessageReader, Side};
pub use tensor::TensorError;
