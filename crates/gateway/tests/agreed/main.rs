//! Gateways that act by documents, over sockets: changes under calls, a registry that is away, a process that stood still.

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

/// A gateway that acts by the fleet's documents.
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
    /// With these workers in each document.
    fn before(expiry_policy: &'static str, workers: &[(&str, &Worker)]) -> Self {
        let workers = workers.iter().map(|(name, w)| (name.to_string(), w.address)).collect();
        Fleet { workers, ..Fleet::start(expiry_policy) }
    }

    /// All entries of the agreement, as the registry's protocol has them.
    fn entries(&self) -> Vec<Value> {
        let bytes = registry_bytes;
        let ask =
            json!({"key": bytes("/slatevalve/agreement/"), "range_end": bytes("/slatevalve/agreement0")});
        let body = ask_registry(&self.registry_address(), "/v3/kv/range", &ask);
        let answer: Value = serde_json::from_slice(&body).unwrap();
        answer["kvs"].as_array().unwrap().clone()
    }

    /// Puts the registry back to these entries.
    fn put_back(&self, older: &[Value]) {
        let address = self.registry_address();
        for entry in self.entries().iter().filter(|e| !older.iter().any(|o| o["key"] == e["key"])) {
            ask_registry(&address, "/v3/kv/deleterange", &json!({"key": entry["key"]}));
        }
        for entry in older {
            ask_registry(&address, "/v3/kv/put", &json!({"key": entry["key"], "value": entry["value"]}));
        }
    }

    /// The documents that a router has said it acts by.
    fn acts_by(&self, name: &str) -> Vec<Value> {
        let rows = self.status()["routers"].clone();
        let rows = rows.as_array().cloned().unwrap_or_default();
        rows.into_iter().filter(|r| r["router"] == name).map(|r| r["acts-by"].clone()).collect()
    }

    fn router(&self, name: &str) -> Router {
        let file = self.directory.path().join(format!("{name}.scm"));
        let (log, lives) = (
            self.directory.path().join(format!("{name}.log")),
            self.directory.path().join(format!("{name}.lives")),
        );
        let own = format!(
            "(gateway (name \"{name}\")) (mqtt (listen \"127.0.0.1:0\"))\n(agreed (registry \"{}\") (lives \"{}\") (remember \"{}.kept\") (timeout-ms 500) (look-ms 200))",
            self.registry.address,
            lives.display(),
            lives.display()
        );
        std::fs::write(&file, own).unwrap();
        Router { process: Process::start(&["run", path(&file)], Some(&log)), log }
    }
}

fn path(path: &Path) -> &str {
    path.to_str().unwrap()
}

fn honest() -> Worker {
    Worker::start(|call, _| Act::Answer(Reply::Served { payload: call.payload.clone(), ran: None }))
}

#[test]
fn a_document_replaces_another_under_calls_without_a_restart() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    assert_eq!(fleet.publish(UNSAFE, "5").0, Some(0));
    let routers = ["a", "b"].map(|name| fleet.router(name));
    let mut clients = routers.each_ref().map(|r| Client::connect(r.process.address, "c", false));
    for (n, client) in clients.iter_mut().enumerate() {
        let heard = client.call("charge/visa", 1, Some(&format!("k{n}")), "c");
        assert_eq!(heard.outcome, "served", "{heard:?} {}", routers[n].log());
    }
    // Charges go on while ten documents follow each other.
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
    assert_eq!((payloads.len(), all), (101, 102), "each once; two clients share the first name");
    for name in ["a", "b"] {
        until("both to act by the last document alone", || fleet.acts_by(name) == [json!([11])]);
    }
}

#[test]
fn a_topic_on_which_documents_differ_is_refused_until_the_change_is_committed() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let (gone, router) = (fleet.router("gone"), fleet.router("a"));
    let mut client = Client::connect(router.process.address, "c", false);
    // One router stands still: the change is prepared and waits for it.
    gone.process.signal("STOP");
    let moved = format!("{UNSAFE}(route \"charge/visa\" (class \"quote\") (function \"visa\"))");
    assert_eq!(fleet.publish(&moved, "0").0, Some(3));
    until("the router to act by both", || fleet.acts_by("a") == [json!([1, 2])]);
    let heard = client.call("charge/visa", 1, Some("k1"), "c");
    assert_eq!(
        (heard.outcome.as_str(), heard.reason.as_deref()),
        ("refused", Some("not sent: the settings of this topic are being changed"))
    );
    assert_eq!(client.call("charge/other", 2, Some("k2"), "c").outcome, "served");
    assert_eq!(client.call("quote/fare", 3, None, "q").outcome, "served");
    assert_eq!(
        fleet.settings(&["drive", "--wait-s", "1"]),
        (Some(3), json!({"committed": false, "awaited": ["gone"]}))
    );
    gone.process.signal("CONT");
    assert_eq!(fleet.settings(&["drive"]).0, Some(0));
    until("the router to act by the new one", || fleet.acts_by("a") == [json!([2])]);
    let heard = client.call("charge/visa", 4, None, "q");
    assert_eq!(
        (heard.outcome.as_str(), heard.settings.as_deref()),
        ("served", Some("2")),
        "it is a quote now"
    );
}

