//! Workers and routers that register in a registry, over real sockets: drains within the grace, outages
//! longer than the registry's history, a registry that is down at startup, and operators' commands.

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

/// A registry process and a directory for the files of the gateways that follow it.
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

    /// Names and states of the registered workers.
    fn workers(&self) -> Vec<(String, String)> {
        let rows = self.members(&["list"]).unwrap();
        let row =
            |r: &Value| Some((r["worker"].as_str()?.to_string(), r["record"]["state"].as_str()?.to_string()));
        rows.as_array().unwrap().iter().filter_map(row).collect()
    }

    /// Names of the workers in the list of a gateway that records its membership events in `news.jsonl`.
    fn recorded_workers(&self) -> BTreeSet<String> {
        let text = std::fs::read_to_string(self.path("news.jsonl")).unwrap_or_default();
        let mut known = BTreeSet::new();
        // The gateway may still be writing the last line.
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

    fn site(&self, fields: &str) -> String {
        format!(
            "{SITE}(rules (drain-grace-ms 250)) (members (registry \"{}\") (ttl-s 3) (timeout-ms 500) (look-ms 200) (silence-ms 1500) {fields})",
            self.address
        )
    }

    fn gateway(&self, fields: &str) -> Gateway {
        Gateway::start(&self.site(fields), &[])
    }

    /// Starts the program's own worker command, which registers itself under a lease.
    fn worker(&self, name: &str) -> Process {
        Process::start(&["worker", "--name", name, "--registry", &self.address, "--load-on-call"], None)
    }

    /// Registers a scripted worker. Its key has no lease.
    fn register(&self, name: &str, worker: &Worker) {
        let record = json!({"address": worker.address});
        self.put(&format!("/slatevalve/workers/{name}"), &record.to_string());
    }

    fn put(&self, key: &str, value: &str) {
        self.post("/v3/kv/put", &json!({"key": registry_bytes(key), "value": registry_bytes(value)}));
    }

    fn post(&self, path: &str, body: &Value) {
        post_to_registry(&self.address, path, body);
    }
}

fn echo_worker() -> Worker {
    Worker::start(|call, _| Action::Answer(Reply::Served { payload: call.payload.clone(), ran: None }))
}

/// Makes calls to workers that have just started: some may be refused, as cold workers get fewer calls, but
/// none may fail.
fn assert_none_fails(client: &mut Client, gateway: &Gateway, from: u16, count: u16) {
    let mut served = 0;
    for n in from..from + count {
        client.publish(&format!("quote/f{}", n % 7), n, None, &format!("q{n}"), false);
        let answer = client.answer_or(|| gateway.log());
        assert_ne!(answer.outcome, "failed", "{answer:?}");
        served += usize::from(answer.outcome == "served");
    }
    assert!(served > 0, "{}", gateway.log());
}

/// Makes calls, each of which must be served.
fn assert_served(client: &mut Client, gateway: &Gateway, from: u16, count: u16) {
    for n in from..from + count {
        client.publish(&format!("quote/f{}", n % 7), n, None, &format!("q{n}"), false);
        assert_eq!(client.answer_or(|| gateway.log()).outcome, "served", "{}", gateway.log());
    }
}

#[test]
fn registered_workers_serve_drain_and_leave_and_routers_count_each_other() {
    let registry = Registry::start(json!({}));
    let workers = ["a", "b", "c"].map(|name| registry.worker(name));
    let gateway = registry.gateway(&format!("(record {:?})", registry.path("news.jsonl")));
    until("all workers to be registered", || registry.workers().len() == 3);
    until("the gateway to list all workers", || registry.recorded_workers().into_iter().eq(["a", "b", "c"]));
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_none_fails(&mut client, &gateway, 1, 15);
    // An operator drains `a` and makes it ready again; `b` drains itself on SIGUSR1.
    registry.members(&["drain", "a"]).unwrap();
    workers[1].signal("USR1");
    until("both workers to be registered as draining", || {
        registry.workers().iter().filter(|w| w.1 == "draining").count() == 2
    });
    until("the gateway to receive both drains", || gateway.log().matches("state=Draining").count() == 2);
    assert_none_fails(&mut client, &gateway, 100, 15);
    registry.members(&["ready", "a"]).unwrap();
    // On SIGTERM `c` revokes its lease, so that it is removed before the lease expires.
    workers[2].signal("TERM");
    until("worker c to be unregistered", || !registry.workers().iter().any(|w| w.0 == "c"));
    until("the gateway to receive the removal", || gateway.log().contains("worker is gone"));
    assert_none_fails(&mut client, &gateway, 200, 15);
    let second = Gateway::start_named("h", &registry.site(""), &[]);
    until("a router to count both routers", || {
        gateway.log().contains("routers=2") || second.log().contains("routers=2")
    });
    assert!(registry.members(&["drain", "nobody"]).unwrap_err().contains("no worker nobody"));
}

