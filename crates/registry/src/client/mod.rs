//! The registry's client without I/O: the requests of the watch, the registration and the caller, as HTTP messages on two
//! connections, and their responses. One connection carries the watch, whose response never ends; the other carries one short
//! request at a time. The owner (gateway, relay, test worker, commands) opens the sockets, see [`SocketAction`].
//!
//! Members that accept and never answer are given up after a timeout, and the next one is tried (see [`Endpoints`]); a stalled
//! watch is detected by liveness checks; an expired token leads to a login and a repeated request. To protect the registry
//! from hundreds of clients, [`PollSchedule`] spreads requests, a keep-alive replaces a liveness check where nothing changed,
//! and routers are counted instead of watched.

mod connection;
mod endpoints;
mod error;
mod request;
mod response;
mod settings;
mod stream;

pub use endpoints::Endpoints;
pub use error::RequestError;
pub use settings::{Channel, ClientEvent, ClientSettings, Login, SocketAction, WatchScope};

use crate::registration::Registration;
use crate::router_poll::RouterPoll;
use crate::watch_state::{NextRequest, WatchSettings, WatchState};
use crate::wire::{LeaseRequest, REVOKE};
use connection::{Connection, ConnectionState};
use request::{CallerRequest, Request};
use serde::Serialize;
use settings::Outputs;
use slatevalve_pacing::PollSchedule;
use std::collections::VecDeque;

/// Share of the registry's request rate for the liveness checks of all clients together.
const LIVENESS_CHECK_RATE_SHARE: f64 = 0.045;
/// Share of the registry's request rate for the full resyncs of all clients together.
const FULL_RESYNC_RATE_SHARE: f64 = 0.002;
/// The longest interval of full resyncs, whatever the number of clients.
const FULL_RESYNC_INTERVAL_MAX_US: i64 = 600_000_000;
/// [`Client::next_wake`] is at most this far ahead.
const WAKE_INTERVAL_MAX_US: i64 = 1_000_000;

/// A client of the registry; see the module's documentation. Times are in microseconds of a monotonic clock.
pub struct Client {
    settings: ClientSettings,
    watch_state: WatchState,
    registration: Option<Registration>,
    endpoints: Endpoints,
    poll_schedule: PollSchedule,
    /// Whether the first delays were drawn, on the first call of [`Client::advance`].
    is_started: bool,
    /// No request is sent before.
    not_before_us: i64,
    /// No short request is sent before.
    short_not_before_us: i64,
    /// The registration, and the count of routers, come after the first lists of all clients.
    register_from_us: i64,
    router_poll: RouterPoll,
    /// A keep-alive did not serve as the due liveness check.
    liveness_check_owed: bool,
    /// The number of consecutive lists older than the reported revision.
    outdated_lists: usize,
    /// The token of the login.
    token: Option<String>,
    watch: Connection,
    short: Connection,
    /// Whether the registry confirmed the start of the watch.
    is_watching: bool,
    caller_requests: VecDeque<CallerRequest>,
    last_ticket: u64,
    is_registered: bool,
    is_leaving: bool,
}

impl Client {
    /// Creates a client that is not connected.
    pub fn new(settings: ClientSettings) -> Self {
        let endpoints = Endpoints::new(settings.endpoints.len(), settings.relays, settings.seed);
        Client {
            watch_state: WatchState::new(settings.watch_state),
            registration: settings.own.is_some().then(|| Registration::new(settings.registration)),
            poll_schedule: settings.poll_schedule(endpoints.count()),
            endpoints,
            is_started: false,
            not_before_us: 0,
            short_not_before_us: 0,
            register_from_us: 0,
            router_poll: RouterPoll::new(),
            liveness_check_owed: false,
            outdated_lists: 0,
            settings,
            token: None,
            watch: Connection::new(),
            short: Connection::new(),
            is_watching: false,
            caller_requests: VecDeque::new(),
            last_ticket: 0,
            is_registered: false,
            is_leaving: false,
        }
    }

    /// Returns the followed keys.
    #[must_use]
    pub fn watch_state(&self) -> &WatchState {
        &self.watch_state
    }

    /// Returns the followed keys, to load a snapshot of an earlier process.
    pub fn watch_state_mut(&mut self) -> &mut WatchState {
        &mut self.watch_state
    }

    /// Sets the number of the registry's clients, this one included.
    pub fn set_clients(&mut self, clients: usize) {
        self.poll_schedule.set_clients(clients);
    }

    /// Returns the bound on the time until a change is received from a registry that answers, where the watch stalled with
    /// its connection open: the interval of liveness checks, the response time, and one more check for events in flight.
    #[must_use]
    pub fn drain_bound_us(&self) -> i64 {
        self.settings.drain_within_us
    }

