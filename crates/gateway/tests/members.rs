//! Workers and routers by the registry, over real sockets: drains within the grace, breaks longer than the history, a
//! registry that is down at the start, and operators' commands.

mod support;

use serde_json::{json, Value};
use slatevalve_worker_protocol::Reply;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::*;

const SITE: &str = r#"
(class "quote" (effect safe) (aim-ms 3000) (deadline-ms 12000))
(route "quote/+" (class "quote") (function "{2}"))
"#;

/// A registry and gateways that follow it.
struct Registry {
    process: Option<Process>,
    address: String,
    directory: tempfile::TempDir,
}

fn unix_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as i64
}

impl Registry {
    fn start(plan: Value) -> Self {
        let process = Process::start(&["kv", "--plan", &plan.to_string()], None);
        let address = process.address.to_string();
        Registry { process: Some(process), address, directory: tempfile::tempdir().unwrap() }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn members(&self, arguments: &[&str]) -> Result<Value, String> {
        let output = command(&[&["members", "--json", "--registry", &self.address], arguments].concat());
        match output.status.success() {
            true => Ok(serde_json::from_slice(&output.stdout).unwrap()),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        }
    }

    /// Names of the listed workers, with their state.
    fn workers(&self) -> Vec<(String, String)> {
        let rows = self.members(&["list"]).unwrap();
        let row =
            |r: &Value| Some((r["worker"].as_str()?.to_string(), r["record"]["state"].as_str()?.to_string()));
        rows.as_array().unwrap().iter().filter_map(row).collect()
    }

    /// Names of the workers that a gateway knows which records its news in `news.jsonl`, in order.
    fn recorded_workers(&self) -> BTreeSet<String> {
        let text = std::fs::read_to_string(self.path("news.jsonl")).unwrap_or_default();
        let mut known = BTreeSet::new();
        // The last line may not be whole yet.
        for line in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
            let line: Value = serde_json::from_str(line).unwrap();
            if let Some(all) = line["news"]["full"].as_object() {
                known = all.keys().cloned().collect();
            }
            for change in line["news"]["changes"].as_array().into_iter().flatten() {
                let name = change[0].as_str().unwrap().to_string();
                match change[1].is_null() {
                    true => known.remove(&name),
                    false => known.insert(name),
                };
            }
        }
        known
    }

    fn site(&self, more: &str) -> String {
        format!(
            "{SITE}(rules (drain-grace-ms 250)) (members (registry \"{}\") (ttl-s 3) (timeout-ms 500) (look-ms 200) (silence-ms 1500) {more})",
            self.address
        )
    }

    fn gateway(&self, more: &str) -> Gateway {
        Gateway::start(&self.site(more), &[])
    }

    /// A stand-in worker that registers itself.
    fn worker(&self, name: &str) -> Process {
        Process::start(&["worker", "--name", name, "--registry", &self.address, "--load-on-call"], None)
    }

    /// A test's own worker, registered by hand: its key has no lease.
    fn register(&self, name: &str, worker: &Worker) {
        let record = json!({"address": worker.address});
        self.put(&format!("/slatevalve/workers/{name}"), &record.to_string());
    }

    fn put(&self, key: &str, value: &str) {
        self.post("/v3/kv/put", &json!({"key": registry_bytes(key), "value": registry_bytes(value)}));
    }

    fn post(&self, path: &str, body: &Value) {
        ask_registry(&self.address, path, body);
    }
}

fn honest() -> Worker {
    Worker::start(|call, _| Act::Answer(Reply::Served { payload: call.payload.clone(), ran: None }))
}

/// Calls that workers which just started serve; a cold one is spared, so some are refused, and none fails.
fn served_some(client: &mut Client, gateway: &Gateway, from: u16, count: u16) {
    let mut served = 0;
    for n in from..from + count {
        client.publish(&format!("quote/f{}", n % 7), n, None, &format!("q{n}"), false);
        let heard = client.answer_or(|| gateway.log());
        assert_ne!(heard.outcome, "failed", "{heard:?}");
        served += usize::from(heard.outcome == "served");
    }
    assert!(served > 0, "{}", gateway.log());
}

fn served(client: &mut Client, gateway: &Gateway, from: u16, count: u16) {
    for n in from..from + count {
        client.publish(&format!("quote/f{}", n % 7), n, None, &format!("q{n}"), false);
        assert_eq!(client.answer_or(|| gateway.log()).outcome, "served", "{}", gateway.log());
    }
}

