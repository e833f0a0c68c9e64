//! The time from a drain's entry in the registry to the last request at the worker, as seen at the workers'
//! sockets, over 300 drains: without calls, at 500 calls a second, and at 500 calls a second during a flood
//! of other changes.
//! `cargo bench -p slatevalve-gateway --bench drains`

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use slatevalve_registry::wire::Bytes;
use slatevalve_test_servers::{unix_micros, Arrival, ClientPlan, Driver, ServicePlan, WorkerPlan};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const WORKERS: usize = 12;
const ROUNDS: usize = 75;
/// Workers drained together in each round.
const DRAINS_PER_ROUND: usize = 4;
/// How long a worker drains.
const DRAIN_TIME: Duration = Duration::from_millis(400);
/// Pause between rounds, in which all workers are ready.
const PAUSE: Duration = Duration::from_millis(200);
const CALLS_PER_S: i64 = 500;
/// Changes of other members a second in a flood.
const FLOOD_PER_S: u64 = 1_000;
/// Functions that are called.
const FUNCTIONS: i64 = 30;
const CONNECTIONS: i64 = 16;
/// Names of other members in a flood.
const FLOOD_NAMES: u64 = 85;
const MICROS_PER_DAY: i64 = 86_400_000_000;

/// A program under test, ended when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(arguments: &[&str], log: Stdio) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    let mut child = command.args(arguments).stdout(Stdio::piped()).stderr(log).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("ready ").unwrap().parse().unwrap();
    Process { child, address }
}

/// A connection that writes keys.
struct Writer(TcpStream);

impl Writer {
    fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        Writer(stream)
    }

    fn put(&mut self, key: &str, value: &Value) {
        let body = json!({"key": Bytes::of(key), "value": Bytes::of(&value.to_string())}).to_string();
        let head =
            format!("POST /v3/kv/put HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.0.write_all(head.as_bytes()).unwrap();
        let mut response = [0; 1024];
        assert!(self.0.read(&mut response).unwrap() > 0);
    }

    fn put_worker(&mut self, worker: usize, address: SocketAddr, state: &str) {
        self.put(&format!("/slatevalve/workers/w{worker}"), &json!({"address": address, "state": state}));
    }
}

/// One drain of a worker. Times in microseconds of the Unix clock.
struct Drain {
    worker: usize,
    /// When the write to the registry started and was confirmed.
    requested_us: i64,
    written_us: i64,
    /// When the worker was made ready again.
    ended_us: i64,
}

/// What happens besides the drains.
#[derive(Clone, Copy)]
struct Condition {
    name: &'static str,
    has_calls: bool,
    has_flood: bool,
}

const CONDITIONS: [Condition; 3] = [
    Condition { name: "idle", has_calls: false, has_flood: false },
    Condition { name: "500 calls/s", has_calls: true, has_flood: false },
    Condition { name: "in a flood", has_calls: true, has_flood: true },
];

/// Numbers of calls.
struct Calls {
    answered: usize,
    served: usize,
}

fn main() {
    println!(
        "condition        stage                          p50      p99      max  (milliseconds, {} drains)",
        ROUNDS * DRAINS_PER_ROUND
    );
    CONDITIONS.into_iter().for_each(measure);
}

fn measure(condition: Condition) {
    let directory = tempfile::tempdir().unwrap();
    let registry = start(&["kv", "--compact-after-ms", "2000"], Stdio::inherit());
    let workers: Vec<Process> = (0..WORKERS).map(|worker| start_worker(directory.path(), worker)).collect();
    let mut writer = Writer::new(registry.address);
    for (worker, process) in workers.iter().enumerate() {
        writer.put_worker(worker, process.address, "ready");
    }
    let log = directory.path().join("log");
    let gateway = start_gateway(directory.path(), &log, registry.address);
    let stop = Arc::new(AtomicBool::new(false));
    let calls = condition.has_calls.then(|| spawn_calls(gateway.address, stop.clone()));
    let flood = condition.has_flood.then(|| spawn_flood(registry.address, stop.clone()));
    std::thread::sleep(Duration::from_secs(2));
    let drains = drain_in_rounds(&mut writer, &workers);
    stop.store(true, Ordering::Relaxed);
    let calls = calls.map(|thread| thread.join().unwrap());
    let changes = flood.map(|thread| thread.join().unwrap());
    report(condition.name, &drains, &log, directory.path(), calls.as_ref(), changes);
}

