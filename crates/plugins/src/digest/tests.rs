use super::*;

#[test]
fn digests_round_trip_and_other_texts_are_rejected() {
    let digest = Digest::of(b"rules");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!("sha512:00".parse::<Digest>(), Err(DigestError::UnknownAlgorithm("sha512".into())));
    for bad in ["", "sha256", "sha256:00", &digest.to_string().to_uppercase().replace("SHA", "sha")] {
        assert_eq!(bad.parse::<Digest>(), Err(DigestError::Malformed), "{bad}");
    }
}

#[test]
fn only_complete_and_unmodified_content_is_accepted() {
    let check = |content: &[u8]| {
        let mut verifier = Verifier::new(Digest::of(b"rules"), 5);
        content.chunks(2).try_for_each(|piece| verifier.update(piece))?;
        verifier.finish()
    };
    assert_eq!(check(b"rules"), Ok(()));
    assert_eq!(check(b"rulez"), Err(VerifyError::Mismatch));
    assert_eq!(check(b"rule"), Err(VerifyError::TooShort));
    assert_eq!(check(b"rules and more"), Err(VerifyError::TooLong));
}
