//! Random faults while documents change; the workers' traces are checked for violations.

use super::support::documents::{Documents as Fleet, UNSAFE};
use super::support::*;
use super::{path, Router, KEYED};
use serde_json::json;
use slatevalve_trace_checker::trace::{self, Line, TraceEvent};
use slatevalve_trace_checker::*;
use std::collections::BTreeSet;
use std::process::Child;
use std::time::Duration;

/// The trace checker's terms; any two documents with numbers up to `last` contradict each other.
fn terms(last: u64) -> Terms {
    let class =
        |effect| ClassTerms { effect, latency_objective_us: 1, priority_weight: 1.0, late_value: 1.0 };
    let classes = [("quote", EffectTerms::Safe), ("charge", EffectTerms::Unsafe)];
    let contradictions = (1..=last).flat_map(|a| (a + 1..=last).map(move |b| (a, b))).collect();
    Terms {
        classes: classes.map(|(name, effect)| (name.to_string(), class(effect))).into(),
        workers: Default::default(),
        answer_slack_us: 0,
        drain_grace_us: 1,
        overload_multiple: 1e9,
        overload_window_us: 1,
        load_quota_window_us: 0,
        load_quota_free: 0.0,
        load_quota_share: 0.0,
        settings: Some(SettingsTerms { contradictions, bound_us: 1_000_000 }),
    }
}