fn start_worker(directory: &Path, worker: usize) -> Process {
    let service = ServicePlan {
        concurrency: 8,
        queue: 64,
        copies: 64,
        load_us: 20_000,
        load_on_call: true,
        ..ServicePlan::default()
    };
    let trace = Some(directory.join(format!("w{worker}.jsonl")));
    let plan = WorkerPlan { name: format!("w{worker}"), service, trace, ..WorkerPlan::default() };
    start(&["worker", "--plan", &serde_json::to_string(&plan).unwrap()], Stdio::inherit())
}

/// Starts a gateway and waits until it has listed all workers.
fn start_gateway(directory: &Path, log: &Path, registry: SocketAddr) -> Process {
    let site = format!(
        "(gateway (name \"g\")) (mqtt (listen \"127.0.0.1:0\")) (rules (drain-grace-ms 250)) \
         (class \"quote\" (effect safe) (aim-ms 500) (deadline-ms 2000)) \
         (route \"quote/+\" (class \"quote\") (function \"{{2}}\")) (members (registry \"{registry}\"))"
    );
    let settings = directory.join("site.scm");
    fs::write(&settings, site).unwrap();
    let gateway = start(&["run", &settings.display().to_string()], fs::File::create(log).unwrap().into());
    while !fs::read_to_string(log).unwrap().contains("workers=12") {
        std::thread::sleep(Duration::from_millis(10));
    }
    gateway
}

fn drain_in_rounds(writer: &mut Writer, workers: &[Process]) -> Vec<Drain> {
    let mut drains = Vec::new();
    for round in 0..ROUNDS {
        let first = drains.len();
        for index in 0..DRAINS_PER_ROUND {
            let worker = (round * DRAINS_PER_ROUND + index) % WORKERS;
            let requested_us = unix_micros();
            writer.put_worker(worker, workers[worker].address, "draining");
            drains.push(Drain { worker, requested_us, written_us: unix_micros(), ended_us: 0 });
        }
        std::thread::sleep(DRAIN_TIME);
        for drain in &mut drains[first..] {
            drain.ended_us = unix_micros();
            writer.put_worker(drain.worker, workers[drain.worker].address, "ready");
        }
        std::thread::sleep(PAUSE);
    }
    drains
}

