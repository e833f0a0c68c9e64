//! Clients of a day: they ask by the clock, now and then take a call back or close their connection, and note what became of each
//! call.

use crate::test_servers::{Client, End};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Open calls on one connection at most, by the protocol.
const MAX_OPEN: usize = 32;
/// Calls that a client takes back, and connections that it closes after a call, in per mille.
const CANCEL_PER_MILLE: u32 = 40;
const CLOSE_PER_MILLE: u32 = 10;
/// The longest time from a call until it is taken back.
const LONGEST_PATIENCE_MS: u64 = 80;
const FUNCTIONS: u64 = 24;

/// How the connection of a call ended while it was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// By the router.
    Closed(Instant),
    /// By the client.
    Left(Instant),
}

/// What became of a call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub router: usize,
    pub id: String,
    pub class: &'static str,
    pub sent_at: Instant,
    pub timeout: Duration,
    pub answered_at: Option<Instant>,
    pub ending: Option<Ending>,
}

/// What the clients of a router share with the day.
pub(super) struct Terms {
    pub router: usize,
    pub address: SocketAddr,
    pub timeout: Duration,
    /// Calls a second of one client.
    pub rate: AtomicU64,
    pub has_ended: AtomicBool,
}

struct Connection {
    client: Client,
    open: HashMap<u32, usize>,
    /// Calls to be taken back, and when.
    cancels: Vec<(Instant, u32)>,
}

/// Asks until the day has ended, then waits for the last answers.
pub(super) fn ask(terms: &Terms, seed: u64) -> Vec<Call> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut calls: Vec<Call> = Vec::new();
    let mut connection: Option<Connection> = None;
    let mut next_call = Instant::now();
    let mut ended_at = None;
    loop {
        if terms.has_ended.load(Ordering::SeqCst) {
            let ended_at = *ended_at.get_or_insert_with(Instant::now);
            if ended_at.elapsed() > terms.timeout + Duration::from_millis(600) {
                return calls;
            }
        } else if Instant::now() >= next_call {
            next_call += Duration::from_micros(1_000_000 / terms.rate.load(Ordering::SeqCst));
            send_call(terms, &mut random, &mut connection, &mut calls);
        }
        if let Some(open) = &mut connection {
            let has_ended = open.read_answers(&mut calls);
            open.take_back_due(&mut calls);
            if has_ended {
                connection = None;
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn send_call(
    terms: &Terms,
    random: &mut Pcg64Mcg,
    connection: &mut Option<Connection>,
    calls: &mut Vec<Call>,
) {
    if connection.is_none() {
        // A router that restarts refuses connections for a moment.
        let Ok(stream) = TcpStream::connect(terms.address) else { return };
        stream.set_nodelay(true).unwrap();
        stream.set_nonblocking(true).unwrap();
        let client = Client::on(stream);
        *connection = Some(Connection { client, open: HashMap::new(), cancels: Vec::new() });
    }
    let Some(open) = connection.as_mut().filter(|connection| connection.open.len() < MAX_OPEN) else {
        return;
    };
    let class = ["quote", "booking", "charge"][random.random_range(0..3)];
    let tag = random.next_u64();
    let sent_at = Instant::now();
    let function = random.random_range(0..FUNCTIONS);
    let number = open.client.send_for(class, function, tag, terms.timeout.as_millis() as u64);
    open.open.insert(number, calls.len());
    let (router, timeout) = (terms.router, terms.timeout);
    let id = format!("{tag:016x}");
    calls.push(Call { router, id, class, sent_at, timeout, answered_at: None, ending: None });
    let drawn = random.random_range(0..1_000);
    if drawn < CANCEL_PER_MILLE {
        let patience = Duration::from_millis(random.random_range(0..LONGEST_PATIENCE_MS));
        open.cancels.push((sent_at + patience, number));
    } else if drawn < CANCEL_PER_MILLE + CLOSE_PER_MILLE {
        let left_at = Instant::now();
        for index in open.open.values() {
            calls[*index].ending = Some(Ending::Left(left_at));
        }
        *connection = None;
    }
}

impl Connection {
    /// Notes the answers that came; returns whether the router ended the connection.
    fn read_answers(&mut self, calls: &mut [Call]) -> bool {
        while let Some((number, end)) = self.client.numbered_answer_now() {
            let now = Instant::now();
            if end == End::Closed {
                for index in self.open.values() {
                    calls[*index].ending = Some(Ending::Closed(now));
                }
                return true;
            }
            if let Some(index) = self.open.remove(&number) {
                calls[index].answered_at = Some(now);
            }
        }
        false
    }

    fn take_back_due(&mut self, calls: &mut [Call]) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.cancels.drain(..).partition(|(at, _)| *at <= now);
        self.cancels = later;
        for (_, number) in due {
            if let Some(index) = self.open.remove(&number) {
                self.client.interrupt(number);
                calls[index].ending = Some(Ending::Left(Instant::now()));
            }
        }
    }
}
