//! The registration of a test worker: its record in the registry, its drain, and the revocation of its lease.

use super::plan::RegisterPlan;
use crate::clock::unix_micros;
use slatevalve_pacing::{derive_seed, Limits};
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::{
    worker_key, ClientEvent, ClientSettings, MemberState, RegistrationSettings, WatchScope, WatchSettings,
    WorkerRecord,
};
use slatevalve_registry_transport::Link;
use std::net::SocketAddr;

/// The longest wait for the response to the revocation of the lease, in microseconds.
const REVOKE_TIMEOUT_US: i64 = 1_000_000;
/// The minimum time from the drain to the end of an idle worker, in microseconds: routers that have not yet
/// received the drain may still send calls.
const DRAIN_GRACE_US: i64 = 500_000;
const DRAIN_WITHIN_US: i64 = 12_000_000;
const REQUEST_TIMEOUT_US: i64 = 1_000_000;

/// The state of the deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deregistration {
    NotRequested,
    /// Waits for the calls to complete, until the deadline.
    Draining {
        deadline_us: i64,
    },
    /// Waits for the response to the revocation of the lease, until the deadline.
    Revoking {
        ticket: u64,
        deadline_us: i64,
    },
    Completed,
}

/// Whether a worker deregisters and ends after its drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterDrain {
    Stay,
    Deregister,
}

pub(super) struct Registration {
    link: Link,
    record: WorkerRecord,
    leave_within_us: i64,
    deregistration: Deregistration,
}

impl Registration {
    pub(super) fn new(name: &str, address: SocketAddr, plan: RegisterPlan, seed: u64) -> Self {
        let record = WorkerRecord {
            address,
            zone: plan.zone,
            kind: "default".into(),
            cell: plan.cell,
            weight: 1.0,
            state: MemberState::Ready,
            up_since_unix_ms: Some(unix_micros() as f64 / 1_000.0),
        };
        let settings = ClientSettings {
            endpoints: plan.endpoints.iter().map(ToString::to_string).collect(),
            own: Some((worker_key(&plan.prefix, name), encode(&record))),
            prefix: plan.prefix,
            login: None,
            relays: 0,
            follow: WatchScope::Nothing,
            watch_state: WatchSettings::default(),
            registration: RegistrationSettings { ttl_s: plan.ttl_s },
            pace: Limits::default(),
            clients: 1,
            drain_within_us: DRAIN_WITHIN_US,
            timeout_us: REQUEST_TIMEOUT_US,
            seed: derive_seed(seed, name),
        };
        let mut link = Link::new(settings, plan.endpoints);
        // The lease of a worker is short: with the poll schedule of one client among hundreds of routers it
        // would expire.
        link.client_mut().set_clients(1);
        Registration {
            link,
            record,
            leave_within_us: plan.leave_within_us,
            deregistration: Deregistration::NotRequested,
        }
    }

    /// The time of the next call of [`Registration::advance`], in microseconds of the Unix clock.
    pub(super) fn next_wake(&self, now: i64) -> i64 {
        let deadline_us = match self.deregistration {
            Deregistration::NotRequested | Deregistration::Completed => i64::MAX,
            Deregistration::Draining { deadline_us } | Deregistration::Revoking { deadline_us, .. } => {
                deadline_us
            }
        };
        self.link.next_wake(now).min(deadline_us)
    }

    pub(super) fn advance(&mut self, now: i64, reactor: &mut Reactor) {
        self.link.advance(now, reactor);
        for event in self.link.take_events() {
            let ClientEvent::Answered(answered, _) = &event else { continue };
            if matches!(self.deregistration, Deregistration::Revoking { ticket, .. } if ticket == *answered) {
                self.deregistration = Deregistration::Completed;
            }
        }
    }

    /// Handles an event; returns whether it belongs to the registry connection.
    pub(super) fn handle_event(&mut self, now: i64, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        self.link.handle_event(now, reactor, event)
    }

    /// Publishes the draining state; with [`AfterDrain::Deregister`] starts the deregistration.
    pub(super) fn drain(&mut self, now: i64, after: AfterDrain) {
        self.record.state = MemberState::Draining;
        self.link.client_mut().announce(encode(&self.record));
        if after == AfterDrain::Deregister && self.deregistration == Deregistration::NotRequested {
            let deadline_us = now.saturating_add(self.leave_within_us);
            self.deregistration = Deregistration::Draining { deadline_us };
        }
    }

    /// Revokes the lease when that is due. Returns whether the worker is deregistered or the deadline for
    /// that has passed.
    pub(super) fn is_deregistered(&mut self, now: i64, is_idle: bool) -> bool {
        match self.deregistration {
            Deregistration::NotRequested => false,
            Deregistration::Completed => true,
            Deregistration::Revoking { deadline_us, .. } => now >= deadline_us,
            Deregistration::Draining { deadline_us } => {
                let grace_ends_us = deadline_us - self.leave_within_us + DRAIN_GRACE_US;
                if now >= deadline_us || (is_idle && now >= grace_ends_us) {
                    self.revoke(now);
                }
                false
            }
        }
    }

    fn revoke(&mut self, now: i64) {
        self.deregistration = match self.link.client_mut().leave() {
            Some(ticket) => {
                Deregistration::Revoking { ticket, deadline_us: now.saturating_add(REVOKE_TIMEOUT_US) }
            }
            None => Deregistration::Completed,
        };
    }
}

fn encode(record: &WorkerRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}
