//! A worker that records every command it receives, and that can drain, hang, fail calls, reset connections,
//! report missing functions and be replaced by another process at its address.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A command that a worker received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// A call.
    Exec {
        /// The client's request id.
        id: String,
        /// The time that the router allows for the call, in milliseconds.
        max_ms: u64,
        /// Whether the worker executed the call; false if it rejected the call.
        ran: bool,
    },
    /// A request to load copies of a function.
    Ensure,
}

/// A command and the time at which it was read completely.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub at: Instant,
    pub command: Command,
    /// Number of the process that received it: 0 for the first one at the worker's address.
    pub process: usize,
}

/// How a worker responds to calls: shares in percent that fail; the remaining calls are served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behaviour {
    /// Duration of a call or a load.
    pub service_time: Duration,
    /// Calls whose connection is reset after execution.
    pub reset_percent: u32,
    /// Calls rejected with `NOENT`, as if their function were not loaded.
    pub miss_percent: u32,
}

impl Behaviour {
    /// Serves everything within a few milliseconds.
    pub(crate) const GOOD: Behaviour =
        Behaviour { service_time: Duration::from_millis(5), reset_percent: 0, miss_percent: 0 };
}

struct State {
    behaviour: Behaviour,
    is_draining: AtomicBool,
    is_hanging: AtomicBool,
    is_failing: AtomicBool,
    has_shallow_health_checks: AtomicBool,
    /// Number of the process that accepts connections.
    process: AtomicUsize,
    received: Mutex<Vec<Received>>,
    loaded: Mutex<HashSet<String>>,
    connections: Mutex<HashMap<usize, TcpStream>>,
    accepted: AtomicUsize,
    random: Mutex<Pcg64Mcg>,
}

