//! Repeated calls through a running gateway: a call with a key runs at most once, however it is repeated.

mod support;

use mqtt_protocol_core::mqtt::packet::MessageExpiryInterval;
use slatevalve_worker_protocol::Reply;
use std::time::Duration;
use support::link::Link;
use support::*;

fn slow_worker(millis: u64) -> Worker {
    Worker::start(move |_, _| Action::Later(millis, Reply::Served { payload: b"paid".to_vec(), ran: None }))
}

#[test]
fn a_publish_resent_after_a_reconnect_joins_the_running_call() {
    let worker = slow_worker(500);
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", true);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    drop(client);
    let mut client = Client::connect(gateway.address(), "a", true);
    assert!(client.session_present);
    client.publish("charge/card", 1, Some("k"), "c1", true);
    assert_eq!(client.answer().outcome, "served");
    assert!(client.is_quiet(300));
    assert_eq!(worker.calls(), 1);
}

#[test]
fn a_publish_with_the_same_key_from_another_client_joins_the_running_call() {
    let worker = slow_worker(500);
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut first = Client::connect(gateway.address(), "a", false);
    let mut second = Client::connect(gateway.address(), "b", false);
    first.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    second.publish("charge/card", 1, Some("k"), "c1", false);
    assert_eq!((first.answer().outcome, second.answer().outcome), ("served".into(), "served".into()));
    assert_eq!(worker.calls(), 1);
}

#[test]
fn a_repeat_after_the_answer_gets_the_recorded_result_and_another_payload_is_refused() {
    let worker = Worker::start(|_, _| served("paid"));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    assert!(!client.call("charge/card", 1, Some("k"), "c1").recorded);
    let again = client.call("charge/card", 2, Some("k"), "c1");
    assert_eq!((again.outcome.as_str(), again.payload.as_str(), again.recorded), ("served", "paid", true));
    let other = client.call("charge/card", 3, Some("k"), "another amount");
    assert_eq!(other.outcome, "refused");
    assert_eq!(worker.calls(), 1);
}

/// Guards against a second charge under another key, because a refusal says that nothing ran.
#[test]
fn a_repeat_after_the_retention_time_is_failed_and_not_run() {
    let worker = Worker::start(|_, _| served("paid"));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    assert_eq!(client.call("brief/card", 1, Some("k"), "c1").outcome, "served");
    assert!(client.is_quiet(900));
    let late = client.call("brief/card", 2, Some("k"), "c1");
    assert_eq!(late.outcome, "failed");
    assert!(late.reason.unwrap().contains("repeat"));
    assert_eq!(worker.calls(), 1);
}

/// Guards against a second charge after a restart: the gateway cannot know whether an earlier process ran the
/// first one, so the answer must not say that sending it again is safe.
#[test]
fn a_publish_marked_as_duplicate_is_failed_by_a_gateway_without_its_record() {
    let worker = Worker::start(|_, _| served("paid"));
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", true);
    client.publish("charge/card", 1, Some("k"), "c1", true);
    let answer = client.answer();
    assert_eq!(answer.outcome, "failed");
    assert!(answer.reason.unwrap().contains("repeat"));
    // Sent once more under the same key, the charge does not run either.
    assert_eq!(client.call("charge/card", 2, Some("k"), "c1").outcome, "failed");
    assert_eq!(worker.calls(), 0);
}

