//! Unit tests of the parent module.

use super::*;

/// Guards against a router that renews another one's lease, or uses another login's token, after the registry
/// was replaced by an empty one.
#[test]
fn leases_and_tokens_of_an_earlier_store_are_unknown_to_a_later_one() {
    let login = ("user".to_string(), "password".to_string());
    let request = AuthRequest { name: login.0.clone(), password: login.1.clone() };
    let mut earlier = KvStore::new(7, Some(login.clone()), 1_000_000);
    let mut later = KvStore::new(7, Some(login), 2_000_000);
    let (lease, token) = (earlier.grant(1_000_000, 10).id, earlier.authenticate(&request).unwrap().token);
    let other_lease = later.grant(2_000_000, 10).id;
    let other_token = later.authenticate(&request).unwrap().token;
    assert_eq!((later.renew_lease(2_000_000, lease).ttl, later.admits(Some(&token))), (0, false));
    assert_eq!((later.renew_lease(2_000_000, other_lease).ttl, later.admits(Some(&other_token))), (10, true));
}
