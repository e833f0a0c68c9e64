//! Gateways with versioned settings, over sockets: changes during calls, an unreachable registry, a paused
//! process.

mod drawn_faults;
mod meet;
#[path = "../support/mod.rs"]
mod support;

use serde_json::{json, Value};
use slatevalve_worker_protocol::Reply;
use std::path::{Path, PathBuf};
use std::time::Duration;
use support::documents::{Documents as Fleet, COMMON, UNSAFE};
use support::*;

const KEYED: &str =
    r#"(class "charge" (effect keyed (group all) (window-ms 9000)) (aim-ms 1000) (deadline-ms 5000))"#;

/// A gateway process that takes its settings from the fleet's documents.
struct Router {
    process: Process,
    log: PathBuf,
}

impl Router {
    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Fleet {
    /// A fleet whose documents all list these workers.
    fn with_workers(expiry_policy: &'static str, workers: &[(&str, &Worker)]) -> Self {
        let workers = workers.iter().map(|(name, w)| (name.to_string(), w.address)).collect();
        Fleet { workers, ..Fleet::start(expiry_policy) }
    }

    /// All records of the settings, as entries in the registry's protocol.
    fn entries(&self) -> Vec<Value> {
        let bytes = registry_bytes;
        let request =
            json!({"key": bytes("/slatevalve/agreement/"), "range_end": bytes("/slatevalve/agreement0")});
        let body = post_to_registry(&self.registry_address(), "/v3/kv/range", &request);
        let answer: Value = serde_json::from_slice(&body).unwrap();
        answer["kvs"].as_array().unwrap().clone()
    }

    /// Restores the registry to these entries, as from a backup.
    fn restore(&self, older: &[Value]) {
        let address = self.registry_address();
        for entry in self.entries().iter().filter(|e| !older.iter().any(|o| o["key"] == e["key"])) {
            post_to_registry(&address, "/v3/kv/deleterange", &json!({"key": entry["key"]}));
        }
        for entry in older {
            post_to_registry(&address, "/v3/kv/put", &json!({"key": entry["key"], "value": entry["value"]}));
        }
    }

    /// The numbers of the documents in each of the router's leases.
    fn active_documents(&self, name: &str) -> Vec<Value> {
        let rows = self.status()["routers"].clone();
        let rows = rows.as_array().cloned().unwrap_or_default();
        rows.into_iter().filter(|r| r["router"] == name).map(|r| r["acts-by"].clone()).collect()
    }

    fn router(&self, name: &str) -> Router {
        let file = self.directory.path().join(format!("{name}.scm"));
        let (log, incarnation_file) = (
            self.directory.path().join(format!("{name}.log")),
            self.directory.path().join(format!("{name}.lives")),
        );
        let own = format!(
            "(gateway (name \"{name}\")) (mqtt (listen \"127.0.0.1:0\"))\n(agreed (registry \"{}\") (lives \"{}\") (remember \"{}.kept\") (timeout-ms 500) (look-ms 200))",
            self.registry.address,
            incarnation_file.display(),
            incarnation_file.display()
        );
        std::fs::write(&file, own).unwrap();
        Router { process: Process::start(&["run", path(&file)], Some(&log)), log }
    }
}

fn path(path: &Path) -> &str {
    path.to_str().unwrap()
}

fn echo_worker() -> Worker {
    Worker::start(|call, _| Action::Answer(Reply::Served { payload: call.payload.clone(), ran: None }))
}

#[test]
fn a_document_replaces_another_during_calls_without_a_restart() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    assert_eq!(fleet.publish(UNSAFE, "5").0, Some(0));
    let routers = ["a", "b"].map(|name| fleet.router(name));
    let mut clients = routers.each_ref().map(|r| Client::connect(r.process.address, "c", false));
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.call("charge/visa", 1, Some(&format!("k{n}")), "c");
        assert_eq!(answer.outcome, "served", "{answer:?} {}", routers[n].log());
    }
    // Charges continue while ten documents are published one after the other.
    for round in 0..10 {
        let window = 9_000 + round;
        let forms = if round % 2 == 0 { KEYED.replace("9000", &window.to_string()) } else { UNSAFE.into() };
        for (n, client) in clients.iter_mut().enumerate() {
            for call in 0..5u16 {
                let key = format!("r{round}-{n}-{call}");
                client.publish("charge/visa", 10 + round * 10 + call, Some(&key), &key, false);
            }
        }
        assert_eq!(fleet.publish(&forms, "20").0, Some(0), "{}", routers[0].log());
        for client in &mut clients {
            for _ in 0..5 {
                assert_eq!(client.answer().outcome, "served");
            }
        }
    }
    let mut payloads = worker.payloads();
    let all = payloads.len();
    payloads.sort();
    payloads.dedup();
    assert_eq!(
        (payloads.len(), all),
        (101, 102),
        "each charge runs once; the first payload is common to both clients"
    );
    for name in ["a", "b"] {
        until("both routers to apply only the last document", || {
            fleet.active_documents(name) == [json!([11])]
        });
    }
}

