//! The client's requests: the choice of the next one, and their encoding as HTTP/1.1 messages.

use super::settings::WatchScope;
use super::Client;
use crate::members::{RELAYS, ROUTERS, WORKERS};
use crate::registration::{LeaseStep, Registration};
use crate::watch_state::{ListRequest, NextRequest};
use crate::wire::*;
use serde::Serialize;

/// A request to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Request {
    Watch,
    Login,
    List(ListRequest),
    LivenessCheck,
    /// Counts the routers that are registered directly at the registry.
    CountRouters,
    /// Lists the relays, whose records hold the number of routers registered at each. Carries the result of
    /// the preceding `CountRouters`.
    ListRelays {
        direct_routers: usize,
    },
    Lease(LeaseStep),
    Caller(CallerRequest),
}

impl Request {
    /// Returns whether the request is independent of the followed keys, so that its failure need not end the
    /// watch.
    pub(super) fn is_independent_of_watch(&self) -> bool {
        matches!(
            self,
            Request::CountRouters
                | Request::ListRelays { .. }
                | Request::Lease(LeaseStep::Grant(_) | LeaseStep::Announce(_))
        )
    }
}

/// A request that the client's owner sent with [`Client::send_request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CallerRequest {
    pub(super) ticket: u64,
    pub(super) path: &'static str,
    pub(super) body: Vec<u8>,
}

/// A range of keys from `key` (inclusive) to `range_end` (exclusive).
struct KeyRange {
    key: Bytes,
    range_end: Bytes,
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

impl Client {
    pub(super) fn needs_login(&self) -> bool {
        self.settings.login.is_some() && self.token.is_none()
    }

    pub(super) fn follows_keys(&self) -> bool {
        self.settings.follow != WatchScope::Nothing
    }

    /// Returns whether a watch should be started now: one is required, and its connection is available.
    pub(super) fn should_watch(&self) -> bool {
        self.watch.is_available()
            && self.follows_keys()
            && !self.needs_login()
            && matches!(self.watch_state.next_request(), NextRequest::Watch(_))
    }

    pub(super) fn short_is_available(&self, now_us: i64) -> bool {
        self.short.is_available() && now_us >= self.short_not_before_us
    }

    /// Returns the step of the registration that is due. The first ones are delayed until all clients have
    /// had time for their first lists.
    fn lease_step(&self, now_us: i64) -> Option<LeaseStep> {
        self.registration.as_ref()?.next_step(now_us).filter(|_| now_us >= self.register_from_us)
    }

    fn should_count_routers(&self, now_us: i64) -> bool {
        self.settings.follow == WatchScope::Workers && !self.is_leaving && now_us >= self.router_poll.due_us()
    }

    /// Returns whether [`Client::next_short_request`] would return a request.
    pub(super) fn has_short_request(&self, now_us: i64) -> bool {
        let should_list = !self.is_leaving && matches!(self.watch_state.next_request(), NextRequest::List(_));
        self.needs_login()
            || !self.caller_requests.is_empty()
            || self.follows_keys() && (should_list || self.watch_state.liveness_check_due(now_us))
            || self.lease_step(now_us).is_some()
            || self.should_count_routers(now_us)
            || self.router_poll.should_list_relays()
    }

    /// Returns the next short request. Lists take precedence over the registration, because routing calls to
    /// a draining worker is worse than being counted late.
    pub(super) fn next_short_request(&mut self, now_us: i64) -> Option<Request> {
        if self.needs_login() {
            return Some(Request::Login);
        }
        if let Some(request) = self.caller_requests.pop_front() {
            return Some(Request::Caller(request));
        }
        if self.follows_keys() && !self.is_leaving {
            if let NextRequest::List(list) = self.watch_state.next_request() {
                return Some(Request::List(list));
            }
        }
        // Counts precede the rest because the number of clients determines the intervals of the other
        // requests.
        if let Some(direct_routers) = self.router_poll.take_direct_routers() {
            return Some(Request::ListRelays { direct_routers });
        }
        if self.should_count_routers(now_us) {
            return Some(Request::CountRouters);
        }
        if let Some(step) = self.lease_step(now_us) {
            return Some(Request::Lease(step));
        }
        if !self.follows_keys() || !self.watch_state.liveness_check_due(now_us) {
            return None;
        }
        Some(self.liveness_request())
    }

