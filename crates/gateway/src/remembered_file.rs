//! A file that holds the latest version of something for the next start, written by a thread of its own.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use tracing::warn;

/// What the writing thread is asked for.
enum Request {
    Write(Vec<u8>),
    /// Answered by dropping the sender, once everything asked for earlier has been written or has failed.
    Flush(Sender<()>),
}

/// Writes the latest content to a file off the event loop. A failure is logged; the content before it stays on disk.
pub(crate) struct RememberedFile {
    requests: Sender<Request>,
}

impl RememberedFile {
    /// Starts the writing thread. `what` names the content in logs.
    pub(crate) fn open(path: PathBuf, what: &'static str) -> Self {
        let (requests, received) = mpsc::channel();
        let spawned =
            thread::Builder::new().name(what.into()).spawn(move || write_all(&received, &path, what));
        if let Err(error) = spawned {
            warn!(%error, what, "not kept for the next start");
        }
        RememberedFile { requests }
    }

    /// Replaces the file's content soon. Of several contents that wait only the last is written.
    pub(crate) fn write(&self, content: Vec<u8>) {
        // Where the thread could not be started that has been logged.
        let _ = self.requests.send(Request::Write(content));
    }

    /// Blocks until all content handed over so far is on disk, or has failed to be written.
    pub(crate) fn flush(&self) {
        let (done, wait) = mpsc::channel();
        if self.requests.send(Request::Flush(done)).is_ok() {
            let _ = wait.recv();
        }
    }
}

fn write_all(received: &Receiver<Request>, path: &Path, what: &str) {
    while let Ok(first) = received.recv() {
        let (mut latest, mut flushed) = (None, Vec::new());
        for request in std::iter::once(first).chain(received.try_iter()) {
            match request {
                Request::Write(content) => latest = Some(content),
                Request::Flush(done) => flushed.push(done),
            }
        }
        if let Some(Err(error)) = latest.map(|content| replace(path, &content)) {
            warn!(path = %path.display(), %error, what, "not kept for the next start");
        }
    }
}

/// Replaces a file as a whole: written beside it, synced, renamed.
fn replace(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    let beside = PathBuf::from(name);
    let mut file = fs::File::create(&beside)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&beside, path)
}
