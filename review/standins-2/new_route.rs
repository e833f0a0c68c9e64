//! A gateway behind a broker is restarted in order with one more route in its settings file.

use crate::broker::Broker;
use crate::common::*;
use std::thread;
use std::time::Duration;

pub fn run(case: &Case) -> Fallible<Verdict> {
    let broker = Broker::start(&case.record)?;
    let worker = Worker::start("node-1", &case.record, Duration::from_millis(20))?;
    let settings = |more: &str| {
        format!(
            "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
             (bridge (broker \"{}\") (client-id \"gw-1\"))\n\
             (class \"quote\" (effect safe) (aim-ms 1500) (deadline-ms 3000) (worth 2) (late-worth 0.1))\n\
             (class \"booking\" (effect keyed (group all) (window-ms 6000)) (aim-ms 1500) (deadline-ms 3000) (worth 3))\n\
             (route \"calls/quote/+\" (class \"quote\") (function \"{{3}}\"))\n{more}\
             (function \"*\" (lanes 4) (load-ms 10))\n\
             (worker \"node-1\" (address \"{}\"))\n",
            broker.address, worker.address
        )
    };
    let route = "(route \"calls/booking/+\" (class \"booking\") (function \"{3}\"))\n";
    let with_route = settings(route);
    let file = case.write("site.scm", &if case.trouble { settings("") } else { with_route.clone() })?;
    let path = file.to_string_lossy().into_owned();
    let (mut gateway, _) = Process::start(case, "gw-1", &["run", &path])?;
    if !broker.wait_for(Duration::from_secs(8), |broker| broker.is_subscribed("calls/quote/fare")) {
        return Err("the bridge did not subscribe".into());
    }
    let call = |topic: &str, name: &str| Publish {
        topic: topic.into(),
        payload: format!("call={name}").into_bytes(),
        response_topic: Some("replies/app-1".into()),
        correlation: Some(name.as_bytes().to_vec()),
        ..Publish::default()
    };
    broker.publish(&call("calls/quote/fare", "quote-1"));
    if !broker.wait_for(Duration::from_secs(5), |broker| broker.received().len() == 1) {
        return Err("the first call was not answered".into());
    }
    if case.trouble {
        gateway.signal(SIGTERM);
        gateway.wait(Duration::from_secs(10)).ok_or("the gateway did not stop")?;
        std::fs::write(&file, &with_route)?;
        case.record.line("the settings file has one more route: calls/booking/+");
        let before = broker.connects();
        gateway = Process::start(case, "gw-1", &["run", &path])?.0;
        if !broker.wait_for(Duration::from_secs(8), |broker| broker.connects() > before) {
            return Err("the bridge did not come back".into());
        }
    }
    thread::sleep(Duration::from_secs(2));
    broker.publish(&call("calls/quote/fare", "quote-2"));
    let mut wanted = 0;
    for number in 1..=5 {
        broker.publish(&call("calls/booking/taxi", &format!("booking-{number}")));
        wanted += 1;
        thread::sleep(Duration::from_secs(2));
    }
    thread::sleep(Duration::from_secs(3));
    let _ = gateway.has_ended();
    let answered = |prefix: &str| {
        let received = broker.received();
        let is_named = |publish: &Publish| {
            publish.correlation.as_deref().is_some_and(|name| String::from_utf8_lossy(name).starts_with(prefix))
        };
        received.iter().filter(|received| is_named(&received.publish)).count()
    };
    case.record.line(format!("quotes answered: {}, bookings answered: {} of {wanted}", answered("quote"), answered("booking")));
    if answered("booking") < wanted {
        return Ok(Verdict::Broken(format!("{} of {wanted} bookings never got an answer", wanted - answered("booking"))));
    }
    Ok(Verdict::Held)
}
