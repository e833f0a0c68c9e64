//! A graceful shutdown delivers what the gateway still owes, to peers that take their time, and ends in time
//! for peers that never take it.

mod support;

use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::result_code::{ConnectReasonCode, ConnectReturnCode};
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve_worker_protocol::Reply;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use support::link::Link;
use support::{until, Action, Gateway, Process, Worker, MAX_WAIT};

/// A class whose keys are in the topic, as version 3.1.1 has no properties.
const SITE: &str = r#"
(class "charge" (effect unsafe) (aim-ms 1000) (deadline-ms 3000))
(class "brief" (effect unsafe) (aim-ms 300) (deadline-ms 600))
(route "charge/+/+" (class "charge") (function "{2}") (key "{3}"))
(route "brief/+/+" (class "brief") (function "{2}") (key "{3}"))
(function "*" (lanes 32) (load-ms 10))
"#;
/// How long the worker runs a call.
const WORK_MS: u64 = 400;
/// Time beyond `stop-within-ms` that a stop may take (`docs/operators/router.md`).
const STOP_SLACK: Duration = Duration::from_millis(1_000);
/// Time for the end of the process and for the test to notice it.
const EXIT_SLACK: Duration = Duration::from_millis(400);

fn worker() -> Worker {
    Worker::start(|_, _| Action::Later(WORK_MS, Reply::Served { payload: b"paid".to_vec(), ran: None }))
}

/// How a client takes answers.
#[derive(Clone, Copy, Debug)]
struct Manner {
    version: Version,
    qos: Qos,
    receive_maximum: u16,
    /// The time after which it acknowledges an answer; `None` if it never does.
    acknowledges_after: Option<Duration>,
}

const USUAL: Manner = Manner {
    version: Version::V5_0,
    qos: Qos::AtLeastOnce,
    receive_maximum: 100,
    acknowledges_after: Some(Duration::ZERO),
};

/// A client with a persistent session that acknowledges each packet after a delay.
struct Client {
    manner: Manner,
    stream: TcpStream,
    mqtt: Connection<role::Client>,
    due: VecDeque<(Instant, Packet)>,
    /// Number of answers by the packet id of their call, without retransmissions.
    answers: BTreeMap<u16, usize>,
    /// Packet ids of answers with QoS 2 that were received and not released.
    unreleased: Vec<u16>,
    acknowledged: usize,
    /// Answers whose handshake is complete.
    completed: usize,
    connack: Option<(bool, bool)>,
    closed: bool,
}

