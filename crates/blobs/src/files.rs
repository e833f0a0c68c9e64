//! The few file operations that the store is made of, and the real disk behind them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// File operations on paths relative to one folder. Each is one step that a crash may come before or after.
pub trait Files {
    /// A file's content.
    ///
    /// # Errors
    /// What the disk says; `NotFound` where there is none.
    fn read(&self, path: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is made where there is none.
    ///
    /// # Errors
    /// What the disk says, such as that it is full.
    fn append(&mut self, path: &str, bytes: &[u8]) -> io::Result<()>;
    /// Waits until a file's content is on the disk.
    ///
    /// # Errors
    /// What the disk says.
    fn sync(&mut self, path: &str) -> io::Result<()>;
    /// Renames a file over another or none, and waits until both folders say so on the disk.
    ///
    /// # Errors
    /// What the disk says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; one that is not there is passed by.
    ///
    /// # Errors
    /// What the disk says.
    fn remove(&mut self, path: &str) -> io::Result<()>;
    /// The size of a file in bytes.
    ///
    /// # Errors
    /// What the disk says; `NotFound` where there is none.
    fn size(&self, path: &str) -> io::Result<u64>;
    /// Names in a folder; none where there is no folder.
    ///
    /// # Errors
    /// What the disk says.
    fn list(&self, folder: &str) -> io::Result<Vec<String>>;
}

/// The real disk, below one folder.
#[derive(Clone, Debug)]
pub struct Disk {
    root: PathBuf,
}

impl Disk {
    /// The disk below a folder, which is made.
    ///
    /// # Errors
    /// When it cannot be made.
    pub fn new(root: &Path) -> io::Result<Self> {
        for folder in ["blobs/sha256", "partial", "staged", "documents"] {
            fs::create_dir_all(root.join(folder))?;
        }
        Ok(Disk { root: root.into() })
    }

    fn sync_folder_of(&self, path: &str) -> io::Result<()> {
        match self.root.join(path).parent() {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

impl Files for Disk {
    fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        let mut content = Vec::new();
        File::open(self.root.join(path))?.read_to_end(&mut content)?;
        Ok(content)
    }

    fn append(&mut self, path: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.root.join(path))?.write_all(bytes)
    }

    fn sync(&mut self, path: &str) -> io::Result<()> {
        File::open(self.root.join(path))?.sync_all()?;
        self.sync_folder_of(path)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.root.join(from), self.root.join(to))?;
        self.sync_folder_of(to)?;
        self.sync_folder_of(from)
    }

    fn remove(&mut self, path: &str) -> io::Result<()> {
        match fs::remove_file(self.root.join(path)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }

    fn size(&self, path: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.root.join(path))?.len())
    }

    fn list(&self, folder: &str) -> io::Result<Vec<String>> {
        let entries = match fs::read_dir(self.root.join(folder)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            other => other?,
        };
        entries.map(|e| Ok(e?.file_name().to_string_lossy().into_owned())).collect()
    }
}
