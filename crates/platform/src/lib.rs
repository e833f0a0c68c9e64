//! The platform of kyyti-central without I/O: MessagePack-RPC clients, workers that speak lines, the change log.
//!
//! It guards the program against whatever these peers may send, within stated bounds, and keeps the difference between
//! what never ran and what may have. Bytes and times come in, calls, orders and bytes come out; sockets are the
//! gateway's. [`front::Front`] speaks with clients, [`workers`] with workers, [`changes::Follower`] with the change log;
//! [`config`] reads what a router is told at its start.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod changes;
pub mod config;
pub mod frame;
pub mod front;
pub mod message;
pub mod workers;

use slatevalve::Micros;

fn after(now: Micros, time: Micros) -> Micros {
    Micros(now.0.saturating_add(time.0))
}
