//! An open-loop client: it sends calls at planned times, whether or not earlier ones are answered, and
//! records the time of each answer.

use super::{Client, Outcome};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The protocol's limit of open calls on one connection.
const MAX_OPEN: usize = 32;

/// A call of a plan.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    /// Send time, relative to the start of the plan.
    pub after: Duration,
    pub class: &'static str,
    pub function: u64,
    pub tag: u64,
    /// The timeout sent with the call.
    pub timeout: Duration,
}

/// A sent call and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub sent_at: Instant,
    pub timeout: Duration,
    /// The answer and its arrival time; `None` if no answer arrived or the connection was closed.
    pub answer: Option<(Instant, Outcome)>,
}

/// Sends the calls of a plan on as many connections as the protocol's limit requires; returns `linger` after
/// the last send.
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
    /// Record indices of the open calls by call number.
    open: HashMap<u32, usize>,
    is_closed: bool,
}

impl Connection {
    fn read_answers(&mut self, records: &mut [CallRecord]) {
        while let Some((number, outcome)) = self.client.numbered_answer_now() {
            if outcome == Outcome::Closed {
                self.is_closed = true;
                return;
            }
            if let Some(index) = self.open.remove(&number) {
                records[index].answer = Some((Instant::now(), outcome));
            }
        }
    }
}

/// Returns a connection with room for another call, opening one if needed.
fn usable_connection(connections: &mut Vec<Connection>, address: SocketAddr) -> &mut Connection {
    let is_usable = |connection: &Connection| !connection.is_closed && connection.open.len() < MAX_OPEN;
    let index = connections.iter().position(is_usable).unwrap_or_else(|| {
        let client = Client::connect(address);
        client.stream.set_nonblocking(true).unwrap();
        connections.push(Connection { client, open: HashMap::new(), is_closed: false });
        connections.len() - 1
    });
    &mut connections[index]
}
