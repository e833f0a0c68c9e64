//! Common parts of the stand-ins: the record, processes, an MQTT codec, and a worker that speaks the workers' protocol.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// Numbers of SIGCONT and SIGSTOP on Linux, for x86-64 and arm64 alike.
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Why a case could not run: exit code 2.
pub type Fallible<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The setting of a case.
pub struct Case {
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
    pub temp: PathBuf,
    pub program: PathBuf,
}

impl Case {
    pub fn write(&self, name: &str, text: &str) -> Fallible<PathBuf> {
        let path = self.temp.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// A process that the case started; it is killed when the case ends.
pub struct Process {
    child: Child,
    name: String,
    record: Record,
}

impl Process {
    /// Starts the program and waits for its line `ready ADDRESS`.
    pub fn start(case: &Case, name: &str, arguments: &[&str]) -> Fallible<(Self, SocketAddr)> {
        let mut process = Process::spawn(case, name, arguments, &[])?;
        let output = process.child.stdout.take().ok_or("no output")?;
        let (sender, lines) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    // The rest of the output is read and dropped.
                    continue;
                }
            }
        });
        let until = Instant::now() + Duration::from_secs(15);
        while let Ok(line) = lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if let Some(address) = line.strip_prefix("ready ") {
                let address: SocketAddr = address.trim().parse()?;
                process.record.line(format!("{name} is ready at {address}"));
                return Ok((process, address));
            }
        }
        Err(format!("{name} did not become ready").into())
    }

    pub fn spawn(case: &Case, name: &str, arguments: &[&str], variables: &[(&str, &str)]) -> Fallible<Self> {
        let log = File::create(case.temp.join(format!("{name}.log")))?;
        let mut command = Command::new(&case.program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        command.envs(variables.iter().copied());
        let child = command.spawn()?;
        case.record.line(format!("started {name}: slatevalve {}", arguments.first().unwrap_or(&"")));
        Ok(Process { child, name: name.into(), record: case.record.clone() })
    }

    pub fn signal(&self, signal: i32) {
        let text = match signal {
            SIGHUP => "SIGHUP",
            SIGKILL => "SIGKILL",
            SIGTERM => "SIGTERM",
            SIGCONT => "SIGCONT",
            SIGSTOP => "SIGSTOP",
            _ => "signal",
        };
        self.record.line(format!("{text} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process ends; its exit code, if it did.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("{} ended: {status}", self.name));
                return Some(status.code().unwrap_or(-1));
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        unsafe { kill(self.child.id() as i32, SIGCONT) };
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a command of the program to its end: its exit code, output and error output.
pub fn run_command(case: &Case, arguments: &[&str]) -> Fallible<(i32, String, String)> {
    let output = Command::new(&case.program).args(arguments).stdin(Stdio::null()).output()?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    Ok((output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr)))
}

/// Binds a free port of the loopback interface.
pub fn listen() -> Fallible<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

// ---- MQTT ----

/// The protocol versions that are spoken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Version {
    V3,
    V5,
}

pub fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(&(text.len() as u16).to_be_bytes());
    out.extend_from_slice(text);
}

fn variable(out: &mut Vec<u8>, mut value: usize) {
    loop {
        let byte = (value % 128) as u8;
        value /= 128;
        out.push(if value > 0 { byte | 0x80 } else { byte });
        if value == 0 {
            return;
        }
    }
}

pub fn packet(first: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![first];
    variable(&mut out, body.len());
    out.extend_from_slice(body);
    out
}

/// Puts a list of encoded properties behind its length.
pub fn properties(out: &mut Vec<u8>, encoded: &[u8]) {
    variable(out, encoded.len());
    out.extend_from_slice(encoded);
}

/// A CONNECT.
pub fn connect(version: Version, id: &str, clean: bool, receive_maximum: u16, expiry_s: u32) -> Vec<u8> {
    let mut body = Vec::new();
    string(&mut body, b"MQTT");
    body.push(if version == Version::V5 { 5 } else { 4 });
    body.push(if clean { 2 } else { 0 });
    body.extend_from_slice(&60u16.to_be_bytes());
    if version == Version::V5 {
        let mut encoded = vec![0x11];
        encoded.extend_from_slice(&expiry_s.to_be_bytes());
        encoded.push(0x21);
        encoded.extend_from_slice(&receive_maximum.to_be_bytes());
        properties(&mut body, &encoded);
    }
    string(&mut body, id.as_bytes());
    packet(0x10, &body)
}

/// A PUBLISH with QoS 1, or 2.
#[derive(Clone, Debug, Default)]
pub struct Publish {
    pub qos2: bool,
    pub topic: String,
    pub payload: Vec<u8>,
    pub id: u16,
    pub dup: bool,
    pub response_topic: Option<String>,
    pub correlation: Option<Vec<u8>>,
    pub expiry_s: Option<u32>,
    pub user: Vec<(String, String)>,
}

impl Publish {
    pub fn encode(&self, version: Version) -> Vec<u8> {
        let mut body = Vec::new();
        string(&mut body, self.topic.as_bytes());
        body.extend_from_slice(&self.id.to_be_bytes());
        if version == Version::V5 {
            let mut encoded = Vec::new();
            if let Some(seconds) = self.expiry_s {
                encoded.push(0x02);
                encoded.extend_from_slice(&seconds.to_be_bytes());
            }
            if let Some(topic) = &self.response_topic {
                encoded.push(0x08);
                string(&mut encoded, topic.as_bytes());
            }
            if let Some(data) = &self.correlation {
                encoded.push(0x09);
                string(&mut encoded, data);
            }
            for (name, value) in &self.user {
                encoded.push(0x26);
                string(&mut encoded, name.as_bytes());
                string(&mut encoded, value.as_bytes());
            }
            properties(&mut body, &encoded);
        }
        body.extend_from_slice(&self.payload);
        packet(0x30 | if self.qos2 { 4 } else { 2 } | if self.dup { 8 } else { 0 }, &body)
    }

    /// Reads a PUBLISH; `first` is its first byte.
    pub fn decode(version: Version, first: u8, body: &[u8]) -> Option<Publish> {
        let mut reader = Reader(body);
        let topic = String::from_utf8_lossy(reader.string()?).into_owned();
        let id = if first & 0x06 != 0 { reader.u16()? } else { 0 };
        let mut publish =
            Publish { topic, id, dup: first & 0x08 != 0, qos2: first & 0x04 != 0, ..Publish::default() };
        if version == Version::V5 {
            let length = reader.variable()?;
            let mut list = Reader(reader.take(length)?);
            while let Some(kind) = list.u8() {
                match kind {
                    0x01 => drop(list.u8()?),
                    0x02 => publish.expiry_s = Some(list.u32()?),
                    0x03 => drop(list.string()?),
                    0x08 => publish.response_topic = Some(String::from_utf8_lossy(list.string()?).into_owned()),
                    0x09 => publish.correlation = Some(list.string()?.to_vec()),
                    0x0B => drop(list.variable()?),
                    0x23 => drop(list.u16()?),
                    0x26 => {
                        let name = String::from_utf8_lossy(list.string()?).into_owned();
                        publish.user.push((name, String::from_utf8_lossy(list.string()?).into_owned()));
                    }
                    _ => return None,
                }
            }
        }
        publish.payload = reader.0.to_vec();
        Some(publish)
    }

    pub fn user(&self, name: &str) -> Option<&str> {
        self.user.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.payload).into_owned()
    }
}

