//! Small scripted stand-ins of the platform: workers that speak lines, a change log, a client of MessagePack-RPC.

use crate::support::{until, Process, PATIENCE};
use rmp::encode;
use serde_json::{json, Value};
use slatevalve_platform::frame::Scanner;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// What a worker does about a call.
#[derive(Clone, Debug)]
pub enum Act {
    /// A word and a body.
    Say(&'static str, Vec<u8>),
    /// The same after so many milliseconds.
    Later(u64, &'static str, Vec<u8>),
    /// These bytes behind the call's id.
    Raw(Vec<u8>),
    /// Part of an answer, and the connection ends.
    Cut,
    /// The connection ends without a byte.
    Close,
    /// Nothing.
    Silence,
}

/// A call as a worker read it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
    /// Whether its function had been ordered here since all copies went.
    pub loaded: bool,
}

type Script = Arc<dyn Fn(&Seen, usize) -> Act + Send + Sync>;

/// A worker that answers probes and orders well and calls as a test says.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    orders: Arc<Mutex<usize>>,
    loaded: Arc<Mutex<HashSet<String>>>,
}

impl Worker {
    pub fn start(script: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            orders: Arc::default(),
            loaded: Arc::default(),
        };
        let (this, script): (Worker, Script) = (worker.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, script) = (this.clone(), script.clone());
                thread::spawn(move || this.serve(stream, script));
            }
        });
        worker
    }

    pub fn calls(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// All its copies go.
    pub fn forget(&self) {
        self.loaded.lock().unwrap().clear();
    }

    pub fn orders(&self) -> usize {
        *self.orders.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream, script: Script) -> Option<()> {
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).ok()? > 0 {
            let words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
            line.clear();
            match words[0].as_str() {
                "exec" => {
                    let mut body = vec![0; words[3].parse::<usize>().ok()? + 2];
                    reader.read_exact(&mut body).ok()?;
                    assert_eq!(body.split_off(body.len() - 2), b"\r\n");
                    let loaded = self.loaded.lock().unwrap().contains(&thing(&words[2]));
                    let seen = Seen { id: words[1].clone(), fields: words[2].clone(), body, loaded };
                    let number = {
                        let mut all = self.seen.lock().unwrap();
                        all.push(seen.clone());
                        all.len() - 1
                    };
                    let writer = writer.clone();
                    let say = move |id: &str, word: &str, body: &[u8]| {
                        let mut bytes = format!("{id} {word} - {}\r\n", body.len()).into_bytes();
                        bytes.extend_from_slice(body);
                        bytes.extend_from_slice(b"\r\n");
                        let _ = writer.lock().unwrap().write_all(&bytes);
                    };
                    match script(&seen, number) {
                        Act::Say(word, body) => say(&seen.id, word, &body),
                        Act::Later(ms, word, body) => drop(thread::spawn(move || {
                            thread::sleep(Duration::from_millis(ms));
                            say(&seen.id, word, &body);
                        })),
                        Act::Raw(bytes) => {
                            let all = [seen.id.as_bytes(), &bytes].concat();
                            reader.get_mut().write_all(&all).ok()?;
                        }
                        Act::Cut => {
                            reader
                                .get_mut()
                                .write_all(format!("{} ACK - 9\r\nhal", seen.id).as_bytes())
                                .ok()?;
                            return None;
                        }
                        Act::Close => return None,
                        Act::Silence => {}
                    }
                }
                "load" | "health" => {
                    let ready = format!("{} READY report=queue:0 0\r\n\r\n", words[1]);
                    writer.lock().unwrap().write_all(ready.as_bytes()).ok()?;
                }
                "ensure" => {
                    *self.orders.lock().unwrap() += 1;
                    self.loaded.lock().unwrap().insert(thing(&words[2]));
                    let stands = format!("{} ACK copies=1 0\r\n\r\n", words[1]);
                    writer.lock().unwrap().write_all(stands.as_bytes()).ok()?;
                }
                "drop" | "release" => {}
                other => panic!("a worker was sent {other}"),
            }
        }
        Some(())
    }
}

fn thing(fields: &str) -> String {
    fields.split(',').find_map(|f| f.strip_prefix("thing=")).expect("a function").into()
}

/// A worker that serves every call at once.
pub fn good() -> Worker {
    Worker::start(|_, _| Act::Say("ACK", b"done".to_vec()))
}

/// A change log.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
    /// Answers that break off in the middle before one is whole.
    breaks: Arc<Mutex<usize>>,
    /// Questions read, and answers written whole.
    asked: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "duo", "cell": 0,
        "phase": phase, "size": 4, "up_since_ms": 0})
}

impl ChangeLog {
    /// One whose first event is the whole list of these workers.
    pub fn start(workers: &[(&str, SocketAddr)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let members: Vec<Value> = workers.iter().map(|(id, a)| member(id, *a, "active")).collect();
        let first = json!({"seq": 1, "fleet": {"revision": 1, "complete": true, "members": members}});
        let log = ChangeLog {
            address: listener.local_addr().unwrap(),
            events: Arc::new((Mutex::new(vec![first]), Condvar::new())),
            breaks: Arc::default(),
            asked: Arc::default(),
            answered: Arc::default(),
        };
        log.listen(listener);
        log
    }

    /// The same log at another address.
    pub fn elsewhere(&self) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let log = ChangeLog { address: listener.local_addr().unwrap(), ..self.clone() };
        log.listen(listener);
        log
    }