#[test]
fn a_draining_worker_receives_no_new_call_after_the_grace() {
    let registry = Registry::start(json!({}));
    let (first, second) = (echo_worker(), echo_worker());
    registry.register("first", &first);
    registry.register("second", &second);
    let gateway = registry.gateway("");
    until("the gateway to list both workers", || gateway.log().contains("workers=2"));
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_served(&mut client, &gateway, 1, 60);
    assert!(first.calls() > 0 && second.calls() > 0);
    let (name, other) = if first.calls() >= second.calls() { ("first", &second) } else { ("second", &first) };
    let drained = if name == "first" { &first } else { &second };
    registry.members(&["drain", name]).unwrap();
    until("the gateway to receive the drain", || gateway.log().contains("state=Draining"));
    std::thread::sleep(Duration::from_millis(250));
    let before = (drained.calls(), other.calls());
    assert_served(&mut client, &gateway, 100, 60);
    assert_eq!((drained.calls(), other.calls() >= before.1 + 60), (before.0, true));
}

#[test]
fn a_drain_during_an_outage_longer_than_the_history_is_not_missed() {
    let now = unix_us();
    // The registry stalls for 3 s and compacts its whole history 0.5 s before the end of that.
    let fault =
        |from: i64, to: i64, kind: Value| json!({"from_us": now + from, "to_us": now + to, "kind": kind});
    let registry = Registry::start(json!({"faults": [
        fault(4_000_000, 7_000_000, json!("stall")),
        fault(6_500_000, 6_500_000, json!("compact")),
    ]}));
    let (first, second) = (echo_worker(), echo_worker());
    registry.register("first", &first);
    registry.register("second", &second);
    let gateway = registry.gateway("");
    until("the gateway to list both workers", || gateway.log().contains("workers=2"));
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_served(&mut client, &gateway, 1, 40);
    until("the gateway to report the registry as silent", || {
        gateway.log().contains("nothing is heard of the registry")
    });
    // The gateway continues with its last list.
    assert_served(&mut client, &gateway, 100, 20);
    until("the registry to answer again", || registry.members(&["drain", "first"]).is_ok());
    until("the gateway to receive the drain or a full list", || {
        let log = gateway.log();
        log.contains("state=Draining") || log.rfind("scope=Full") > log.find("nothing is heard")
    });
    std::thread::sleep(Duration::from_millis(500));
    let before = first.calls();
    assert_served(&mut client, &gateway, 200, 40);
    assert_eq!(first.calls(), before, "{}", gateway.log());
}

#[test]
fn a_gateway_uses_its_stored_list_while_the_registry_is_down_at_startup() {
    let mut registry = Registry::start(json!({}));
    let (first, second) = (echo_worker(), echo_worker());
    registry.register("first", &first);
    let stored_list = format!("(remember {:?})", registry.path("list.json"));
    let gateway = registry.gateway(&stored_list);
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_served(&mut client, &gateway, 1, 5);
    until("the list to be stored", || registry.path("list.json").exists());
    drop(gateway);
    let address = registry.address.clone();
    registry.process = None;
    let gateway = registry.gateway(&stored_list);
    assert!(gateway.log().contains("loaded the worker snapshot"), "{}", gateway.log());
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_served(&mut client, &gateway, 1, 5);
    // The registry restarts empty: the worker that it no longer lists is removed, and the new one serves.
    registry.process = Some(Process::start(&["kv", "--listen", &address], None));
    registry.register("second", &second);
    until("the gateway to receive the new list", || gateway.log().contains("scope=Full"));
    until("the gateway to list the new worker", || {
        gateway.log().contains("worker=\"second\"") || gateway.log().contains("workers=1")
    });
    let start = Instant::now();
    let mut number = 100;
    while second.calls() == 0 {
        assert_served(&mut client, &gateway, number, 1);
        number += 1;
        assert!(start.elapsed() < MAX_WAIT, "{}", gateway.log());
    }
    let before = first.calls();
    assert_served(&mut client, &gateway, 5_000, 20);
    assert_eq!(first.calls(), before);
}