/// Reads from the front of a slice.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    pub fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        if self.0.len() < count {
            return None;
        }
        let (taken, rest) = self.0.split_at(count);
        self.0 = rest;
        Some(taken)
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.take(2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    pub fn u32(&mut self) -> Option<u32> {
        self.take(4).map(|bytes| u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    pub fn string(&mut self) -> Option<&'a [u8]> {
        let length = self.u16()? as usize;
        self.take(length)
    }

    pub fn variable(&mut self) -> Option<usize> {
        let (mut value, mut shift) = (0, 0);
        loop {
            let byte = self.u8()? as usize;
            value |= (byte & 0x7F) << shift;
            shift += 7;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
    }
}

/// A connection that carries MQTT packets.
pub struct Packets {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    pub closed: bool,
}

impl Packets {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(5)))?;
        Ok(Packets { stream, buffer: Vec::new(), closed: false })
    }

    pub fn send(&mut self, bytes: &[u8]) {
        if self.stream.write_all(bytes).is_err() {
            self.closed = true;
        }
    }

    /// The next packet: its first byte and body; `None` if none comes in time or the connection ends.
    pub fn next(&mut self, limit: Duration) -> Option<(u8, Vec<u8>)> {
        let until = Instant::now() + limit;
        loop {
            if let Some(found) = self.parse() {
                return Some(found);
            }
            if self.closed || Instant::now() >= until {
                return None;
            }
            let mut chunk = [0; 65536];
            match self.stream.read(&mut chunk) {
                Ok(0) => self.closed = true,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => self.closed = true,
            }
        }
    }

    fn parse(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut reader = Reader(self.buffer.get(1..)?);
        let length = reader.variable()?;
        let body = reader.take(length)?.to_vec();
        let rest = reader.0.to_vec();
        let first = self.buffer[0];
        self.buffer = rest;
        Some((first, body))
    }
}

pub fn puback(id: u16) -> Vec<u8> {
    packet(0x40, &id.to_be_bytes())
}

/// A packet of a given type that consists of a packet id.
pub fn with_id(first: u8, id: u16) -> Vec<u8> {
    packet(first, &id.to_be_bytes())
}

/// An MQTT client.
pub struct Client {
    pub packets: Packets,
    pub version: Version,
    pub session_present: bool,
}

