//! A stand-in worker's own entry in the registry: it registers, drains and leaves by itself.

use crate::tap::unix_micros;
use crate::worker::RegisterPlan;
use slatevalve_pacing::{seed_of, Limits};
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::{
    worker_key, ClientEvent, ClientSettings, MemberState, RegistrationSettings, WatchScope, WatchSettings,
    WorkerRecord,
};
use slatevalve_registry_transport::Link;
use std::net::SocketAddr;

/// The end of a lease that is given back is not waited for longer.
const REVOKE_WITHIN_US: i64 = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    No,
    /// Until its calls have ended, or then.
    Drains(i64),
    /// Until the lease is given back, or then.
    Revokes(u64, i64),
    Done,
}

pub(crate) struct Entry {
    link: Link,
    record: WorkerRecord,
    leave_within_us: i64,
    leaving: Leaving,
}

impl Entry {
    pub(crate) fn new(name: &str, address: SocketAddr, plan: RegisterPlan, seed: u64) -> Self {
        let record = WorkerRecord {
            address,
            zone: plan.zone,
            kind: "default".into(),
            cell: plan.cell,
            weight: 1.0,
            state: MemberState::Ready,
            up_since_unix_ms: Some(unix_micros() as f64 / 1_000.0),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let settings = ClientSettings {
            endpoints: plan.endpoints.iter().map(ToString::to_string).collect(),
            own: Some((worker_key(&plan.prefix, name), value)),
            prefix: plan.prefix,
            login: None,
            relays: 0,
            follow: WatchScope::Nothing,
            watch_state: WatchSettings::default(),
            registration: RegistrationSettings { ttl_s: plan.ttl_s },
            pace: Limits::default(),
            askers: 1,
            drain_within_us: 12_000_000,
            timeout_us: 1_000_000,
            seed: seed_of(seed, name),
        };
        let mut link = Link::new(settings, plan.endpoints);
        // Its lease is short: a worker that waited as long as one among hundreds of routers may would be missed meanwhile.
        link.client_mut().askers(1);
        Entry { link, record, leave_within_us: plan.leave_within_us, leaving: Leaving::No }
    }

    pub(crate) fn next_wake(&self, now: i64) -> i64 {
        let due = match self.leaving {
            Leaving::No | Leaving::Done => i64::MAX,
            Leaving::Drains(until) | Leaving::Revokes(_, until) => until,
        };
        self.link.next_wake(now).min(due)
    }

    pub(crate) fn advance(&mut self, now: i64, reactor: &mut Reactor) {
        self.link.advance(now, reactor);
        for heard in self.link.take_events() {
            if let (ClientEvent::Answered(ticket, _), Leaving::Revokes(ours, _)) = (&heard, self.leaving) {
                if *ticket == ours {
                    self.leaving = Leaving::Done;
                }
            }
        }
    }

    pub(crate) fn handle_event(&mut self, now: i64, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        self.link.handle_event(now, reactor, event)
    }

    /// It drains from now on; and leaves then, if that is wanted.
    pub(crate) fn drain(&mut self, now: i64, leave: bool) {
        self.record.state = MemberState::Draining;
        self.link.client_mut().announce(serde_json::to_vec(&self.record).unwrap_or_default());
        if leave && self.leaving == Leaving::No {
            self.leaving = Leaving::Drains(now.saturating_add(self.leave_within_us));
        }
    }

    /// Whether it is gone from the registry, or has waited long enough for that.
    pub(crate) fn has_left(&mut self, now: i64, idle: bool) -> bool {
        match self.leaving {
            Leaving::No => false,
            Leaving::Done => true,
            Leaving::Revokes(_, until) => now >= until,
            // Calls may be on their way while routers hear of the drain: an idle moment just after it is no end.
            Leaving::Drains(until)
                if now >= until || (idle && now >= until - self.leave_within_us + 500_000) =>
            {
                self.leaving = match self.link.client_mut().leave() {
                    Some(ticket) => Leaving::Revokes(ticket, now.saturating_add(REVOKE_WITHIN_US)),
                    None => Leaving::Done,
                };
                false
            }
            Leaving::Drains(_) => false,
        }
    }
}
