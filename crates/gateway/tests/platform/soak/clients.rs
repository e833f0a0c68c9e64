//! Clients of a run: they send calls at a constant rate, sometimes cancel a call or close their connection,
//! and record the outcome of each call.

use crate::test_servers::{Client, Outcome};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The protocol's limit of open calls on one connection.
const MAX_OPEN: usize = 32;
/// Share of calls that a client cancels, and after which it closes its connection, in per mille.
const CANCEL_PER_MILLE: u32 = 40;
const CLOSE_PER_MILLE: u32 = 10;
/// Upper bound of the time from a call to its cancellation.
const MAX_CANCEL_DELAY_MS: u64 = 80;
const FUNCTIONS: u64 = 24;

/// How a call ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The router closed the connection.
    ByRouter(Instant),
    /// The client canceled the call or closed the connection.
    ByClient(Instant),
}

/// A sent call and its outcome.
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

/// Settings of the clients of one router, shared with the run, which changes the rate and ends them.
pub(super) struct ClientSettings {
    pub router: usize,
    pub address: SocketAddr,
    pub timeout: Duration,
    /// Calls per second of one client.
    pub rate: AtomicU64,
    pub has_ended: AtomicBool,
}

struct Connection {
    client: Client,
    open: HashMap<u32, usize>,
    /// Scheduled cancellations: time and call number.
    cancels: Vec<(Instant, u32)>,
}

/// Sends calls until the run has ended, then waits for the last answers.
pub(super) fn run_client(settings: &ClientSettings, seed: u64) -> Vec<Call> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut calls: Vec<Call> = Vec::new();
    let mut connection: Option<Connection> = None;
    let mut next_call = Instant::now();
    let mut ended_at = None;
    loop {
        if settings.has_ended.load(Ordering::SeqCst) {
            let ended_at = *ended_at.get_or_insert_with(Instant::now);
            if ended_at.elapsed() > settings.timeout + Duration::from_millis(600) {
                return calls;
            }
        } else if Instant::now() >= next_call {
            next_call += Duration::from_micros(1_000_000 / settings.rate.load(Ordering::SeqCst));
            send_call(settings, &mut random, &mut connection, &mut calls);
        }
        if let Some(open) = &mut connection {
            let is_closed = open.read_answers(&mut calls);
            open.cancel_due(&mut calls);
            if is_closed {
                connection = None;
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn send_call(
    settings: &ClientSettings,
    random: &mut Pcg64Mcg,
    connection: &mut Option<Connection>,
    calls: &mut Vec<Call>,
) {
    if connection.is_none() {
        // A router refuses connections while it restarts.
        let Ok(stream) = TcpStream::connect(settings.address) else { return };
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
    let number = open.client.send_for(class, function, tag, settings.timeout.as_millis() as u64);
    open.open.insert(number, calls.len());
    let (router, timeout) = (settings.router, settings.timeout);
    let id = format!("{tag:016x}");
    calls.push(Call { router, id, class, sent_at, timeout, answered_at: None, ending: None });
    let drawn = random.random_range(0..1_000);
    if drawn < CANCEL_PER_MILLE {
        let delay = Duration::from_millis(random.random_range(0..MAX_CANCEL_DELAY_MS));
        open.cancels.push((sent_at + delay, number));
    } else if drawn < CANCEL_PER_MILLE + CLOSE_PER_MILLE {
        let left_at = Instant::now();
        for index in open.open.values() {
            calls[*index].ending = Some(Ending::ByClient(left_at));
        }
        *connection = None;
    }
}

impl Connection {
    /// Records the answers that have arrived; returns whether the router closed the connection.
    fn read_answers(&mut self, calls: &mut [Call]) -> bool {
        while let Some((number, outcome)) = self.client.numbered_answer_now() {
            let now = Instant::now();
            if outcome == Outcome::Closed {
                for index in self.open.values() {
                    calls[*index].ending = Some(Ending::ByRouter(now));
                }
                return true;
            }
            if let Some(index) = self.open.remove(&number) {
                calls[index].answered_at = Some(now);
            }
        }
        false
    }

    fn cancel_due(&mut self, calls: &mut [Call]) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.cancels.drain(..).partition(|(at, _)| *at <= now);
        self.cancels = later;
        for (_, number) in due {
            if let Some(index) = self.open.remove(&number) {
                self.client.interrupt(number);
                calls[index].ending = Some(Ending::ByClient(Instant::now()));
            }
        }
    }
}
