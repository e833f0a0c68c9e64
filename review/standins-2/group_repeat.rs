//! One of two gateways in a group behind a broker is killed; the broker hands its unacknowledged bookings to the other.

use crate::common::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `window-ms` of the class: how long the workers of a cell drop repeats of a key.
const WINDOW: Duration = Duration::from_secs(6);
const WORK: Duration = Duration::from_millis(400);
const KILL_AFTER: Duration = Duration::from_millis(200);
const BOOKINGS: usize = 12;
const FUNCTIONS: usize = 3;
/// How long an app waits before it sends a refused booking again, and how often it does.
const AGAIN_AFTER: Duration = Duration::from_millis(250);
const AGAIN: usize = 3;

pub fn run(case: &Case) -> Fallible<Verdict> {
    let broker = Broker::start(&case.record)?;
    let mut workers = Vec::new();
    for cell in 1..=3 {
        workers.push(CellWorker::start(cell, &case.record)?);
    }
    let mut gateways = Vec::new();
    for name in ["gw-1", "gw-2"] {
        let lines: String = workers
            .iter()
            .map(|worker| {
                format!("(worker \"node-{0}\" (address \"{1}\") (cell {0}))\n", worker.cell, worker.address)
            })
            .collect();
        let settings = format!(
            "(gateway (name \"{name}\") (routers 2) (seed {}))\n(mqtt (listen \"127.0.0.1:0\"))\n\
             (bridge (broker \"{}\") (client-id \"{name}\") (group \"gateways\"))\n\
             (class \"booking\" (effect keyed (group cell) (window-ms 6000)) (aim-ms 1500) (deadline-ms 3000) (worth 3))\n\
             (route \"calls/booking/+\" (class \"booking\") (function \"{{3}}\"))\n\
             (function \"*\" (lanes 8) (load-ms 10))\n{lines}",
            if name == "gw-1" { 1 } else { 2 },
            broker.address
        );
        let file = case.write(&format!("{name}.scm"), &settings)?;
        gateways.push(Process::start(case, name, &["run", &file.to_string_lossy()])?.0);
    }
    if !broker.wait_for(Duration::from_secs(8), |state| state.sessions.values().filter(|s| s.subscribed).count() == 2) {
        return Err("the bridges did not subscribe".into());
    }
    // Bookings at a steady pace first, so that both gateways know the workers.
    for number in 0..60 {
        broker.publish(&format!("first-{number}"));
        thread::sleep(Duration::from_millis(100));
    }
    if !broker.wait_for(Duration::from_secs(6), |state| state.answers.len() >= 60) {
        return Err("the first bookings were not answered".into());
    }
    let started = Instant::now();
    for number in 0..BOOKINGS {
        broker.publish(&format!("ride-{number}"));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(KILL_AFTER.saturating_sub(started.elapsed()));
    if case.trouble {
        gateways[0].signal(SIGKILL);
    }
    thread::sleep(Duration::from_secs(4));
    let mut cells: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
    for worker in &workers {
        for key in worker.ran.lock().unwrap().iter().filter(|key| key.contains("ride-")) {
            cells.entry(key.clone()).or_default().insert(worker.cell);
        }
    }
    let twice: Vec<String> =
        cells.iter().filter(|(_, cells)| cells.len() > 1).map(|(key, cells)| format!("{key} in cells {cells:?}")).collect();
    case.record.line(format!("bookings that ran: {}, in more than one cell: {}", cells.len(), twice.len()));
    if cells.len() < BOOKINGS / 3 {
        return Err("too few bookings ran".into());
    }
    if twice.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("{} bookings ran twice within {WINDOW:?}: {}", twice.len(), twice.join("; "))))
}

/// The only worker of its cell. It drops a repeat of a key within the window: it gives the first run's answer.
struct CellWorker {
    cell: u32,
    address: SocketAddr,
    /// The keys of the calls that ran, in order.
    ran: Arc<Mutex<Vec<String>>>,
}

impl CellWorker {
    fn start(cell: u32, record: &Record) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
        let (shared, record) = (ran.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (ran, seen, record) = (shared.clone(), seen.clone(), record.clone());
                thread::spawn(move || serve(stream, cell, &record, &ran, &seen));
            }
        });
        Ok(CellWorker { cell, address, ran })
    }
}

