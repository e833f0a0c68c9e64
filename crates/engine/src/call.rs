//! A call as a front end submits it, and the part of it that is sent to workers.

use crate::answer::Reason;
use crate::settings::FunctionTraits;
use crate::version::Version;
use slatevalve::{ClassId, Micros, TenantId};
use std::sync::Arc;

/// Identifies one submission of a call. Chosen by the front end, which expects one answer for it; never
/// reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies a client across its connections. A repeat by the same client supersedes its earlier ticket; a
/// repeat by another client joins the call with a separate ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRef(pub u64);

/// Whether a call may have been submitted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing marks the call as a repeat.
    Unmarked,
    /// The call is marked as a repeat, by the DUP flag of MQTT or by the client itself.
    Marked {
        /// Earliest time, on this gateway's clock, at which the first submission may have arrived here;
        /// `None` if unknown. If everything accepted since then is still in the duplicate table, a key that
        /// is not in the table was never accepted.
        covered_since: Option<Micros>,
    },
}

/// The content of a request to a worker, shared by all attempts of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunBody {
    /// Name of the function, as workers know it.
    pub function: Arc<str>,
    /// Version of the function; `None` if functions have no versions.
    pub version: Option<Version>,
    /// Payload of the call, opaque to the engine.
    pub payload: Arc<[u8]>,
    /// Idempotency key; only for calls of classes with side effects.
    pub key: Option<Arc<[u8]>>,
    /// Index of the class in the settings.
    pub class: ClassId,
    /// The client's id of the request, if it is forwarded to workers.
    pub request_id: Option<Arc<str>>,
}

/// A call that a client submitted.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the answer to the front end.
    pub ticket: Ticket,
    /// Client that submitted the call.
    pub client: ClientRef,
    /// Index of the class in the settings.
    pub class: ClassId,
    /// Tenant of the client; `None` if the site has no tenants.
    pub tenant: Option<TenantId>,
    /// Name of the function, as given by the client.
    pub function: Arc<str>,
    /// Version to which the name resolves at submission, or the reason why no version may run. Used only if
    /// the call starts a run: a repeat keeps the version of the first submission.
    pub version: Result<Option<Version>, Reason>,
    /// Properties of the version; if `None`, those of the settings apply.
    pub traits: Option<FunctionTraits>,
    /// Idempotency key, by which repeats are recognised.
    pub key: Option<Arc<[u8]>>,
    /// The client's id of the request, if it is forwarded to workers.
    pub request_id: Option<Arc<str>>,
    /// Payload of the call, opaque to the engine.
    pub payload: Arc<[u8]>,
    /// Time after which the client stops waiting; limited to the deadline of the class.
    pub budget: Micros,
    /// Upper bound of the time between the call's arrival and its submission, during which the gateway was
    /// busy or its process paused. Subtracted from the budget.
    pub age: Micros,
    /// Whether the call may have been submitted before.
    pub repeat: Repeat,
}
