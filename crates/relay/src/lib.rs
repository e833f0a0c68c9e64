//! A relay: a watch cache between the registry and many routers. It follows the registry's workers once, and serves their
//! list and watch by the protocol that routers speak with the registry.
//!
//! Three invariants hold. A response never has an earlier state than its router knows, from whichever relay: a router that
//! knows more waits a moment and is then rejected. A stale cache is not served: a relay without its registry rejects all
//! requests and ends its watches, so that routers leave it. No drain is lost: a change that cannot be sent as an event in
//! order ends the watches, and routers list again. Revisions are the registry's own.
//!
//! [`WatchCache`] holds the keys and their history, [`Relay`] serves routers; both are without I/O. [`run_relay`] is their
//! event loop, run by the command `slatevalve relay`.
#![forbid(unsafe_code)]

mod entries;
mod relay;
mod run;
mod watch_cache;

pub use entries::{Entries, GrantedLease};
pub use relay::{Limits, Peer, Relay, RelayAction};
pub use run::{run_relay, RelayError, RelaySettings};
pub use watch_cache::{CacheUpdate, RangeError, WatchCache};