/// Guards against a charge that runs twice because a restarted gateway answers its redelivery as refused
/// (review/1).
#[test]
fn a_charge_that_a_broker_redelivers_to_a_restarted_gateway_is_failed_and_runs_once() {
    let broker = Process::start(&["broker"], None);
    let worker = slow_worker(300);
    let site =
        format!("{SITE}\n(bridge (broker \"{}\") (client-id \"bridge\") (back-off-ms 20))", broker.address);
    let mut gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    until("the bridge to connect", || gateway.log().contains("the broker accepted the connection"));
    let mut app = Client::connect(broker.address, "app", true);
    app.subscribe("replies/me");
    app.publish("charge/card", 7, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    gateway.process.signal("KILL");
    gateway.process.wait();
    let gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    let answer = app.answer_or(|| gateway.log());
    assert_eq!((answer.call.as_str(), answer.outcome.as_str()), ("c1", "failed"));
    // A client that sends the charge again all the same gets the recorded answer.
    let again = app.call("charge/card", 8, Some("k"), "c1");
    assert_eq!((again.outcome.as_str(), again.recorded), ("failed", true));
    assert_eq!(worker.calls(), 1);
}

/// Guards against calls that run and are answered twice because the broker has counted their message expiry down
/// when it delivers them again (review/10).
#[test]
fn calls_that_a_broker_redelivers_with_less_message_expiry_run_and_are_answered_once() {
    let broker = Process::start(&["broker"], None);
    let link = Link::start(broker.address);
    let worker = slow_worker(700);
    let site =
        format!("{SITE}\n(bridge (broker \"{}\") (client-id \"bridge\") (back-off-ms 20))", link.address);
    let gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    until("the bridge to connect", || gateway.log().contains("the broker accepted the connection"));
    let mut app = Client::connect(broker.address, "app", true);
    app.subscribe("replies/me");
    for (topic, id, call) in [("quote/fare", 1, "q1"), ("quote/fare", 2, "q2"), ("charge/card", 3, "c1")] {
        let expiry = MessageExpiryInterval::new(10).unwrap().into();
        app.publish_with(topic, id, vec![expiry], call, false);
    }
    until("the calls to reach their worker", || worker.calls() == 3);
    link.set_cut(true);
    std::thread::sleep(Duration::from_millis(1_300));
    link.set_cut(false);
    let mut answers = [(); 3].map(|()| app.answer_or(|| gateway.log()).call);
    answers.sort();
    assert_eq!(answers, ["c1", "q1", "q2"]);
    assert!(app.is_quiet(1_500));
    assert_eq!(worker.calls(), 3);
}

#[test]
fn a_charge_without_a_key_is_refused_with_a_reason() {
    let worker = Worker::start(|_, _| served("paid"));
    let gateway = Gateway::start("(class \"charge\" (effect unsafe) (aim-ms 500) (deadline-ms 900))\n(route \"charge/+\" (class \"charge\") (function \"{2}\"))", &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", false);
    client.publish("charge/card", 1, None, "", false);
    let answer = client.answer();
    assert_eq!(answer.outcome, "refused");
    assert!(answer.reason.unwrap().contains("needs a key"));
    assert_eq!(worker.calls(), 0);
}

#[test]
fn a_client_that_lost_its_connection_receives_the_answer_when_it_resumes_its_session() {
    let worker = slow_worker(300);
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", true);
    client.publish("quote/fare", 1, None, "q1", false);
    until("the quote to reach its worker", || worker.calls() == 1);
    drop(client);
    std::thread::sleep(std::time::Duration::from_millis(500));
    let mut client = Client::connect(gateway.address(), "a", true);
    assert_eq!((client.answer().outcome.as_str(), worker.calls()), ("served", 1));
}

#[test]
fn a_call_that_a_broker_delivers_twice_runs_once_and_is_answered_once() {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_micros() as i64;
    let plan = format!(
        r#"{{"faults":[{{"at_us":{},"kind":{{"lose-acknowledgements":{{"prefix":"bridge","for_us":2500000}}}}}}]}}"#,
        now
    );
    let broker = Process::start(&["broker", "--plan", &plan], None);
    let worker = slow_worker(200);
    let site = format!(
        "{SITE}\n(bridge (broker \"{}\") (client-id \"bridge\") (group \"g\") (sole-member yes) (back-off-ms 20))",
        broker.address
    );
    let gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    until("the bridge to connect", || gateway.log().contains("the broker accepted the connection"));
    let mut app = Client::connect(broker.address, "app", true);
    app.subscribe("replies/me");
    app.publish("charge/card", 7, Some("k"), "c1", false);
    app.publish("quote/fare", 8, None, "q1", false);
    let mut outcomes = [app.answer(), app.answer()].map(|h| (h.call, h.outcome));
    outcomes.sort();
    assert_eq!(outcomes, [("c1".into(), "served".into()), ("q1".into(), "served".into())]);
    // The broker lost the acknowledgements: it delivers both messages again after the reconnect.
    until("the bridge to resume its session", || gateway.log().contains("resumed=true"));
    assert!(app.is_quiet(600), "a redelivered call was answered again");
    assert_eq!(worker.calls(), 2);
}

/// Guards against answers that go to another client, because a restarted gateway assigns a client id that an
/// earlier process has assigned (review/3).
#[test]
fn a_client_id_that_an_earlier_process_assigned_is_not_assigned_again() {
    let worker = slow_worker(300);
    let mut gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let client = Client::connect(gateway.address(), "", true);
    let id = client.assigned_id().expect("the gateway assigns a client id");
    gateway.process.signal("KILL");
    gateway.process.wait();
    let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), &id, true);
    client.publish("charge/card", 1, Some("k"), "c1", false);
    until("the charge to reach its worker", || worker.calls() == 1);
    let mut other = Client::connect(gateway.address(), "", true);
    assert_ne!(other.assigned_id().as_deref(), Some(id.as_str()));
    assert!(!other.session_present);
    assert_eq!(client.answer().outcome, "served");
    assert!(other.is_quiet(300), "another client got the answer");
}

/// Guards against workers that see two calls with one id, because a restarted gateway numbers its calls anew.
#[test]
fn request_ids_at_workers_differ_between_processes_of_a_gateway() {
    let worker = Worker::start(|_, _| served("paid"));
    for key in ["k", "l"] {
        let gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
        let mut client = Client::connect(gateway.address(), "a", false);
        assert_eq!(client.call("charge/card", 1, Some(key), "c1").outcome, "served");
        gateway.process.signal("KILL");
    }
    let ids = worker.request_ids();
    assert_eq!(ids.len(), 2);
    assert_ne!(ids[0], ids[1]);
}

/// Guards against two clients without an id that share one session of the test broker.
#[test]
fn the_test_broker_assigns_each_client_without_an_id_another_one_in_each_process() {
    let broker = Process::start(&["broker"], None);
    let clients = [0, 1].map(|_| Client::connect(broker.address, "", true));
    assert!(clients.iter().all(|client| !client.session_present));
    let other = Process::start(&["broker"], None);
    let later = Client::connect(other.address, "", true);
    let ids =
        [&clients[0], &clients[1], &later].map(|client| client.assigned_id().expect("an id is assigned"));
    assert!(ids[0] != ids[1] && !ids[..2].contains(&ids[2]), "{ids:?}");
}