/// A running worker.
#[derive(Clone)]
pub(crate) struct FleetWorker {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl FleetWorker {
    pub(crate) fn start(behaviour: Behaviour, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            behaviour,
            is_draining: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
            is_failing: AtomicBool::new(false),
            has_shallow_health_checks: AtomicBool::new(false),
            process: AtomicUsize::new(0),
            received: Mutex::default(),
            loaded: Mutex::default(),
            connections: Mutex::default(),
            accepted: AtomicUsize::new(0),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        };
        let worker = FleetWorker { address: listener.local_addr().unwrap(), state: Arc::new(state) };
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.clone();
                thread::spawn(move || worker.serve_connection(stream));
            }
        });
        worker
    }

    /// From now on the worker rejects new work and reports itself as draining.
    pub(crate) fn drain(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
    }

    /// From now on health checks say that the worker is ready as long as its process runs.
    pub(crate) fn use_shallow_health_checks(&self) {
        self.state.has_shallow_health_checks.store(true, Ordering::SeqCst);
    }

    /// While the worker hangs, each connection stops after the command that it has read, without an answer.
    pub(crate) fn set_hanging(&self, is_hanging: bool) {
        self.state.is_hanging.store(is_hanging, Ordering::SeqCst);
    }

    /// While the worker fails, it executes calls and answers each with an error.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        self.state.is_failing.store(is_failing, Ordering::SeqCst);
    }

    /// Ends the worker's process; another one listens at its address from now on.
    pub(crate) fn replace(&self) {
        self.state.process.fetch_add(1, Ordering::SeqCst);
        self.state.loaded.lock().unwrap().clear();
        self.reset_connections();
    }

    /// Resets all connections, as the exit of the worker's process would.
    pub(crate) fn reset_connections(&self) {
        for (_, stream) in self.state.connections.lock().unwrap().drain() {
            let socket = socket2::Socket::from(stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// All commands received so far, in order of arrival.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.state.received.lock().unwrap().clone()
    }

    /// Number of connections accepted so far.
    pub(crate) fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    fn serve_connection(&self, stream: TcpStream) {
        let number = self.state.accepted.fetch_add(1, Ordering::SeqCst);
        let Ok(copy) = stream.try_clone() else { return };
        self.state.connections.lock().unwrap().insert(number, copy);
        let process = self.state.process.load(Ordering::SeqCst);
        let _ = self.serve_commands(process, stream);
        self.state.connections.lock().unwrap().remove(&number);
    }

    fn serve_commands(&self, process: usize, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let tokens: Vec<&str> = line.trim_end().split(' ').collect();
            let body = match tokens[0] {
                "exec" => read_body(&mut reader, tokens[3])?,
                _ => Vec::new(),
            };
            let at = Instant::now();
            while self.state.is_hanging.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            match tokens[0] {
                "exec" => self.execute((process, at), tokens[1], tokens[2], &body, &mut stream)?,
                "ensure" => self.load((process, at), tokens[1], tokens[2], &mut stream)?,
                "load" | "health" => self.report(tokens[1], &mut stream)?,
                "drop" | "release" => {}
                other => panic!("the worker received an unknown command {other:?}"),
            }
        }
    }

    fn execute(
        &self,
        arrival: (usize, Instant),
        id: &str,
        fields: &str,
        body: &[u8],
        stream: &mut TcpStream,
    ) -> Option<()> {
        let drawn = self.state.random.lock().unwrap().next_u32() % 100;
        let Behaviour { service_time, reset_percent, miss_percent } = self.state.behaviour;
        let is_draining = self.state.is_draining.load(Ordering::SeqCst);
        let is_loaded = self.state.loaded.lock().unwrap().contains(&field(fields, "thing"));
        let is_missing = !is_loaded || (reset_percent..reset_percent + miss_percent).contains(&drawn);
        let ran = !is_draining && !is_missing;
        let max_ms = field(fields, "max").parse().expect("`max` is a number of milliseconds");
        self.record(arrival, Command::Exec { id: id.into(), max_ms, ran });
        if !ran {
            let status = if is_draining { "AGAIN" } else { "NOENT" };
            return answer(stream, id, status, "-", b"");
        }
        thread::sleep(service_time);
        if drawn < reset_percent {
            let socket = socket2::SockRef::from(&*stream);
            let _ = socket.set_linger(Some(Duration::ZERO));
            let _ = socket.shutdown(std::net::Shutdown::Both);
            return None;
        }
        if self.state.is_failing.load(Ordering::SeqCst) {
            return answer(stream, id, "EIO", "-", b"");
        }
        answer(stream, id, "ACK", "-", body)
    }

    fn load(&self, arrival: (usize, Instant), tag: &str, fields: &str, stream: &mut TcpStream) -> Option<()> {
        if field(fields, "copies") != "0" {
            self.record(arrival, Command::Ensure);
        }
        if self.state.is_draining.load(Ordering::SeqCst) {
            return answer(stream, tag, "AGAIN", "copies=0", b"");
        }
        thread::sleep(self.state.behaviour.service_time);
        self.state.loaded.lock().unwrap().insert(field(fields, "thing"));
        answer(stream, tag, "ACK", "copies=1", b"")
    }

    fn report(&self, tag: &str, stream: &mut TcpStream) -> Option<()> {
        let is_draining = self.state.is_draining.load(Ordering::SeqCst);
        let is_shallow = self.state.has_shallow_health_checks.load(Ordering::SeqCst);
        let status = if is_draining && !is_shallow { "AILING" } else { "READY" };
        answer(stream, tag, status, "report=queue:0", b"")
    }

    /// Records a command that a process, given by its number, has received.
    fn record(&self, (process, at): (usize, Instant), command: Command) {
        self.state.received.lock().unwrap().push(Received { at, command, process });
    }
}

fn read_body(reader: &mut impl Read, length: &str) -> Option<Vec<u8>> {
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    reader.read_exact(&mut body).ok()?;
    assert_eq!(body.split_off(body.len() - 2), b"\r\n");
    Some(body)
}

fn answer(stream: &mut TcpStream, id: &str, status: &str, fields: &str, body: &[u8]) -> Option<()> {
    let mut bytes = format!("{id} {status} {fields} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes).ok()
}

fn field(fields: &str, name: &str) -> String {
    let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(found, _)| *found == name).map(|(_, value)| value.to_string()).unwrap_or_default()
}
