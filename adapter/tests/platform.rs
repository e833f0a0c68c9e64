//! One story told on the simulator's wire and on the platform's sockets: the module is told the same and wants the same.
//!
//! It guards against a router on sockets that decides otherwise than the one that was measured. The platform's side is
//! its front and the engine, as the gateway runs them, without sockets.

use rmp::encode;
use serde_json::{json, Value};
use slatevalve::{
    CellId, KindId, Listing, Micros, Outcome, Report, Scope, WorkerEntry, WorkerId, WorkerState, ZoneId,
};
use slatevalve_engine::{function_id, worker_id, AttemptEnd, AttemptRef, Engine, EngineSettings, Output};
use slatevalve_platform::front::{Front, FrontOutput, FrontSettings, LinkId};
use slatevalve_site_config::SiteConfig;
use std::collections::HashMap;
use std::io::Write;
use std::process::{Command, Stdio};

fn settings() -> Value {
    json!({
        "categories": [{"name": "quote", "aim": 800.0, "deadline": 3000.0, "effect": "pure", "points": 2.0},
            {"name": "booking", "aim": 1500.0, "deadline": 3000.0, "effect": "token", "group": "cell",
                "key_ttl": 6000.0, "points": 3.0},
            {"name": "charge", "aim": 1200.0, "deadline": 3000.0, "effect": "side_effect", "points": 3.0}],
        "zones": ["a", "b"], "my_zone": "b", "machine_types": ["duo"], "instances": 3, "step": 2.0,
        "family_info": {"if_cold": "miss", "may_order": true, "linger_idle": 8000.0, "tells_crowd": true},
        "limits": {"cancel": true, "probes": true, "max_attempts": 3, "second_copies": true},
        "rules": {"answer_slack": 8.0, "drain_grace": 250.0}, "telemetry": {"via": "probe", "columns": ["backlog"]},
        "weight_kind": "nominal"})
}

