//! Maps MQTT publishes to calls and answers to publishes. [`Front`] is a server for clients that connect
//! directly, [`Bridge`] a client of a broker. Neither does I/O.
//!
//! An acknowledged publish is answered once, on the connection that its session has when the answer arrives,
//! unless the session has expired. A publish that is not accepted is rejected with a reason code. The event
//! loop passes bytes and connection events in and executes the outputs; the engine executes the calls.
//!
//! Packets are encoded and checked by `mqtt-protocol-core`. Section numbers refer to MQTT 5.0 (OASIS, 2019)
//! unless 3.1.1 is named.
#![forbid(unsafe_code)]

mod accepted;
mod bridge;
mod first_packet;
mod front;
mod packets;
mod publish;
mod redelivery;
mod rejection;
mod request;
mod routes;
mod session;
mod ticket;
mod topics;

pub use bridge::{Bridge, BridgeOutput, BridgeSettings};
pub use front::{Front, FrontOutput, FrontSettings, LinkId, OwedAnswers};
pub use rejection::Rejection;
pub use request::{BUDGET_PROPERTY, KEY_PROPERTY, REPEAT_PROPERTY};
pub use routes::{Route, RouteError, Routes};
pub use ticket::TicketSource;
pub use topics::{Template, TemplateError, TopicFilter, TopicFilterError};

use slatevalve::Micros;

/// Adds a duration to a time, saturating.
fn after(now: Micros, duration: Micros) -> Micros {
    Micros(now.0.saturating_add(duration.0))
}

/// Adds milliseconds, the unit of the protocol library's timers, to a time.
fn after_millis(now: Micros, millis: u64) -> Micros {
    after(now, Micros(i64::try_from(millis).unwrap_or(i64::MAX).saturating_mul(1_000)))
}
