//! Routing decisions before workers that keep only some of many functions loaded.
//!
//! The library does no input or output. A router hands each thing that happened to
//! [`Brain::handle`] and carries out the [`Action`]s that come back:
//!
//! ```
//! use slatevalve::{Action, Brain, Class, ClassId, Effect, Event, FunctionId, Listing, Micros, Request};
//! use slatevalve::{RequestId, Scope, Settings, WorkerEntry, WorkerId, WorkerState, ZoneId};
//!
//! let settings = Settings {
//!     classes: vec![Class { effect: Effect::Safe, ..Class::default() }],
//!     ..Settings::default()
//! };
//! let mut brain = Brain::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = WorkerEntry { id: WorkerId(1), ..WorkerEntry::default() };
//! brain.handle(Micros(0), Event::Listed(Listing { scope: Scope::Full, entries: vec![worker] }), &mut actions);
//! let request = Request { id: RequestId(1), function: FunctionId(9), ..Request::default() };
//! brain.handle(Micros(1_000), Event::Request(request), &mut actions);
//! // A function not yet loaded is ordered first and the call follows it a moment later.
//! brain.handle(Micros(20_000), Event::Wake { token: 0 }, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { worker: WorkerId(1), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod brain;
mod state;

pub use api::*;
pub use state::Brain;

/// The README's examples are compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