/// What happens, in the order of time (milliseconds).
enum ScriptedEvent {
    List(Vec<(&'static str, WorkerState)>),
    Call { id: &'static str, class: usize, function: &'static str },
    Ends { id: &'static str, attempt: usize, outcome: Outcome, queue_depth: u64 },
    Probed { worker: usize, queue: f64 },
    Loaded { worker: usize, function: &'static str, outcome: Outcome },
    ClientDisconnected { id: &'static str },
}

const CLASSES: [&str; 3] = ["quote", "booking", "charge"];
const FUNCTIONS: [&str; 2] = ["7f3a9c21e0b4d655", "00000030efbab201"];

fn request_id(id: &str) -> String {
    format!("{:016x}", id.parse::<u64>().unwrap())
}

/// A story in which each kind of event comes; workers are numbered as the sides' own sends and orders name them.
fn story() -> Vec<(f64, ScriptedEvent)> {
    use ScriptedEvent::*;
    let ready = WorkerState::Ready;
    let [f, g] = FUNCTIONS;
    let mut story = vec![(10.0, List(vec![("w1", ready), ("w2", ready), ("w3", ready)]))];
    story.push((20.0, Call { id: "1", class: 0, function: f }));
    story.push((21.0, Call { id: "2", class: 2, function: g }));
    for worker in 0..3 {
        story.push((22.0, Probed { worker, queue: worker as f64 }));
    }
    for worker in 0..3 {
        story.push((300.0, Loaded { worker, function: f, outcome: Outcome::Ok }));
        story.push((310.0, Loaded { worker, function: g, outcome: Outcome::Full }));
    }
    story.push((400.0, Ends { id: "1", attempt: 0, outcome: Outcome::Ok, queue_depth: 2 }));
    story.push((410.0, Ends { id: "2", attempt: 0, outcome: Outcome::Full, queue_depth: 1 }));
    story.push((420.0, Call { id: "3", class: 1, function: f }));
    story.push((425.0, Call { id: "4", class: 0, function: g }));
    story.push((500.0, List(vec![("w2", WorkerState::Draining)])));
    story.push((510.0, Ends { id: "3", attempt: 0, outcome: Outcome::Reset, queue_depth: 0 }));
    story.push((530.0, ClientDisconnected { id: "4" }));
    story.push((560.0, Ends { id: "2", attempt: 1, outcome: Outcome::Ok, queue_depth: 0 }));
    for n in 0..30 {
        story.push((
            600.0 + 7.0 * n as f64,
            Call { id: ["10", "11", "12"][n % 3], class: n % 3, function: f },
        ));
    }
    story
}

/// What the module wanted, in plain words, by time: sends, orders, probes, cancels and final words.
type Wanted = Vec<(i64, String)>;

/// A side of the story: takes what happens, and gives the workers in the order in which it first named them.
trait Way {
    fn until(&mut self, at: f64);
    fn happens(&mut self, at: f64, what: &ScriptedEvent);
    fn wanted(&self) -> &Wanted;
}

fn name_of(worker: u64) -> String {
    let names = ["w1", "w2", "w3"];
    names.iter().find(|n| worker_id(n).0 == worker).map_or("?".into(), |n| n.to_string())
}

/// The simulator's wire: the adapter as a child, one batch a line.
struct Simulator {
    child: std::process::Child,
    input: std::process::ChildStdin,
    output: std::io::BufReader<std::process::ChildStdout>,
    batch: u64,
    due: Vec<(f64, u64)>,
    wanted: Wanted,
}

impl Simulator {
    fn start(seed: u64) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_slatevalve-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let (input, output) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
        let output = std::io::BufReader::new(output);
        let mut way = Simulator { child, input, output, batch: 0, due: Vec::new(), wanted: Vec::new() };
        way.tell(1.0, vec![json!({"m": "PowerOn", "i": "r", "random_seed": seed, "settings": settings()})]);
        way
    }

    fn tell(&mut self, at: f64, arrivals: Vec<Value>) {
        self.batch += 1;
        let line = json!({"batch": self.batch, "at_time": at, "arrivals": arrivals}).to_string();
        writeln!(self.input, "{line}").unwrap();
        let mut reply = String::new();
        std::io::BufRead::read_line(&mut self.output, &mut reply).unwrap();
        let reply: Value = serde_json::from_str(&reply).expect("a reply");
        for c in reply["cmds"].as_array().unwrap() {
            let worker = || name_of(c["worker"].as_u64().unwrap_or(0));
            let id = || c["id"].as_str().unwrap_or_default();
            let app = || c["app"].as_u64().unwrap_or(0);
            let words = match c["m"].as_str().unwrap() {
                "Deliver" => format!("send {} {}", id(), worker()),
                "Recall" => format!("cancel {} {}", id(), c["try"]),
                "Shed" => format!("refuse {}", id()),
                "DropRequest" => format!("fail {}", id()),
                "Mount" => format!("load {} {} {}", worker(), app(), c["copies"]),
                "PutAway" => format!("unload {} {}", worker(), app()),
                "SoundOut" => format!("probe {}", worker()),
                "Remind" => {
                    self.due.push((c["when"].as_f64().unwrap(), c["key_back"].as_u64().unwrap()));
                    continue;
                }
                other => panic!("{other}"),
            };
            self.wanted.push(((at * 1000.0) as i64, words));
        }
    }
}

impl Way for Simulator {
    fn until(&mut self, at: f64) {
        loop {
            let next = self.due.iter().enumerate().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            let Some((place, (when, token))) = next.map(|(n, d)| (n, *d)).filter(|(_, d)| d.0 <= at) else {
                return;
            };
            self.due.remove(place);
            self.tell(when, vec![json!({"m": "Reminder", "i": "r", "key_back": token})]);
        }
    }

    fn happens(&mut self, at: f64, what: &ScriptedEvent) {
        let number = |n: &usize| worker_id(["w1", "w2", "w3"][*n]).0;
        let rc = |o: &Outcome| match o {
            Outcome::Ok => "GOOD",
            Outcome::Full => "FULL",
            Outcome::Reset => "RST",
            _ => panic!("not in the story"),
        };
        let events = match what {
            ScriptedEvent::List(lines) => {
                let scope = if lines.len() == 3 { "all" } else { "changes" };
                let line = |(name, state): &(&str, WorkerState)| {
                    let health = if *state == WorkerState::Ready { "SERVING" } else { "DRAINING" };
                    json!({"worker": worker_id(name).0, "az": "a", "machine": "duo", "cluster": 1,
                        "health": health, "power_hint": 4})
                };
                let elements: Vec<Value> = lines.iter().map(line).collect();
                vec![
                    json!({"m": "Ledger", "page": 0, "elements": elements}),
                    json!({"m": "Members", "i": "r", "scope": scope, "seq_no": 1, "page": 0}),
                ]
            }
            ScriptedEvent::Call { id, class, function } => vec![json!({"m": "Knock", "i": "r", "id": id,
                "budget": 2000.0, "kind": CLASSES[*class], "app": function_id(function).0, "at_once": 2,
                "warm_ms": 300, "memory_mb": 400})],
            ScriptedEvent::Ends { id, attempt, outcome, queue_depth } => {
                let wanted = self.wanted.iter().filter(|w| w.1.starts_with(&format!("send {id} ")));
                let Some((sent, words)) = wanted.clone().nth(*attempt) else { return };
                let worker = words.rsplit(' ').next().unwrap();
                vec![json!({"m": "Answer", "i": "r", "id": id, "worker": worker_id(worker).0,
                    "rc": rc(outcome), "try": attempt, "lag": at - *sent as f64 / 1000.0,
                    "no_more": *outcome == Outcome::Ok, "remark": queue_depth * 8})]
            }
            ScriptedEvent::Probed { worker, queue } => vec![json!({"m": "Probed", "i": "r",
                "worker": number(worker), "rc": "GOOD", "lag": 1.0, "server_stats": {"backlog": queue}})],
            ScriptedEvent::Loaded { worker, function, outcome } => vec![json!({"m": "InPlace", "i": "r",
                "worker": number(worker), "app": function_id(function).0, "rc": rc(outcome), "copies": 1,
                "lag": 250.0})],
            ScriptedEvent::ClientDisconnected { id } => vec![json!({"m": "Vanished", "i": "r", "id": id})],
        };
        self.tell(at, events);
    }

    fn wanted(&self) -> &Wanted {
        &self.wanted
    }
}

impl Drop for Simulator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform's way: a client's bytes into the front, calls into the engine.
struct Platform {
    front: Front,
    engine: Engine,
    /// Requests by the client's own id, in the engine's count.
    ids: HashMap<String, (u64, u32)>,
    number: u32,
    now: Micros,
    wanted: Wanted,
}

impl Platform {
    fn start(seed: u64) -> Self {
        let site = SiteConfig::read(settings().as_object().unwrap()).unwrap();
        let classes = site.names.classes.iter().cloned();
        let classes = classes.zip(site.settings.classes.iter().map(|c| c.effect)).collect();
        let engine = Engine::new(EngineSettings {
            balancer: site.settings,
            seed,
            max_open_calls: 1_000,
            max_function_names: 100,
            ..EngineSettings::default()
        });
        let mut front = Front::new(FrontSettings { classes, connections: 4 });
        front.opened(Micros(0), LinkId(1), &mut Vec::new());
        let (ids, wanted) = (HashMap::new(), Vec::new());
        Platform { front, engine, ids, number: 0, now: Micros(0), wanted }
    }

    fn id(&self, request: u64) -> String {
        self.ids.iter().find(|(_, n)| n.0 == request).map_or("?".into(), |(id, _)| id.clone())
    }

    fn take(&mut self, out: Vec<Output>) {
        for output in out {
            let words = match output {
                Output::Send { attempt, worker, .. } => {
                    format!("send {} {}", self.id(attempt.request.0), name_of(worker.0))
                }
                Output::Cancel(a) => format!("cancel {} {}", self.id(a.request.0), a.attempt),
                Output::Load { worker, function, copies, .. } => {
                    format!("load {} {} {copies}", name_of(worker.0), function.0)
                }
                Output::Unload { worker, name } => {
                    format!("unload {} {}", name_of(worker.0), function_id(&name).0)
                }
                Output::Probe(worker) => format!("probe {}", name_of(worker.0)),
                Output::Answer(ticket, answer) => {
                    let mut bytes = Vec::new();
                    self.front.answer(self.now, ticket, &answer, &mut bytes);
                    match answer.verdict.as_str() {
                        "refused" => format!("refuse {}", self.id(ticket.0)),
                        "failed" => format!("fail {}", self.id(ticket.0)),
                        _ => continue,
                    }
                }
                // Deadlines are the simulator's own on the other side, and come as outcomes there.
                Output::Expire(_) => continue,
                // What has not left is kept back whatever the module says: no decision of its.
                Output::CancelUnsent(_) => continue,
                other => panic!("{other:?}"),
            };
            self.wanted.push((self.now.0, words));
        }
    }

    fn bytes(&mut self, bytes: &[u8]) {
        let (mut out, mut wanted) = (Vec::new(), Vec::new());
        self.front.received(self.now, LinkId(1), bytes, true, &mut out);
        for output in out {
            match output {
                FrontOutput::Call(call) => self.engine.call(self.now, *call, &mut wanted),
                FrontOutput::ClientDisconnected(ticket) => {
                    self.engine.client_disconnected(self.now, ticket, &mut wanted)
                }
                other => panic!("{other:?}"),
            }
        }
        self.take(wanted);
    }

    fn request(&mut self, id: &str, class: usize, function: &str) -> Vec<u8> {
        self.number += 1;
        self.ids.insert(id.into(), (self.ids.len() as u64 + 1, self.number));
        let (req, key) = (request_id(id), "ab".to_string());
        let mut fields = vec![("req", &*req), ("timeout", "2000"), ("subject", function)];
        fields.push(("info", "memory_mb:400;lanes:2;load_ms:300"));
        if class == 1 {
            fields.push(("opkey", &key));
        }
        let mut out = Vec::new();
        encode::write_array_len(&mut out, 4).unwrap();
        encode::write_uint(&mut out, 0).unwrap();
        encode::write_uint(&mut out, u64::from(self.number)).unwrap();
        encode::write_str(&mut out, CLASSES[class]).unwrap();
        encode::write_array_len(&mut out, 2).unwrap();
        encode::write_map_len(&mut out, fields.len() as u32).unwrap();
        for (name, value) in fields {
            encode::write_str(&mut out, name).unwrap();
            encode::write_str(&mut out, value).unwrap();
        }
        encode::write_bin(&mut out, b"").unwrap();
        out
    }
}

impl Way for Platform {
    fn until(&mut self, at: f64) {
        let at = Micros((at * 1000.0) as i64);
        while let Some(when) = self.engine.next_wake().filter(|w| *w <= at) {
            self.now = self.now.max(when);
            let mut out = Vec::new();
            self.engine.advance(self.now, &mut out);
            self.take(out);
        }
    }

    fn happens(&mut self, at: f64, what: &ScriptedEvent) {
        self.now = Micros((at * 1000.0) as i64);
        let mut out = Vec::new();
        let number = |n: &usize| worker_id(["w1", "w2", "w3"][*n]);
        match what {
            ScriptedEvent::List(lines) => {
                let scope = if lines.len() == 3 { Scope::Full } else { Scope::Changes };
                let entry = |(name, state): &(&str, WorkerState)| WorkerEntry {
                    id: worker_id(name),
                    zone: ZoneId(0),
                    kind: KindId(0),
                    cell: CellId(1),
                    state: *state,
                    weight: 4.0,
                    up_since: None,
                };
                let listing = Listing { scope, entries: lines.iter().map(entry).collect() };
                self.engine.workers_listed(self.now, listing, &mut out);
            }
            ScriptedEvent::Call { id, class, function } => {
                // Story ids that come again are new requests once the old one is over.
                if self.ids.contains_key(*id) {
                    return;
                }
                let bytes = self.request(id, *class, function);
                return self.bytes(&bytes);
            }
            ScriptedEvent::Ends { id, attempt, outcome, queue_depth } => {
                let told = matches!(outcome, Outcome::Ok | Outcome::Full).then_some(*queue_depth);
                let request = slatevalve::RequestId(self.ids[*id].0);
                let end = AttemptEnd { queue_depth: told, ..AttemptEnd::without_payload(*outcome) };
                self.engine.attempt_completed(
                    self.now,
                    AttemptRef { request, attempt: *attempt },
                    end,
                    &mut out,
                );
            }
            ScriptedEvent::Probed { worker, queue } => {
                let report = Some(Report { queue: Some(*queue), ..Report::default() });
                let lag = Micros(1_000);
                self.engine.probe_completed(self.now, number(worker), Outcome::Ok, lag, report, &mut out);
            }
            ScriptedEvent::Loaded { worker, function, outcome } => {
                let (worker, function): (WorkerId, _) = (number(worker), function_id(function));
                self.engine.load_completed(
                    self.now,
                    worker,
                    function,
                    *outcome,
                    1,
                    Micros(250_000),
                    &mut out,
                );
            }
            ScriptedEvent::ClientDisconnected { id } => {
                let number = self.ids[*id].1;
                let mut bytes = Vec::new();
                encode::write_array_len(&mut bytes, 3).unwrap();
                encode::write_uint(&mut bytes, 2).unwrap();
                encode::write_str(&mut bytes, "interrupt").unwrap();
                encode::write_array_len(&mut bytes, 1).unwrap();
                encode::write_uint(&mut bytes, u64::from(number)).unwrap();
                return self.bytes(&bytes);
            }
        }
        self.take(out);
    }

    fn wanted(&self) -> &Wanted {
        &self.wanted
    }
}

#[test]
fn the_same_story_gives_the_same_actions_on_both_ways_in() {
    let mut asked = std::collections::BTreeSet::new();
    let story: Vec<(f64, ScriptedEvent)> = story()
        .into_iter()
        .filter(|(_, what)| !matches!(what, ScriptedEvent::Call { id, .. } if !asked.insert(*id)))
        .collect();
    let mut ways: [Box<dyn Way>; 2] = [Box::new(Simulator::start(9)), Box::new(Platform::start(9))];
    for way in &mut ways {
        for (at, what) in &story {
            way.until(*at);
            way.happens(*at, what);
        }
        // Before the first deadline: from there on the simulator itself ends attempts.
        way.until(1_500.0);
    }
    let [simulator, platform] = &ways;
    for kind in ["send 1", "send 2", "load", "probe", "cancel"] {
        assert!(simulator.wanted().iter().any(|w| w.1.starts_with(kind)), "the story has no {kind}");
    }
    assert_eq!(simulator.wanted(), platform.wanted());
}