/// Sends calls until `stop` is set.
fn spawn_calls(gateway: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<Calls> {
    let start_us = unix_micros() + 200_000;
    let seconds = (ROUNDS as i64 + 8) * (DRAIN_TIME + PAUSE).as_millis() as i64 / 1_000 + 4;
    let arrival = move |index: i64| Arrival {
        at_us: start_us + index * 1_000_000 / CALLS_PER_S,
        call: format!("c{index}"),
        class: "quote".into(),
        topic: format!("quote/f{}", index % FUNCTIONS),
        key: None,
        budget_us: 2_000_000,
        work_us: 3_000,
        connection: (index % CONNECTIONS) as usize,
        qos: 1,
        republished: false,
    };
    std::thread::spawn(move || {
        let arrivals = (0..seconds * CALLS_PER_S).map(arrival).collect();
        let gateways = vec![("g".into(), gateway)];
        let plan = ClientPlan { gateways, connections: CONNECTIONS as usize, arrivals, trace: None };
        let mut driver = Driver::new(plan).unwrap();
        while !driver.is_done() && !stop.load(Ordering::Relaxed) {
            driver.poll(Duration::from_millis(5)).unwrap();
        }
        let answers = driver.reports().values().filter_map(|report| report.answer.as_ref());
        let served = answers.clone().filter(|answer| answer.1 == "served").count();
        Calls { answered: answers.count(), served }
    })
}

/// Changes other members until `stop` is set; returns the number of changes.
fn spawn_flood(registry: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<u64> {
    std::thread::spawn(move || {
        let (mut writer, mut changes) = (Writer::new(registry), 0);
        let started = std::time::Instant::now();
        while !stop.load(Ordering::Relaxed) {
            writer.put(
                &format!("/slatevalve/workers/x{}", changes % FLOOD_NAMES),
                &json!({"address": "127.0.0.1:9", "state": "draining", "cell": changes}),
            );
            changes += 1;
            let due = Duration::from_micros(changes * 1_000_000 / FLOOD_PER_S);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
        }
        changes
    })
}

/// Returns the time of a log line, in microseconds of its day.
fn micros_of_day(line: &str) -> Option<i64> {
    let time = line.split('T').nth(1)?.split('Z').next()?;
    let mut parts = time.split([':', '.']).map(|part| part.parse::<i64>().ok());
    let (hours, minutes) = (parts.next()??, parts.next()??);
    let (seconds, micros) = (parts.next()??, parts.next()??);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000_000 + micros)
}

/// Returns when the gateway logged drains, by worker.
fn logged_drains(log: &Path) -> BTreeMap<usize, Vec<i64>> {
    let mut logged: BTreeMap<usize, Vec<i64>> = BTreeMap::new();
    for line in fs::read_to_string(log).unwrap().lines().filter(|line| line.contains("state=Draining")) {
        let name = line.split("worker=\"w").nth(1);
        let worker = name.and_then(|name| name.split('"').next()?.parse().ok());
        if let (Some(worker), Some(at_us)) = (worker, micros_of_day(line)) {
            logged.entry(worker).or_default().push(at_us);
        }
    }
    logged
}

/// Returns when a worker received requests, from its trace.
fn received_requests(directory: &Path, worker: usize) -> Vec<i64> {
    let text = fs::read_to_string(directory.join(format!("w{worker}.jsonl"))).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["seen"] == "received").filter_map(|line| line["at_us"].as_i64()).collect()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

fn report(
    name: &str,
    drains: &[Drain],
    log: &Path,
    directory: &Path,
    calls: Option<&Calls>,
    changes: Option<u64>,
) {
    let logged = logged_drains(log);
    let received: Vec<Vec<i64>> = (0..WORKERS).map(|worker| received_requests(directory, worker)).collect();
    let (mut written, mut to_gateway, mut last) = (histogram(), histogram(), histogram());
    let mut missed = 0;
    for drain in drains {
        written.record((drain.written_us - drain.requested_us).max(1) as u64).unwrap();
        let requested_of_day = drain.requested_us % MICROS_PER_DAY;
        let within = requested_of_day..requested_of_day + DRAIN_TIME.as_micros() as i64;
        match logged.get(&drain.worker).and_then(|times| times.iter().find(|at| within.contains(at))) {
            Some(at) => to_gateway.record((at - requested_of_day).max(1) as u64).unwrap(),
            None => missed += 1,
        }
        let drained = drain.requested_us..drain.ended_us;
        let last_us = received[drain.worker].iter().filter(|at| drained.contains(at)).max();
        last.record(last_us.map_or(1, |at| (at - drain.requested_us).max(1)) as u64).unwrap();
    }
    print_row(name, "written in the registry", &written);
    print_row(name, "heard by the gateway", &to_gateway);
    print_row(name, "last work at the worker", &last);
    let calls = calls.map(|calls| format!("; {} of {} calls served", calls.served, calls.answered));
    let changes = changes.map(|changes| format!("; {changes} other changes"));
    println!(
        "{name:<16} drains not heard: {missed}{}{}",
        calls.unwrap_or_default(),
        changes.unwrap_or_default()
    );
}

fn print_row(name: &str, stage: &str, times: &Histogram<u64>) {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let (p50, p99) = (millis(times.value_at_quantile(0.5)), millis(times.value_at_quantile(0.99)));
    println!("{name:<16} {stage:<26} {p50:>8.2} {p99:>8.2} {:>8.2}", millis(times.max()));
}
