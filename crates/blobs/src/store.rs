//! The store over [`Files`].

use crate::files::Files;
use slatevalve_plugins::{Digest, Verifier, VerifyError};
use std::collections::BTreeSet;
use std::fmt;
use std::io;

/// Why content is not to be had or not to be kept.
#[derive(Debug)]
pub enum BlobError {
    /// There is no such blob or document.
    Missing,
    /// What is there, or what came, is not what the digest says. What was there is moved out of the way.
    Corrupt(VerifyError),
    /// The disk; a full one leaves what was written so far to be resumed.
    Disk(io::Error),
}

impl fmt::Display for BlobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlobError::Missing => f.write_str("it is not here"),
            BlobError::Corrupt(e) => e.fmt(f),
            BlobError::Disk(e) => write!(f, "the disk: {e}"),
        }
    }
}

impl std::error::Error for BlobError {}

impl From<io::Error> for BlobError {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::NotFound => BlobError::Missing,
            _ => BlobError::Disk(e),
        }
    }
}

/// A blob that is being written.
pub struct Partial {
    digest: Digest,
    path: String,
    verifier: Verifier,
}

impl Partial {
    /// Bytes that are here: a pull asks for the rest.
    pub fn have(&self) -> u64 {
        self.verifier.seen()
    }
}

/// See the crate's documentation.
pub struct BlobStore<F> {
    files: F,
}

fn blob_path(digest: &Digest) -> String {
    format!("blobs/sha256/{}", digest.hex())
}

impl<F: Files> BlobStore<F> {
    /// A store over a folder as a crash may have left it.
    pub fn new(files: F) -> Self {
        BlobStore { files }
    }

