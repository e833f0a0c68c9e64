//! The OCI distribution protocol for plug-ins, client and server, without I/O (OCI distribution specification
//! 1.1, OCI image specification 1.1).
//!
//! [`Pull`] and [`Push`] are the client's jobs. An event loop drives them through [`Job`]; [`Next`] is the
//! step that it performs. [`Registry`] is the server, over any [`slatevalve_blobs::Files`].
//!
//! The client protects a gateway from a faulty or malicious registry: content counts as present only after it
//! was verified against its digest, interrupted transfers resume, redirects go to allowed hosts only, and
//! each job fails or completes before its deadline.
#![forbid(unsafe_code)]

mod challenge;
mod document;
mod exchange;
mod job;
mod location;
mod pull;
mod pull_queue;
mod push;
mod server;

pub use challenge::{Challenge, Credentials};
pub use document::{
    pack, pack_signature, read_signatures, unpack, DocumentError, EncodedManifest, ImageContent, CONFIG_TYPE,
    SIGNATURE_TYPE,
};
pub use exchange::{AttemptFailure, ExchangeError, Next, Policy, Request};
pub use job::Job;
pub use location::{Location, LocationError};
pub use pull::{Pull, PullError, PullJob, PullSettings, Pulled};
pub use pull_queue::{PullQueue, PullQueueSettings};
pub use push::{Package, Push, PushError, Pushed};
pub use server::{Access, Registry, RegistryError};
