//! Stand-ins for the gateway of MQTT clients: a worker by the Open Inference Protocol, an MQTT 3.1.1 client,
//! and the gateway as a child process.

use crate::world::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Starts a worker that runs each call for `work_ms` and answers with `size` bytes.
pub fn start_http_worker(
    world: &Arc<World>,
    name: &str,
    work_ms: u64,
    size: usize,
    ran: &Arc<Mutex<Vec<String>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (world, name, ran) = (world.clone(), name.to_string(), ran.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, name, ran) = (world.clone(), name.clone(), ran.clone());
            thread::spawn(move || serve_http(&world, &name, work_ms, size, &ran, stream));
        }
    });
    address
}

fn serve_http(
    world: &World,
    name: &str,
    work_ms: u64,
    size: usize,
    ran: &Mutex<Vec<String>>,
    mut stream: TcpStream,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
        let (mut length, mut key, mut line) = (0usize, String::new(), String::new());
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let Some((header, value)) = line.trim_end().split_once(':') else { break };
            match header.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().ok()?,
                "idempotency-key" => key = value.trim().to_string(),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        if !first.contains("/infer ") {
            stream.write_all(b"HTTP/1.1 200 OK\r\nX-Copies: 1\r\nContent-Length: 2\r\n\r\n[]").ok()?;
            continue;
        }
        world.note(format!("{name}: runs the call with key {key}"));
        ran.lock().unwrap().push(key.clone());
        sleep_ms(work_ms);
        let json = format!(
            r#"{{"model_name":"","outputs":[{{"name":"payload","shape":[1],"datatype":"BYTES","parameters":{{"binary_data_size":{}}}}}]}}"#,
            size + 4
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nInference-Header-Content-Length: {}\r\n\r\n",
            json.len() + 4 + size,
            json.len()
        );
        let mut bytes = (head + &json).into_bytes();
        bytes.extend_from_slice(&(size as u32).to_le_bytes());
        bytes.extend(std::iter::repeat_n(b'r', size));
        world.note(format!("{name}: answers the call with key {key}, {size} bytes"));
        stream.write_all(&bytes).ok()?;
    }
}

