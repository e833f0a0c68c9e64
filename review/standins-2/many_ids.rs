//! A client whose library counts its packet ids up sends a publish again on its resumed session, after the connection
//! dropped in the middle of the reply.

use crate::common::*;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

/// Publishes that the session carries first, a few a second's worth of a call-centre desk.
const EARLIER: u16 = 2_200;
const BATCH: u16 = 40;

pub fn run(case: &Case) -> Fallible<Verdict> {
    let worker = Worker::quiet("node-1", &case.record, Duration::from_millis(3))?;
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (class \"quote\" (effect safe) (aim-ms 800) (deadline-ms 3000) (worth 2) (late-worth 0.1))\n\
         (route \"calls/quote/+\" (class \"quote\") (function \"{{3}}\"))\n\
         (function \"fare\" (lanes 64) (load-ms 10))\n\
         (worker \"node-1\" (address \"{}\"))\n",
        worker.address
    );
    let file = case.write("site.scm", &settings)?;
    let (_gateway, address) = Process::start(case, "gw-1", &["run", &file.to_string_lossy()])?;
    let mut client = Client::connect(address, Version::V5, "desk-1", false, 200)?;
    let mut answers: BTreeMap<u16, Vec<String>> = BTreeMap::new();
    let quote = |number: u16| Publish {
        topic: "calls/quote/fare".into(),
        payload: format!("call={number}").into_bytes(),
        id: number,
        response_topic: Some("replies/desk-1".into()),
        correlation: Some(number.to_string().into_bytes()),
        ..Publish::default()
    };
    let mut next = 1;
    while next <= EARLIER {
        let end = (next + BATCH).min(EARLIER + 1);
        (next..end).for_each(|number| client.publish(&quote(number)));
        take(&mut client, &mut answers, Duration::from_secs(5), usize::from(end - 1));
        next = end;
    }
    let served = answers.values().filter(|all| all.len() == 1).count();
    case.record.line(format!("{EARLIER} quotes published with packet ids 1 to {EARLIER}, each answered once: {served}"));
    if served != usize::from(EARLIER) {
        return Err("the earlier calls were not all answered once".into());
    }
    let last = EARLIER + 1;
    case.record.line(format!("desk-1 publishes quote {last}, packet id {last}"));
    client.publish(&quote(last));
    if case.trouble {
        // The answer and the acknowledgement are on their way; the client reads neither.
        thread::sleep(Duration::from_millis(300));
        let _ = client.packets.stream.shutdown(Shutdown::Both);
        case.record.line("the connection drops before desk-1 has read acknowledgement and answer");
        thread::sleep(Duration::from_millis(200));
        client = Client::connect(address, Version::V5, "desk-1", false, 200)?;
        case.record.line(format!("desk-1 is back, session present: {}", client.session_present));
        if !client.session_present {
            return Err("the gateway did not keep the session".into());
        }
        case.record.line(format!("desk-1 sends the publish again, packet id {last}, DUP"));
        client.publish(&Publish { dup: true, ..quote(last) });
    }
    take(&mut client, &mut answers, Duration::from_secs(3), usize::MAX);
    let all = answers.get(&last).cloned().unwrap_or_default();
    let runs = worker.runs().iter().filter(|run| run.payload == format!("call={last}")).count();
    case.record.line(format!("quote {last}: {runs} runs, answers {all:?}"));
    match (runs, all.len()) {
        (1, 1) => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("quote {last} ran {runs} times and got {} final answers: {all:?}", all.len()))),
    }
}

/// Takes answers and acknowledges them, as long as `limit` or until so many calls are answered. An answer that the
/// protocol sends again, DUP under the same packet id, is the same answer: it is recorded once.
fn take(client: &mut Client, answers: &mut BTreeMap<u16, Vec<String>>, limit: Duration, enough: usize) {
    let until = Instant::now() + limit;
    while answers.len() < enough {
        let Some((first, body)) = client.packets.next(until.saturating_duration_since(Instant::now())) else { return };
        if first >> 4 != 3 {
            continue;
        }
        let Some(answer) = Publish::decode(client.version, first, &body) else { continue };
        client.packets.send(&puback(answer.id));
        let number = answer.correlation.as_deref().map(String::from_utf8_lossy);
        let number = number.and_then(|text| text.parse().ok()).unwrap_or(0);
        answers.entry(number).or_default().push(format!("{} '{}'", answer.user("outcome").unwrap_or("none"), answer.text()));
    }
}
