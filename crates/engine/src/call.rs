//! A call as a front end submits it, and the part of it that is sent to workers.

use crate::answer::Reason;
use crate::settings::FunctionTraits;
use crate::version::Version;
use slatevalve::{ClassId, Micros, TenantId};
use std::sync::Arc;

/// Identifies one submission of a call, for which the front end expects one answer. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies a client across its connections. A repeat by the same client supersedes its earlier ticket; a repeat by
/// another client joins the call with a ticket of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRef(pub u64);

/// Whether a call may have been submitted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing marks the call as a repeat.
    Unmarked,
    /// The call is marked as a repeat, by the DUP flag of MQTT or by the client itself.
    Marked {
        /// Earliest time, on this gateway's clock, at which the first submission may have arrived here, where that is
        /// known. If everything accepted since then is still in the duplicate table, a key that is not in the table was
        /// never accepted.
        covered_since: Option<Micros>,
    },
}

/// The content of a request to a worker, shared by all attempts of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunBody {
    /// Name of the function, as workers know it.
    pub function: Arc<str>,
    /// Version of the function, where functions have versions.
    pub version: Option<Version>,
    /// The payload.
    pub payload: Arc<[u8]>,
    /// The idempotency key, where the class has one.
    pub key: Option<Arc<[u8]>>,
    /// The class of the call.
    pub class: ClassId,
    /// The client's own id of the request, where it is passed on to workers.
    pub request_id: Option<Arc<str>>,
}

/// A call that a client submitted.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the answer to the front end.
    pub ticket: Ticket,
    /// The client.
    pub client: ClientRef,
    /// The class of the call.
    pub class: ClassId,
    /// The tenant, where the site has tenants.
    pub tenant: Option<TenantId>,
    /// Name of the function, as given by the client.
    pub function: Arc<str>,
    /// The version that the name refers to now, or the reason why it refers to none that may run. Used only if the call
    /// starts a run: a repeat keeps the version of the first submission.
    pub version: Result<Option<Version>, Reason>,
    /// Properties that come with the version; without them those of the settings apply.
    pub traits: Option<FunctionTraits>,
    /// The idempotency key, by which repeats are recognised.
    pub key: Option<Arc<[u8]>>,
    /// The client's own id of the request, where it is passed on to workers.
    pub request_id: Option<Arc<str>>,
    /// The payload.
    pub payload: Arc<[u8]>,
    /// Time after which the client stops waiting; limited to the deadline of the class.
    pub budget: Micros,
    /// Upper bound of the time that the call waited unread before it was submitted, because the gateway was busy or its
    /// process paused. It is subtracted from the budget.
    pub age: Micros,
    /// Whether the call may have been submitted before.
    pub repeat: Repeat,
}