    fn listen(&self, listener: TcpListener) {
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let (mut line, mut target) = (String::new(), String::new());
            while line != "\r\n" {
                line.clear();
                if reader.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                if let Some(rest) = line.strip_prefix("GET ") {
                    target = rest.to_string();
                }
            }
            let figure = |name: &str| -> usize {
                let rest = target.split(name).nth(1).expect("the question has both");
                rest.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse().unwrap()
            };
            self.asked.fetch_add(1, Ordering::SeqCst);
            let (since, wait) = (figure("since="), Duration::from_millis(figure("timeout=") as u64));
            let (events, told) = &*self.events;
            let all = told.wait_timeout_while(events.lock().unwrap(), wait, |e| e.len() <= since).unwrap().0;
            let body = json!({"seq": all.len(), "results": all.get(since..).unwrap_or_default()}).to_string();
            drop(all);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let mut breaks = self.breaks.lock().unwrap();
            if *breaks > 0 {
                *breaks -= 1;
                stream.write_all(&answer.as_bytes()[..answer.len() - 20]).ok()?;
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
            stream.write_all(answer.as_bytes()).ok()?;
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Answers that were written whole.
    pub fn answers(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Questions that wait for news.
    pub fn waiting(&self) -> usize {
        self.asked.load(Ordering::SeqCst).saturating_sub(self.answers())
    }

    /// Tells of workers' new states.
    pub fn tell(&self, changes: &[(&str, SocketAddr, &str)]) {
        let (events, told) = &*self.events;
        let mut all = events.lock().unwrap();
        let seq = all.len() + 1;
        let members: Vec<Value> = changes.iter().map(|(id, a, phase)| member(id, *a, phase)).collect();
        all.push(json!({"seq": seq, "fleet": {"revision": seq, "complete": false, "members": members}}));
        told.notify_all();
    }

    /// The same to a follower whose question waits, until the answer has been written to it whole.
    pub fn tell_whole(&self, changes: &[(&str, SocketAddr, &str)]) {
        let told = self.answers();
        self.tell(changes);
        until("the news to be in the router's socket", || self.answers() > told);
    }

    /// The next answers break off in the middle.
    pub fn break_off(&self, times: usize) {
        *self.breaks.lock().unwrap() = times;
    }

    fn known(&self) -> Value {
        let all = self.events.0.lock().unwrap();
        json!({"seq": all.len(), "results": *all})
    }
}

/// A running router.
pub struct Router {
    pub process: Process,
    directory: tempfile::TempDir,
}

/// The configuration's text.
pub fn config(log: &ChangeLog) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 1000.0, "deadline": 3000.0, "effect": effect, "group": "cell",
            "key_ttl": 6000.0, "points": 1.0, "late_value": 0.1})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "changelog": log.address.to_string(), "known": log.known(),
        "settings": {
            "categories": [class("quote", "pure"), class("booking", "token"), class("charge", "side_effect")],
            "zones": ["a"], "my_zone": "a", "machine_types": ["duo"], "instances": 1, "step": 2.0,
            "family_info": {"if_cold": "miss", "may_order": true, "linger_idle": 8000.0, "load_wait": 10000.0},
            "limits": {"cancel": true, "probes": true, "max_attempts": 3, "second_copies": true,
                "connect_timeout": 250.0, "conn_idle": 15000.0, "streams_per_conn": 32},
            "rules": {"answer_slack": 8.0, "drain_grace": 250.0}, "telemetry": {"via": "probe"}}})
}

impl Router {
    pub fn start(log: &ChangeLog) -> Self {
        Router::start_with(&config(log))
    }

    pub fn start_with(config: &Value) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let path = directory.path().join("log");
        let process = Process::start_in(&["platform"], &[("EDGE_CONFIG", &file)], Some(&path));
        Router { process, directory }
    }

    pub fn file(&self) -> PathBuf {
        self.directory.path().join("config.json")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("log")).unwrap_or_default()
    }

    /// Ends it in order and gives the sizes of its tables at the end.
    pub fn stop(mut self) -> Vec<usize> {
        self.process.signal("TERM");
        assert_eq!(self.process.wait(), Some(0));
        let log = self.log();
        let sizes = log.split("sizes=[").nth(1).expect("the sizes are logged").split(']').next().unwrap();
        sizes.split(", ").map(|n| n.parse().unwrap()).collect()
    }
}

/// How a call ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Served(Vec<u8>),
    Error(String),
    /// The connection ended.
    Closed,
}

/// A client on one connection.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    number: u32,
}

