//! Runs one scenario over the simulator's wire protocol and over the platform's protocols: the load balancer
//! must return the same actions.
//!
//! Guards against a router on real sockets that decides differently from the simulated one. The platform's
//! side consists of its front end and the engine, as the gateway runs them, without sockets.

use rmp::encode;
use serde_json::{json, Value};
use slatevalve::{
    CellId, KindId, Listing, Micros, Outcome, Report, Scope, WorkerEntry, WorkerId, WorkerState, ZoneId,
};
use slatevalve_engine::{
    function_id, worker_id, AttemptEnd, AttemptRef, Engine, EngineSettings, Output, ProbeEnd,
};
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

/// An event of the scenario; workers are given by index.
enum ScriptedEvent {
    List(Vec<(&'static str, WorkerState)>),
    Call { id: &'static str, class: usize, function: &'static str },
    AttemptCompleted { id: &'static str, attempt: usize, outcome: Outcome, queue_depth: u64 },
    Probed { worker: usize, queue: f64 },
    Loaded { worker: usize, function: &'static str, outcome: Outcome },
    ClientDisconnected { id: &'static str },
}

const CLASSES: [&str; 3] = ["quote", "booking", "charge"];
const FUNCTIONS: [&str; 2] = ["7f3a9c21e0b4d655", "00000030efbab201"];

fn request_id(id: &str) -> String {
    format!("{:016x}", id.parse::<u64>().unwrap())
}

/// A scenario with each kind of event, by time in milliseconds.
fn scenario() -> Vec<(f64, ScriptedEvent)> {
    use ScriptedEvent::*;
    let ready = WorkerState::Ready;
    let [f, g] = FUNCTIONS;
    let mut scenario = vec![(10.0, List(vec![("w1", ready), ("w2", ready), ("w3", ready)]))];
    scenario.push((20.0, Call { id: "1", class: 0, function: f }));
    scenario.push((21.0, Call { id: "2", class: 2, function: g }));
    for worker in 0..3 {
        scenario.push((22.0, Probed { worker, queue: worker as f64 }));
    }
    for worker in 0..3 {
        scenario.push((300.0, Loaded { worker, function: f, outcome: Outcome::Ok }));
        scenario.push((310.0, Loaded { worker, function: g, outcome: Outcome::Full }));
    }
    scenario.push((400.0, AttemptCompleted { id: "1", attempt: 0, outcome: Outcome::Ok, queue_depth: 2 }));
    scenario.push((410.0, AttemptCompleted { id: "2", attempt: 0, outcome: Outcome::Full, queue_depth: 1 }));
    scenario.push((420.0, Call { id: "3", class: 1, function: f }));
    scenario.push((425.0, Call { id: "4", class: 0, function: g }));
    scenario.push((500.0, List(vec![("w2", WorkerState::Draining)])));
    scenario.push((510.0, AttemptCompleted { id: "3", attempt: 0, outcome: Outcome::Reset, queue_depth: 0 }));
    scenario.push((530.0, ClientDisconnected { id: "4" }));
    scenario.push((560.0, AttemptCompleted { id: "2", attempt: 1, outcome: Outcome::Ok, queue_depth: 0 }));
    for n in 0..30 {
        scenario.push((
            600.0 + 7.0 * n as f64,
            Call { id: ["10", "11", "12"][n % 3], class: n % 3, function: f },
        ));
    }
    scenario
}

/// The actions of the load balancer as text, by time in microseconds: sends, load requests, probes,
/// cancellations and final answers.
type ActionLog = Vec<(i64, String)>;

/// A way to deliver the events of the scenario to a load balancer; times are in milliseconds.
trait Transport {
    /// Handles all timers due up to `at`.
    fn advance(&mut self, at: f64);
    fn deliver(&mut self, at: f64, event: &ScriptedEvent);
    fn actions(&self) -> &ActionLog;
}

fn name_of(worker: u64) -> String {
    let names = ["w1", "w2", "w3"];
    names.iter().find(|n| worker_id(n).0 == worker).map_or("?".into(), |n| n.to_string())
}

/// The simulator's wire protocol, with the adapter as a child process.
struct Simulator {
    child: std::process::Child,
    input: std::process::ChildStdin,
    output: std::io::BufReader<std::process::ChildStdout>,
    batch: u64,
    /// Expiry times and tokens of the pending timers.
    due: Vec<(f64, u64)>,
    actions: ActionLog,
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
        let mut simulator =
            Simulator { child, input, output, batch: 0, due: Vec::new(), actions: Vec::new() };
        simulator.send_batch(
            1.0,
            vec![json!({"m": "PowerOn", "i": "r", "random_seed": seed, "settings": settings()})],
        );
        simulator
    }

    fn send_batch(&mut self, at: f64, arrivals: Vec<Value>) {
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
            let action = match c["m"].as_str().unwrap() {
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
            self.actions.push(((at * 1000.0) as i64, action));
        }
    }
}

impl Transport for Simulator {
    fn advance(&mut self, at: f64) {
        loop {
            let next = self.due.iter().enumerate().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            let Some((place, (when, token))) = next.map(|(n, d)| (n, *d)).filter(|(_, d)| d.0 <= at) else {
                return;
            };
            self.due.remove(place);
            self.send_batch(when, vec![json!({"m": "Reminder", "i": "r", "key_back": token})]);
        }
    }

    fn deliver(&mut self, at: f64, event: &ScriptedEvent) {
        let number = |n: &usize| worker_id(["w1", "w2", "w3"][*n]).0;
        let rc = |o: &Outcome| match o {
            Outcome::Ok => "GOOD",
            Outcome::Full => "FULL",
            Outcome::Reset => "RST",
            o => panic!("outcome {o:?} does not occur in the scenario"),
        };
        let events = match event {
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
            ScriptedEvent::AttemptCompleted { id, attempt, outcome, queue_depth } => {
                let sends = self.actions.iter().filter(|action| action.1.starts_with(&format!("send {id} ")));
                let Some((sent, action)) = sends.clone().nth(*attempt) else { return };
                let worker = action.rsplit(' ').next().unwrap();
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
        self.send_batch(at, events);
    }

    fn actions(&self) -> &ActionLog {
        &self.actions
    }
}

impl Drop for Simulator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform's protocols: bytes of a client go to the front end, its calls to the engine.
struct Platform {
    front: Front,
    engine: Engine,
    /// The engine's request number and the client's message number, by the id in the scenario.
    ids: HashMap<String, (u64, u32)>,
    last_message: u32,
    now: Micros,
    actions: ActionLog,
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
            max_open_bytes: usize::MAX,
            max_function_names: 100,
            ..EngineSettings::default()
        });
        let mut front = Front::new(FrontSettings { classes, connections: 4, incomplete_bytes: usize::MAX });
        front.opened(Micros(0), LinkId(1), &mut Vec::new());
        let (ids, actions) = (HashMap::new(), Vec::new());
        Platform { front, engine, ids, last_message: 0, now: Micros(0), actions }
    }

    fn id(&self, request: u64) -> String {
        self.ids.iter().find(|(_, n)| n.0 == request).map_or("?".into(), |(id, _)| id.clone())
    }

    fn record(&mut self, out: Vec<Output>) {
        for output in out {
            let action = match output {
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
                // The simulator applies deadlines itself and reports them as outcomes.
                Output::Expire(_) => continue,
                // Holds back what was not sent yet, independently of the load balancer's decisions.
                Output::CancelUnsent(_) => continue,
                other => panic!("{other:?}"),
            };
            self.actions.push((self.now.0, action));
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let (mut out, mut engine_out) = (Vec::new(), Vec::new());
        self.front.received(self.now, LinkId(1), bytes, true, &mut out);
        for output in out {
            match output {
                FrontOutput::Call(call) => self.engine.call(self.now, *call, &mut engine_out),
                FrontOutput::ClientDisconnected(ticket) => {
                    self.engine.client_disconnected(self.now, ticket, &mut engine_out)
                }
                other => panic!("{other:?}"),
            }
        }
        self.record(engine_out);
    }

    fn encode_request(&mut self, id: &str, class: usize, function: &str) -> Vec<u8> {
        self.last_message += 1;
        self.ids.insert(id.into(), (self.ids.len() as u64 + 1, self.last_message));
        let (req, key) = (request_id(id), "ab".to_string());
        let mut fields = vec![("req", &*req), ("timeout", "2000"), ("subject", function)];
        fields.push(("info", "memory_mb:400;lanes:2;load_ms:300"));
        if class == 1 {
            fields.push(("opkey", &key));
        }
        let mut out = Vec::new();
        encode::write_array_len(&mut out, 4).unwrap();
        encode::write_uint(&mut out, 0).unwrap();
        encode::write_uint(&mut out, u64::from(self.last_message)).unwrap();
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

impl Transport for Platform {
    fn advance(&mut self, at: f64) {
        let at = Micros((at * 1000.0) as i64);
        while let Some(when) = self.engine.next_wake().filter(|w| *w <= at) {
            self.now = self.now.max(when);
            let mut out = Vec::new();
            self.engine.advance(self.now, &mut out);
            self.record(out);
        }
    }

    fn deliver(&mut self, at: f64, event: &ScriptedEvent) {
        self.now = Micros((at * 1000.0) as i64);
        let mut out = Vec::new();
        let number = |n: &usize| worker_id(["w1", "w2", "w3"][*n]);
        match event {
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
                // Each id is one request; repeats of it are not sent.
                if self.ids.contains_key(*id) {
                    return;
                }
                let bytes = self.encode_request(id, *class, function);
                return self.receive(&bytes);
            }
            ScriptedEvent::AttemptCompleted { id, attempt, outcome, queue_depth } => {
                let queue_depth = matches!(outcome, Outcome::Ok | Outcome::Full).then_some(*queue_depth);
                let request = slatevalve::RequestId(self.ids[*id].0);
                let end = AttemptEnd { queue_depth, ..AttemptEnd::without_payload(*outcome) };
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
                let end = ProbeEnd { outcome: Outcome::Ok, latency: lag, report, process: None };
                self.engine.probe_completed(self.now, number(worker), end, &mut out);
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
                return self.receive(&bytes);
            }
        }
        self.record(out);
    }

    fn actions(&self) -> &ActionLog {
        &self.actions
    }
}

#[test]
fn the_same_scenario_leads_to_the_same_actions_over_both_protocols() {
    let mut called = std::collections::BTreeSet::new();
    let scenario: Vec<(f64, ScriptedEvent)> = scenario()
        .into_iter()
        .filter(|(_, event)| !matches!(event, ScriptedEvent::Call { id, .. } if !called.insert(*id)))
        .collect();
    let mut transports: [Box<dyn Transport>; 2] =
        [Box::new(Simulator::start(9)), Box::new(Platform::start(9))];
    for transport in &mut transports {
        for (at, event) in &scenario {
            transport.advance(*at);
            transport.deliver(*at, event);
        }
        // Stops before the first deadline, from which on the simulator itself ends attempts.
        transport.advance(1_500.0);
    }
    let [simulator, platform] = &transports;
    for kind in ["send 1", "send 2", "load", "probe", "cancel"] {
        let occurs = simulator.actions().iter().any(|action| action.1.starts_with(kind));
        assert!(occurs, "the scenario leads to no action '{kind}'");
    }
    assert_eq!(simulator.actions(), platform.actions());
}
