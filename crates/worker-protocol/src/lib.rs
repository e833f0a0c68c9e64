//! The workers' protocol without I/O: Open Inference Protocol v2 with the model-repository extension, over
//! HTTP/1.1, both sides.
//!
//! It guards the one fact that the safety of charges hangs on: what proves that a call never ran. Only an answer
//! that says so in the profile's own header does ([`reply::read`]); every other one may have run. The gateway calls
//! the client side ([`WorkerRequest::encode`], [`MessageReader`], [`reply::read`]), the stand-in worker the server side
//! ([`ParsedRequest::read`], [`Reply::encode`]). The table of headers stands in `docs/worker-protocol.md`.
//!
//! Sources: KServe "Open Inference Protocol" v2 (inference, health), its model-repository extension and
//! binary-tensor-data extension; RFC 9112 (HTTP/1.1 messages); ORCA load reports (`endpoint-load-metrics`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod headers;
mod order;
pub mod reply;
mod tensor;
mod wire;

pub use order::{Call, ParsedRequest, RequestError, WorkerRequest};
pub use reply::{LoadReport, Reply};
pub use slatevalve_http::{Head, Limits, Message, MessageError, MessageReader, Side};
pub use tensor::TensorError;
pub use wire::{CompletedRequest, Http, MalformedReply, Reader, Tag, WorkerProtocol};