#[test]
fn workers_that_register_serve_drain_and_leave_and_routers_see_each_other() {
    let registry = Registry::start(json!({}));
    let workers = ["a", "b", "c"].map(|name| registry.worker(name));
    let gateway = registry.gateway(&format!("(record {:?})", registry.path("news.jsonl")));
    until("all workers to be listed", || registry.workers().len() == 3);
    until("the gateway to know them", || registry.recorded_workers().into_iter().eq(["a", "b", "c"]));
    let mut client = Client::connect(gateway.address(), "a", false);
    served_some(&mut client, &gateway, 1, 15);
    // One drains at an operator's word, one by itself, and comes back at an operator's word.
    registry.members(&["drain", "a"]).unwrap();
    workers[1].signal("USR1");
    until("both to drain", || registry.workers().iter().filter(|w| w.1 == "draining").count() == 2);
    until("the gateway to hear of both", || gateway.log().matches("state=Draining").count() == 2);
    served_some(&mut client, &gateway, 100, 15);
    registry.members(&["ready", "a"]).unwrap();
    // One leaves in order: its lease is given back, not waited out.
    workers[2].signal("TERM");
    until("it to be gone", || !registry.workers().iter().any(|w| w.0 == "c"));
    until("the gateway to hear of it", || gateway.log().contains("worker is gone"));
    served_some(&mut client, &gateway, 200, 15);
    let second = Gateway::start_named("h", &registry.site(""), &[]);
    until("the routers to see each other", || {
        gateway.log().contains("routers=2") || second.log().contains("routers=2")
    });
    assert!(registry.members(&["drain", "nobody"]).unwrap_err().contains("no worker nobody"));
}

#[test]
fn nothing_new_reaches_a_worker_that_drains_beyond_the_grace() {
    let registry = Registry::start(json!({}));
    let (first, second) = (honest(), honest());
    registry.register("first", &first);
    registry.register("second", &second);
    let gateway = registry.gateway("");
    until("both to be known", || gateway.log().contains("workers=2"));
    let mut client = Client::connect(gateway.address(), "a", false);
    served(&mut client, &gateway, 1, 60);
    assert!(first.calls() > 0 && second.calls() > 0);
    let (drained, other) =
        if first.calls() >= second.calls() { ("first", &second) } else { ("second", &first) };
    let of_drained = if drained == "first" { &first } else { &second };
    registry.members(&["drain", drained]).unwrap();
    until("the gateway to hear of it", || gateway.log().contains("state=Draining"));
    std::thread::sleep(Duration::from_millis(250));
    let before = (of_drained.calls(), other.calls());
    served(&mut client, &gateway, 100, 60);
    assert_eq!((of_drained.calls(), other.calls() >= before.1 + 60), (before.0, true));
}

#[test]
fn a_drain_within_a_break_longer_than_the_history_is_not_missed() {
    let now = unix_us();
    // Connections break for a while; in the middle all history is forgotten, twice.
    let fault =
        |from: i64, to: i64, kind: Value| json!({"from_us": now + from, "to_us": now + to, "kind": kind});
    let registry = Registry::start(json!({"faults": [
        fault(4_000_000, 7_000_000, json!("stall")),
        fault(6_500_000, 6_500_000, json!("compact")),
    ]}));
    let (first, second) = (honest(), honest());
    registry.register("first", &first);
    registry.register("second", &second);
    let gateway = registry.gateway("");
    until("both to be known", || gateway.log().contains("workers=2"));
    let mut client = Client::connect(gateway.address(), "a", false);
    served(&mut client, &gateway, 1, 40);
    until("the gateway to lose the registry", || gateway.log().contains("nothing is heard of the registry"));
    // It goes on with what it knew.
    served(&mut client, &gateway, 100, 20);
    until("the registry to answer again", || registry.members(&["drain", "first"]).is_ok());
    until("the gateway to hear of it", || {
        let log = gateway.log();
        log.contains("state=Draining") || log.rfind("scope=Full") > log.find("nothing is heard")
    });
    std::thread::sleep(Duration::from_millis(500));
    let before = first.calls();
    served(&mut client, &gateway, 200, 40);
    assert_eq!(first.calls(), before, "{}", gateway.log());
}

#[test]
fn with_the_registry_down_at_the_start_the_last_list_serves_until_it_is_back() {
    let mut registry = Registry::start(json!({}));
    let (first, second) = (honest(), honest());
    registry.register("first", &first);
    let remember = format!("(remember {:?})", registry.path("list.json"));
    let gateway = registry.gateway(&remember);
    let mut client = Client::connect(gateway.address(), "a", false);
    served(&mut client, &gateway, 1, 5);
    until("the list to be kept", || registry.path("list.json").exists());
    drop(gateway);
    let address = registry.address.clone();
    registry.process = None;
    let gateway = registry.gateway(&remember);
    assert!(gateway.log().contains("loaded the worker snapshot"), "{}", gateway.log());
    let mut client = Client::connect(gateway.address(), "a", false);
    served(&mut client, &gateway, 1, 5);
    // Back, and empty: who is not in it is gone; who is new serves.
    registry.process = Some(Process::start(&["kv", "--listen", &address], None));
    registry.register("second", &second);
    until("the new list", || gateway.log().contains("scope=Full"));
    until("the new worker to be known", || {
        gateway.log().contains("worker=\"second\"") || gateway.log().contains("workers=1")
    });
    let start = Instant::now();
    let mut number = 100;
    while second.calls() == 0 {
        served(&mut client, &gateway, number, 1);
        number += 1;
        assert!(start.elapsed() < PATIENCE, "{}", gateway.log());
    }
    let before = first.calls();
    served(&mut client, &gateway, 5_000, 20);
    assert_eq!(first.calls(), before);
}

