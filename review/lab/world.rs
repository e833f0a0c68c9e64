//! The stand-ins of the review: change log, workers, clients, and the router as a child process.
//!
//! Everything that crosses a socket is recorded with its time, in milliseconds since the start of the case.

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// Lets a program end with this one, however that ends.
pub fn end_with_parent(command: &mut Command) {
    let set = || match unsafe { prctl(1, SIGKILL as u64) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    };
    // PR_SET_PDEATHSIG is 1.
    unsafe { command.pre_exec(set) };
}

/// Ends a connection with a reset.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET is 1, SO_LINGER is 13.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

/// An attempt or an order, at the moment it had arrived whole at a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub ms: f64,
    /// Name of the worker that received it.
    pub worker: String,
    /// `exec` or `ensure`.
    pub verb: String,
    pub id: String,
    pub class: String,
    pub key: String,
    /// Whether the worker ran it.
    pub ran: bool,
}

/// What happened to a request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: String,
    pub sent_ms: f64,
    /// When the client cancelled it or closed its connection.
    pub left_ms: Option<f64>,
    /// Time, outcome (`served`, `Throttled` or another error) and whether the body is the expected one.
    pub answers: Vec<(f64, String, bool)>,
    /// When its connection ended before an answer.
    pub cut_ms: Option<f64>,
}

pub struct World {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub requests: Mutex<HashMap<String, Request>>,
    /// Bodies that workers gave, by request id.
    bodies: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    next_id: AtomicU64,
}

impl World {
    pub fn new() -> Arc<World> {
        Arc::new(World {
            start: Instant::now(),
            lines: Mutex::default(),
            arrivals: Mutex::default(),
            requests: Mutex::default(),
            bodies: Mutex::default(),
            next_id: AtomicU64::new(1),
        })
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn note(&self, text: impl Into<String>) -> f64 {
        let ms = self.ms();
        self.lines.lock().unwrap().push((ms, text.into()));
        ms
    }

    pub fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    pub fn write_record(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text =
            String::from("time in ms since the start of the case; what was sent, answered and run\n");
        for (ms, line) in lines {
            let _ = writeln!(text, "{ms:10.1}  {line}");
        }
        let _ = std::fs::write(path, text);
    }

    pub fn requests(&self) -> Vec<Request> {
        let mut all: Vec<Request> = self.requests.lock().unwrap().values().cloned().collect();
        all.sort_by(|a, b| a.sent_ms.total_cmp(&b.sent_ms));
        all
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

// ---- change log ----

/// One member of the list of workers.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub flavor: String,
    pub cell: u64,
    pub phase: &'static str,
    pub size: u32,
    pub up_since_ms: u64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"{}","cell":{},"phase":"{}","size":{},"up_since_ms":{}}}"#,
            self.id, self.address, self.zone, self.flavor, self.cell, self.phase, self.size, self.up_since_ms
        )
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The events of the change log, which several addresses may serve one after the other.
#[derive(Clone, Default)]
pub struct Events(Arc<Mutex<Vec<String>>>);

impl Events {
    pub fn push(&self, world: &World, members: &[Member], complete: bool) -> f64 {
        let mut events = self.0.lock().unwrap();
        let seq = events.len() + 1;
        let list: Vec<String> = members.iter().map(Member::json).collect();
        events.push(format!(
            r#"{{"seq":{seq},"fleet":{{"revision":{seq},"complete":{complete},"members":[{}]}}}}"#,
            list.join(",")
        ));
        let told: Vec<String> =
            members.iter().take(8).map(|m| format!("{}={}@{}", m.id, m.phase, m.address)).collect();
        world.note(format!("change log: event {seq} stands ({} members): {}", members.len(), told.join(" ")))
    }