fn serve(
    stream: TcpStream,
    cell: u32,
    record: &Record,
    ran: &Mutex<Vec<String>>,
    seen: &Mutex<HashMap<String, Instant>>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let path = line.split(' ').nth(1)?.to_string();
        let mut headers: HashMap<String, String> = HashMap::new();
        loop {
            let mut header = String::new();
            input.read_line(&mut header).ok()?;
            let Some((key, value)) = header.trim_end().split_once(':') else { break };
            headers.insert(key.to_ascii_lowercase(), value.trim().to_string());
        }
        let mut body = vec![0; headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0)];
        input.read_exact(&mut body).ok()?;
        let (extra, answer) = if path.ends_with("/infer") {
            // The key is hexadecimal on the wire.
            let hex = headers.get("idempotency-key").cloned().unwrap_or_default();
            let bytes: Vec<u8> = (0..hex.len() / 2).filter_map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()).collect();
            let key = String::from_utf8_lossy(&bytes).into_owned();
            let gateway = headers.get("x-gateway").cloned().unwrap_or_default();
            let is_repeat = {
                let mut seen = seen.lock().unwrap();
                let is_repeat = seen.get(&key).is_some_and(|at| at.elapsed() < WINDOW);
                if !is_repeat {
                    seen.insert(key.clone(), Instant::now());
                    ran.lock().unwrap().push(key.clone());
                }
                is_repeat
            };
            if key.contains("ride-") {
                let what = if is_repeat { "drops a repeat of" } else { "runs" };
                record.line(format!("cell {cell}: {what} booking {key}, sent by {gateway}"));
            }
            thread::sleep(WORK);
            let text = format!("booked {key}");
            let head = format!(
                "{{\"model_name\":\"\",\"outputs\":[{{\"name\":\"payload\",\"shape\":[1],\"datatype\":\"BYTES\",\
                 \"parameters\":{{\"binary_data_size\":{}}}}}]}}",
                text.len() + 4
            );
            let mut bytes = head.clone().into_bytes();
            bytes.extend_from_slice(&(text.len() as u32).to_le_bytes());
            bytes.extend_from_slice(text.as_bytes());
            (format!("Inference-Header-Content-Length: {}\r\nX-Crowd: 0\r\n", head.len()), bytes)
        } else if path.ends_with("/load") || path.ends_with("/index") {
            ("X-Copies: 1\r\n".to_string(), b"[]".to_vec())
        } else {
            (String::new(), b"{}".to_vec())
        };
        let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{extra}\r\n", answer.len()).into_bytes();
        bytes.extend_from_slice(&answer);
        output.write_all(&bytes).ok()?;
    }
}

