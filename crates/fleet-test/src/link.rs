//! A link: a stand-in of the network between processes, one process on the project's loop. By direction and time it delays,
//! limits bytes a second, drops what it carries while the connection stays open, resets, refuses; and it tells what passed.
//!
//! [`Pipe`] is one direction of one connection and does no I/O: bytes and times in, bytes out when they are due, in order.

use crate::tally::{now_us, Tally};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use slatevalve_http::{Limits, Part, PartReader, Side};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What waits on one connection; beyond it the connection is closed.
const MAX_BUFFERED: usize = 64 * 1024 * 1024;
/// The signals that end it.
const ENDS: [i32; 2] = [15, 2];

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From whoever connects to the service.
    Questions,
    /// From the service.
    Answers,
    /// Either way.
    Both,
}

impl Direction {
    fn holds(self, to_service: bool) -> bool {
        match self {
            Direction::Questions => to_service,
            Direction::Answers => !to_service,
            Direction::Both => true,
        }
    }
}

/// What a link does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Bytes arrive later by this, and by a drawn part of the jitter; the delay grows by so much in each second.
    Delay {
        /// Which way.
        way: Direction,
        /// Microseconds.
        by_us: i64,
        /// Microseconds at most beside it.
        jitter_us: i64,
        /// Microseconds more for each second since the fault began.
        growing_us: i64,
    },
    /// So many bytes a second pass.
    Slow {
        /// Which way.
        way: Direction,
        /// Bytes a second on each connection.
        bytes_per_s: f64,
    },
    /// What comes is lost; the connections stay open, new ones too.
    Drop(Direction),
    /// At the start of the time all connections end with a reset of what they carry.
    Reset,
    /// Connections end as soon as they come; those that stand go on.
    Refuse,
}

/// A fault and its time, in microseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkFault {
    /// From then on.
    pub from_us: i64,
    /// Until then.
    pub to_us: i64,
    /// What.
    pub kind: LinkFaultKind,
}

/// All that a link is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkPlan {
    /// Where it listens; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// The service behind it.
    pub to: SocketAddr,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<LinkFault>,
    /// Where it writes what passed.
    #[serde(default)]
    pub tally: Option<PathBuf>,
    /// Of what is drawn.
    #[serde(default)]
    pub seed: u64,
}

/// How one direction of a link is at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Condition {
    lost: bool,
    delay_us: i64,
    jitter_us: i64,
    bytes_per_s: Option<f64>,
}

fn condition(faults: &[LinkFault], now_us: i64, to_service: bool) -> Condition {
    let mut is = Condition::default();
    for fault in faults.iter().filter(|f| (f.from_us..f.to_us).contains(&now_us)) {
        match fault.kind {
            LinkFaultKind::Delay { way, by_us, jitter_us, growing_us } if way.holds(to_service) => {
                is.delay_us += by_us + growing_us * (now_us - fault.from_us) / 1_000_000;
                is.jitter_us += jitter_us;
            }
            LinkFaultKind::Slow { way, bytes_per_s } if way.holds(to_service) => {
                is.bytes_per_s = Some(is.bytes_per_s.map_or(bytes_per_s, |b| b.min(bytes_per_s)));
            }
            LinkFaultKind::Drop(way) if way.holds(to_service) => is.lost = true,
            _ => {}
        }
    }
    is
}

/// One direction of one connection.
#[derive(Debug, Default)]
struct Pipe {
    waiting: VecDeque<(i64, Vec<u8>)>,
    last_due_us: i64,
}

impl Pipe {
    /// Takes bytes; `drawn` of 0 to 1 is the part of the jitter. Order is kept: nothing is due before what came earlier.
    fn take(&mut self, now_us: i64, bytes: Vec<u8>, is: Condition, drawn: f64) {
        if is.lost {
            return;
        }
        let length = bytes.len() as f64;
        let due = now_us + is.delay_us + (is.jitter_us as f64 * drawn) as i64;
        let begins = due.max(self.last_due_us);
        let lasts = is.bytes_per_s.map_or(0, |rate| (length / rate.max(1.0) * 1e6) as i64);
        self.last_due_us = begins + lasts;
        self.waiting.push_back((self.last_due_us, bytes));
    }