    /// The files below, for tests that look at them.
    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }

    /// Whether a blob is here; whether it is whole only reading tells.
    pub fn has(&self, digest: &Digest) -> bool {
        self.files.size(&blob_path(digest)).is_ok()
    }

    /// The size of a blob, in bytes.
    ///
    /// # Errors
    /// When it is not here, or the disk fails.
    pub fn size(&self, digest: &Digest) -> Result<u64, BlobError> {
        Ok(self.files.size(&blob_path(digest))?)
    }

    /// Every blob that is here.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn digests(&self) -> Result<BTreeSet<Digest>, BlobError> {
        let names = self.files.list("blobs/sha256")?;
        Ok(names.iter().filter_map(|n| format!("sha256:{n}").parse().ok()).collect())
    }

    /// A blob's content, verified. One that is corrupt is removed, so that the next pull brings it anew.
    ///
    /// # Errors
    /// When it is not here, or was corrupt.
    pub fn read(&mut self, digest: &Digest) -> Result<Vec<u8>, BlobError> {
        let content = self.files.read(&blob_path(digest))?;
        if Digest::of(&content) != *digest {
            self.files.remove(&blob_path(digest))?;
            return Err(BlobError::Corrupt(VerifyError::Other));
        }
        Ok(content)
    }

    /// Begins a blob, or goes on with one that broke off.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn begin(&mut self, digest: Digest, size: u64) -> Result<Partial, BlobError> {
        let path = format!("partial/{}", digest.hex());
        let mut verifier = Verifier::new(digest, size);
        match self.files.read(&path) {
            Ok(have) => {
                if verifier.update(&have).is_err() {
                    // More than it can ever be: nothing of it can be trusted.
                    self.files.remove(&path)?;
                    verifier = Verifier::new(digest, size);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e.into()),
        }
        Ok(Partial { digest, path, verifier })
    }

    /// Adds a piece to a blob.
    ///
    /// # Errors
    /// When it goes beyond the promised size, in which case what came is thrown away, or the disk fails.
    pub fn append(&mut self, partial: &mut Partial, piece: &[u8]) -> Result<(), BlobError> {
        if let Err(e) = partial.verifier.update(piece) {
            self.files.remove(&partial.path)?;
            return Err(BlobError::Corrupt(e));
        }
        Ok(self.files.append(&partial.path, piece)?)
    }

    /// Makes a blob whole: verified, synced, renamed to its digest. Content that is not what was promised is thrown
    /// away; content that is only short stays, to be resumed.
    ///
    /// # Errors
    /// When it is not whole, or the disk fails.
    pub fn commit(&mut self, partial: Partial) -> Result<(), BlobError> {
        if partial.have() == 0 {
            self.files.append(&partial.path, &[])?;
        }
        match partial.verifier.finish() {
            Ok(()) => {}
            Err(VerifyError::TooShort) => return Err(BlobError::Corrupt(VerifyError::TooShort)),
            Err(e) => {
                self.files.remove(&partial.path)?;
                return Err(BlobError::Corrupt(e));
            }
        }
        self.files.sync(&partial.path)?;
        Ok(self.files.rename(&partial.path, &blob_path(&partial.digest))?)
    }

    /// Writes a whole blob.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn put(&mut self, content: &[u8]) -> Result<Digest, BlobError> {
        let digest = Digest::of(content);
        // What an earlier try left is written anew, as all of it is at hand.
        self.files.remove(&format!("partial/{}", digest.hex()))?;
        let mut partial = self.begin(digest, content.len() as u64)?;
        self.append(&mut partial, content)?;
        self.commit(partial)?;
        Ok(digest)
    }

    /// Throws away what is here of a blob that is not whole, so that the next [`BlobStore::begin`] starts from nothing.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn discard(&mut self, digest: &Digest) -> Result<(), BlobError> {
        Ok(self.files.remove(&format!("partial/{}", digest.hex()))?)
    }

    /// Adds a piece to content whose digest is not known yet, under a name of the caller's (a push in parts).
    ///
    /// # Errors
    /// When the disk fails.
    pub fn stage(&mut self, name: &str, piece: &[u8]) -> Result<u64, BlobError> {
        let path = format!("staged/{name}");
        self.files.append(&path, piece)?;
        Ok(self.files.size(&path)?)
    }

    /// Makes staged content a blob: verified, synced, renamed to its digest. What does not match is thrown away.
    ///
    /// # Errors
    /// When it is not what the digest says, was never staged, or the disk fails.
    pub fn commit_staged(&mut self, name: &str, digest: &Digest) -> Result<(), BlobError> {
        let path = format!("staged/{name}");
        if Digest::of(&self.files.read(&path)?) != *digest {
            self.files.remove(&path)?;
            return Err(BlobError::Corrupt(VerifyError::Other));
        }
        self.files.sync(&path)?;
        Ok(self.files.rename(&path, &blob_path(digest))?)
    }

    /// Throws away staged content; all of it where no name is given, as after a restart nobody knows its names.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn discard_staged(&mut self, name: Option<&str>) -> Result<(), BlobError> {
        let names = match name {
            Some(name) => vec![name.to_string()],
            None => self.files.list("staged")?,
        };
        names.iter().try_for_each(|n| Ok(self.files.remove(&format!("staged/{n}"))?))
    }

    /// Checks every blob; gives those that were corrupt, which are removed. `progress` is told how many are done.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn verify(&mut self, mut progress: impl FnMut(usize, usize)) -> Result<Vec<Digest>, BlobError> {
        let (all, mut corrupt) = (self.digests()?, Vec::new());
        for (n, digest) in all.iter().enumerate() {
            match self.read(digest) {
                Ok(_) | Err(BlobError::Missing) => {}
                Err(BlobError::Corrupt(_)) => corrupt.push(*digest),
                Err(e) => return Err(e),
            }
            progress(n + 1, all.len());
        }
        Ok(corrupt)
    }

    /// Removes every blob that is not to be kept; gives how many went.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn collect(&mut self, keep: &BTreeSet<Digest>) -> Result<usize, BlobError> {
        let gone: Vec<Digest> = self.digests()?.into_iter().filter(|d| !keep.contains(d)).collect();
        for digest in &gone {
            self.files.remove(&blob_path(digest))?;
        }
        Ok(gone.len())
    }

    /// A small document.
    ///
    /// # Errors
    /// When it is not here.
    pub fn document(&self, name: &str) -> Result<Vec<u8>, BlobError> {
        Ok(self.files.read(&format!("documents/{name}"))?)
    }

    /// Writes a small document anew: a crash leaves the old one or the new one.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn write_document(&mut self, name: &str, content: &[u8]) -> Result<(), BlobError> {
        let beside = format!("documents/{name}.new");
        self.files.remove(&beside)?;
        self.files.append(&beside, content)?;
        self.files.sync(&beside)?;
        Ok(self.files.rename(&beside, &format!("documents/{name}"))?)
    }
}