impl Client {
    pub fn connect(
        address: SocketAddr,
        version: Version,
        id: &str,
        clean: bool,
        receive_maximum: u16,
    ) -> Fallible<Self> {
        let mut packets = Packets::new(TcpStream::connect(address)?)?;
        packets.send(&connect(version, id, clean, receive_maximum, 300));
        let (first, body) = packets.next(Duration::from_secs(5)).ok_or("no CONNACK")?;
        if first != 0x20 || body.get(1) != Some(&0) {
            return Err("the connection was refused".into());
        }
        Ok(Client { packets, version, session_present: body[0] & 1 == 1 })
    }

    pub fn publish(&mut self, publish: &Publish) {
        let bytes = publish.encode(self.version);
        self.packets.send(&bytes);
    }
}

// ---- workers ----

/// A call that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u128,
    pub function: String,
    pub payload: String,
    pub request_id: String,
    pub key: String,
    /// The gateway that sent the call, its class, and the settings documents it was sent by.
    pub gateway: String,
    pub class: String,
    pub settings: Vec<u64>,
    pub body: String,
}

/// A worker of the gateway's protocol (Open Inference Protocol v2): every function is loaded, a call takes `work`.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    pub fn start(name: &str, record: &Record, work: Duration) -> Fallible<Self> {
        Worker::start_with(name, record, work, true)
    }

    /// A worker whose runs are not recorded line by line.
    pub fn quiet(name: &str, record: &Record, work: Duration) -> Fallible<Self> {
        Worker::start_with(name, record, work, false)
    }

    fn start_with(name: &str, record: &Record, work: Duration, records: bool) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let worker = Worker { address, runs: Arc::default() };
        let (runs, record, name) = (worker.runs.clone(), record.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, record, name) = (runs.clone(), record.clone(), name.clone());
                thread::spawn(move || serve(stream, &name, &record, &runs, work, records));
            }
        });
        Ok(worker)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn serve(
    stream: TcpStream,
    name: &str,
    record: &Record,
    runs: &Mutex<Vec<Run>>,
    work: Duration,
    records: bool,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let path = line.split(' ').nth(1)?.to_string();
        let mut headers: Vec<(String, String)> = Vec::new();
        loop {
            let mut header = String::new();
            input.read_line(&mut header).ok()?;
            let header = header.trim_end();
            if header.is_empty() {
                break;
            }
            let (key, value) = header.split_once(':')?;
            headers.push((key.to_ascii_lowercase(), value.trim().to_string()));
        }
        let header = |key: &str| headers.iter().find(|(name, _)| name == key).map_or("", |(_, value)| value);
        let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
        input.read_exact(&mut body).ok()?;
        let (extra, answer) = if path.ends_with("/infer") {
            let json: usize = header("inference-header-content-length").parse().unwrap_or(0);
            let payload = String::from_utf8_lossy(body.get(json + 4..).unwrap_or_default()).into_owned();
            let function = path.trim_start_matches("/v2/models/").trim_end_matches("/infer").to_string();
            let text = {
                let mut all = runs.lock().unwrap();
                let run = Run {
                    at_ms: record.ms(),
                    function,
                    payload,
                    request_id: header("x-request-id").into(),
                    key: header("idempotency-key").into(),
                    gateway: header("x-gateway").into(),
                    class: header("x-class").into(),
                    settings: header("x-settings").split(',').filter_map(|number| number.trim().parse().ok()).collect(),
                    body: format!("run {} at {name}", all.len() + 1),
                };
                if records {
                    record.line(format!("{name}: {} of '{}' (function {})", run.body, run.payload, run.function));
                }
                all.push(run.clone());
                run.body
            };
            thread::sleep(work);
            let head = format!(
                "{{\"model_name\":\"\",\"outputs\":[{{\"name\":\"payload\",\"shape\":[1],\"datatype\":\"BYTES\",\
                 \"parameters\":{{\"binary_data_size\":{}}}}}]}}",
                text.len() + 4
            );
            let mut bytes = head.clone().into_bytes();
            bytes.extend_from_slice(&(text.len() as u32).to_le_bytes());
            bytes.extend_from_slice(text.as_bytes());
            let decoded = path.replace("%40", "@").replace("%3A", ":");
            let ran = decoded.split_once('@').map(|(_, digest)| digest.trim_end_matches("/infer").to_string());
            let ran = ran.map(|digest| format!("X-Ran: {digest}\r\n")).unwrap_or_default();
            (format!("Inference-Header-Content-Length: {}\r\nX-Crowd: 0\r\n{ran}", head.len()), bytes)
        } else if path.ends_with("/load") {
            ("X-Copies: 1\r\n".to_string(), b"[]".to_vec())
        } else if path.ends_with("/index") {
            ("X-Copies: 1\r\n".to_string(), b"[]".to_vec())
        } else {
            (String::new(), b"{}".to_vec())
        };
        let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{extra}\r\n", answer.len()).into_bytes();
        bytes.extend_from_slice(&answer);
        output.write_all(&bytes).ok()?;
    }
}