    fn due(&mut self, now_us: i64) -> Option<Vec<u8>> {
        (self.waiting.front()?.0 <= now_us).then(|| self.waiting.pop_front().map(|w| w.1))?
    }

    fn next(&self) -> Option<i64> {
        self.waiting.front().map(|w| w.0)
    }
}

/// A connection that was accepted, and its twin towards the service.
struct Pair {
    twin: Id,
    /// Towards the service, and back.
    pipes: [Pipe; 2],
    reader: PartReader,
    /// The last path that a head named.
    path: String,
}

struct Links {
    plan: LinkPlan,
    reactor: Reactor,
    pairs: HashMap<Id, Pair>,
    accepted_of: HashMap<Id, Id>,
    tally: Tally,
    random: Pcg64Mcg,
    reset: Vec<bool>,
}

/// Runs a link until SIGTERM or SIGINT; `ready` is told where it listens.
///
/// # Errors
/// When a socket or the tally's file cannot be had.
pub fn run_link(plan: LinkPlan, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let mut reactor = Reactor::new(MAX_BUFFERED)?;
    for signal in ENDS {
        reactor.signal(signal)?;
    }
    let (_, address) = reactor.listen(plan.listen)?;
    let tally = Tally::new(plan.tally.as_deref())?;
    let (random, reset) = (Pcg64Mcg::seed_from_u64(plan.seed), vec![false; plan.faults.len()]);
    let (pairs, accepted_of) = (HashMap::new(), HashMap::new());
    let mut links = Links { plan, reactor, pairs, accepted_of, tally, random, reset };
    ready(address);
    let mut happened = Vec::new();
    loop {
        let wait = (links.next_us() - now_us()).clamp(0, 50_000);
        links.reactor.poll(Some(Duration::from_micros(wait as u64)), &mut happened)?;
        for event in happened.drain(..) {
            if matches!(event, ReactorEvent::Signal(_)) {
                return links.tally.write();
            }
            links.handle_event(event)?;
        }
        links.advance()?;
    }
}

impl Links {
    fn next_us(&self) -> i64 {
        self.pairs.values().flat_map(|p| &p.pipes).filter_map(Pipe::next).min().unwrap_or(i64::MAX)
    }

    fn refuses(&self, now: i64) -> bool {
        let acts = |f: &LinkFault| f.kind == LinkFaultKind::Refuse && (f.from_us..f.to_us).contains(&now);
        self.plan.faults.iter().any(acts)
    }

    fn handle_event(&mut self, event: ReactorEvent) -> io::Result<()> {
        let now = now_us();
        match event {
            ReactorEvent::Accepted { connection, .. } if self.refuses(now) => self.reactor.close(connection),
            ReactorEvent::Accepted { connection, .. } => {
                self.tally.at(now)?.connections += 1;
                match self.reactor.connect(self.plan.to) {
                    Ok(twin) => {
                        let limits = Limits { body: usize::MAX, ..Limits::default() };
                        let reader = PartReader::new(Side::Request, limits);
                        let (pipes, path) = (Default::default(), String::new());
                        self.pairs.insert(connection, Pair { twin, pipes, reader, path });
                        self.accepted_of.insert(twin, connection);
                    }
                    Err(_) => self.reactor.close(connection),
                }
            }
            ReactorEvent::Received(id, bytes) => self.carry(now, id, bytes)?,
            ReactorEvent::Closed { id, .. } => {
                let accepted = self.accepted_of.get(&id).copied().unwrap_or(id);
                self.end(accepted);
            }
            ReactorEvent::AcceptFailed { listener, .. } => self.reactor.resume(listener),
            ReactorEvent::Connected(_)
            | ReactorEvent::Drained(_)
            | ReactorEvent::Signal(_)
            | ReactorEvent::Woken => {}
        }
        Ok(())
    }