impl Client {
    /// Connects; `None` if the connection is refused by the system or ends without a CONNACK.
    fn try_connect(address: SocketAddr, id: &str, manner: Manner) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let mut client = Client {
            manner,
            stream,
            mqtt: Connection::new(manner.version),
            due: VecDeque::new(),
            answers: BTreeMap::new(),
            unreleased: Vec::new(),
            acknowledged: 0,
            completed: 0,
            connack: None,
            closed: false,
        };
        let connect: Packet = match manner.version {
            Version::V5_0 => {
                let properties = vec![
                    SessionExpiryInterval::new(60).unwrap().into(),
                    ReceiveMaximum::new(manner.receive_maximum).unwrap().into(),
                ];
                let builder = v5_0::Connect::builder().client_id(id).unwrap().clean_start(false);
                builder.props(properties).build().unwrap().into()
            }
            _ => {
                let builder = v3_1_1::Connect::builder().client_id(id).unwrap().clean_session(false);
                builder.build().unwrap().into()
            }
        };
        client.send(connect);
        let start = Instant::now();
        while client.connack.is_none() && !client.closed {
            assert!(start.elapsed() < MAX_WAIT, "no CONNACK");
            client.read();
        }
        client.connack.is_some().then_some(client)
    }

    fn connect(address: SocketAddr, id: &str, manner: Manner) -> Self {
        let client = Client::try_connect(address, id, manner).expect("a connection");
        assert_eq!(client.connack.map(|(accepted, _)| accepted), Some(true));
        client
    }

    fn send(&mut self, packet: Packet) {
        let events = self.mqtt.send(packet);
        self.handle_events(events);
    }

    /// Publishes a call whose packet id is also its key.
    fn publish(&mut self, class: &str, id: u16) {
        let topic = format!("{class}/card/{id}");
        self.mqtt.register_packet_id(id).unwrap();
        let packet: Packet = match self.manner.version {
            Version::V5_0 => {
                let builder = v5_0::Publish::builder().topic_name(topic).unwrap().qos(self.manner.qos);
                builder.packet_id(id).payload("p").build().unwrap().into()
            }
            _ => {
                let builder = v3_1_1::Publish::builder().topic_name(topic).unwrap().qos(self.manner.qos);
                builder.packet_id(id).payload("p").build().unwrap().into()
            }
        };
        self.send(packet);
    }

    fn handle_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    let _ = self.stream.write_all(&packet.to_continuous_buffer());
                }
                Event::NotifyPacketReceived(packet) => self.handle_packet(&packet),
                Event::NotifyError(error) => panic!("{error}"),
                _ => {}
            }
        }
    }

    fn handle_packet(&mut self, packet: &Packet) {
        match packet {
            Packet::V5_0Connack(p) => {
                self.connack = Some((p.reason_code() == ConnectReasonCode::Success, p.session_present()));
            }
            Packet::V3_1_1Connack(p) => {
                let accepted = p.return_code() == ConnectReturnCode::Accepted;
                self.connack = Some((accepted, p.session_present()));
            }
            Packet::V5_0Publish(p) => self.handle_answer(p.topic_name(), p.packet_id()),
            Packet::V3_1_1Publish(p) => self.handle_answer(p.topic_name(), p.packet_id()),
            Packet::V5_0Puback(_) | Packet::V3_1_1Puback(_) => self.acknowledged += 1,
            Packet::V5_0Pubrec(p) => {
                self.acknowledged += 1;
                self.send(v5_0::Pubrel::builder().packet_id(p.packet_id()).build().unwrap().into());
            }
            Packet::V3_1_1Pubrec(p) => {
                self.acknowledged += 1;
                self.send(v3_1_1::Pubrel::builder().packet_id(p.packet_id()).build().unwrap().into());
            }
            Packet::V5_0Pubrel(p) => {
                self.schedule(v5_0::Pubcomp::builder().packet_id(p.packet_id()).build().unwrap().into());
            }
            Packet::V3_1_1Pubrel(p) => {
                self.schedule(v3_1_1::Pubcomp::builder().packet_id(p.packet_id()).build().unwrap().into());
            }
            _ => {}
        }
    }

    fn handle_answer(&mut self, topic: &str, packet_id: Option<u16>) {
        let call = topic.rsplit('/').next().unwrap().parse().unwrap();
        let packet_id = packet_id.unwrap();
        if !self.unreleased.contains(&packet_id) {
            *self.answers.entry(call).or_default() += 1;
        }
        self.schedule(match (self.manner.version, self.manner.qos) {
            (Version::V5_0, Qos::ExactlyOnce) => {
                v5_0::Pubrec::builder().packet_id(packet_id).build().unwrap().into()
            }
            (Version::V5_0, _) => v5_0::Puback::builder().packet_id(packet_id).build().unwrap().into(),
            (_, Qos::ExactlyOnce) => v3_1_1::Pubrec::builder().packet_id(packet_id).build().unwrap().into(),
            _ => v3_1_1::Puback::builder().packet_id(packet_id).build().unwrap().into(),
        });
    }

    fn schedule(&mut self, packet: Packet) {
        if let Some(delay) = self.manner.acknowledges_after {
            self.due.push_back((Instant::now() + delay, packet));
        }
    }

    fn read(&mut self) {
        while self.due.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            let Some((_, packet)) = self.due.pop_front() else { return };
            let is_last = matches!(
                packet,
                Packet::V5_0Puback(_)
                    | Packet::V3_1_1Puback(_)
                    | Packet::V5_0Pubcomp(_)
                    | Packet::V3_1_1Pubcomp(_)
            );
            self.completed += usize::from(is_last);
            self.send(packet);
        }
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(0) => self.closed = true,
            Ok(count) => {
                let mut cursor = Cursor::new(&bytes[..count]);
                while (cursor.position() as usize) < count {
                    let events = self.mqtt.recv(&mut cursor);
                    self.handle_events(events);
                }
            }
            Err(_) => {}
        }
    }

    /// Takes packets until the gateway closes the connection.
    fn read_to_end(&mut self) {
        let start = Instant::now();
        while !self.closed {
            assert!(start.elapsed() < MAX_WAIT, "the connection stays open");
            self.read();
        }
    }

    fn read_until(&mut self, what: &str, condition: impl Fn(&Client) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < MAX_WAIT, "waited for {what}");
            self.read();
        }
    }

    /// Publishes calls 1 to `count` and waits until all are acknowledged.
    fn publish_all(&mut self, class: &str, count: u16) {
        (1..=count).for_each(|id| self.publish(class, id));
        self.read_until("the acknowledgements", |client| client.acknowledged == usize::from(count));
    }

    fn assert_answered_once(&self, count: u16) {
        let expected: BTreeMap<u16, usize> = (1..=count).map(|id| (id, 1)).collect();
        assert_eq!(self.answers, expected, "{:?}", self.manner);
    }
}