#[test]
fn a_router_that_stood_still_sends_nothing_by_a_right_that_ended() {
    let worker = honest();
    let fleet = Fleet::before("give-up", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let router = fleet.router("a");
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("charge/visa", 1, Some("k1"), "first").outcome, "served");
    router.process.signal("STOP");
    client.publish("charge/visa", 2, Some("k2"), "late", false);
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0), "the change goes on without it");
    // The registry is away when it wakes, so that it cannot have a new right.
    fleet.registry.signal("STOP");
    router.process.signal("CONT");
    let heard = client.answer();
    let reason = heard.reason.unwrap_or_default();
    assert!(heard.outcome == "refused" && reason.starts_with("not sent"), "{reason} {}", router.log());
    assert_eq!(client.call("quote/fare", 3, None, "q").outcome, "served", "safe calls are served in doubt");
    assert_eq!(worker.payloads().iter().filter(|p| *p != "q").count(), 1);
    fleet.registry.signal("CONT");
    until("a new right", || client.call("charge/visa", 4, Some("k3"), "again").outcome == "served");
    assert_eq!(fleet.acts_by("a"), [json!([2])]);
}

#[test]
fn routers_end_a_change_whose_driver_died() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let routers = ["a", "b", "c"].map(|name| fleet.router(name));
    routers[2].process.signal("STOP");
    assert_eq!(fleet.publish(KEYED, "0").0, Some(3), "it gives up at once, as one that was killed");
    until("two to say yes", || {
        fleet.acts_by("a") == [json!([1, 2])] && fleet.acts_by("b") == [json!([1, 2])]
    });
    routers[2].process.signal("CONT");
    until("one of them to commit it", || fleet.status()["committed"]["number"] == 2);
    until("all to act by it", || ["a", "b", "c"].iter().all(|name| fleet.acts_by(name) == [json!([2])]));
    let logs: String = routers.iter().map(Router::log).collect();
    assert!(logs.contains("driving the change"), "{logs}");
}

#[test]
fn a_registry_that_was_put_back_to_an_older_state_is_named_and_the_rules_stay() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let older = fleet.entries();
    let mut router = fleet.router("a");
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0));
    until("it to act by the second", || fleet.acts_by("a") == [json!([2])]);
    let mut client = Client::connect(router.process.address, "c", false);
    // The state as it was in the backup, from before this router had a right.
    fleet.put_back(&older);
    until("the router to name it", || router.log().contains("the registry went back from step 3 to 1"));
    let mut calls = 10;
    until("its right to be gone", || {
        calls += 1;
        let heard = client.call("charge/visa", calls, Some(&format!("k{calls}")), "c");
        heard.reason.is_some_and(|r| r.starts_with("not sent"))
    });
    assert_eq!(client.call("quote/fare", 2, None, "q").outcome, "served", "safe calls go on");
    // A new document above all that was given, and a new life: as the operators' page says.
    let forms = KEYED.replace("9000", "9001");
    let file = fleet.file("above.scm", &forms);
    let publish = ["publish", path(&file), "--why", "above", "--above", "2"];
    assert_eq!(fleet.settings(&publish).1, json!({"committed": true, "number": 3}));
    drop(router);
    std::fs::remove_file(fleet.directory.path().join("a.lives.kept")).unwrap();
    router = fleet.router("a");
    assert_eq!(fleet.acts_by("a"), [json!([3])]);
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("charge/visa", 3, Some("k3"), "c").outcome, "served");
}

