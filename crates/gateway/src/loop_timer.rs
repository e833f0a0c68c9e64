//! The wait of a loop's turn, and what it must know of the process's own standstills.
//!
//! It guards against old news. What a turn decides is written when the next one begins; a process that stood still in between
//! looks first at what came meanwhile, as that may forbid what is about to be written. After any standstill all that came is
//! heard to its end before a part of it is decided by: one read of a connection brings a request, the next one that its client
//! left. Called by both loops (`shell`, `platform`) once a turn.

use crate::clock::Clock;
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use std::io;
use std::time::Duration;

/// The part of a drain's grace after which what was decided is old news, and the time where there is no grace.
const STALE_AFTER: (i64, Micros) = (5, Micros(50_000));
/// Looks after a standstill until nothing more comes, at most.
const LOOKS: usize = 4;

/// What a wait brought.
pub(crate) struct Turn {
    /// The time after it.
    pub(crate) now: Micros,
    /// How long what is read in this turn may have waited: while the turn before was at work, or the process stood still.
    pub(crate) age: Micros,
    /// What happened.
    pub(crate) happened: Vec<ReactorEvent>,
}

/// See the module's documentation.
pub(crate) struct LoopTimer {
    /// When the turn before began to decide what it left to be written, and after which time that is old news.
    decided: Micros,
    old_after: Micros,
    /// The turn before only looked: this one writes, whatever it took.
    looked: bool,
}

impl LoopTimer {
    /// For a loop that starts now, before workers whose drains have this grace.
    pub(crate) fn new(now: Micros, drain_grace: Micros) -> Self {
        let mut turns = LoopTimer { decided: now, old_after: STALE_AFTER.1, looked: false };
        turns.graced(drain_grace);
        turns
    }

    /// The drains of the workers have this grace from now on.
    pub(crate) fn graced(&mut self, drain_grace: Micros) {
        self.old_after =
            if drain_grace.0 > 0 { Micros(drain_grace.0 / STALE_AFTER.0) } else { STALE_AFTER.1 };
    }

    /// Writes what the turn before decided, unless that is old news or the time `until` has come, and waits at most for `wait`.
    ///
    /// # Errors
    /// When the poller fails.
    pub(crate) fn wait(
        &mut self,
        clock: &Clock,
        reactor: &mut Reactor,
        mut wait: Duration,
        until: Option<Micros>,
    ) -> io::Result<Turn> {
        let before = clock.now();
        let worked = before.0 - self.decided.0;
        let mut happened = Vec::new();
        if worked > self.old_after.0 && !self.looked {
            look_around(reactor, &mut happened)?;
            wait = Duration::ZERO;
        }
        self.looked = !happened.is_empty();
        if !self.looked {
            reactor.poll_until(Some(wait), until.map(|at| clock.instant(at)), &mut happened)?;
        }
        let overslept = (clock.now().0 - before.0 - wait.as_micros() as i64).max(0);
        if overslept > self.old_after.0 {
            look_around(reactor, &mut happened)?;
        }
        self.decided = clock.now();
        Ok(Turn { now: self.decided, age: Micros(worked + overslept), happened })
    }
}

/// Reads all that came; nothing is written.
fn look_around(reactor: &mut Reactor, happened: &mut Vec<ReactorEvent>) -> io::Result<()> {
    for _ in 0..LOOKS {
        let before = happened.len();
        reactor.look(Some(Duration::ZERO), happened)?;
        if happened.len() == before {
            break;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use slatevalve_reactor::Id;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    /// A connection that stands, and the peer's side of it.
    fn standing(reactor: &mut Reactor) -> (Id, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let id = reactor.connect(listener.local_addr().unwrap()).unwrap();
        let peer = listener.accept().unwrap().0;
        let mut happened = Vec::new();
        while happened.is_empty() {
            reactor.poll(Some(Duration::from_secs(1)), &mut happened).unwrap();
        }
        (id, peer)
    }

    fn words(turn: &Turn) -> Vec<&'static str> {
        let word = |h: &ReactorEvent| match h {
            ReactorEvent::Received(..) => "received",
            ReactorEvent::Closed { .. } => "closed",
            _ => "other",
        };
        turn.happened.iter().map(word).collect()
    }

    #[test]
    fn after_a_standstill_all_that_came_is_heard_before_anything_is_written() {
        let (clock, mut reactor) = (Clock::start(), Reactor::new(1 << 20).unwrap());
        let (worker, mut at_worker) = standing(&mut reactor);
        let (client, mut at_client) = standing(&mut reactor);
        let grace = Micros(100_000);
        let mut turns = LoopTimer::new(clock.now(), grace);
        // Decided; then the process stands still, and a client comes and leaves.
        reactor.write(worker, b"decided");
        at_client.write_all(b"a request").unwrap();
        at_client.shutdown(std::net::Shutdown::Both).unwrap();
        std::thread::sleep(Duration::from_millis(30));
        let turn = turns.wait(&clock, &mut reactor, Duration::from_secs(5), None).unwrap();
        assert_eq!(words(&turn), ["received", "closed"]);
        assert!(turn.age.0 >= 30_000, "what was read may have waited for all of it");
        assert!(matches!(turn.happened[0], ReactorEvent::Received(id, _) if id == client));
        assert_eq!(reactor.written(worker), 0, "nothing left by old news");
        // The next one writes, also where it took long again.
        std::thread::sleep(Duration::from_millis(30));
        turns.wait(&clock, &mut reactor, Duration::ZERO, None).unwrap();
        let mut seen = [0; 7];
        at_worker.read_exact(&mut seen).unwrap();
        assert_eq!(&seen, b"decided");
    }

    #[test]
    fn a_loop_that_did_not_stand_still_writes_at_once_and_reads_once() {
        let (clock, mut reactor) = (Clock::start(), Reactor::new(1 << 20).unwrap());
        let (worker, _at_worker) = standing(&mut reactor);
        let (_, mut at_client) = standing(&mut reactor);
        // A grace of hours: no pause of a busy machine is a standstill beside it.
        let mut turns = LoopTimer::new(clock.now(), Micros(36_000_000_000));
        reactor.write(worker, b"decided");
        at_client.write_all(b"a request").unwrap();
        at_client.shutdown(std::net::Shutdown::Both).unwrap();
        let turn = turns.wait(&clock, &mut reactor, Duration::from_secs(5), None).unwrap();
        assert_eq!((words(&turn), reactor.written(worker)), (vec!["received"], 7));
    }
}
