//! Settings documents in a registry, published by several processes: concurrent publishers, routers whose
//! acknowledgement is awaited, and a driver that is killed.

mod support;

use serde_json::{json, Value};
use slatevalve_config_versioning::{
    Document, Keys, LeaseHolder, LeaseOwner, LeaseRequest, LeaseTerms, RouterId, SendPermission, Snapshot,
    Txn, TxnOutcome,
};
use slatevalve_gateway::documents::{request, snapshot};
use slatevalve_registry::wire::{Bytes, PlainResponse, RangeRequest, RangeResponse, RANGE, TXN};
use std::time::Instant;
use support::documents::{Documents as Fleet, UNSAFE};
use support::*;

const KEYED: &str =
    r#"(class "charge" (effect keyed (group cell) (window-ms 9000)) (aim-ms 1000) (deadline-ms 5000))"#;

impl Fleet {
    fn committed(&self) -> u64 {
        self.status()["committed"]["number"].as_u64().unwrap()
    }

    fn router(&self, name: &str) -> Router<'_> {
        let (keys, incarnation) = (Keys::new("/slatevalve/"), format!("life-of-{}", name.replace('/', "-")));
        let id = RouterId::new(name, incarnation.clone());
        let settings = LeaseOwner { keys, name: name.into(), incarnation, previous_incarnations: vec![] };
        Router { fleet: self, began: Instant::now(), holder: LeaseHolder::new(settings), id }
    }
}

/// A router's lease logic without the rest of the router.
struct Router<'a> {
    fleet: &'a Fleet,
    began: Instant,
    holder: LeaseHolder,
    id: RouterId,
}

impl Router<'_> {
    fn now(&self) -> i64 {
        self.began.elapsed().as_micros() as i64
    }

    fn send_permission(&self) -> SendPermission {
        self.holder.send_permission(self.now())
    }

    /// Numbers of the documents whose rules the router applies.
    fn active_documents(&self) -> Vec<u64> {
        self.holder.active_settings().unwrap().versions().map(|e| e.number).collect()
    }

    fn read(&self) -> Snapshot {
        let (key, range_end) = (Bytes::of("/slatevalve/agreement/"), Bytes::of("/slatevalve/agreement0"));
        let request = RangeRequest { key, range_end, ..RangeRequest::default() };
        let body = post_to_registry(&self.fleet.registry_address(), RANGE, &request);
        let answer: RangeResponse = serde_json::from_slice(&body).unwrap();
        snapshot(&Keys::new("/slatevalve/"), &answer.kvs)
    }

    /// Observes the state in the registry, and sends the lease requests until the holder has none left.
    fn poll(&mut self) {
        loop {
            let snapshot = self.read();
            if let Some(state) = &snapshot.state {
                let lease_terms = |version| snapshot.document(version).map(Document::lease_terms).unwrap();
                let documents: Vec<LeaseTerms> =
                    state.value.active_settings.versions().map(lease_terms).collect();
                let _ = self.holder.observe_state(state, &documents);
            }
            match self.holder.next_request(self.now()) {
                None => return,
                Some(LeaseRequest::Read) => {
                    let _ = self.holder.on_read(snapshot.leases.get(&self.id));
                }
                Some(LeaseRequest::Write(txn)) => {
                    let outcome = self.write(txn);
                    self.holder.on_written(outcome);
                }
            }
        }
    }

    fn write(&self, txn: Txn) -> TxnOutcome {
        let body = post_to_registry(&self.fleet.registry_address(), TXN, &request(&txn));
        let answer: PlainResponse = serde_json::from_slice(&body).unwrap();
        if answer.succeeded {
            TxnOutcome::Succeeded(answer.header.revision)
        } else {
            TxnOutcome::Conflict
        }
    }
}