#[test]
fn what_was_recorded_is_played_again_without_a_registry() {
    let registry = Registry::start(json!({}));
    let worker = honest();
    registry.register("first", &worker);
    let gateway = registry.gateway(&format!("(record {:?})", registry.path("news.jsonl")));
    until("it to be known", || gateway.log().contains("workers=1"));
    registry.members(&["drain", "first"]).unwrap();
    until("the drain to be recorded", || {
        std::fs::read_to_string(registry.path("news.jsonl")).unwrap_or_default().contains("draining")
    });
    drop(gateway);
    let site = format!("{SITE}(members (replay {:?}))", registry.path("news.jsonl"));
    let gateway = Gateway::start(&site, &[]);
    until("the drain to be played", || gateway.log().contains("state=Draining"));
    std::fs::write(registry.path("news.jsonl"), "{\"at_us\":0}\n").unwrap();
    let file = registry.path("bad.scm");
    std::fs::write(&file, format!("(gateway)(mqtt (listen \"127.0.0.1:0\")){site}")).unwrap();
    let refused = command(&["run", file.to_str().unwrap()]);
    let words = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(words.contains("news.jsonl: line 1"), "{words}");
}

#[test]
fn half_the_routers_losing_their_leases_at_once_makes_nobody_believe_that_it_is_alone() {
    let now = unix_us();
    let expire = json!({"from_us": now + 3_000_000, "to_us": now + 3_000_000, "kind": "expire-half"});
    let registry = Registry::start(json!({"faults": [expire]}));
    let names = ["r1", "r2", "r3", "r4"];
    let routers = names.map(|name| Gateway::start_named(name, &registry.site(""), &[]));
    until("all to see each other", || routers.iter().any(|r| r.log().contains("routers=4")));
    until("a lease to be lost", || routers.iter().any(|r| r.log().contains("our lease was lost")));
    until("all to be registered again", || {
        registry
            .members(&["list"])
            .unwrap()
            .as_array()
            .unwrap()
            .iter()
            .filter(|r| !r["router"].is_null())
            .count()
            == 4
    });
    for router in &routers {
        let log = router.log();
        let after = &log[log.find("routers=").unwrap_or(0)..];
        assert!(
            !after.contains("routers=1") && !after.contains("routers=2\n") || after.contains("routers=4"),
            "{log}"
        );
    }
}

#[test]
fn a_flood_of_changes_costs_no_call_and_leaves_the_right_list() {
    let registry = Registry::start(json!({"faults": [{"from_us": 0, "to_us": i64::MAX, "kind": "split"}]}));
    let worker = honest();
    registry.register("w", &worker);
    let gateway = registry.gateway("");
    until("it to be known", || gateway.log().contains("workers=1"));
    let mut client = Client::connect(gateway.address(), "a", false);
    let address = registry.address.clone();
    let flood = std::thread::spawn(move || {
        let registry = Registry { process: None, address, directory: tempfile::tempdir().unwrap() };
        for n in 0..1_500 {
            // Workers that come and go, none of which could serve.
            let key = format!("/slatevalve/workers/x{}", n % 85);
            match n % 3 {
                0 | 1 => registry.put(&key, "{\"address\":\"127.0.0.1:9\",\"state\":\"draining\"}"),
                _ => registry.post("/v3/kv/deleterange", &json!({"key": registry_bytes(&key)})),
            }
        }
    });
    let mut number = 1;
    while !flood.is_finished() {
        served(&mut client, &gateway, number, 1);
        number += 1;
        std::thread::sleep(Duration::from_millis(2));
    }
    flood.join().unwrap();
    let listed = registry.workers();
    registry.register("last", &worker);
    until("the end of the flood", || gateway.log().contains("worker=\"last\""));
    let log = gateway.log();
    assert!(!log.contains("the list is compared anew"), "{log}");
    // Each that is listed was told last as there, each other one as gone.
    let state = |name: &str| {
        let there = log.rfind(&format!("worker=\"{name}\" state"));
        let gone = log.rfind(&format!("worker is gone worker=\"{name}\""));
        there > gone
    };
    let names: Vec<String> = listed.into_iter().map(|w| w.0).collect();
    for n in 0..85 {
        let name = format!("x{n}");
        assert_eq!(state(&name), names.contains(&name), "{name}");
    }
}
