use super::*;

#[test]
fn only_a_signature_by_a_listed_key_for_this_digest_is_valid() {
    let (anna, other) = (SigningSecret::from_random([7; 32]), SigningSecret::from_random([8; 32]));
    let digest = Digest::of(b"rules");
    let mut keys = KeyList::default();
    keys.add("anna", &anna.public()).unwrap();
    let good = anna.sign("anna", &digest);
    let forged = other.sign("anna", &digest);
    let unlisted = other.sign("other", &digest);
    assert_eq!(keys.find_signer(&digest, &[forged.clone(), unlisted, good.clone()]), Some("anna"));
    assert_eq!(keys.find_signer(&digest, &[forged]), None);
    assert_eq!(keys.find_signer(&Digest::of(b"other rules"), std::slice::from_ref(&good)), None);
    assert_eq!(KeyList::default().find_signer(&digest, &[good]), None);
}

#[test]
fn malformed_and_weak_keys_and_malformed_signatures_are_rejected() {
    let secret = SigningSecret::from_random([7; 32]);
    assert_eq!(SigningSecret::parse(&secret.base64()).unwrap().public(), secret.public());
    let weak = STANDARD.encode([0u8; 32]);
    for bad in ["", "AAAA", "not base64!", &weak] {
        assert_eq!(KeyList::default().add("x", bad), Err(KeyError), "{bad}");
    }
    assert_eq!(Signature::read("a", "AAAA"), None);
}
