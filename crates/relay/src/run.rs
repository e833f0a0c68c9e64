//! The relay's thin shell: one loop with the registry's client and the routers' connections.

use crate::relay::{Act, Limits, Relay};
use slatevalve_reactor::{Id, Reactor, ReactorEvent};
use slatevalve_registry::{ClientEvent, ClientSettings, RelayRecord, RELAYS};
use slatevalve_registry_transport::Link;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// What waits to be read by one router; a slower one is dropped.
const MAX_BUFFERED: usize = 16 * 1024 * 1024;
/// The signals that end it.
const ENDS: [i32; 2] = [15, 2];
/// Time between two looks at entries and at what is followed.
const TICK_US: i64 = 100_000;
/// The number of routers is told to the registry no more often.
const ANNOUNCE_EACH_US: i64 = 1_000_000;
/// The end of its own lease is not waited for longer.
const LEAVE_WITHIN_US: i64 = 1_000_000;

/// All that a relay is told.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    /// Its name, different from other relays'.
    pub name: String,
    /// Where routers connect; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Of the registry's client; what it writes of itself is filled in.
    pub client: ClientSettings,
    /// The registry's members, in the client's order.
    pub addresses: Vec<SocketAddr>,
    /// See there.
    pub limits: Limits,
}

/// Why a relay ended.
#[derive(Debug)]
pub enum RelayError {
    /// It cannot listen there.
    Listen(SocketAddr, io::Error),
    /// The loop failed.
    Loop(io::Error),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Listen(address, e) => write!(f, "{address}: {e}"),
            RelayError::Loop(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for RelayError {}

/// Runs a relay until SIGTERM or SIGINT; `ready` is told where it listens.
///
/// # Errors
/// When a socket cannot be had.
pub fn run_relay(plan: RelayPlan, ready: impl FnOnce(SocketAddr)) -> Result<(), RelayError> {
    let mut reactor = Reactor::new(MAX_BUFFERED).map_err(RelayError::Loop)?;
    for signal in ENDS {
        reactor.signal(signal).map_err(RelayError::Loop)?;
    }
    let listened = reactor.listen(plan.listen);
    let (_, address) = listened.map_err(|e| RelayError::Listen(plan.listen, e))?;
    let record = |routers| serde_json::to_vec(&RelayRecord { routers }).unwrap_or_default();
    let mut client = plan.client;
    client.own = Some((format!("{}{RELAYS}{}", client.prefix, plan.name), record(0)));
    let mut relay = Relay::new(plan.limits, &plan.name, &client.prefix);
    let mut link = Link::new(client, plan.addresses);
    // Relays are few, and known to be: they come back soon.
    link.client_mut().askers(1);
    let started = Instant::now();
    // Later than 0, so that times before the start have their place.
    let clock = || 1_000_000_000 + i64::try_from(started.elapsed().as_micros()).unwrap_or(i64::MAX / 2);
    ready(address);
    let (mut ids, mut numbers) = (HashMap::<u64, Id>::new(), HashMap::<Id, u64>::new());
    let (mut next, mut happened, mut acts) = (0u64, Vec::new(), Vec::new());
    let (mut announce, mut announce_from_us, mut leaving) = (None, 0, None);
    let (mut was_fit, mut look_us) = (false, 0);
    loop {
        let now = clock();
        let wait = (link.next_wake(now).min(now + TICK_US) - now).clamp(0, TICK_US);
        reactor.poll(Some(Duration::from_micros(wait as u64)), &mut happened).map_err(RelayError::Loop)?;
        let now = clock();
        for event in happened.drain(..) {
            if link.handle_event(now, &mut reactor, &event) {
                look_us = now;
                continue;
            }
            match event {
                ReactorEvent::Signal(_) if leaving.is_none() => {
                    leaving = Some((link.client_mut().leave(), now + LEAVE_WITHIN_US));
                }
                ReactorEvent::Signal(_) => return Ok(()),
                ReactorEvent::Accepted { connection, .. } => {
                    next += 1;
                    if relay.opened(next) {
                        ids.insert(next, connection);
                        numbers.insert(connection, next);
                    } else {
                        reactor.close(connection);
                    }
                }
                ReactorEvent::Received(id, bytes) => {
                    if let Some(peer) = numbers.get(&id) {
                        relay.received(now, *peer, &bytes, &mut acts);
                    }
                }
                ReactorEvent::Closed { id, .. } => {
                    if let Some(peer) = numbers.remove(&id) {
                        ids.remove(&peer);
                        relay.closed(peer);
                    }
                }
                ReactorEvent::AcceptFailed { listener, .. } => reactor.resume(listener),
                ReactorEvent::Connected(_) | ReactorEvent::Drained(_) | ReactorEvent::Woken => {}
            }
        }
        link.advance(now, &mut reactor);
        for heard in link.take_events() {
            match heard {
                ClientEvent::Routers(count) => relay.counted(count),
                ClientEvent::Failed(words) => warn!("registry: {words}"),
                ClientEvent::WatchFault(trouble) => {
                    warn!(?trouble, "registry: the list is compared anew, or the watch begun again")
                }
                ClientEvent::LeaseLost => warn!("registry: our lease was lost; it is had anew"),
                ClientEvent::Registered => info!("registered"),
                ClientEvent::Answered(ticket, _) if leaving.is_some_and(|(ours, _)| ours == Some(ticket)) => {
                    return Ok(())
                }
                ClientEvent::Changes(_) | ClientEvent::Answered(..) => {}
            }
        }
        if leaving.is_some_and(|(ours, until)| ours.is_none() || now >= until) {
            return Ok(());
        }
        // What is followed is compared whole: when something was heard of it, not at each question of a router.
        if now >= look_us {
            look_us = now + TICK_US;
            relay.followed(now, link.client().watch_state(), &mut acts);
        }
        relay.advance(now, &mut acts);
        if relay.is_fit() != was_fit {
            was_fit = relay.is_fit();
            info!(serves = was_fit, workers = link.client().watch_state().len(), "relay");
        }
        for act in acts.drain(..) {
            match act {
                Act::Write(peer, bytes) => {
                    ids.get(&peer).into_iter().for_each(|id| reactor.write(*id, &bytes))
                }
                Act::Finish(peer) => ids.get(&peer).into_iter().for_each(|id| reactor.finish(*id)),
                Act::Announce(routers) => announce = Some(routers),
            }
        }
        if let Some(routers) = announce.filter(|_| now >= announce_from_us) {
            (announce, announce_from_us) = (None, now + ANNOUNCE_EACH_US);
            link.client_mut().announce(record(routers));
        }
    }
}
