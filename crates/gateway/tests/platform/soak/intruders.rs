//! Clients of a run that keep to no rule: crowds at full speed, clients that close their connection with input
//! unread, and ids that come again after their client has left.

use super::clients::{Call, ClientSettings, Ending};
use crate::full_speed::{Crowd, Kind, Reading};
use crate::test_servers::{request, Client};
use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Largest crowd; with the clients of a run, fewer than a router accepts.
const MAX_CROWD: usize = 60;
const MAX_CROWD_MS: u64 = 1_500;
/// The protocol's limits of open calls on one connection, and of a body.
const MAX_OPEN: u32 = 32;
const LARGEST_BODY: usize = 16 * 1024;
/// Longest time after which an id comes again.
const MAX_REUSE_DELAY_MS: u64 = 400;

/// What an intruder does.
#[derive(Clone, Copy, Debug)]
pub(super) enum Intrusion {
    Crowd {
        kind: Kind,
        reading: Reading,
        clients: usize,
        length: Duration,
    },
    /// As many calls with large bodies as may be open, and a close right behind them.
    CloseUnread,
    /// An unsafe call whose client leaves, and that comes again under its id after this time.
    ReuseId(Duration),
}

/// Draws up to three intrusions with their times; half of the runs have none.
pub(super) fn draw(random: &mut Pcg64Mcg) -> Vec<(Duration, Intrusion)> {
    let count = random.random_range(0..6usize).saturating_sub(2);
    (0..count).map(|_| (Duration::from_millis(random.random_range(300..4_500)), draw_one(random))).collect()
}

fn draw_one(random: &mut Pcg64Mcg) -> Intrusion {
    match random.random_range(0..5) {
        0 => Intrusion::CloseUnread,
        1 => Intrusion::ReuseId(Duration::from_millis(random.random_range(0..MAX_REUSE_DELAY_MS))),
        _ => Intrusion::Crowd {
            kind: Kind::ALL[random.random_range(0..Kind::ALL.len())],
            reading: [Reading::All, Reading::Nothing][random.random_range(0..2)],
            clients: random.random_range(1..MAX_CROWD),
            length: Duration::from_millis(random.random_range(300..MAX_CROWD_MS)),
        },
    }
}

/// Runs an intrusion and returns the calls that rules apply to.
pub(super) fn intrude(intrusion: Intrusion, settings: &ClientSettings, random: &mut Pcg64Mcg) -> Vec<Call> {
    match intrusion {
        Intrusion::Crowd { kind, reading, clients, length } => {
            let _crowd = Crowd::start(settings.address, kind, reading, clients);
            thread::sleep(length);
            Vec::new()
        }
        Intrusion::CloseUnread => close_unread(settings, random),
        Intrusion::ReuseId(delay) => reuse_id(settings, random, delay),
    }
}

fn close_unread(settings: &ClientSettings, random: &mut Pcg64Mcg) -> Vec<Call> {
    // A router refuses connections while it restarts.
    let Ok(mut stream) = TcpStream::connect(settings.address) else { return Vec::new() };
    let ids: Vec<String> = (0..MAX_OPEN).map(|_| format!("{:016x}", random.next_u64())).collect();
    let timeout_ms = settings.timeout.as_millis().to_string();
    let bytes = (1..).zip(&ids).flat_map(|(number, id)| {
        let fields = [("req", id.as_str()), ("timeout", &*timeout_ms), ("subject", "0000000000000001")];
        request(number, "quote", &fields, &[b'x'; LARGEST_BODY])
    });
    let bytes: Vec<u8> = bytes.collect();
    let sent_at = Instant::now();
    stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    // The router may not read all of it.
    let _ = stream.write_all(&bytes);
    drop(stream);
    let left_at = Instant::now();
    ids.into_iter().map(|id| left_call(settings, id, "quote", sent_at, left_at)).collect()
}

fn reuse_id(settings: &ClientSettings, random: &mut Pcg64Mcg, delay: Duration) -> Vec<Call> {
    let tag = random.next_u64();
    let send = || {
        let sent_at = Instant::now();
        let mut client = Client::on(TcpStream::connect(settings.address).ok()?);
        client.send_for("charge", 1, tag, settings.timeout.as_millis() as u64);
        thread::sleep(Duration::from_millis(20));
        drop(client);
        Some(left_call(settings, format!("{tag:016x}"), "charge", sent_at, Instant::now()))
    };
    let first = send();
    thread::sleep(delay);
    first.into_iter().chain(send()).collect()
}

/// A call whose client has left.
fn left_call(
    settings: &ClientSettings,
    id: String,
    class: &'static str,
    sent_at: Instant,
    left_at: Instant,
) -> Call {
    let (router, timeout) = (settings.router, settings.timeout);
    Call { router, id, class, sent_at, timeout, answered_at: None, ending: Some(Ending::ByClient(left_at)) }
}
