//! A gateway is stopped in order (SIGTERM) while a client with a small receive maximum waits for the answers to charges.

use crate::common::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

const CALLS: u16 = 8;
const RECEIVE_MAXIMUM: u16 = 2;
/// The client's way of an acknowledgement, as on a mobile network.
const ACKNOWLEDGE_AFTER: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(600);
const STOP_AFTER: Duration = Duration::from_millis(250);
/// Until when the final answers are owed: the deadline of the class and the slack of the rules.
const DEADLINE: Duration = Duration::from_millis(3_005);

pub fn run(case: &Case) -> Fallible<Verdict> {
    let worker = Worker::start("node-1", &case.record, WORK)?;
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (class \"charge\" (effect unsafe) (aim-ms 1500) (deadline-ms 3000) (worth 3) (remember-ms 600000))\n\
         (route \"calls/charge/+\" (class \"charge\") (function \"{{3}}\"))\n\
         (function \"card\" (lanes 16) (load-ms 10))\n\
         (worker \"node-1\" (address \"{}\"))\n",
        worker.address
    );
    let file = case.write("site.scm", &settings)?;
    let (mut gateway, address) = Process::start(case, "gw-1", &["run", &file.to_string_lossy()])?;
    let mut client = Client::connect(address, Version::V5, "desk-1", false, RECEIVE_MAXIMUM)?;
    case.record.line(format!("desk-1 connected, receive maximum {RECEIVE_MAXIMUM}"));
    // One call first, so that function and worker are known.
    let mut answers: BTreeMap<u16, Vec<String>> = BTreeMap::new();
    let mut taken: Vec<u16> = Vec::new();
    let publish = |number: u16| Publish {
        topic: "calls/charge/card".into(),
        payload: format!("call={number}").into_bytes(),
        id: number,
        response_topic: Some("replies/desk-1".into()),
        correlation: Some(number.to_string().into_bytes()),
        user: vec![("key".into(), format!("ride-{number}"))],
        ..Publish::default()
    };
    client.publish(&publish(100));
    collect(case, &mut client, &mut taken, &mut answers, Duration::from_secs(4), 1);
    if answers.get(&100).map(Vec::len) != Some(1) {
        return Err("the first call was not answered".into());
    }
    taken.clear();
    answers.clear();
    let sent_at = Instant::now();
    for number in 1..=CALLS {
        client.publish(&publish(number));
        case.record.line(format!("desk-1 publishes charge {number}, key ride-{number}"));
    }
    collect(case, &mut client, &mut taken, &mut answers, STOP_AFTER, usize::MAX);
    if taken.len() != CALLS as usize {
        return Err(format!("only {} of {CALLS} publishes were acknowledged before the stop", taken.len()).into());
    }
    if case.trouble {
        gateway.signal(SIGTERM);
    }
    let left = DEADLINE.saturating_sub(sent_at.elapsed());
    collect(case, &mut client, &mut taken, &mut answers, left, CALLS as usize);
    if case.trouble {
        gateway.wait(Duration::from_secs(8));
    }
    let lost: Vec<u16> = taken.iter().copied().filter(|number| !answers.contains_key(number)).collect();
    let twice: Vec<u16> = answers.iter().filter(|(_, all)| all.len() > 1).map(|(number, _)| *number).collect();
    case.record.line(format!("acknowledged {}, answered {}, without an answer {lost:?}", taken.len(), answers.len()));
    if !lost.is_empty() || !twice.is_empty() {
        let what = format!("{} acknowledged charges never got an answer: {lost:?}; answered twice: {twice:?}", lost.len());
        return Ok(Verdict::Broken(what));
    }
    Ok(Verdict::Held)
}

/// Takes what arrives, and acknowledges each answer after a moment, as long as `limit` or until so many are answered.
fn collect(
    case: &Case,
    client: &mut Client,
    taken: &mut Vec<u16>,
    answers: &mut BTreeMap<u16, Vec<String>>,
    limit: Duration,
    enough: usize,
) {
    let until = Instant::now() + limit;
    let mut owed: VecDeque<(Instant, u16)> = VecDeque::new();
    while answers.len() < enough && !client.packets.closed && Instant::now() < until {
        while let Some((_, id)) = owed.pop_front_if(|(at, _)| *at <= Instant::now()) {
            client.packets.send(&puback(id));
        }
        let Some((first, body)) = client.packets.next(Duration::from_millis(5)) else { continue };
        match first >> 4 {
            4 => {
                let number = u16::from_be_bytes([body[0], body[1]]);
                let code = body.get(2).copied().unwrap_or(0);
                case.record.line(format!("PUBACK of charge {number}, reason code {code}"));
                if code < 0x80 {
                    taken.push(number);
                }
            }
            3 => {
                let Some(answer) = Publish::decode(client.version, first, &body) else { continue };
                owed.push_back((Instant::now() + ACKNOWLEDGE_AFTER, answer.id));
                let number = answer.correlation.as_deref().map(String::from_utf8_lossy);
                let number = number.and_then(|text| text.parse().ok()).unwrap_or(0);
                let outcome = answer.user("outcome").unwrap_or("none").to_string();
                case.record.line(format!("answer to charge {number}: {outcome}, '{}'", answer.text()));
                answers.entry(number).or_default().push(outcome);
            }
            14 => case.record.line(format!("DISCONNECT, reason code {:#04x}", body.first().copied().unwrap_or(0))),
            _ => {}
        }
    }
    owed.into_iter().for_each(|(_, id)| client.packets.send(&puback(id)));
    if client.packets.closed {
        case.record.line("the gateway closed the connection");
    }
}
