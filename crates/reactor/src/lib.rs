//! Single-threaded event loop over sockets: readiness, bounded write buffers, graceful close, signals and
//! wakers.
//!
//! The crate is independent of protocols and policies; the event loops of the gateway, the relay and the test
//! servers are built on it. It bounds the resources that a peer can consume: a peer that reads too slowly is
//! disconnected once its write buffer is full, and at most 64 KiB per poll are read from one connection and 1 MiB from all. Where even
//! that is too much, the owner reads a connection on demand ([`Reactor::read_on_demand`]).
//! Callers implement connect timeouts themselves. Source ids are never reused, so that an event of a closed
//! connection cannot be attributed to a later one.
//!
//! # Invariants
//! - Bytes are written at the beginning of a poll, never while its events are collected, so that unwritten
//!   bytes can still be discarded in response to these events ([`Reactor::discard_unsent`]).
//! - Bytes received from a peer are reported before the end of its connection, even if a failed write reveals
//!   the end first.
//! - A gracefully closed connection is half-closed and read to its end first ([`Reactor::close_gracefully`]):
//!   closing a socket with unread bytes sends a reset, which discards data that the peer has not read yet.
//!
//! # Modules
//! | module | concern |
//! | --- | --- |
//! | `reactor` | polling and dispatch of readiness |
//! | `reactor::connections` | connecting, reading and writing |
//! | `reactor::on_demand` | reading at the owner's pace |
//! | `reactor::graceful_close` | closing after buffered bytes are written, lingering close |
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

pub use event::{Id, ReactorEvent, ReadOutcome};
pub use reactor::{AcceptQueue, Reactor, MAX_FLUSHING, MAX_LINGERING};
pub use signal::Waker;
