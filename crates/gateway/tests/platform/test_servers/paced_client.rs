//! A client that sends calls by the clock, whatever becomes of the earlier ones, and notes when each was answered.

use super::{Client, End};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Open calls on one connection at most, by the protocol.
const MAX_OPEN: usize = 32;

/// A call to be sent.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    /// When, counted from the start of the plan.
    pub after: Duration,
    pub class: &'static str,
    pub function: u64,
    pub tag: u64,
    /// How long the client waits.
    pub timeout: Duration,
}

/// What became of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub sent_at: Instant,
    pub timeout: Duration,
    /// The answer and when it came; none if none came, or the connection ended.
    pub answer: Option<(Instant, End)>,
}

/// Sends the calls of a plan on as many connections as the protocol requires; ends `linger` after the last one was sent.
pub(crate) fn send_paced(address: SocketAddr, plan: &[PlannedCall], linger: Duration) -> Vec<CallRecord> {
    let start = Instant::now();
    let mut connections: Vec<Connection> = Vec::new();
    let mut records: Vec<CallRecord> = Vec::new();
    let mut due = plan.iter().peekable();
    let mut last_sent = start;
    while due.peek().is_some() || last_sent.elapsed() < linger {
        while let Some(call) = due.next_if(|call| start.elapsed() >= call.after) {
            last_sent = Instant::now();
            let connection = usable_connection(&mut connections, address);
            let timeout_ms = call.timeout.as_millis() as u64;
            let number = connection.client.send_for(call.class, call.function, call.tag, timeout_ms);
            connection.open.insert(number, records.len());
            records.push(CallRecord { sent_at: last_sent, timeout: call.timeout, answer: None });
        }
        connections.iter_mut().for_each(|connection| connection.read_answers(&mut records));
        thread::sleep(Duration::from_millis(1));
    }
    records
}

struct Connection {
    client: Client,
    /// Indices of the open calls' records by their numbers.
    open: HashMap<u32, usize>,
    has_ended: bool,
}

impl Connection {
    fn read_answers(&mut self, records: &mut [CallRecord]) {
        while let Some((number, end)) = self.client.numbered_answer_now() {
            if end == End::Closed {
                self.has_ended = true;
                return;
            }
            if let Some(index) = self.open.remove(&number) {
                records[index].answer = Some((Instant::now(), end));
            }
        }
    }
}

/// A connection with room for another call.
fn usable_connection(connections: &mut Vec<Connection>, address: SocketAddr) -> &mut Connection {
    let is_usable = |connection: &Connection| !connection.has_ended && connection.open.len() < MAX_OPEN;
    let index = connections.iter().position(is_usable).unwrap_or_else(|| {
        let client = Client::connect(address);
        client.stream.set_nonblocking(true).unwrap();
        connections.push(Connection { client, open: HashMap::new(), has_ended: false });
        connections.len() - 1
    });
    &mut connections[index]
}
