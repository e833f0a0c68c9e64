//! Config versioning in the gateway: reads documents, applies them, maintains the lease and checks it before
//! each loop iteration writes.
//!
//! Invariants: a state is acknowledged only after the router has applied it, and no non-idempotent or keyed
//! call is written after the lease has expired. The decisions are made elsewhere: [`LeaseHolder`] decides
//! what may be sent and requested, and [`VersionedSettings`] derives this gateway's settings from documents.
//! Called by the event loop once per iteration, and at the start before clients can connect.

mod incarnation;
mod integration;
mod requests;
mod rollout;

use crate::clock::Clock;
use crate::documents::DocumentRollout;
use crate::random_id::{id_text, random_u64};
use crate::remembered_file::RememberedFile;
use crate::settings::{DocumentRegistrySettings, Site, VersionedSettings};
use incarnation::IncarnationFile;
use requests::{RegistryRequests, RequestPurpose};
use slatevalve::{ClassId, Micros};
use slatevalve_config_versioning::{
    Document, Entry, Keys, LeaseHolder, LeaseOwner, LeaseRequest, SendPermission, State, TakeoverTimer,
    TxnOutcome,
};
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::wire::{PlainResponse, RangeResponse};
use slatevalve_registry::ClientEvent;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::Duration;
use tracing::{error, info, warn};

/// Delay before a failed read is repeated, in microseconds.
const RETRY_DELAY_US: i64 = 300_000;
/// How long a starting gateway waits for its lease, in microseconds. After that it serves only calls that
/// need no lease.
const FIRST_LEASE_TIMEOUT_US: i64 = 2_000_000;
/// Longest wait for events per poll during the start, in microseconds.
const STARTUP_POLL_US: i64 = 100_000;

/// Config versioning in one gateway; see the module's documentation.
pub(crate) struct ConfigVersioning {
    requests: RegistryRequests,
    keys: Keys,
    own_key: String,
    lease_holder: LeaseHolder,
    versioned_settings: VersionedSettings,
    /// Documents of the active settings and of `new_state`.
    documents: BTreeMap<u64, Document>,
    /// Where the active settings are stored for the next start.
    remembered_file: Option<RememberedFile>,
    /// The newest state that was read, until it is adopted or rejected.
    new_state: Option<Entry<State>>,
    /// When the state is to be read next; `None` if no read is scheduled.
    read_state_us: Option<i64>,
    /// Whether the lease holder has requested a read, which covers the state and then its own lease.
    lease_read_requested: bool,
    /// The step of the last rejected state, which is logged only once.
    rejected_step: Option<u64>,
    /// The permission last applied to the engine.
    send_permission: SendPermission,
    takeover_timer: TakeoverTimer,
    rollout: DocumentRollout,
    lease_released: bool,
    /// Holds the file's lock as long as this incarnation runs.
    _incarnation_file: Option<IncarnationFile>,
}

impl ConfigVersioning {
    /// Begins a new incarnation, which applies the settings stored by an earlier one until the registry
    /// answers.
    ///
    /// # Errors
    /// If no random incarnation can be generated, or the incarnation file cannot be opened or is locked by
    /// another process.
    pub(crate) fn new(
        settings: DocumentRegistrySettings,
        versioned_settings: VersionedSettings,
    ) -> io::Result<Self> {
        let DocumentRegistrySettings { client, addresses, prefix, incarnation_file, remembered_file, name } =
            settings;
        let seed = random_u64()?;
        let incarnation = id_text(seed);
        let incarnation_file =
            incarnation_file.map(|path| IncarnationFile::begin(&path, &incarnation)).transpose()?;
        let previous_incarnations =
            incarnation_file.as_ref().map(|file| file.previous.clone()).unwrap_or_default();
        let keys = Keys::new(&prefix);
        let own_key = keys.lease(&name, &incarnation);
        let remembered = remembered_file.as_deref().and_then(|path| incarnation::remembered(path, &keys));
        let remembered = remembered.unwrap_or_default();
        let lease_holder =
            LeaseHolder::new(LeaseOwner { keys: keys.clone(), name, incarnation, previous_incarnations });
        Ok(ConfigVersioning {
            requests: RegistryRequests::new(client, addresses),
            own_key,
            lease_holder,
            versioned_settings,
            documents: remembered.documents,
            remembered_file: remembered_file.map(|path| RememberedFile::open(path, "settings")),
            new_state: remembered.state,
            read_state_us: Some(i64::MIN),
            lease_read_requested: false,
            rejected_step: None,
            send_permission: SendPermission::Nothing,
            takeover_timer: TakeoverTimer::new(seed),
            rollout: DocumentRollout::new(keys.clone()),
            keys,
            lease_released: false,
            _incarnation_file: incarnation_file,
        })
    }

