//! The serialized forms of plug-ins on disk and in registries, as fixed literals.
//!
//! A gateway must read folders written by an earlier version, and manifests and signatures come from third
//! parties. Each literal was written by the program and must not change when identifiers in the code do. A
//! failing test means that stored data could no longer be read, or would be written in another form: fix the
//! code, not the literal.

use slatevalve_plugins::*;

const KEY: [u8; 32] = [7; 32];

fn digest(hex: &str) -> Digest {
    format!("sha256:{}", hex.repeat(32)).parse().unwrap()
}

fn manifest() -> Manifest {
    Manifest {
        name: "fare".into(),
        version: "1.0".into(),
        tenant: Some("north".into()),
        class: "quote".into(),
        effect: Some("safe".into()),
        concurrency: 2,
        memory_mb: 128.0,
        load_ms: 300.5,
        engine: Some("0.1".into()),
        layers: vec![LayerRef { digest: digest("ab"), size: 9 }],
    }
}

fn minimal(version: &str) -> Manifest {
    let (tenant, effect, engine) = (None, None, None);
    let (concurrency, memory_mb, load_ms) = (1, 0.0, 0.0);
    Manifest {
        version: version.into(),
        tenant,
        effect,
        engine,
        concurrency,
        memory_mb,
        load_ms,
        ..manifest()
    }
}

fn catalogue() -> Catalogue {
    let mut c = Catalogue::default();
    c.publish(manifest(), digest("01")).unwrap();
    for (version, hex) in [("2.0", "02"), ("3.0", "03"), ("4.0", "04")] {
        c.publish(minimal(version), digest(hex)).unwrap();
    }
    let signature = SigningSecret::from_random(KEY).sign("release", &digest("01"));
    c.sign("fare", "1.0", &[signature]).unwrap();
    for version in ["1.0", "2.0", "4.0"] {
        c.complete("fare", version).unwrap();
    }
    c.move_alias("fare", CURRENT, "1.0", None, "anna", 5).unwrap();
    c.move_alias("fare", CURRENT, "2.0", Some(1), "bert", -6).unwrap();
    c.delete("fare", "4.0").unwrap();
    c.quarantine(digest("01"), "layer 1 does not match", 70);
    c.quarantine_by_operator(digest("04"), "recalled", 71);
    c
}

/// The catalogue as the gateway writes it to its file.
fn to_stored(catalogue: &Catalogue) -> String {
    serde_json::to_string_pretty(catalogue).unwrap()
}

const STORED: &str = r#"{
  "functions": {
    "fare": {
      "versions": {
        "1.0": {
          "digest": "sha256:0101010101010101010101010101010101010101010101010101010101010101",
          "manifest": {
            "name": "fare",
            "version": "1.0",
            "tenant": "north",
            "class": "quote",
            "effect": "safe",
            "lanes": 2,
            "memory-mb": 128.0,
            "load-ms": 300.5,
            "engine": "0.1",
            "layers": [
              {
                "digest": "sha256:abababababababababababababababababababababababababababababababab",
                "size": 9
              }
            ]
          },
          "state": "whole",
          "signatures": [
            {
              "key": "release",
              "value": "F4CJo4DVh0kyUwYGCFAIaeMNAarUrCG8P8waPnuxWL8Ey+Z0lvEdsGqc6NpAOvkQTqjJk/11h7NMrtJQyxw0AA=="
            }
          ]
        },
        "2.0": {
          "digest": "sha256:0202020202020202020202020202020202020202020202020202020202020202",
          "manifest": {
            "name": "fare",
            "version": "2.0",
            "class": "quote",
            "lanes": 1,
            "memory-mb": 0.0,
            "load-ms": 0.0,
            "layers": [
              {
                "digest": "sha256:abababababababababababababababababababababababababababababababab",
                "size": 9
              }
            ]
          },
          "state": "whole"
        },
        "3.0": {
          "digest": "sha256:0303030303030303030303030303030303030303030303030303030303030303",
          "manifest": {
            "name": "fare",
            "version": "3.0",
            "class": "quote",
            "lanes": 1,
            "memory-mb": 0.0,
            "load-ms": 0.0,
            "layers": [
              {
                "digest": "sha256:abababababababababababababababababababababababababababababababab",
                "size": 9
              }
            ]
          },
          "state": "partial"
        },
        "4.0": {
          "digest": "sha256:0404040404040404040404040404040404040404040404040404040404040404",
          "manifest": {
            "name": "fare",
            "version": "4.0",
            "class": "quote",
            "lanes": 1,
            "memory-mb": 0.0,
            "load-ms": 0.0,
            "layers": [
              {
                "digest": "sha256:abababababababababababababababababababababababababababababababab",
                "size": 9
              }
            ]
          },
          "state": "deleted"
        }
      },
      "aliases": {
        "current": {
          "version": "2.0",
          "revision": 2,
          "history": [
            {
              "revision": 1,
              "at_ms": 5,
              "who": "anna",
              "from": null,
              "to": "1.0"
            },
            {
              "revision": 2,
              "at_ms": -6,
              "who": "bert",
              "from": "1.0",
              "to": "2.0"
            }
          ]
        },
        "previous": {
          "version": "1.0",
          "revision": 1,
          "history": [
            {
              "revision": 1,
              "at_ms": -6,
              "who": "bert",
              "from": null,
              "to": "1.0"
            }
          ]
        }
      }
    }
  },
  "quarantined": {
    "sha256:0101010101010101010101010101010101010101010101010101010101010101": {
      "reason": "layer 1 does not match",
      "at_ms": 70,
      "held": false
    },
    "sha256:0404040404040404040404040404040404040404040404040404040404040404": {
      "reason": "recalled",
      "at_ms": 71,
      "held": true
    }
  }
}"#;

