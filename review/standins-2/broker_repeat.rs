//! The connection between broker and bridge breaks while a call runs; the broker delivers the call again on the resumed
//! session, with what is left of its message expiry.

use crate::broker::Broker;
use crate::common::*;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

const EXPIRY_S: u32 = 10;
const OUTAGE: Duration = Duration::from_millis(1_300);

pub fn run(case: &Case) -> Fallible<Verdict> {
    let broker = Broker::start(&case.record)?;
    let worker = Worker::start("node-1", &case.record, Duration::from_millis(400))?;
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (bridge (broker \"{}\") (client-id \"gw-1\"))\n\
         (class \"quote\" (effect safe) (aim-ms 1500) (deadline-ms 10000) (worth 2) (late-worth 0.1))\n\
         (class \"charge\" (effect unsafe) (aim-ms 1500) (deadline-ms 10000) (worth 3) (remember-ms 600000))\n\
         (route \"calls/quote/+\" (class \"quote\") (function \"{{3}}\"))\n\
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
    let call = |topic: &str, name: &str| Publish {
        topic: topic.into(),
        payload: format!("call={name}").into_bytes(),
        response_topic: Some("replies/app-1".into()),
        correlation: Some(name.as_bytes().to_vec()),
        expiry_s: Some(EXPIRY_S),
        ..Publish::default()
    };
    broker.publish(&call("calls/quote/fare", "warm-1"));
    broker.publish(&call("calls/charge/card", "warm-2"));
    if !broker.wait_for(Duration::from_secs(5), |broker| broker.received().len() >= 2) {
        return Err("the first calls were not answered".into());
    }
    let names = ["quote-1", "quote-2", "charge-1"];
    broker.publish(&call("calls/quote/fare", names[0]));
    broker.publish(&call("calls/quote/fare", names[1]));
    broker.publish(&call("calls/charge/card", names[2]));
    thread::sleep(Duration::from_millis(150));
    if case.trouble {
        let before = broker.connects();
        broker.go_away();
        thread::sleep(OUTAGE);
        broker.come_back();
        if !broker.wait_for(Duration::from_secs(15), |broker| broker.connects() > before) {
            return Err("the bridge did not come back".into());
        }
    }
    // Until the clients' time is up.
    thread::sleep(Duration::from_millis(8_000));
    let mut answers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for received in broker.received().iter().filter(|received| !received.retransmission) {
        let publish = &received.publish;
        let name = String::from_utf8_lossy(publish.correlation.as_deref().unwrap_or_default()).into_owned();
        answers.entry(name).or_default().push(format!("{} '{}'", publish.user("outcome").unwrap_or("none"), publish.text()));
    }
    let mut broken = Vec::new();
    for name in names {
        let all = answers.get(name).cloned().unwrap_or_default();
        let runs = worker.runs().iter().filter(|run| run.payload == format!("call={name}")).count();
        case.record.line(format!("{name}: {runs} runs, answers {all:?}"));
        if all.len() != 1 {
            broken.push(format!("{name} got {} final answers and ran {runs} times: {all:?}", all.len()));
        }
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(broken.join("; ")))
}
