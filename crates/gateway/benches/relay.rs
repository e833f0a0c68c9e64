//! The gateway compared with a baseline: a bare relay on the same event loop, with the same client bytes, the
//! same requests and responses and the same test workers, alternating within one run.
//! `cargo bench -p slatevalve-gateway`
//!
//! Printed for each number of calls in flight: calls a second, the latency at the client, and the CPU time
//! per call of the server's thread, which gives the calls a second that one core could serve. (Where threads
//! wake each other for every message, as on small virtual machines, the client limits the calls a second.)
//! Times are comparable only within a run.

use hdrhistogram::Histogram;
use mqtt_protocol_core::mqtt::packet::*;
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::server::GatewayServer;
use slatevalve_gateway::settings::{NameTables, Site};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_worker_protocol::{
    Call, Limits, Message, MessageReader, ParsedRequest, Reply, Side, WorkerRequest,
};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 3;
const SECONDS: f64 = 2.0;
const WORKERS: usize = 2;
const PAYLOAD: &[u8] = &[b'x'; 200];
const BUFFERED_BYTES_MAX: usize = 1 << 24;
/// Clock ticks a second of the times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

fn served() -> Vec<u8> {
    Reply::Served { payload: PAYLOAD.to_vec(), ran: Some("1".into()) }.encode(None, None)
}

/// Starts a worker that responds at once and does not parse calls, so that its own cost is low.
fn worker() -> SocketAddr {
    let (send, receive) = mpsc::channel();
    thread::spawn(move || {
        let mut reactor = Reactor::new(BUFFERED_BYTES_MAX).unwrap();
        let (_, address) = reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        send.send(address).unwrap();
        let (mut readers, mut events) = (HashMap::new(), Vec::new());
        let answer = served();
        loop {
            reactor.poll(None, &mut events).unwrap();
            for event in events.drain(..) {
                match event {
                    ReactorEvent::Accepted { connection, .. } => {
                        readers.insert(connection, MessageReader::new(Side::Request, Limits::default()));
                    }
                    ReactorEvent::Received(id, bytes) => {
                        let message =
                            readers.get_mut(&id).and_then(|reader| reader.feed(&bytes).ok().flatten());
                        match message {
                            Some(call) if call.head.target.ends_with("/infer") => reactor.write(id, &answer),
                            Some(other) => reactor.write(id, &other_response(other)),
                            None => {}
                        }
                    }
                    ReactorEvent::Closed { id, .. } => {
                        readers.remove(&id);
                    }
                    _ => {}
                }
            }
        }
    });
    receive.recv().unwrap()
}

/// Responds to a request other than a call.
fn other_response(message: Message) -> Vec<u8> {
    let reply = match ParsedRequest::read(message).map(|request| request.request) {
        Ok(WorkerRequest::Load { copies, .. }) => Reply::Copies(copies),
        Ok(WorkerRequest::Ready) => Reply::Ready,
        _ => Reply::Copies(1),
    };
    reply.encode(None, None)
}

/// A thread that serves clients.
struct Server {
    address: SocketAddr,
    /// The kernel's id of the thread.
    thread: i32,
}

fn this_thread() -> i32 {
    rustix::thread::gettid().as_raw_nonzero().get()
}

