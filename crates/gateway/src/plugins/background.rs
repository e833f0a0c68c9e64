//! The background worker of a running gateway: disk access, hashing and pulls for its plug-ins. The event
//! loop submits tasks and is woken when they end, so that no call waits for a disk sync or for a registry.
//!
//! Tasks run one after another in the order of submission, so a task that moves an alias finds the version
//! that an earlier pull fetched. Between tasks, stored content is verified again (scrubbed) at the configured
//! rate, so that corruption is found while the gateway runs.

use super::command::{execute, Command, CommandError, Context};
use super::folder::{unix_ms, whole_versions, FolderError, PluginFolder, WholeVersion};
use crate::clock::Clock;
use serde_json::Value;
use slatevalve_oci::PullSettings;
use slatevalve_plugins::{Catalogue, Digest};
use slatevalve_reactor::{Id, Waker};
use std::collections::{BTreeSet, VecDeque};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Capacity of the task queue.
const MAX_QUEUED_TASKS: usize = 256;
/// Bounds of the pause between two scrubbed blobs, in seconds.
const SCRUB_PAUSE_MIN_SECS: f64 = 0.001;
const SCRUB_PAUSE_MAX_SECS: f64 = 60.0;
/// Pause before scrubbing is tried again when it is disabled or there is nothing to scrub.
const SCRUB_PAUSE: Duration = Duration::from_secs(5);

/// The source of a task, which receives its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A connection to the admin socket.
    Admin(Id),
    /// Calls that need a version that is not stored or is corrupt.
    Calls,
    /// A rollout that was rolled back.
    Rollout,
    /// SIGHUP.
    Signal,
    /// The scrubber of the background worker itself.
    Scrub,
}

/// A task of the background worker.
#[derive(Debug)]
pub struct Task {
    /// Receives the result.
    pub requester: Requester,
    /// The command to execute.
    pub command: Command,
    /// Content that open calls need; garbage collection keeps it even if its version is deleted.
    pub keep: BTreeSet<Digest>,
}

/// An event of the background worker.
#[derive(Debug)]
pub enum BackgroundEvent {
    /// Progress of a task: bytes or versions done, and the total.
    Progress(Requester, u64, u64),
    /// A task ended.
    Ended {
        /// The source of the task.
        requester: Requester,
        /// The command that was executed.
        command: Command,
        /// The answer, or why the command failed.
        outcome: Result<Value, CommandError>,
        /// The catalogue, read again; `None` if the command cannot have changed it.
        catalogue: Option<Result<Box<Catalogue>, FolderError>>,
    },
}

/// Settings of a [`BackgroundWorker`].
pub struct BackgroundWorkerSettings {
    /// The registry to pull from; `None` if none is configured.
    pub registry: Option<PullSettings>,
    /// Bytes of content scrubbed per second; 0 disables scrubbing.
    pub scrub_per_s: u64,
    /// Clock for the timeouts and retries of pulls.
    pub clock: Clock,
}

/// Handle of the background thread; dropping it stops the thread and waits until it has ended.
pub struct BackgroundWorker {
    tasks: Option<SyncSender<Box<Task>>>,
    events: Receiver<BackgroundEvent>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundWorker {
    /// Opens the folder and starts the thread.
    ///
    /// # Errors
    /// If the folder cannot be opened or the thread cannot be started.
    pub fn start(
        folder: &Path,
        settings: BackgroundWorkerSettings,
        waker: Waker,
    ) -> Result<Self, FolderError> {
        let folder_opened = PluginFolder::open(folder)?;
        let (tasks, task_queue) = mpsc::sync_channel(MAX_QUEUED_TASKS);
        let (event_sender, events) = mpsc::channel();
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            folder: folder_opened,
            settings,
            stop: stop.clone(),
            event_sender,
            waker,
            scrub: VecDeque::new(),
        };
        let thread = thread::Builder::new().name("plug-ins".into()).spawn(move || worker.run(&task_queue));
        let thread = Some(thread.map_err(|e| FolderError::Io(folder.into(), e))?);
        Ok(BackgroundWorker { tasks: Some(tasks), events, stop, thread })
    }

    /// Queues a task; `false` where the queue is full.
    pub fn submit(&self, task: Task) -> bool {
        // A task that does not fit is dropped; the caller reports that to the requester.
        self.tasks.as_ref().is_some_and(|tasks| tasks.try_send(Box::new(task)).is_ok())
    }

    /// Returns the events since the last call, without waiting.
    pub fn drain_events(&self) -> Vec<BackgroundEvent> {
        self.events.try_iter().collect()
    }
}

