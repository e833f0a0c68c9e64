//! Unit tests of the parent module.

use super::*;

#[test]
fn an_entry_counts_once_expires_with_its_lease_and_is_unknown_to_another_relay() {
    let (mut entries, mut other_relay) = (Entries::new("a", 1, 3), Entries::new("b", 1, 3));
    let GrantedLease { id: first, ttl_s: ttl } = entries.grant(0, 10).unwrap();
    assert!(entries.put(first, b"r-1") && entries.put(first, b"r-1") && ttl == 10);
    // The same router registers again under a new lease before the old one expired.
    let GrantedLease { id: second, .. } = entries.grant(5_000_000, 10).unwrap();
    assert!(entries.put(second, b"r-1"));
    assert_eq!(entries.count(), 1);
    entries.expire(10_000_000);
    assert_eq!(
        (entries.count(), entries.keep_alive(11_000_000, first), entries.keep_alive(11_000_000, second)),
        (1, 0, 10)
    );
    assert_eq!(
        (other_relay.keep_alive(0, second), other_relay.put(second, b"r-1"), other_relay.revoke(second)),
        (0, false, false)
    );
    assert!(entries.revoke(second) && entries.count() == 0);
    assert!((0..3).all(|_| entries.grant(0, i64::MAX).is_some()));
    assert_eq!(entries.grant(0, 1), None, "a lease was granted beyond the capacity");
}

/// Guards against a router whose keep-alive renews, or whose revocation ends, the lease that a restarted relay
/// has granted to another router.
#[test]
fn a_lease_of_an_earlier_process_is_unknown_to_a_restarted_relay() {
    let (mut before, mut restarted) = (Entries::new("a", 1, 3), Entries::new("a", 2, 3));
    let earlier = before.grant(0, 10).unwrap().id;
    let other_router = restarted.grant(0, 10).unwrap().id;
    assert!(restarted.put(other_router, b"r-2"));
    assert_eq!(
        (restarted.keep_alive(0, earlier), restarted.put(earlier, b"r-1"), restarted.revoke(earlier)),
        (0, false, false)
    );
    assert_eq!(restarted.count(), 1, "the other router's entry is kept");
}
