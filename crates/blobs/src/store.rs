//! The store of blobs and documents over [`Files`].

use crate::error::BlobError;
use crate::files::Files;
use crate::layout::{blob_path, document_path, partial_path, staged_path, BLOBS, STAGED};
use slatevalve_plugins::{Digest, Verifier, VerifyError};
use std::collections::BTreeSet;
use std::io;

/// An incomplete blob that is being written.
pub struct Partial {
    digest: Digest,
    path: String,
    verifier: Verifier,
}

impl Partial {
    /// Number of bytes stored, from the start of the blob.
    #[must_use]
    pub fn stored_bytes(&self) -> u64 {
        self.verifier.seen()
    }
}

/// A store of blobs and documents; see the crate's documentation.
pub struct BlobStore<F> {
    files: F,
}

impl<F: Files> BlobStore<F> {
    /// Creates a store over files, which may be in any state that a crash left.
    pub fn new(files: F) -> Self {
        BlobStore { files }
    }

    /// The underlying files, for tests.
    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }

    /// Whether a blob exists. Its content is not verified; [`BlobStore::read`] does that.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.files.size(&blob_path(digest)).is_ok()
    }

    /// The size of a blob, in bytes.
    ///
    /// # Errors
    /// When it does not exist, or the disk fails.
    pub fn size(&self, digest: &Digest) -> Result<u64, BlobError> {
        Ok(self.files.size(&blob_path(digest))?)
    }

    /// The digests of all blobs.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn digests(&self) -> Result<BTreeSet<Digest>, BlobError> {
        let names = self.files.list(BLOBS)?;
        Ok(names.iter().filter_map(|name| format!("sha256:{name}").parse().ok()).collect())
    }

    /// Reads and verifies a blob. A corrupt one is removed, so that the next pull transfers it again.
    ///
    /// # Errors
    /// When it does not exist or is corrupt, or the disk fails.
    pub fn read(&mut self, digest: &Digest) -> Result<Vec<u8>, BlobError> {
        let path = blob_path(digest);
        let content = self.files.read(&path)?;
        if Digest::of(&content) != *digest {
            self.files.remove(&path)?;
            return Err(VerifyError::Mismatch.into());
        }
        Ok(content)
    }

    /// Starts writing a blob of `size` bytes, or resumes it after the bytes that are stored already.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn open_partial(&mut self, digest: Digest, size: u64) -> Result<Partial, BlobError> {
        let path = partial_path(&digest);
        let mut verifier = Verifier::new(digest, size);
        match self.files.read(&path) {
            Ok(stored) => {
                if verifier.update(&stored).is_err() {
                    // The stored part is larger than the blob, so none of it can be trusted.
                    self.files.remove(&path)?;
                    verifier = Verifier::new(digest, size);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e.into()),
        }
        Ok(Partial { digest, path, verifier })
    }

    /// Appends a chunk to an incomplete blob.
    ///
    /// # Errors
    /// When the blob would exceed its size, in which case the stored part is removed, or the disk fails.
    pub fn append(&mut self, partial: &mut Partial, chunk: &[u8]) -> Result<(), BlobError> {
        if let Err(e) = partial.verifier.update(chunk) {
            self.files.remove(&partial.path)?;
            return Err(e.into());
        }
        Ok(self.files.append(&partial.path, chunk)?)
    }

    /// Completes a blob: verifies, syncs and renames it. Content that does not match its digest is removed.
    /// Content that is too short is kept and can be resumed.
    ///
    /// # Errors
    /// When it is incomplete or corrupt, or the disk fails.
    pub fn commit(&mut self, partial: Partial) -> Result<(), BlobError> {
        if partial.stored_bytes() == 0 {
            // Appending creates the file, and an empty blob has no chunk.
            self.files.append(&partial.path, &[])?;
        }
        if let Err(e) = partial.verifier.finish() {
            if e != VerifyError::TooShort {
                self.files.remove(&partial.path)?;
            }
            return Err(e.into());
        }
        self.sync_and_rename(&partial.path, &blob_path(&partial.digest))
    }

    /// Stores a whole blob; returns its digest.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn put(&mut self, content: &[u8]) -> Result<Digest, BlobError> {
        let digest = Digest::of(content);
        // The whole content is available, so an earlier interrupted attempt is discarded instead of resumed.
        self.discard(&digest)?;
        let mut partial = self.open_partial(digest, content.len() as u64)?;
        self.append(&mut partial, content)?;
        self.commit(partial)?;
        Ok(digest)
    }

    /// Removes the stored part of an incomplete blob, so that the next [`BlobStore::open_partial`] starts at
    /// its first byte.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn discard(&mut self, digest: &Digest) -> Result<(), BlobError> {
        Ok(self.files.remove(&partial_path(digest))?)
    }

    /// Appends a chunk to staged content, whose digest is not known yet, under a name that the caller
    /// chooses; returns its total size in bytes.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn append_staged(&mut self, name: &str, chunk: &[u8]) -> Result<u64, BlobError> {
        let path = staged_path(name);
        self.files.append(&path, chunk)?;
        Ok(self.files.size(&path)?)
    }

    /// Makes staged content a blob: verifies, syncs and renames it. Content that does not match the digest is
    /// removed.
    ///
    /// # Errors
    /// When it does not match the digest or was never staged, or the disk fails.
    pub fn commit_staged(&mut self, name: &str, digest: &Digest) -> Result<(), BlobError> {
        let path = staged_path(name);
        if Digest::of(&self.files.read(&path)?) != *digest {
            self.files.remove(&path)?;
            return Err(VerifyError::Mismatch.into());
        }
        self.sync_and_rename(&path, &blob_path(digest))
    }

    /// Removes staged content.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn discard_staged(&mut self, name: &str) -> Result<(), BlobError> {
        Ok(self.files.remove(&staged_path(name))?)
    }

    /// Removes all staged content, for a caller whose names for it do not survive a restart.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn discard_all_staged(&mut self) -> Result<(), BlobError> {
        let names = self.files.list(STAGED)?;
        names.iter().try_for_each(|name| self.discard_staged(name))
    }

    /// Verifies every blob and removes corrupt ones; returns their digests. `progress` is called with the
    /// number of verified blobs and their total.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn verify(&mut self, mut progress: impl FnMut(usize, usize)) -> Result<Vec<Digest>, BlobError> {
        let digests = self.digests()?;
        let mut corrupt = Vec::new();
        for (index, digest) in digests.iter().enumerate() {
            match self.read(digest) {
                Ok(_) | Err(BlobError::Missing) => {}
                Err(BlobError::Corrupt(_)) => corrupt.push(*digest),
                Err(e) => return Err(e),
            }
            progress(index + 1, digests.len());
        }
        Ok(corrupt)
    }

    /// Garbage collection: removes every blob that is not reachable; returns the number of removed ones.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn collect(&mut self, reachable: &BTreeSet<Digest>) -> Result<usize, BlobError> {
        let digests = self.digests()?;
        let unreachable: Vec<&Digest> = digests.difference(reachable).collect();
        for digest in &unreachable {
            self.files.remove(&blob_path(digest))?;
        }
        Ok(unreachable.len())
    }

    /// Reads a document.
    ///
    /// # Errors
    /// When it does not exist, or the disk fails.
    pub fn document(&self, name: &str) -> Result<Vec<u8>, BlobError> {
        Ok(self.files.read(&document_path(name))?)
    }

    /// Replaces a document atomically: after a crash it has its old or its new content.
    ///
    /// # Errors
    /// When the disk fails.
    pub fn write_document(&mut self, name: &str, content: &[u8]) -> Result<(), BlobError> {
        let temporary = document_path(&format!("{name}.new"));
        self.files.remove(&temporary)?;
        self.files.append(&temporary, content)?;
        self.sync_and_rename(&temporary, &document_path(name))
    }

    fn sync_and_rename(&mut self, from: &str, to: &str) -> Result<(), BlobError> {
        self.files.sync(from)?;
        Ok(self.files.rename(from, to)?)
    }
}
