//! A folder of content-addressed blobs, and of small documents beside them, that survives a crash at every step.
//!
//! It guards content against half writes and against rot: a blob is written under a temporary name, synced, verified
//! against its digest and only then renamed to its own; a reader gets content that matches its digest or an error. It
//! does no I/O of its own but through [`Files`], so that tests can cut the power at each step. The gateway's plug-in
//! host and its commands call it.
//!
//! Layout: `blobs/sha256/HEX`, `partial/HEX` (a pull that broke off and can be resumed), `staged/NAME`
//! (a push in parts, whose digest comes at its end), `documents/NAME`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod files;
mod memory;
mod store;

pub use files::{Disk, Files};
pub use memory::Memory;
pub use store::{BlobError, BlobStore, Partial};
