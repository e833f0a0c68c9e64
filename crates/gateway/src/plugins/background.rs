//! The thread in which a running gateway does for its plug-ins what takes its time: disk, hashes, pulls. The loop hands
//! it tasks and is woken for their ends, so that no call waits for a sync or for a registry.
//!
//! Tasks are done one after another, in order, so an alias moved behind a pull finds what the pull brought. In between,
//! content is looked at again at a stated rate: rot on the disk is found while the gateway runs, not at its next start.

use super::command::{carry_out, Command, CommandError, Context};
use super::folder::{unix_ms, whole_versions, FolderError, PluginFolder};
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

/// Tasks that may wait.
const QUEUE: usize = 256;
/// A folder without content is looked at again after this.
const REST: Duration = Duration::from_secs(5);

/// Who wants a task's end.
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
    /// Nobody: content was looked at again.
    Scrub,
}

/// A task.
#[derive(Debug)]
pub struct Task {
    /// Who wants its end.
    pub asker: Requester,
    /// What is to be done.
    pub command: Command,
    /// Content that must stay whatever the catalogue says: calls that are open need it.
    pub keep: BTreeSet<Digest>,
}

/// What the thread tells.
#[derive(Debug)]
pub enum Told {
    /// A task is at work: bytes or blobs done, and of how many.
    Progress(Requester, u64, u64),
    /// A task ended. Where the folder may have changed, the catalogue as it stands now.
    Ended {
        /// Who wanted it.
        asker: Requester,
        /// What it was.
        command: Command,
        /// What came of it.
        outcome: Result<Value, CommandError>,
        /// The catalogue, read again.
        catalogue: Option<Result<Box<Catalogue>, FolderError>>,
    },
}

/// What the thread is told at its start.
pub struct BackgroundWorkerSettings {
    /// Where pulls come from.
    pub registry: Option<PullSettings>,
    /// Bytes of content that are looked at again in a second; 0 for none.
    pub scrub_per_s: u64,
    /// The clock of pulls.
    pub clock: Clock,
}

/// The loop's handle of the thread.
pub struct BackgroundWorker {
    tasks: Option<SyncSender<Box<Task>>>,
    told: Receiver<Told>,
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
        let (tasks, to_do) = mpsc::sync_channel(QUEUE);
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

    /// Hands in a task; `false` where too many wait.
    pub fn submit(&self, task: Task) -> bool {
        // Dropped where it finds no room: whoever asked is told so.
        self.tasks.as_ref().is_some_and(|tasks| tasks.try_send(Box::new(task)).is_ok())
    }

    /// What was told since the last time.
    pub fn told(&self) -> Vec<Told> {
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

struct Worker {
    folder: PluginFolder,
    settings: BackgroundWorkerSettings,
    stop: Arc<AtomicBool>,
    tell: mpsc::Sender<Told>,
    waker: Waker,
    /// What is still to be looked at in this round: version, its digest, and a blob of it.
    scrub: VecDeque<(String, Digest, Digest)>,
}

impl Worker {
    fn run(mut self, to_do: &Receiver<Box<Task>>) {
        let mut wait = REST;
        while !self.stop.load(Ordering::Relaxed) {
            match to_do.recv_timeout(wait) {
                Ok(task) => self.carry_out(*task),
                Err(RecvTimeoutError::Timeout) => wait = self.look_again(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn say(&self, told: Told) {
        if self.tell.send(told).is_ok() {
            self.waker.wake();
        }
    }

    fn carry_out(&mut self, task: Task) {
        let Task { asker, command, keep } = task;
        let (tell, waker) = (self.tell.clone(), &self.waker);
        let mut last = 0;
        let mut told = |(done, of): (u64, u64)| {
            // A line for each hundredth, as whoever reads it may be a person.
            let hundredth = done.saturating_mul(100).checked_div(of).unwrap_or(0);
            if hundredth > last {
                last = hundredth;
                let _ = tell.send(Told::Progress(asker, done, of));
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
                    told: &mut told,
                };
                carry_out(&mut self.folder, &command, &mut context)
            }
        };
        let catalogue = command.changes().then(|| self.folder.catalogue().map(Box::new));
        self.say(Told::Ended { asker, command, outcome, catalogue });
    }

    /// Looks at one blob again; gives how long to rest before the next.
    fn look_again(&mut self) -> Duration {
        if self.settings.scrub_per_s == 0 {
            return REST;
        }
        if self.scrub.is_empty() {
            let Ok(catalogue) = self.folder.catalogue() else { return REST };
            for (name, version, digest) in whole_versions(&catalogue) {
                if catalogue.quarantined(&digest).is_none() {
                    let layers = catalogue.layers(&name, &version).unwrap_or_default();
                    let label = format!("{name}@{version}");
                    let blobs = layers.iter().map(|l| l.digest).chain([digest]);
                    self.scrub.extend(blobs.map(|blob| (label.clone(), digest, blob)));
                }
            }
        }
        let Some((version, digest, blob)) = self.scrub.pop_front() else { return REST };
        let size = match self.folder.store.read(&blob) {
            Ok(content) => content.len() as u64,
            Err(error) => {
                self.found(version, digest, &format!("{blob}: {error}"));
                0
            }
        };
        Duration::from_secs_f64((size.max(1) as f64 / self.settings.scrub_per_s as f64).clamp(0.001, 60.0))
    }

    fn found(&mut self, version: String, digest: Digest, reason: &str) {
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
        self.say(Told::Ended { asker: Requester::Scrub, command, outcome, catalogue });
    }
}
