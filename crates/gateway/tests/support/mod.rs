//! Runs a gateway as a child process, with scripted workers and a minimal MQTT client.
#![allow(dead_code)] // each test file uses a part of this module

pub(crate) mod documents;
pub(crate) mod link;

use mqtt_protocol_core::mqtt::common::Cursor;
use mqtt_protocol_core::mqtt::connection::{Connection, Event};
use mqtt_protocol_core::mqtt::packet::*;
use mqtt_protocol_core::mqtt::{role, Version};
use slatevalve_worker_protocol::{Limits, MessageReader, ParsedRequest, Reply, Side, WorkerRequest};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of every wait; a test that waits longer fails.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// Classes and routes of a small site, one class for each effect and one with a short deadline.
pub(crate) const SITE: &str = r#"
(class "quote" (effect safe) (aim-ms 1000) (deadline-ms 5000))
(class "booking" (effect keyed (group cell) (window-ms 20000)) (aim-ms 1000) (deadline-ms 5000))
(class "charge" (effect unsafe) (aim-ms 1000) (deadline-ms 5000))
(class "brief" (effect unsafe) (aim-ms 300) (deadline-ms 600) (remember-ms 700))
(route "quote/+" (class "quote") (function "{2}"))
(route "booking/+" (class "booking") (function "{2}"))
(route "charge/+" (class "charge") (function "{2}"))
(route "brief/+" (class "brief") (function "{2}"))
"#;

/// Polls a condition until it is true; `what` names it in the failure message.
pub(crate) fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs the binary until it exits, and kills it after [`MAX_WAIT`].
pub(crate) fn command(arguments: &[&str]) -> std::process::Output {
    command_in(arguments, &[])
}

/// Like [`command`], with environment variables that name files.
pub(crate) fn command_in(arguments: &[&str], environment: &[(&str, &Path)]) -> std::process::Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
    command
        .envs(environment.iter().copied())
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let child = command.spawn().unwrap();
    let pid = child.id().to_string();
    let (sender, output) = std::sync::mpsc::channel();
    thread::spawn(move || sender.send(child.wait_with_output()));
    match output.recv_timeout(MAX_WAIT) {
        Ok(output) => output.unwrap(),
        Err(_) => {
            let _ = Command::new("kill").args(["-s", "KILL", &pid]).status();
            // The thread reaps the killed process and then sends its output.
            let _ = output.recv_timeout(MAX_WAIT);
            panic!("the command did not exit within {MAX_WAIT:?}: {arguments:?}");
        }
    }
}

/// A key or value as encoded in the registry's JSON mapping.
pub(crate) fn registry_bytes(text: &str) -> serde_json::Value {
    serde_json::to_value(slatevalve_registry::wire::Bytes::of(text)).unwrap()
}

/// Sends a request in the registry's JSON mapping and returns the body of the answer, whose status must be
/// 200.
pub(crate) fn post_to_registry(address: &str, path: &str, body: &impl serde::Serialize) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let body = serde_json::to_string(body).unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = BufReader::new(stream);
    let (mut length, mut line) = (0, String::new());
    answer.read_line(&mut line).unwrap();
    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
    while line != "\r\n" {
        line.clear();
        assert!(answer.read_line(&mut line).unwrap() > 0, "the connection closed within the answer's head");
        if let Some((name, value)) =
            line.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case("content-length"))
        {
            length = value.trim().parse().unwrap_or_else(|_| panic!("{name}: {value}"));
        }
    }
    let mut bytes = vec![0; length];
    answer.read_exact(&mut bytes).unwrap();
    bytes
}

/// A child process that has printed `ready ADDRESS`.
pub(crate) struct Process {
    pub child: Child,
    pub address: SocketAddr,
}

impl Process {
    pub(crate) fn start(arguments: &[&str], log: Option<&Path>) -> Self {
        Process::start_in(arguments, &[], log)
    }

