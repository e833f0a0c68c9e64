//! Settings of the engine: the balancer's, and what the engine itself needs of classes and functions.

use crate::duplicates::DuplicateLimits;
use slatevalve::{ClassId, Micros, Settings};
use std::collections::HashMap;

/// What the engine keeps of the calls of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// How long the answer to a key is kept after the call ended.
    pub retention: Micros,
}

/// Properties of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionTraits {
    /// Calls that one loaded replica runs concurrently.
    pub concurrency: usize,
    /// Expected work on a standard core.
    pub work: Option<Micros>,
    /// Usual duration of a load.
    pub load_time: Option<Micros>,
    /// Memory of a loaded replica, in MB.
    pub memory_mb: f64,
}

impl Default for FunctionTraits {
    fn default() -> Self {
        FunctionTraits { concurrency: 1, work: None, load_time: None, memory_mb: 0.0 }
    }
}

/// Settings that an [`Engine`](crate::Engine) starts with.
#[derive(Clone, Debug, Default)]
pub struct EngineSettings {
    /// Settings of the balancer; its classes are the classes of the engine.
    pub balancer: Settings,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// One policy for each class of the balancer's settings, in the same order.
    pub classes: Vec<ClassPolicy>,
    /// For each class, the class whose id its keys are stored under, where that is another one. A class whose rules are
    /// relaxed gets a new id and keeps its keys by this.
    pub key_spaces: Vec<ClassId>,
    /// Properties of functions, by name.
    pub functions: HashMap<String, FunctionTraits>,
    /// Properties of every function that is not in `functions`.
    pub other_functions: FunctionTraits,
    /// Limits of the duplicate table. `None` where only the workers drop duplicates: then every call starts a run, keys
    /// are passed on to the workers, and the balancer decides about a call whose client disconnected.
    pub duplicates: Option<DuplicateLimits>,
    /// Time that is subtracted from each budget for the delivery of the answer.
    pub answer_margin: Micros,
    /// Maximum number of open calls.
    pub max_open_calls: usize,
    /// Maximum number of function names held.
    pub max_function_names: usize,
}
