//! Calls, names, timers and duplicates around the decision module, without I/O.
//!
//! It guards two promises: what was taken gets exactly one final answer, whatever the module, the workers or the
//! clients do; and a key that was seen never starts a second run, be it still running, answered or forgotten. Both
//! fronts hand it [`Call`]s and get [`Answer`]s; the shell carries out its [`Output`]s and tells what came of them.
//! Where a call runs, whether it is tried again or refused for want of capacity is the module's to decide
//! ([`slatevalve::Balancer`]); the engine tells it every event once and passes every action on.
//!
//! Same inputs and times give the same outputs: the clock is an argument, the seed a setting.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod call;
mod duplicates;
mod engine;
mod names;
mod settings_change;
mod timers;

pub use answer::{Answer, Reason, Verdict};
pub use call::{Call, ClientRef, Repeat, RunBody, Ticket, Version};
pub use duplicates::DuplicateLimits;
pub use engine::{
    AttemptEnd, AttemptRef, ClassPolicy, Engine, EngineSettings, FunctionTraits, Output, Statistics,
};
pub use names::{function_id, worker_id};
pub use timers::Timers;
