//! Byte-exact examples of stored and transmitted forms: settings documents, the state and the leases of
//! routers with their keys in the registry, and the settings that a router stores on its disk. Other versions
//! of the program have written them and will read them, so a rename in the code must not change them. The
//! literals are recorded output of the program; do not generate them from code.

use slatevalve_config_versioning::*;

const FIRST_KEY: &str = "/slatevalve/agreement/documents/0000000001";
const FIRST: &str = r#"{"number":1,"parent":0,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7","text":"[class.booking]\neffect = \"keyed\"\n","who":"operator","why":"the first one, für alle","doubt":"go-on","right_us":3000000}"#;
const SECOND_KEY: &str = "/slatevalve/agreement/documents/0000000002";
const SECOND: &str = r#"{"number":2,"parent":1,"digest":"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3","text":"two","who":"operator","why":"a change","doubt":"give-up","right_us":2000000}"#;

const STATE_KEY: &str = "/slatevalve/agreement/state";
const STATE: &str = r#"{"step":1,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":null},"last":1}"#;
const PREPARED_STATE: &str = r#"{"step":2,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":{"number":2,"digest":"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3"}},"last":2}"#;

const LEASE_KEY: &str = "/slatevalve/agreement/rights/zone-a/router-1/life-1";
const LEASE: &str = r#"{"step":1,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":null},"right_us":3000000,"doubt":"go-on"}"#;
const PREPARED_LEASE: &str = r#"{"step":2,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":{"number":2,"digest":"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3"}},"right_us":2000000,"doubt":"give-up"}"#;

const REMEMBERED: &str = r#"[["/slatevalve/agreement/documents/0000000001","{\"number\":1,\"parent\":0,\"digest\":\"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7\",\"text\":\"[class.booking]\\neffect = \\\"keyed\\\"\\n\",\"who\":\"operator\",\"why\":\"the first one, für alle\",\"doubt\":\"go-on\",\"right_us\":3000000}",0],["/slatevalve/agreement/documents/0000000002","{\"number\":2,\"parent\":1,\"digest\":\"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3\",\"text\":\"two\",\"who\":\"operator\",\"why\":\"a change\",\"doubt\":\"give-up\",\"right_us\":2000000}",0],["/slatevalve/agreement/state","{\"step\":2,\"stance\":{\"committed\":{\"number\":1,\"digest\":\"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7\"},\"prepared\":{\"number\":2,\"digest\":\"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3\"}},\"last\":2}",7]]"#;

const FIRST_DIGEST: &str = "2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7";
const SECOND_DIGEST: &str = "3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3";

fn keys() -> Keys {
    Keys::new("/slatevalve/")
}

fn first() -> Document {
    Document {
        number: 1,
        parent: 0,
        digest: FIRST_DIGEST.into(),
        text: "[class.booking]\neffect = \"keyed\"\n".into(),
        who: "operator".into(),
        why: "the first one, für alle".into(),
        expiry_policy: LeaseExpiryPolicy::GoOn,
        lease_us: 3_000_000,
    }
}

fn second() -> Document {
    Document {
        number: 2,
        parent: 1,
        digest: SECOND_DIGEST.into(),
        text: "two".into(),
        who: "operator".into(),
        why: "a change".into(),
        expiry_policy: LeaseExpiryPolicy::GiveUp,
        lease_us: 2_000_000,
    }
}

fn active_settings(prepared: Option<DocumentVersion>) -> ActiveSettings {
    ActiveSettings { committed: DocumentVersion { number: 1, digest: FIRST_DIGEST.into() }, prepared }
}

fn state() -> State {
    State { step: 1, active_settings: active_settings(None), last_number: 1 }
}

fn prepared_state() -> State {
    let prepared = DocumentVersion { number: 2, digest: SECOND_DIGEST.into() };
    State { step: 2, active_settings: active_settings(Some(prepared)), last_number: 2 }
}

/// Decodes these entries, all of which must be valid.
fn snapshot(entries: &[(&str, &str)]) -> Snapshot {
    let snapshot =
        Snapshot::from_entries(&keys(), entries.iter().map(|(key, value)| (*key, value.as_bytes(), 7)));
    assert_eq!(snapshot.unreadable, []);
    snapshot
}

/// The keys and values that a transaction writes, as strings.
fn written(txn: &Txn) -> Vec<(&str, &str)> {
    txn.puts.iter().map(|(key, value)| (key.as_str(), std::str::from_utf8(value).unwrap())).collect()
}

