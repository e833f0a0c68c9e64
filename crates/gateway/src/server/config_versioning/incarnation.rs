//! Data that a router stores on disk for its next incarnation: its incarnations so far, and the settings it
//! last applied.

use slatevalve_config_versioning::{Keys, Snapshot};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::Path;
use tracing::{info, warn};

/// How many earlier incarnations the file keeps.
const MAX_PREVIOUS_INCARNATIONS: usize = 8;
/// How many bytes of the file are read at most.
const MAX_FILE_BYTES: u64 = 1 << 16;

/// The file that lists the incarnations of one router, one per line. An incarnation holds the file's lock as
/// long as it runs, so acquiring the lock proves that all earlier ones have ended.
pub(super) struct IncarnationFile {
    _file: File,
    /// The earlier incarnations, oldest first; at most [`MAX_PREVIOUS_INCARNATIONS`].
    pub(super) previous: Vec<String>,
}

impl IncarnationFile {
    /// Locks the file and appends this incarnation.
    ///
    /// # Errors
    /// If the file cannot be read or written, or another process holds the lock.
    pub(super) fn begin(path: &Path, incarnation: &str) -> io::Result<Self> {
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        file.try_lock()
            .map_err(|e| io::Error::other(format!("another running process holds the lock: {e}")))?;
        let mut text = String::new();
        Read::by_ref(&mut file).take(MAX_FILE_BYTES).read_to_string(&mut text)?;
        let is_incarnation = |line: &&str| !line.is_empty() && !line.contains('/');
        let mut previous: Vec<String> = text.lines().filter(is_incarnation).map(str::to_string).collect();
        previous.drain(..previous.len().saturating_sub(MAX_PREVIOUS_INCARNATIONS));
        let lines: String = previous
            .iter()
            .map(String::as_str)
            .chain([incarnation])
            .map(|line| format!("{line}\n"))
            .collect();
        file.set_len(0)?;
        file.rewind()?;
        file.write_all(lines.as_bytes())?;
        file.sync_all()?;
        Ok(IncarnationFile { _file: file, previous })
    }
}

/// The settings that an earlier incarnation stored last. `None` if they are absent or invalid; the router
/// then waits for the registry.
pub(super) fn remembered(path: &Path, keys: &Keys) -> Option<Snapshot> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => {
            warn!(path = %path.display(), %error, "the settings are not remembered");
            return None;
        }
    };
    let unreadable = match Snapshot::decode(keys, &bytes) {
        Ok(snapshot) if snapshot.unreadable.is_empty() => {
            info!(path = %path.display(), "remembered settings are used until the registry answers");
            return Some(snapshot);
        }
        Ok(snapshot) => snapshot.unreadable,
        Err(error) => vec![error],
    };
    for error in unreadable {
        warn!(path = %path.display(), %error, "remembered settings");
    }
    None
}
