//! The final answer to a call, and the reasons why a call has no result. Answers are created by the engine
//! and encoded by the front ends.

use crate::version::Version;
use std::fmt;
use std::sync::Arc;

/// The one final answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How the call ended.
    pub verdict: Verdict,
    /// Number of attempts that were sent to workers.
    pub attempts: usize,
    /// Whether this is a stored answer, returned for a repeat of a call that had already ended.
    pub recorded: bool,
    /// Version for which the call was accepted, if functions have versions and the call started a run.
    pub version: Option<Version>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A worker ran the call.
    Served {
        /// Result of the call, opaque to the engine.
        payload: Arc<[u8]>,
        /// Version or digest of the function that ran; `None` if the worker did not report it.
        ran: Option<Arc<str>>,
    },
    /// The call never ran, and a retry is safe.
    Refused(Reason),
    /// The call ended without a result and may have run, here or at an earlier process of the gateway.
    Failed(Reason),
}

impl Verdict {
    /// `served`, `refused` or `failed`, as clients receive it.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Verdict::Served { .. } => "served",
            Verdict::Refused(_) => "refused",
            Verdict::Failed(_) => "failed",
        }
    }

    /// The reason, unless the call was served.
    #[must_use]
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Verdict::Served { .. } => None,
            Verdict::Refused(reason) | Verdict::Failed(reason) => Some(*reason),
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a call was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The balancer refused the call: no worker can answer in time, or all are overloaded.
    NoCapacity,
    /// The class requires an idempotency key and the call has none.
    KeyMissing,
    /// The key was used before for another function or payload.
    KeyReused,
    /// The call is a repeat, but the first submission is not, or no longer, in the duplicate table; it may
    /// have run.
    UnknownRepeat,
    /// The duplicate table has no room for another key.
    KeyTableFull,
    /// The maximum number of open calls is reached.
    TooManyOpen,
    /// The client may have left, or cancelled the call, before its input was read.
    ClientMayHaveLeft,
    /// The client's budget is too short for an answer.
    BudgetTooShort,
    /// The id of the function's name collides with that of another name, or the table of names is full.
    InvalidFunctionName,
    /// The name resolves to no version that is available here.
    UnknownVersion,
    /// The plug-in belongs to another class than the route.
    WrongClass,
    /// The content of the version is corrupt; it runs again after an intact copy was pulled.
    Quarantined,
    /// The version is not signed by a key that this site trusts, or it declares a class that it is not
    /// permitted to have.
    NotAllowed,
    /// The call names a tenant that is not configured.
    UnknownTenant,
    /// No route matches the topic, or the topic yields no valid name.
    NoRoute,
    /// The gateway is shutting down.
    Stopping,
    /// The lease under which the gateway may act on its settings has expired.
    LeaseExpired,
    /// Two settings documents are in use at the same time and differ in the settings of the topic.
    SettingsChanging,
    /// No attempt returned a result in time; the call may have run.
    NoResult,
    /// The call was served, but its result is no longer stored.
    ResultEvicted,
    /// The client disconnected and the call was cancelled; it may have run.
    ClientDisconnected,
}

impl Reason {
    /// Text sent to clients.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            Reason::NoCapacity => "no worker can answer in time",
            Reason::KeyMissing => "this class needs a key and the call has none",
            Reason::KeyReused => "this key was used for another call",
            Reason::UnknownRepeat => "a repeat of a call that is not remembered here",
            Reason::KeyTableFull => "no room to remember another key",
            Reason::TooManyOpen => "too many calls are open",
            Reason::ClientMayHaveLeft => "the client sends faster than its calls are handled",
            Reason::BudgetTooShort => "too little time is left to answer",
            Reason::InvalidFunctionName => "the function's name cannot be taken",
            Reason::UnknownVersion => "no such plug-in or version is here",
            Reason::WrongClass => "this plug-in is of another class than its topic",
            Reason::Quarantined => "this version is in quarantine: its content is not what its digest says",
            Reason::NotAllowed => {
                "this version may not run here: unsigned, or of a class that it may not have"
            }
            Reason::UnknownTenant => "unknown tenant",
            Reason::NoRoute => "no route takes this topic",
            Reason::Stopping => "the gateway is stopping",
            Reason::LeaseExpired => "not sent: the gateway cannot tell whether its settings still count",
            Reason::SettingsChanging => "not sent: the settings of this topic are being changed",
            Reason::NoResult => "no result in time; it may have run",
            Reason::ResultEvicted => "it ran; its result is no longer held",
            Reason::ClientDisconnected => "called off as its client left; it may have run",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.description())
    }
}
