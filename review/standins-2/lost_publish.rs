//! A client whose connection drops under a publish sends it again on its resumed session.

use crate::common::*;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for an answer: the deadline of the class and the slack of the rules.
const DEADLINE: Duration = Duration::from_millis(3_005);

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
    let mut client = Client::connect(proxy.address, Version::V3, "till-1", false, 0)?;
    // The app asks for the same quote again and again, one at a time; its library gives the lowest free packet id.
    let quote = Publish { topic: "calls/quote/fare".into(), payload: b"work-us=2000".to_vec(), id: 1, ..Publish::default() };
    let mut unanswered = Vec::new();
    for number in 1..=3 {
        case.record.line(format!("till-1 publishes quote {number}, packet id 1"));
        let drops = case.trouble && number == 2;
        proxy.drops.store(drops, Ordering::SeqCst);
        client.publish(&quote);
        let sent_at = Instant::now();
        let (mut acknowledged, mut answered) = (false, 0);
        if drops {
            while !client.packets.closed && sent_at.elapsed() < Duration::from_secs(2) {
                client.packets.next(Duration::from_millis(20));
            }
            case.record.line("the connection dropped; nothing of the publish had reached the gateway");
            proxy.drops.store(false, Ordering::SeqCst);
            client = Client::connect(proxy.address, Version::V3, "till-1", false, 0)?;
            case.record.line(format!("till-1 is back, session present: {}", client.session_present));
            if !client.session_present {
                return Err("the gateway did not keep the session".into());
            }
            client.publish(&Publish { dup: true, ..quote.clone() });
            case.record.line("till-1 sends the publish again, packet id 1, DUP");
        }
        let resent_at = Instant::now();
        // The budget counts from when the gateway took the publish.
        while resent_at.elapsed() < DEADLINE && !(acknowledged && answered > 0) {
            let Some((first, body)) = client.packets.next(DEADLINE.saturating_sub(resent_at.elapsed())) else { break };
            match first >> 4 {
                4 => {
                    acknowledged = true;
                    case.record.line("PUBACK of packet id 1");
                }
                3 => {
                    let Some(answer) = Publish::decode(client.version, first, &body) else { continue };
                    client.packets.send(&puback(answer.id));
                    answered += 1;
                    case.record.line(format!("answer on {}: '{}'", answer.topic, answer.text()));
                }
                _ => {}
            }
        }
        // The acknowledgement of the answer is on its way.
        thread::sleep(Duration::from_millis(300));
        if acknowledged && answered == 0 {
            case.record.line(format!("quote {number}: acknowledged, and no answer within {DEADLINE:?}"));
            unanswered.push(number);
        } else if !acknowledged {
            return Err(format!("quote {number} was not acknowledged").into());
        }
    }
    case.record.line(format!("runs at the worker: {}", worker.runs().len()));
    if unanswered.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("accepted and never answered: quotes {unanswered:?}")))
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