#[test]
fn the_stored_catalogue_keeps_its_bytes() {
    assert_eq!(to_stored(&catalogue()), STORED);
    let read: Catalogue = serde_json::from_slice(STORED.as_bytes()).unwrap();
    assert_eq!(to_stored(&read), STORED, "the catalogue changed when it was read and written again");
}

#[test]
fn the_stored_catalogue_is_read_with_all_its_values() {
    let read: Catalogue = serde_json::from_slice(STORED.as_bytes()).unwrap();
    let (made, reference) = (catalogue(), "fare@2.0".parse().unwrap());
    assert_eq!(read.names().collect::<Vec<_>>(), ["fare"]);
    assert_eq!(read.versions("fare"), made.versions("fare"));
    assert_eq!(read.aliases("fare"), made.aliases("fare"));
    assert_eq!(read.layers("fare", "1.0"), Ok(vec![LayerRef { digest: digest("ab"), size: 9 }]));
    assert_eq!(read.signatures("fare", "1.0"), made.signatures("fare", "1.0"));
    let states: Vec<VersionState> = read.versions("fare").unwrap().iter().map(|v| v.state).collect();
    use VersionState::{Deleted, Partial, Whole};
    assert_eq!(states, [Whole, Whole, Partial, Deleted]);
    let moved = |revision, at_ms, who: &str, from: Option<&str>, to: &str| AliasMove {
        revision,
        at_ms,
        who: who.into(),
        from: from.map(Into::into),
        to: to.into(),
    };
    let moves = [moved(1, 5, "anna", None, "1.0"), moved(2, -6, "bert", Some("1.0"), "2.0")];
    assert_eq!(read.history("fare", CURRENT).unwrap(), moves);
    assert_eq!(*read.resolve(&reference).unwrap().manifest, minimal("2.0"));
    let reason = |text: &str, at_ms, by_operator| Quarantine { reason: text.into(), at_ms, by_operator };
    assert_eq!(read.quarantined(&digest("01")), Some(&reason("layer 1 does not match", 70, false)));
    assert_eq!(read.quarantined(&digest("04")), Some(&reason("recalled", 71, true)));
}

#[test]
fn a_catalogue_without_signatures_and_held_fields_is_read() {
    let old = br#"{"functions":{"fare":{"versions":{"1":{"digest":"sha256:0101010101010101010101010101010101010101010101010101010101010101","manifest":{"name":"fare","version":"1","class":"quote","layers":[]},"state":"whole"}},"aliases":{}}},"quarantined":{"sha256:0202020202020202020202020202020202020202020202020202020202020202":{"reason":"r","at_ms":1}}}"#;
    let read: Catalogue = serde_json::from_slice(old).unwrap();
    assert_eq!(read.signatures("fare", "1"), Ok(&[][..]));
    assert_eq!(read.quarantined(&digest("02")).map(|q| q.by_operator), Some(false));
}

#[test]
fn a_manifest_with_all_its_fields_keeps_its_bytes() {
    let literal = r#"{"name":"fare","version":"1.0","tenant":"north","class":"quote","effect":"safe","lanes":2,"memory-mb":128.0,"load-ms":300.5,"engine":"0.1","layers":[{"digest":"sha256:abababababababababababababababababababababababababababababababab","size":9}]}"#;
    assert_eq!(serde_json::to_string(&manifest()).unwrap(), literal);
    let (read, found) = check_manifest("fare.json", literal.as_bytes(), None).unwrap();
    assert_eq!(read, manifest());
    assert_eq!(found.to_string(), "sha256:6652c26a048d64547c4ea86d819978fe67b3d9e835778c4ad0dc577f7b6e6b4c");
}

#[test]
fn a_manifest_with_only_required_fields_is_read_with_the_defaults() {
    let literal = br#"{"name":"fare","version":"2.0","class":"quote","layers":[{"digest":"sha256:abababababababababababababababababababababababababababababababab","size":9}]}"#;
    assert_eq!(check_manifest("fare.json", literal, None).unwrap().0, minimal("2.0"));
}

#[test]
fn a_signature_and_the_message_it_signs_keep_their_bytes() {
    let literal = r#"{"key":"release","value":"F4CJo4DVh0kyUwYGCFAIaeMNAarUrCG8P8waPnuxWL8Ey+Z0lvEdsGqc6NpAOvkQTqjJk/11h7NMrtJQyxw0AA=="}"#;
    let secret = SigningSecret::from_random(KEY);
    let signature = secret.sign("release", &digest("01"));
    assert_eq!(serde_json::to_string(&signature).unwrap(), literal);
    let read: Signature = serde_json::from_str(literal).unwrap();
    assert_eq!(read, signature);
    let mut keys = KeyList::default();
    keys.add("release", "6kpsY+KcUgq+9VB7Ey7F+ZVHdq6+vnuSQh7qaRRG0iw=").unwrap();
    assert_eq!(keys.find_signer(&digest("01"), &[read]), Some("release"));
}