#[test]
fn a_document_is_checked_and_compared_before_it_is_published() {
    let fleet = Fleet::start("go-on");
    let (one, two) = (fleet.file("one.scm", UNSAFE), fleet.file("two.scm", KEYED));
    let (one, two) = (one.to_str().unwrap(), two.to_str().unwrap());
    assert_eq!(fleet.settings(&["check", one]).1["classes"], 2);
    let (code, found) = fleet.settings(&["diff", one, two]);
    assert_eq!((code, &found["contradictions"][0]["field"]), (Some(1), &json!("class \"charge\" effect")));
    assert_eq!(found["stricter-meanwhile"], json!(["charge"]));
    // A different `worth` is no contradiction.
    let worth = fleet.file("worth.scm", &UNSAFE.replace("(aim-ms", "(worth 5) (aim-ms"));
    assert_eq!(fleet.settings(&["diff", one, worth.to_str().unwrap()]).0, Some(0));
    let valid = fleet.text(UNSAFE);
    let own = "(mqtt (listen \"127.0.0.1:1\"))";
    for (invalid, expected) in [
        (
            format!("{own}{valid}"),
            "wrong.scm:1: (mqtt ...): belongs in a router's own file and is not allowed in a document",
        ),
        (
            valid.replace("(effect unsafe)", "(effect sometimes)"),
            "wrong.scm:1: (effect ...): expected safe, unsafe",
        ),
        (valid.replace("600", "1"), "wrong.scm:5: (agreement ...): right-ms must be at least 100"),
        (valid.replace("go-on", "perhaps"), "expected go-on or give-up, found perhaps"),
        (valid.clone() + "(later-form 1)", "unknown form (later-form ...)"),
        (valid.clone() + "(class \"open\"", "wrong.scm"),
    ] {
        let path = fleet.directory.path().join("wrong.scm");
        std::fs::write(&path, invalid).unwrap();
        let output = fleet.output(&["publish", path.to_str().unwrap(), "--why", "wrong"]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && error.contains(expected), "expected {expected:?} in {error}");
    }
    assert_eq!(fleet.status(), json!({"published": false}), "an invalid document was published");
}

