//! Adoption of a new state and its documents, and takeover of a change whose coordinator has stopped.

use super::requests::RequestPurpose;
use super::{ConfigVersioning, RETRY_DELAY_US};
use crate::clock::Clock;
use crate::documents;
use crate::settings::Site;
use slatevalve::{ClassId, Micros};
use slatevalve_config_versioning::{
    ActiveSettings, Document, DocumentVersion, Entry, LeaseTerms, RolloutStep, Snapshot, State,
};
use slatevalve_registry::wire::RangeResponse;
use std::collections::BTreeSet;
use tracing::{error, info, warn};

/// Minimum time in microseconds that the coordinator that began a change has before routers check whether to
/// take it over.
const MIN_TAKEOVER_DELAY_US: i64 = 2_000_000;
/// Minimum takeover delay in multiples of the longest lease.
const TAKEOVER_DELAY_LEASES: i64 = 2;
/// How many of the awaited routers a log line names.
const MAX_LOGGED_ROUTERS: usize = 5;

impl ConfigVersioning {
    /// Handles a read of the state; `None` if the read failed.
    pub(super) fn on_state(&mut self, now: Micros, response: Option<RangeResponse>) {
        let Some(response) = response else {
            self.read_state_us = Some(now.0 + RETRY_DELAY_US);
            return;
        };
        let snapshot = self.decode_snapshot(&response);
        snapshot.unreadable.iter().for_each(|error| error!(%error, "invalid rollout state in the registry"));
        self.new_state = snapshot.state.or(self.new_state.take());
        if std::mem::take(&mut self.lease_read_requested) {
            self.requests.read_key(&self.own_key, RequestPurpose::OwnLease);
        }
    }

    /// Handles a read of a document; `None` if the read failed. If the registry has no such valid document,
    /// the state is read again.
    pub(super) fn on_document(&mut self, now: Micros, number: u64, response: Option<RangeResponse>) {
        let Some(response) = response else {
            self.read_state_us = Some(now.0 + RETRY_DELAY_US);
            return;
        };
        let mut snapshot = self.decode_snapshot(&response);
        snapshot
            .unreadable
            .iter()
            .for_each(|error| error!(%error, "invalid settings document in the registry"));
        match snapshot.documents.remove(&number) {
            Some(document) => {
                self.documents.insert(number, document);
            }
            None => {
                self.new_state = None;
                self.read_state_us = Some(now.0 + RETRY_DELAY_US);
            }
        }
    }

    /// Handles a read of all routers' leases, made to check whether a prepared change can be committed.
    pub(super) fn on_leases(&mut self, now: Micros, response: Option<RangeResponse>, clock: &Clock) {
        let routers = response.as_ref().map_or(1, |response| response.kvs.len());
        self.takeover_timer.on_checked(now.0, routers);
        if let Some(response) = response {
            let snapshot = self.decode_snapshot(&response);
            self.advance_rollout(snapshot, clock);
        }
    }

    /// Commits the prepared change once it need not wait for any router. The leases are compared with the
    /// newest accepted state; if that is outdated, the registry rejects the commit.
    fn advance_rollout(&mut self, mut snapshot: Snapshot, clock: &Clock) {
        let Some(state) = self.lease_holder.state().cloned() else { return };
        let step = state.value.step;
        snapshot.state = Some(state);
        snapshot.documents.clone_from(&self.documents);
        match self.rollout.advance(clock, &snapshot) {
            RolloutStep::Commit(txn) => {
                info!(step, "requesting the commit of the prepared change");
                self.requests.write(&txn, RequestPurpose::Commit);
            }
            RolloutStep::Wait(awaited) => {
                let names: Vec<&str> =
                    awaited.iter().take(MAX_LOGGED_ROUTERS).map(|ack| ack.name.as_str()).collect();
                info!(step, awaited = awaited.len(), first = ?names, "the prepared change waits for routers");
            }
            RolloutStep::Idle => {}
        }
    }

