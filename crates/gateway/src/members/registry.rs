//! The registry as a source of members. Runs the registry's client on the event loop's sockets, converts its
//! changes into membership events, derives the number of routers, and saves a snapshot for the next process.

use super::{MembershipEvent, Source};
use crate::remembered_file::RememberedFile;
use slatevalve::Micros;
use slatevalve_reactor::{Reactor, ReactorEvent};
use slatevalve_registry::{
    router_key, AppliedChanges, Change, ClientEvent, ClientSettings, Freshness, LoadedSnapshot, MemberChange,
    Members, RouterCount, RouterCountSettings, RouterRecord,
};
use slatevalve_registry_transport::Link;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::{error, info, warn};

/// The parsed `members` form of the settings file.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Settings of the client; [`RegistrySource::new`] sets `own` to this router's entry.
    pub client: ClientSettings,
    /// Addresses of the endpoints, in the order of `client.endpoints`.
    pub addresses: Vec<SocketAddr>,
    /// How fast the assumed number of routers follows the listed one.
    pub router_count: RouterCountSettings,
    /// The file in which the snapshot for the next process is saved; `None` saves none.
    pub remember: Option<PathBuf>,
    /// The file in which events are recorded; `None` records none.
    pub record: Option<PathBuf>,
}

/// What the balancer was last informed of.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reported {
    /// Nothing yet, except perhaps the list of a snapshot.
    Nothing,
    /// A complete list, and all changes since then.
    Current,
    /// That the list is stale.
    Stale,
}

/// The progress of an orderly stop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// No stop was requested.
    Running,
    /// The revocation of the lease is in flight; holds its ticket.
    Revoking(u64),
    Done,
}

/// A [`Source`] that follows the registry; see the module's documentation.
pub struct RegistrySource {
    link: Link,
    members: Members,
    router_count: RouterCount,
    /// The number of routers that the registry lists; none before the first count.
    listed_routers: Option<usize>,
    events: Vec<MembershipEvent>,
    reported: Reported,
    snapshot_file: Option<RememberedFile>,
    departure: Departure,
}

impl RegistrySource {
    /// Creates a source that registers this router as `name` with the given record, and assumes `routers`
    /// routers until the registry was read.
    pub fn new(settings: MemberSettings, name: &str, record: &RouterRecord, routers: usize) -> Self {
        let mut client = settings.client;
        let value = serde_json::to_vec(record).unwrap_or_default();
        client.own = Some((router_key(&client.prefix, name), value));
        let members = Members::new(&client.prefix);
        let mut source = RegistrySource {
            link: Link::new(client, settings.addresses),
            members,
            router_count: RouterCount::new(settings.router_count, routers),
            listed_routers: None,
            events: Vec::new(),
            reported: Reported::Nothing,
            snapshot_file: None,
            departure: Departure::Running,
        };
        if let Some(path) = settings.remember {
            source.load_snapshot(&path, settings.router_count);
            source.snapshot_file = Some(RememberedFile::open(path, "list"));
        }
        source
    }

