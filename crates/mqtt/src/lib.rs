//! The MQTT front: publishes in, answers out; sessions, routes and the bridge to a broker. No I/O.
//!
//! It guards what the protocol promises a client: a publish that was acknowledged is answered once, on the
//! connection that is there when the answer is, as long as the session lives; what cannot be taken is refused with
//! a reason code; and no client's bytes reach another's connection. The shell hands it bytes and closes
//! ([`Front`] for clients that connect here, [`Bridge`] for a broker we connect to) and carries out what it wants.
//! It knows no worker and decides nothing about calls.
//!
//! Packets are coded and checked by `mqtt-protocol-core`; section numbers refer to MQTT 5.0 (OASIS, 2019) unless
//! 3.1.1 is named.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bridge;
mod connect;
mod front;
mod intake;
mod packets;
mod routes;
mod session;
mod topics;

pub use bridge::{Bridge, BridgeOutput, BridgeSettings};
pub use front::{Front, FrontOutput, FrontSettings, LinkId};
pub use intake::{Rejection, BUDGET_PROPERTY, KEY_PROPERTY, REPEAT_PROPERTY};
pub use routes::{Route, RouteError, Routes};
pub use session::TicketSource;
pub use topics::{Template, TemplateError, TopicFilter, TopicFilterError};
