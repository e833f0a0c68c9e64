//! Gateways that act by documents, over sockets: changes under calls, a registry that is away, a process that stood still.

mod support;

use serde_json::{json, Value};
use slatevalve_worker_protocol::Reply;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Child;
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

/// Terms by which charges are checked, all documents up to `last` contradicting each other.
fn terms(last: u64) -> slatevalve_trace_checker::Terms {
    use slatevalve_trace_checker::*;
    let class = |effect| ClassTerms { effect, aim_us: 1, worth: 1.0, late_worth: 1.0 };
    let classes = [("quote", EffectTerms::Safe), ("charge", EffectTerms::Unsafe)];
    let contradict = (1..=last).flat_map(|a| (a + 1..=last).map(move |b| (a, b))).collect();
    Terms {
        classes: classes.map(|(name, effect)| (name.to_string(), class(effect))).into(),
        workers: Default::default(),
        answer_slack_us: 0,
        drain_grace_us: 1,
        fall_multiple: 1e9,
        fall_window_us: 1,
        ration_window_us: 0,
        ration_free: 0.0,
        ration_share: 0.0,
        settings: Some(SettingsTerms { contradict, bound_us: 1_000_000 }),
    }
}

#[test]
fn nothing_that_workers_saw_contradicts_through_changes_while_routers_stand_still_and_are_killed() {
    let directory = tempfile::tempdir().unwrap();
    let trace = |name: &str| directory.path().join(format!("{name}.trace"));
    let worker = |name: &str| {
        Process::start(
            &["worker", "--name", name, "--load-on-call", "--load-ms", "1", "--trace", path(&trace(name))],
            None,
        )
    };
    let workers = ["w1", "w2"].map(worker);
    let mut fleet = Fleet::before("give-up", &[]);
    fleet.workers = workers.iter().zip(["w1", "w2"]).map(|(w, n)| (n.to_string(), w.address)).collect();
    assert_eq!(fleet.publish(UNSAFE, "5").0, Some(0));
    let mut routers = ["a", "b", "c"].map(|name| Some(fleet.router(name)));
    let mut clients =
        routers.each_ref().map(|r| Client::connect(r.as_ref().unwrap().process.address, "c", false));
    let mut asked = [0u16; 3];
    for round in 0..6u16 {
        for (n, client) in clients.iter_mut().enumerate().filter(|(n, _)| routers[*n].is_some()) {
            for _ in 0..8 {
                asked[n] += 1;
                let name = format!("call={n}-{} work-us=1000", asked[n]);
                client.publish("charge/visa", asked[n], Some(&format!("k{n}-{}", asked[n])), &name, false);
            }
        }
        match round {
            1 => routers[2].as_ref().unwrap().process.signal("STOP"),
            3 => {
                // It stood still for longer than the bound, with charges that wait for it; what it asks now has no answer.
                std::thread::sleep(Duration::from_millis(1_200));
                fleet.registry.signal("STOP");
                routers[2].as_ref().unwrap().process.signal("CONT");
                std::thread::sleep(Duration::from_millis(100));
                fleet.registry.signal("CONT");
            }
            4 => routers[1] = None,
            _ => {}
        }
        let forms = KEYED.replace("9000", &(9_000 + round).to_string());
        assert_eq!(fleet.publish(&forms, "20").0, Some(0), "round {round}");
    }
    let mut refused = 0;
    for n in [0, 2] {
        for _ in 0..asked[n] {
            let heard = clients[n].answer();
            assert!(heard.outcome == "served" || heard.outcome == "refused", "{heard:?}");
            refused += usize::from(heard.reason.is_some_and(|r| r.starts_with("not sent")));
        }
    }
    assert!(refused > 0, "what came while the router stood still was refused");
    let text: String = ["w1", "w2"].iter().map(|n| std::fs::read_to_string(trace(n)).unwrap()).collect();
    let lines = slatevalve_trace_checker::trace::read(&text).unwrap();
    let found = slatevalve_trace_checker::check(&terms(7), &lines);
    assert_eq!(found, [], "seen at the workers");
    let by_last = |l: &slatevalve_trace_checker::trace::Line| matches!(&l.seen, slatevalve_trace_checker::trace::Seen::Received { settings, .. } if settings.contains(&6));
    assert!(lines.iter().any(by_last), "attempts tell their documents");
}