    /// Sends a request of the caller's once and returns its ticket. It is not repeated where its outcome is unknown. The
    /// response is a [`ClientEvent::Answered`].
    pub fn send_request(&mut self, path: &'static str, body: &impl Serialize) -> u64 {
        self.last_ticket += 1;
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.caller_requests.push_back(CallerRequest { ticket: self.last_ticket, path, body });
        self.last_ticket
    }

    /// Changes the value of this process's entry, such as to drain; it is written at once under the present lease.
    pub fn announce(&mut self, value: Vec<u8>) {
        if let Some((_, current)) = &mut self.settings.own {
            *current = value;
        }
        if let Some(registration) = &mut self.registration {
            if let Some(lease) = registration.lease() {
                registration.granted(lease);
            }
        }
    }

    /// Revokes the lease, and with it the entry, for an orderly stop. Returns the ticket of the request, if there is a lease.
    pub fn leave(&mut self) -> Option<u64> {
        let lease = self.registration.take()?.lease()?;
        self.is_leaving = true;
        Some(self.send_request(REVOKE, &LeaseRequest { id: lease, ttl: 0 }))
    }

    fn connection(&self, channel: Channel) -> &Connection {
        match channel {
            Channel::Watch => &self.watch,
            Channel::Short => &self.short,
        }
    }

    fn connection_mut(&mut self, channel: Channel) -> &mut Connection {
        match channel {
            Channel::Watch => &mut self.watch,
            Channel::Short => &mut self.short,
        }
    }

    /// Returns when a request on the channel times out; none where no response is due, as of an active watch.
    fn times_out_at_us(&self, channel: Channel) -> Option<i64> {
        let connection = self.connection(channel);
        let request = connection.request()?;
        let awaits_response = *request != Request::Watch || !self.is_watching;
        awaits_response.then(|| connection.started_us.saturating_add(self.settings.timeout_us))
    }

    /// Returns when to call [`Client::advance`] if nothing happens before.
    #[must_use]
    pub fn next_wake(&self, now_us: i64) -> i64 {
        let timeouts = [Channel::Watch, Channel::Short].map(|channel| self.times_out_at_us(channel));
        let latest_us = now_us.saturating_add(WAKE_INTERVAL_MAX_US);
        let due_us = timeouts.into_iter().flatten().fold(latest_us, i64::min);
        if !self.is_started {
            return now_us;
        }
        if self.not_before_us > now_us {
            return due_us.min(self.not_before_us);
        }
        if self.should_watch() || self.short_is_available(now_us) && self.has_short_request(now_us) {
            return now_us;
        }
        if self.short_not_before_us > now_us {
            return due_us.min(self.short_not_before_us);
        }
        let if_later = |at_us: i64| Some(at_us).filter(|at_us| *at_us > now_us);
        let timers = [
            self.watch_state.liveness_check_due_us(),
            self.registration.as_ref().and_then(Registration::due_us),
            self.endpoints.relay_retry_us(),
            if_later(self.register_from_us),
            if_later(self.router_poll.due_us()),
        ];
        timers.into_iter().flatten().fold(due_us, i64::min).max(now_us)
    }

    /// Handles the passing of time: gives up requests that timed out, and sends those that are due.
    pub fn advance(&mut self, now_us: i64, actions: &mut Vec<SocketAction>, events: &mut Vec<ClientEvent>) {
        let out = &mut Outputs { now_us, actions, events };
        if !self.is_started {
            self.start(now_us);
        }
        for channel in [Channel::Watch, Channel::Short] {
            if self.times_out_at_us(channel).is_some_and(|at_us| now_us >= at_us) {
                self.request_failed(channel, "it does not answer", out);
            }
        }
        if now_us < self.not_before_us {
            return;
        }
        if self.endpoints.relay_retry_us().is_some_and(|at_us| now_us >= at_us) && !self.short.is_busy() {
            self.endpoints.return_to_relays();
            self.disconnect(out);
        }
        // A resync ends the active watch.
        if self.watch.is_busy() && matches!(self.watch_state.next_request(), NextRequest::List(_)) {
            self.close(Channel::Watch, out.actions);
        }
        if self.short_is_available(now_us) {
            if let Some(request) = self.next_short_request(now_us) {
                self.send(now_us, Channel::Short, request, out.actions);
            }
        }
        if self.should_watch() {
            self.send(now_us, Channel::Watch, Request::Watch, out.actions);
        }
    }

    /// Draws the delay of the first request, and of the registration and the count of routers.
    fn start(&mut self, now_us: i64) {
        self.is_started = true;
        self.not_before_us = now_us.saturating_add(self.poll_schedule.first_delay_us());
        self.register_from_us = match self.follows_keys() {
            true => now_us.saturating_add(self.poll_schedule.deferred_delay_us()),
            false => self.not_before_us,
        };
        self.router_poll.not_before(self.register_from_us);
        self.update_intervals();
    }

