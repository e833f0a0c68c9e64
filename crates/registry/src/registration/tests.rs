//! Unit tests of the parent module.

use super::*;

#[test]
fn a_lease_is_renewed_after_a_third_of_its_ttl_and_replaced_when_lost() {
    let mut registration = Registration::new(RegistrationSettings { ttl_s: 9 });
    assert_eq!(registration.next_step(0), Some(LeaseStep::Grant(9)));
    registration.granted(5);
    assert_eq!(registration.next_step(0), Some(LeaseStep::Announce(5)));
    registration.step_sent(1_000_000);
    registration.announced();
    assert!(registration.is_registered(1_000_000) && registration.next_step(3_999_999).is_none());
    assert_eq!(registration.next_step(4_000_000), Some(LeaseStep::KeepAlive(5)));
    registration.step_sent(4_000_000);
    assert!(registration.keep_alive_answered(9) && registration.due_us() == Some(7_000_000));
    assert!(!registration.is_registered(13_000_000), "the lease expires without a further response");
    assert!(!registration.keep_alive_answered(0));
    assert_eq!((registration.next_step(8_000_000), registration.lease()), (Some(LeaseStep::Grant(9)), None));
}