/// A small fleet under drawn faults, its clients, and what was asked so far.
struct Play {
    fleet: Fleet,
    routers: Vec<Router>,
    clients: Vec<Client>,
    /// Calls whose answers are owed on each client's connection, by name; and the last one's key.
    owed: Vec<BTreeSet<String>>,
    last: Vec<Option<(String, String)>>,
    still: Vec<bool>,
    registry_still: bool,
    publishers: Vec<Child>,
    documents: u64,
    calls: u16,
    random: u64,
}

impl Play {
    fn draw(&mut self, most: usize) -> usize {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % most
    }

    fn ask(&mut self, router: usize) {
        self.calls += 1;
        let new = (format!("call=c{} work-us=2000", self.calls), format!("k{}", self.calls));
        // One in four repeats the last one, by its key.
        let again = self.last[router].clone().filter(|_| self.draw(4) == 0);
        let (name, key) = again.unwrap_or(new);
        self.clients[router].publish("charge/visa", self.calls, Some(&key), &name, false);
        self.owed[router].insert(name.clone());
        self.last[router] = Some((name, key));
    }

    /// A command that publishes, and is not waited for.
    fn begin_change(&mut self) {
        self.documents += 1;
        let forms = match self.draw(3) {
            0 => UNSAFE.to_string(),
            _ => KEYED.replace("9000", &(9_000 + self.documents).to_string()),
        };
        let file = self.fleet.file(&format!("{}.scm", self.documents), &forms);
        self.publishers.push(self.fleet.spawn(&["publish", path(&file), "--why", "drawn"]));
    }

    fn registry_stands(&mut self, still: bool) {
        self.registry_still = still;
        self.fleet.registry.signal(if still { "STOP" } else { "CONT" });
    }

    fn stands(&mut self, router: usize, still: bool) {
        self.still[router] = still;
        self.routers[router].process.signal(if still { "STOP" } else { "CONT" });
    }

