//! The client's settings, and what it exchanges with the owner of its sockets.

use super::error::RequestError;
use crate::registration::RegistrationSettings;
use crate::watch_state::{Change, WatchFault, WatchSettings};
use slatevalve_pacing::{Limits as PollLimits, PollSchedule};

/// The keys that a client follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// None.
    Nothing,
    /// Workers by list and watch. Routers are only counted, so that the total cost does not grow with their square.
    Workers,
    /// Every key below the prefix.
    All,
}

/// Credentials for the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// The user.
    pub name: String,
    /// The password.
    pub password: String,
}

/// Settings of a [`Client`](super::Client). Times in microseconds.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// `HOST:PORT` of each member; relays come before the registry's own.
    pub endpoints: Vec<String>,
    /// The number of endpoints that are relays.
    pub relays: usize,
    /// Prefix of all followed keys; ends with `/`.
    pub prefix: String,
    /// Credentials, where the registry requires them.
    pub login: Option<Login>,
    /// The keys that are followed.
    pub follow: WatchScope,
    /// The key and the value that this process registers, if any.
    pub own: Option<(String, Vec<u8>)>,
    /// Settings of the watch.
    pub watch_state: WatchSettings,
    /// Settings of the registration.
    pub registration: RegistrationSettings,
    /// The registry's request rate, and the longest delay.
    pub pace: PollLimits,
    /// The expected number of clients of the registry, this one included.
    pub clients: usize,
    /// Bound on the time until a change is received from a registry that answers, also where the watch stalled with its
    /// connection open.
    pub drain_within_us: i64,
    /// Timeout of a short request, and of the start of a watch.
    pub timeout_us: i64,
    /// Seed of random draws, different for each client, see [`slatevalve_pacing::derive_seed`].
    pub seed: u64,
}

impl ClientSettings {
    /// Creates the poll schedule. Failures are followed by an immediate retry while there is another endpoint to try.
    pub(super) fn poll_schedule(&self, endpoints: usize) -> PollSchedule {
        let immediate_retries = u32::try_from(endpoints - 1).unwrap_or(u32::MAX);
        PollSchedule::new(PollLimits { immediate_retries, ..self.pace }, self.clients, self.seed)
    }
}

/// One of the client's two connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Channel {
    /// The connection of the watch, whose response does not end.
    Watch,
    /// The connection of all other requests, one at a time.
    Short,
}

/// An action for the owner of the sockets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SocketAction {
    /// Connect to this endpoint, by its index in the settings.
    Open(Channel, usize),
    /// Write these bytes.
    Write(Channel, Vec<u8>),
    /// Close the connection, and report no more events of it.
    Close(Channel),
}

/// An event for the client's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// Keys changed, in this order; changes of one revision come together.
    Changes(Vec<Change>),
    /// The watch had a fault and recovers.
    WatchFault(WatchFault),
    /// A request or an endpoint failed, for this reason; the client retries.
    Failed(String),
    /// This process's entry is written.
    Registered,
    /// The lease of this process's entry was lost; the client registers again.
    LeaseLost,
    /// The number of registered routers changed to this.
    Routers(usize),
    /// Response to [`Client::send_request`](super::Client::send_request): its ticket, and the body or why there is none.
    Answered(u64, Result<Vec<u8>, RequestError>),
}

impl ClientEvent {
    pub(super) fn request_failed(ticket: u64, error: RequestError) -> Self {
        ClientEvent::Answered(ticket, Err(error))
    }
}

/// Where the client puts its actions and events, and the time of the call that causes them.
pub(super) struct Outputs<'a> {
    pub(super) now_us: i64,
    pub(super) actions: &'a mut Vec<SocketAction>,
    pub(super) events: &'a mut Vec<ClientEvent>,
}
