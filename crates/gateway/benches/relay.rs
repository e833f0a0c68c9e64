//! The gateway beside a floor: a bare relay on the same loop, with the same client bytes, the same requests and
//! responses and the same stand-in workers, in one run and in turn. `cargo bench -p slatevalve-gateway`
//!
//! Printed for each number of calls in flight: calls a second, the times at the client, and the processor time that
//! the one thread took for a call, from which follow the calls a second that one core could carry. (Where threads wake
//! each other for every single message, as on small virtual machines, the client is what limits the calls a second.)
//! Times are for reading beside each other, not for judging a machine.

use hdrhistogram::Histogram;
use mqtt_protocol_core::mqtt::packet::*;
use slatevalve_gateway::clock::Clock;
use slatevalve_gateway::server::GatewayServer;
use slatevalve_gateway::settings::{Named, Site};
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

fn served() -> Vec<u8> {
    Reply::Served { payload: PAYLOAD.to_vec(), ran: Some("1".into()) }.encode(None, None)
}

/// A worker that answers at once; calls are not looked into, so that it is not what is measured.
fn worker() -> SocketAddr {
    let (send, receive) = mpsc::channel();
    thread::spawn(move || {
        let mut reactor = Reactor::new(1 << 24).unwrap();
        let (_, address) = reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        send.send(address).unwrap();
        let (mut readers, mut happened) = (HashMap::new(), Vec::new());
        let answer = served();
        loop {
            reactor.poll(None, &mut happened).unwrap();
            for event in happened.drain(..) {
                match event {
                    ReactorEvent::Accepted { connection, .. } => {
                        readers.insert(connection, MessageReader::new(Side::Request, Limits::default()));
                    }
                    ReactorEvent::Received(id, bytes) => {
                        let message = readers.get_mut(&id).and_then(|r| r.feed(&bytes).ok().flatten());
                        match message {
                            Some(m) if m.head.target.ends_with("/infer") => reactor.write(id, &answer),
                            Some(m) => reactor.write(id, &other(m)),
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

fn other(message: Message) -> Vec<u8> {
    let reply = match ParsedRequest::read(message).map(|a| a.order) {
        Ok(WorkerRequest::Load { copies, .. }) => Reply::Copies(copies),
        Ok(WorkerRequest::Ready) => Reply::Ready,
        _ => Reply::Copies(1),
    };
    reply.encode(None, None)
}

/// Where a thread listens, and its number for the kernel.
type Listening = (SocketAddr, i32);

fn this_thread() -> i32 {
    rustix::thread::gettid().as_raw_nonzero().get()
}

/// Processor seconds of a thread so far, user and system (`/proc/[pid]/task/[tid]/stat`, fields 14 and 15).
fn cpu_seconds(thread: i32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{thread}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

fn gateway(workers: &[SocketAddr]) -> Listening {
    let mut text = String::from(
        "(gateway (name \"bench\"))(mqtt (listen \"127.0.0.1:0\"))
         (class \"quote\" (effect safe) (aim-ms 2000) (deadline-ms 10000))
         (function \"f\" (lanes 2000) (load-ms 1))
         (route \"quote/+\" (class \"quote\") (function \"{2}\"))",
    );
    for (n, address) in workers.iter().enumerate() {
        text += &format!("(worker \"w{n}\" (address \"{address}\"))");
    }
    let (send, receive) = mpsc::channel();
    // Named, so that a profile can be read for this thread alone.
    let thread = thread::Builder::new().name("gateway".into());
    let spawned = thread.spawn(move || {
        let clock = Clock::start();
        let site = Site::parse("bench", &text, &clock, Named::default()).unwrap();
        let mut shell = GatewayServer::new(site, None, clock).unwrap();
        send.send((shell.address(), this_thread())).unwrap();
        shell.run().unwrap();
    });
    spawned.unwrap();
    receive.recv().unwrap()
}

/// The floor: each publish of the known length becomes one request, each response of the known length one answer.
fn relay(workers: &[SocketAddr], publish_length: usize) -> Listening {
    let (workers, (send, receive)) = (workers.to_vec(), mpsc::channel());
    thread::spawn(move || {
        let mut reactor = Reactor::new(1 << 24).unwrap();
        let (_, address) = reactor.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        send.send((address, this_thread())).unwrap();
        let call = Call {
            function: "f".into(),
            payload: PAYLOAD.to_vec(),
            request_id: "1234567".into(),
            time_left_ms: 9_000,
            class: "quote".into(),
            ..Call::default()
        };
        let (request, response, answer) =
            (WorkerRequest::Infer(call).encode("127.0.0.1:40000", "bench"), served(), answer());
        let (mut client, mut bytes_in, mut turn) = (None, 0, 0);
        let mut idle: Vec<Id> = Vec::new();
        let mut connections: HashMap<Id, usize> = HashMap::new();
        let mut happened = Vec::new();
        loop {
            reactor.poll(None, &mut happened).unwrap();
            for event in happened.drain(..) {
                match event {
                    ReactorEvent::Accepted { connection, .. } => client = Some(connection),
                    ReactorEvent::Received(id, bytes) if Some(id) == client => {
                        bytes_in += bytes.len();
                        while bytes_in >= publish_length {
                            bytes_in -= publish_length;
                            let id = idle.pop().unwrap_or_else(|| {
                                turn += 1;
                                reactor.connect(workers[turn % workers.len()]).unwrap()
                            });
                            connections.insert(id, 0);
                            reactor.write(id, &request);
                        }
                    }
                    ReactorEvent::Received(id, bytes) => {
                        let Some(have) = connections.get_mut(&id) else { continue };
                        *have += bytes.len();
                        if *have >= response.len() {
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

/// As long as what the gateway sends.
fn answer() -> Vec<u8> {
    let mut properties: Vec<Property> = vec![CorrelationData::new(b"12345678").unwrap().into()];
    for (name, value) in [("outcome", "served"), ("attempts", "1"), ("ran", "1")] {
        properties.push(UserProperty::new(name, value).unwrap().into());
    }
    let builder = v5_0::Publish::builder().topic_name("replies/bench").unwrap().qos(Qos::AtMostOnce);
    builder.props(properties).payload(PAYLOAD.to_vec()).build().unwrap().to_continuous_buffer()
}

/// How a load went.
struct Measured {
    per_second: f64,
    times: Histogram<u64>,
    cpu_us: f64,
}

/// Keeps so many calls in flight for a while.
fn load((address, thread): Listening, mqtt: bool, in_flight: usize) -> Measured {
    let mut reactor = Reactor::new(1 << 24).unwrap();
    let id = reactor.connect(address).unwrap();
    let (publish, answer_length) = (publish(), answer().len());
    let (mut happened, mut bytes_in) = (Vec::new(), 0);
    if mqtt {
        let connect = v5_0::Connect::builder().client_id("bench").unwrap().clean_start(true).build().unwrap();
        reactor.write(id, &connect.to_continuous_buffer());
        // The CONNACK's bytes are counted off before the answers.
        let mut connack = Vec::new();
        while connack.len() < 2 || connack.len() < 2 + usize::from(connack[1]) {
            reactor.poll(Some(Duration::from_millis(100)), &mut happened).unwrap();
            for event in happened.drain(..) {
                if let ReactorEvent::Received(_, bytes) = event {
                    connack.extend(bytes);
                }
            }
        }
    }
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
    let mut sent: VecDeque<Instant> = VecDeque::new();
    let send = |reactor: &mut Reactor, sent: &mut VecDeque<Instant>| {
        reactor.write(id, &publish);
        sent.push_back(Instant::now());
    };
    let warm_until = Instant::now() + Duration::from_secs_f64(SECONDS / 2.0);
    let until = warm_until + Duration::from_secs_f64(SECONDS);
    (0..in_flight).for_each(|_| send(&mut reactor, &mut sent));
    let (mut done, mut cpu_before) = (0u64, None);
    while Instant::now() < until {
        reactor.poll(Some(Duration::from_millis(50)), &mut happened).unwrap();
        for event in happened.drain(..) {
            let ReactorEvent::Received(_, bytes) = event else { continue };
            bytes_in += bytes.len();
            let now = Instant::now();
            while bytes_in >= answer_length {
                bytes_in -= answer_length;
                // Answers may overtake each other; in sum, which is all that a histogram keeps, that is no matter
                // for the mean and little for the rest.
                let Some(at) = sent.pop_front() else { panic!("more answers than calls") };
                if now > warm_until {
                    cpu_before.get_or_insert_with(|| cpu_seconds(thread));
                    times.saturating_record(now.duration_since(at).as_micros().max(1) as u64);
                    done += 1;
                }
                send(&mut reactor, &mut sent);
            }
        }
    }
    let cpu = cpu_seconds(thread) - cpu_before.unwrap_or(0.0);
    Measured { per_second: done as f64 / SECONDS, times, cpu_us: cpu * 1e6 / done.max(1) as f64 }
}

fn main() {
    let workers: Vec<SocketAddr> = (0..WORKERS).map(|_| worker()).collect();
    let length = publish().len();
    println!("calls a second and client times in us, {ROUNDS} rounds of {SECONDS} s each, in turn");
    println!(
        "{:>9} {:>8} {:>10} {:>8} {:>8} {:>12} {:>14} {:>9}",
        "in flight", "", "calls/s", "p50", "p99", "cpu us/call", "calls/s, core", "of floor"
    );
    // Other numbers of calls in flight may be named on the command line.
    let named: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let counts = if named.is_empty() { vec![1, 64, 1_024] } else { named };
    for in_flight in counts {
        for _ in 0..ROUNDS {
            let floor = load(relay(&workers, length), false, in_flight);
            let gateway = load(gateway(&workers), true, in_flight);
            for (name, m) in [("floor", &floor), ("gateway", &gateway)] {
                let (p50, p99) = (m.times.value_at_quantile(0.5), m.times.value_at_quantile(0.99));
                println!(
                    "{in_flight:>9} {name:>8} {:>10.0} {p50:>8} {p99:>8} {:>12.1} {:>14.0} {:>9.2}",
                    m.per_second,
                    m.cpu_us,
                    1e6 / m.cpu_us,
                    floor.cpu_us / m.cpu_us
                );
            }
        }
    }
}
