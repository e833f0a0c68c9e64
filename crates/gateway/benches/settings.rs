//! The time from publishing a document until all gateways use it, and the registry traffic of a change, by
//! the number of gateways; without faults, and with one gateway in ten stopped (SIGSTOP).
//! `cargo bench -p slatevalve-gateway --bench settings`
//!
//! All processes share one machine, although a gateway is designed to have a core of its own.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use slatevalve_registry::wire::{Bytes, KeyValue, RangeResponse};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Changes measured without a fault; with one, a quarter of them.
const CHANGES: usize = 20;
/// A change that has not reached all gateways after this time fails the benchmark.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A running process, killed on drop.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(arguments: &[&str]) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    let mut child = command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("ready ").unwrap().parse().unwrap();
    Process { child, address }
}

/// Traffic of the registry.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    bytes: AtomicU64,
}

/// Copies bytes from one connection to another until either ends.
fn forward(mut from: TcpStream, mut to: TcpStream, counts: Arc<Counts>, direction: Direction) {
    let mut buffer = [0; 16_384];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if direction == Direction::ToRegistry && buffer.starts_with(b"POST ") {
            counts.requests.fetch_add(1, Ordering::Relaxed);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Direction in which a connection's bytes are forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToRegistry,
    FromRegistry,
}

/// Starts a proxy of the registry that counts requests and bytes.
fn counting_proxy(registry: SocketAddr) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, counts) = (listener.local_addr().unwrap(), Arc::new(Counts::default()));
    let all = counts.clone();
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(to) = TcpStream::connect(registry) else { continue };
            let _ = (from.set_nodelay(true), to.set_nodelay(true));
            let (client, server) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let (requests, responses) = (all.clone(), all.clone());
            thread::spawn(move || forward(from, server, requests, Direction::ToRegistry));
            thread::spawn(move || forward(to, client, responses, Direction::FromRegistry));
        }
    });
    (address, counts)
}

fn entries(registry: SocketAddr) -> Vec<KeyValue> {
    let mut stream = TcpStream::connect(registry).unwrap();
    let (key, end) = (Bytes::of("/slatevalve/agreement/"), Bytes::of("/slatevalve/agreement/rights0"));
    let body = json!({"key": key, "range_end": end}).to_string();
    let head =
        format!("POST /v3/kv/range HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = BufReader::new(stream);
    let (mut length, mut line) = (0, String::new());
    while line != "\r\n" {
        line.clear();
        answer.read_line(&mut line).unwrap();
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut bytes = vec![0; length];
    answer.read_exact(&mut bytes).unwrap();
    serde_json::from_slice::<RangeResponse>(&bytes).unwrap().kvs
}

/// Returns how many gateways use this document and no other.
fn gateways_using(registry: SocketAddr, number: u64) -> usize {
    let is_lease = |entry: &KeyValue| entry.key.0.starts_with(b"/slatevalve/agreement/rights/");
    let leases = entries(registry).into_iter().filter(is_lease);
    let leases = leases.filter_map(|entry| serde_json::from_slice::<Value>(&entry.value.0).ok());
    let uses_only_it = |lease: &Value| {
        lease["stance"]["prepared"].is_null() && lease["stance"]["committed"]["number"] == number
    };
    leases.filter(uses_only_it).count()
}

fn wait_for(registry: SocketAddr, number: u64, gateways: usize) {
    let began = Instant::now();
    while gateways_using(registry, number) < gateways {
        assert!(
            began.elapsed() < TIMEOUT,
            "{} of {gateways} act by {number}",
            gateways_using(registry, number)
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn publish(directory: &Path, registry: SocketAddr, window_ms: usize) {
    let file = directory.join("document.scm");
    let text = format!(
        "(class \"charge\" (effect keyed (group all) (window-ms {window_ms})) (aim-ms 1000) (deadline-ms 5000))
         (route \"charge/+\" (class \"charge\") (function \"{{2}}\"))
         (agreement (right-ms 1000) (in-doubt give-up))"
    );
    fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    let registry = registry.to_string();
    command.args([
        "settings",
        "--json",
        "--registry",
        &registry,
        "publish",
        file.to_str().unwrap(),
        "--why",
        "bench",
    ]);
    assert!(command.stdout(Stdio::null()).stderr(Stdio::null()).status().unwrap().success());
}

/// A registry, the proxy before it, and gateways that use its documents.
struct Fleet {
    gateways: Vec<Process>,
    registry: Process,
    counts: Arc<Counts>,
    directory: tempfile::TempDir,
    /// The number of the last document.
    number: u64,
}

impl Fleet {
    /// Starts a fleet in which all gateways use the first document.
    fn start(gateways: usize) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let registry = start(&["kv"]);
        let (proxy, counts) = counting_proxy(registry.address);
        publish(directory.path(), registry.address, 1_000);
        let gateways: Vec<Process> =
            (0..gateways).map(|index| start_gateway(directory.path(), index, proxy)).collect();
        wait_for(registry.address, 1, gateways.len());
        Fleet { gateways, registry, counts, directory, number: 1 }
    }

    /// Measures changes while `stopped` gateways are stopped, and prints a row.
    fn measure(&mut self, stopped: usize) {
        let mut times = Histogram::<u64>::new(3).unwrap();
        let (mut requests, mut bytes) = (0, 0);
        let changes = if stopped > 0 { CHANGES / 4 } else { CHANGES };
        for _ in 0..changes {
            self.gateways[..stopped].iter().for_each(|gateway| gateway.signal("STOP"));
            let requests_before = self.counts.requests.load(Ordering::Relaxed);
            let bytes_before = self.counts.bytes.load(Ordering::Relaxed);
            self.number += 1;
            let began = Instant::now();
            publish(self.directory.path(), self.registry.address, 1_000 + self.number as usize);
            wait_for(self.registry.address, self.number, self.gateways.len() - stopped);
            times.record(began.elapsed().as_micros() as u64).unwrap();
            requests += self.counts.requests.load(Ordering::Relaxed) - requests_before;
            bytes += self.counts.bytes.load(Ordering::Relaxed) - bytes_before;
            self.gateways[..stopped].iter().for_each(|gateway| gateway.signal("CONT"));
            wait_for(self.registry.address, self.number, self.gateways.len());
        }
        let millis = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "| {} | {stopped} stand still | {:.0} | {:.0} | {:.0} | {} | {} |",
            self.gateways.len(),
            millis(0.5),
            millis(0.99),
            times.max() as f64 / 1e3,
            requests / changes as u64,
            bytes / changes as u64 / 1_000
        );
    }
}

fn start_gateway(directory: &Path, index: usize, proxy: SocketAddr) -> Process {
    let file = directory.join(format!("g{index}.scm"));
    let own = format!(
        "(gateway (name \"g{index}\")) (mqtt (listen \"127.0.0.1:0\")) (agreed (registry \"{proxy}\"))"
    );
    fs::write(&file, own).unwrap();
    start(&["run", file.to_str().unwrap()])
}

fn main() {
    println!("| gateways | fault | p50 ms | p99 ms | worst ms | requests a change | KB a change |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for gateways in [5, 20, 100, 200] {
        let mut fleet = Fleet::start(gateways);
        for stopped in [0, gateways / 10] {
            fleet.measure(stopped);
        }
    }
}
