//! The broker's machine vanishes while calls run: the bridge's connection stays open and silent.

use crate::broker::Broker;
use crate::common::*;
use std::thread;
use std::time::{Duration, Instant};

const KEEP_ALIVE_S: u64 = 3;
/// The deadline of the class, and some way.
const DEADLINE: Duration = Duration::from_millis(30_500);

pub fn run(case: &Case) -> Fallible<Verdict> {
    let broker = Broker::start(&case.record)?;
    let worker = Worker::start("node-1", &case.record, Duration::from_millis(500))?;
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (bridge (broker \"{}\") (client-id \"gw-1\") (keep-alive-s {KEEP_ALIVE_S}))\n\
         (class \"charge\" (effect unsafe) (aim-ms 1500) (deadline-ms 30000) (worth 3) (remember-ms 600000))\n\
         (route \"calls/charge/+\" (class \"charge\") (function \"{{3}}\"))\n\
         (function \"*\" (lanes 4) (load-ms 10))\n\
         (worker \"node-1\" (address \"{}\"))\n",
        broker.address, worker.address
    );
    let file = case.write("site.scm", &settings)?;
    let (_gateway, _) = Process::start(case, "gw-1", &["run", &file.to_string_lossy()])?;
    if !broker.wait_for(Duration::from_secs(8), |broker| broker.is_subscribed("calls/charge/card")) {
        return Err("the bridge did not subscribe".into());
    }
    let charge = |name: &str| Publish {
        topic: "calls/charge/card".into(),
        payload: format!("call={name}").into_bytes(),
        response_topic: Some("replies/app-1".into()),
        correlation: Some(name.as_bytes().to_vec()),
        user: vec![("key".into(), name.into())],
        ..Publish::default()
    };
    broker.publish(&charge("ride-0"));
    if !broker.wait_for(Duration::from_secs(5), |broker| broker.received().len() == 1) {
        return Err("the first charge was not answered".into());
    }
    for number in 1..=3 {
        broker.publish(&charge(&format!("ride-{number}")));
    }
    let taken_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    let ran = worker.runs().len();
    if ran != 4 {
        return Err("the charges were not taken".into());
    }
    if case.trouble {
        broker.vanish();
    }
    broker.wait_for(DEADLINE.saturating_sub(taken_at.elapsed()), |broker| broker.received().len() >= 4);
    let answered = broker.received().len().saturating_sub(1);
    case.record.line(format!("charges that ran: 3, answered within {DEADLINE:?}: {answered}"));
    case.record.line(format!("connections of the bridge: {}", broker.connects()));
    if answered < 3 {
        return Ok(Verdict::Broken(format!(
            "{} of 3 charges ran and got no answer in {DEADLINE:?}, ten keep-alives; the bridge never connected again",
            3 - answered
        )));
    }
    Ok(Verdict::Held)
}