#[test]
fn a_registry_that_is_away_costs_no_call_where_routers_go_on() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let router = fleet.router("a");
    let mut client = Client::connect(router.process.address, "c", false);
    fleet.registry.signal("STOP");
    // Longer than two rights.
    std::thread::sleep(Duration::from_millis(1_500));
    for n in 0..5u16 {
        assert_eq!(client.call("charge/visa", n + 1, Some(&format!("k{n}")), "c").outcome, "served");
    }
    fleet.registry.signal("CONT");
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0));
}

#[test]
fn a_router_that_starts_while_the_registry_is_away_serves_safe_calls_by_what_it_remembers() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let kept = fleet.directory.path().join("a.lives.kept");
    drop(fleet.router("a"));
    assert!(kept.exists());
    fleet.registry.signal("STOP");
    let router = fleet.router("a");
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("quote/fare", 1, None, "q").outcome, "served");
    let heard = client.call("charge/visa", 2, Some("k1"), "c");
    assert!(heard.reason.is_some_and(|r| r.starts_with("not sent")));
    fleet.registry.signal("CONT");
    let mut calls = 10;
    until("its right", || {
        calls += 1;
        client.call("charge/visa", calls, Some(&format!("k{calls}")), "c").outcome == "served"
    });
    drop(router);
    // What cannot be read is named, and the registry is asked as if there were nothing.
    std::fs::write(&kept, "[[\"/slatevalve/agreement/state\", \"{}\", 1]]").unwrap();
    let router = fleet.router("a");
    assert!(
        router.log().contains("a.lives.kept") && router.log().contains("missing field"),
        "{}",
        router.log()
    );
}

#[test]
fn a_router_that_was_killed_and_is_back_takes_its_old_right_out_and_one_that_leaves_too() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let killed = fleet.router("a");
    drop(killed);
    assert_eq!(fleet.acts_by("a"), [json!([1])], "a dead router's right stays");
    assert_eq!(fleet.publish(KEYED, "0").0, Some(3));
    // It starts in the middle of the change.
    let mut router = fleet.router("a");
    assert_eq!(fleet.settings(&["drive"]).0, Some(0), "{}", router.log());
    until("one right of one life", || fleet.acts_by("a") == [json!([2])]);
    // A second process under the same name and file cannot start.
    let file = fleet.directory.path().join("a.scm");
    let output = command(&["run", path(&file)]);
    assert!(String::from_utf8_lossy(&output.stderr).contains("another process that lives holds it"));
    router.process.signal("TERM");
    assert_eq!(router.process.wait(), Some(0));
    assert_eq!(fleet.acts_by("a"), Vec::<Value>::new());
}

#[test]
fn a_document_that_a_router_cannot_carry_out_is_not_said_yes_to_and_it_is_named() {
    let worker = honest();
    let fleet = Fleet::before("go-on", &[("w", &worker)]);
    fleet.publish(UNSAFE, "5");
    let router = fleet.router("a");
    // Its own file has a list of workers from elsewhere only in another life; here it is put in by hand, as an older program
    // would read what it does not know.
    let reading = fleet.status();
    assert_eq!(reading["committed"]["number"], 1);
    let text = format!("{KEYED}{COMMON}(of-a-later-program 1)");
    let digest = slatevalve_config_versioning::Document::digest_of(&text);
    let document = json!({"number": 2, "parent": 1, "digest": digest, "text": text, "who": "op", "why": "later",
        "doubt": "go-on", "right_us": 600_000});
    let edition = |n: u64, digest: &Value| json!({"number": n, "digest": digest});
    let state = json!({"step": 2, "last": 2, "stance": {"committed": edition(1, &reading["committed"]["digest"]),
        "prepared": edition(2, &json!(digest))}});
    for (key, value) in [("documents/0000000002", document), ("state", state)] {
        let bytes = registry_bytes;
        let (key, value) = (bytes(&format!("/slatevalve/agreement/{key}")), bytes(&value.to_string()));
        ask_registry(&fleet.registry_address(), "/v3/kv/put", &json!({"key": key, "value": value}));
    }
    until("it to say why", || router.log().contains("(of-a-later-program ...) is not known here"));
    let (code, told) = fleet.settings(&["drive", "--wait-s", "1"]);
    assert_eq!((code, told["awaited"].clone()), (Some(3), json!(["a"])));
    let mut client = Client::connect(router.process.address, "c", false);
    assert_eq!(client.call("charge/visa", 1, Some("k"), "c").outcome, "served", "it goes on by what it has");
    assert_eq!(fleet.settings(&["rollback"]).1, json!({"withdrawn": true}));
    assert_eq!(fleet.publish(KEYED, "20").0, Some(0), "{}", router.log());
}
