//! Folders and paths of the store, relative to its root.

use slatevalve_plugins::Digest;

/// Verified blobs, named by the hexadecimal digits of their digests.
pub(crate) const BLOBS: &str = "blobs/sha256";
/// Incomplete blobs whose digest is known, named like blobs.
pub(crate) const PARTIAL: &str = "partial";
/// Incomplete content whose digest is not known yet, under a name that the caller chooses.
pub(crate) const STAGED: &str = "staged";
/// Documents, under a name that the caller chooses.
pub(crate) const DOCUMENTS: &str = "documents";

pub(crate) fn blob_path(digest: &Digest) -> String {
    format!("{BLOBS}/{}", digest.hex())
}

pub(crate) fn partial_path(digest: &Digest) -> String {
    format!("{PARTIAL}/{}", digest.hex())
}

pub(crate) fn staged_path(name: &str) -> String {
    format!("{STAGED}/{name}")
}

pub(crate) fn document_path(name: &str) -> String {
    format!("{DOCUMENTS}/{name}")
}
