//! Settings of the engine: those of the balancer, and the engine's own settings of classes and functions.

use crate::duplicates::DuplicateLimits;
use slatevalve::{ClassId, Micros, Settings};
use std::collections::HashMap;

/// Settings of a class that concern the engine but not the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// How long the answer to an idempotency key is stored after the call ended.
    pub retention: Micros,
}

/// Properties of a function, passed to the balancer with each call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionTraits {
    /// Number of calls that one loaded replica runs concurrently.
    pub concurrency: usize,
    /// Expected work of a call, as time on a standard core; `None` if unknown.
    pub work: Option<Micros>,
    /// Usual time to load a replica; `None` if unknown.
    pub load_time: Option<Micros>,
    /// Memory of a loaded replica, in MB.
    pub memory_mb: f64,
}

impl Default for FunctionTraits {
    fn default() -> Self {
        FunctionTraits { concurrency: 1, work: None, load_time: None, memory_mb: 0.0 }
    }
}

/// Memory that an open call takes beside its payload, in bytes.
pub const OPEN_CALL_BYTES: usize = 1024;

/// Settings of an [`Engine`](crate::Engine).
#[derive(Clone, Debug, Default)]
pub struct EngineSettings {
    /// Settings of the balancer; they also define the classes.
    pub balancer: Settings,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// One policy for each class of the balancer's settings, in the same order.
    pub classes: Vec<ClassPolicy>,
    /// For each class, the class under whose id its keys are stored; a class beyond the end uses its own id.
    /// This way a class whose rules are relaxed gets a new id and keeps its keys.
    pub key_spaces: Vec<ClassId>,
    /// Properties of functions, by name.
    pub functions: HashMap<String, FunctionTraits>,
    /// Properties of every function that is not in `functions`.
    pub other_functions: FunctionTraits,
    /// Limits of the duplicate table. `None` if only the workers drop duplicates: then every call starts a
    /// run, keys are forwarded to the workers, and the balancer decides whether the attempts of a call are
    /// cancelled when its client disconnects.
    pub duplicates: Option<DuplicateLimits>,
    /// Time that is subtracted from each budget, reserved for the delivery of the answer.
    pub answer_margin: Micros,
    /// Maximum number of open calls.
    pub max_open_calls: usize,
    /// Maximum number of bytes of all open calls: their payloads, and [`OPEN_CALL_BYTES`] for each.
    pub max_open_bytes: usize,
    /// Maximum number of function names in the name table.
    pub max_function_names: usize,
}
