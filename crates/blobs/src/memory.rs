//! A disk in memory whose power can be cut at each step, for whoever tests that a store goes on from there.

use crate::files::Files;
use std::collections::BTreeMap;
use std::io;

/// A disk in memory that knows what is synced, and loses power after so many steps.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// Content by path, and how many bytes of it are synced.
    pub files: BTreeMap<String, (Vec<u8>, usize)>,
    /// Steps taken so far.
    pub steps: usize,
    /// Steps until the power goes; `None` for never.
    pub until: Option<usize>,
    /// Whether the disk is full: it takes the first half of what is written and says so.
    pub full: bool,
}

impl Memory {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match self.until {
            Some(until) if self.steps > until => Err(io::Error::other("the power is gone")),
            _ => Ok(()),
        }
    }

    /// What a restart finds: of unsynced content, only `keep` bytes.
    #[must_use]
    pub fn after_power(mut self, keep: usize) -> Self {
        for (content, synced) in self.files.values_mut() {
            content.truncate((*synced + keep).min(content.len()));
            *synced = content.len();
        }
        Memory { files: self.files, ..Memory::default() }
    }

    /// Flips a bit of a file's first byte, as rot does.
    pub fn rot(&mut self, path: &str) {
        self.files.get_mut(path).and_then(|f| f.0.first_mut()).into_iter().for_each(|b| *b ^= 1);
    }
}

impl Files for Memory {
    fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        self.files.get(path).map(|f| f.0.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, path: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        if self.full {
            // A full disk takes a part.
            let part = &bytes[..bytes.len() / 2];
            self.files.entry(path.into()).or_default().0.extend_from_slice(part);
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.entry(path.into()).or_default().0.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, path: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.get_mut(path).ok_or(io::ErrorKind::NotFound)?;
        file.1 = file.0.len();
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
        Ok(self.files.keys().filter_map(|k| k.strip_prefix(&prefix)).map(str::to_string).collect())
    }
}
