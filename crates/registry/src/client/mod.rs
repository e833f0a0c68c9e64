//! The registry's client, without I/O. It encodes the requests of the watch, the registration and the caller
//! as HTTP messages on two connections, and handles the responses. One connection carries the watch, whose
//! response never ends; the other one carries short requests, one at a time. The owner (gateway, relay, test
//! worker, commands) opens the sockets as requested by [`SocketAction`]s.
//!
//! Failures are handled as follows:
//!
//! - An endpoint that accepts connections but does not answer is abandoned after a timeout, and the next one
//!   is tried (see [`Endpoints`]).
//! - A stalled watch is detected by liveness checks.
//! - An expired token leads to a new login, after which the request is sent again.
//!
//! Three measures limit the load that hundreds of clients put on the registry: [`PollSchedule`] spreads
//! requests over time, a keep-alive replaces a liveness check if nothing changed, and routers are counted
//! rather than watched.

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

/// Fraction of the registry's request rate that the liveness checks of all clients together may use.
const LIVENESS_CHECK_RATE_SHARE: f64 = 0.045;
/// Fraction of the registry's request rate that the full resyncs of all clients together may use.
const FULL_RESYNC_RATE_SHARE: f64 = 0.002;
/// Upper bound on the interval of full resyncs, however many clients there are.
const FULL_RESYNC_INTERVAL_MAX_US: i64 = 600_000_000;
/// Upper bound on the delay that [`Client::next_wake`] returns.
const WAKE_INTERVAL_MAX_US: i64 = 1_000_000;

/// A client of the registry; see the module's documentation. Times are in microseconds of a monotonic clock.
pub struct Client {
    settings: ClientSettings,
    watch_state: WatchState,
    registration: Option<Registration>,
    endpoints: Endpoints,
    poll_schedule: PollSchedule,
    /// Whether the initial random delays are set, which the first call of [`Client::advance`] does.
    is_started: bool,
    /// No request is sent before this time.
    not_before_us: i64,
    /// No short request is sent before this time.
    short_not_before_us: i64,
    /// Registration and router counts start at this time, so that the first lists of all clients are served
    /// before them.
    register_from_us: i64,
    router_poll: RouterPoll,
    /// Whether a keep-alive was sent in place of a due liveness check but could not replace it.
    liveness_check_pending: bool,
    /// The number of consecutive lists that were older than the reported revision.
    outdated_lists: usize,
    /// The token of the last login; none before the first one and once the registry rejected it.
    token: Option<String>,
    watch: Connection,
    short: Connection,
    /// Whether the registry confirmed that the watch is created.
    is_watching: bool,
    caller_requests: VecDeque<CallerRequest>,
    last_ticket: u64,
    is_registered: bool,
    is_leaving: bool,
}

impl Client {
    /// Creates a client without connections; the first call of [`Client::advance`] starts it.
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
            liveness_check_pending: false,
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

    /// Returns the cache of the followed keys.
    #[must_use]
    pub fn watch_state(&self) -> &WatchState {
        &self.watch_state
    }

    /// Returns the cache of the followed keys, to load a snapshot of an earlier process into it.
    pub fn watch_state_mut(&mut self) -> &mut WatchState {
        &mut self.watch_state
    }

    /// Sets the number of the registry's clients, including this one. It determines the intervals of
    /// requests.
    pub fn set_clients(&mut self, clients: usize) {
        self.poll_schedule.set_clients(clients);
    }

    /// Returns the upper bound on the delay of a change while the registry answers but the watch has stalled
    /// on an open connection. It covers the interval of liveness checks, the response time, and a second
    /// check that allows for events in flight.
    #[must_use]
    pub fn drain_bound_us(&self) -> i64 {
        self.settings.drain_within_us
    }

    /// Queues a request of the caller and returns its ticket. [`ClientEvent::Answered`] reports the outcome.
    /// The request is not sent again if its outcome is unknown.
    pub fn send_request(&mut self, path: &'static str, body: &impl Serialize) -> u64 {
        self.last_ticket += 1;
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.caller_requests.push_back(CallerRequest { ticket: self.last_ticket, path, body });
        self.last_ticket
    }

    /// Changes the value of this process's entry, for example to drain. It is written under the current lease
    /// right away.
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

    /// Revokes the lease for an orderly stop, which also deletes the entry. Returns the ticket of the
    /// request, or none if there is no lease.
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

    /// Returns when the request on the channel times out; `None` if no response is awaited, as on an active
    /// watch.
    fn times_out_at_us(&self, channel: Channel) -> Option<i64> {
        let connection = self.connection(channel);
        let request = connection.request()?;
        let awaits_response = *request != Request::Watch || !self.is_watching;
        awaits_response.then(|| connection.started_us.saturating_add(self.settings.timeout_us))
    }

    /// Returns when [`Client::advance`] is due if no event occurs earlier.
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

    /// Handles the passage of time: fails requests that timed out and sends requests that are due.
    pub fn advance(&mut self, now_us: i64, actions: &mut Vec<SocketAction>, events: &mut Vec<ClientEvent>) {
        let out = &mut Outputs { now_us, actions, events };
        if !self.is_started {
            self.start(now_us);
        }
        for channel in [Channel::Watch, Channel::Short] {
            if self.times_out_at_us(channel).is_some_and(|at_us| now_us >= at_us) {
                self.request_failed(channel, "the endpoint does not answer", out);
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

    /// Sets random delays for the first request, and for the registration and the first router count.
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

    /// Sets random intervals of liveness checks and full resyncs, which depend on the current number of
    /// clients.
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
        // With few clients the configured interval is used, and the configured staleness limit needs no
        // allowance for the response time.
        let response_time_us = if liveness_us > liveness_interval_us { self.settings.timeout_us } else { 0 };
        self.watch_state.set_intervals(liveness_us, full_resync_us, response_time_us);
    }

    /// Sends a request, or opens the connection first if it is closed.
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
        self.handle_sent(now_us, &request);
        let connection = self.connection_mut(channel);
        connection.body.clear();
        connection.state = ConnectionState::Busy(request);
        actions.push(SocketAction::Write(channel, bytes));
    }

    /// Updates the timers that depend on when a request was sent.
    fn handle_sent(&mut self, now_us: i64, request: &Request) {
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

    /// Handles a failure of the endpoint: closes both connections and tries the next endpoint after a delay.
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

    /// Handles a lost connection or a response timeout. If the request is independent of the followed keys,
    /// an active watch is kept: the requests that restart a watch would add to the load of an overloaded
    /// endpoint.
    fn request_failed(&mut self, channel: Channel, reason: &str, out: &mut Outputs<'_>) {
        let independent = self.connection(channel).request().is_some_and(Request::is_independent_of_watch);
        if !independent || !self.is_watching {
            return self.endpoint_failed(reason, out);
        }
        out.events.push(ClientEvent::Failed(format!("{reason} (not a question of the list)")));
        self.close(channel, out.actions);
        self.short_not_before_us = out.now_us.saturating_add(self.poll_schedule.failed(None));
    }

    /// Starts the registration again, and reports the lost lease if the entry was registered under it.
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
