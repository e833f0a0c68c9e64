use super::*;
use serde_json::json;

fn rights() -> ClassRights {
    ClassRights {
        effects: [("quote", "safe"), ("charge", "unsafe")].map(|(c, e)| (c.into(), e.into())).into(),
        tenants: [("north".to_string(), BTreeSet::from(["quote".to_string()]))].into(),
    }
}

fn valid_manifest() -> Value {
    json!({"name": "fare", "version": "1.0", "class": "quote", "effect": "safe", "lanes": 2, "load-ms": 300,
        "engine": "0.1", "layers": [{"digest": Digest::of(b"x").to_string(), "size": 1}]})
}

fn fields(manifest: &Value) -> Vec<String> {
    match check_manifest("fare.json", manifest.to_string().as_bytes(), Some(&rights())) {
        Ok(_) => Vec::new(),
        Err(found) => found.into_iter().map(|p| p.field).collect(),
    }
}

#[test]
fn a_valid_manifest_is_accepted_with_the_digest_of_its_bytes() {
    let bytes = valid_manifest().to_string().into_bytes();
    let (manifest, digest) = check_manifest("fare.json", &bytes, Some(&rights())).unwrap();
    assert_eq!((manifest.concurrency, digest), (2, Digest::of(&bytes)));
}

#[test]
fn each_violation_names_file_and_field() {
    let with = |field: &str, value: Value| {
        let mut manifest = valid_manifest();
        manifest[field] = value;
        fields(&manifest)
    };
    assert_eq!(fields(&valid_manifest()), [""; 0]);
    assert_eq!(with("lanes", json!(0)), ["/lanes"]);
    assert_eq!(with("name", json!("../x")), ["/name"]);
    assert_eq!(with("engine", json!("0.2")), ["/engine"]);
    assert_eq!(with("layers", json!([{"digest": "sha256:12", "size": -1}])), ["/layers/0/size"]);
    assert_eq!(with("layers", json!([{"digest": "sha512:12", "size": 1}])), ["/layers"]);
    let error = check_manifest("fare.json", b"{", Some(&rights())).unwrap_err();
    assert!(error[0].to_string().starts_with("fare.json: /: not JSON"));
}

#[test]
fn a_class_not_allowed_for_the_tenant_and_an_effect_other_than_the_class_has_are_refused() {
    let mut manifest = valid_manifest();
    (manifest["class"], manifest["tenant"]) = (json!("charge"), json!("north"));
    assert_eq!(fields(&manifest), ["/effect", "/class"]);
    manifest["class"] = json!("refund");
    assert!(fields(&manifest).contains(&"/class".to_string()));
}
