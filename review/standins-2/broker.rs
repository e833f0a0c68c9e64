//! A broker with one persistent session, that of the gateway's bridge (MQTT 5, QoS 1).

use crate::common::*;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A publish that the bridge sent.
#[derive(Clone, Debug)]
pub struct Received {
    pub publish: Publish,
    /// Whether it is a retransmission by the protocol: the packet id of an answer not acknowledged so far, DUP.
    pub retransmission: bool,
}

/// A publish for the bridge that it has not acknowledged.
struct Unacknowledged {
    publish: Publish,
    taken_at: Instant,
    was_sent: bool,
}

#[derive(Default)]
struct State {
    has_session: bool,
    filters: Vec<String>,
    connection: Option<TcpStream>,
    connected: bool,
    /// Whether connections are refused: accepted by the machine and closed at once.
    away: bool,
    /// Number of the connection on which the broker says nothing more and reads nothing; 0 for none.
    silent: usize,
    unacknowledged: BTreeMap<u16, Unacknowledged>,
    next_id: u16,
    received: Vec<Received>,
    open_answers: Vec<u16>,
    connects: usize,
}

#[derive(Clone)]
pub struct Broker {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Broker {
    pub fn start(record: &Record) -> Fallible<Self> {
        let (listener, address) = listen()?;
        let broker = Broker { address, state: Arc::default(), record: record.clone() };
        let shared = broker.clone();
        thread::spawn(move || shared.accept(&listener));
        Ok(broker)
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.state.lock().unwrap().away {
                let _ = stream.shutdown(Shutdown::Both);
                continue;
            }
            let shared = self.clone();
            thread::spawn(move || shared.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let writer = stream.try_clone().ok()?;
        let mut packets = Packets::new(stream).ok()?;
        let (first, _) = packets.next(Duration::from_secs(5))?;
        if first != 0x10 {
            return None;
        }
        let number;
        {
            let mut state = self.state.lock().unwrap();
            let present = state.has_session;
            state.has_session = true;
            state.connects += 1;
            number = state.connects;
            self.record.line(format!("broker: the bridge connects, session present: {present}"));
            packets.send(&packet(0x20, &[u8::from(present), 0, 0]));
            state.connection = Some(writer);
            state.connected = true;
            let ids: Vec<u16> = state.unacknowledged.keys().copied().collect();
            for id in ids {
                let open = state.unacknowledged.get_mut(&id)?;
                let publish = sent_form(open);
                open.was_sent = true;
                self.record.line(format!(
                    "broker: sends {} again, packet id {id}, DUP {}, message expiry {:?}",
                    publish.topic, publish.dup, publish.expiry_s
                ));
                packets.send(&publish.encode(Version::V5));
            }
        }
        while !packets.closed {
            while self.state.lock().unwrap().silent == number {
                thread::sleep(Duration::from_millis(20));
            }
            if let Some((first, body)) = packets.next(Duration::from_millis(50)) {
                self.handle(&mut packets, first, &body);
            }
        }
        self.record.line("broker: the bridge's connection ended");
        self.state.lock().unwrap().connected = false;
        Some(())
    }

    fn handle(&self, packets: &mut Packets, first: u8, body: &[u8]) -> Option<()> {
        let mut state = self.state.lock().unwrap();
        match first >> 4 {
            8 => {
                let mut reader = Reader(body);
                let id = reader.u16()?;
                let length = reader.variable()?;
                reader.take(length)?;
                let mut granted = Vec::new();
                while let Some(filter) = reader.string() {
                    let filter = String::from_utf8_lossy(filter).into_owned();
                    reader.u8()?;
                    self.record.line(format!("broker: SUBSCRIBE to {filter}"));
                    if !state.filters.contains(&filter) {
                        state.filters.push(filter);
                    }
                    granted.push(1);
                }
                let mut answer = id.to_be_bytes().to_vec();
                answer.push(0);
                answer.extend_from_slice(&granted);
                packets.send(&packet(0x90, &answer));
            }
            3 => {
                let publish = Publish::decode(Version::V5, first, body)?;
                let retransmission = publish.dup && state.open_answers.contains(&publish.id);
                self.record.line(format!(
                    "broker: answer to {}, correlation '{}', outcome {}, '{}'{}",
                    publish.topic,
                    String::from_utf8_lossy(publish.correlation.as_deref().unwrap_or_default()),
                    publish.user("outcome").unwrap_or("none"),
                    publish.text(),
                    if publish.dup { ", DUP" } else { "" }
                ));
                packets.send(&puback(publish.id));
                state.open_answers.retain(|id| *id != publish.id);
                state.received.push(Received { publish, retransmission });
            }
            4 => {
                let id = u16::from_be_bytes([*body.first()?, *body.get(1)?]);
                self.record.line(format!("broker: PUBACK of packet id {id}"));
                state.unacknowledged.remove(&id);
            }
            12 => packets.send(&packet(0xD0, &[])),
            _ => {}
        }
        Some(())
    }

    /// Takes a publish of an app, and sends it on to the bridge if that has subscribed to it. Returns whether it has.
    pub fn publish(&self, publish: &Publish) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.filters.iter().any(|filter| matches(filter, &publish.topic)) {
            self.record.line(format!("broker: nobody has subscribed to {}", publish.topic));
            return false;
        }
        state.next_id += 1;
        let publish = Publish { id: state.next_id, ..publish.clone() };
        let mut open = Unacknowledged { publish, taken_at: Instant::now(), was_sent: false };
        if let (true, Some(connection)) = (state.connected, &state.connection) {
            open.was_sent = true;
            self.record.line(format!(
                "broker: sends {} to the bridge, packet id {}, message expiry {:?}",
                open.publish.topic, open.publish.id, open.publish.expiry_s
            ));
            let _ = std::io::Write::write_all(&mut &*connection, &open.publish.encode(Version::V5));
        }
        let id = open.publish.id;
        state.unacknowledged.insert(id, open);
        true
    }