fn number_of(name: &str) -> usize {
    name.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

#[derive(Default)]
struct Session {
    connection: Option<TcpStream>,
    subscribed: bool,
    /// What was sent and not acknowledged, by packet id.
    open: BTreeMap<u16, Publish>,
    next_id: u16,
}

#[derive(Default)]
struct State {
    sessions: BTreeMap<String, Session>,
    turn: usize,
    answers: Vec<String>,
    /// How often each booking was refused.
    refused: BTreeMap<String, usize>,
}

/// A broker with a shared subscription, MQTT 5, QoS 1. As section 4.8.2 allows, it sends what a client had not
/// acknowledged to another one as soon as that client's connection is lost.
#[derive(Clone)]
struct Broker {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Broker {
    fn start(record: &Record) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let broker = Broker { address, state: Arc::default(), record: record.clone() };
        let shared = broker.clone();
        thread::spawn(move || shared.accept(&listener));
        Ok(broker)
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let shared = self.clone();
            thread::spawn(move || shared.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let writer = stream.try_clone().ok()?;
        let mut packets = Packets::new(stream).ok()?;
        let (first, body) = packets.next(Duration::from_secs(5))?;
        if first != 0x10 {
            return None;
        }
        let mut reader = Reader(&body);
        reader.string()?;
        reader.take(4)?;
        let length = reader.variable()?;
        reader.take(length)?;
        let name = String::from_utf8_lossy(reader.string()?).into_owned();
        {
            let mut state = self.state.lock().unwrap();
            let session = state.sessions.entry(name.clone()).or_default();
            let present = session.subscribed;
            session.connection = Some(writer);
            packets.send(&packet(0x20, &[u8::from(present), 0, 0]));
        }
        self.record.line(format!("broker: {name} connects"));
        while !packets.closed {
            if let Some((first, body)) = packets.next(Duration::from_millis(50)) {
                self.handle(&mut packets, &name, first, &body);
            }
        }
        self.record.line(format!("broker: the connection of {name} is lost"));
        self.hand_over(&name);
        Some(())
    }

    fn handle(&self, packets: &mut Packets, name: &str, first: u8, body: &[u8]) -> Option<()> {
        let mut state = self.state.lock().unwrap();
        match first >> 4 {
            8 => {
                let mut reader = Reader(body);
                let id = reader.u16()?;
                state.sessions.get_mut(name)?.subscribed = true;
                let mut answer = id.to_be_bytes().to_vec();
                answer.extend_from_slice(&[0, 1]);
                packets.send(&packet(0x90, &answer));
            }
            3 => {
                let publish = Publish::decode(Version::V5, first, body)?;
                packets.send(&puback(publish.id));
                let correlation = String::from_utf8_lossy(publish.correlation.as_deref().unwrap_or_default()).into_owned();
                if correlation.contains("ride-") {
                    self.record.line(format!(
                        "broker: {name} answers {correlation}: {}, '{}'",
                        publish.user("outcome").unwrap_or("none"),
                        publish.text()
                    ));
                }
                let refused_before = state.refused.get(&correlation).copied().unwrap_or(0);
                if publish.user("outcome") == Some("refused") && correlation.contains("ride-") && refused_before < AGAIN {
                    *state.refused.entry(correlation.clone()).or_default() += 1;
                    let (broker, name) = (self.clone(), correlation.clone());
                    // "`refused` may be sent again as it is."
                    thread::spawn(move || {
                        thread::sleep(AGAIN_AFTER);
                        broker.publish(&name);
                    });
                }
                state.answers.push(correlation);
            }
            4 => {
                let id = u16::from_be_bytes([*body.first()?, *body.get(1)?]);
                state.sessions.get_mut(name)?.open.remove(&id);
            }
            12 => packets.send(&packet(0xD0, &[])),
            _ => {}
        }
        Some(())
    }

    fn hand_over(&self, name: &str) {
        let open = {
            let mut state = self.state.lock().unwrap();
            let Some(session) = state.sessions.get_mut(name) else { return };
            if let Some(connection) = session.connection.take() {
                let _ = connection.shutdown(Shutdown::Both);
            }
            std::mem::take(&mut session.open)
        };
        for publish in open.into_values() {
            self.send(publish, " again, as its first receiver is gone");
        }
    }

    /// Takes a booking of an app and sends it to one of the gateways, in turn.
    fn publish(&self, name: &str) {
        self.send(
            Publish {
                    topic: format!("calls/booking/taxi-{}", number_of(name) % FUNCTIONS),
                payload: format!("call={name}").into_bytes(),
                response_topic: Some("replies/app-1".into()),
                correlation: Some(name.as_bytes().to_vec()),
                user: vec![("key".into(), name.into())],
                ..Publish::default()
            },
            "",
        );
    }

    fn send(&self, publish: Publish, how: &str) {
        let mut state = self.state.lock().unwrap();
        state.turn += 1;
        let turn = state.turn;
        let mut present: Vec<(&String, &mut Session)> =
            state.sessions.iter_mut().filter(|(_, session)| session.subscribed && session.connection.is_some()).collect();
        if present.is_empty() {
            return;
        }
        let index = turn % present.len();
        let (name, session) = &mut present[index];
        session.next_id += 1;
        let publish = Publish { id: session.next_id, ..publish };
        if publish.text().contains("ride-") {
            self.record.line(format!("broker: sends {} to {name}{how}", publish.text()));
        }
        if let Some(connection) = &mut session.connection {
            let _ = connection.write_all(&publish.encode(Version::V5));
        }
        session.open.insert(publish.id, publish);
    }

    fn wait_for(&self, limit: Duration, done: impl Fn(&State) -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if done(&self.state.lock().unwrap()) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
