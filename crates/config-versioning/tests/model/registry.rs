//! The registry, clocks and documents of the model.

use slatevalve_config_versioning::*;
use std::collections::BTreeMap;

/// Microseconds of a router's clock per tick of true time: 20 % slow, as a tick is 100 us.
pub(crate) const ROUTER_RATE: i64 = 80;
/// Microseconds of a coordinator's clock per tick of true time: 20 % fast.
pub(crate) const COORDINATOR_RATE: i64 = 120;
/// The drift that coordinators allow for.
pub(crate) const DRIFT_PPM: i64 = 200_000;
/// A lease lasts 2.5 ticks by a router's clock; a coordinator waits for 3 ticks.
pub(crate) const LEASE_US: i64 = 200;

pub(crate) fn keys() -> Keys {
    Keys::new("/t/")
}

/// The rules of a document by its number; any two documents contradict each other.
fn rules(number: u64) -> Terms {
    let retry = if number == 1 { RetryRule::forbidden() } else { RetryRule::keyed(None, number as i64) };
    Terms { classes: [("charge".to_string(), Class::new(retry, 1, 1))].into(), ..Terms::default() }
}

pub(crate) fn terms(version: &DocumentVersion) -> Option<Terms> {
    Some(rules(version.number))
}

/// Values by key, each with the number of its writes as its revision. A deleted entry keeps its revision next
/// to an empty value, so that no revision of a key is used twice.
pub(crate) type Store = BTreeMap<String, (Vec<u8>, i64)>;

pub(crate) fn apply(store: &mut Store, txn: &Txn) -> TxnOutcome {
    let current =
        |key: &String| store.get(key).filter(|entry| !entry.0.is_empty()).map_or(0, |entry| entry.1);
    if txn.compares.iter().any(|(key, revision)| current(key) != *revision) {
        return TxnOutcome::Conflict;
    }
    let mut written = 0;
    for (key, value) in &txn.puts {
        let entry = store.entry(key.clone()).or_default();
        *entry = (value.clone(), entry.1 + 1);
        written = entry.1;
    }
    for key in &txn.deletes {
        if let Some(entry) = store.get_mut(key) {
            entry.0.clear();
        }
    }
    TxnOutcome::Succeeded(written)
}

pub(crate) fn snapshot(store: &Store) -> Snapshot {
    let present = store.iter().filter(|(_, entry)| !entry.0.is_empty());
    Snapshot::from_entries(
        &keys(),
        present.map(|(key, (value, revision))| (key.as_str(), value.as_slice(), *revision)),
    )
}
