//! A gateway restarts with its remembered list while the registry is slow: a worker has drained meanwhile.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// By how much every answer of the registry is late; `timeout-ms` is 2000.
const DELAY_MS: u64 = 400;
/// `drain-grace-ms`, and the platform's slack of 50 ms.
const GRACE_MS: u128 = 300;
const FUNCTIONS: u32 = 24;

pub fn run(case: &Case) -> Fallible<Verdict> {
    let (_registry, registry) = Process::start(case, "kv", &["kv", "--listen", "127.0.0.1:0"])?;
    let mut workers = BTreeMap::new();
    for name in ["w1", "w2", "w3"] {
        let worker = Worker::quiet(name, &case.record, Duration::from_millis(5))?;
        let value = format!("{{\"address\":\"{}\"}}", worker.address);
        put(registry, &format!("/slatevalve/workers/{name}"), &value)?;
        case.record.line(format!("{name} at {} is in the registry, ready", worker.address));
        workers.insert(name, worker);
    }
    let proxy = Proxy::start(registry, &case.record)?;
    let list = case.temp.join("list");
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (class \"quote\" (effect safe) (aim-ms 800) (deadline-ms 3000) (worth 2) (late-worth 0.1))\n\
         (route \"calls/quote/+\" (class \"quote\") (function \"{{3}}\"))\n\
         (function \"*\" (lanes 16) (load-ms 10))\n\
         (rules (drain-grace-ms 250))\n\
         (members (registry \"{}\") (remember \"{}\"))\n",
        proxy.address,
        list.display()
    );
    let file = case.write("site.scm", &settings)?;
    let path = file.to_string_lossy().into_owned();
    let (mut gateway, address) = Process::start(case, "gw-1", &["run", &path])?;
    thread::sleep(Duration::from_secs(1));
    calls(address, "desk-1", Duration::from_secs(2))?;
    let before: Vec<usize> = workers.values().map(|worker| worker.runs().len()).collect();
    case.record.line(format!("calls that ran at w1, w2, w3 so far: {before:?}"));
    if before.contains(&0) || !list.exists() {
        return Err("not all workers were in use, or the list was not kept".into());
    }
    gateway.signal(SIGTERM);
    gateway.wait(Duration::from_secs(10)).ok_or("the gateway did not stop")?;
    let (code, output, errors) = run_command(case, &["members", "--registry", &registry.to_string(), "drain", "w1"])?;
    case.record.line(format!("operator: members drain w1 -> {code} {output}{errors}"));
    if code != 0 {
        return Err("the drain was not taken".into());
    }
    proxy.told_ms.store(0, Ordering::SeqCst);
    if case.trouble {
        proxy.delay_ms.store(DELAY_MS, Ordering::SeqCst);
        case.record.line(format!("from now on each answer of the registry is {DELAY_MS} ms late"));
    }
    let (_gateway, address) = Process::start(case, "gw-1", &["run", &path])?;
    calls(address, "desk-2", Duration::from_secs(6))?;
    let told = u128::from(proxy.told_ms.load(Ordering::SeqCst));
    if told == 0 {
        return Err("the gateway was not told of the drain".into());
    }
    case.record.line(format!("the gateway was told of the drain at {told} ms"));
    let runs = workers["w1"].runs();
    let late: Vec<u128> = runs.iter().map(|run| run.at_ms).filter(|at| *at > told + GRACE_MS).collect();
    for at in &late {
        case.record.line(format!("w1 got a call at {at} ms, {} ms after the gateway was told", at - told));
    }
    case.record.line(format!("later than {GRACE_MS} ms after it was told: {} calls at w1", late.len()));
    match late.last() {
        None => Ok(Verdict::Held),
        Some(last) => Ok(Verdict::Broken(format!(
            "{} new calls reached w1 more than 250 ms after the gateway was told that it drains, the last one {} ms after",
            late.len(),
            last - told
        ))),
    }
}

