use super::*;
use serde_json::json;

fn plugin() -> (Manifest, Vec<u8>) {
    let bytes = json!({"name": "fare", "version": "1", "class": "quote",
        "layers": [{"digest": Digest::of(b"x"), "size": 1}]})
    .to_string()
    .into_bytes();
    (serde_json::from_slice(&bytes).unwrap(), bytes)
}

#[test]
fn a_packed_plugin_has_its_own_manifest_as_the_config_and_unpacks_again() {
    let (manifest, bytes) = plugin();
    let unpacked = unpack(&pack(&manifest, &bytes).unwrap().bytes).unwrap();
    assert_eq!(unpacked.config, LayerRef { digest: Digest::of(&bytes), size: bytes.len() as u64 });
    assert_eq!(unpacked.matches(&manifest), Ok(()));
    let fewer = ImageContent { layers: Vec::new(), ..unpacked };
    assert_eq!(fewer.matches(&manifest), Err(DocumentError::LayerMismatch));
}

#[test]
fn other_artifacts_and_unsupported_digests_are_rejected() {
    let (manifest, bytes) = plugin();
    let good = String::from_utf8(pack(&manifest, &bytes).unwrap().bytes).unwrap();
    let other = good.replace(CONFIG_TYPE, "application/vnd.oci.image.config.v1+json");
    assert!(matches!(unpack(other.as_bytes()), Err(DocumentError::OtherType(_))));
    let sha512 = good.replace(&Digest::of(b"x").to_string(), &format!("sha512:{}", "0".repeat(128)));
    assert!(matches!(
        unpack(sha512.as_bytes()),
        Err(DocumentError::Digest(DigestError::UnknownAlgorithm(_)))
    ));
    assert!(matches!(unpack(b"{}"), Err(DocumentError::Syntax(_))));
}
