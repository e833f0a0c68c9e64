//! The protocols of the platform kyyti-central, without I/O: MessagePack-RPC clients, line-speaking workers, the change log.
//!
//! Bytes and the current time come in, calls, outputs and bytes come out; the gateway owns the sockets. Whatever a peer sends
//! is handled within stated bounds, and a request that never ran is told from one that may have run.
//!
//! - [`front::Front`] serves clients; [`frame`] and [`message`] read what they send.
//! - [`workers`] is the protocol of the workers.
//! - [`changes::ChangeLogClient`] is the client of the change log.
//! - [`config`] reads the configuration file of a router.
#![forbid(unsafe_code)]

pub mod changes;
pub mod config;
pub mod frame;
pub mod front;
pub mod message;
pub mod workers;

use slatevalve::Micros;

/// The time that is `duration` after `now`.
fn after(now: Micros, duration: Micros) -> Micros {
    Micros(now.0.saturating_add(duration.0))
}
