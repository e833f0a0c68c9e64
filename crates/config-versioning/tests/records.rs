//! Documents, state and rights as entries of a registry: what is published, what is refused, what went back.

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

fn holder(life: &str) -> LeaseHolder {
    LeaseHolder::new(LeaseOwner {
        keys: keys(),
        name: "r".into(),
        incarnation: life.into(),
        previous_incarnations: vec![],
    })
}

fn heard(holder: &mut LeaseHolder, store: &Store) -> Result<bool, LeaseFault> {
    let now = snapshot(store);
    let state = now.state.unwrap();
    let of = |e: &DocumentVersion| now.documents.get(&e.number).map(|d| d.lease_terms()).unwrap();
    holder.observe_state(&state, &state.value.active_settings.versions().map(of).collect::<Vec<_>>())
}

/// A store in which one document counts and one router has said so.
fn begun() -> (Store, LeaseHolder) {
    let (mut store, mut router) = (Store::new(), holder("1"));
    apply(&mut store, 1, Snapshot::default().publish(&keys(), &draft("one"), 0).unwrap().1);
    assert_eq!(router.send_permission(0), SendPermission::Nothing);
    heard(&mut router, &store).unwrap();
    assert_eq!((router.send_permission(0), router.next_request(0).is_some()), (SendPermission::Safe, true));
    router.on_written(TxnOutcome::Unknown);
    router.next_request(0);
    router.on_read(None).unwrap();
    assert_eq!(router.next_request(0), None, "what was in vain is not tried again at once");
    let Some(LeaseRequest::Write(txn)) = router.next_request(1_000_000) else { panic!("it wants its right") };
    apply(&mut store, 2, txn);
    router.on_written(TxnOutcome::Succeeded(2));
    assert_eq!(router.send_permission(1_000_000), SendPermission::All);
    (store, router)
}

#[test]
fn publishing_gives_numbers_that_rise_and_one_change_at_a_time() {
    let (mut store, _) = begun();
    let (second, txn) = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap();
    assert_eq!((second.number, second.parent), (2, 1));
    let late = snapshot(&store).publish(&keys(), &draft("three"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    assert!(late.compares.iter().any(|(k, r)| store.get(k).is_some_and(|e| e.1 != *r)), "one of two wins");
    let now = snapshot(&store);
    assert_eq!(now.publish(&keys(), &draft("three"), 0).unwrap_err(), PublishError::ChangeInProgress(2));
    apply(&mut store, 4, now.withdraw(&keys()).unwrap());
    let now = snapshot(&store);
    assert_eq!(now.withdraw(&keys()), None);
    assert_eq!(now.publish(&keys(), &draft("one"), 0).unwrap_err(), PublishError::Unchanged(1));
    assert_eq!(now.publish(&keys(), &draft("two"), 0).unwrap().0.number, 3, "a number is not given twice");
    assert_eq!(now.publish(&keys(), &draft("two"), 40).unwrap().0.number, 41);
    let long = draft(&"x".repeat(600 * 1024));
    assert_eq!(now.publish(&keys(), &long, 0).unwrap_err(), PublishError::TooLong(600 * 1024));
}

#[test]
fn a_router_that_says_nothing_is_waited_for_by_name_until_it_is_declared_gone() {
    let (mut store, _) = begun();
    let txn = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    let mut coordinator = RolloutCoordinator::new(keys(), 20_000);
    let rules = |e: &DocumentVersion| {
        let class = Class::new(RetryRule::keyed(None, e.number as i64), 1, 1);
        Some(Terms { classes: [("charge".to_string(), class)].into(), ..Terms::default() })
    };
    let awaited =
        |reason| RolloutStep::Wait(vec![PendingAck { name: "r".into(), incarnation: "1".into(), reason }]);
    assert_eq!(coordinator.advance(0, &snapshot(&store), rules), awaited(WaitReason::Acknowledgement));
    assert_eq!(
        coordinator.advance(i64::MAX / 2, &snapshot(&store), rules),
        awaited(WaitReason::Acknowledgement)
    );
    // Where the new document contradicts nothing that it acts by, nobody waits for it.
    let same = |_: &DocumentVersion| Some(Terms::default());
    assert!(matches!(coordinator.advance(0, &snapshot(&store), same), RolloutStep::Commit(_)));
    // Terms that cannot be read are taken to contradict; and a right that cannot be read is a no.
    assert_eq!(coordinator.advance(0, &snapshot(&store), |_| None), awaited(WaitReason::Acknowledgement));
    store.insert(keys().lease("r", "1"), (b"{\"step\": 2, \"what\": 1}".to_vec(), 4));
    assert_eq!(coordinator.advance(0, &snapshot(&store), same), awaited(WaitReason::UnreadableLease));
    assert!(snapshot(&store).unreadable[0]
        .to_string()
        .starts_with("/slatevalve/agreement/rights/r/1: unknown field"));
    assert_eq!(snapshot(&store).revoke_leases(&keys(), "r", Some("2")), None);
    let txn = snapshot(&store).revoke_leases(&keys(), "r", None).unwrap();
    apply(&mut store, 5, txn);
    let RolloutStep::Commit(txn) = coordinator.advance(0, &snapshot(&store), rules) else {
        panic!("nobody is left")
    };
    apply(&mut store, 6, txn);
    assert_eq!(snapshot(&store).state.unwrap().value.active_settings.committed.number, 2);
    assert_eq!(coordinator.advance(0, &snapshot(&store), rules), RolloutStep::Idle);
}

#[test]
fn a_registry_that_went_back_changes_nothing_and_is_named() {
    let (mut store, mut router) = begun();
    let older = store.clone();
    let txn = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    assert_eq!(heard(&mut router, &store), Ok(true));
    assert_eq!(heard(&mut router, &store), Ok(false));
    let active_settings = router.active_settings().cloned();
    assert_eq!(heard(&mut router, &older), Err(LeaseFault::StateRolledBack { from: 2, to: 1 }));
    assert_eq!(
        (router.active_settings().cloned(), router.send_permission(1_000_000)),
        (active_settings, SendPermission::All)
    );
    // The same step with another content is no less a going back.
    let mut other = older.clone();
    let txn = snapshot(&other).publish(&keys(), &draft("another two"), 0).unwrap().1;
    apply(&mut other, 3, txn);
    assert_eq!(heard(&mut router, &other), Err(LeaseFault::StateRolledBack { from: 2, to: 2 }));
    // Its own entry is of the older state there; it does not say yes, and does not ask on and on.
    let Some(LeaseRequest::Write(txn)) = router.next_request(2_000_000) else { panic!("it tries") };
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
fn a_registry_that_was_put_back_to_an_older_right_does_not_know_by_what_its_router_acts() {
    let (mut store, mut router) = begun();
    let older = store.clone();
    for revision in [3, 5] {
        let now = snapshot(&store);
        let txn = if revision == 3 {
            now.publish(&keys(), &draft("two"), 0).unwrap().1
        } else {
            now.withdraw(&keys()).unwrap()
        };
        apply(&mut store, revision, txn);
        heard(&mut router, &store).unwrap();
        let Some(LeaseRequest::Write(txn)) = router.next_request(1_500_000) else { panic!("it says yes") };
        apply(&mut store, revision + 1, txn);
        router.on_written(TxnOutcome::Succeeded(revision + 1));
    }
    assert_eq!(heard(&mut router, &older), Err(LeaseFault::StateRolledBack { from: 3, to: 1 }));
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))));
    router.on_written(TxnOutcome::Conflict);
    router.next_request(3_000_000);
    assert_eq!(router.on_read(snapshot(&older).leases.values().next()), Err(LeaseFault::LeaseRevoked));
    assert_eq!(router.send_permission(3_000_000), SendPermission::Safe);
}

