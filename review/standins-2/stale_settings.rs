//! Two changes of versioned settings in a row, while the questions of one of two gateways reach the registry late.

use crate::common::*;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// By how much each question of gw-1 reaches the registry late; `timeout-ms` is 2000.
const DELAY_MS: u64 = 500;
/// What a call may be on its way, on loopback, after the commit was reported.
const WAY_MS: u128 = 50;

pub fn run(case: &Case) -> Fallible<Verdict> {
    let (_registry, registry) = Process::start(case, "kv", &["kv", "--listen", "127.0.0.1:0"])?;
    let worker = Worker::quiet("node-1", &case.record, Duration::from_millis(3))?;
    let proxy = Proxy::start(registry)?;
    let mut files = Vec::new();
    for (number, function) in [(1, "a-{3}"), (2, "b-{3}"), (3, "a-{3}")] {
        let document = format!(
            "(agreement (in-doubt go-on))\n\
             (class \"charge\" (effect unsafe) (aim-ms 1000) (deadline-ms 3000) (worth 3))\n\
             (route \"calls/charge/+\" (class \"charge\") (function \"{function}\"))\n\
             (function \"*\" (lanes 64) (load-ms 10))\n\
             (worker \"node-1\" (address \"{}\"))\n",
            worker.address
        );
        files.push(case.write(&format!("document-{number}.scm"), &document)?.to_string_lossy().into_owned());
    }
    let (code, output, _) = run_command(case, &["settings", "diff", &files[1], &files[2]])?;
    case.record.line(format!("settings diff of documents 2 and 3: exit code {code} (1: they conflict): {output}"));
    if code != 1 {
        return Err("the documents do not conflict".into());
    }
    let address_text = registry.to_string();
    let publish = |number: usize| -> Fallible<u128> {
        let began = case.record.ms();
        let (code, output, errors) = run_command(
            case,
            &["settings", "--registry", &address_text, "--json", "publish", &files[number - 1], "--why", "review"],
        )?;
        let ended = case.record.ms();
        case.record.line(format!("publish of document {number}, begun at {began} ms: exit code {code}, {output}{errors}"));
        match code == 0 && output.contains(&format!("\"number\":{number}")) {
            true => Ok(ended),
            false => Err(format!("document {number} was not committed").into()),
        }
    };
    publish(1)?;
    let mut gateways = Vec::new();
    for (name, source) in [("gw-1", proxy.address), ("gw-2", registry)] {
        let settings = format!(
            "(gateway (name \"{name}\")) (mqtt (listen \"127.0.0.1:0\"))\n(agreed (registry \"{source}\") (lives \"{}\"))\n",
            case.temp.join(format!("{name}.lives")).display()
        );
        let file = case.write(&format!("{name}.scm"), &settings)?;
        gateways.push(Process::start(case, name, &["run", &file.to_string_lossy()])?);
    }
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (name, (_, address)) in ["desk-1", "desk-2"].into_iter().zip(&gateways) {
        let (stop, address) = (stop.clone(), *address);
        clients.push(thread::spawn(move || charges(address, name, &stop)));
    }
    if case.trouble {
        proxy.delay_ms.store(DELAY_MS, Ordering::SeqCst);
        case.record.line(format!("from now on each question of gw-1 reaches the registry {DELAY_MS} ms late"));
        thread::sleep(Duration::from_millis(2 * DELAY_MS));
    }
    publish(2)?;
    // The third change comes as soon as gw-1 acts by the second document.
    let until = Instant::now() + Duration::from_secs(20);
    while !worker.runs().iter().any(|run| run.gateway == "gw-1" && run.settings == [2]) {
        if Instant::now() > until {
            return Err("gw-1 does not act by document 2".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    case.record.line("gw-1 acts by document 2");
    let committed = publish(3)?;
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")??;
    }
    let runs = worker.runs();
    let after = |run: &&Run| run.at_ms > committed + WAY_MS;
    let by_newest = runs.iter().filter(after).filter(|run| run.gateway == "gw-2" && run.settings == [3]).count();
    let stale: Vec<&Run> =
        runs.iter().filter(after).filter(|run| run.settings.iter().max().is_some_and(|newest| *newest < 3)).collect();
    if runs.is_empty() || by_newest == 0 {
        return Err("no charges ran by document 3".into());
    }
    for run in stale.iter().take(5) {
        case.record.line(format!(
            "at {} ms, {} ms after the commit of document 3: a charge of {} by document {:?}, function {}",
            run.at_ms, run.at_ms - committed, run.gateway, run.settings, run.function
        ));
    }
    let until = stale.last().map_or(0, |run| run.at_ms - committed);
    case.record.line(format!("document 3 was committed by {committed} ms; charges by an older one later: {}, the last {until} ms after", stale.len()));
    let meanwhile =
        runs.iter().filter(after).filter(|run| run.gateway == "gw-2" && run.settings == [3] && run.at_ms < committed + until).count();
    case.record.line(format!("charges of gw-2 by document 3 in the same time: {meanwhile}"));
    if stale.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} charges ran by document 2, up to {until} ms after document 3, which conflicts with it, was committed; {meanwhile} \
         by document 3 meanwhile",
        stale.len()
    )))
}

