//! Examples of the forms that are stored or sent, byte for byte: settings documents, the state and the rights of routers with
//! their keys in the registry, and the settings that a router remembers on its disk. Other versions wrote them and will read
//! them, so a change of names in the code must not change them. The literals are what the program wrote; they are not to be
//! made from code.

use slatevalve_config_versioning::*;

const FIRST_KEY: &str = "/slatevalve/agreement/documents/0000000001";
const FIRST: &str = r#"{"number":1,"parent":0,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7","text":"[class.booking]\neffect = \"keyed\"\n","who":"operator","why":"the first one, für alle","doubt":"go-on","right_us":3000000}"#;
const SECOND_KEY: &str = "/slatevalve/agreement/documents/0000000002";
const SECOND: &str = r#"{"number":2,"parent":1,"digest":"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3","text":"two","who":"operator","why":"a change","doubt":"give-up","right_us":2000000}"#;

const STATE_KEY: &str = "/slatevalve/agreement/state";
const STATE: &str = r#"{"step":1,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":null},"last":1}"#;
const PREPARED_STATE: &str = r#"{"step":2,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":{"number":2,"digest":"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3"}},"last":2}"#;

const RIGHT_KEY: &str = "/slatevalve/agreement/rights/zone-a/router-1/life-1";
const RIGHT: &str = r#"{"step":1,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":null},"right_us":3000000,"doubt":"go-on"}"#;
const PREPARED_RIGHT: &str = r#"{"step":2,"stance":{"committed":{"number":1,"digest":"2bb7b15e4801d1e41c5adce64ea58cecd0cacc0b0df217eeb927cce3b7a3aff7"},"prepared":{"number":2,"digest":"3fc4ccfe745870e2c0d99f71f30ff0656c8dedd41cc1d7d3d376b0dbe685e2f3"}},"right_us":2000000,"doubt":"give-up"}"#;

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

/// What the registry holds by these entries, all of which must be read.
fn snapshot(entries: &[(&str, &str)]) -> Snapshot {
    let snapshot =
        Snapshot::from_entries(&keys(), entries.iter().map(|(key, value)| (*key, value.as_bytes(), 7)));
    assert_eq!(snapshot.unreadable, []);
    snapshot
}

/// What a transaction writes, as texts.
fn written(txn: &Txn) -> Vec<(&str, &str)> {
    txn.puts.iter().map(|(key, value)| (key.as_str(), std::str::from_utf8(value).unwrap())).collect()
}

/// What a router writes as its right by this state.
fn right_written(state: State, documents: &[LeaseTerms]) -> Txn {
    let (name, incarnation) = ("zone-a/router-1".into(), "life-1".into());
    let mut holder =
        LeaseHolder::new(LeaseOwner { keys: keys(), name, incarnation, previous_incarnations: vec![] });
    holder.observe_state(&Entry { value: state, revision: 7 }, documents).unwrap();
    let Some(LeaseRequest::Write(txn)) = holder.next_request(0) else { panic!("it wants its right") };
    txn
}

fn right_read(literal: &str) -> RouterLease {
    let mut leases = snapshot(&[(RIGHT_KEY, literal)]).leases;
    leases.remove(&RouterId::new("zone-a/router-1", "life-1")).unwrap().value
}

#[test]
fn the_keys_of_documents_state_and_rights_stand() {
    assert_eq!(keys().prefix(), "/slatevalve/agreement/");
    assert_eq!(keys().state(), STATE_KEY);
    assert_eq!(keys().document(2), SECOND_KEY);
    assert_eq!(keys().leases(), "/slatevalve/agreement/rights/");
    assert_eq!(keys().lease("zone-a/router-1", "life-1"), RIGHT_KEY);
}

#[test]
fn documents_are_read_as_they_stand() {
    let documents = snapshot(&[(FIRST_KEY, FIRST), (SECOND_KEY, SECOND)]).documents;
    assert_eq!(documents, [(1, first()), (2, second())].into());
}

#[test]
fn states_are_read_as_they_stand() {
    let read = |literal| snapshot(&[(STATE_KEY, literal)]).state.unwrap().value;
    assert_eq!((read(STATE), read(PREPARED_STATE)), (state(), prepared_state()));
}

#[test]
fn the_first_document_and_its_state_are_written_as_they_stand() {
    let txn = Snapshot::default().publish(&keys(), &first(), 0).unwrap().1;
    assert_eq!(written(&txn), [(FIRST_KEY, FIRST), (STATE_KEY, STATE)]);
}

#[test]
fn the_next_document_and_its_prepared_state_are_written_as_they_stand() {
    let now = snapshot(&[(FIRST_KEY, FIRST), (STATE_KEY, STATE)]);
    let txn = now.publish(&keys(), &second(), 0).unwrap().1;
    assert_eq!(written(&txn), [(SECOND_KEY, SECOND), (STATE_KEY, PREPARED_STATE)]);
}

#[test]
fn a_right_of_a_router_that_goes_on_in_doubt_stands() {
    assert_eq!(
        written(&right_written(
            state(),
            &[LeaseTerms { lease_us: 3_000_000, expiry_policy: LeaseExpiryPolicy::GoOn }]
        )),
        [(RIGHT_KEY, RIGHT)]
    );
    let right = RouterLease {
        step: 1,
        active_settings: active_settings(None),
        lease_us: 3_000_000,
        expiry_policy: LeaseExpiryPolicy::GoOn,
    };
    assert_eq!(right_read(RIGHT), right);
}

#[test]
fn a_right_by_a_prepared_change_of_a_router_that_gives_up_in_doubt_stands() {
    let documents = [
        LeaseTerms { lease_us: 3_000_000, expiry_policy: LeaseExpiryPolicy::GoOn },
        LeaseTerms { lease_us: 2_000_000, expiry_policy: LeaseExpiryPolicy::GiveUp },
    ];
    assert_eq!(written(&right_written(prepared_state(), &documents)), [(RIGHT_KEY, PREPARED_RIGHT)]);
    let active_settings = prepared_state().active_settings;
    let right = RouterLease {
        step: 2,
        active_settings,
        lease_us: 2_000_000,
        expiry_policy: LeaseExpiryPolicy::GiveUp,
    };
    assert_eq!(right_read(PREPARED_RIGHT), right);
}

#[test]
fn the_remembered_settings_stand() {
    let now = Entry { value: prepared_state(), revision: 7 };
    let kept = Snapshot::encode(&keys(), &now, [&first(), &second()]);
    assert_eq!(String::from_utf8(kept).unwrap(), REMEMBERED);
    let read = Snapshot::decode(&keys(), REMEMBERED.as_bytes()).unwrap();
    let documents = [(1, first()), (2, second())].into();
    assert_eq!(read, Snapshot { state: Some(now), documents, ..Snapshot::default() });
}