    /// Waits for the committed documents and, for a bounded time, for a lease on them; returns the settings
    /// derived from them. Signals keep their default effect on the process during this wait.
    ///
    /// # Errors
    /// If the poller fails.
    fn first_site(&mut self, clock: &Clock, reactor: &mut Reactor) -> io::Result<Site> {
        info!("waiting for settings documents");
        let (mut site, mut deadline): (Option<Site>, Option<Micros>) = (None, None);
        loop {
            let now = clock.now();
            if let Some(newer) = self.advance(now, reactor, BTreeSet::new, clock) {
                deadline.get_or_insert(Micros(now.0 + FIRST_LEASE_TIMEOUT_US));
                site = Some(newer);
            }
            let may_start = self.current_permission(now) == SendPermission::All
                || deadline.is_some_and(|deadline| deadline <= now);
            if let Some(site) = site.take_if(|_| may_start) {
                // Flushed before the gateway becomes ready: it can then restart without the registry even if
                // it is killed immediately.
                self.remembered_file.iter().for_each(RememberedFile::flush);
                return Ok(site);
            }
            let wait_us = (self.next_wake(now).0 - now.0).clamp(0, STARTUP_POLL_US) as u64;
            let mut events = Vec::new();
            reactor.poll(Some(Duration::from_micros(wait_us)), &mut events)?;
            let now = clock.now();
            for event in &events {
                self.handle_event(now, reactor, event);
            }
        }
    }

    /// Which calls may be sent now.
    fn current_permission(&self, now: Micros) -> SendPermission {
        self.lease_holder.send_permission(now.0)
    }

    /// The time until which all buffered data may be written, if the current permission expires by time.
    /// `None` once the permission is reduced, because unsent calls that need a lease have been cancelled by
    /// then.
    pub(crate) fn writes_until(&self) -> Option<Micros> {
        self.lease_holder.expires_us().filter(|_| self.send_permission == SendPermission::All).map(Micros)
    }

    /// When [`ConfigVersioning::advance`] is due.
    pub(crate) fn next_wake(&self, now: Micros) -> Micros {
        let due = [
            Some(self.requests.next_wake_us(now)),
            self.lease_holder.next_request_us(),
            self.state_read_due_us(),
            self.takeover_check_due_us(),
        ];
        Micros(due.into_iter().flatten().min().unwrap_or(i64::MAX).max(now.0))
    }

