//! Garbage collection of manifests that are not reachable from a tag, and of blobs that no manifest
//! references.

use super::manifests::{digest_of, referenced_blobs};
use super::{Registry, RegistryError, Repository};
use oci_spec::image::ImageManifest;
use slatevalve_blobs::{BlobStore, Files};
use slatevalve_plugins::Digest;
use std::collections::BTreeSet;

impl<F: Files> Registry<F> {
    /// Removes manifests that have no tag and refer to no tagged manifest, then blobs that no remaining
    /// manifest references; returns the number of blobs removed. Open uploads are kept. Blobs whose manifest
    /// was not pushed yet are removed, so this may only run while the registry serves no requests.
    ///
    /// # Errors
    /// When the blob store fails.
    pub fn collect(&mut self) -> Result<usize, RegistryError> {
        let mut reachable = BTreeSet::new();
        for repository in self.repositories.values_mut() {
            repository.remove_untagged();
            reachable.extend(repository.manifests.keys());
            let referenced = referenced_digests(&mut self.store, repository);
            repository.blobs.retain(|digest| referenced.contains(digest));
            reachable.extend(referenced);
        }
        self.repositories.retain(|_, repository| !repository.manifests.is_empty());
        // The document is written before blobs are removed, so that all it references exists at every moment.
        self.write_repositories()?;
        Ok(self.store.collect(&reachable)?)
    }
}

impl Repository {
    /// Removes manifests without a tag, except referrers of a tagged one.
    fn remove_untagged(&mut self) {
        let tagged: BTreeSet<Digest> = self.tags.values().copied().collect();
        self.manifests.retain(|digest, subject| {
            tagged.contains(digest) || subject.is_some_and(|subject| tagged.contains(&subject))
        });
    }
}

/// The blobs that a repository's manifests reference; manifests that cannot be read are skipped.
fn referenced_digests<F: Files>(store: &mut BlobStore<F>, repository: &Repository) -> BTreeSet<Digest> {
    let mut referenced = BTreeSet::new();
    for digest in repository.manifests.keys() {
        let Ok(bytes) = store.read(digest) else { continue };
        let Ok(image) = serde_json::from_slice::<ImageManifest>(&bytes) else { continue };
        referenced.extend(referenced_blobs(&image).filter_map(digest_of));
    }
    referenced
}