    pub fn since(&self, after: usize) -> (usize, String) {
        let events = self.0.lock().unwrap();
        let results = events.get(after..).unwrap_or_default().join(",");
        (events.len(), format!(r#"{{"seq":{},"results":[{results}]}}"#, events.len()))
    }
}

/// A server of the change log at one address.
pub struct ChangeLog {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl ChangeLog {
    pub fn start(world: &Arc<World>, name: &str, events: &Events) -> ChangeLog {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let silent = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let log = ChangeLog { address, silent: silent.clone(), connections: connections.clone() };
        let (world, name, events) = (world.clone(), name.to_string(), events.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.lock().unwrap().push(stream.try_clone().unwrap());
                let (world, name, events, silent) =
                    (world.clone(), name.clone(), events.clone(), silent.clone());
                thread::spawn(move || serve_log(&world, &name, &events, &silent, stream));
            }
        });
        log
    }

    /// While it is silent, the log accepts connections and questions, and answers nothing.
    pub fn set_silent(&self, world: &World, silent: bool) -> f64 {
        self.silent.store(silent, Ordering::SeqCst);
        world.note(format!(
            "change log at {}: {}",
            self.address,
            if silent { "silent from now on" } else { "answers" }
        ))
    }

    pub fn close_connections(&self, world: &World) {
        world.note(format!("change log at {}: closes its open connections", self.address));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_log(
    world: &World,
    name: &str,
    events: &Events,
    silent: &AtomicBool,
    stream: TcpStream,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
        }
        let number = |name: &str| -> usize {
            let rest = first.split(name).nth(1).unwrap_or("0");
            rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
        };
        let (since, timeout) = (number("since="), number("timeout=").min(5000));
        world.note(format!("{name}: asked since={since} timeout={timeout}"));
        let asked = Instant::now();
        loop {
            if !silent.load(Ordering::SeqCst) {
                let (last, body) = events.since(since);
                if last > since || asked.elapsed() >= Duration::from_millis(timeout as u64) {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    stream.write_all((head + &body).as_bytes()).ok()?;
                    world.note(format!("{name}: answered up to {last}"));
                    break;
                }
            }
            sleep_ms(1);
        }
    }
}

// ---- workers ----

/// What a worker does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Runs it and answers `ACK` after so many milliseconds, with this body.
    Run(u64, Vec<u8>),
    /// Runs it and answers `EIO`.
    RunThenError,
    /// Answers this word without running it.
    Word(&'static str),
}

pub struct Call {
    pub id: String,
    pub class: String,
    pub key: String,
    pub function: String,
    pub body: Vec<u8>,
}

type Behaviour = Box<dyn Fn(&Call) -> Reply + Send + Sync>;

/// A worker's process.
pub struct Worker {
    pub name: String,
    pub cell: u64,
    /// Rejects new calls and orders with `AGAIN`.
    pub draining: AtomicBool,
    /// Its answer to `health` and `load` while it drains.
    drained_health: &'static str,
    behaviour: Behaviour,
    loaded: Mutex<HashSet<String>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Worker {
    pub fn new(name: &str, cell: u64, behaviour: impl Fn(&Call) -> Reply + Send + Sync + 'static) -> Worker {
        Worker {
            name: name.into(),
            cell,
            draining: AtomicBool::new(false),
            drained_health: "AILING",
            behaviour: Box::new(behaviour),
            loaded: Mutex::default(),
            connections: Mutex::default(),
        }
    }

    /// A worker with shallow health checks: they show that its process runs.
    pub fn with_shallow_health(self) -> Worker {
        Worker { drained_health: "READY", ..self }
    }
}

/// A worker's address. The process behind it can be replaced by another one.
pub struct Place {
    pub address: SocketAddr,
    current: Mutex<Arc<Worker>>,
}

impl Place {
    pub fn start(world: &Arc<World>, worker: Worker) -> Arc<Place> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let place = Arc::new(Place { address, current: Mutex::new(Arc::new(worker)) });
        let (accepting, world) = (place.clone(), world.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.worker();
                let _ = stream.set_nodelay(true);
                worker.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let world = world.clone();
                thread::spawn(move || serve_worker(&world, &worker, stream));
            }
        });
        place
    }

    pub fn worker(&self) -> Arc<Worker> {
        self.current.lock().unwrap().clone()
    }

    /// Ends the process at this address, whose connections are reset, and starts another one.
    pub fn replace(&self, world: &World, worker: Worker) -> f64 {
        let ms =
            world.note(format!("at {}: {} ends, {} starts", self.address, self.worker().name, worker.name));
        let old = std::mem::replace(&mut *self.current.lock().unwrap(), Arc::new(worker));
        for stream in old.connections.lock().unwrap().drain(..) {
            reset(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
        ms
    }

    pub fn member(&self, zone: &str, flavor: &str, phase: &'static str, up_since_ms: u64) -> Member {
        let worker = self.worker();
        Member {
            id: worker.name.clone(),
            address: self.address,
            zone: zone.into(),
            flavor: flavor.into(),
            cell: worker.cell,
            phase,
            size: 4,
            up_since_ms,
        }
    }
}

fn field(fields: &str, name: &str) -> String {
    let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(found, _)| *found == name).map(|(_, value)| value.to_string()).unwrap_or_default()
}