fn stop(gateway: &mut Gateway) -> Instant {
    gateway.process.signal("TERM");
    Instant::now()
}

/// Guards against answers to charges that ran and are dropped, because the client's receive maximum did not
/// permit them yet when the last call ended (review/9).
#[test]
fn on_sigterm_answers_that_wait_for_acknowledgements_are_delivered() {
    for (version, qos, receive_maximum) in [
        (Version::V5_0, Qos::AtLeastOnce, 1),
        (Version::V5_0, Qos::AtLeastOnce, 3),
        (Version::V5_0, Qos::ExactlyOnce, 2),
        (Version::V3_1_1, Qos::AtLeastOnce, 0),
        (Version::V3_1_1, Qos::ExactlyOnce, 0),
    ] {
        let worker = worker();
        let mut gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
        let acknowledges_after = Some(Duration::from_millis(40));
        let manner = Manner { version, qos, receive_maximum, acknowledges_after };
        let mut client = Client::connect(gateway.address(), "a", manner);
        client.publish_all("charge", 8);
        stop(&mut gateway);
        client.read_to_end();
        client.assert_answered_once(8);
        assert_eq!(client.completed, 8, "{manner:?}");
        assert_eq!(gateway.process.wait(), Some(0));
    }
}

/// Guards against answers that are dropped because their client has no connection when the last call ends,
/// although its session lasts and its time is not up (review/9).
#[test]
fn on_sigterm_a_client_can_come_back_for_its_answers_and_no_other_can_connect() {
    for version in [Version::V5_0, Version::V3_1_1] {
        let worker = worker();
        let mut gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
        let manner = Manner { version, ..USUAL };
        let mut client = Client::connect(gateway.address(), "a", manner);
        client.publish_all("charge", 3);
        drop(client);
        stop(&mut gateway);
        until("the shutdown to begin", || gateway.log().contains("stopping"));
        thread::sleep(Duration::from_millis(WORK_MS + 200));
        let other = Client::try_connect(gateway.address(), "b", manner).expect("a CONNACK");
        assert_eq!(other.connack, Some((false, false)));
        let mut client = Client::connect(gateway.address(), "a", manner);
        assert_eq!(client.connack, Some((true, true)));
        client.read_to_end();
        client.assert_answered_once(3);
        assert_eq!(gateway.process.wait(), Some(0));
        assert_eq!(worker.calls(), 3);
    }
}

/// Guards against a stop that lasts as long as a client likes.
#[test]
fn on_sigterm_a_client_that_never_acknowledges_or_never_returns_does_not_hold_up_the_stop() {
    const STOP_WITHIN: Duration = Duration::from_millis(700);
    let never = Manner { receive_maximum: 1, acknowledges_after: None, ..USUAL };
    for returns in [true, false] {
        let worker = worker();
        let mut gateway = Gateway::start_with("(stop-within-ms 700)", SITE, &[("w", worker.address, "")]);
        let mut client = Client::connect(gateway.address(), "a", never);
        client.publish_all("charge", 3);
        if !returns {
            client.stream.shutdown(Shutdown::Both).unwrap();
        }
        let began = stop(&mut gateway);
        assert_eq!(gateway.process.wait(), Some(0));
        let took = began.elapsed();
        assert!(took <= STOP_WITHIN + STOP_SLACK + EXIT_SLACK, "{took:?}, returns: {returns}");
        assert!(took >= STOP_WITHIN, "{took:?}, returns: {returns}");
        assert!(gateway.log().contains("answers are undelivered or unacknowledged"), "{}", gateway.log());
    }
}

/// Guards against refusals that are dropped: they answer calls that the gateway took after the signal.
#[test]
fn on_sigterm_calls_that_arrive_after_the_signal_are_refused_and_answered() {
    let worker = worker();
    let mut gateway = Gateway::start(SITE, &[("w", worker.address, "")]);
    let acknowledges_after = Some(Duration::from_millis(40));
    let mut client =
        Client::connect(gateway.address(), "a", Manner { receive_maximum: 2, acknowledges_after, ..USUAL });
    client.publish_all("charge", 2);
    stop(&mut gateway);
    until("the shutdown to begin", || gateway.log().contains("stopping"));
    (3..=8).for_each(|id| client.publish("charge", id));
    client.read_to_end();
    client.assert_answered_once(8);
    assert_eq!(gateway.process.wait(), Some(0));
    assert_eq!(worker.calls(), 2);
}