    /// Returns the request that serves as the due liveness check. A keep-alive is used if possible: the
    /// revision in its response shows whether anything changed in the registry.
    fn liveness_request(&mut self) -> Request {
        let lease = self.registration.as_ref().and_then(Registration::announced_lease);
        let check_required =
            std::mem::take(&mut self.liveness_check_pending) || self.watch_state.requires_liveness_check();
        match lease {
            Some(lease) if !check_required => Request::Lease(LeaseStep::KeepAlive(lease)),
            _ => Request::LivenessCheck,
        }
    }

    /// Encodes a request as an HTTP message.
    pub(super) fn encode(&self, request: &Request) -> Vec<u8> {
        let (path, body) = self.encode_body(request);
        let host = self.settings.endpoints.get(self.endpoints.current()).map_or("", String::as_str);
        let token =
            self.token.as_ref().map(|token| format!("Authorization: {token}\r\n")).unwrap_or_default();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{token}Content-Length: {}\r\n\r\n",
            body.len()
        );
        [head.into_bytes(), body].concat()
    }

    /// Returns the path and the JSON body of a request.
    fn encode_body(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let KeyRange { key, range_end } = self.followed_range();
        match request {
            Request::Watch => (WATCH, self.encode_watch()),
            Request::Login => (AUTHENTICATE, self.encode_login()),
            Request::List(list) => {
                let key = if list.start_key.is_empty() { key } else { Bytes(list.start_key.clone()) };
                let (limit, revision) = (list.limit, list.revision);
                (RANGE, to_json(&RangeRequest { key, range_end, limit, revision, ..Default::default() }))
            }
            Request::LivenessCheck => (RANGE, to_json(&RangeRequest::last_modified(key, range_end))),
            Request::CountRouters => {
                let KeyRange { key, range_end } = self.range_of(ROUTERS);
                (RANGE, to_json(&RangeRequest { key, range_end, count_only: true, ..Default::default() }))
            }
            Request::ListRelays { .. } => {
                let KeyRange { key, range_end } = self.range_of(RELAYS);
                (RANGE, to_json(&RangeRequest { key, range_end, ..Default::default() }))
            }
            Request::Lease(step) => self.encode_lease_step(*step),
            Request::Caller(CallerRequest { path, body, .. }) => (path, body.clone()),
        }
    }

    fn encode_watch(&self) -> Vec<u8> {
        let KeyRange { key, range_end } = self.followed_range();
        let start_revision = match self.watch_state.next_request() {
            NextRequest::Watch(revision) => revision,
            NextRequest::List(_) | NextRequest::Nothing => 0,
        };
        let create = WatchCreate { key, range_end, start_revision, progress_notify: true, fragment: true };
        to_json(&WatchRequest { create_request: Some(create) })
    }

    fn encode_login(&self) -> Vec<u8> {
        let login = self.settings.login.clone();
        let request = login.map(|login| AuthRequest { name: login.name, password: login.password });
        to_json(&request.unwrap_or_default())
    }

    fn encode_lease_step(&self, step: LeaseStep) -> (&'static str, Vec<u8>) {
        match step {
            LeaseStep::Grant(ttl) => (GRANT, to_json(&LeaseRequest { ttl, id: 0 })),
            LeaseStep::KeepAlive(id) => (KEEP_ALIVE, to_json(&LeaseRequest { ttl: 0, id })),
            LeaseStep::Announce(lease) => {
                let (key, value) = self.settings.own.clone().unwrap_or_default();
                (PUT, to_json(&PutRequest { key: Bytes::of(&key), value: Bytes(value), lease }))
            }
        }
    }

    /// Returns the range of keys that the watch and the lists cover.
    fn followed_range(&self) -> KeyRange {
        self.range_of(if self.settings.follow == WatchScope::Workers { WORKERS } else { "" })
    }

    /// Returns the range of the keys of a kind, such as [`WORKERS`]; an empty `kind` covers all keys below
    /// the prefix.
    fn range_of(&self, kind: &str) -> KeyRange {
        let prefix = format!("{}{kind}", self.settings.prefix).into_bytes();
        let range_end = Bytes(prefix_end(&prefix));
        KeyRange { key: Bytes(prefix), range_end }
    }
}
