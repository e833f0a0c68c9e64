//! Requests to the registry, each tracked with its purpose until the response arrives.

use crate::documents;
use serde::de::DeserializeOwned;
use slatevalve::Micros;
use slatevalve_config_versioning::Txn;
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::wire::{prefix_end, Bytes, RangeRequest, RANGE, TXN};
use slatevalve_registry::{ClientEvent, ClientSettings};
use slatevalve_registry_transport::Link;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The purpose of a request, which selects the handler of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// Read the state of the rollout.
    State,
    /// Read the router's own lease, for the lease holder.
    OwnLease,
    /// Read the document with this number.
    Document(u64),
    /// Write the router's lease.
    WriteLease,
    /// Read all leases, to check whether a prepared change can be committed.
    Leases,
    /// Commit the prepared change.
    Commit,
    /// Delete the router's lease.
    ReleaseLease,
}

/// The connection to the registry and the requests in progress on it.
pub(super) struct RegistryRequests {
    link: Link,
    pending: BTreeMap<u64, RequestPurpose>,
}

impl RegistryRequests {
    pub(super) fn new(client: ClientSettings, addresses: Vec<SocketAddr>) -> Self {
        RegistryRequests { link: Link::new(client, addresses), pending: BTreeMap::new() }
    }

    /// When [`RegistryRequests::advance`] is due.
    pub(super) fn next_wake_us(&self, now: Micros) -> i64 {
        self.link.next_wake(now.0)
    }

    /// Handles an event if it belongs to the connection; returns whether it did.
    pub(super) fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        self.link.handle_event(now.0, reactor, event)
    }

    /// Advances the connection to `now` and sends the queued requests.
    pub(super) fn advance(&mut self, now: Micros, reactor: &mut Reactor) {
        self.link.advance(now.0, reactor);
    }

    /// The events since the last call.
    pub(super) fn take_events(&mut self) -> impl IntoIterator<Item = ClientEvent> {
        self.link.take_events()
    }

    /// Removes a completed request and returns its purpose; `None` if the ticket is unknown.
    pub(super) fn complete(&mut self, ticket: u64) -> Option<RequestPurpose> {
        self.pending.remove(&ticket)
    }

    /// Whether a request with this purpose is in progress.
    pub(super) fn is_pending(&self, purpose: &RequestPurpose) -> bool {
        self.pending.values().any(|pending| pending == purpose)
    }

    /// Requests one entry.
    pub(super) fn read_key(&mut self, key: &str, purpose: RequestPurpose) {
        self.read_range(key, Bytes::default(), purpose);
    }

    /// Requests all entries whose keys have this prefix.
    pub(super) fn read_prefix(&mut self, prefix: &str, purpose: RequestPurpose) {
        self.read_range(prefix, Bytes(prefix_end(prefix.as_bytes())), purpose);
    }

    fn read_range(&mut self, key: &str, range_end: Bytes, purpose: RequestPurpose) {
        let request = RangeRequest { key: Bytes::of(key), range_end, ..RangeRequest::default() };
        let ticket = self.link.client_mut().send_request(RANGE, &request);
        self.pending.insert(ticket, purpose);
    }

    /// Requests a transaction.
    pub(super) fn write(&mut self, txn: &Txn, purpose: RequestPurpose) {
        let ticket = self.link.client_mut().send_request(TXN, &documents::request(txn));
        self.pending.insert(ticket, purpose);
    }
}

/// Decodes a response; `None` if there is none or it is malformed.
pub(super) fn decode<T: DeserializeOwned>(response: Option<&[u8]>) -> Option<T> {
    serde_json::from_slice(response?).ok()
}