/// A gateway by `slatevalve run`.
pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Gateway {
    /// Starts a gateway; `forms` is the settings file with `LISTEN` in place of the address for clients.
    pub fn start(world: &World, forms: &str) -> Option<Gateway> {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        Gateway::start_at(world, forms, address)
    }

    /// Starts a gateway at an address, as after a restart.
    pub fn start_at(world: &World, forms: &str, address: SocketAddr) -> Option<Gateway> {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("site.scm");
        std::fs::write(&file, forms.replace("LISTEN", &address.to_string())).unwrap();
        let output = std::fs::File::create(folder.join("output")).unwrap();
        let mut command = Command::new("target/release/slatevalve");
        command.arg("run").arg(&file).stdin(Stdio::null());
        command.stdout(output.try_clone().unwrap()).stderr(output);
        end_with_parent(&mut command);
        let child = command.spawn().ok()?;
        world.note(format!("gateway: started at {address}"));
        let gateway = Gateway { child, address, folder };
        for _ in 0..200 {
            if gateway.output().contains("ready ") {
                return Some(gateway);
            }
            sleep_ms(20);
        }
        world.note(gateway.output());
        None
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process outright.
    pub fn kill(mut self, world: &World) {
        world.note("gateway: killed (SIGKILL)");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn output(&self) -> String {
        std::fs::read_to_string(self.folder.join("output")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The project's own broker, `slatevalve broker`.
pub struct Broker {
    child: Child,
    pub address: SocketAddr,
}

impl Broker {
    pub fn start(world: &World) -> Option<Broker> {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut command = Command::new("target/release/slatevalve");
        command.args(["broker", "--listen", &address.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        end_with_parent(&mut command);
        let broker = Broker { child: command.spawn().ok()?, address };
        world.note(format!("broker: started at {address}"));
        (0..200).any(|_| {
            sleep_ms(20);
            TcpStream::connect(address).is_ok()
        });
        Some(broker)
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A link to a server, which can be cut.
pub struct Link {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(server: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_up = Arc::new(AtomicBool::new(true));
        let link = Link { address, is_up: is_up.clone(), connections: Arc::default() };
        let connections = link.connections.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if !is_up.load(Ordering::SeqCst) {
                    reset(&near);
                    continue;
                }
                let Ok(far) = TcpStream::connect(server) else { continue };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    connections.lock().unwrap().push(from.try_clone().unwrap());
                    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = from.shutdown(Shutdown::Both);
                        let _ = to.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        link
    }

    /// Ends all connections, and new ones as they come.
    pub fn cut(&self, world: &World) {
        world.note("link between gateway and broker: cut, its connection drops");
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn mend(&self, world: &World) {
        world.note("link between gateway and broker: up again");
        self.is_up.store(true, Ordering::SeqCst);
    }
}

/// An answer that an MQTT 5 client got.
#[derive(Clone, Debug, Default)]
pub struct Answer5 {
    pub correlation: String,
    pub outcome: String,
    pub reason: String,
}

/// The topic of the answers to an MQTT 5 client.
const REPLIES: &str = "replies/app-1";

/// An MQTT 5 client, connected to a broker or directly to a gateway.
pub struct Client5 {
    world: Arc<World>,
    /// What the record calls it.
    name: String,
    stream: TcpStream,
    next_packet: u16,
    /// The client id that the server assigned, if it did.
    pub assigned_id: Option<String>,
    pub session_present: bool,
    acknowledged: Arc<Mutex<usize>>,
    answers: std::sync::mpsc::Receiver<Answer5>,
}

/// How an MQTT 5 client connects.
pub struct Connect5<'a> {
    /// What the record calls the client.
    pub name: &'a str,
    /// Empty: the server assigns one.
    pub client_id: &'a str,
    pub clean_start: bool,
    /// For how long the session is kept without a connection, in seconds.
    pub expiry_s: u32,
}

impl Client5 {
    pub fn connect(world: &Arc<World>, server: SocketAddr, options: &Connect5<'_>) -> Option<Client5> {
        let mut stream = TcpStream::connect(server).ok()?;
        let _ = stream.set_nodelay(true);
        let name = options.name.to_string();
        // Protocol level 5, keep-alive 60 s, session expiry.
        let mut body = text("MQTT");
        body.extend([5, if options.clean_start { 2 } else { 0 }, 0, 60, 5, 0x11]);
        body.extend(options.expiry_s.to_be_bytes());
        body.extend(text(options.client_id));
        stream.write_all(&packet(0x10, &body)).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let (_, connack) = read_packet(&mut reader).filter(|(kind, _)| kind >> 4 == 2)?;
        if connack.get(1) != Some(&0) {
            return None;
        }
        let session_present = connack[0] & 1 == 1;
        let assigned_id = read_properties(connack.get(2..)?)?.into_iter().find(|(kind, _, _)| *kind == 0x12);
        let assigned_id = assigned_id.map(|(_, value, _)| value);
        world.note(format!(
            "{name}: connected with client id '{}', assigned {assigned_id:?}, session present {session_present}",
            options.client_id
        ));
        let (sender, answers) = std::sync::mpsc::channel();
        let acknowledged: Arc<Mutex<usize>> = Arc::default();
        let (mut writer, noting, count) = (stream.try_clone().ok()?, world.clone(), acknowledged.clone());
        let noted = name.clone();
        thread::spawn(move || {
            while let Some((kind, body)) = read_packet(&mut reader) {
                match kind >> 4 {
                    3 => {}
                    4 => {
                        *count.lock().unwrap() += 1;
                        continue;
                    }
                    14 => {
                        noting.note(format!("{noted}: gets DISCONNECT, reason code {:?}", body.first()));
                        continue;
                    }
                    _ => continue,
                }
                let Some((packet_id, answer)) = read_answer(kind, &body) else { continue };
                if let Some(id) = packet_id {
                    let _ = writer.write_all(&packet(0x40, &id));
                }
                noting.note(format!(
                    "{noted}: gets the answer to {}: {} {}",
                    answer.correlation, answer.outcome, answer.reason
                ));
                let _ = sender.send(answer);
            }
            noting.note(format!("{noted}: its connection has ended"));
        });
        let world = world.clone();
        Some(Client5 {
            world,
            name,
            stream,
            next_packet: 2,
            assigned_id,
            session_present,
            acknowledged,
            answers,
        })
    }

    /// Subscribes to the topic of its answers, as a broker wants it.
    pub fn subscribe(&mut self) {
        let mut body = vec![0, 1, 0];
        body.extend(text(REPLIES));
        body.push(1);
        let _ = self.stream.write_all(&packet(0x82, &body));
        sleep_ms(200);
    }

    /// Ends the connection without a DISCONNECT.
    pub fn drop_connection(self) {
        self.world.note(format!("{}: its connection drops", self.name));
        reset(&self.stream);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// How many publishes were acknowledged.
    pub fn acknowledged(&self) -> usize {
        *self.acknowledged.lock().unwrap()
    }

    /// Publishes a call with a key; correlation data tells its tries apart.
    pub fn call(&mut self, topic: &str, key: &str, correlation: &str) {
        let mut properties = vec![0x08];
        properties.extend(text(REPLIES));
        properties.push(0x09);
        properties.extend(text(correlation));
        properties.push(0x26);
        properties.extend(text("key"));
        properties.extend(text(key));
        let mut body = text(topic);
        body.extend(self.next_packet.to_be_bytes());
        self.next_packet += 1;
        body.push(properties.len() as u8);
        body.extend(properties);
        body.extend_from_slice(b"charge");
        let name = &self.name;
        self.world.note(format!("{name}: publishes {topic}, key {key}, correlation {correlation}"));
        let _ = self.stream.write_all(&packet(0x32, &body));
    }

    pub fn next_answer(&self, timeout: Duration) -> Option<Answer5> {
        self.answers.recv_timeout(timeout).ok()
    }
}

/// The text at the start of `bytes`, and how many bytes it takes.
fn read_text(bytes: &[u8]) -> Option<(String, usize)> {
    let length = usize::from(u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]));
    Some((String::from_utf8_lossy(bytes.get(2..2 + length)?).to_string(), 2 + length))
}

/// The properties at the start of `bytes`, of at most 16 KiB: identifier, text, and the second text of a pair.
fn read_properties(bytes: &[u8]) -> Option<Vec<(u8, String, String)>> {
    let mut length = usize::from(*bytes.first()? & 0x7f);
    let mut at = 1;
    if bytes[0] & 0x80 != 0 {
        length |= usize::from(*bytes.get(1)?) << 7;
        at = 2;
    }
    let (end, mut properties) = (at + length, Vec::new());
    while at < end {
        let kind = *bytes.get(at)?;
        at += 1;
        match kind {
            0x01 | 0x17 | 0x19 | 0x24 | 0x25 | 0x28 | 0x29 | 0x2a => at += 1,
            0x13 | 0x21 | 0x22 | 0x23 => at += 2,
            0x02 | 0x11 | 0x18 | 0x27 => at += 4,
            0x26 => {
                let (name, used) = read_text(bytes.get(at..)?)?;
                let (value, more) = read_text(bytes.get(at + used..)?)?;
                at += used + more;
                properties.push((kind, name, value));
            }
            _ => {
                let (value, used) = read_text(bytes.get(at..)?)?;
                at += used;
                properties.push((kind, value, String::new()));
            }
        }
    }
    Some(properties)
}

/// Packet id and content of an answer.
fn read_answer(kind: u8, body: &[u8]) -> Option<(Option<Vec<u8>>, Answer5)> {
    let (_, mut at) = read_text(body)?;
    let packet_id = (kind & 0x06 != 0).then(|| body[at..at + 2].to_vec());
    at += if packet_id.is_some() { 2 } else { 0 };
    let mut answer = Answer5::default();
    for (kind, first, second) in read_properties(body.get(at..)?)? {
        match (kind, first.as_str()) {
            (0x09, _) => answer.correlation = first,
            (0x26, "outcome") => answer.outcome = second,
            (0x26, "reason") => answer.reason = second,
            _ => {}
        }
    }
    Some((packet_id, answer))
}

/// An MQTT 3.1.1 client with a session that outlives its connections.
pub struct MqttClient {
    world: Arc<World>,
    id: String,
    /// Answers by topic: how often each arrived.
    pub answers: Arc<Mutex<BTreeMap<String, usize>>>,
    /// Packet ids of publishes that the gateway acknowledged.
    pub acknowledged: Arc<Mutex<Vec<u16>>>,
}

/// A connection of the client.
pub struct MqttConnection {
    stream: TcpStream,
    reader: thread::JoinHandle<()>,
}

impl MqttConnection {
    pub fn has_ended(&self) -> bool {
        self.reader.is_finished()
    }

    pub fn drop_it(self, world: &World) {
        world.note("client: its connection drops");
        reset(&self.stream);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn publish(&mut self, world: &World, topic: &str, packet_id: u16, payload: &[u8]) {
        let mut bytes = text(topic);
        bytes.extend(packet_id.to_be_bytes());
        bytes.extend_from_slice(payload);
        world.note(format!("client: publishes {topic}, packet {packet_id}, QoS 1"));
        let _ = self.stream.write_all(&packet(0x32, &bytes));
    }
}

fn text(value: &str) -> Vec<u8> {
    let mut bytes = (value.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(value.as_bytes());
    bytes
}

fn packet(kind: u8, body: &[u8]) -> Vec<u8> {
    let (mut bytes, mut length) = (vec![kind], body.len());
    loop {
        let digit = (length % 128) as u8;
        length /= 128;
        bytes.push(if length > 0 { digit | 0x80 } else { digit });
        if length == 0 {
            break;
        }
    }
    bytes.extend_from_slice(body);
    bytes
}

fn read_packet(reader: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut byte = [0];
    reader.read_exact(&mut byte).ok()?;
    let kind = byte[0];
    let (mut length, mut shift) = (0usize, 0);
    loop {
        reader.read_exact(&mut byte).ok()?;
        length |= usize::from(byte[0] & 0x7f) << shift;
        shift += 7;
        if byte[0] & 0x80 == 0 {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((kind, body))
}

impl MqttClient {
    pub fn new(world: &Arc<World>, id: &str) -> MqttClient {
        MqttClient {
            world: world.clone(),
            id: id.into(),
            answers: Arc::default(),
            acknowledged: Arc::default(),
        }
    }

    /// Connects with a session that is kept, reads what comes and acknowledges it.
    pub fn connect(&self, gateway: SocketAddr) -> Option<MqttConnection> {
        let mut stream = TcpStream::connect(gateway).ok()?;
        let _ = stream.set_nodelay(true);
        // Protocol level 4, no clean session, keep-alive 60 s.
        let mut body = text("MQTT");
        body.extend([4, 0, 0, 60]);
        body.extend(text(&self.id));
        stream.write_all(&packet(0x10, &body)).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        let (world, answers, acknowledged) =
            (self.world.clone(), self.answers.clone(), self.acknowledged.clone());
        let mut writer = stream.try_clone().ok()?;
        let thread = thread::spawn(move || {
            while let Some((kind, body)) = read_packet(&mut reader) {
                match kind >> 4 {
                    2 => drop(world.note(format!("client: connected, session present {}", body[0] & 1))),
                    3 => {
                        let length = usize::from(u16::from_be_bytes([body[0], body[1]]));
                        let topic = String::from_utf8_lossy(&body[2..2 + length]).to_string();
                        world.note(format!("client: is answered, {topic}, {} bytes", body.len()));
                        *answers.lock().unwrap().entry(topic).or_default() += 1;
                        if kind & 0x06 != 0 {
                            let _ = writer.write_all(&packet(0x40, &body[2 + length..4 + length]));
                        }
                    }
                    4 => acknowledged.lock().unwrap().push(u16::from_be_bytes([body[0], body[1]])),
                    _ => {}
                }
            }
            world.note("client: the connection has ended");
        });
        Some(MqttConnection { stream, reader: thread })
    }
}