    /// The broker's machine vanishes: the bridge's connection stays open and silent. Another machine takes over the
    /// address and the session, and accepts connections at once.
    pub fn vanish(&self) {
        self.record.line("broker: its machine vanishes, the connection stays open and silent; new ones are accepted");
        let mut state = self.state.lock().unwrap();
        state.silent = state.connects;
        state.connected = false;
    }

    /// Resets the bridge's connection and refuses others until [`Broker::come_back`].
    pub fn go_away(&self) {
        self.record.line("broker: the connection of the bridge breaks, others are refused");
        let mut state = self.state.lock().unwrap();
        state.away = true;
        if let Some(connection) = state.connection.take() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        state.connected = false;
    }

    pub fn come_back(&self) {
        self.record.line("broker: takes connections again");
        self.state.lock().unwrap().away = false;
    }

    pub fn is_subscribed(&self, topic: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.connected && state.filters.iter().any(|filter| matches(filter, topic))
    }

    pub fn connects(&self) -> usize {
        self.state.lock().unwrap().connects
    }

    pub fn received(&self) -> Vec<Received> {
        self.state.lock().unwrap().received.clone()
    }

    pub fn wait_for(&self, limit: Duration, mut done: impl FnMut(&Broker) -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if done(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

/// The publish as it is sent now: the message expiry less the time that it has waited (MQTT 5, section 3.3.2.3.3).
fn sent_form(open: &Unacknowledged) -> Publish {
    let waited = open.taken_at.elapsed().as_secs() as u32;
    let expiry_s = open.publish.expiry_s.map(|seconds| seconds.saturating_sub(waited).max(1));
    Publish { dup: open.was_sent, expiry_s, ..open.publish.clone() }
}

fn matches(filter: &str, topic: &str) -> bool {
    let (filter, topic): (Vec<&str>, Vec<&str>) = (filter.split('/').collect(), topic.split('/').collect());
    filter.len() == topic.len() && filter.iter().zip(&topic).all(|(one, other)| *one == "+" || one == other)
}
