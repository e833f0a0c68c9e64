//! The engine: open calls, attempts and final answers around one [`Balancer`].
//!
//! Invariants, each with a test:
//! - a ticket gets exactly one answer, unless a repeat by the same client supersedes it or its client
//!   disconnects;
//! - every call ends soon after its deadline, even if the balancer takes no decision;
//! - the end of an attempt is reported to the balancer once;
//! - of a closed call only the entry of its key in the duplicate table remains.
//!
//! Modules: `calls` accepts calls, `attempts` handles the ends of attempts, `actions` executes the balancer's
//! decisions, `completion` creates final answers, `deadlines` fires timers and stops the engine, `fleet`
//! forwards events about workers, `settings_change` replaces settings while calls are open, and `open_call`
//! is the state of one call.

mod actions;
mod attempts;
mod calls;
mod completion;
mod deadlines;
mod fleet;
mod open_call;
mod settings_change;

use crate::call::Ticket;
use crate::duplicates::{DuplicateTable, KeyDigest};
use crate::names::Names;
use crate::settings::EngineSettings;
use crate::timers::Timers;
use open_call::OpenCall;
use slatevalve::{Action, Balancer, Micros, RequestId};
use std::collections::{BTreeMap, HashMap};

/// Counters since the start of the engine, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Calls submitted.
    pub calls: u64,
    /// Calls that were repeats and joined a running call or received a stored answer; included in `calls`.
    pub repeats: u64,
    /// Answers with the verdict `Served`.
    pub served: u64,
    /// Answers with the verdict `Refused`.
    pub refused: u64,
    /// Answers with the verdict `Failed`.
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Calls that the engine ended because the balancer had not done so within `answer_slack` after the
    /// deadline; each one is a defect of the balancer.
    pub overdue: u64,
    /// Results that were discarded because another version than the call's had run.
    pub version_mismatches: u64,
}

/// What happens when a timer fires.
#[derive(Debug)]
enum Timer {
    /// The balancer's wake-up: the token of the timer is returned to it.
    Wake(u64),
    /// The attempts in flight of a call expire.
    Deadline(RequestId),
    /// The engine ends the call if the balancer has not ended it.
    Overdue(RequestId),
    /// The state of a key in the duplicate table expires.
    KeyExpiry(KeyDigest),
    /// All open calls are ended.
    Stop,
}

/// A raised limit of attempts that does not apply yet, because calls accepted under the lower limit are open.
#[derive(Debug)]
struct DeferredAttemptLimit {
    /// The first call that may have the new number of attempts.
    first_request: RequestId,
    max_attempts: usize,
}

/// Runs calls on workers by the decisions of one [`Balancer`]. All inputs are method calls with the current
/// time, all effects are [`Output`](crate::Output)s.
pub struct Engine {
    settings: EngineSettings,
    balancer: Balancer,
    /// Latest time that was passed with an input.
    now: Micros,
    next_request: u64,
    /// Ordered by request id, which is the order of acceptance.
    open_calls: BTreeMap<RequestId, OpenCall>,
    /// Bytes of all open calls; see [`EngineSettings::max_open_bytes`].
    open_bytes: usize,
    tickets: HashMap<Ticket, RequestId>,
    names: Names,
    keys: DuplicateTable,
    timers: Timers<Timer>,
    is_stopping: bool,
    /// See [`Engine::suspend_non_idempotent`].
    non_idempotent_suspended: bool,
    deferred_attempt_limit: Option<DeferredAttemptLimit>,
    statistics: Statistics,
    /// Buffer for the balancer's actions, kept between events to save allocations.
    action_buffer: Vec<Action>,
}

impl Engine {
    /// Creates an engine with an empty worker list.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Engine {
            balancer: Balancer::new(settings.balancer.clone(), settings.seed),
            now: Micros(0),
            next_request: 1,
            open_calls: BTreeMap::new(),
            open_bytes: 0,
            tickets: HashMap::new(),
            names: Names::new(settings.max_function_names),
            keys: DuplicateTable::new(settings.duplicates.unwrap_or_default()),
            timers: Timers::default(),
            is_stopping: false,
            non_idempotent_suspended: false,
            deferred_attempt_limit: None,
            statistics: Statistics::default(),
            action_buffer: Vec::new(),
            settings,
        }
    }

    /// Number of calls without an answer.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.open_calls.values().filter(|call| !call.answered).count()
    }

    /// Whether no call is open, and no attempt of an answered call is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty() && self.tickets.is_empty()
    }

    /// Number of keys in the duplicate table.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Counters since the engine was created.
    #[must_use]
    pub fn statistics(&self) -> Statistics {
        self.statistics
    }

    /// Advances the engine's clock; a time in the past leaves it unchanged.
    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }
}