fn send_reply(writer: &Mutex<TcpStream>, id: &str, word: &str, fields: &str, body: &[u8]) {
    let mut bytes = format!("{id} {word} {fields} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    let _ = writer.lock().unwrap().write_all(&bytes);
}

fn serve_worker(world: &Arc<World>, worker: &Arc<Worker>, stream: TcpStream) -> Option<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let tokens: Vec<&str> = line.trim_end().split(' ').collect();
        match tokens[0] {
            "exec" => {
                let mut body = vec![0; tokens[3].parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                let call = Call {
                    id: tokens[1].into(),
                    class: field(tokens[2], "profile"),
                    key: field(tokens[2], "replay"),
                    function: field(tokens[2], "thing"),
                    body,
                };
                execute(world, worker, &writer, call);
            }
            "ensure" => {
                let (function, copies) = (field(tokens[2], "thing"), field(tokens[2], "copies"));
                let draining = worker.draining.load(Ordering::SeqCst);
                if copies != "0" {
                    arrived(world, worker, "ensure", tokens[1], "", "", false);
                }
                if draining {
                    send_reply(&writer, tokens[1], "AGAIN", "copies=0", b"");
                    continue;
                }
                // A load takes some time, and the answer comes at its end. Calls that come meanwhile are
                // taken.
                let (tag, writer, asks) = (tokens[1].to_string(), writer.clone(), copies == "0");
                let stood = match asks {
                    true => worker.loaded.lock().unwrap().contains(&function),
                    false => !worker.loaded.lock().unwrap().insert(function),
                };
                thread::spawn(move || {
                    if !asks && !stood {
                        sleep_ms(100);
                    }
                    let copies = if asks && !stood { "copies=0" } else { "copies=1" };
                    send_reply(&writer, &tag, "ACK", copies, b"");
                });
            }
            "load" | "health" => {
                let word = match worker.draining.load(Ordering::SeqCst) {
                    true => worker.drained_health,
                    false => "READY",
                };
                world.note(format!("{}: probe, answers {word}", worker.name));
                send_reply(&writer, tokens[1], word, "report=queue:0;util:0.2", b"");
            }
            _ => {
                world.note(format!("{}: {}", worker.name, line.trim_end()));
            }
        }
    }
}

fn arrived(world: &World, worker: &Worker, verb: &str, id: &str, class: &str, key: &str, ran: bool) {
    let ms = world.note(format!(
        "{} (cell {}): {verb} {id} {class} {key}{}",
        worker.name,
        worker.cell,
        if ran { " runs" } else { "" }
    ));
    world.arrivals.lock().unwrap().push(Arrival {
        ms,
        worker: worker.name.clone(),
        verb: verb.into(),
        id: id.into(),
        class: class.into(),
        key: key.into(),
        ran,
    });
}

