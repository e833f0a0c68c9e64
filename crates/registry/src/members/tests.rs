//! Unit tests of the parent module.

use super::*;

fn put(key: &str, value: &str) -> Change {
    Change::Put { key: key.into(), value: value.into(), created: true }
}

#[test]
fn removals_and_drains_precede_all_other_changes_of_a_batch() {
    let mut members = Members::new("/s/");
    let ready = r#"{"address":"127.0.0.1:1"}"#;
    let draining = r#"{"address":"127.0.0.1:1","state":"draining"}"#;
    members.apply(vec![put("/s/workers/a", ready), put("/s/workers/b", ready), put("/s/workers/c", ready)]);
    let AppliedChanges { changes, errors } = members.apply(vec![
        put("/s/workers/d", ready),
        put("/s/routers/r", "{}"),
        put("/s/workers/c", draining),
        Change::Deleted { key: b"/s/workers/a".to_vec() },
    ]);
    let names: Vec<String> = changes
        .iter()
        .map(|change| match change {
            MemberChange::WorkerRemoved(name) => format!("-{name}"),
            MemberChange::Worker(name, r) => format!("{name}:{:?}", r.state),
            MemberChange::Routers(n) => n.to_string(),
        })
        .collect();
    assert_eq!((names.join(" ").as_str(), errors.len()), ("-a c:Draining d:Ready 1", 0));
}

#[test]
fn a_worker_removed_and_added_again_in_one_batch_is_reported_as_removed_and_added() {
    let mut members = Members::new("/s/");
    let started_at = |ms: u32, state: &str| {
        put(
            "/s/workers/a",
            &format!(r#"{{"address":"127.0.0.1:1","state":"{state}","up-since-unix-ms":{ms}}}"#),
        )
    };
    members.apply(vec![started_at(1, "ready")]);
    let deleted = Change::Deleted { key: b"/s/workers/a".to_vec() };
    let batch = vec![started_at(1, "draining"), deleted, started_at(2, "ready")];
    let AppliedChanges { changes, .. } = members.apply(batch);
    assert_eq!(changes[0], MemberChange::WorkerRemoved("a".into()));
    assert!(matches!(&changes[1], MemberChange::Worker(n, r) if n == "a" && r.up_since_unix_ms == Some(2.0)));
}

#[test]
fn an_invalid_record_is_reported_and_changes_nothing() {
    let mut members = Members::new("/s/");
    let valid = r#"{"address":"127.0.0.1:1","zone":"z","cell":3}"#;
    members.apply(vec![put("/s/workers/a", valid)]);
    let AppliedChanges { changes, errors } = members.apply(vec![
        put("/s/workers/a", "{"),
        put("/s/workers/b", r#"{"address":"127.0.0.1:1","weight":-1}"#),
        put("/s/workers/ü", valid),
        put("/s/else", "x"),
        put("/s/workers/c", valid),
    ]);
    assert_eq!((changes.len(), errors.len(), members.workers()["a"].cell), (1, 2, 3));
    assert!(errors[0].to_string().starts_with("/s/workers/a: "));
}