/// The transaction by which a router writes its lease for this state.
fn lease_write(state: State, documents: &[LeaseTerms]) -> Txn {
    let (name, incarnation) = ("zone-a/router-1".into(), "life-1".into());
    let mut holder =
        LeaseHolder::new(LeaseOwner { keys: keys(), name, incarnation, previous_incarnations: vec![] });
    holder.observe_state(&Entry { value: state, revision: 7 }, documents).unwrap();
    let Some(LeaseRequest::Write(txn)) = holder.next_request(0) else {
        panic!("the router requests no lease")
    };
    txn
}

fn decoded_lease(literal: &str) -> RouterLease {
    let mut leases = snapshot(&[(LEASE_KEY, literal)]).leases;
    leases.remove(&RouterId::new("zone-a/router-1", "life-1")).unwrap().value
}

#[test]
fn keys_of_documents_state_and_leases_are_stable() {
    assert_eq!(keys().prefix(), "/slatevalve/agreement/");
    assert_eq!(keys().state(), STATE_KEY);
    assert_eq!(keys().document(2), SECOND_KEY);
    assert_eq!(keys().leases(), "/slatevalve/agreement/rights/");
    assert_eq!(keys().lease("zone-a/router-1", "life-1"), LEASE_KEY);
}

#[test]
fn stored_documents_are_decoded() {
    let documents = snapshot(&[(FIRST_KEY, FIRST), (SECOND_KEY, SECOND)]).documents;
    assert_eq!(documents, [(1, first()), (2, second())].into());
}

#[test]
fn stored_states_are_decoded() {
    let read = |literal| snapshot(&[(STATE_KEY, literal)]).state.unwrap().value;
    assert_eq!((read(STATE), read(PREPARED_STATE)), (state(), prepared_state()));
}

#[test]
fn the_first_document_and_its_state_are_encoded_exactly() {
    let txn = Snapshot::default().publish(&keys(), &first(), 0).unwrap().1;
    assert_eq!(written(&txn), [(FIRST_KEY, FIRST), (STATE_KEY, STATE)]);
}

#[test]
fn a_second_document_and_its_prepared_state_are_encoded_exactly() {
    let now = snapshot(&[(FIRST_KEY, FIRST), (STATE_KEY, STATE)]);
    let txn = now.publish(&keys(), &second(), 0).unwrap().1;
    assert_eq!(written(&txn), [(SECOND_KEY, SECOND), (STATE_KEY, PREPARED_STATE)]);
}

#[test]
fn a_lease_with_the_go_on_policy_is_stable() {
    assert_eq!(
        written(&lease_write(
            state(),
            &[LeaseTerms { lease_us: 3_000_000, expiry_policy: LeaseExpiryPolicy::GoOn }]
        )),
        [(LEASE_KEY, LEASE)]
    );
    let lease = RouterLease {
        step: 1,
        active_settings: active_settings(None),
        lease_us: 3_000_000,
        expiry_policy: LeaseExpiryPolicy::GoOn,
    };
    assert_eq!(decoded_lease(LEASE), lease);
}

#[test]
fn a_lease_on_a_prepared_change_with_the_give_up_policy_is_stable() {
    let documents = [
        LeaseTerms { lease_us: 3_000_000, expiry_policy: LeaseExpiryPolicy::GoOn },
        LeaseTerms { lease_us: 2_000_000, expiry_policy: LeaseExpiryPolicy::GiveUp },
    ];
    assert_eq!(written(&lease_write(prepared_state(), &documents)), [(LEASE_KEY, PREPARED_LEASE)]);
    let active_settings = prepared_state().active_settings;
    let lease = RouterLease {
        step: 2,
        active_settings,
        lease_us: 2_000_000,
        expiry_policy: LeaseExpiryPolicy::GiveUp,
    };
    assert_eq!(decoded_lease(PREPARED_LEASE), lease);
}

#[test]
fn remembered_settings_are_stable() {
    let now = Entry { value: prepared_state(), revision: 7 };
    let kept = Snapshot::encode(&keys(), &now, [&first(), &second()]);
    assert_eq!(String::from_utf8(kept).unwrap(), REMEMBERED);
    let read = Snapshot::decode(&keys(), REMEMBERED.as_bytes()).unwrap();
    let documents = [(1, first()), (2, second())].into();
    assert_eq!(read, Snapshot { state: Some(now), documents, ..Snapshot::default() });
}