fn execute(world: &Arc<World>, worker: &Arc<Worker>, writer: &Arc<Mutex<TcpStream>>, call: Call) {
    let loaded = worker.loaded.lock().unwrap().contains(&call.function);
    let reply = if worker.draining.load(Ordering::SeqCst) {
        Reply::Word("AGAIN")
    } else if !loaded {
        Reply::Word("NOENT")
    } else {
        (worker.behaviour)(&call)
    };
    let runs = !matches!(reply, Reply::Word(_));
    arrived(world, worker, "exec", &call.id, &call.class, &call.key, runs);
    let (world, worker, writer) = (world.clone(), worker.clone(), writer.clone());
    thread::spawn(move || match reply {
        Reply::Word(word) => {
            world.note(format!("{}: answers {} {word}", worker.name, call.id));
            send_reply(&writer, &call.id, word, "-", b"");
        }
        Reply::Run(work_ms, body) => {
            sleep_ms(work_ms);
            world.bodies.lock().unwrap().entry(call.id.clone()).or_default().push(body.clone());
            world.note(format!("{}: answers {} ACK, {} bytes", worker.name, call.id, body.len()));
            send_reply(&writer, &call.id, "ACK", "-", &body);
        }
        Reply::RunThenError => {
            sleep_ms(20);
            world.note(format!("{}: has run {}, answers EIO", worker.name, call.id));
            send_reply(&writer, &call.id, "EIO", "-", b"");
        }
    });
}

// ---- clients ----

/// A client's connection to the router.
pub struct Client {
    world: Arc<World>,
    stream: TcpStream,
    next_number: u32,
    open: Arc<Mutex<HashMap<u32, String>>>,
    checks: Arc<Mutex<Vec<bool>>>,
    ended: Arc<AtomicBool>,
}

fn pack_str(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        length @ 0..=31 => out.push(0xa0 | length as u8),
        length => out.extend([0xd9, length as u8]),
    }
    out.extend_from_slice(text.as_bytes());
}

fn pack_number(out: &mut Vec<u8>, number: u32) {
    out.push(0xce);
    out.extend_from_slice(&number.to_be_bytes());
}

