//! HTTP/1.1 message parsing (RFC 9112) with size limits, without I/O.
//!
//! [`MessageDecoder`] decodes a message incrementally and returns its body as it arrives (layers of plug-ins,
//! the watch of a registry); [`MessageReader`] collects whole messages (the worker protocol). Both limit the
//! size of head and body, and reject framing that two parsers could interpret differently (request
//! smuggling).
//!
//! | module | concern |
//! | --- | --- |
//! | `decoder` | incremental decoding of one message after another |
//! | `reader` | whole messages |
//! | `head` | start line, headers and body framing |
//! | `error` | why bytes are rejected |
#![forbid(unsafe_code)]

mod decoder;
mod error;
mod head;
mod reader;

pub use decoder::{Limits, MessageDecoder, MessageEvent};
pub use error::MessageError;
pub use head::{Head, Side};
pub use reader::{Message, MessageReader};