#[test]
fn workers_see_no_contradicting_attempts_while_routers_are_paused_and_killed_during_changes() {
    let directory = tempfile::tempdir().unwrap();
    let trace = |name: &str| directory.path().join(format!("{name}.trace"));
    let worker = |name: &str| {
        Process::start(
            &["worker", "--name", name, "--load-on-call", "--load-ms", "1", "--trace", path(&trace(name))],
            None,
        )
    };
    let workers = ["w1", "w2"].map(worker);
    let mut fleet = Fleet::with_workers("give-up", &[]);
    fleet.workers = workers.iter().zip(["w1", "w2"]).map(|(w, n)| (n.to_string(), w.address)).collect();
    assert_eq!(fleet.publish(UNSAFE, "5").0, Some(0));
    let mut routers = ["a", "b", "c"].map(|name| Some(fleet.router(name)));
    let mut clients =
        routers.each_ref().map(|r| Client::connect(r.as_ref().unwrap().process.address, "c", false));
    let mut calls = [0u16; 3];
    for round in 0..6u16 {
        for (n, client) in clients.iter_mut().enumerate().filter(|(n, _)| routers[*n].is_some()) {
            for _ in 0..8 {
                calls[n] += 1;
                let name = format!("call={n}-{} work-us=1000", calls[n]);
                client.publish("charge/visa", calls[n], Some(&format!("k{n}-{}", calls[n])), &name, false);
            }
        }
        match round {
            1 => routers[2].as_ref().unwrap().process.signal("STOP"),
            3 => {
                // The router was paused for longer than the bound, with charges waiting for it. When it
                // resumes, the registry does not answer its requests.
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
        for _ in 0..calls[n] {
            let answer = clients[n].answer();
            assert!(answer.outcome == "served" || answer.outcome == "refused", "{answer:?}");
            refused += usize::from(answer.reason.is_some_and(|r| r.starts_with("not sent")));
        }
    }
    assert!(refused > 0, "charges that arrived while the router was paused must be refused");
    let text: String = ["w1", "w2"].iter().map(|n| std::fs::read_to_string(trace(n)).unwrap()).collect();
    let lines = trace::read(&text).unwrap();
    let found = check(&terms(7), &lines);
    assert_eq!(found, [], "violations in the workers' traces");
    let under_last =
        |l: &Line| matches!(&l.event, TraceEvent::Received { settings, .. } if settings.contains(&6));
    assert!(lines.iter().any(under_last), "attempts carry the numbers of their documents");
}

/// A small fleet under random faults, its clients, and the calls made so far.
struct FaultyFleet {
    fleet: Fleet,
    routers: Vec<Router>,
    clients: Vec<Client>,
    /// Names of the calls without an answer, by client.
    unanswered: Vec<BTreeSet<String>>,
    /// Name and key of each client's last call.
    last: Vec<Option<(String, String)>>,
    stopped: Vec<bool>,
    registry_stopped: bool,
    publishers: Vec<Child>,
    documents: u64,
    calls: u16,
    random: u64,
}

impl FaultyFleet {
    fn random_below(&mut self, limit: usize) -> usize {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % limit
    }

    fn call(&mut self, router: usize) {
        self.calls += 1;
        let new = (format!("call=c{} work-us=2000", self.calls), format!("k{}", self.calls));
        // One call in four repeats the last one with its key.
        let repeated = self.last[router].clone().filter(|_| self.random_below(4) == 0);
        let (name, key) = repeated.unwrap_or(new);
        self.clients[router].publish("charge/visa", self.calls, Some(&key), &name, false);
        self.unanswered[router].insert(name.clone());
        self.last[router] = Some((name, key));
    }

    /// Starts a command that publishes a document, without waiting for its end.
    fn begin_change(&mut self) {
        self.documents += 1;
        let forms = match self.random_below(3) {
            0 => UNSAFE.to_string(),
            _ => KEYED.replace("9000", &(9_000 + self.documents).to_string()),
        };
        let file = self.fleet.file(&format!("{}.scm", self.documents), &forms);
        self.publishers.push(self.fleet.spawn(&["publish", path(&file), "--why", "drawn"]));
    }

    fn set_registry_stopped(&mut self, stopped: bool) {
        self.registry_stopped = stopped;
        self.fleet.registry.signal(if stopped { "STOP" } else { "CONT" });
    }

    fn set_router_stopped(&mut self, router: usize, stopped: bool) {
        self.stopped[router] = stopped;
        self.routers[router].process.signal(if stopped { "STOP" } else { "CONT" });
    }

    fn step(&mut self) {
        for router in 0..self.routers.len() {
            let calls = 1 + self.random_below(3);
            (0..calls).for_each(|_| self.call(router));
        }
        let router = self.random_below(self.routers.len());
        match self.random_below(10) {
            0..=3 => self.begin_change(),
            4 => {
                let stopped = !self.stopped[router];
                self.set_router_stopped(router, stopped);
            }
            5 => {
                let stopped = !self.registry_stopped;
                self.set_registry_stopped(stopped);
            }
            6 => {
                // Killed and restarted at once; calls in progress are lost with the client's connection.
                let _ = self.routers[router].process.child.kill();
                let _ = self.routers[router].process.child.wait();
                if self.registry_stopped {
                    self.set_registry_stopped(false);
                }
                self.routers[router] = self.fleet.router(&format!("r{router}"));
                self.clients[router] = Client::connect(self.routers[router].process.address, "c", false);
                (self.stopped[router], self.last[router]) = (false, None);
                self.unanswered[router].clear();
            }
            7 => {
                if let Some(mut child) = self.publishers.pop() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(20 + self.random_below(250) as u64));
    }

    /// Ends all faults. The change in progress must complete, and every call must get its answer.
    fn finish(&mut self) {
        self.set_registry_stopped(false);
        (0..self.routers.len()).for_each(|router| self.set_router_stopped(router, false));
        for mut child in std::mem::take(&mut self.publishers) {
            let _ = child.kill();
            let _ = child.wait();
        }
        until("the change to complete", || self.fleet.status()["prepared"].is_null());
        let committed = self.fleet.status()["committed"]["number"].clone();
        for router in 0..self.routers.len() {
            let name = format!("r{router}");
            until("all routers to apply the committed document", || {
                self.fleet.active_documents(&name) == [json!([committed])]
            });
            while !self.unanswered[router].is_empty() {
                let answer = self.clients[router].answer_or(|| self.routers[router].log());
                assert_ne!(answer.outcome, "failed", "{answer:?} {}", self.routers[router].log());
                self.unanswered[router].remove(&answer.call);
            }
        }
    }
}

/// Runs one seed; returns the number of lines in the workers' traces and the violations of the rules checked
/// here.
fn run(seed: u64) -> (usize, Vec<Violation>) {
    let directory = tempfile::tempdir().unwrap();
    let trace = |name: &str| directory.path().join(format!("{name}.trace"));
    let names = ["w1", "w2"];
    let workers = names.map(|name| {
        Process::start(
            &["worker", "--name", name, "--load-on-call", "--load-ms", "1", "--trace", path(&trace(name))],
            None,
        )
    });
    let mut fleet = Fleet::with_workers(if seed.is_multiple_of(2) { "give-up" } else { "go-on" }, &[]);
    fleet.workers = workers.iter().zip(names).map(|(w, n)| (n.to_string(), w.address)).collect();
    assert_eq!(fleet.publish(UNSAFE, "5").0, Some(0));
    let routers: Vec<Router> = (0..3).map(|n| fleet.router(&format!("r{n}"))).collect();
    let clients = routers.iter().map(|r| Client::connect(r.process.address, "c", false)).collect();
    let (stopped, unanswered, last, publishers) =
        (vec![false; 3], vec![BTreeSet::new(); 3], vec![None; 3], Vec::new());
    let mut run = FaultyFleet {
        fleet,
        routers,
        clients,
        unanswered,
        last,
        stopped,
        registry_stopped: false,
        publishers,
        documents: 1,
        calls: 0,
        random: seed,
    };
    (0..14).for_each(|_| run.step());
    run.finish();
    let text: String = names.iter().map(|n| std::fs::read_to_string(trace(n)).unwrap()).collect();
    let lines = trace::read(&text).unwrap();
    let history = run.fleet.settings(&["history"]).1;
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
    terms.settings = Some(SettingsTerms { contradictions: pairs.collect(), bound_us: 1_000_000 });
    let found = check(&terms, &lines);
    let is_relevant = |v: &Violation| matches!(v.rule, Rule::Agreement | Rule::Effects);
    (lines.len(), found.into_iter().filter(is_relevant).collect())
}

/// `AGREED_PLAYS=300` runs seeds 1 to 300, four at a time; the default is 3 seeds.
#[test]
fn random_faults_cause_no_contradiction_and_every_change_completes() {
    let seeds: u64 = std::env::var("AGREED_PLAYS").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    let next = std::sync::atomic::AtomicU64::new(1);
    let threads = if seeds > 3 { 4 } else { 1 };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed > seeds {
                    return;
                }
                let (lines, found) = run(seed);
                println!("seed {seed}: {lines} lines, {} violations", found.len());
                assert_eq!(found, [], "seed {seed}");
                assert!(lines > 20, "seed {seed}: only {lines} lines in the workers' traces");
            });
        }
    });
}
