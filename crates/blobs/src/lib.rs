//! A crash-safe store of content-addressed blobs and of small documents in one folder.
//!
//! Invariants: a blob has its final name only after it was written under a temporary one, verified against
//! its digest and synced; reading a blob returns content that matches its digest, or an error; after a crash
//! a document has its old or its new content. The store does all its I/O through [`Files`], so that tests can
//! interrupt it at each step. The gateway's plug-in host, its commands and the registry of plug-ins use it.
//!
//! Layout: `blobs/sha256/HEX`, `partial/HEX` (an interrupted pull, to be resumed), `staged/NAME` (a push in
//! chunks, whose digest is sent with its last request), `documents/NAME`.
#![forbid(unsafe_code)]

mod error;
mod files;
mod layout;
mod memory;
mod store;

pub use error::BlobError;
pub use files::{Disk, Files};
pub use memory::{MemoryFile, MemoryFiles};
pub use store::{BlobStore, Partial};
