//! From a drain's notice to the last work sent, as workers see it at their sockets, over 300 drains: with no calls, under
//! 500 calls a second, and that within a flood of changes. `cargo bench -p slatevalve-gateway --bench drains`

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
use std::time::Duration;

const WORKERS: usize = 12;
const ROUNDS: usize = 75;
/// Drained together in each round.
const TOGETHER: usize = 4;
const DRAINED: Duration = Duration::from_millis(400);
const BETWEEN: Duration = Duration::from_millis(200);
const CALLS_PER_S: i64 = 500;
const FLOOD_PER_S: u64 = 1_000;

struct Process(Child, SocketAddr);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str], log: Stdio) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    let mut child = command.args(arguments).stdout(Stdio::piped()).stderr(log).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("ready ").unwrap().parse().unwrap();
    Process(child, address)
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
        let mut answer = [0; 1024];
        assert!(self.0.read(&mut answer).unwrap() > 0);
    }
}

/// One drain: its worker, when it was asked for, when the registry had it, when the worker was ready again.
struct Drain {
    worker: usize,
    asked_us: i64,
    written_us: i64,
    over_us: i64,
}

fn main() {
    println!(
        "condition        stage                          p50      p99      max  (milliseconds, {} drains)",
        ROUNDS * TOGETHER
    );
    for (name, calls, flood) in
        [("idle", false, false), ("500 calls/s", true, false), ("in a flood", true, true)]
    {
        condition(name, calls, flood);
    }
}

