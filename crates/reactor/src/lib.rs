//! Single-threaded event loop over sockets: readiness, bounded write buffers, graceful close, signals and wakers.
//!
//! The crate knows no protocol and takes no decisions; the gateway, the relay and the test servers build their loops on
//! it. It bounds what a peer can cost: one that reads slowly fills a bounded write buffer and is then disconnected, one that
//! floods is read at most 64 KiB per poll. Connect timeouts are the caller's. Source ids are never reused, so that an event of
//! a closed connection cannot be mistaken for one of a later connection.
//!
//! # Invariants
//! - Bytes are written at the beginning of a poll, never while its events are gathered, so that bytes not yet written can
//!   still be discarded because of what a poll brings ([`Reactor::discard_unsent`]).
//! - Bytes received from a peer are reported before the end of its connection, also where a failing write reveals the end.
//! - A gracefully closed connection is half-closed and read to its end first ([`Reactor::close_gracefully`]): closing a socket with
//!   unread bytes sends a reset, which destroys what the peer has not read yet.
//!
//! # Modules
//! | module | concern |
//! | --- | --- |
//! | `reactor` | polling and dispatch of readiness |
//! | `reactor::connections` | connecting, reading and writing |
//! | `reactor::graceful_close` | closing after all is written, lingering close |
//! | `reactor::listeners` | listening and accepting |
//! | `reactor::signals` | registration of signals and wakers |
//! | `connection`, `write_buffer` | state of one connection, bytes queued for writing |
//! | `registry` | the poller and the sources registered with it |
//! | `signal` | signals and wake-ups as readable streams |

mod connection;
mod event;
mod reactor;
mod registry;
mod signal;
mod write_buffer;

pub use event::{Id, ReactorEvent};
pub use reactor::{AcceptQueue, Reactor, MAX_LINGERING};
pub use signal::Waker;