/// Publishes a quote each 10 ms, of many functions, and acknowledges the answers.
fn calls(address: SocketAddr, name: &str, time: Duration) -> Fallible<()> {
    let mut client = Client::connect(address, Version::V5, name, true, 1_000)?;
    let until = Instant::now() + time;
    let mut number = 0u16;
    while Instant::now() < until {
        number += 1;
        client.publish(&Publish {
            topic: format!("calls/quote/f{}", u32::from(number) % FUNCTIONS),
            payload: format!("call={name}-{number}").into_bytes(),
            id: number,
            response_topic: Some(format!("replies/{name}")),
            correlation: Some(number.to_string().into_bytes()),
            ..Publish::default()
        });
        let next = Instant::now() + Duration::from_millis(10);
        while let Some((first, body)) = client.packets.next(next.saturating_duration_since(Instant::now())) {
            if first >> 4 == 3 {
                if let Some(answer) = Publish::decode(client.version, first, &body) {
                    client.packets.send(&puback(answer.id));
                }
            }
        }
    }
    Ok(())
}

/// Writes a key by the JSON mapping of etcd's protocol.
fn put(registry: SocketAddr, key: &str, value: &str) -> Fallible<()> {
    let body = format!("{{\"key\":\"{}\",\"value\":\"{}\"}}", base64(key.as_bytes()), base64(value.as_bytes()));
    let mut stream = TcpStream::connect(registry)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "POST /v3/kv/put HTTP/1.1\r\nHost: {registry}\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    let mut answer = [0; 256];
    let count = stream.read(&mut answer)?;
    match answer[..count].starts_with(b"HTTP/1.1 200") {
        true => Ok(()),
        false => Err("the registry did not take a key".into()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0u32, |bits, byte| (bits << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

/// A proxy before the registry: every answer is late by the same time, in order.
struct Proxy {
    address: SocketAddr,
    delay_ms: Arc<AtomicU64>,
    /// When the gateway was first handed a watch's events, by the record's clock; 0 for not yet.
    told_ms: Arc<AtomicU64>,
}

impl Proxy {
    fn start(target: SocketAddr, record: &Record) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let proxy = Proxy { address, delay_ms: Arc::default(), told_ms: Arc::default() };
        let (delay, told, record) = (proxy.delay_ms.clone(), proxy.told_ms.clone(), record.clone());
        thread::spawn(move || accept(&listener, target, &delay, &told, &record));
        Ok(proxy)
    }
}

fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    delay: &Arc<AtomicU64>,
    told: &Arc<AtomicU64>,
    record: &Record,
) {
    for client in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(target) else { continue };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(from), Ok(to), Ok(back)) = (client.try_clone(), server.try_clone(), server.try_clone()) else { continue };
        let is_watch = Arc::new(AtomicBool::new(false));
        let marks = is_watch.clone();
        thread::spawn(move || questions(from, to, &marks));
        let queue: Arc<Mutex<std::collections::VecDeque<(Instant, Option<Vec<u8>>)>>> = Arc::default();
        let (filled, delay, told, record) = (queue.clone(), delay.clone(), told.clone(), record.clone());
        thread::spawn(move || {
            let mut from = back;
            let mut buffer = [0; 65536];
            loop {
                let count = from.read(&mut buffer).unwrap_or(0);
                let at = Instant::now() + Duration::from_millis(delay.load(Ordering::SeqCst));
                filled.lock().unwrap().push_back((at, (count > 0).then(|| buffer[..count].to_vec())));
                if count == 0 {
                    return;
                }
            }
        });
        thread::spawn(move || loop {
            let due = {
                let mut queue = queue.lock().unwrap();
                queue.pop_front_if(|(at, _)| *at <= Instant::now())
            };
            match due {
                None => thread::sleep(Duration::from_millis(1)),
                Some((_, None)) => {
                    let _ = client.shutdown(Shutdown::Both);
                    return;
                }
                Some((_, Some(bytes))) => {
                    let has_events = is_watch.load(Ordering::SeqCst) && String::from_utf8_lossy(&bytes).contains("\"events\"");
                    if (&client).write_all(&bytes).is_err() {
                        return;
                    }
                    if has_events && told.load(Ordering::SeqCst) == 0 {
                        told.store(record.ms() as u64, Ordering::SeqCst);
                        record.line("the registry's watch hands events to the gateway");
                    }
                }
            }
        });
    }
}

fn questions(mut from: TcpStream, mut to: TcpStream, is_watch: &AtomicBool) {
    let mut buffer = [0; 65536];
    while let Ok(count) = from.read(&mut buffer) {
        if String::from_utf8_lossy(&buffer[..count]).contains("POST /v3/watch") {
            is_watch.store(true, Ordering::SeqCst);
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