    fn step(&mut self) {
        for router in 0..self.routers.len() {
            let calls = 1 + self.draw(3);
            (0..calls).for_each(|_| self.ask(router));
        }
        let router = self.draw(self.routers.len());
        match self.draw(10) {
            0..=3 => self.begin_change(),
            4 => {
                let still = !self.still[router];
                self.stands(router, still);
            }
            5 => {
                let still = !self.registry_still;
                self.registry_stands(still);
            }
            6 => {
                // Killed and started again at once; what was asked of it is lost with its connection.
                let _ = self.routers[router].process.child.kill();
                let _ = self.routers[router].process.child.wait();
                if self.registry_still {
                    self.registry_stands(false);
                }
                self.routers[router] = self.fleet.router(&format!("r{router}"));
                self.clients[router] = Client::connect(self.routers[router].process.address, "c", false);
                (self.still[router], self.last[router]) = (false, None);
                self.owed[router].clear();
            }
            7 => {
                if let Some(mut child) = self.publishers.pop() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(20 + self.draw(250) as u64));
    }

    /// Faults end: what is under way must end, and all answers come.
    fn end(&mut self) {
        self.registry_stands(false);
        (0..self.routers.len()).for_each(|router| self.stands(router, false));
        for mut child in std::mem::take(&mut self.publishers) {
            let _ = child.kill();
            let _ = child.wait();
        }
        until("the change to end", || self.fleet.status()["prepared"].is_null());
        let committed = self.fleet.status()["committed"]["number"].clone();
        for router in 0..self.routers.len() {
            let name = format!("r{router}");
            until("all to act by it", || self.fleet.acts_by(&name) == [json!([committed])]);
            while !self.owed[router].is_empty() {
                let heard = self.clients[router].answer_or(|| self.routers[router].log());
                assert_ne!(heard.outcome, "failed", "{heard:?} {}", self.routers[router].log());
                self.owed[router].remove(&heard.call);
            }
        }
    }
}

/// Gives how many attempts the workers saw, and what of them broke a rule.
fn play(seed: u64) -> (usize, Vec<slatevalve_trace_checker::Violation>) {
    let directory = tempfile::tempdir().unwrap();
    let trace = |name: &str| directory.path().join(format!("{name}.trace"));
    let names = ["w1", "w2"];
    let workers = names.map(|name| {
        Process::start(
            &["worker", "--name", name, "--load-on-call", "--load-ms", "1", "--trace", path(&trace(name))],
            None,
        )
    });
    let mut fleet = Fleet::before(if seed.is_multiple_of(2) { "give-up" } else { "go-on" }, &[]);
    fleet.workers = workers.iter().zip(names).map(|(w, n)| (n.to_string(), w.address)).collect();
    assert_eq!(fleet.publish(UNSAFE, "5").0, Some(0));
    let routers: Vec<Router> = (0..3).map(|n| fleet.router(&format!("r{n}"))).collect();
    let clients = routers.iter().map(|r| Client::connect(r.process.address, "c", false)).collect();
    let (still, owed, last, publishers) =
        (vec![false; 3], vec![BTreeSet::new(); 3], vec![None; 3], Vec::new());
    let mut play = Play {
        fleet,
        routers,
        clients,
        owed,
        last,
        still,
        registry_still: false,
        publishers,
        documents: 1,
        calls: 0,
        random: seed,
    };
    (0..14).for_each(|_| play.step());
    play.end();
    let text: String = names.iter().map(|n| std::fs::read_to_string(trace(n)).unwrap()).collect();
    let lines = slatevalve_trace_checker::trace::read(&text).unwrap();
    let history = play.fleet.settings(&["history"]).1;
    let history: Vec<(u64, String)> = history
        .as_array()
        .unwrap()
        .iter()
        .map(|d| (d["number"].as_u64().unwrap(), d["digest"].to_string()))
        .collect();
    let differ = |a: &(u64, String), b: &(u64, String)| a.0 < b.0 && a.1 != b.1;
    let pairs =
        history.iter().flat_map(|a| history.iter().filter(move |b| differ(a, b)).map(move |b| (a.0, b.0)));
    let mut terms = terms(0);
    terms.settings =
        Some(slatevalve_trace_checker::SettingsTerms { contradict: pairs.collect(), bound_us: 1_000_000 });
    let found = slatevalve_trace_checker::check(&terms, &lines);
    let wanted = |v: &slatevalve_trace_checker::Violation| {
        matches!(v.rule, slatevalve_trace_checker::Rule::Agreement | slatevalve_trace_checker::Rule::Effects)
    };
    (lines.len(), found.into_iter().filter(wanted).collect())
}

/// `AGREED_PLAYS=300` plays more seeds, four at a time.
#[test]
fn drawn_faults_leave_no_contradiction_and_every_change_ends() {
    let plays: u64 = std::env::var("AGREED_PLAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    let next = std::sync::atomic::AtomicU64::new(1);
    let lanes = if plays > 3 { 4 } else { 1 };
    std::thread::scope(|scope| {
        for _ in 0..lanes {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed > plays {
                    return;
                }
                let (lines, found) = play(seed);
                println!("seed {seed}: {lines} lines, {} broken", found.len());
                assert_eq!(found, [], "seed {seed}");
                assert!(lines > 20, "seed {seed}: the workers saw next to nothing");
            });
        }
    });
}

/// A router's reading of documents, without a router.
struct Reader(slatevalve_gateway::settings::Agreed);

impl Reader {
    fn new() -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("own.scm");
        std::fs::write(
            &file,
            "(gateway (name \"g\")) (mqtt (listen \"127.0.0.1:0\")) (agreed (registry \"127.0.0.1:1\"))",
        )
        .unwrap();
        Reader(slatevalve_gateway::settings::Agreed::read(&file).unwrap().unwrap().1)
    }

    fn site(&mut self, texts: &[&str], open: &[usize]) -> slatevalve_gateway::settings::Site {
        let document = |(n, text): (usize, &&str)| {
            let (text, digest, who, why) =
                (format!("{text}{COMMON}"), String::new(), String::new(), String::new());
            let (number, expiry_policy, lease_us) =
                (n as u64 + 1, slatevalve_config_versioning::LeaseExpiryPolicy::GoOn, 1);
            slatevalve_config_versioning::Document {
                number,
                parent: 0,
                digest,
                text,
                who,
                why,
                expiry_policy,
                lease_us,
            }
        };
        let documents: Vec<_> = texts.iter().enumerate().map(document).collect();
        let open = open.iter().map(|c| slatevalve::ClassId(*c)).collect();
        let clock = slatevalve_gateway::clock::Clock::start();
        self.0.site(&documents.iter().collect::<Vec<_>>(), &open, &clock).unwrap()
    }
}