/// Publishes a charge each 10 ms, each with a key of its own, and acknowledges the answers.
fn charges(address: SocketAddr, name: &str, stop: &AtomicBool) -> Fallible<()> {
    let mut client = Client::connect(address, Version::V5, name, true, 1_000)?;
    let mut number = 0u16;
    while !stop.load(Ordering::SeqCst) && !client.packets.closed {
        number += 1;
        client.publish(&Publish {
            topic: "calls/charge/card".into(),
            payload: format!("call={name}-{number}").into_bytes(),
            id: number,
            response_topic: Some(format!("replies/{name}")),
            correlation: Some(number.to_string().into_bytes()),
            user: vec![("key".into(), format!("{name}-{number}"))],
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

/// A proxy before the registry: every question is late by the same time, in order; answers pass at once.
struct Proxy {
    address: SocketAddr,
    delay_ms: Arc<AtomicU64>,
}

impl Proxy {
    fn start(target: SocketAddr) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let proxy = Proxy { address, delay_ms: Arc::default() };
        let delay = proxy.delay_ms.clone();
        thread::spawn(move || accept(&listener, target, &delay));
        Ok(proxy)
    }
}

type Queue = Arc<Mutex<VecDeque<(Instant, Option<Vec<u8>>)>>>;

fn accept(listener: &TcpListener, target: SocketAddr, delay: &Arc<AtomicU64>) {
    for client in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(target) else { continue };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(questions), Ok(late)) = (client.try_clone(), server.try_clone()) else { continue };
        let (queue, delay) = (Queue::default(), delay.clone());
        let shared = queue.clone();
        thread::spawn(move || {
            let mut from = questions;
            let mut buffer = [0; 65536];
            loop {
                let count = from.read(&mut buffer).unwrap_or(0);
                let at = Instant::now() + Duration::from_millis(delay.load(Ordering::SeqCst));
                shared.lock().unwrap().push_back((at, (count > 0).then(|| buffer[..count].to_vec())));
                if count == 0 {
                    return;
                }
            }
        });
        thread::spawn(move || loop {
            let due = queue.lock().unwrap().pop_front_if(|(at, _)| *at <= Instant::now());
            match due {
                None => thread::sleep(Duration::from_millis(1)),
                Some((_, Some(bytes))) if (&late).write_all(&bytes).is_ok() => {}
                Some(_) => {
                    let _ = late.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
        thread::spawn(move || {
            let (mut from, mut to) = (server, client);
            let mut buffer = [0; 65536];
            while let Ok(count) = from.read(&mut buffer) {
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}
