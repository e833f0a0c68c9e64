//! Plug-ins in the running gateway: which version of its function a call runs, and rollouts of `current`.
//!
//! It connects the catalogue, one [`Rollout`](slatevalve_plugins::Rollout) for each function whose `current`
//! moved, and the engine; the decisions are theirs. A call's version is fixed when the call is accepted
//! (`calls`); its result is counted by the rollout that it was part of (`rollouts`). Commands run on a
//! background worker (`commands`).

mod calls;
mod commands;
mod rollouts;

use crate::clock::Clock;
use crate::plugins::background::{BackgroundWorker, BackgroundWorkerSettings, Requester, Task};
use crate::plugins::command::Command;
use crate::plugins::folder::{unix_ms, verify, FolderError, PluginFolder, QuarantinedVersion};
use crate::settings::{PluginSettings, Site};
use calls::OpenCall;
use commands::PullStatistics;
use rollouts::{ActiveRollout, RolledBack};
use slatevalve::Micros;
use slatevalve_engine::{Engine, Output, Ticket};
use slatevalve_oci::{PullQueue, PullQueueSettings};
use slatevalve_plugins::{AdmissionPolicy, Catalogue, CatalogueError, Digest, Reference, Resolved, Selector};
use slatevalve_reactor::Waker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use tracing::{error, warn};

/// Name and latency objective of a class: a version is refused for calls of another class, and rollouts count
/// late calls.
struct ClassObjective {
    name: String,
    latency_objective: Micros,
}

/// The plug-ins of a running gateway.
pub(super) struct PluginHost {
    settings: PluginSettings,
    background: BackgroundWorker,
    catalogue: Catalogue,
    /// The version that `current` of each function means for calls outside an active rollout.
    stable: BTreeMap<String, Resolved>,
    rollouts: BTreeMap<String, ActiveRollout>,
    /// By function, the version that was rolled back; it is not rolled out again until the alias is moved
    /// again.
    rolled_back: BTreeMap<String, RolledBack>,
    calls: HashMap<Ticket, OpenCall>,
    /// Indexed by class id.
    classes: Vec<ClassObjective>,
    /// A load request without a loaded copy after this time has failed.
    load_timeout: Micros,
    /// Time at which rollouts are advanced next.
    rollouts_due: Micros,
    /// Versions to be pulled because a call needed them or their content is corrupt.
    pull_queue: PullQueue,
    pulls: PullStatistics,
}

/// Name of a version of a function in the engine and on workers.
fn run_name(name: &str, digest: &Digest) -> Arc<str> {
    format!("{name}@{digest}").into()
}

impl PluginHost {
    /// Reads the folder and verifies its content; corrupt versions are quarantined before the first call is
    /// accepted.
    ///
    /// # Errors
    /// If the folder cannot be read, or the background worker cannot be started.
    pub(super) fn open(
        settings: PluginSettings,
        site: &Site,
        clock: Clock,
        waker: Waker,
    ) -> Result<Self, FolderError> {
        let now = clock.now();
        let catalogue = open_catalogue(&settings)?;
        let worker_settings = BackgroundWorkerSettings {
            registry: settings.registry.clone(),
            scrub_per_s: settings.scrub_per_s,
            clock,
        };
        let classes = site.classes.iter().zip(&site.engine.balancer.classes);
        let mut host = PluginHost {
            classes: classes
                .map(|(name, class)| ClassObjective {
                    name: name.clone(),
                    latency_objective: class.latency_objective,
                })
                .collect(),
            load_timeout: site.engine.balancer.loading.load_timeout,
            background: BackgroundWorker::start(&settings.folder, worker_settings, waker)?,
            settings,
            catalogue,
            stable: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            rolled_back: BTreeMap::new(),
            calls: HashMap::new(),
            rollouts_due: now,
            pull_queue: PullQueue::new(PullQueueSettings::default(), site.engine.seed),
            pulls: PullStatistics::default(),
        };
        for name in host.names() {
            if let Ok(current) = host.current(&name) {
                host.stable.insert(name, current);
            }
        }
        host.repair(now);
        Ok(host)
    }

    /// Queues a reload of the folder.
    pub(super) fn reload(&self) {
        if !self.submit(Requester::Signal, Command::Reload) {
            warn!("plug-in folder not reloaded: the task queue is full");
        }
    }

    /// Replaces the conditions that versions must meet, as keys may change while a gateway runs.
    pub(super) fn set_admission_policy(&mut self, policy: AdmissionPolicy) {
        self.catalogue.set_admission_policy(policy.clone());
        self.settings.admission_policy = policy;
    }

    /// Starts the next pull, and advances rollouts.
    pub(super) fn advance(&mut self, now: Micros, engine: &mut Engine, outputs: &mut Vec<Output>) {
        self.start_next_pull(now);
        self.advance_rollouts(now, engine, outputs);
    }

    fn start_next_pull(&mut self, now: Micros) {
        let Some(reference) = self.pull_queue.begin() else { return };
        let Some((name, version)) = reference.split_once('@') else { return };
        let command = Command::Pull { name: name.into(), version: version.into() };
        if !self.submit(Requester::Calls, command) {
            self.pull_queue.ended(now.0, false);
        }
    }

    fn names(&self) -> Vec<String> {
        self.catalogue.names().map(str::to_string).collect()
    }

    fn current(&self, name: &str) -> Result<Resolved, CatalogueError> {
        self.catalogue.resolve(&Reference { name: name.into(), selector: Selector::Current })
    }

    /// Queues a pull of every version with corrupt content, if a registry is configured. Versions that an
    /// operator quarantined stay in quarantine.
    fn repair(&mut self, now: Micros) {
        if self.settings.registry.is_none() {
            return;
        }
        for name in self.names() {
            for version in self.catalogue.versions(&name).unwrap_or_default() {
                if version.quarantine.is_some_and(|quarantine| !quarantine.by_operator) {
                    self.pull_queue.enqueue(now.0, &format!("{name}@{}", version.version));
                }
            }
        }
    }

    /// Submits a command to the background worker; `false` if its queue is full.
    #[must_use]
    fn submit(&self, requester: Requester, command: Command) -> bool {
        // Garbage collection must keep the content of open calls even if their version was deleted.
        let keep = if command == Command::Gc { self.catalogue.reachable() } else { BTreeSet::new() };
        self.background.submit(Task { requester, command, keep })
    }
}

/// Verifies the folder's content and reads its catalogue, with the admission policy of the settings.
fn open_catalogue(settings: &PluginSettings) -> Result<Catalogue, FolderError> {
    let mut folder = PluginFolder::open(&settings.folder)?;
    let corrupt = folder.change(|catalogue, store| Ok(verify(catalogue, store, unix_ms(), &mut |_| {})))?;
    for QuarantinedVersion { version, reason, .. } in corrupt {
        error!(version, reason, "in quarantine: content does not match its digest");
    }
    let mut catalogue = folder.catalogue()?;
    catalogue.set_admission_policy(settings.admission_policy.clone());
    for (digest, reason) in catalogue.barred() {
        warn!(%digest, %reason, "version is not allowed to run here");
    }
    Ok(catalogue)
}
