//! A load balancer for workers that each keep only some of many functions loaded.
//!
//! The library performs no I/O. A router passes each event to [`Balancer::handle`] and executes the
//! [`Action`]s that it returns:
//!
//! ```
//! use slatevalve::{Action, Balancer, Class, ClassId, Effect, Event, FunctionId, Listing, Micros, Request};
//! use slatevalve::{RequestId, Scope, Settings, WorkerEntry, WorkerId, WorkerState, ZoneId};
//!
//! let settings = Settings {
//!     classes: vec![Class { effect: Effect::Idempotent, ..Class::default() }],
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = WorkerEntry { id: WorkerId(1), ..WorkerEntry::default() };
//! balancer.handle(Micros(0), Event::WorkersListed(Listing { scope: Scope::Full, entries: vec![worker] }), &mut actions);
//! let request = Request { id: RequestId(1), function: FunctionId(9), ..Request::default() };
//! balancer.handle(Micros(1_000), Event::Request(request), &mut actions);
//! // The router has had no contact with the worker, so it probes the worker first, then requests a load of the
//! // function and sends the call shortly after. Each step ends in a timer.
//! for ms in 1..15 {
//!     let now = Micros(1_000 + ms * 4_000);
//!     let due: Vec<u64> = actions
//!         .iter()
//!         .filter_map(|action| match action {
//!             Action::Wake { at, token } if at.0 <= now.0 => Some(*token),
//!             _ => None,
//!         })
//!         .collect();
//!     actions.retain(|action| !matches!(action, Action::Wake { at, .. } if at.0 <= now.0));
//!     for token in due {
//!         balancer.handle(now, Event::Wake { token }, &mut actions);
//!     }
//! }
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { worker: WorkerId(1), .. })));
//! ```
#![forbid(unsafe_code)]

mod api;
mod balancer;

pub use api::*;
pub use balancer::Balancer;

/// The README's examples are compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