#[test]
fn routers_apply_both_documents_until_all_have_confirmed_the_new_one() {
    let fleet = Fleet::start("go-on");
    assert_eq!(fleet.publish(UNSAFE, "5").1, json!({"committed": true, "number": 1}));
    let mut routers = ["a", "b/1", "c"].map(|name| fleet.router(name));
    routers.iter_mut().for_each(Router::poll);
    assert!(routers.iter().all(|r| r.send_permission() == SendPermission::All));
    let (code, output) = fleet.publish(KEYED, "0");
    assert_eq!((code, output["awaited"].clone()), (Some(3), json!(["a", "b/1", "c"])));
    routers[0].poll();
    assert_eq!((routers[0].active_documents(), routers[1].active_documents()), (vec![1, 2], vec![1]));
    let (code, output) = fleet.settings(&["drive", "--wait-s", "0"]);
    assert_eq!((code, output["awaited"].clone()), (Some(3), json!(["b/1", "c"])));
    let rows = fleet.status()["routers"].clone();
    assert_eq!(
        rows[0],
        json!({"router": "a", "life": "life-of-a", "acts-by": [1, 2], "said-yes": true, "in-doubt": "go-on"})
    );
    // Only one document can be prepared at a time.
    let other = fleet.file("three", &KEYED.replace("9000", "8000"));
    let output = fleet.output(&["publish", other.to_str().unwrap(), "--why", "three"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("document 2 is prepared and not yet committed"));
    routers[1..].iter_mut().for_each(Router::poll);
    assert_eq!(fleet.settings(&["drive"]).1, json!({"committed": true, "number": 2}));
    routers.iter_mut().for_each(Router::poll);
    assert!(routers
        .iter()
        .all(|r| r.active_documents() == [2] && r.send_permission() == SendPermission::All));
    // A rollback publishes the previous document under a new number and waits for all acknowledgements; until
    // it is committed, a second rollback withdraws it.
    let rollback = fleet.settings(&["rollback", "--wait-s", "0"]);
    assert_eq!(rollback.0, Some(3));
    assert_eq!(fleet.settings(&["rollback"]).1, json!({"withdrawn": true}));
    routers.iter_mut().for_each(Router::poll);
    assert!(routers.iter().all(|r| r.active_documents() == [2]));
    let numbers =
        |v: &Value| v.as_array().unwrap().iter().map(|d| d["number"].as_u64().unwrap()).collect::<Vec<_>>();
    let history = fleet.settings(&["history"]).1;
    assert_eq!(numbers(&history), [1, 2, 3]);
    assert_eq!(history[2]["digest"], history[0]["digest"]);
}

#[test]
fn a_change_whose_driver_was_killed_is_completed_by_any_other() {
    let fleet = Fleet::start("go-on");
    fleet.publish(UNSAFE, "5");
    let mut router = fleet.router("a");
    router.poll();
    let file = fleet.file("two", KEYED);
    let mut killed = fleet.spawn(&["publish", file.to_str().unwrap(), "--why", "two"]);
    until("the change to be prepared", || !fleet.status()["prepared"].is_null());
    killed.kill().unwrap();
    killed.wait().unwrap();
    assert_eq!(fleet.committed(), 1);
    // Two concurrent drivers commit the change once.
    let mut others = [fleet.spawn(&["drive"]), fleet.spawn(&["drive"])];
    router.poll();
    for other in &mut others {
        assert!(other.wait().unwrap().success());
    }
    assert_eq!((fleet.committed(), fleet.status()["step"].clone()), (2, json!(3)));
}

#[test]
fn of_four_documents_published_at_once_one_is_prepared() {
    let fleet = Fleet::start("go-on");
    fleet.publish(UNSAFE, "5");
    let mut router = fleet.router("a");
    router.poll();
    let files =
        [9001, 9002, 9003, 9004].map(|w| fleet.file(&w.to_string(), &KEYED.replace("9000", &w.to_string())));
    let all = files
        .each_ref()
        .map(|f| fleet.spawn(&["publish", f.to_str().unwrap(), "--why", "race", "--wait-s", "0"]));
    let mut codes = all.map(|mut child| child.wait().unwrap().code().unwrap());
    codes.sort_unstable();
    assert_eq!(codes.iter().filter(|c| **c == 3).count(), 1, "{codes:?}");
    assert_eq!(fleet.status()["prepared"]["number"], 2);
    router.poll();
    assert_eq!(fleet.settings(&["drive"]).0, Some(0));
}

#[test]
fn a_change_waits_for_a_router_that_does_not_confirm_until_it_is_declared_gone() {
    let fleet = Fleet::start("go-on");
    fleet.publish(UNSAFE, "5");
    let (mut gone, mut stays) = (fleet.router("gone"), fleet.router("stays"));
    gone.poll();
    stays.poll();
    let (code, output) = fleet.publish(KEYED, "0");
    stays.poll();
    assert_eq!((code, output["committed"].clone()), (Some(3), json!(false)));
    let (code, output) = fleet.settings(&["drive", "--wait-s", "1"]);
    assert_eq!(
        (code, output["awaited"].clone()),
        (Some(3), json!(["gone"])),
        "the wait is longer than a lease"
    );
    assert_eq!(gone.send_permission(), SendPermission::All, "it continues under the rules it has");
    assert_eq!(fleet.settings(&["declare-gone", "nobody"]).0, Some(2));
    assert_eq!(fleet.settings(&["declare-gone", "gone"]).1, json!({"gone": "gone", "lives": 1}));
    assert_eq!(fleet.settings(&["drive"]).1, json!({"committed": true, "number": 2}));
    // If the router is still running, its next poll shows that it was declared gone, and it applies the new
    // document alone.
    gone.poll();
    assert_eq!((gone.active_documents(), gone.send_permission()), (vec![2], SendPermission::All));
}

#[test]
fn with_give_up_a_change_is_committed_once_the_lease_of_an_unreachable_router_has_expired() {
    let fleet = Fleet::start("give-up");
    fleet.publish(UNSAFE, "5");
    let mut cut = fleet.router("cut");
    cut.poll();
    let (leased_at, permission) = (cut.now(), cut.send_permission());
    assert_eq!(permission, SendPermission::All);
    let (code, _) = fleet.publish(KEYED, "20");
    let committed = cut.now();
    assert_eq!((code, fleet.committed()), (Some(0), 2));
    assert!(
        committed - leased_at >= 550_000,
        "committed after {} us, while the lease may still have been valid",
        committed - leased_at
    );
    assert_eq!(cut.send_permission(), SendPermission::Safe, "without a lease only safe calls may be sent");
    cut.poll();
    assert_eq!((cut.active_documents(), cut.send_permission()), (vec![2], SendPermission::All));
}