/// A MessagePack value of an answer.
#[derive(Clone, Debug, PartialEq)]
enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Text(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn unpack(reader: &mut impl Read) -> Option<Value> {
    let mut byte = [0];
    reader.read_exact(&mut byte).ok()?;
    let mut bytes = |count: usize| -> Option<Vec<u8>> {
        let mut data = vec![0; count];
        reader.read_exact(&mut data).ok()?;
        Some(data)
    };
    let number = |data: Vec<u8>| data.iter().fold(0u64, |value, digit| (value << 8) | u64::from(*digit));
    let marker = byte[0];
    let (array, map) = match marker {
        0xc0 => return Some(Value::Nil),
        0xc2 | 0xc3 => return Some(Value::Bool(marker == 0xc3)),
        0x00..=0x7f => return Some(Value::Int(u64::from(marker))),
        0xcc..=0xcf => return Some(Value::Int(number(bytes(1 << (marker - 0xcc))?))),
        0xc4..=0xc6 => {
            let length = number(bytes(1 << (marker - 0xc4))?) as usize;
            return Some(Value::Bin(bytes(length)?));
        }
        0xa0..=0xbf => return Some(Value::Text(String::from_utf8(bytes(usize::from(marker & 0x1f))?).ok()?)),
        0xd9..=0xdb => {
            let length = number(bytes(1 << (marker - 0xd9))?) as usize;
            return Some(Value::Text(String::from_utf8(bytes(length)?).ok()?));
        }
        0x90..=0x9f => (usize::from(marker & 0xf), 0),
        0x80..=0x8f => (0, usize::from(marker & 0xf)),
        0xdc => (number(bytes(2)?) as usize, 0),
        0xde => (0, number(bytes(2)?) as usize),
        _ => return None,
    };
    if (0x80..=0x8f).contains(&marker) || marker == 0xde {
        return (0..map)
            .map(|_| Some((unpack(reader)?, unpack(reader)?)))
            .collect::<Option<_>>()
            .map(Value::Map);
    }
    (0..array).map(|_| unpack(reader)).collect::<Option<_>>().map(Value::Array)
}

impl Client {
    pub fn connect(world: &Arc<World>, router: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(router).ok()?;
        let _ = stream.set_nodelay(true);
        let client = Client {
            world: world.clone(),
            stream: stream.try_clone().ok()?,
            next_number: 1,
            open: Arc::default(),
            checks: Arc::default(),
            ended: Arc::default(),
        };
        let (world, open, checks, ended) =
            (world.clone(), client.open.clone(), client.checks.clone(), client.ended.clone());
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some(value) = unpack(&mut reader) {
                read_answer(&world, &open, &checks, value);
            }
            ended.store(true, Ordering::SeqCst);
            let ms = world.ms();
            for id in open.lock().unwrap().values() {
                let mut requests = world.requests.lock().unwrap();
                if let Some(request) = requests.get_mut(id).filter(|r| r.left_ms.is_none()) {
                    request.cut_ms = Some(ms);
                    world.note(format!("client: the connection of {id} ended without its answer"));
                }
            }
        });
        Some(client)
    }

    /// Sends a request in one write; returns its id.
    pub fn call(&mut self, class: &str, function: &str, key: &str, timeout_ms: u64, body: &[u8]) -> String {
        let id = self.world.new_id();
        let number = self.next_number;
        self.next_number += 1;
        let timeout = timeout_ms.to_string();
        let mut fields = vec![("req", id.as_str()), ("timeout", &timeout), ("subject", function)];
        fields.push(("info", "memory_mb:512;lanes:4;load_ms:400"));
        if !key.is_empty() {
            fields.push(("opkey", key));
        }
        let mut bytes = vec![0x94, 0x00];
        pack_number(&mut bytes, number);
        pack_str(&mut bytes, class);
        bytes.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            pack_str(&mut bytes, name);
            pack_str(&mut bytes, value);
        }
        bytes.push(0xc5);
        bytes.extend_from_slice(&(body.len() as u16).to_be_bytes());
        bytes.extend_from_slice(body);
        self.open.lock().unwrap().insert(number, id.clone());
        let request = Request {
            id: id.clone(),
            sent_ms: self.world.note(format!("client: sends {id} {class} {key} timeout={timeout_ms}")),
            ..Request::default()
        };
        self.world.requests.lock().unwrap().insert(id.clone(), request);
        let _ = self.stream.write_all(&bytes);
        id
    }

    /// Closes the connection: its client has gone.
    pub fn close(self) {
        let ms = self.world.ms();
        for id in self.open.lock().unwrap().values() {
            if let Some(request) = self.world.requests.lock().unwrap().get_mut(id) {
                request.left_ms = Some(ms);
                self.world.note(format!("client: closes the connection of {id}"));
            }
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether the router is ready.
    pub fn check(&mut self) -> bool {
        let number = self.next_number;
        self.next_number += 1;
        let mut bytes = vec![0x94, 0x00];
        pack_number(&mut bytes, number);
        pack_str(&mut bytes, "check");
        bytes.extend([0x91, 0x80]);
        let before = self.checks.lock().unwrap().len();
        if self.stream.write_all(&bytes).is_err() {
            return false;
        }
        for _ in 0..200 {
            if let Some(ready) = self.checks.lock().unwrap().get(before) {
                return *ready;
            }
            sleep_ms(5);
        }
        false
    }

    pub fn open_requests(&self) -> usize {
        self.open.lock().unwrap().len()
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

fn read_answer(world: &World, open: &Mutex<HashMap<u32, String>>, checks: &Mutex<Vec<bool>>, value: Value) {
    let Value::Array(parts) = value else { return };
    let [Value::Int(1), Value::Int(number), error, result] = &parts[..] else { return };
    let Some(id) = open.lock().unwrap().remove(&(*number as u32)) else {
        if let Value::Array(result) = result {
            if let Some(Value::Bool(ready)) = result.first() {
                checks.lock().unwrap().push(*ready);
            }
        }
        return;
    };
    let (outcome, body) = match (error, result) {
        (Value::Nil, Value::Array(result)) => match result.first() {
            Some(Value::Bin(body)) => ("served".to_string(), Some(body.clone())),
            _ => ("unreadable".to_string(), None),
        },
        (Value::Array(error), _) => match error.first() {
            Some(Value::Text(word)) => (word.clone(), None),
            _ => ("unreadable".to_string(), None),
        },
        _ => ("unreadable".to_string(), None),
    };
    let is_right = body
        .is_none_or(|body| world.bodies.lock().unwrap().get(&id).is_some_and(|given| given.contains(&body)));
    let ms = world.note(format!(
        "client: {id} is answered: {outcome}{}",
        if is_right { "" } else { " (foreign body)" }
    ));
    if let Some(request) = world.requests.lock().unwrap().get_mut(&id) {
        request.answers.push((ms, outcome, is_right));
    }
}

// ---- the router ----

/// The router under test, started by the `run` line of the deploy file.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    config: String,
}

/// The deployment that a router is told of.
pub struct Site {
    /// The `settings` object, as JSON.
    pub settings: String,
    pub sockets: u32,
}

impl Router {
    pub fn start(world: &World, site: &Site, log: SocketAddr, events: &Events) -> Router {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).unwrap();
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"changelog":"LOG","known":KNOWN,"settings":{}}}"#,
            site.sockets, site.settings
        );
        let config = config.replace("KNOWN", &events.since(0).1);
        let path = folder.join("config.json");
        std::fs::write(&path, config.replace("LOG", &log.to_string())).unwrap();
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
        let run = run.split('"').next().unwrap();
        let output = std::fs::File::create(folder.join("output")).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", run]).stdin(Stdio::null());
        command.stdout(output.try_clone().unwrap()).stderr(output);
        command.env("EDGE_NAME", "n1").env("EDGE_LISTEN", address.to_string()).env("EDGE_CONFIG", &path);
        command.env("TMPDIR", &folder);
        end_with_parent(&mut command);
        let child = command.spawn().expect("the router starts");
        world.note(format!("router: started by `{run}` at {address}"));
        Router { child, address, folder, config }
    }

    /// Waits until `check` is true; false if the router does not get ready.
    pub fn wait_until_ready(&self, world: &Arc<World>) -> bool {
        for _ in 0..200 {
            if Client::connect(world, self.address).is_some_and(|mut client| client.check()) {
                world.note("router: ready");
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    pub fn signal(&self, world: &World, signal: i32, name: &str) -> f64 {
        let ms = world.note(format!("router: {name}"));
        unsafe { kill(self.child.id() as i32, signal) };
        ms
    }

    /// Replaces the configuration by one that names another change log, and sends SIGHUP.
    pub fn move_log(&self, world: &World, log: SocketAddr) -> f64 {
        let path = self.folder.join("config.json");
        let new = self.folder.join("config.new");
        std::fs::write(&new, self.config.replace("LOG", &log.to_string())).unwrap();
        std::fs::rename(&new, &path).unwrap();
        self.signal(world, SIGHUP, &format!("new configuration (changelog {log}) and SIGHUP"))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn output(&self) -> String {
        std::fs::read_to_string(self.folder.join("output")).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