    /// Like [`Process::start`], with environment variables that name files.
    pub(crate) fn start_in(arguments: &[&str], environment: &[(&str, &Path)], log: Option<&Path>) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_slatevalve"));
        command.envs(environment.iter().copied()).args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
        if let Some(log) = log {
            command.stderr(std::fs::File::create(log).unwrap());
        }
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("ready ").and_then(|a| a.parse().ok());
        let Some(address) = address else {
            let _ = child.kill();
            let _ = child.wait();
            panic!("expected a line `ready ADDRESS`, got {line:?}");
        };
        Process { child, address }
    }

    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Sets the limit of open file descriptors and returns the previous one. Descriptors that are open stay
    /// open.
    pub(crate) fn set_descriptor_limit(&self, limit: u64) -> u64 {
        use rustix::process::{prlimit, Pid, Resource, Rlimit};
        let process = Pid::from_child(&self.child);
        let current = rustix::process::getrlimit(Resource::Nofile);
        let before =
            prlimit(Some(process), Resource::Nofile, Rlimit { current: Some(limit), ..current }).unwrap();
        before.current.expect("the descriptor limit is unlimited")
    }

    /// Peak resident memory; `None` once the process has ended.
    pub(crate) fn peak_memory_mb(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() / 1_024.0)
    }

    /// Restricts the process to one processor core.
    pub(crate) fn pin_to_core(&self, core: usize) {
        let process = rustix::process::Pid::from_child(&self.child);
        let mut cores = rustix::thread::CpuSet::new();
        cores.set(core);
        rustix::thread::sched_setaffinity(Some(process), &cores).unwrap();
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(
                start.elapsed() < MAX_WAIT,
                "process {} did not exit within {MAX_WAIT:?}",
                self.child.id()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running gateway with its settings file and log.
pub(crate) struct Gateway {
    pub process: Process,
    directory: tempfile::TempDir,
    site: String,
}

impl Gateway {
    /// Starts a gateway in front of workers, each given as name, address and further fields.
    pub(crate) fn start(site: &str, workers: &[(&str, SocketAddr, &str)]) -> Self {
        Gateway::start_with("", site, workers)
    }

    /// Like [`Gateway::start`], with a gateway name other than the default `g`.
    pub(crate) fn start_named(name: &str, site: &str, workers: &[(&str, SocketAddr, &str)]) -> Self {
        Gateway::start_as(name, "", site, workers)
    }

    /// Like [`Gateway::start`], with further fields in the `gateway` form.
    pub(crate) fn start_with(fields: &str, site: &str, workers: &[(&str, SocketAddr, &str)]) -> Self {
        Gateway::start_as("g", fields, site, workers)
    }

    fn start_as(name: &str, fields: &str, site: &str, workers: &[(&str, SocketAddr, &str)]) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("site.scm");
        let site = format!("(gateway (name \"{name}\") {fields})\n(mqtt (listen \"127.0.0.1:0\"))\n{site}");
        std::fs::write(&file, Self::text(&site, workers)).unwrap();
        let log = directory.path().join("log");
        let process = Process::start(&["run", file.to_str().unwrap()], Some(&log));
        Gateway { process, directory, site }
    }

    fn text(site: &str, workers: &[(&str, SocketAddr, &str)]) -> String {
        let line =
            |w: &(&str, SocketAddr, &str)| format!("(worker \"{}\" (address \"{}\") {})\n", w.0, w.1, w.2);
        workers.iter().map(line).fold(site.to_string(), |text, line| text + &line)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.process.address
    }

    pub(crate) fn file(&self) -> PathBuf {
        self.directory.path().join("site.scm")
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("log")).unwrap_or_default()
    }

    /// Writes a new worker list, sends SIGHUP and waits until the gateway has reloaded it.
    pub(crate) fn reload_workers(&self, workers: &[(&str, SocketAddr, &str)]) {
        let count = |log: &str| log.matches("worker list read again").count();
        let before = count(&self.log());
        std::fs::write(self.file(), Self::text(&self.site, workers)).unwrap();
        self.process.signal("HUP");
        until("the gateway to reload the worker list", || count(&self.log()) > before);
    }
}

