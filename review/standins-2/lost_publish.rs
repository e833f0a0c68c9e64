//! A client whose connection drops under a publish sends it again on its resumed session.

use crate::common::*;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for an answer: the deadline of the class, the slack of the rules, and a way on loopback.
const DEADLINE: Duration = Duration::from_millis(3_100);
const PUBREL: u8 = 0x62;
const PUBREC: u8 = 0x50;
const PUBCOMP: u8 = 0x70;

/// What came for one publish.
#[derive(Default)]
struct Seen {
    /// The publish was taken: PUBREC and PUBCOMP, or PUBACK.
    taken: bool,
    answers: usize,
}

pub fn run(case: &Case) -> Fallible<Verdict> {
    let worker = Worker::start("node-1", &case.record, Duration::from_millis(5))?;
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (class \"quote\" (effect safe) (aim-ms 800) (deadline-ms 3000) (worth 2) (late-worth 0.1))\n\
         (route \"calls/quote/+\" (class \"quote\") (function \"{{3}}\"))\n\
         (function \"fare\" (lanes 4) (load-ms 10))\n\
         (worker \"node-1\" (address \"{}\"))\n",
        worker.address
    );
    let file = case.write("site.scm", &settings)?;
    let (_gateway, address) = Process::start(case, "gw-1", &["run", &file.to_string_lossy()])?;
    let proxy = Proxy::start(address)?;
    let mut unanswered = Vec::new();
    for (name, qos2) in [("till-1", true), ("till-2", false)] {
        unanswered.extend(quotes(case, &proxy, name, qos2)?);
    }
    case.record.line(format!("runs at the worker: {} of 6", worker.runs().len()));
    if unanswered.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("taken and never answered: {}", unanswered.join(", "))))
}

/// An app asks for the same quote again and again, one at a time; its library takes the lowest free packet id. Returns
/// the quotes that were taken and not answered.
fn quotes(case: &Case, proxy: &Proxy, name: &str, qos2: bool) -> Fallible<Vec<String>> {
    let qos = if qos2 { 2 } else { 1 };
    let mut client = Client::connect(proxy.address, Version::V3, name, false, 0)?;
    let quote =
        Publish { topic: "calls/quote/fare".into(), payload: b"work-us=2000".to_vec(), id: 1, qos2, ..Publish::default() };
    let mut unanswered = Vec::new();
    for number in 1..=3 {
        case.record.line(format!("{name} publishes quote {number}, QoS {qos}, packet id 1"));
        let drops = case.trouble && number == 2;
        proxy.drops.store(drops, Ordering::SeqCst);
        client.publish(&quote);
        if drops {
            let sent_at = Instant::now();
            while !client.packets.closed && sent_at.elapsed() < Duration::from_secs(2) {
                client.packets.next(Duration::from_millis(20));
            }
            case.record.line("the connection drops; nothing of the publish has reached the gateway");
            proxy.drops.store(false, Ordering::SeqCst);
            client = Client::connect(proxy.address, Version::V3, name, false, 0)?;
            case.record.line(format!("{name} is back, session present: {}", client.session_present));
            if !client.session_present {
                return Err("the gateway did not keep the session".into());
            }
            client.publish(&Publish { dup: true, ..quote.clone() });
            case.record.line(format!("{name} sends the publish again, packet id 1, DUP"));
        }
        let seen = take(case, &mut client);
        // What is still to be acknowledged of the answer is on its way.
        take_rest(&mut client);
        if !seen.taken {
            return Err(format!("quote {number} of {name} was not taken").into());
        }
        if seen.answers == 0 {
            case.record.line(format!("quote {number} of {name}: taken, and no answer within {DEADLINE:?}"));
            unanswered.push(format!("quote {number} of {name} (QoS {qos})"));
        }
    }
    Ok(unanswered)
}

/// Waits until the publish is taken and answered, and completes the protocol's handshakes.
fn take(case: &Case, client: &mut Client) -> Seen {
    let until = Instant::now() + DEADLINE;
    let mut seen = Seen::default();
    while !(seen.taken && seen.answers > 0) {
        let Some((first, body)) = client.packets.next(until.saturating_duration_since(Instant::now())) else { break };
        let id = u16::from_be_bytes([body[0], body[1]]);
        match first >> 4 {
            4 => {
                case.record.line(format!("PUBACK of packet id {id}"));
                seen.taken = true;
            }
            5 => {
                case.record.line(format!("PUBREC of packet id {id}"));
                client.packets.send(&with_id(PUBREL, id));
            }
            7 => {
                case.record.line(format!("PUBCOMP of packet id {id}"));
                seen.taken = true;
            }
            6 => client.packets.send(&with_id(PUBCOMP, id)),
            3 => {
                let Some(answer) = Publish::decode(client.version, first, &body) else { continue };
                client.packets.send(&if answer.qos2 { with_id(PUBREC, answer.id) } else { puback(answer.id) });
                seen.answers += 1;
                case.record.line(format!("answer on {}: '{}'", answer.topic, answer.text()));
            }
            _ => {}
        }
    }
    seen
}

fn take_rest(client: &mut Client) {
    let until = Instant::now() + Duration::from_millis(300);
    while let Some((first, body)) = client.packets.next(until.saturating_duration_since(Instant::now())) {
        if first >> 4 == 6 {
            client.packets.send(&with_id(PUBCOMP, u16::from_be_bytes([body[0], body[1]])));
        }
    }
}

/// A proxy that forwards, or drops a connection when its client sends something.
struct Proxy {
    address: SocketAddr,
    drops: Arc<AtomicBool>,
}

impl Proxy {
    fn start(target: SocketAddr) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let drops = Arc::new(AtomicBool::new(false));
        let shared = drops.clone();
        thread::spawn(move || accept(&listener, target, &shared));
        Ok(Proxy { address, drops })
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, drops: &Arc<AtomicBool>) {
    for client in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(target) else { continue };
        let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { continue };
        let drops = drops.clone();
        thread::spawn(move || copy(from, to, Some(&drops)));
        thread::spawn(move || copy(server, client, None));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, drops: Option<&AtomicBool>) {
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || drops.is_some_and(|drops| drops.load(Ordering::SeqCst)) || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