    fn carry(&mut self, now: i64, id: Id, bytes: Vec<u8>) -> io::Result<()> {
        let to_service = !self.accepted_of.contains_key(&id);
        let accepted = self.accepted_of.get(&id).copied().unwrap_or(id);
        let Some(pair) = self.pairs.get_mut(&accepted) else { return Ok(()) };
        let bucket = self.tally.at(now)?;
        match to_service {
            true => bucket.bytes_to += bytes.len() as u64,
            false => bucket.bytes_from += bytes.len() as u64,
        }
        if to_service {
            let mut parts = Vec::new();
            // What is no HTTP is carried all the same and not counted.
            let _ = pair.reader.feed(&bytes, &mut parts);
            for part in parts {
                match part {
                    Part::Head(head) => {
                        pair.path = head.target.rsplit('/').next().unwrap_or_default().to_string()
                    }
                    Part::End => *bucket.requests.entry(pair.path.clone()).or_default() += 1,
                    Part::Body(_) => {}
                }
            }
        }
        let is = condition(&self.plan.faults, now, to_service);
        let drawn = if is.jitter_us > 0 { self.random.random_range(0.0..1.0) } else { 0.0 };
        pair.pipes[usize::from(!to_service)].take(now, bytes, is, drawn);
        Ok(())
    }

    fn end(&mut self, accepted: Id) {
        if let Some(pair) = self.pairs.remove(&accepted) {
            self.accepted_of.remove(&pair.twin);
            self.reactor.close(pair.twin);
            self.reactor.close(accepted);
        }
    }

    fn advance(&mut self) -> io::Result<()> {
        let now = now_us();
        for n in 0..self.plan.faults.len() {
            let fault = &self.plan.faults[n];
            if fault.kind == LinkFaultKind::Reset && now >= fault.from_us && !self.reset[n] {
                self.reset[n] = true;
                let all: Vec<Id> = self.pairs.keys().copied().collect();
                all.into_iter().for_each(|id| self.end(id));
            }
        }
        for (accepted, pair) in &mut self.pairs {
            for (pipe, to) in pair.pipes.iter_mut().zip([pair.twin, *accepted]) {
                while let Some(bytes) = pipe.due(now) {
                    self.reactor.write(to, &bytes);
                }
            }
        }
        self.tally.at(now).map(drop)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn fault(from_us: i64, to_us: i64, kind: LinkFaultKind) -> LinkFault {
        LinkFault { from_us, to_us, kind }
    }

    #[test]
    fn a_cut_in_one_direction_loses_just_that_direction_and_only_while_it_lasts() {
        let faults = [fault(10, 20, LinkFaultKind::Drop(Direction::Answers))];
        let lost = |now, to_service| condition(&faults, now, to_service).lost;
        assert_eq!(
            [lost(9, false), lost(10, false), lost(19, false), lost(20, false)],
            [false, true, true, false]
        );
        assert!(!lost(15, true));
    }

    #[test]
    fn a_delay_grows_and_a_narrow_link_takes_its_time() {
        let way = Direction::Both;
        let kind = LinkFaultKind::Delay { way, by_us: 100, jitter_us: 0, growing_us: 1_000 };
        let narrow = LinkFaultKind::Slow { way, bytes_per_s: 1_000.0 };
        let faults = [fault(0, i64::MAX, kind), fault(0, i64::MAX, narrow)];
        let mut pipe = Pipe::default();
        pipe.take(2_000_000, vec![0; 10], condition(&faults, 2_000_000, true), 0.0);
        assert_eq!(pipe.next(), Some(2_000_000 + 100 + 2_000 + 10_000));
    }

    proptest! {
        #[test]
        fn bytes_come_out_in_order_and_never_early(
            steps in prop::collection::vec((0i64..50, 0i64..100, 0.0f64..1.0), 1..60),
        ) {
            let (mut pipe, mut now, mut last) = (Pipe::default(), 0, None);
            for (n, (later, delay_us, drawn)) in steps.iter().enumerate() {
                now += later;
                let is = Condition { delay_us: *delay_us, jitter_us: 40, ..Condition::default() };
                pipe.take(now, vec![n as u8], is, *drawn);
                prop_assert!(pipe.last_due_us >= now + delay_us);
                while let Some(bytes) = pipe.due(now) {
                    prop_assert!(last.is_none_or(|l| l < bytes[0]));
                    last = Some(bytes[0]);
                }
            }
        }
    }
}