/// How a scripted worker responds to a call.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Answer(Reply),
    /// Answers after a delay in milliseconds.
    Later(u64, Reply),
    /// Sends these bytes and keeps the connection open.
    Raw(Vec<u8>),
    /// Sends the first half of an answer and closes the connection.
    Half(Reply),
    /// Closes the connection without sending a byte.
    Close,
    /// Sends nothing and keeps the connection open.
    Silence,
}

pub(crate) fn served(text: &str) -> Action {
    Action::Answer(Reply::Served { payload: text.into(), ran: Some("7".into()) })
}

/// A worker that answers probes and load requests successfully, and calls as a script decides.
#[derive(Clone)]
pub(crate) struct Worker {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<(Instant, slatevalve_worker_protocol::Call)>>>,
    load_requests: Arc<Mutex<Vec<WorkerRequest>>>,
    /// Connections that have read bytes and not yet counted the requests in them.
    reading: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    /// `act` receives the call and the number of calls that this worker received before it.
    pub(crate) fn start(
        act: impl Fn(&slatevalve_worker_protocol::Call, usize) -> Action + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker {
            address: listener.local_addr().unwrap(),
            calls: Arc::default(),
            load_requests: Arc::default(),
            reading: Arc::default(),
            stop: Arc::default(),
        };
        let (shared, act) = (worker.clone(), Arc::new(act));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.stop.load(Ordering::Relaxed) {
                    return;
                }
                let (shared, act) = (shared.clone(), act.clone());
                if let Ok(stream) = stream {
                    thread::spawn(move || shared.serve(stream, &*act));
                }
            }
        });
        worker
    }

    fn serve(&self, mut stream: TcpStream, act: &dyn Fn(&slatevalve_worker_protocol::Call, usize) -> Action) {
        let mut reader = MessageReader::new(Side::Request, Limits::default());
        let mut bytes = [0; 4096];
        loop {
            // Unprocessed bytes are either in the kernel's buffer or covered by `reading`: see
            // `wait_until_idle`.
            let peeked = stream.peek(&mut bytes[..1]);
            self.reading.fetch_add(1, Ordering::SeqCst);
            let message = match peeked.and_then(|_| stream.read(&mut bytes)) {
                Ok(0) | Err(_) => Err(()),
                Ok(count) => reader.feed(&bytes[..count]).map_err(|_| ()),
            };
            let request = message.map(|m| m.map(|m| ParsedRequest::read(m).unwrap().request));
            let before = match &request {
                Ok(Some(request)) => self.count(request),
                _ => 0,
            };
            self.reading.fetch_sub(1, Ordering::SeqCst);
            let Ok(request) = request else { return };
            let action = match request {
                None => continue,
                Some(WorkerRequest::Infer(call)) => act(&call, before),
                Some(WorkerRequest::Ready) => Action::Answer(Reply::Ready),
                Some(WorkerRequest::Load { copies, .. }) => Action::Answer(Reply::Copies(copies)),
                Some(_) => Action::Answer(Reply::Copies(0)),
            };
            let closes = match action {
                Action::Answer(reply) => stream.write_all(&reply.encode(None, None)).is_err(),
                Action::Later(millis, reply) => {
                    thread::sleep(Duration::from_millis(millis));
                    stream.write_all(&reply.encode(None, None)).is_err()
                }
                Action::Raw(bytes) => stream.write_all(&bytes).is_err(),
                Action::Half(reply) => {
                    let bytes = reply.encode(None, None);
                    let _ = stream.write_all(&bytes[..bytes.len() / 2]);
                    true
                }
                Action::Close => true,
                Action::Silence => false,
            };
            if closes {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Records a call or a load request, and returns the number of calls received before it.
    fn count(&self, request: &WorkerRequest) -> usize {
        let mut calls = self.calls.lock().unwrap();
        let before = calls.len();
        match request {
            WorkerRequest::Infer(call) => calls.push((Instant::now(), call.clone())),
            WorkerRequest::Load { .. } => self.load_requests.lock().unwrap().push(request.clone()),
            _ => {}
        }
        before
    }

    /// Waits until everything that was written to this worker so far is counted: nothing is left in the
    /// kernel's buffers or with a reader.
    pub(crate) fn wait_until_idle(&self) {
        let port = format!(":{:04X}", self.address.port());
        until("the worker to read all received bytes", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let rows = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
            // Columns 1, 3 and 4: local address, state (0A is LISTEN, whose queue holds connections), and
            // "sent:unread" in hex.
            let unread = |row: &Vec<&str>| row[3] != "0A" && !row[4].ends_with(":00000000");
            !rows.filter(|row| row[1].ends_with(&port)).any(|row| unread(&row))
                && self.reading.load(Ordering::SeqCst) == 0
        });
    }

    /// Number of received calls.
    pub(crate) fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// Payloads of the received calls, in order of arrival.
    pub(crate) fn payloads(&self) -> Vec<String> {
        let calls = self.calls.lock().unwrap();
        calls.iter().map(|(_, c)| String::from_utf8_lossy(&c.payload).into_owned()).collect()
    }

    /// Request ids of the received calls, in order of arrival.
    pub(crate) fn request_ids(&self) -> Vec<String> {
        self.calls.lock().unwrap().iter().map(|(_, call)| call.request_id.clone()).collect()
    }

    /// Number of received calls and load requests.
    pub(crate) fn calls_and_loads(&self) -> usize {
        self.calls() + self.load_requests.lock().unwrap().len()
    }
}

/// The answer to a call, as published to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallAnswer {
    pub outcome: String,
    pub reason: Option<String>,
    pub payload: String,
    pub recorded: bool,
    pub ran: Option<String>,
    /// Numbers of the settings documents under which the call was handled; absent without versioned settings.
    pub settings: Option<String>,
    pub call: String,
}