    pub(super) fn decode_snapshot(&self, response: &RangeResponse) -> Snapshot {
        documents::snapshot(&self.keys, &response.kvs)
    }

    /// Adopts the newest state that was read once its documents are known. Returns the derived settings if
    /// the active documents changed.
    pub(super) fn adopt_new_state(
        &mut self,
        now: Micros,
        open_classes: impl FnOnce() -> BTreeSet<ClassId>,
        clock: &Clock,
    ) -> Option<Site> {
        let state = self.new_state.take()?;
        if self.rejected_step == Some(state.value.step) {
            return None;
        }
        let Some(documents) = self.known_documents(&state.value.active_settings) else {
            self.request_missing_documents(&state.value.active_settings);
            self.new_state = Some(state);
            return None;
        };
        let terms: Vec<LeaseTerms> = documents.iter().map(Document::lease_terms).collect();
        let mut lease_holder = self.lease_holder.clone();
        if let Err(fault) = lease_holder.observe_state(&state, &terms) {
            warn!(%fault, "settings");
            self.rejected_step = Some(state.value.step);
            return None;
        }
        if self.lease_holder.active_settings() == Some(&state.value.active_settings) {
            self.lease_holder = lease_holder;
            return None;
        }
        let documents_by_age: Vec<&Document> = documents.iter().collect();
        let site = match self.versioned_settings.site(&documents_by_age, &open_classes(), clock) {
            Ok(site) => site,
            Err(error) => {
                error!(
                    %error,
                    step = state.value.step,
                    "the new settings cannot be applied; active settings are kept"
                );
                self.reject(now, state.value.step);
                return None;
            }
        };
        let numbers: Vec<u64> = documents.iter().map(|document| document.number).collect();
        info!(documents = ?numbers, step = state.value.step, "settings");
        self.lease_holder = lease_holder;
        self.rejected_step = None;
        self.start_takeover_timer(now, &state.value, &terms);
        self.documents.retain(|number, _| numbers.contains(number));
        self.store_settings(&state);
        Some(site)
    }

    fn find_document(&self, version: &DocumentVersion) -> Option<&Document> {
        self.documents.get(&version.number).filter(|document| document.digest == version.digest)
    }

    /// The documents of these settings, the committed one first; `None` if one has not been read.
    fn known_documents(&self, active_settings: &ActiveSettings) -> Option<Vec<Document>> {
        active_settings.versions().map(|version| self.find_document(version).cloned()).collect()
    }

    fn request_missing_documents(&mut self, active_settings: &ActiveSettings) {
        for version in active_settings.versions() {
            let purpose = RequestPurpose::Document(version.number);
            if self.find_document(version).is_none() && !self.requests.is_pending(&purpose) {
                self.requests.read_key(&self.keys.document(version.number), purpose);
            }
        }
    }

    /// Rejects a state that cannot be applied here and keeps the active settings.
    fn reject(&mut self, now: Micros, step: u64) {
        self.rejected_step = Some(step);
        // A starting router has no active settings to keep, so it reads the state again until it can apply
        // one.
        let is_starting = self.lease_holder.active_settings().is_none();
        self.read_state_us = is_starting.then_some(now.0 + RETRY_DELAY_US);
    }

    fn start_takeover_timer(&mut self, now: Micros, state: &State, terms: &[LeaseTerms]) {
        let longest_lease_us = terms.iter().map(|terms| terms.lease_us).max().unwrap_or(0);
        let takeover_delay_us = MIN_TAKEOVER_DELAY_US.max(TAKEOVER_DELAY_LEASES * longest_lease_us);
        let prepared_step = state.active_settings.prepared.as_ref().map(|_| state.step);
        self.takeover_timer.observe_state(now.0, prepared_step, takeover_delay_us);
    }

    /// Stores the active settings for the next start.
    fn store_settings(&self, state: &Entry<State>) {
        if let Some(file) = &self.remembered_file {
            file.write(Snapshot::encode(&self.keys, state, self.documents.values()));
        }
    }
}
