//! What the agreement on settings needs of a gateway, whoever takes part in it: its entries and transactions in the registry's
//! protocol, and a driver that reads documents as a gateway does. Used by the shell of a gateway that acts by documents and by
//! the `settings` commands; both own their connections.

use crate::clock::Clock;
use crate::settings::SharedSettings;
use slatevalve_config_versioning::{
    Document, DocumentVersion, Keys, RolloutCoordinator, RolloutStep, Snapshot, Terms, Txn,
};
use slatevalve_registry::wire::{Bytes, Compare, DeleteRequest, KeyValue, PutRequest, RequestOp, TxnRequest};
use std::collections::BTreeMap;

/// A clock's error where a document does not say it, as it cannot be read here: the largest that there may be.
const UNKNOWN_ERROR_PPM: i64 = 500_000;

/// A transaction as the registry's protocol has it.
pub fn request(txn: &Txn) -> TxnRequest {
    let put = |(key, value): &(String, Vec<u8>)| RequestOp {
        request_put: Some(PutRequest { key: Bytes::of(key), value: Bytes(value.clone()), lease: 0 }),
        request_delete_range: None,
    };
    let delete = |key: &String| RequestOp {
        request_put: None,
        request_delete_range: Some(DeleteRequest { key: Bytes::of(key), range_end: Bytes::default() }),
    };
    TxnRequest {
        compare: txn.compares.iter().map(|(key, at)| Compare::unchanged(Bytes::of(key), *at)).collect(),
        success: txn.puts.iter().map(put).chain(txn.deletes.iter().map(delete)).collect(),
    }
}

/// What the registry's entries say.
pub fn snapshot(keys: &Keys, entries: &[KeyValue]) -> Snapshot {
    let text = |kv: &KeyValue| String::from_utf8_lossy(&kv.key.0).into_owned();
    let names: Vec<String> = entries.iter().map(text).collect();
    let each = names.iter().zip(entries).map(|(k, e)| (k.as_str(), e.value.0.as_slice(), e.mod_revision));
    Snapshot::from_entries(keys, each)
}

/// A driver of one change after the other, with the rules of the documents that it met.
pub(crate) struct Conductor {
    keys: Keys,
    /// The step that is driven, and its driver.
    driver: Option<(u64, RolloutCoordinator)>,
    /// Rules and clock's error of documents; nothing for one that cannot be read here.
    rules: BTreeMap<DocumentVersion, Option<(Terms, i64)>>,
}

impl Conductor {
    pub(crate) fn new(keys: Keys) -> Self {
        Conductor { keys, driver: None, rules: BTreeMap::new() }
    }

    /// Looks at a reading, with the documents that are known of those it names, as [`RolloutCoordinator::look`] does.
    pub(crate) fn look(&mut self, clock: &Clock, snapshot: &Snapshot) -> RolloutStep {
        let Some(state) = &snapshot.state else { return RolloutStep::Idle };
        let named = snapshot.referenced_versions();
        self.rules.retain(|version, _| named.contains(version));
        for version in named {
            if let Some(document) = snapshot.document(version) {
                self.rules.entry(version.clone()).or_insert_with(|| rules(document, clock));
            }
        }
        let known = |e: &DocumentVersion| self.rules.get(e).and_then(Option::as_ref);
        let step = state.value.step;
        if self.driver.as_ref().is_none_or(|d| d.0 != step) {
            let errors =
                state.value.active_settings.versions().map(|e| known(e).map_or(UNKNOWN_ERROR_PPM, |r| r.1));
            let error = errors.max().unwrap_or(UNKNOWN_ERROR_PPM);
            self.driver = Some((step, RolloutCoordinator::new(self.keys.clone(), error)));
        }
        let terms = |e: &DocumentVersion| known(e).map(|r| r.0.clone());
        let driver = self.driver.as_mut();
        driver.map_or(RolloutStep::Idle, |(_, driver)| driver.advance(clock.now().0, snapshot, terms))
    }
}

fn rules(document: &Document, clock: &Clock) -> Option<(Terms, i64)> {
    let shared =
        SharedSettings::parse(&format!("document {}", document.number), &document.text, clock).ok()?;
    Some((shared.terms(), shared.clock_error_ppm))
}

#[cfg(test)]
mod tests {
    use super::*;
    use slatevalve_config_versioning::{
        LeaseExpiryPolicy, LeaseHolder, LeaseHolderSettings, LeaseRequest, LeaseTerms, WaitReason,
    };

    const RIGHT_US: i64 = 3_600_000_000;

    /// Publishes a document into entries; a router that stands still has said yes to the one before.
    fn publish(keys: &Keys, entries: &mut Vec<KeyValue>, clock_error_ppm: i64) {
        let text = format!(
            "(class \"charge\" (effect keyed (group all) (window-ms {clock_error_ppm})) (aim-ms 1) (deadline-ms 1))
             (route \"charge/+\" (class \"charge\") (function \"{{2}}\"))
             (agreement (in-doubt give-up) (clock-error-ppm {clock_error_ppm}))"
        );
        let (digest, who, why, expiry_policy) =
            (String::new(), "op".into(), "why".into(), LeaseExpiryPolicy::GiveUp);
        let draft =
            Document { number: 0, parent: 0, digest, text, who, why, expiry_policy, lease_us: RIGHT_US };
        let (_, txn) = snapshot(keys, entries).publish(keys, &draft, 0).unwrap();
        put(entries, &txn);
    }

    fn put(entries: &mut Vec<KeyValue>, txn: &Txn) {
        for put in request(txn).success.into_iter().filter_map(|op| op.request_put) {
            entries.retain(|e| e.key != put.key);
            entries.push(KeyValue { key: put.key, value: put.value, mod_revision: 1, ..KeyValue::default() });
        }
    }

    #[test]
    fn a_right_is_waited_for_by_the_larger_clock_error_of_both_documents() {
        for (old, new) in [(400_000, 1), (1, 400_000)] {
            let (keys, clock, mut entries) = (Keys::new("/t/"), Clock::start(), Vec::new());
            publish(&keys, &mut entries, old);
            let settings = LeaseHolderSettings {
                keys: keys.clone(),
                name: "r".into(),
                incarnation: "1".into(),
                previous_incarnations: vec![],
            };
            let mut still = LeaseHolder::new(settings);
            still
                .observe_state(
                    &snapshot(&keys, &entries).state.unwrap(),
                    &[LeaseTerms { lease_us: RIGHT_US, expiry_policy: LeaseExpiryPolicy::GiveUp }],
                )
                .unwrap();
            let Some(LeaseRequest::Write(txn)) = still.next_request(0) else {
                panic!("it asks for its right")
            };
            put(&mut entries, &txn);
            publish(&keys, &mut entries, new);
            let from = clock.now().0;
            let RolloutStep::Wait(awaited) =
                Conductor::new(keys.clone()).look(&clock, &snapshot(&keys, &entries))
            else {
                panic!("its right stands")
            };
            let WaitReason::LeaseExpiry(until) = awaited[0].reason else { panic!("{awaited:?}") };
            // 1.4 / 0.6 of the right.
            assert!(until - from >= RIGHT_US / 6 * 14, "{old} then {new}: {}", until - from);
        }
    }
}