fn condition(name: &str, calls: bool, flood: bool) {
    let directory = tempfile::tempdir().unwrap();
    let path = |name: String| directory.path().join(name);
    let kv = start(&["kv", "--compact-after-ms", "2000"], Stdio::inherit());
    let workers: Vec<Process> = (0..WORKERS)
        .map(|n| {
            let service = ServicePlan {
                lanes: 8,
                queue: 64,
                copies: 64,
                load_us: 20_000,
                load_on_call: true,
                ..ServicePlan::default()
            };
            let trace = Some(path(format!("w{n}.jsonl")));
            let plan = WorkerPlan { name: format!("w{n}"), service, trace, ..WorkerPlan::default() };
            start(&["worker", "--plan", &serde_json::to_string(&plan).unwrap()], Stdio::inherit())
        })
        .collect();
    let mut writer = Writer::new(kv.1);
    let record = |n: usize, state: &str| json!({"address": workers[n].1, "state": state});
    let key = |n: usize| format!("/slatevalve/workers/w{n}");
    (0..WORKERS).for_each(|n| writer.put(&key(n), &record(n, "ready")));
    let site = format!(
        "(gateway (name \"g\")) (mqtt (listen \"127.0.0.1:0\")) (rules (drain-grace-ms 250)) \
         (class \"quote\" (effect safe) (aim-ms 500) (deadline-ms 2000)) \
         (route \"quote/+\" (class \"quote\") (function \"{{2}}\")) (members (registry \"{}\"))",
        kv.1
    );
    fs::write(path("site.scm".into()), site).unwrap();
    let log = path("log".into());
    let arguments = ["run", &path("site.scm".into()).display().to_string()].map(str::to_string);
    let gateway = start(&arguments.each_ref().map(String::as_str), fs::File::create(&log).unwrap().into());
    while !fs::read_to_string(&log).unwrap().contains("workers=12") {
        std::thread::sleep(Duration::from_millis(10));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let load = calls.then(|| load(gateway.1, stop.clone()));
    let flooding = flood.then(|| flooding(kv.1, stop.clone()));
    std::thread::sleep(Duration::from_secs(2));
    let mut drains = Vec::new();
    for round in 0..ROUNDS {
        let drained: Vec<usize> = (0..TOGETHER).map(|n| (round * TOGETHER + n) % WORKERS).collect();
        for &worker in &drained {
            let asked_us = unix_micros();
            writer.put(&key(worker), &record(worker, "draining"));
            drains.push(Drain { worker, asked_us, written_us: unix_micros(), over_us: 0 });
        }
        std::thread::sleep(DRAINED);
        for &worker in &drained {
            let over_us = unix_micros();
            drains.iter_mut().rev().filter(|d| d.worker == worker).take(1).for_each(|d| d.over_us = over_us);
            writer.put(&key(worker), &record(worker, "ready"));
        }
        std::thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    let served = load.map(|l| l.join().unwrap());
    let changes = flooding.map(|f| f.join().unwrap());
    report(name, &drains, &log, directory.path(), served, changes);
}

fn load(gateway: SocketAddr, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<(usize, usize)> {
    let start_us = unix_micros() + 200_000;
    let lasts = (ROUNDS as i64 + 8) * (DRAINED + BETWEEN).as_millis() as i64 / 1_000 + 4;
    let arrival = move |n: i64| Arrival {
        at_us: start_us + n * 1_000_000 / CALLS_PER_S,
        call: format!("c{n}"),
        class: "quote".into(),
        topic: format!("quote/f{}", n % 30),
        key: None,
        budget_us: 2_000_000,
        work_us: 3_000,
        connection: (n % 16) as usize,
        qos: 1,
        again: false,
    };
    std::thread::spawn(move || {
        let arrivals = (0..lasts * CALLS_PER_S).map(arrival).collect();
        let gateways = vec![("g".into(), gateway)];
        let mut driver =
            Driver::new(ClientPlan { gateways, connections: 16, arrivals, trace: None }).unwrap();
        while !driver.is_done() && !stop.load(Ordering::Relaxed) {
            driver.poll(Duration::from_millis(5)).unwrap();
        }
        let answered = driver.reports().values().filter_map(|r| r.answer.as_ref());
        let served = answered.clone().filter(|a| a.1 == "served").count();
        (answered.count(), served)
    })
}

/// Other members that come and go, so many times a second.
fn flooding(kv: SocketAddr, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<u64> {
    std::thread::spawn(move || {
        let (mut writer, mut n) = (Writer::new(kv), 0);
        let begun = std::time::Instant::now();
        while !stop.load(Ordering::Relaxed) {
            writer.put(
                &format!("/slatevalve/workers/x{}", n % 85),
                &json!({"address": "127.0.0.1:9", "state": "draining", "cell": n}),
            );
            n += 1;
            let due = Duration::from_micros(n * 1_000_000 / FLOOD_PER_S);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        n
    })
}

/// Microseconds of the day that a log line shows.
fn of_day(line: &str) -> Option<i64> {
    let time = line.split('T').nth(1)?.split('Z').next()?;
    let mut parts = time.split([':', '.']).map(|p| p.parse::<i64>().ok());
    let (h, m, s, us) = (parts.next()??, parts.next()??, parts.next()??, parts.next()??);
    Some(((h * 60 + m) * 60 + s) * 1_000_000 + us)
}

fn report(
    name: &str,
    drains: &[Drain],
    log: &Path,
    directory: &Path,
    served: Option<(usize, usize)>,
    changes: Option<u64>,
) {
    let mut heard: BTreeMap<usize, Vec<i64>> = BTreeMap::new();
    for line in fs::read_to_string(log).unwrap().lines().filter(|l| l.contains("state=Draining")) {
        let worker = line.split("worker=\"w").nth(1).and_then(|w| w.split('"').next()?.parse().ok());
        if let (Some(worker), Some(at)) = (worker, of_day(line)) {
            heard.entry(worker).or_default().push(at);
        }
    }
    let received: Vec<Vec<i64>> = (0..WORKERS)
        .map(|n| {
            let text = fs::read_to_string(directory.join(format!("w{n}.jsonl"))).unwrap_or_default();
            let lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
            lines.filter(|l| l["seen"] == "received").filter_map(|l| l["at_us"].as_i64()).collect()
        })
        .collect();
    let histogram = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).unwrap();
    let (mut written, mut to_gateway, mut last) = (histogram(), histogram(), histogram());
    let mut missed = 0;
    for d in drains {
        written.record((d.written_us - d.asked_us).max(1) as u64).unwrap();
        let day = d.asked_us % 86_400_000_000;
        match heard.get(&d.worker).and_then(|h| h.iter().find(|at| **at >= day && **at < day + 400_000)) {
            Some(at) => to_gateway.record((at - day).max(1) as u64).unwrap(),
            None => missed += 1,
        }
        let of_worker = received[d.worker].iter().filter(|at| (d.asked_us..d.over_us).contains(at));
        last.record(of_worker.max().map_or(1, |at| (at - d.asked_us).max(1)) as u64).unwrap();
    }
    let row = |stage: &str, h: &Histogram<u64>| {
        let ms = |us: u64| us as f64 / 1_000.0;
        let (p50, p99, max) = (ms(h.value_at_quantile(0.5)), ms(h.value_at_quantile(0.99)), ms(h.max()));
        println!("{name:<16} {stage:<26} {p50:>8.2} {p99:>8.2} {max:>8.2}");
    };
    row("written in the registry", &written);
    row("heard by the gateway", &to_gateway);
    row("last work at the worker", &last);
    let served = served.map(|(all, good)| format!("; {good} of {all} calls served")).unwrap_or_default();
    let changes = changes.map(|n| format!("; {n} other changes")).unwrap_or_default();
    println!("{name:<16} drains not heard: {missed}{served}{changes}");
}