/// A minimal blocking MQTT 5 client.
pub(crate) struct Client {
    stream: TcpStream,
    mqtt: Connection<role::Client>,
    answers: VecDeque<CallAnswer>,
    packets: Vec<Packet>,
    pub session_present: bool,
}

impl Client {
    /// Connects and waits for the CONNACK. A `persistent` session outlives its connection by 60 s.
    pub(crate) fn connect(address: SocketAddr, id: &str, persistent: bool) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let mut mqtt = Connection::new(Version::V5_0);
        mqtt.set_auto_pub_response(true);
        let (answers, packets) = (VecDeque::new(), Vec::new());
        let mut client = Client { stream, mqtt, answers, packets, session_present: false };
        let expiry = SessionExpiryInterval::new(if persistent { 60 } else { 0 }).unwrap();
        let builder = v5_0::Connect::builder().client_id(id).unwrap().clean_start(!persistent);
        client.send(builder.props(vec![expiry.into()]).build().unwrap().into());
        let start = Instant::now();
        while client.packets.is_empty() {
            assert!(start.elapsed() < MAX_WAIT, "no CONNACK");
            client.read();
        }
        client.session_present =
            client.packets.iter().any(|p| matches!(p, Packet::V5_0Connack(p) if p.session_present()));
        client
    }

    /// The client id that the server assigned, for a client that connected with an empty one.
    pub(crate) fn assigned_id(&self) -> Option<String> {
        let connack = self.packets.iter().find_map(|packet| match packet {
            Packet::V5_0Connack(connack) => Some(connack),
            _ => None,
        });
        connack?.props().iter().find_map(|property| match property {
            Property::AssignedClientIdentifier(id) => Some(id.val().to_string()),
            _ => None,
        })
    }

    fn send(&mut self, packet: Packet) {
        let events = self.mqtt.send(packet);
        self.handle_events(events);
    }

    fn handle_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::RequestSendPacket { packet, .. } => {
                    let _ = self.stream.write_all(&packet.to_continuous_buffer());
                }
                Event::NotifyPacketReceived(Packet::V5_0Publish(p)) => {
                    self.answers.push_back(Self::parse_answer(&p))
                }
                Event::NotifyPacketReceived(packet) => self.packets.push(packet),
                _ => {}
            }
        }
    }

    fn parse_answer(publish: &v5_0::Publish) -> CallAnswer {
        let property = |name: &str| {
            publish.props().iter().find_map(|p| match p {
                Property::UserProperty(p) if p.key() == name => Some(p.val().to_string()),
                _ => None,
            })
        };
        let call = publish.props().iter().find_map(|p| match p {
            Property::CorrelationData(p) => Some(String::from_utf8_lossy(p.val()).into_owned()),
            _ => None,
        });
        CallAnswer {
            outcome: property("outcome").unwrap_or_default(),
            reason: property("reason"),
            payload: String::from_utf8_lossy(publish.payload().as_slice()).into_owned(),
            recorded: property("recorded").is_some(),
            ran: property("ran"),
            settings: property("settings"),
            call: call.unwrap_or_default(),
        }
    }

    fn read(&mut self) {
        let mut bytes = [0; 4096];
        let Ok(count) = self.stream.read(&mut bytes) else { return };
        let mut cursor = Cursor::new(&bytes[..count]);
        while (cursor.position() as usize) < count {
            let events = self.mqtt.recv(&mut cursor);
            self.handle_events(events);
        }
    }

    /// Subscribes with QoS 1 and waits for the SUBACK.
    pub(crate) fn subscribe(&mut self, filter: &str) {
        let id = self.mqtt.acquire_packet_id().unwrap();
        let entries = vec![SubEntry::new(filter, SubOpts::new().set_qos(Qos::AtLeastOnce)).unwrap()];
        self.send(v5_0::Subscribe::builder().packet_id(id).entries(entries).build().unwrap().into());
        let start = Instant::now();
        while !self.packets.iter().any(|p| matches!(p, Packet::V5_0Suback(_))) {
            assert!(start.elapsed() < MAX_WAIT, "no SUBACK");
            self.read();
        }
    }

    /// Publishes with QoS 1 and the given packet id; `call` is both the payload and, in its first 100 bytes,
    /// the correlation data.
    pub(crate) fn publish(&mut self, topic: &str, id: u16, key: Option<&str>, call: &str, dup: bool) {
        let properties = key.map(|k| Property::from(UserProperty::new("key", k).unwrap()));
        self.publish_with(topic, id, properties.into_iter().collect(), call, dup);
    }

    /// Like [`Client::publish`], with further properties.
    pub(crate) fn publish_with(
        &mut self,
        topic: &str,
        id: u16,
        further: Vec<Property>,
        call: &str,
        dup: bool,
    ) {
        let mut properties: Vec<Property> = vec![
            ResponseTopic::new("replies/me").unwrap().into(),
            CorrelationData::new(call.as_bytes()[..call.len().min(100)].to_vec()).unwrap().into(),
        ];
        properties.extend(further);
        let builder = v5_0::Publish::builder().topic_name(topic).unwrap().qos(Qos::AtLeastOnce).dup(dup);
        let publish =
            builder.packet_id(id).props(properties).payload(call.as_bytes().to_vec()).build().unwrap();
        let _ = self.mqtt.register_packet_id(id);
        self.send(publish.into());
    }

    /// Waits for the next answer.
    pub(crate) fn answer(&mut self) -> CallAnswer {
        self.answer_or(String::new)
    }

    /// Waits for the next answer; if none arrives, the failure message includes the result of `context`.
    pub(crate) fn answer_or(&mut self, context: impl Fn() -> String) -> CallAnswer {
        let start = Instant::now();
        loop {
            if let Some(answer) = self.answers.pop_front() {
                return answer;
            }
            assert!(start.elapsed() < MAX_WAIT, "no answer within {MAX_WAIT:?} {}", context());
            self.read();
        }
    }

    /// Whether no further answer arrives within `millis`. An answer that arrives later is missed, so this can
    /// pass wrongly but not fail wrongly.
    pub(crate) fn is_quiet(&mut self, millis: u64) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(millis) {
            self.read();
        }
        self.answers.is_empty()
    }

    /// Publishes a call and waits for the next answer.
    pub(crate) fn call(&mut self, topic: &str, id: u16, key: Option<&str>, call: &str) -> CallAnswer {
        self.publish(topic, id, key, call, false);
        self.answer()
    }

    /// Writes bytes to the socket unchanged.
    pub(crate) fn send_raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }
}
