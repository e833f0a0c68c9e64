//! A file that keeps the latest version of some content for the next start, written by a background thread.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use tracing::warn;

/// A request to the writer thread.
enum Request {
    Write(Vec<u8>),
    /// Answered by dropping the sender, once every earlier write has succeeded or failed.
    Flush(Sender<()>),
}

/// Writes the latest content to a file outside the event loop. A failed write is logged and leaves the
/// previous content on disk. The writer thread ends after the handle is dropped, once the last content is
/// written.
pub(crate) struct RememberedFile {
    requests: Sender<Request>,
}

impl RememberedFile {
    /// Starts the writer thread. `content_name` identifies the content in logs and is the name of the thread.
    pub(crate) fn open(path: PathBuf, content_name: &'static str) -> Self {
        let (requests, received) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name(content_name.into())
            .spawn(move || write_requested(&received, &path, content_name));
        if let Err(error) = spawned {
            warn!(%error, content = content_name, "cannot start the writer thread; the content is not saved");
        }
        RememberedFile { requests }
    }

    /// Queues new content for the file. If several are queued, only the last one is written.
    pub(crate) fn write(&self, content: Vec<u8>) {
        // Fails only if the thread could not be started, which has been logged.
        let _ = self.requests.send(Request::Write(content));
    }

    /// Blocks until all content queued so far is on disk or could not be written.
    pub(crate) fn flush(&self) {
        let (done, wait) = mpsc::channel();
        if self.requests.send(Request::Flush(done)).is_ok() {
            // Returns when the thread drops the sender, whether the writes succeeded or not.
            let _ = wait.recv();
        }
    }
}

/// Runs the writer thread: handles all queued requests at once, until the handle is dropped.
fn write_requested(received: &Receiver<Request>, path: &Path, content_name: &str) {
    while let Ok(first) = received.recv() {
        let (mut latest, mut flushed) = (None, Vec::new());
        for request in std::iter::once(first).chain(received.try_iter()) {
            match request {
                Request::Write(content) => latest = Some(content),
                Request::Flush(done) => flushed.push(done),
            }
        }
        if let Some(Err(error)) = latest.map(|content| replace(path, &content)) {
            warn!(path = %path.display(), %error, content = content_name, "cannot write the file; its content is unchanged");
        }
    }
}

/// Replaces a file atomically: a new file is written, synced and renamed over it.
fn replace(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    let new_path = PathBuf::from(name);
    let mut file = fs::File::create(&new_path)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&new_path, path)
}
