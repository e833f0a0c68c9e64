//! The file operations that the store uses, and their implementation on a disk.

use crate::layout::{BLOBS, DOCUMENTS, PARTIAL, STAGED};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// File operations on paths relative to one folder. A crash may occur before or after each of them.
pub trait Files {
    /// Reads a whole file.
    ///
    /// # Errors
    /// Those of the file system; `NotFound` where there is no such file.
    fn read(&self, path: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// Those of the file system, such as `StorageFull`; a part of the bytes may be written.
    fn append(&mut self, path: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's content durable.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync(&mut self, path: &str) -> io::Result<()>;

    /// Renames a file, replacing the target if it exists, and makes that durable.
    ///
    /// # Errors
    /// Those of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file, if it exists.
    ///
    /// # Errors
    /// Those of the file system.
    fn remove(&mut self, path: &str) -> io::Result<()>;

    /// The size of a file in bytes.
    ///
    /// # Errors
    /// Those of the file system; `NotFound` where there is no such file.
    fn size(&self, path: &str) -> io::Result<u64>;

    /// The names of the entries of a folder; none where the folder does not exist.
    ///
    /// # Errors
    /// Those of the file system.
    fn list(&self, folder: &str) -> io::Result<Vec<String>>;
}

/// Files on a disk, below a root folder.
#[derive(Clone, Debug)]
pub struct Disk {
    root: PathBuf,
}

impl Disk {
    /// Creates the root folder and the store's folders in it, if they do not exist.
    ///
    /// # Errors
    /// When a folder cannot be created.
    pub fn new(root: &Path) -> io::Result<Self> {
        for folder in [BLOBS, PARTIAL, STAGED, DOCUMENTS] {
            fs::create_dir_all(root.join(folder))?;
        }
        Ok(Disk { root: root.into() })
    }

    fn sync_parent_folder(&self, path: &str) -> io::Result<()> {
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
        self.sync_parent_folder(path)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.root.join(from), self.root.join(to))?;
        self.sync_parent_folder(to)?;
        self.sync_parent_folder(from)
    }

    fn remove(&mut self, path: &str) -> io::Result<()> {
        match fs::remove_file(self.root.join(path)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed,
        }
    }

    fn size(&self, path: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.root.join(path))?.len())
    }

    fn list(&self, folder: &str) -> io::Result<Vec<String>> {
        let entries = match fs::read_dir(self.root.join(folder)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries?,
        };
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }
}
