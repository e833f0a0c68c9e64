//! The OCI distribution protocol for plug-ins, both sides, without I/O (OCI distribution specification 1.1, OCI image
//! specification 1.1).
//!
//! It guards what a gateway takes in against a registry that lies, breaks off, stalls, never ends, sends it elsewhere or
//! wants to be left alone: nothing counts as here that was not verified against its digest, what broke off is resumed, and
//! every way of failing ends in a stated time. [`Pull`] and [`Push`] are the client's two jobs, driven by the gateway
//! ([`Next`] says what to do); [`Registry`] is the server's side, over any [`slatevalve_blobs::Files`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod challenge;
mod document;
mod exchange;
mod job;
mod location;
mod pull;
mod push;
mod server;
mod wanted;

pub use challenge::{Challenge, Credentials};
pub use document::{
    pack, read_signatures, sign_document, unpack, DocumentError, Packed, Unpacked, CONFIG_TYPE,
    SIGNATURE_TYPE,
};
pub use exchange::{Broke, ExchangeError, Next, Policy, Request};
pub use job::Job;
pub use location::{Location, LocationError};
pub use pull::{Pull, PullError, PullSettings, Pulled, Pulling};
pub use push::{Package, Push, PushError, Pushed};
pub use server::{Access, Registry, RegistryError};
pub use wanted::{Wanted, WantedSettings};
