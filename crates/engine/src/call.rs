//! A call as a front hands it in.

use crate::answer::Reason;
use crate::engine::FunctionTraits;
use slatevalve::{ClassId, Micros, TenantId};
use std::sync::Arc;

/// The front's own number for one thing that it owes an answer to; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A client as the front knows it, over all its connections. A repeat by the same client replaces its earlier
/// ticket, one by another client joins it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRef(pub u64);

/// Whether a call may have been handed in before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing marks it as a repeat.
    Unmarked,
    /// It is marked as a repeat (MQTT's DUP flag, a client's own mark). Where `covered_since` is known, the first
    /// sending reached this gateway at that time or later, or never: if all that was taken since then is still
    /// remembered, a key that is not known was never taken.
    Marked {
        /// See above; in the gateway's own time.
        covered_since: Option<Micros>,
    },
}

/// The version that a call's reference meant when it was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Its name.
    pub name: Arc<str>,
    /// The digest of its content, which every worker that runs it must name.
    pub digest: Arc<str>,
    /// What the module and the workers know it by: one function for each digest.
    pub function: Arc<str>,
}

/// What goes to a worker, shared by all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunBody {
    /// The function's name, as workers know it.
    pub function: Arc<str>,
    /// Its version, where functions have any.
    pub version: Option<Version>,
    /// The payload.
    pub payload: Arc<[u8]>,
    /// The key, where the class has one.
    pub key: Option<Arc<[u8]>>,
    /// Its class.
    pub class: ClassId,
    /// The client's own id of the request, where workers are to see it.
    pub request_id: Option<Arc<str>>,
}

/// A call that a client brought.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the front will know the answer by.
    pub ticket: Ticket,
    /// Who asks.
    pub client: ClientRef,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where the site has any.
    pub tenant: Option<TenantId>,
    /// The function's name, as the client gave it.
    pub function: Arc<str>,
    /// What that name means now, or why it means nothing that may run. It counts only where the call begins a run:
    /// a repeat stays with the version of the first.
    pub version: Result<Option<Version>, Reason>,
    /// What the version says of itself; without it the settings count.
    pub traits: Option<FunctionTraits>,
    /// The key by which repeats are known.
    pub key: Option<Arc<[u8]>>,
    /// The client's own id of the request, where workers are to see it.
    pub request_id: Option<Arc<str>>,
    /// The payload.
    pub payload: Arc<[u8]>,
    /// The client gives up after this; cut to the class's deadline.
    pub budget: Micros,
    /// How long it may have waited unread before it was handed in: a gateway that stood still itself, or was busy,
    /// takes this off the time that it has.
    pub age: Micros,
    /// Whether it may have been handed in before.
    pub repeat: Repeat,
}