#[test]
fn a_renewal_that_a_change_overtook_holds_up_no_word_on_the_change() {
    let (mut store, mut router) = begun();
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))), "a renewal is under way");
    let txn = snapshot(&store).publish(&keys(), &draft("two"), 0).unwrap().1;
    apply(&mut store, 3, txn);
    heard(&mut router, &store).unwrap();
    router.on_written(TxnOutcome::Conflict);
    assert_eq!(router.next_request(3_000_000), Some(LeaseRequest::Read));
    router.on_read(snapshot(&store).leases.values().next()).unwrap();
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))), "it says yes at once");
}

#[test]
fn a_right_that_was_taken_out_is_gone_and_is_asked_for_anew() {
    let (store, mut router) = begun();
    assert!(matches!(router.next_request(3_000_000), Some(LeaseRequest::Write(_))));
    router.on_written(TxnOutcome::Conflict);
    assert_eq!(router.next_request(3_000_000), Some(LeaseRequest::Read));
    assert_eq!(heard(&mut router, &store), Ok(false));
    assert_eq!(router.on_read(None), Err(LeaseFault::LeaseRevoked));
    assert_eq!(router.send_permission(3_000_000), SendPermission::Safe);
    let Some(LeaseRequest::Write(txn)) = router.next_request(3_000_000) else { panic!("it asks anew") };
    assert_eq!(txn.compares[1], (keys().lease("r", "1"), 0));
    router.on_written(TxnOutcome::Succeeded(9));
    assert_eq!(router.release().unwrap().deletes, [keys().lease("r", "1")]);
    assert_eq!((router.send_permission(3_000_000), router.release()), (SendPermission::Safe, None));
}

#[test]
fn a_document_whose_number_digest_or_right_is_wrong_is_not_taken() {
    let (store, _) = begun();
    let good = snapshot(&store).documents[&1].clone();
    for wrong in [
        Document { number: 7, ..good.clone() },
        Document { text: "other".into(), ..good.clone() },
        Document { lease_us: 0, ..good },
    ] {
        let value = serde_json::to_vec(&wrong).unwrap();
        let now = Snapshot::from_entries(&keys(), [(keys().document(1).as_str(), value.as_slice(), 1)]);
        assert_eq!((now.documents.len(), now.unreadable.len()), (0, 1));
    }
}
