//! Documents, state and leases as entries of a registry: publication, rejected records, and rollback of the
//! registry.

use slatevalve_config_versioning::*;
use std::collections::BTreeMap;

type Store = BTreeMap<String, (Vec<u8>, i64)>;

fn keys() -> Keys {
    Keys::new("/slatevalve/")
}

fn draft(text: &str) -> Document {
    let (digest, who, why) = (String::new(), "op".into(), "why".into());
    Document {
        number: 0,
        parent: 0,
        digest,
        text: text.into(),
        who,
        why,
        expiry_policy: LeaseExpiryPolicy::GoOn,
        lease_us: 3_000_000,
    }
}

fn snapshot(store: &Store) -> Snapshot {
    Snapshot::from_entries(&keys(), store.iter().map(|(k, (v, r))| (k.as_str(), v.as_slice(), *r)))
}

fn apply(store: &mut Store, revision: i64, txn: Txn) {
    assert!(txn.compares.iter().all(|(k, r)| store.get(k).map_or(0, |e| e.1) == *r), "{:?}", txn.compares);
    txn.puts.into_iter().for_each(|(k, v)| drop(store.insert(k, (v, revision))));
    txn.deletes.iter().for_each(|k| drop(store.remove(k)));
}

fn holder(incarnation: &str) -> LeaseHolder {
    LeaseHolder::new(LeaseOwner {
        keys: keys(),
        name: "r".into(),
        incarnation: incarnation.into(),
        previous_incarnations: vec![],
    })
}

fn observe(holder: &mut LeaseHolder, store: &Store) -> Result<bool, LeaseFault> {
    let now = snapshot(store);
    let state = now.state.unwrap();
    let lease_terms = |version: &DocumentVersion| now.documents.get(&version.number).unwrap().lease_terms();
    holder.observe_state(&state, &state.value.active_settings.versions().map(lease_terms).collect::<Vec<_>>())
}

/// A store with one committed document, which one router has acknowledged.
fn store_with_router() -> (Store, LeaseHolder) {
    let (mut store, mut router) = (Store::new(), holder("1"));
    apply(&mut store, 1, Snapshot::default().publish(&keys(), &draft("one"), 0).unwrap().1);
    assert_eq!(router.send_permission(0), SendPermission::Nothing);
    observe(&mut router, &store).unwrap();
    assert_eq!((router.send_permission(0), router.next_request(0).is_some()), (SendPermission::Safe, true));
    router.on_written(TxnOutcome::Unknown);
    router.next_request(0);
    router.on_read(None).unwrap();
    assert_eq!(router.next_request(0), None, "a failed write is not repeated at once");
    let Some(LeaseRequest::Write(txn)) = router.next_request(1_000_000) else {
        panic!("the router requests no lease")
    };
    apply(&mut store, 2, txn);
    router.on_written(TxnOutcome::Succeeded(2));
    assert_eq!(router.send_permission(1_000_000), SendPermission::All);
    (store, router)
}

