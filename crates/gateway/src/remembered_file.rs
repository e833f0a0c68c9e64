//! A file that holds the latest version of something for the next start, written by a thread of its own.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use tracing::warn;

/// A request to the writing thread.
enum Request {
    Write(Vec<u8>),
    /// Answered by dropping the sender, once every earlier write has succeeded or failed.
    Flush(Sender<()>),
}

/// Writes the latest content to a file off the event loop. A failure is logged; the content before it stays on disk. The
/// writing thread ends after the handle is dropped, once the last content is written.
pub(crate) struct RememberedFile {
    requests: Sender<Request>,
}

impl RememberedFile {
    /// Starts the writing thread. `content_name` names the content in logs, and the thread.
    pub(crate) fn open(path: PathBuf, content_name: &'static str) -> Self {
        let (requests, received) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name(content_name.into())
            .spawn(move || write_requested(&received, &path, content_name));
        if let Err(error) = spawned {
            warn!(%error, content = content_name, "writing thread not started; nothing is remembered");
        }
        RememberedFile { requests }
    }

    /// Replaces the file's content soon. Of several contents that are pending only the last is written.
    pub(crate) fn write(&self, content: Vec<u8>) {
        // Fails only where the thread could not be started, which has been logged.
        let _ = self.requests.send(Request::Write(content));
    }

    /// Blocks until all content handed over so far is on disk, or has failed to be written.
    pub(crate) fn flush(&self) {
        let (done, wait) = mpsc::channel();
        if self.requests.send(Request::Flush(done)).is_ok() {
            // Ends by the sender's drop, whether the writes succeeded or not.
            let _ = wait.recv();
        }
    }
}

/// The writing thread: takes all pending requests at a time until the handle is dropped.
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
            warn!(path = %path.display(), %error, content = content_name, "file not written; the one before stays");
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
