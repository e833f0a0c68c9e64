//! Request engine: open calls, attempts, duplicates and timers around the load balancer, without I/O.
//!
//! It guarantees that every accepted call gets exactly one final answer, whatever the balancer, the workers
//! or the clients do, and that a used idempotency key never starts a second run, whether its call is running,
//! answered or expired. The front ends submit [`Call`]s and receive [`Answer`]s; the event loop executes
//! the [`Output`]s and reports the results. The balancer ([`slatevalve::Balancer`]) decides where a call
//! runs, and whether it is retried or refused for lack of capacity; the engine passes every event to it once
//! and executes every action.
//!
//! The engine is deterministic: the clock is an argument, the seed a setting, and the same inputs give the
//! same outputs.
#![forbid(unsafe_code)]

mod answer;
mod attempt;
mod call;
mod duplicates;
mod engine;
mod names;
mod output;
mod settings;
mod timers;
mod version;

pub use answer::{Answer, Reason, Verdict};
pub use attempt::{AttemptEnd, AttemptRef, ProbeEnd};
pub use call::{Call, ClientRef, Repeat, RunBody, Ticket};
pub use duplicates::DuplicateLimits;
pub use engine::{Engine, Statistics};
pub use names::{function_id, worker_id};
pub use output::{Output, SendLimits};
pub use settings::{ClassPolicy, EngineSettings, FunctionTraits, OPEN_CALL_BYTES};
pub use timers::Timers;
pub use version::Version;
