//! Files in memory that can lose power at each step, for tests of crash safety.

use crate::files::Files;
use std::collections::BTreeMap;
use std::io;

/// A file of [`MemoryFiles`].
#[derive(Clone, Debug, Default)]
pub struct MemoryFile {
    /// All written bytes, durable or not.
    pub content: Vec<u8>,
    /// Number of leading bytes of `content` that are durable.
    pub synced: usize,
}

/// Files in memory that distinguish synced from unsynced content, and fail from a given step on.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    /// By path relative to the store's root.
    pub files: BTreeMap<String, MemoryFile>,
    /// Number of modifying operations so far, including failed ones.
    pub steps: usize,
    /// Number of modifying operations that succeed before the simulated power failure; `None` without one.
    pub power_fails_after: Option<usize>,
    /// Simulates a full disk: an append writes half of its bytes and fails with `StorageFull`.
    pub full: bool,
}

impl MemoryFiles {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match self.power_fails_after {
            Some(steps) if self.steps > steps => Err(io::Error::other("simulated power failure")),
            _ => Ok(()),
        }
    }

    /// The files after a power failure and restart: each keeps only the first `unsynced_kept` bytes of its
    /// unsynced content.
    #[must_use]
    pub fn after_power_failure(mut self, unsynced_kept: usize) -> Self {
        for file in self.files.values_mut() {
            file.content.truncate(file.synced + unsynced_kept);
            file.synced = file.content.len();
        }
        MemoryFiles { files: self.files, ..MemoryFiles::default() }
    }

    /// Flips a bit of a file's first byte, if the file exists and is not empty.
    pub fn corrupt(&mut self, path: &str) {
        if let Some(byte) = self.files.get_mut(path).and_then(|file| file.content.first_mut()) {
            *byte ^= 1;
        }
    }
}

impl Files for MemoryFiles {
    fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        let file = self.files.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.content.clone())
    }

    fn append(&mut self, path: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let content = &mut self.files.entry(path.into()).or_default().content;
        if self.full {
            content.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        content.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, path: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.get_mut(path).ok_or(io::ErrorKind::NotFound)?;
        file.synced = file.content.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, path: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(path);
        Ok(())
    }

    fn size(&self, path: &str) -> io::Result<u64> {
        Ok(self.read(path)?.len() as u64)
    }

    fn list(&self, folder: &str) -> io::Result<Vec<String>> {
        let prefix = format!("{folder}/");
        let names = self.files.keys().filter_map(|path| path.strip_prefix(&prefix));
        Ok(names.map(str::to_string).collect())
    }
}
