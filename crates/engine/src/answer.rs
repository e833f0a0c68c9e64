//! Final answers: what a client is told, and why. Made by the engine, put into bytes by the fronts.

use crate::call::Version;
use std::fmt;
use std::sync::Arc;

/// The one final answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How it ended.
    pub verdict: Verdict,
    /// Attempts that were sent to workers for it.
    pub attempts: usize,
    /// The call had ended before, and this repeats its answer from the record.
    pub recorded: bool,
    /// The version that it was taken for, where functions have versions and it began a run.
    pub version: Option<Version>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A worker ran it.
    Served {
        /// Its result.
        payload: Arc<[u8]>,
        /// Version or digest of the function that ran, where the worker told.
        ran: Option<Arc<str>>,
    },
    /// This asking started no run, and trying again does no harm. ([`Reason::UnknownRepeat`] says nothing of what an
    /// earlier asking with the same key may have started.)
    Refused(Reason),
    /// It ended without a result, and that promises nothing: it may have run.
    Failed(Reason),
}

impl Verdict {
    /// `served`, `refused` or `failed`, as clients read it.
    pub fn word(&self) -> &'static str {
        match self {
            Verdict::Served { .. } => "served",
            Verdict::Refused(_) => "refused",
            Verdict::Failed(_) => "failed",
        }
    }

    /// The reason, where it was not served.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Verdict::Served { .. } => None,
            Verdict::Refused(reason) | Verdict::Failed(reason) => Some(*reason),
        }
    }
}

/// Why a call was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No worker can answer in time, or all are too busy (the module's refusal).
    NoCapacity,
    /// The class repeats by key or not at all, and the call has no key.
    KeyMissing,
    /// The key was used for another function or payload.
    KeyReused,
    /// A repeat of something that is no longer, or was never, in this gateway's memory.
    UnknownRepeat,
    /// The table of keys is full.
    KeysFull,
    /// Too many calls are open.
    TooManyOpen,
    /// The time that the client gives is too short to answer in.
    NoTime,
    /// The function's name cannot be told apart from another's, or there is no room for its name.
    FunctionName,
    /// The function's name means no version that is here.
    UnknownVersion,
    /// The plug-in is of another class than the route's.
    WrongClass,
    /// Its content was found corrupt; it runs again after a clean pull.
    Quarantined,
    /// No key that this site listens to has signed the version, or it claims a class that it may not have.
    NotAllowed,
    /// No such tenant.
    UnknownTenant,
    /// No route takes the topic, or the topic gives no usable name.
    NoRoute,
    /// The gateway is stopping.
    Stopping,
    /// The gateway's right to act by its settings has ended.
    NoRight,
    /// Two documents of settings that are both in use differ on the topic.
    InChange,
    /// No attempt gave a result in time; the call may have run.
    NoResult,
    /// It was served, but the result is no longer held.
    ResultEvicted,
    /// The client that asked first left, and the call was called off; it may have run.
    ClientLeft,
}

impl Reason {
    /// The plain words that clients get.
    pub fn words(self) -> &'static str {
        match self {
            Reason::NoCapacity => "no worker can answer in time",
            Reason::KeyMissing => "this class needs a key and the call has none",
            Reason::KeyReused => "this key was used for another call",
            Reason::UnknownRepeat => "a repeat of a call that is not remembered here",
            Reason::KeysFull => "no room to remember another key",
            Reason::TooManyOpen => "too many calls are open",
            Reason::NoTime => "too little time is left to answer",
            Reason::FunctionName => "the function's name cannot be taken",
            Reason::UnknownVersion => "no such plug-in or version is here",
            Reason::WrongClass => "this plug-in is of another class than its topic",
            Reason::Quarantined => "this version is in quarantine: its content is not what its digest says",
            Reason::NotAllowed => {
                "this version may not run here: unsigned, or of a class that it may not have"
            }
            Reason::UnknownTenant => "unknown tenant",
            Reason::NoRoute => "no route takes this topic",
            Reason::Stopping => "the gateway is stopping",
            Reason::NoRight => "not sent: the gateway cannot tell whether its settings still count",
            Reason::InChange => "not sent: the settings of this topic are being changed",
            Reason::NoResult => "no result in time; it may have run",
            Reason::ResultEvicted => "it ran; its result is no longer held",
            Reason::ClientLeft => "called off as its client left; it may have run",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.words())
    }
}