/// The place of the class of charges, its effect, and the effect of every place of that name.
fn charge(site: &slatevalve_gateway::settings::Site) -> (usize, slatevalve::Effect, Vec<slatevalve::Effect>) {
    let place = site.front.routes.find("charge/visa").unwrap().class.0;
    let effect = |at: usize| site.engine.module.classes[at].effect;
    let named = site.classes.iter().enumerate().filter(|(_, name)| *name == "charge");
    (place, effect(place), named.map(|(at, _)| effect(at)).collect())
}

#[test]
fn a_class_gets_another_place_only_where_open_calls_would_be_loosened() {
    use slatevalve::{Effect, Group, Micros};
    let keyed = Effect::Keyed { group: Group::All, memory: Micros(9_000_000) };
    let mut reader = Reader::new();
    let (first, effect, _) = charge(&reader.site(&[UNSAFE], &[]));
    assert_eq!(effect, Effect::Unsafe);
    // Nothing is open: it becomes looser in its place, and stricter in the meet and after it.
    assert_eq!(charge(&reader.site(&[KEYED], &[])), (first, keyed, vec![keyed]));
    assert_eq!(
        charge(&reader.site(&[KEYED, UNSAFE], &[first])),
        (first, Effect::Unsafe, vec![Effect::Unsafe])
    );
    assert_eq!(charge(&reader.site(&[UNSAFE], &[first])).0, first);
    // Calls are open: what is looser is for those that come.
    let site = reader.site(&[KEYED], &[first]);
    let (second, effect, all) = charge(&site);
    assert!(second != first && effect == keyed && all.contains(&Effect::Unsafe) && all.len() == 2);
    assert_eq!(site.engine.key_spaces[first], site.engine.key_spaces[second], "the keys are the same");
    assert_ne!(
        site.engine.key_spaces[first],
        site.engine.key_spaces[site.front.routes.find("quote/x").unwrap().class.0]
    );
    // Open calls of the earlier place become stricter with the class, never looser.
    let shorter = KEYED.replace("9000", "4000");
    let (third, _, _) = charge(&reader.site(&[&shorter], &[first, second]));
    assert_eq!(third, second);
    let all = charge(&reader.site(&[UNSAFE], &[first, second])).2;
    assert_eq!(all, vec![Effect::Unsafe; 2]);
    // A place that nobody has calls in is used again: places do not grow with the number of changes.
    for _ in 0..50 {
        let at = charge(&reader.site(&[UNSAFE], &[])).0;
        let site = reader.site(&[KEYED], &[at]);
        assert!(site.classes.len() <= 4, "{:?}", site.classes);
    }
}

#[test]
fn the_rules_of_two_documents_are_the_strictest_of_both() {
    let one = format!("{UNSAFE}(limits (max-attempts 2)) (rules (drain-grace-ms 300)) (worker \"w\" (address \"127.0.0.1:1\") (cell 1))
        (loading (ration (window-ms 1000) (free 5) (share 0.5)))");
    let two = format!("{KEYED}(limits (max-attempts 5)) (rules (drain-grace-ms 200)) (worker \"w\" (address \"127.0.0.1:1\") (cell 2))
        (worker \"new\" (address \"127.0.0.1:2\")) (loading (ration (window-ms 2000) (free 9) (share 0.1)))");
    let site = Reader::new().site(&[&one, &two], &[]);
    let module = &site.engine.module;
    assert_eq!((module.limits.max_attempts, module.rules.drain_grace.0), (2, 200_000));
    let loading = &module.loading;
    assert_eq!((loading.ration_window.0, loading.ration_free, loading.ration_share), (2_000_000, 5.0, 0.1));
    let states: Vec<_> = site.workers.iter().map(|w| w.entry.state).collect();
    assert_eq!(
        states,
        [slatevalve::WorkerState::Draining; 2],
        "where one is and whether the other is there is in doubt"
    );
    let after = Reader::new().site(&[&two], &[]);
    assert!(after.workers.iter().all(|w| w.entry.state == slatevalve::WorkerState::Ready));
}
