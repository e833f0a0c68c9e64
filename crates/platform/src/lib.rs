//! The protocols of the platform kyyti-central, without I/O: MessagePack-RPC for clients, the workers' line
//! protocol, the change log.
//!
//! The modules take received bytes and the current time, and return calls, bytes to send and other outputs;
//! the gateway owns the sockets. Input from peers is handled within fixed bounds of size, number and time,
//! and a request that never ran is distinguished from one that may have run.
//!
//! - [`front::Front`] serves clients; [`frame`] and [`message`] parse their input.
//! - [`workers`] implements the workers' protocol.
//! - [`changes::ChangeLogClient`] is the client of the change log.
//! - [`config`] parses a router's configuration file.
#![forbid(unsafe_code)]

pub mod changes;
pub mod config;
pub mod frame;
pub mod front;
pub mod message;
pub mod workers;

use slatevalve::Micros;

/// The time `duration` after `now`, saturating.
fn after(now: Micros, duration: Micros) -> Micros {
    Micros(now.0.saturating_add(duration.0))
}