#[test]
fn recorded_membership_events_are_replayed_without_a_registry() {
    let registry = Registry::start(json!({}));
    let worker = echo_worker();
    registry.register("first", &worker);
    let gateway = registry.gateway(&format!("(record {:?})", registry.path("news.jsonl")));
    until("the gateway to list the worker", || gateway.log().contains("workers=1"));
    registry.members(&["drain", "first"]).unwrap();
    until("the drain to be recorded", || {
        std::fs::read_to_string(registry.path("news.jsonl")).unwrap_or_default().contains("draining")
    });
    drop(gateway);
    let site = format!("{SITE}(members (replay {:?}))", registry.path("news.jsonl"));
    let gateway = Gateway::start(&site, &[]);
    until("the drain to be replayed", || gateway.log().contains("state=Draining"));
    std::fs::write(registry.path("news.jsonl"), "{\"at_us\":0}\n").unwrap();
    let file = registry.path("bad.scm");
    std::fs::write(&file, format!("(gateway)(mqtt (listen \"127.0.0.1:0\")){site}")).unwrap();
    let refused = command(&["run", file.to_str().unwrap()]);
    let error = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(error.contains("news.jsonl: line 1"), "{error}");
}

#[test]
fn no_router_counts_itself_alone_when_half_the_routers_lose_their_leases_at_once() {
    let now = unix_us();
    let expire = json!({"from_us": now + 3_000_000, "to_us": now + 3_000_000, "kind": "expire-half"});
    let registry = Registry::start(json!({"faults": [expire]}));
    let names = ["r1", "r2", "r3", "r4"];
    let routers = names.map(|name| Gateway::start_named(name, &registry.site(""), &[]));
    until("a router to count all four", || routers.iter().any(|r| r.log().contains("routers=4")));
    until("a router to lose its lease", || routers.iter().any(|r| r.log().contains("our lease was lost")));
    until("all routers to be registered again", || {
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
fn calls_are_served_and_the_list_stays_correct_during_a_flood_of_changes() {
    let registry = Registry::start(json!({"faults": [{"from_us": 0, "to_us": i64::MAX, "kind": "split"}]}));
    let worker = echo_worker();
    registry.register("w", &worker);
    let gateway = registry.gateway("");
    until("the gateway to list the worker", || gateway.log().contains("workers=1"));
    let mut client = Client::connect(gateway.address(), "a", false);
    let address = registry.address.clone();
    let flood = std::thread::spawn(move || {
        let registry = Registry { process: None, address, directory: tempfile::tempdir().unwrap() };
        for n in 0..1_500 {
            // The workers added and removed are all draining, so that none of them receives a call.
            let key = format!("/slatevalve/workers/x{}", n % 85);
            match n % 3 {
                0 | 1 => registry.put(&key, "{\"address\":\"127.0.0.1:9\",\"state\":\"draining\"}"),
                _ => registry.post("/v3/kv/deleterange", &json!({"key": registry_bytes(&key)})),
            }
        }
    });
    let mut number = 1;
    while !flood.is_finished() {
        assert_served(&mut client, &gateway, number, 1);
        number += 1;
        std::thread::sleep(Duration::from_millis(2));
    }
    flood.join().unwrap();
    let listed = registry.workers();
    registry.register("last", &worker);
    until("the gateway to receive the last change", || gateway.log().contains("worker=\"last\""));
    let log = gateway.log();
    assert!(!log.contains("the list is compared anew"), "{log}");
    // The last log line about a worker reports it as present if it is registered, and as gone otherwise.
    let is_present = |name: &str| {
        let present = log.rfind(&format!("worker=\"{name}\" state"));
        let gone = log.rfind(&format!("worker is gone worker=\"{name}\""));
        present > gone
    };
    let names: Vec<String> = listed.into_iter().map(|w| w.0).collect();
    for n in 0..85 {
        let name = format!("x{n}");
        assert_eq!(is_present(&name), names.contains(&name), "{name}");
    }
}