    /// Draws the intervals of liveness checks and full resyncs for the present number of clients.
    fn update_intervals(&mut self) {
        let WatchSettings { liveness_interval_us, lag_tolerance_us, full_resync_interval_us, .. } =
            self.settings.watch_state;
        let liveness_max_us = self.settings.drain_within_us - self.settings.timeout_us - lag_tolerance_us;
        let liveness_us =
            self.poll_schedule.interval_us(liveness_interval_us, liveness_max_us, LIVENESS_CHECK_RATE_SHARE);
        let full_resync_us = self.poll_schedule.interval_us(
            full_resync_interval_us,
            FULL_RESYNC_INTERVAL_MAX_US,
            FULL_RESYNC_RATE_SHARE,
        );
        // Few clients check at the configured interval, and detect silence as soon.
        let response_time_us = if liveness_us > liveness_interval_us { self.settings.timeout_us } else { 0 };
        self.watch_state.set_intervals(liveness_us, full_resync_us, response_time_us);
    }

    /// Sends a request, or opens the connection for it.
    fn send(&mut self, now_us: i64, channel: Channel, request: Request, actions: &mut Vec<SocketAction>) {
        let endpoint = self.endpoints.current();
        let connection = self.connection_mut(channel);
        connection.started_us = now_us;
        if matches!(connection.state, ConnectionState::Closed) {
            let state = ConnectionState::Connecting(request);
            *connection = Connection { state, started_us: now_us, ..Connection::new() };
            actions.push(SocketAction::Open(channel, endpoint));
            return;
        }
        let bytes = self.encode(&request);
        self.note_sent(now_us, &request);
        let connection = self.connection_mut(channel);
        connection.body.clear();
        connection.state = ConnectionState::Busy(request);
        actions.push(SocketAction::Write(channel, bytes));
    }

    fn note_sent(&mut self, now_us: i64, request: &Request) {
        match request {
            Request::LivenessCheck => {
                self.update_intervals();
                self.watch_state.liveness_check_sent(now_us);
            }
            Request::CountRouters => self.router_poll.count_sent(now_us),
            Request::Lease(_) => {
                if let Some(registration) = &mut self.registration {
                    registration.step_sent(now_us);
                }
            }
            Request::Watch => self.is_watching = false,
            Request::Login | Request::List(_) | Request::ListRelays { .. } | Request::Caller(_) => {}
        }
    }

    fn close(&mut self, channel: Channel, actions: &mut Vec<SocketAction>) {
        let connection = self.connection_mut(channel);
        if !matches!(connection.state, ConnectionState::Closed) {
            *connection = Connection::new();
            actions.push(SocketAction::Close(channel));
        }
        if channel == Channel::Watch {
            self.is_watching = false;
        }
    }

    fn disconnect(&mut self, out: &mut Outputs<'_>) {
        self.close(Channel::Watch, out.actions);
        self.close(Channel::Short, out.actions);
        self.watch_state.connection_lost();
    }

    /// Gives up the endpoint: both connections are closed, and the next endpoint is tried.
    fn endpoint_failed(&mut self, reason: &str, out: &mut Outputs<'_>) {
        let endpoint = self.settings.endpoints.get(self.endpoints.current()).cloned().unwrap_or_default();
        out.events.push(ClientEvent::Failed(format!("{endpoint}: {reason}")));
        self.endpoints.failed(out.now_us);
        self.not_before_us = out.now_us.saturating_add(self.poll_schedule.failed(None));
        let count_from_us = out.now_us.saturating_add(self.poll_schedule.deferred_delay_us());
        self.router_poll.not_before(count_from_us);
        if let Some(Request::Caller(CallerRequest { ticket, .. })) = self.short.request() {
            let error = RequestError::OutcomeUnknown { endpoint, reason: reason.into() };
            out.events.push(ClientEvent::request_failed(*ticket, error));
        }
        self.disconnect(out);
    }

    /// Handles the loss of a connection or of a response. A request that has nothing to do with the watched keys does not
    /// end an active watch: at an overloaded member, the requests to restart it would add to the load.
    fn request_failed(&mut self, channel: Channel, reason: &str, out: &mut Outputs<'_>) {
        let independent = self.connection(channel).request().is_some_and(Request::is_independent_of_watch);
        if !independent || !self.is_watching {
            return self.endpoint_failed(reason, out);
        }
        out.events.push(ClientEvent::Failed(format!("{reason} (not a question of the list)")));
        self.close(channel, out.actions);
        self.short_not_before_us = out.now_us.saturating_add(self.poll_schedule.failed(None));
    }

    fn lease_lost(&mut self, events: &mut Vec<ClientEvent>) {
        self.reset_registration();
        if std::mem::take(&mut self.is_registered) {
            events.push(ClientEvent::LeaseLost);
        }
    }

    fn reset_registration(&mut self) {
        if let Some(registration) = &mut self.registration {
            registration.lease_lost();
        }
    }
}
