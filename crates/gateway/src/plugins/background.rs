//! The background worker of a running gateway: disk access, hashing and pulls for its plug-ins. The event loop submits tasks
//! and is woken when they end, so that no call waits for a sync or for a registry.
//!
//! Tasks run one after another in the order of submission, so an alias moved after a pull finds what the pull fetched. In
//! between, stored content is verified again (scrubbed) at a stated rate: corruption is found while the gateway runs.

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

/// Tasks that may be queued.
const MAX_QUEUED_TASKS: usize = 256;
/// Bounds of the pause between two blobs, in seconds.
const SCRUB_PAUSE_MIN_SECS: f64 = 0.001;
const SCRUB_PAUSE_MAX_SECS: f64 = 60.0;
/// Pause before a folder without content is scrubbed again.
const SCRUB_PAUSE: Duration = Duration::from_secs(5);

/// Who is told when a task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A connection to the admin socket.
    Admin(Id),
    /// Calls that need a version.
    Calls,
    /// A roll-out that went back.
    Rollout,
    /// SIGHUP.
    Signal,
    /// Nobody: content was scrubbed.
    Scrub,
}

/// A task.
#[derive(Debug)]
pub struct Task {
    /// Who wants its end.
    pub requester: Requester,
    /// What is to be done.
    pub command: Command,
    /// Content that must stay whatever the catalogue says: calls that are open need it.
    pub keep: BTreeSet<Digest>,
}

/// An event of the background worker.
#[derive(Debug)]
pub enum BackgroundEvent {
    /// A task is at work: bytes or blobs done, and of how many.
    Progress(Requester, u64, u64),
    /// A task ended. Where the folder may have changed, the catalogue as it stands now.
    Ended {
        /// Who wanted it.
        requester: Requester,
        /// What it was.
        command: Command,
        /// What came of it.
        outcome: Result<Value, CommandError>,
        /// The catalogue, read again.
        catalogue: Option<Result<Box<Catalogue>, FolderError>>,
    },
}

/// Settings of a [`BackgroundWorker`].
pub struct BackgroundWorkerSettings {
    /// Where pulls come from.
    pub registry: Option<PullSettings>,
    /// Bytes of content scrubbed per second; 0 for none.
    pub scrub_per_s: u64,
    /// The clock of pulls.
    pub clock: Clock,
}

/// The event loop's handle of the thread; dropping it stops the thread and waits for its end.
pub struct BackgroundWorker {
    tasks: Option<SyncSender<Box<Task>>>,
    told: Receiver<BackgroundEvent>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundWorker {
    /// Starts the thread on a folder.
    ///
    /// # Errors
    /// When the folder cannot be opened or no thread is to be had.
    pub fn start(
        folder: &Path,
        settings: BackgroundWorkerSettings,
        waker: Waker,
    ) -> Result<Self, FolderError> {
        let folder_opened = PluginFolder::open(folder)?;
        let (tasks, to_do) = mpsc::sync_channel(MAX_QUEUED_TASKS);
        let (tell, told) = mpsc::channel();
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            folder: folder_opened,
            settings,
            stop: stop.clone(),
            tell,
            waker,
            scrub: VecDeque::new(),
        };
        let thread = thread::Builder::new().name("plug-ins".into()).spawn(move || worker.run(&to_do));
        let thread = Some(thread.map_err(|e| FolderError::Io(folder.into(), e))?);
        Ok(BackgroundWorker { tasks: Some(tasks), told, stop, thread })
    }

    /// Queues a task; `false` where the queue is full.
    pub fn submit(&self, task: Task) -> bool {
        // Dropped where it finds no room: whoever asked is told so.
        self.tasks.as_ref().is_some_and(|tasks| tasks.try_send(Box::new(task)).is_ok())
    }

    /// Events since the last call.
    pub fn drain_events(&self) -> Vec<BackgroundEvent> {
        self.told.try_iter().collect()
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

/// A blob to be verified, with the version that needs it.
struct ScrubItem {
    /// NAME@VERSION.
    version: String,
    /// The version's digest.
    digest: Digest,
    blob: Digest,
}

/// Every blob of every whole version that is not in quarantine.
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
    tell: mpsc::Sender<BackgroundEvent>,
    waker: Waker,
    /// Blobs still to be verified in this round.
    scrub: VecDeque<ScrubItem>,
}

impl Worker {
    /// Executes tasks and scrubs until the handle is dropped.
    fn run(mut self, to_do: &Receiver<Box<Task>>) {
        let mut wait = SCRUB_PAUSE;
        while !self.stop.load(Ordering::Relaxed) {
            match to_do.recv_timeout(wait) {
                Ok(task) => self.execute(*task),
                Err(RecvTimeoutError::Timeout) => wait = self.scrub_next(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn notify(&self, event: BackgroundEvent) {
        if self.tell.send(event).is_ok() {
            self.waker.wake();
        }
    }

    fn execute(&mut self, task: Task) {
        let Task { requester, command, keep } = task;
        let (tell, waker) = (self.tell.clone(), &self.waker);
        let mut last = 0;
        let mut progress = |(done, of): (u64, u64)| {
            // A line for each hundredth, as whoever reads it may be a person.
            let hundredth = done.saturating_mul(100).checked_div(of).unwrap_or(0);
            if hundredth > last {
                last = hundredth;
                let _ = tell.send(BackgroundEvent::Progress(requester, done, of));
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

    /// Verifies one blob; returns the pause before the next, by the stated rate.
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

    /// Takes a version out of use whose content is missing or corrupt, and says so to the event loop.
    fn quarantine(&mut self, version: String, digest: Digest, reason: &str) {
        let changed = self.folder.change(|catalogue, _| {
            // It may be gone from the catalogue since the round began.
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
