//! Unit tests of the parent module.

use super::*;

#[test]
fn an_entry_counts_once_ends_with_its_lease_and_is_unknown_at_another_relay() {
    let (mut here, mut there) = (Entries::new("a", 3), Entries::new("b", 3));
    let GrantedLease { id: one, ttl_s: ttl } = here.grant(0, 10).unwrap();
    assert!(here.put(one, b"r-1") && here.put(one, b"r-1") && ttl == 10);
    // The same router comes again with a new lease before the old one ended.
    let GrantedLease { id: two, .. } = here.grant(5_000_000, 10).unwrap();
    assert!(here.put(two, b"r-1"));
    assert_eq!(here.count(), 1);
    here.expire(10_000_000);
    assert_eq!(
        (here.count(), here.keep_alive(11_000_000, one), here.keep_alive(11_000_000, two)),
        (1, 0, 10)
    );
    assert_eq!((there.keep_alive(0, two), there.put(two, b"r-1"), there.revoke(two)), (0, false, false));
    assert!(here.revoke(two) && here.count() == 0);
    assert!((0..3).all(|_| here.grant(0, i64::MAX).is_some()));
    assert_eq!(here.grant(0, 1), None, "it is bounded");
}
