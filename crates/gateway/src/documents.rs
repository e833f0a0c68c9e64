//! Config versioning in the registry's protocol, for the gateway's server and the `settings` commands: records and transactions
//! as requests and responses, and a rollout by documents that are read as a gateway reads them. The callers own their
//! connections.

use crate::clock::Clock;
use crate::settings::SharedSettings;
use slatevalve_config_versioning::{
    Document, DocumentVersion, Keys, RolloutCoordinator, RolloutStep, Snapshot, State, Terms, Txn,
};
use slatevalve_registry::wire::{Bytes, Compare, DeleteRequest, KeyValue, PutRequest, RequestOp, TxnRequest};
use std::collections::BTreeMap;

/// The clock error assumed where a document cannot be read here, in parts per million: the largest that a document may state.
const MAX_CLOCK_ERROR_PPM: i64 = 500_000;

/// A transaction in the registry's protocol.
#[must_use]
pub fn request(txn: &Txn) -> TxnRequest {
    let put = |(key, value): &(String, Vec<u8>)| RequestOp {
        request_put: Some(PutRequest { key: Bytes::of(key), value: Bytes(value.clone()), lease: 0 }),
        request_delete_range: None,
    };
    let delete = |key: &String| RequestOp {
        request_put: None,
        request_delete_range: Some(DeleteRequest { key: Bytes::of(key), range_end: Bytes::default() }),
    };
    let unchanged = |(key, revision): &(String, i64)| Compare::unchanged(Bytes::of(key), *revision);
    TxnRequest {
        compare: txn.compares.iter().map(unchanged).collect(),
        success: txn.puts.iter().map(put).chain(txn.deletes.iter().map(delete)).collect(),
    }
}

/// The records of a range response.
#[must_use]
pub fn snapshot(keys: &Keys, entries: &[KeyValue]) -> Snapshot {
    let names: Vec<String> =
        entries.iter().map(|entry| String::from_utf8_lossy(&entry.key.0).into_owned()).collect();
    let records = names
        .iter()
        .zip(entries)
        .map(|(name, entry)| (name.as_str(), entry.value.0.as_slice(), entry.mod_revision));
    Snapshot::from_entries(keys, records)
}

/// What a rollout needs of a document.
struct DocumentRules {
    terms: Terms,
    clock_error_ppm: i64,
}

impl DocumentRules {
    /// The rules of a document; `None` if it cannot be read here.
    fn read(document: &Document, clock: &Clock) -> Option<Self> {
        let name = format!("document {}", document.number);
        let shared = SharedSettings::parse(&name, &document.text, clock).ok()?;
        Some(DocumentRules { terms: shared.terms(), clock_error_ppm: shared.clock_error_ppm })
    }
}

/// The coordinator of the change that a step of the state prepared.
struct StepCoordinator {
    step: u64,
    coordinator: RolloutCoordinator,
}

/// Coordinates one change after the other, and caches the rules of the documents in use.
pub(crate) struct DocumentRollout {
    keys: Keys,
    current: Option<StepCoordinator>,
    /// Rules by document; `None` for a document that cannot be read here.
    rules: BTreeMap<DocumentVersion, Option<DocumentRules>>,
}

impl DocumentRollout {
    pub(crate) fn new(keys: Keys) -> Self {
        DocumentRollout { keys, current: None, rules: BTreeMap::new() }
    }

    /// Decides the next step by a snapshot that holds the known ones of the documents it refers to; see
    /// [`RolloutCoordinator::advance`].
    pub(crate) fn advance(&mut self, clock: &Clock, snapshot: &Snapshot) -> RolloutStep {
        let Some(state) = &snapshot.state else { return RolloutStep::Idle };
        self.read_rules(clock, snapshot);
        let mut current = match self.current.take() {
            Some(current) if current.step == state.value.step => current,
            _ => self.begin(&state.value),
        };
        let terms = |version: &DocumentVersion| self.known_rules(version).map(|rules| rules.terms.clone());
        let next = current.coordinator.advance(clock.now().0, snapshot, terms);
        self.current = Some(current);
        next
    }

    /// Reads the rules of documents that came into use, and forgets those of others.
    fn read_rules(&mut self, clock: &Clock, snapshot: &Snapshot) {
        let referenced = snapshot.referenced_versions();
        self.rules.retain(|version, _| referenced.contains(version));
        for version in referenced {
            if let Some(document) = snapshot.document(version) {
                let read = || DocumentRules::read(document, clock);
                self.rules.entry(version.clone()).or_insert_with(read);
            }
        }
    }

    fn known_rules(&self, version: &DocumentVersion) -> Option<&DocumentRules> {
        self.rules.get(version)?.as_ref()
    }

    /// A coordinator for the step of this state. It reckons with the largest clock error of the documents in force.
    fn begin(&self, state: &State) -> StepCoordinator {
        let clock_error = |version: &DocumentVersion| {
            self.known_rules(version).map_or(MAX_CLOCK_ERROR_PPM, |rules| rules.clock_error_ppm)
        };
        let drift_ppm = state.active_settings.versions().map(clock_error).max();
        let drift_ppm = drift_ppm.unwrap_or(MAX_CLOCK_ERROR_PPM);
        StepCoordinator {
            step: state.step,
            coordinator: RolloutCoordinator::new(self.keys.clone(), drift_ppm),
        }
    }
}

#[cfg(test)]
mod tests;