#[test]
fn publishing_assigns_increasing_numbers_and_allows_one_change_at_a_time() {
    let (mut store, _) = store_with_router();
    let (second, txn) = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap();
    assert_eq!((second.number, second.parent), (2, 1));
    let concurrent = snapshot(&store).publish(&keys(), &draft("three"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    assert!(
        concurrent.compares.iter().any(|(k, r)| store.get(k).is_some_and(|e| e.1 != *r)),
        "only one of two concurrent publications succeeds"
    );
    let now = snapshot(&store);
    assert_eq!(now.publish(&keys(), &draft("three"), 0).unwrap_err(), PublishError::ChangeInProgress(2));
    apply(&mut store, 4, now.withdraw(&keys()).unwrap());
    let now = snapshot(&store);
    assert_eq!(now.withdraw(&keys()), None);
    assert_eq!(now.publish(&keys(), &draft("one"), 0).unwrap_err(), PublishError::Unchanged(1));
    assert_eq!(now.publish(&keys(), &draft("two"), 0).unwrap().0.number, 3, "a number is not assigned twice");
    assert_eq!(now.publish(&keys(), &draft("two"), 40).unwrap().0.number, 41);
    let long = draft(&"x".repeat(600 * 1024));
    assert_eq!(now.publish(&keys(), &long, 0).unwrap_err(), PublishError::TooLong(600 * 1024));
}

#[test]
fn a_rollout_waits_for_an_unresponsive_router_until_its_leases_are_revoked() {
    let (mut store, _) = store_with_router();
    let txn = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    let mut coordinator = RolloutCoordinator::new(keys(), 20_000);
    let contradicting_terms = |version: &DocumentVersion| {
        let class = Class::new(RetryRule::keyed(None, version.number as i64), 1, 1);
        Some(Terms { classes: [("charge".to_string(), class)].into(), ..Terms::default() })
    };
    let waits_for =
        |reason| RolloutStep::Wait(vec![PendingAck { name: "r".into(), incarnation: "1".into(), reason }]);
    assert_eq!(
        coordinator.advance(0, &snapshot(&store), contradicting_terms),
        waits_for(WaitReason::Acknowledgement)
    );
    assert_eq!(
        coordinator.advance(i64::MAX / 2, &snapshot(&store), contradicting_terms),
        waits_for(WaitReason::Acknowledgement)
    );
    // A router whose active settings the new document does not contradict is not waited for.
    let equal_terms = |_: &DocumentVersion| Some(Terms::default());
    assert!(matches!(coordinator.advance(0, &snapshot(&store), equal_terms), RolloutStep::Commit(_)));
    // Unreadable terms count as contradicting, and an undecodable lease as one that does not acknowledge.
    assert_eq!(coordinator.advance(0, &snapshot(&store), |_| None), waits_for(WaitReason::Acknowledgement));
    store.insert(keys().lease("r", "1"), (b"{\"step\": 2, \"what\": 1}".to_vec(), 4));
    assert_eq!(
        coordinator.advance(0, &snapshot(&store), equal_terms),
        waits_for(WaitReason::UnreadableLease)
    );
    assert!(snapshot(&store).unreadable[0]
        .to_string()
        .starts_with("/slatevalve/agreement/rights/r/1: unknown field"));
    assert_eq!(snapshot(&store).revoke_leases(&keys(), "r", Some("2")), None);
    let txn = snapshot(&store).revoke_leases(&keys(), "r", None).unwrap();
    apply(&mut store, 5, txn);
    let RolloutStep::Commit(txn) = coordinator.advance(0, &snapshot(&store), contradicting_terms) else {
        panic!("the commit is blocked although no lease is left")
    };
    apply(&mut store, 6, txn);
    assert_eq!(snapshot(&store).state.unwrap().value.active_settings.committed.number, 2);
    assert_eq!(coordinator.advance(0, &snapshot(&store), contradicting_terms), RolloutStep::Idle);
}

#[test]
fn a_rolled_back_registry_is_reported_and_active_settings_are_kept() {
    let (mut store, mut router) = store_with_router();
    let older = store.clone();
    let txn = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    assert_eq!(observe(&mut router, &store), Ok(true));
    assert_eq!(observe(&mut router, &store), Ok(false));
    let active_settings = router.active_settings().cloned();
    assert_eq!(observe(&mut router, &older), Err(LeaseFault::StateRolledBack { from: 2, to: 1 }));
    assert_eq!(
        (router.active_settings().cloned(), router.send_permission(1_000_000)),
        (active_settings, SendPermission::All)
    );
    // The same step with different content also counts as a rollback.
    let mut other = older.clone();
    let txn = snapshot(&other).publish(&keys(), &draft("another two"), 0).unwrap().1;
    apply(&mut other, 3, txn);
    assert_eq!(observe(&mut router, &other), Err(LeaseFault::StateRolledBack { from: 2, to: 2 }));
    // The registry now holds a lease on the older state: the router's write fails, so it acknowledges
    // nothing, and it does not repeat the write at once.
    let Some(LeaseRequest::Write(txn)) = router.next_request(2_000_000) else {
        panic!("the router requests no lease")
    };
    assert!(txn.puts[0].0.ends_with("rights/r/1"));
    router.on_written(TxnOutcome::Conflict);
    assert_eq!(router.next_request(2_000_000), Some(LeaseRequest::Read));
    router.on_read(snapshot(&store).leases.values().next()).unwrap();
    assert_eq!(
        (router.next_request(2_900_000), router.send_permission(2_900_000)),
        (None, SendPermission::All)
    );
}

#[test]
fn a_registry_restored_with_an_older_lease_revokes_the_lease() {
    let (mut store, mut router) = store_with_router();
    let older = store.clone();
    for revision in [3, 5] {
        let now = snapshot(&store);
        let txn = if revision == 3 {
            now.publish(&keys(), &draft("two"), 0).unwrap().1
        } else {
            now.withdraw(&keys()).unwrap()
        };
        apply(&mut store, revision, txn);
        observe(&mut router, &store).unwrap();
        let Some(LeaseRequest::Write(txn)) = router.next_request(1_500_000) else {
            panic!("the router does not acknowledge")
        };
        apply(&mut store, revision + 1, txn);
        router.on_written(TxnOutcome::Succeeded(revision + 1));
    }
    assert_eq!(observe(&mut router, &older), Err(LeaseFault::StateRolledBack { from: 3, to: 1 }));
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))));
    router.on_written(TxnOutcome::Conflict);
    router.next_request(3_000_000);
    assert_eq!(router.on_read(snapshot(&older).leases.values().next()), Err(LeaseFault::LeaseRevoked));
    assert_eq!(router.send_permission(3_000_000), SendPermission::Safe);
}

