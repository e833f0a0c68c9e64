//! Config versioning over the registry's protocol, for the gateway server and the `settings` commands:
//! conversion of transactions to requests and of responses to snapshots, and a rollout that parses documents
//! as a gateway does. The callers own their connections.

use crate::clock::Clock;
use crate::settings::SharedSettings;
use slatevalve_config_versioning::{
    Document, DocumentVersion, Keys, RolloutCoordinator, RolloutStep, Snapshot, State, Terms, Txn,
};
use slatevalve_registry::wire::{Bytes, Compare, DeleteRequest, KeyValue, PutRequest, RequestOp, TxnRequest};
use std::collections::BTreeMap;

/// The clock error assumed for a document that cannot be read here, in parts per million: the largest that a
/// document may set.
const MAX_CLOCK_ERROR_PPM: i64 = 500_000;

/// Converts a transaction to a request of the registry's protocol.
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

/// Reads the records in the entries of a range response.
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

/// The settings of a document that a rollout depends on.
struct DocumentRules {
    terms: Terms,
    clock_error_ppm: i64,
}

impl DocumentRules {
    /// Parses a document; `None` if this version of the program cannot read it.
    fn read(document: &Document, clock: &Clock) -> Option<Self> {
        let name = format!("document {}", document.number);
        let shared = SharedSettings::parse(&name, &document.text, clock).ok()?;
        Some(DocumentRules { terms: shared.terms(), clock_error_ppm: shared.clock_error_ppm })
    }
}

/// The coordinator of the change that was prepared at a step of the state.
struct StepCoordinator {
    step: u64,
    coordinator: RolloutCoordinator,
}

/// Coordinates successive changes, and caches the rules of the documents in use.
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

    /// Decides the next step from a snapshot, which must contain those of its referenced documents that could
    /// be read; see [`RolloutCoordinator::advance`].
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

    /// Reads the rules of documents that came into use, and drops those that are no longer referenced.
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

    /// Creates a coordinator for the step of this state. It assumes the largest clock error of the documents
    /// in force.
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
