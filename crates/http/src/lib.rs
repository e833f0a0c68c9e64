//! HTTP/1.1 messages without I/O (RFC 9112): bytes in, heads and bodies out, within limits.
//!
//! It guards whoever reads a socket against heads and bodies without end and against framing that two readers could take
//! differently. [`PartReader`] hands a body on as it comes (layers of plug-ins, a registry's watch), [`MessageReader`]
//! gathers whole messages (the workers' protocol). `worker-wire`, `oci` and the stand-ins call it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod message;
mod parts;

pub use message::{Message, MessageReader};
pub use parts::{Head, Limits, MessageError, Part, PartReader, Side};
