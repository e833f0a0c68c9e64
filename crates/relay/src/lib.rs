//! A relay: follows the registry once and serves its list of workers and the watch of it to many routers, by the protocol that
//! they speak with the registry. The registry sees some relays instead of hundreds of routers.
//!
//! It guards three things. Nothing goes back: an answer is never of an earlier state than the asker was told, whichever relay
//! told it; who knows more than this one waits for it a moment and is sent away. Nothing stale is served: a relay that has lost
//! its registry refuses all and ends its watches, so that routers leave it. No drain is lost: what cannot be told as an event in
//! order ends the watches, and routers list anew. Revisions are the registry's own.
//!
//! [`WatchCache`] holds the keys and their history, [`Relay`] speaks with routers; both are without I/O. [`run_relay`] is the thin
//! shell, called by the command `slatevalve relay`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod entries;
mod mirror;
mod relay;
mod run;

pub use entries::Entries;
pub use mirror::{Taken, WatchCache};
pub use relay::{Act, Limits, Peer, Relay};
pub use run::{run_relay, RelayError, RelayPlan};