#[test]
fn a_topic_routed_differently_by_two_documents_is_refused_until_the_commit() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let (paused, router) = (fleet.router("paused"), fleet.router("a"));
    let mut client = Client::connect(router.process.address, "c", false);
    // The change is prepared and waits for the paused router.
    paused.process.signal("STOP");
    let moved = format!("{UNSAFE}(route \"charge/visa\" (class \"quote\") (function \"visa\"))");
    assert_eq!(fleet.publish(&moved, "0").0, Some(3));
    until("the router to apply the meet of both documents", || {
        fleet.active_documents("a") == [json!([1, 2])]
    });
    let answer = client.call("charge/visa", 1, Some("k1"), "c");
    assert_eq!(
        (answer.outcome.as_str(), answer.reason.as_deref()),
        ("refused", Some("not sent: the settings of this topic are being changed"))
    );
    assert_eq!(client.call("charge/other", 2, Some("k2"), "c").outcome, "served");
    assert_eq!(client.call("quote/fare", 3, None, "q").outcome, "served");
    assert_eq!(
        fleet.settings(&["drive", "--wait-s", "1"]),
        (Some(3), json!({"committed": false, "awaited": ["paused"]}))
    );
    paused.process.signal("CONT");
    assert_eq!(fleet.settings(&["drive"]).0, Some(0));
    until("the router to apply only the new document", || fleet.active_documents("a") == [json!([2])]);
    let answer = client.call("charge/visa", 4, None, "q");
    assert_eq!(
        (answer.outcome.as_str(), answer.settings.as_deref()),
        ("served", Some("2")),
        "the new route applies"
    );
}

#[test]
fn a_router_that_was_paused_sends_no_charge_under_an_expired_lease() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("give-up", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let router = fleet.router("a");
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("charge/visa", 1, Some("k1"), "first").outcome, "served");
    router.process.signal("STOP");
    client.publish("charge/visa", 2, Some("k2"), "late", false);
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0), "the change is committed without the paused router");
    // The registry is unreachable when the router resumes, so that the router cannot renew its lease.
    fleet.registry.signal("STOP");
    router.process.signal("CONT");
    let answer = client.answer();
    let reason = answer.reason.unwrap_or_default();
    assert!(answer.outcome == "refused" && reason.starts_with("not sent"), "{reason} {}", router.log());
    assert_eq!(
        client.call("quote/fare", 3, None, "q").outcome,
        "served",
        "safe calls are served without a lease"
    );
    assert_eq!(worker.payloads().iter().filter(|p| *p != "q").count(), 1);
    fleet.registry.signal("CONT");
    until("the router to get a new lease", || {
        client.call("charge/visa", 4, Some("k3"), "again").outcome == "served"
    });
    assert_eq!(fleet.active_documents("a"), [json!([2])]);
}

#[test]
fn routers_commit_a_change_whose_coordinator_stopped() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let routers = ["a", "b", "c"].map(|name| fleet.router(name));
    routers[2].process.signal("STOP");
    assert_eq!(
        fleet.publish(KEYED, "0").0,
        Some(3),
        "the command exits without waiting, as if it were killed"
    );
    until("two routers to acknowledge", || {
        fleet.active_documents("a") == [json!([1, 2])] && fleet.active_documents("b") == [json!([1, 2])]
    });
    routers[2].process.signal("CONT");
    until("a router to commit the change", || fleet.status()["committed"]["number"] == 2);
    until("all routers to apply the committed document", || {
        ["a", "b", "c"].iter().all(|name| fleet.active_documents(name) == [json!([2])])
    });
    let logs: String = routers.iter().map(Router::log).collect();
    assert!(logs.contains("requesting the commit of the prepared change"), "{logs}");
}

#[test]
fn a_registry_restored_to_an_older_state_is_reported_and_active_settings_are_kept() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let older = fleet.entries();
    let mut router = fleet.router("a");
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0));
    until("the router to apply only the second document", || fleet.active_documents("a") == [json!([2])]);
    let mut client = Client::connect(router.process.address, "c", false);
    // The backup is from before this router's first lease.
    fleet.restore(&older);
    until("the router to report it", || {
        router.log().contains("the registry was rolled back from step 3 to 1")
    });
    let mut calls = 10;
    until("the router to lose its lease", || {
        calls += 1;
        let answer = client.call("charge/visa", calls, Some(&format!("k{calls}")), "c");
        answer.reason.is_some_and(|r| r.starts_with("not sent"))
    });
    assert_eq!(client.call("quote/fare", 2, None, "q").outcome, "served", "safe calls are still served");
    // The documented recovery: publish a document with a number above all assigned ones and restart the
    // router without its stored settings.
    let forms = KEYED.replace("9000", "9001");
    let file = fleet.file("above.scm", &forms);
    let publish = ["publish", path(&file), "--why", "above", "--above", "2"];
    assert_eq!(fleet.settings(&publish).1, json!({"committed": true, "number": 3}));
    drop(router);
    std::fs::remove_file(fleet.directory.path().join("a.lives.kept")).unwrap();
    router = fleet.router("a");
    assert_eq!(fleet.active_documents("a"), [json!([3])]);
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("charge/visa", 3, Some("k3"), "c").outcome, "served");
}

