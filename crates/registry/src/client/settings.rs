//! The client's settings, and the actions and events that it exchanges with the owner of its sockets.

use super::error::RequestError;
use crate::registration::RegistrationSettings;
use crate::watch_state::{Change, WatchFault, WatchSettings};
use slatevalve_pacing::{Limits as PollLimits, PollSchedule};

/// The keys that a client follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// No keys; the client only registers its entry and sends the caller's requests.
    Nothing,
    /// Workers, by list and watch. Routers are only counted: if each router watched all others, the total
    /// cost would grow quadratically with their number.
    Workers,
    /// Every key below the prefix.
    All,
}

/// Credentials for the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// The user name.
    pub name: String,
    /// The password, sent in the body of the login request.
    pub password: String,
}

/// Settings of a [`Client`](super::Client). Times in microseconds.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Each endpoint as `HOST:PORT`; the relays precede the registry's own members.
    pub endpoints: Vec<String>,
    /// How many of the `endpoints`, from the first on, are relays.
    pub relays: usize,
    /// Common prefix of all keys of this site; ends with `/`.
    pub prefix: String,
    /// Credentials; `None` if the registry requires no login.
    pub login: Option<Login>,
    /// Which keys the client lists and watches.
    pub follow: WatchScope,
    /// The key and value of this process's own entry; `None` if it registers none.
    pub own: Option<(String, Vec<u8>)>,
    /// Page size, intervals and time limits of the cache of followed keys.
    pub watch_state: WatchSettings,
    /// Lease of this process's entry; unused if `own` is `None`.
    pub registration: RegistrationSettings,
    /// The registry's request rate and the longest delay of a request; the schedule sets its
    /// `immediate_retries`.
    pub pace: PollLimits,
    /// The expected number of the registry's clients, including this one, until [`set_clients`] changes it.
    ///
    /// [`set_clients`]: super::Client::set_clients
    pub clients: usize,
    /// Upper bound on the delay of a change while the registry answers, even if the watch has stalled on an
    /// open connection. It limits the interval of liveness checks.
    pub drain_within_us: i64,
    /// Timeout of connecting, of the response to a short request, and of the confirmation of a watch.
    pub timeout_us: i64,
    /// Seed of the random numbers; must differ between clients, see [`slatevalve_pacing::derive_seed`].
    pub seed: u64,
}

impl ClientSettings {
    /// Creates the poll schedule. After a failure the next endpoint is tried at once, until each was tried.
    pub(super) fn poll_schedule(&self, endpoints: usize) -> PollSchedule {
        let immediate_retries = u32::try_from(endpoints - 1).unwrap_or(u32::MAX);
        PollSchedule::new(PollLimits { immediate_retries, ..self.pace }, self.clients, self.seed)
    }
}

/// One of the client's two connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Channel {
    /// Carries the watch, whose response does not end.
    Watch,
    /// Carries all other requests, one at a time.
    Short,
}

/// An action for the owner of the sockets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketAction {
    /// Connect to this endpoint, an index into [`ClientSettings::endpoints`].
    Open(Channel, usize),
    /// Write these bytes.
    Write(Channel, Vec<u8>),
    /// Close the connection and pass on no further events of it.
    Close(Channel),
}

/// An event for the client's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// Keys changed, in this order. All changes of one revision are in the same event.
    Changes(Vec<Change>),
    /// The watch failed or lost changes; the client recovers by a new watch or a full resync.
    WatchFault(WatchFault),
    /// A request or an endpoint failed for this reason; the client retries.
    Failed(String),
    /// This process's entry was written for the first time, or again after the lease was lost.
    Registered,
    /// The lease of this process's entry was lost; the client registers again.
    LeaseLost,
    /// The number of registered routers, those at relays included, changed to this value.
    Routers(usize),
    /// The outcome of [`Client::send_request`](super::Client::send_request): the ticket, and the response's
    /// body or the error.
    Answered(u64, Result<Vec<u8>, RequestError>),
}

impl ClientEvent {
    pub(super) fn request_failed(ticket: u64, error: RequestError) -> Self {
        ClientEvent::Answered(ticket, Err(error))
    }
}

/// Collects the actions and events of one call of the client, which is made at `now_us`.
pub(super) struct Outputs<'a> {
    pub(super) now_us: i64,
    pub(super) actions: &'a mut Vec<SocketAction>,
    pub(super) events: &'a mut Vec<ClientEvent>,
}