/// The bytes of one request.
pub fn request(number: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 4).unwrap();
    encode::write_uint(&mut out, 0).unwrap();
    encode::write_uint(&mut out, u64::from(number)).unwrap();
    encode::write_str(&mut out, class).unwrap();
    encode::write_array_len(&mut out, if class == "check" { 1 } else { 2 }).unwrap();
    encode::write_map_len(&mut out, fields.len() as u32).unwrap();
    for (name, value) in fields {
        encode::write_str(&mut out, name).unwrap();
        encode::write_str(&mut out, value).unwrap();
    }
    if class != "check" {
        encode::write_bin(&mut out, body).unwrap();
    }
    out
}

fn interrupt(number: u32) -> Vec<u8> {
    let mut out = Vec::new();
    encode::write_array_len(&mut out, 3).unwrap();
    encode::write_uint(&mut out, 2).unwrap();
    encode::write_str(&mut out, "interrupt").unwrap();
    encode::write_array_len(&mut out, 1).unwrap();
    encode::write_uint(&mut out, u64::from(number)).unwrap();
    out
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { stream, buffer: Vec::new(), number: 0 }
    }

    /// The bytes of the next call; its id is made of `tag`.
    pub fn bytes(&mut self, class: &str, function: u64, tag: u64) -> Vec<u8> {
        self.bytes_for(class, function, tag, 2500)
    }

    fn bytes_for(&mut self, class: &str, function: u64, tag: u64, ms: u64) -> Vec<u8> {
        self.number += 1;
        let (id, function, ms) = (format!("{tag:016x}"), format!("{function:016x}"), ms.to_string());
        let mut fields = vec![("req", &*id), ("timeout", &*ms), ("subject", &*function)];
        if class == "booking" {
            fields.push(("opkey", &*id));
        }
        request(self.number, class, &fields, format!("body-{tag}").as_bytes())
    }

    /// Sends a call and gives its number.
    pub fn send(&mut self, class: &str, function: u64, tag: u64) -> u32 {
        self.send_for(class, function, tag, 2500)
    }

    /// The same; the client waits for so many milliseconds.
    pub fn send_for(&mut self, class: &str, function: u64, tag: u64, ms: u64) -> u32 {
        let bytes = self.bytes_for(class, function, tag, ms);
        // A router that closes may do so at any time.
        let _ = self.stream.write_all(&bytes);
        self.number
    }

    /// Says that it no longer waits for a call.
    pub fn interrupt(&mut self, number: u32) {
        self.stream.write_all(&interrupt(number)).unwrap();
    }

    /// A call and its taking back in one write.
    pub fn send_and_interrupt(&mut self, class: &str, function: u64, tag: u64) {
        let mut bytes = self.bytes(class, function, tag);
        bytes.extend(interrupt(self.number));
        self.stream.write_all(&bytes).unwrap();
    }

    /// Ends the connection with a reset.
    pub fn reset(&mut self) {
        let ended = TcpStream::connect(self.stream.peer_addr().unwrap()).unwrap();
        let stream = std::mem::replace(&mut self.stream, ended);
        let socket = socket2::Socket::from(stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// The next answer if it is there; the socket does not block.
    pub fn answer_now(&mut self) -> Option<End> {
        let mut bytes = [0; 4096];
        while let Ok(n) = self.stream.read(&mut bytes) {
            if n == 0 {
                return Some(End::Closed);
            }
            self.buffer.extend_from_slice(&bytes[..n]);
        }
        let whole = Scanner::default().scan(&self.buffer).expect("a message").is_some();
        whole.then(|| self.answer().1)
    }

    pub fn call(&mut self, class: &str, function: u64, tag: u64) -> End {
        let number = self.send(class, function, tag);
        let (answered, end) = self.answer();
        assert!(end == End::Closed || answered == number);
        end
    }

    pub fn is_ready(&mut self) -> bool {
        self.number += 1;
        self.stream.write_all(&request(self.number, "check", &[], b"")).unwrap();
        matches!(self.frame().as_deref(), Some([.., 0xc3, 0x80]))
    }

    fn frame(&mut self) -> Option<Vec<u8>> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(length) = Scanner::default().scan(&self.buffer).expect("a message") {
                return Some(self.buffer.drain(..length).collect());
            }
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buffer.extend_from_slice(&bytes[..n]),
                _ => return None,
            }
        }
    }

    /// The next answer.
    pub fn answer(&mut self) -> (u32, End) {
        let Some(frame) = self.frame() else { return (0, End::Closed) };
        let mut rest = frame.as_slice();
        rmp::decode::read_array_len(&mut rest).unwrap();
        assert_eq!(rmp::decode::read_int::<u8, _>(&mut rest).unwrap(), 1);
        let number = rmp::decode::read_int(&mut rest).unwrap();
        if rest[0] == 0xc0 {
            rest = &rest[1..];
            rmp::decode::read_array_len(&mut rest).unwrap();
            let length = rmp::decode::read_bin_len(&mut rest).unwrap() as usize;
            return (number, End::Served(rest[..length].to_vec()));
        }
        rmp::decode::read_array_len(&mut rest).unwrap();
        let (word, _) = rmp::decode::read_str_from_slice(rest).unwrap();
        (number, End::Error(word.to_string()))
    }
}

/// Waits until the router knows enough to serve.
pub fn ready(router: &Router) {
    until("the router to be ready", || Client::connect(router.process.address).is_ready());
}
