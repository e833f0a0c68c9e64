//! A rollout between documents with different clock errors must wait for leases by the larger one.

use super::*;
use slatevalve_config_versioning::{
    LeaseExpiryPolicy, LeaseHolder, LeaseOwner, LeaseRequest, LeaseTerms, WaitReason,
};

const LEASE_US: i64 = 3_600_000_000;

/// Publishes a document with this clock error and a lease of [`LEASE_US`].
fn publish(keys: &Keys, entries: &mut Vec<KeyValue>, clock_error_ppm: i64) {
    let text = format!(
        "(class \"charge\" (effect keyed (group all) (window-ms {clock_error_ppm})) (aim-ms 1) (deadline-ms 1))
         (route \"charge/+\" (class \"charge\") (function \"{{2}}\"))
         (agreement (in-doubt give-up) (clock-error-ppm {clock_error_ppm}))"
    );
    let (digest, who, why, expiry_policy) =
        (String::new(), "op".into(), "why".into(), LeaseExpiryPolicy::GiveUp);
    let draft = Document { number: 0, parent: 0, digest, text, who, why, expiry_policy, lease_us: LEASE_US };
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
fn a_rollout_waits_for_a_lease_by_the_larger_clock_error_of_both_documents() {
    for (old, new) in [(400_000, 1), (1, 400_000)] {
        let (keys, clock, mut entries) = (Keys::new("/t/"), Clock::start(), Vec::new());
        publish(&keys, &mut entries, old);
        let settings = LeaseOwner {
            keys: keys.clone(),
            name: "r".into(),
            incarnation: "1".into(),
            previous_incarnations: vec![],
        };
        let mut idle_router = LeaseHolder::new(settings);
        idle_router
            .observe_state(
                &snapshot(&keys, &entries).state.unwrap(),
                &[LeaseTerms { lease_us: LEASE_US, expiry_policy: LeaseExpiryPolicy::GiveUp }],
            )
            .unwrap();
        let Some(LeaseRequest::Write(txn)) = idle_router.next_request(0) else {
            panic!("the router requests no lease")
        };
        put(&mut entries, &txn);
        publish(&keys, &mut entries, new);
        let from = clock.now().0;
        let RolloutStep::Wait(awaited) =
            DocumentRollout::new(keys.clone()).advance(&clock, &snapshot(&keys, &entries))
        else {
            panic!("the rollout does not wait for the lease")
        };
        let WaitReason::LeaseExpiry(until) = awaited[0].reason else { panic!("{awaited:?}") };
        // A clock error of 40 % stretches the lease to (1 + 0.4) / (1 - 0.4) of its duration.
        assert!(until - from >= LEASE_US / 6 * 14, "{old} then {new}: {}", until - from);
    }
}