    /// Handles an event if it belongs to the registry's connection; returns whether it did.
    pub(crate) fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        self.requests.handle_event(now, reactor, event)
    }

    /// Advances to `now`. Returns new settings if the documents in force have changed. The caller must apply
    /// them before the next call, which acknowledges them. `open_classes` returns the classes of open calls.
    pub(crate) fn advance(
        &mut self,
        now: Micros,
        reactor: &mut Reactor,
        open_classes: impl FnOnce() -> BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Option<Site> {
        for event in self.requests.take_events() {
            match event {
                // A watch event only triggers a read of the state, because the read also returns the entry's
                // revision.
                ClientEvent::Changes(_) => self.read_state_us = Some(now.0),
                ClientEvent::Answered(ticket, response) => {
                    if let Some(purpose) = self.requests.complete(ticket) {
                        self.handle_response(now, purpose, response.ok(), clock);
                    }
                }
                _ => {}
            }
        }
        if self.state_read_due_us().is_some_and(|due_us| due_us <= now.0) {
            self.read_state_us = None;
            self.requests.read_key(&self.keys.state(), RequestPurpose::State);
        }
        let site = self.adopt_new_state(now, open_classes, clock);
        if !self.lease_released {
            self.check_for_takeover(now);
            self.request_lease(now);
        }
        self.requests.advance(now, reactor);
        site
    }

    fn check_for_takeover(&mut self, now: Micros) {
        if self.takeover_check_due_us().is_some_and(|due_us| due_us <= now.0) {
            self.requests.read_prefix(&self.keys.leases(), RequestPurpose::Leases);
        }
    }

    fn request_lease(&mut self, now: Micros) {
        match self.lease_holder.next_request(now.0) {
            Some(LeaseRequest::Read) => {
                self.lease_read_requested = true;
                self.read_state_us = Some(now.0);
            }
            Some(LeaseRequest::Write(txn)) => self.requests.write(&txn, RequestPurpose::WriteLease),
            None => {}
        }
    }

    /// When the state is to be read next; `None` while a read is in progress.
    fn state_read_due_us(&self) -> Option<i64> {
        self.read_state_us.filter(|_| !self.requests.is_pending(&RequestPurpose::State))
    }

    /// When to check for a change without a coordinator; `None` while a check or a commit is in progress.
    fn takeover_check_due_us(&self) -> Option<i64> {
        let is_checking = || {
            self.requests.is_pending(&RequestPurpose::Leases)
                || self.requests.is_pending(&RequestPurpose::Commit)
        };
        self.takeover_timer.next_check_us().filter(|_| !is_checking())
    }

    /// Handles the response to a request; `None` if the request failed.
    fn handle_response(
        &mut self,
        now: Micros,
        purpose: RequestPurpose,
        response: Option<Vec<u8>>,
        clock: &Clock,
    ) {
        let response = response.as_deref();
        match purpose {
            RequestPurpose::State => self.on_state(now, requests::decode(response)),
            RequestPurpose::Document(number) => self.on_document(now, number, requests::decode(response)),
            RequestPurpose::OwnLease => self.on_own_lease(requests::decode(response)),
            RequestPurpose::WriteLease => self.on_lease_written(requests::decode(response)),
            RequestPurpose::Leases => self.on_leases(now, requests::decode(response), clock),
            // The state shows whether the commit was applied, by this router or by another coordinator.
            RequestPurpose::Commit => self.read_state_us = Some(now.0),
            RequestPurpose::ReleaseLease => self.lease_released = true,
        }
    }

    /// Handles a read of the router's own lease. If there is no response, the lease holder repeats the
    /// request after a timeout.
    fn on_own_lease(&mut self, response: Option<RangeResponse>) {
        let Some(response) = response else { return };
        let snapshot = self.decode_snapshot(&response);
        if !snapshot.unreadable_leases.is_empty() {
            error!(key = self.own_key, "this router's lease in the registry cannot be decoded");
        }
        if let Err(fault) = self.lease_holder.on_read(snapshot.leases.values().next()) {
            warn!(%fault, "settings");
        }
    }

    fn on_lease_written(&mut self, response: Option<PlainResponse>) {
        self.lease_holder.on_written(match response {
            Some(response) if response.succeeded => TxnOutcome::Succeeded(response.header.revision),
            Some(_) => TxnOutcome::Conflict,
            None => TxnOutcome::Unknown,
        });
    }

    /// Requests the release of the lease, if one is held.
    pub(crate) fn release_lease(&mut self) {
        match self.lease_holder.release() {
            Some(txn) => self.requests.write(&txn, RequestPurpose::ReleaseLease),
            None => self.lease_released = true,
        }
    }

    /// Whether the request to release the lease has ended, or none was needed.
    pub(crate) fn is_lease_released(&self) -> bool {
        self.lease_released
    }
}