    /// Loads the snapshot of an earlier process, which is used until the registry answers.
    fn load_snapshot(&mut self, path: &Path, settings: RouterCountSettings) {
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return,
            Err(error) => return warn!(path = %path.display(), %error, "cannot read the worker snapshot"),
        };
        let LoadedSnapshot { changes, clients: routers } =
            match self.link.client_mut().watch_state_mut().load_snapshot(&bytes) {
                Ok(snapshot) => snapshot,
                Err(error) => return warn!(path = %path.display(), %error, "cannot read the worker snapshot"),
            };
        // The number before the restart is a better estimate than the configured one, in particular if all
        // routers restart at the same time.
        if routers > self.router_count.routers() {
            self.router_count = RouterCount::new(settings, routers);
            self.report_routers(routers);
        }
        let AppliedChanges { errors, .. } = self.members.apply(changes);
        errors.iter().for_each(|error| warn!(%error, "a record is not taken"));
        info!(workers = self.members.workers().len(), "loaded the worker snapshot");
        self.events.push(MembershipEvent::Remembered(self.members.workers().clone()));
    }

    fn report_routers(&mut self, routers: usize) {
        self.link.client_mut().set_clients(routers);
        self.events.push(MembershipEvent::Routers(routers));
    }

    /// Converts the client's events into membership events, and saves a snapshot after a change.
    fn process_client_events(&mut self, now: Micros) {
        let mut members_changed = false;
        for event in self.link.take_events() {
            match event {
                ClientEvent::Changes(changes) => {
                    self.apply_changes(changes);
                    members_changed = true;
                }
                ClientEvent::WatchFault(fault) => {
                    warn!(?fault, "registry: the list is compared anew, or the watch restarted")
                }
                ClientEvent::Failed(reason) => warn!(%reason, "registry: request failed"),
                ClientEvent::Registered => info!("registered"),
                ClientEvent::Routers(count) => self.listed_routers = Some(count),
                ClientEvent::LeaseLost => warn!("registry: our lease was lost; registering again"),
                ClientEvent::Answered(ticket, _) => {
                    if self.departure == Departure::Revoking(ticket) {
                        self.departure = Departure::Done;
                    }
                }
            }
        }
        let freshness = self.link.client().watch_state().freshness(now.0);
        self.report_freshness(freshness);
        let routers_changed = self.update_router_count(now, freshness);
        if members_changed || routers_changed {
            self.save_snapshot();
        }
    }

    fn apply_changes(&mut self, changes: Vec<Change>) {
        let AppliedChanges { changes, errors } = self.members.apply(changes);
        errors.iter().for_each(
            |error| warn!(%error, "a record is not taken; the previous record of this member remains in use"),
        );
        if self.reported != Reported::Current {
            // The complete list, which contains these changes, is reported once the client is current.
            return;
        }
        let workers = changes.into_iter().filter_map(|change| match change {
            MemberChange::Worker(name, record) => Some((name, Some(record))),
            MemberChange::WorkerRemoved(name) => Some((name, None)),
            MemberChange::Routers(_) => None,
        });
        let workers: Vec<_> = workers.collect();
        if !workers.is_empty() {
            self.events.push(MembershipEvent::Changes(workers));
        }
    }

    /// Reports the complete list when the client becomes current, and a loss of the registry when it becomes
    /// stale.
    fn report_freshness(&mut self, freshness: Freshness) {
        match freshness {
            Freshness::Current if self.reported != Reported::Current => {
                self.reported = Reported::Current;
                self.events.push(MembershipEvent::Full(self.members.workers().clone()));
            }
            Freshness::Stale if self.reported != Reported::Stale => {
                self.reported = Reported::Stale;
                error!("nothing is heard of the registry; the last known workers remain in use");
                self.events.push(MembershipEvent::Refused);
            }
            _ => {}
        }
    }

    /// Updates the assumed number of routers; returns whether it changed.
    fn update_router_count(&mut self, now: Micros, freshness: Freshness) -> bool {
        let Some(listed) = self.listed_routers else { return false };
        let Some(routers) = self.router_count.listed(now.0, listed, freshness) else { return false };
        info!(routers, "routers");
        self.report_routers(routers);
        true
    }

    fn save_snapshot(&self) {
        if let Some(file) = &self.snapshot_file {
            file.write(self.link.client().watch_state().to_snapshot(self.router_count.routers()));
        }
    }
}

impl Source for RegistrySource {
    fn handle_event(&mut self, now: Micros, reactor: &mut Reactor, event: &ReactorEvent) -> bool {
        let handled = self.link.handle_event(now.0, reactor, event);
        if handled {
            self.process_client_events(now);
        }
        handled
    }

    fn advance(&mut self, now: Micros, reactor: &mut Reactor) {
        self.link.advance(now.0, reactor);
        self.process_client_events(now);
    }

    fn next_wake(&self, now: Micros) -> Micros {
        let stale_at_us = self.link.client().watch_state().stale_at_us();
        let timers = [stale_at_us.filter(|_| self.reported == Reported::Current), self.router_count.due_us()];
        let due_us = timers.into_iter().flatten().fold(self.link.next_wake(now.0), i64::min);
        Micros(due_us.max(now.0))
    }

    fn take_membership_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    fn leave(&mut self, now: Micros, reactor: &mut Reactor) {
        self.departure = match self.link.client_mut().leave() {
            Some(ticket) => Departure::Revoking(ticket),
            None => Departure::Done,
        };
        self.link.advance(now.0, reactor);
    }

    fn is_deregistered(&self) -> bool {
        self.departure == Departure::Done
    }
}