/// Returns the CPU time of a thread in seconds, user and system (`/proc/[pid]/task/[tid]/stat`, fields 14
/// and 15).
fn cpu_seconds(thread: i32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{thread}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

fn gateway(workers: &[SocketAddr]) -> Server {
    let mut text = String::from(
        "(gateway (name \"bench\"))(mqtt (listen \"127.0.0.1:0\"))
         (class \"quote\" (effect safe) (aim-ms 2000) (deadline-ms 10000))
         (function \"f\" (lanes 2000) (load-ms 1))
         (route \"quote/+\" (class \"quote\") (function \"{2}\"))",
    );
    for (index, address) in workers.iter().enumerate() {
        text += &format!("(worker \"w{index}\" (address \"{address}\"))");
    }
    let (send, receive) = mpsc::channel();
    // Named, so that a profile can be read for this thread alone.
    let thread = thread::Builder::new().name("gateway".into());
    let spawned = thread.spawn(move || {
        let clock = Clock::start();
        let site = Site::parse("bench", &text, &clock, NameTables::default()).unwrap();
        let mut server = GatewayServer::new(site, None, clock).unwrap();
        send.send(Server { address: server.address(), thread: this_thread() }).unwrap();
        server.run().unwrap();
    });
    spawned.unwrap();
    receive.recv().unwrap()
}

/// Starts the baseline: each publish of the known length becomes one request, each response of the known
/// length one answer.
fn relay(workers: &[SocketAddr], publish_length: usize) -> Server {
    let (workers, (send, receive)) = (workers.to_vec(), mpsc::channel());
    thread::spawn(move || {
        let mut reactor = Reactor::new(BUFFERED_BYTES_MAX).unwrap();
        let (_, address) = reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        send.send(Server { address, thread: this_thread() }).unwrap();
        let call = Call {
            function: "f".into(),
            payload: PAYLOAD.to_vec(),
            request_id: "1234567".into(),
            time_remaining_ms: 9_000,
            class: "quote".into(),
            ..Call::default()
        };
        let (request, response, answer) =
            (WorkerRequest::Infer(call).encode("127.0.0.1:40000", "bench"), served(), answer());
        let (mut client, mut bytes_in, mut opened) = (None, 0, 0);
        let mut idle: Vec<Id> = Vec::new();
        let mut connections: HashMap<Id, usize> = HashMap::new();
        let mut events = Vec::new();
        loop {
            reactor.poll(None, &mut events).unwrap();
            for event in events.drain(..) {
                match event {
                    ReactorEvent::Accepted { connection, .. } => client = Some(connection),
                    ReactorEvent::Received(id, bytes) if Some(id) == client => {
                        bytes_in += bytes.len();
                        while bytes_in >= publish_length {
                            bytes_in -= publish_length;
                            let id = idle.pop().unwrap_or_else(|| {
                                opened += 1;
                                reactor.connect(workers[opened % workers.len()]).unwrap()
                            });
                            connections.insert(id, 0);
                            reactor.write(id, &request);
                        }
                    }
                    ReactorEvent::Received(id, bytes) => {
                        let Some(received) = connections.get_mut(&id) else { continue };
                        *received += bytes.len();
                        if *received >= response.len() {
                            idle.push(id);
                            reactor.write(client.unwrap(), &answer);
                        }
                    }
                    _ => {}
                }
            }
        }
    });
    receive.recv().unwrap()
}

fn publish() -> Vec<u8> {
    let properties: Vec<Property> = vec![
        ResponseTopic::new("replies/bench").unwrap().into(),
        CorrelationData::new(b"12345678").unwrap().into(),
    ];
    let builder = v5_0::Publish::builder().topic_name("quote/f").unwrap().qos(Qos::AtMostOnce);
    builder.props(properties).payload(PAYLOAD.to_vec()).build().unwrap().to_continuous_buffer()
}

/// An answer of the same length as the gateway's.
fn answer() -> Vec<u8> {
    let mut properties: Vec<Property> = vec![CorrelationData::new(b"12345678").unwrap().into()];
    for (name, value) in [("outcome", "served"), ("attempts", "1"), ("ran", "1")] {
        properties.push(UserProperty::new(name, value).unwrap().into());
    }
    let builder = v5_0::Publish::builder().topic_name("replies/bench").unwrap().qos(Qos::AtMostOnce);
    builder.props(properties).payload(PAYLOAD.to_vec()).build().unwrap().to_continuous_buffer()
}

/// The result of a measurement.
struct Measured {
    per_second: f64,
    times: Histogram<u64>,
    cpu_us: f64,
}

/// Whether a client speaks MQTT with the server or only sends publishes to the baseline.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Protocol {
    Mqtt,
    Bare,
}

/// A client that keeps calls in flight.
struct Client {
    reactor: Reactor,
    connection: Id,
    publish: Vec<u8>,
    /// When the calls in flight were sent.
    sent: VecDeque<Instant>,
}

impl Client {
    fn connect(address: SocketAddr, protocol: Protocol) -> Self {
        let mut reactor = Reactor::new(BUFFERED_BYTES_MAX).unwrap();
        let connection = reactor.connect(address).unwrap();
        let mut client = Client { reactor, connection, publish: publish(), sent: VecDeque::new() };
        if protocol == Protocol::Mqtt {
            client.handshake();
        }
        client
    }

    /// Sends a CONNECT and reads the CONNACK, whose bytes do not count as an answer.
    fn handshake(&mut self) {
        let connect = v5_0::Connect::builder().client_id("bench").unwrap().clean_start(true).build().unwrap();
        self.reactor.write(self.connection, &connect.to_continuous_buffer());
        let (mut connack, mut events) = (Vec::new(), Vec::new());
        while connack.len() < 2 || connack.len() < 2 + usize::from(connack[1]) {
            self.reactor.poll(Some(Duration::from_millis(100)), &mut events).unwrap();
            for event in events.drain(..) {
                if let ReactorEvent::Received(_, bytes) = event {
                    connack.extend(bytes);
                }
            }
        }
    }

    fn send(&mut self) {
        self.reactor.write(self.connection, &self.publish);
        self.sent.push_back(Instant::now());
    }
}

/// Keeps so many calls in flight for a while, and measures them after a time of warming up.
fn load(server: &Server, protocol: Protocol, in_flight: usize) -> Measured {
    let mut client = Client::connect(server.address, protocol);
    let answer_length = answer().len();
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
    let warm_until = Instant::now() + Duration::from_secs_f64(SECONDS / 2.0);
    let until = warm_until + Duration::from_secs_f64(SECONDS);
    (0..in_flight).for_each(|_| client.send());
    let (mut events, mut bytes_in) = (Vec::new(), 0);
    let (mut completed, mut cpu_before) = (0u64, None);
    while Instant::now() < until {
        client.reactor.poll(Some(Duration::from_millis(50)), &mut events).unwrap();
        for event in events.drain(..) {
            let ReactorEvent::Received(_, bytes) = event else { continue };
            bytes_in += bytes.len();
            let now = Instant::now();
            while bytes_in >= answer_length {
                bytes_in -= answer_length;
                // Answers may arrive in another order than their calls were sent. That does not change the
                // mean, and the quantiles of the histogram only little.
                let Some(sent) = client.sent.pop_front() else { panic!("more answers than calls") };
                if now > warm_until {
                    cpu_before.get_or_insert_with(|| cpu_seconds(server.thread));
                    times.saturating_record(now.duration_since(sent).as_micros().max(1) as u64);
                    completed += 1;
                }
                client.send();
            }
        }
    }
    let cpu = cpu_seconds(server.thread) - cpu_before.unwrap_or(0.0);
    Measured { per_second: completed as f64 / SECONDS, times, cpu_us: cpu * 1e6 / completed.max(1) as f64 }
}

fn main() {
    let workers: Vec<SocketAddr> = (0..WORKERS).map(|_| worker()).collect();
    let length = publish().len();
    println!("calls a second and client times in us, {ROUNDS} rounds of {SECONDS} s each, in turn");
    println!(
        "{:>9} {:>8} {:>10} {:>8} {:>8} {:>12} {:>14} {:>9}",
        "in flight", "", "calls/s", "p50", "p99", "cpu us/call", "calls/s, core", "of floor"
    );
    // Other numbers of calls in flight may be given on the command line.
    let given: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    let counts = if given.is_empty() { vec![1, 64, 1_024] } else { given };
    for in_flight in counts {
        for _ in 0..ROUNDS {
            let baseline = load(&relay(&workers, length), Protocol::Bare, in_flight);
            let gateway = load(&gateway(&workers), Protocol::Mqtt, in_flight);
            for (name, measured) in [("floor", &baseline), ("gateway", &gateway)] {
                print_row(in_flight, name, measured, &baseline);
            }
        }
    }
}

fn print_row(in_flight: usize, name: &str, measured: &Measured, baseline: &Measured) {
    let (p50, p99) = (measured.times.value_at_quantile(0.5), measured.times.value_at_quantile(0.99));
    println!(
        "{in_flight:>9} {name:>8} {:>10.0} {p50:>8} {p99:>8} {:>12.1} {:>14.0} {:>9.2}",
        measured.per_second,
        measured.cpu_us,
        1e6 / measured.cpu_us,
        baseline.cpu_us / measured.cpu_us
    );
}