#[test]
fn a_renewal_that_conflicts_with_a_change_does_not_delay_the_acknowledgement() {
    let (mut store, mut router) = store_with_router();
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))), "the lease is renewed");
    let txn = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    observe(&mut router, &store).unwrap();
    router.on_written(TxnOutcome::Conflict);
    assert_eq!(router.next_request(3_000_000), Some(LeaseRequest::Read));
    router.on_read(snapshot(&store).leases.values().next()).unwrap();
    assert!(
        matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))),
        "the change is acknowledged at once"
    );
}

#[test]
fn a_deleted_lease_is_reported_as_revoked_and_requested_again() {
    let (store, mut router) = store_with_router();
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))));
    router.on_written(TxnOutcome::Conflict);
    assert_eq!(router.next_request(3_000_000), Some(LeaseRequest::Read));
    assert_eq!(observe(&mut router, &store), Ok(false));
    assert_eq!(router.on_read(None), Err(LeaseFault::LeaseRevoked));
    assert_eq!(router.send_permission(3_000_000), SendPermission::Safe);
    let Some(LeaseRequest::Write(txn)) = router.next_request(3_000_000) else {
        panic!("the router requests no new lease")
    };
    assert_eq!(txn.compares[1], (keys().lease("r", "1"), 0));
    router.on_written(TxnOutcome::Succeeded(9));
    assert_eq!(router.release().unwrap().deletes, [keys().lease("r", "1")]);
    assert_eq!((router.send_permission(3_000_000), router.release()), (SendPermission::Safe, None));
}

#[test]
fn documents_with_a_wrong_number_digest_or_lease_duration_are_rejected() {
    let (store, _) = store_with_router();
    let valid = snapshot(&store).documents[&1].clone();
    for invalid in [
        Document { number: 7, ..valid.clone() },
        Document { text: "other".into(), ..valid.clone() },
        Document { lease_us: 0, ..valid },
    ] {
        let value = serde_json::to_vec(&invalid).unwrap();
        let now = Snapshot::from_entries(&keys(), [(keys().document(1).as_str(), value.as_slice(), 1)]);
        assert_eq!((now.documents.len(), now.unreadable.len()), (0, 1));
    }
}