#[test]
fn an_unreachable_registry_fails_no_call_under_the_go_on_policy() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let router = fleet.router("a");
    let mut client = Client::connect(router.process.address, "c", false);
    fleet.registry.signal("STOP");
    // Longer than two leases.
    std::thread::sleep(Duration::from_millis(1_500));
    for n in 0..5u16 {
        assert_eq!(client.call("charge/visa", n + 1, Some(&format!("k{n}")), "c").outcome, "served");
    }
    fleet.registry.signal("CONT");
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0));
}

#[test]
fn a_router_started_without_the_registry_serves_safe_calls_under_stored_settings() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let stored_file = fleet.directory.path().join("a.lives.kept");
    drop(fleet.router("a"));
    assert!(stored_file.exists());
    fleet.registry.signal("STOP");
    let router = fleet.router("a");
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("quote/fare", 1, None, "q").outcome, "served");
    let answer = client.call("charge/visa", 2, Some("k1"), "c");
    assert!(answer.reason.is_some_and(|r| r.starts_with("not sent")));
    fleet.registry.signal("CONT");
    let mut calls = 10;
    until("the router to get its lease", || {
        calls += 1;
        client.call("charge/visa", calls, Some(&format!("k{calls}")), "c").outcome == "served"
    });
    drop(router);
    // An invalid file is reported, and the router waits for the registry as if there were no file.
    std::fs::write(&stored_file, "[[\"/slatevalve/agreement/state\", \"{}\", 1]]").unwrap();
    let router = fleet.router("a");
    assert!(
        router.log().contains("a.lives.kept") && router.log().contains("missing field"),
        "{}",
        router.log()
    );
}

#[test]
fn a_restarted_router_deletes_its_old_lease_and_an_orderly_shutdown_releases_the_lease() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let killed = fleet.router("a");
    drop(killed);
    assert_eq!(fleet.active_documents("a"), [json!([1])], "the lease of a killed router remains");
    assert_eq!(fleet.publish(KEYED, "0").0, Some(3));
    // The router starts again during the change.
    let mut router = fleet.router("a");
    assert_eq!(fleet.settings(&["drive"]).0, Some(0), "{}", router.log());
    until("a single lease, of the new incarnation", || fleet.active_documents("a") == [json!([2])]);
    // A second process with the same name and incarnation file cannot start.
    let file = fleet.directory.path().join("a.scm");
    let output = command(&["run", path(&file)]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("another running process holds the lock"));
    router.process.signal("TERM");
    assert_eq!(router.process.wait(), Some(0));
    assert_eq!(fleet.active_documents("a"), Vec::<Value>::new());
}

#[test]
fn a_document_that_a_router_cannot_apply_is_reported_and_not_acknowledged() {
    let worker = echo_worker();
    let fleet = Fleet::with_workers("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let router = fleet.router("a");
    // A router's own file can also make a document inapplicable, by a worker list from another source, but
    // that file is only read at the start. So the test writes a document directly to the registry, with a
    // form that this program does not know, as an older program would find a document of a newer one.
    let status = fleet.status();
    assert_eq!(status["committed"]["number"], 1);
    let text = format!("{KEYED}{COMMON}(of-a-later-program 1)");
    let digest = slatevalve_config_versioning::Document::digest_of(&text);
    let document = json!({"number": 2, "parent": 1, "digest": digest, "text": text, "who": "op", "why": "later",
        "doubt": "go-on", "right_us": 600_000});
    let version = |n: u64, digest: &Value| json!({"number": n, "digest": digest});
    let state = json!({"step": 2, "last": 2, "stance": {"committed": version(1, &status["committed"]["digest"]),
        "prepared": version(2, &json!(digest))}});
    for (key, value) in [("documents/0000000002", document), ("state", state)] {
        let bytes = registry_bytes;
        let (key, value) = (bytes(&format!("/slatevalve/agreement/{key}")), bytes(&value.to_string()));
        post_to_registry(&fleet.registry_address(), "/v3/kv/put", &json!({"key": key, "value": value}));
    }
    until("the router to report the unknown form", || {
        router.log().contains("unknown form (of-a-later-program ...)")
    });
    let (code, output) = fleet.settings(&["drive", "--wait-s", "1"]);
    assert_eq!((code, output["awaited"].clone()), (Some(3), json!(["a"])));
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(
        client.call("charge/visa", 1, Some("k"), "c").outcome,
        "served",
        "the router keeps its active settings"
    );
    assert_eq!(fleet.settings(&["rollback"]).1, json!({"withdrawn": true}));
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0), "{}", router.log());
}
