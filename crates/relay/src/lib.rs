//! A relay: a watch cache between the registry and many routers. It lists and watches the registry's workers
//! once, and serves lists and watches to routers with the same protocol and the same revisions as the
//! registry.
//!
//! Invariants:
//!
//! - A router never continues from an earlier state than it already received, even at another relay. A watch
//!   from a revision that the relay has not reached waits briefly and is then rejected. A list has the
//!   relay's own revision; the router's client discards an outdated one while another endpoint may be more
//!   recent.
//! - A stale cache is not served. A relay that has lost the registry rejects all requests and ends its
//!   watches, so that its routers change to another endpoint.
//! - No drain is lost. A change that cannot be sent as an event in order ends all watches, and the routers
//!   list again.
//!
//! [`WatchCache`] holds the keys and their history, and [`Relay`] serves routers; neither does I/O.
//! [`run_relay`] is their event loop, which the command `slatevalve relay` runs.
#![forbid(unsafe_code)]

mod entries;
mod relay;
mod run;
mod watch_cache;

pub use entries::{Entries, GrantedLease};
pub use relay::{Limits, Peer, Relay, RelayAction};
pub use run::{run_relay, RelayError, RelaySettings};
pub use watch_cache::{CacheUpdate, RangeError, WatchCache};
