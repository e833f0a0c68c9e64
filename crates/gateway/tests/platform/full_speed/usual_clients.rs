//! Usual clients: a few calls a second each, some on a connection that stays open, some on a new one for each
//! call.

use crate::test_servers::*;
use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Clients that keep their connection, and clients that open one for each call.
const LASTING_CLIENTS: u64 = 3;
const NEW_CONNECTION_CLIENTS: u64 = 1;
/// Calls per second of one client.
const CALLS_PER_SECOND: u64 = 10;
const TIMEOUT: Duration = Duration::from_millis(600);
/// An answer that is later than this after the client's timeout counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
const CLASSES: [&str; 3] = ["quote", "booking", "charge"];
const FUNCTIONS: u64 = 5;

/// What became of the calls.
pub(crate) struct UsualCalls {
    sent: usize,
    /// Calls served within their timeout.
    served: usize,
    /// Calls without an answer half a second after their timeout, as positions in the order of the clients and
    /// of their calls.
    lost: Vec<usize>,
    /// Longest time to an answer.
    longest: Duration,
}

impl UsualCalls {
    /// Whether no call is lost and at least half are served in time, the share that the platform requires.
    pub(crate) fn are_served(&self) -> bool {
        self.lost.is_empty() && self.served * 2 >= self.sent
    }
}

impl fmt::Debug for UsualCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UsualCalls { sent, served, lost, longest } = self;
        write!(f, "{served} of {sent} usual calls served in time, lost {lost:?}, longest wait {longest:?}")
    }
}

/// Sends calls for a time and waits for the last answers.
pub(crate) fn send_usual_calls(address: SocketAddr, length: Duration) -> UsualCalls {
    let lasting = (0..LASTING_CLIENTS).map(|client| {
        thread::spawn(move || send_paced(address, &plan(client, length), TIMEOUT + LOST_AFTER))
    });
    let new = (LASTING_CLIENTS..LASTING_CLIENTS + NEW_CONNECTION_CLIENTS)
        .map(|client| thread::spawn(move || send_on_new_connections(address, &plan(client, length))));
    let clients: Vec<_> = lasting.chain(new).collect();
    let records: Vec<CallRecord> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let answers = || records.iter().filter_map(|record| Some((record, record.answer.as_ref()?)));
    let in_time = answers().filter(|(record, (at, end))| {
        matches!(end, Outcome::Served(_)) && *at <= record.sent_at + record.timeout
    });
    let is_lost = |record: &CallRecord| {
        let last = record.sent_at + record.timeout + LOST_AFTER;
        record.answer.as_ref().is_none_or(|(at, _)| *at > last)
    };
    UsualCalls {
        sent: records.len(),
        served: in_time.count(),
        lost: (0..records.len()).filter(|index| is_lost(&records[*index])).collect(),
        longest: answers().map(|(record, (at, _))| *at - record.sent_at).max().unwrap_or_default(),
    }
}

fn plan(client: u64, length: Duration) -> Vec<PlannedCall> {
    let interval = Duration::from_secs(1) / CALLS_PER_SECOND as u32;
    let calls = (0..length.as_secs() * CALLS_PER_SECOND).map(|number| PlannedCall {
        after: interval * number as u32 + interval * client as u32 / 4,
        class: CLASSES[number as usize % CLASSES.len()],
        function: number % FUNCTIONS,
        tag: (client + 1) << 32 | number,
        timeout: TIMEOUT,
    });
    calls.collect()
}

/// Sends each call on a connection of its own.
fn send_on_new_connections(address: SocketAddr, plan: &[PlannedCall]) -> Vec<CallRecord> {
    let start = Instant::now();
    let calls: Vec<_> = plan
        .iter()
        .map(|call| {
            thread::sleep((start + call.after).saturating_duration_since(Instant::now()));
            let call = call.clone();
            thread::spawn(move || send_on_new_connection(address, &call))
        })
        .collect();
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}

fn send_on_new_connection(address: SocketAddr, call: &PlannedCall) -> CallRecord {
    let mut client = Client::connect(address);
    client.stream.set_read_timeout(Some(TIMEOUT + LOST_AFTER)).unwrap();
    let sent_at = Instant::now();
    client.send_for(call.class, call.function, call.tag, call.timeout.as_millis() as u64);
    let outcome = client.answer().1;
    let answer = (outcome != Outcome::Closed).then(|| (Instant::now(), outcome));
    CallRecord { sent_at, timeout: call.timeout, answer }
}