impl Drop for BackgroundWorker {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A blob to be verified, with one version that needs it.
struct ScrubItem {
    /// Formatted as `NAME@VERSION`.
    version: String,
    /// The version's digest.
    digest: Digest,
    blob: Digest,
}

/// All blobs of all complete versions that are not in quarantine.
fn scrub_items(catalogue: &Catalogue) -> Vec<ScrubItem> {
    let mut items = Vec::new();
    for WholeVersion { name, version, digest } in whole_versions(catalogue) {
        if catalogue.quarantined(&digest).is_some() {
            continue;
        }
        let layers = catalogue.layers(&name, &version).unwrap_or_default();
        let blobs = layers.iter().map(|layer| layer.digest).chain([digest]);
        items.extend(blobs.map(|blob| ScrubItem { version: format!("{name}@{version}"), digest, blob }));
    }
    items
}

struct Worker {
    folder: PluginFolder,
    settings: BackgroundWorkerSettings,
    stop: Arc<AtomicBool>,
    event_sender: mpsc::Sender<BackgroundEvent>,
    waker: Waker,
    /// Blobs still to be verified in this round.
    scrub: VecDeque<ScrubItem>,
}

impl Worker {
    /// Executes tasks and scrubs until the handle is dropped.
    fn run(mut self, task_queue: &Receiver<Box<Task>>) {
        let mut wait = SCRUB_PAUSE;
        while !self.stop.load(Ordering::Relaxed) {
            match task_queue.recv_timeout(wait) {
                Ok(task) => self.execute(*task),
                Err(RecvTimeoutError::Timeout) => wait = self.scrub_next(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn notify(&self, event: BackgroundEvent) {
        if self.event_sender.send(event).is_ok() {
            self.waker.wake();
        }
    }

    fn execute(&mut self, task: Task) {
        let Task { requester, command, keep } = task;
        let (event_sender, waker) = (self.event_sender.clone(), &self.waker);
        let mut last = 0;
        let mut progress = |(done, of): (u64, u64)| {
            // Reported once per percent, as the reader may be a person at a terminal.
            let percent = done.saturating_mul(100).checked_div(of).unwrap_or(0);
            if percent > last {
                last = percent;
                let _ = event_sender.send(BackgroundEvent::Progress(requester, done, of));
                waker.wake();
            }
        };
        let outcome = match command {
            Command::Reload => Ok(Value::Null),
            _ => {
                let mut context = Context {
                    registry: self.settings.registry.as_ref(),
                    clock: &self.settings.clock,
                    stop: &self.stop,
                    keep: &keep,
                    progress: &mut progress,
                };
                execute(&mut self.folder, &command, &mut context)
            }
        };
        let catalogue = command.changes().then(|| self.folder.catalogue().map(Box::new));
        self.notify(BackgroundEvent::Ended { requester, command, outcome, catalogue });
    }

    /// Verifies one blob; returns the pause before the next one, so that the configured rate is kept.
    fn scrub_next(&mut self) -> Duration {
        if self.settings.scrub_per_s == 0 {
            return SCRUB_PAUSE;
        }
        if self.scrub.is_empty() {
            let Ok(catalogue) = self.folder.catalogue() else { return SCRUB_PAUSE };
            self.scrub.extend(scrub_items(&catalogue));
        }
        let Some(ScrubItem { version, digest, blob }) = self.scrub.pop_front() else { return SCRUB_PAUSE };
        let size = match self.folder.store.read(&blob) {
            Ok(content) => content.len() as u64,
            Err(error) => {
                self.quarantine(version, digest, &format!("{blob}: {error}"));
                0
            }
        };
        let pause_secs = size.max(1) as f64 / self.settings.scrub_per_s as f64;
        Duration::from_secs_f64(pause_secs.clamp(SCRUB_PAUSE_MIN_SECS, SCRUB_PAUSE_MAX_SECS))
    }

    /// Quarantines a version whose content is missing or corrupt, and notifies the event loop.
    fn quarantine(&mut self, version: String, digest: Digest, reason: &str) {
        let changed = self.folder.change(|catalogue, _| {
            // The version may have been deleted since the round of scrubbing began.
            if catalogue.reachable().contains(&digest) {
                catalogue.quarantine(digest, reason, unix_ms());
            }
            Ok(())
        });
        let command = Command::Quarantine { reference: version, reason: reason.into() };
        let outcome = changed.map(|()| Value::Null).map_err(CommandError::from);
        let catalogue = Some(self.folder.catalogue().map(Box::new));
        self.notify(BackgroundEvent::Ended { requester: Requester::Scrub, command, outcome, catalogue });
    }
}