/// Guards against a stop that lasts as long as a client goes on to send calls.
#[test]
fn on_sigterm_a_client_that_goes_on_to_send_calls_does_not_hold_up_the_stop() {
    let worker = worker();
    let mut gateway = Gateway::start_with("(stop-within-ms 10000)", SITE, &[("w", worker.address, "")]);
    let acknowledges_after = Some(Duration::from_millis(100));
    let mut client = Client::connect(gateway.address(), "a", Manner { acknowledges_after, ..USUAL });
    client.publish_all("charge", 1);
    let began = stop(&mut gateway);
    let mut next = 2;
    while !client.closed {
        client.publish("charge", next);
        next += 1;
        // Slow enough that the receive maximum permits all answers.
        let wait_until = Instant::now() + Duration::from_millis(10);
        while Instant::now() < wait_until && !client.closed {
            client.read();
        }
        assert!(began.elapsed() < MAX_WAIT, "the gateway goes on");
    }
    assert_eq!(client.answers.get(&1), Some(&1));
    assert_eq!(gateway.process.wait(), Some(0));
    let limit = Duration::from_millis(WORK_MS) + STOP_SLACK + EXIT_SLACK;
    assert!(began.elapsed() <= limit, "{:?}", began.elapsed());
}

/// Guards against a stop that waits for clients whose time is up.
#[test]
fn on_sigterm_nothing_is_owed_to_an_absent_client_whose_time_is_up() {
    let worker = worker();
    let site = SITE.replace("(deadline-ms 3000)", "(deadline-ms 1000)");
    let mut gateway = Gateway::start_with("(stop-within-ms 10000)", &site, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", USUAL);
    client.publish_all("brief", 1);
    drop(client);
    thread::sleep(Duration::from_millis(300));
    let began = stop(&mut gateway);
    assert_eq!(gateway.process.wait(), Some(0));
    // The longest deadline, at most.
    assert!(began.elapsed() <= Duration::from_millis(1_000) + EXIT_SLACK, "{:?}", began.elapsed());
}

/// Guards against answers that the broker never gets, because the bridge has no connection when the last call
/// ends, and against publishes that stay unacknowledged and run again at the next process (review/9).
#[test]
fn on_sigterm_the_bridge_comes_back_to_deliver_answers_and_acknowledgements() {
    let broker = Process::start(&["broker"], None);
    let link = Link::start(broker.address);
    let worker = worker();
    let site =
        format!("{SITE}\n(bridge (broker \"{}\") (client-id \"bridge\") (back-off-ms 20))", link.address);
    let mut gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    until("the bridge to connect", || gateway.log().contains("the broker accepted the connection"));
    let mut app = support::Client::connect(broker.address, "app", true);
    app.subscribe("replies/me");
    for id in 1..=3 {
        app.publish(&format!("charge/card/{id}"), id, None, &format!("c{id}"), false);
    }
    until("the charges to reach their worker", || worker.calls() == 3);
    link.set_cut(true);
    stop(&mut gateway);
    thread::sleep(Duration::from_millis(WORK_MS + 400));
    link.set_cut(false);
    let mut answers: Vec<(String, String)> =
        (0..3).map(|_| app.answer_or(|| gateway.log())).map(|a| (a.call, a.outcome)).collect();
    answers.sort();
    assert_eq!(answers, ["c1", "c2", "c3"].map(|call| (call.to_string(), "served".to_string())));
    assert_eq!(gateway.process.wait(), Some(0));
    // The broker has no unacknowledged publish to deliver to the next process.
    let gateway = Gateway::start(&site, &[("w", worker.address, "")]);
    until("the bridge to connect", || gateway.log().contains("the broker accepted the connection"));
    assert!(app.is_quiet(500));
    assert_eq!(worker.calls(), 3);
}

/// Guards against a stop that waits for a worker that hangs, where calls are not cancelled: until the deadline
/// of the call's class, long after the call was answered.
#[test]
fn on_sigterm_a_worker_that_hangs_and_is_not_cancelled_does_not_hold_up_the_stop() {
    let worker = Worker::start(|_, _| Action::Silence);
    let site = format!("{SITE}\n(limits (cancel no))").replace("(deadline-ms 3000)", "(deadline-ms 30000)");
    let mut gateway = Gateway::start_with("(stop-within-ms 300)", &site, &[("w", worker.address, "")]);
    let mut client = Client::connect(gateway.address(), "a", USUAL);
    client.publish_all("charge", 1);
    until("the charge to reach its worker", || worker.calls() == 1);
    let began = stop(&mut gateway);
    client.read_to_end();
    client.assert_answered_once(1);
    assert_eq!(gateway.process.wait(), Some(0));
    let limit = Duration::from_millis(300) + STOP_SLACK + EXIT_SLACK;
    assert!(began.elapsed() <= limit, "{:?}", began.elapsed());
}
