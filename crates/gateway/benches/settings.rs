//! From the publishing of a document to all gateways acting by it, and what a change brings at the registry, by the number of
//! gateways; without faults, and with one gateway in ten standing still. `cargo bench -p slatevalve-gateway --bench settings`
//!
//! Everything is on this machine: gateways start with one core each in mind, and many share it here.

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

const CHANGES: usize = 20;
const PATIENCE: Duration = Duration::from_secs(60);

struct Process(Child, SocketAddr);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    let mut child = command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("ready ").unwrap().parse().unwrap();
    Process(child, address)
}

/// What passed on the way to the registry.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    bytes: AtomicU64,
}

fn carry(mut from: TcpStream, mut to: TcpStream, counts: Arc<Counts>, asks: bool) {
    let mut bytes = [0; 16_384];
    while let Ok(count) =
        from.read(&mut bytes).map_err(|_| ()).and_then(|n| if n == 0 { Err(()) } else { Ok(n) })
    {
        counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if asks && bytes.starts_with(b"POST ") {
            counts.requests.fetch_add(1, Ordering::Relaxed);
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// A way to the registry that counts.
fn counted(registry: SocketAddr) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, counts) = (listener.local_addr().unwrap(), Arc::new(Counts::default()));
    let all = counts.clone();
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(to) = TcpStream::connect(registry) else { continue };
            let _ = (from.set_nodelay(true), to.set_nodelay(true));
            let (back, forth) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let (one, other) = (all.clone(), all.clone());
            thread::spawn(move || carry(from, forth, one, true));
            thread::spawn(move || carry(to, back, other, false));
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

/// How many gateways act by a document alone.
fn acting(registry: SocketAddr, number: u64) -> usize {
    let rights =
        entries(registry).into_iter().filter(|e| e.key.0.starts_with(b"/slatevalve/agreement/rights/"));
    let rights = rights.filter_map(|e| serde_json::from_slice::<Value>(&e.value.0).ok());
    rights
        .filter(|r| r["stance"]["prepared"].is_null() && r["stance"]["committed"]["number"] == number)
        .count()
}

fn wait_for(registry: SocketAddr, number: u64, gateways: usize) {
    let began = Instant::now();
    while acting(registry, number) < gateways {
        assert!(began.elapsed() < PATIENCE, "{} of {gateways} act by {number}", acting(registry, number));
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

fn main() {
    println!("| gateways | fault | p50 ms | p99 ms | worst ms | requests a change | KB a change |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for gateways in [5, 20, 100, 200] {
        let directory = tempfile::tempdir().unwrap();
        let registry = start(&["kv"]);
        let (way, counts) = counted(registry.1);
        publish(directory.path(), registry.1, 1_000);
        let all: Vec<Process> = (0..gateways)
            .map(|n| {
                let file = directory.path().join(format!("g{n}.scm"));
                let own = format!(
                    "(gateway (name \"g{n}\")) (mqtt (listen \"127.0.0.1:0\")) (agreed (registry \"{way}\"))"
                );
                fs::write(&file, own).unwrap();
                start(&["run", file.to_str().unwrap()])
            })
            .collect();
        wait_for(registry.1, 1, gateways);
        let mut number = 1;
        for still in [0, gateways / 10] {
            let signal = |name: &str| {
                for process in &all[..still] {
                    let pid = process.0.id().to_string();
                    assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
                }
            };
            let mut times = Histogram::<u64>::new(3).unwrap();
            let (mut requests, mut bytes) = (0, 0);
            let changes = if still > 0 { CHANGES / 4 } else { CHANGES };
            for _ in 0..changes {
                signal("STOP");
                let before = (counts.requests.load(Ordering::Relaxed), counts.bytes.load(Ordering::Relaxed));
                number += 1;
                let began = Instant::now();
                publish(directory.path(), registry.1, 1_000 + number as usize);
                wait_for(registry.1, number, gateways - still);
                times.record(began.elapsed().as_micros() as u64).unwrap();
                requests += counts.requests.load(Ordering::Relaxed) - before.0;
                bytes += counts.bytes.load(Ordering::Relaxed) - before.1;
                signal("CONT");
                wait_for(registry.1, number, gateways);
            }
            let ms = |part: f64| times.value_at_quantile(part) as f64 / 1e3;
            println!(
                "| {gateways} | {still} stand still | {:.0} | {:.0} | {:.0} | {} | {} |",
                ms(0.5),
                ms(0.99),
                times.max() as f64 / 1e3,
                requests / changes as u64,
                bytes / changes as u64 / 1_000
            );
        }
    }
}
