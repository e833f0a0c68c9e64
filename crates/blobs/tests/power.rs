//! Power failures at every step, which lose some or all of the unsynced bytes. Afterwards each blob is
//! complete or absent, a document has its old or its new content, and writing can continue.

use slatevalve_blobs::{BlobError, BlobStore, Disk, MemoryFiles};
use slatevalve_plugins::{Digest, VerifyError};
use std::collections::BTreeSet;

/// Stores a version like a gateway does: the layers in chunks, then the document that names them.
fn store_version(store: &mut BlobStore<MemoryFiles>, layers: &[Vec<u8>]) -> Result<(), BlobError> {
    for layer in layers {
        let mut partial = store.open_partial(Digest::of(layer), layer.len() as u64)?;
        let stored = partial.stored_bytes() as usize;
        for chunk in layer[stored..].chunks(7) {
            store.append(&mut partial, chunk)?;
        }
        store.commit(partial)?;
    }
    store.write_document("catalogue", b"new catalogue")
}

#[test]
fn after_a_power_failure_at_any_step_blobs_are_complete_or_absent_and_storing_again_succeeds() {
    let layers = [b"the first layer of the rules".to_vec(), b"a second one".to_vec(), Vec::new()];
    let fresh = || {
        let mut store = BlobStore::new(MemoryFiles::default());
        store.write_document("catalogue", b"old catalogue").unwrap();
        let mut files = store.files().clone();
        files.steps = 0;
        files
    };
    let mut uninterrupted = BlobStore::new(fresh());
    store_version(&mut uninterrupted, &layers).unwrap();
    let steps = uninterrupted.files().steps;
    assert!(steps > 15, "{steps}");
    for until in 0..steps {
        for keep in [0, 3, 1_000] {
            let mut store = BlobStore::new(MemoryFiles { power_fails_after: Some(until), ..fresh() });
            assert!(store_version(&mut store, &layers).is_err());
            let mut store = BlobStore::new(store.files().clone().after_power_failure(keep));
            for digest in store.digests().unwrap() {
                assert!(store.read(&digest).is_ok(), "step {until}, {keep} bytes kept: a blob is corrupt");
            }
            let document = store.document("catalogue").unwrap();
            assert!(document == b"old catalogue" || document == b"new catalogue");
            if document == b"new catalogue" {
                assert!(
                    layers.iter().all(|l| store.contains(&Digest::of(l))),
                    "the new document names a missing layer"
                );
            }
            // The disk may have kept a corrupt part, as only complete blobs are verified; the second attempt
            // then succeeds.
            let again = store_version(&mut store, &layers).or_else(|_| store_version(&mut store, &layers));
            again.unwrap();
            assert!(layers.iter().all(|l| store.read(&Digest::of(l)).is_ok()));
        }
    }
}

#[test]
fn a_full_disk_leaves_a_resumable_part_and_no_blob() {
    let content = b"more than the disk takes".to_vec();
    let digest = Digest::of(&content);
    let mut store = BlobStore::new(MemoryFiles { full: true, ..MemoryFiles::default() });
    let mut partial = store.open_partial(digest, content.len() as u64).unwrap();
    assert!(matches!(store.append(&mut partial, &content), Err(BlobError::Disk(_))));
    assert!(!store.contains(&digest));
    store.files().full = false;
    let mut partial = store.open_partial(digest, content.len() as u64).unwrap();
    let stored = partial.stored_bytes() as usize;
    assert_eq!(stored, content.len() / 2);
    store.append(&mut partial, &content[stored..]).unwrap();
    store.commit(partial).unwrap();
    assert_eq!(store.read(&digest).unwrap(), content);
}

#[test]
fn content_that_does_not_match_its_digest_is_removed() {
    let directory = tempfile::tempdir().unwrap();
    let mut store = BlobStore::new(Disk::new(directory.path()).unwrap());
    let digest = Digest::of(b"rules");
    let mut partial = store.open_partial(digest, 5).unwrap();
    store.append(&mut partial, b"rulez").unwrap();
    assert!(matches!(store.commit(partial), Err(BlobError::Corrupt(VerifyError::Mismatch))));
    let mut partial = store.open_partial(digest, 5).unwrap();
    assert_eq!(partial.stored_bytes(), 0);
    assert!(matches!(
        store.append(&mut partial, b"rules for ever"),
        Err(BlobError::Corrupt(VerifyError::TooLong))
    ));
    assert_eq!(store.put(b"rules").unwrap(), digest);
    // Corruption on the disk.
    std::fs::write(directory.path().join("blobs/sha256").join(digest.hex()), b"rotten").unwrap();
    assert_eq!(store.verify(|_, _| {}).unwrap(), [digest]);
    assert!(!store.contains(&digest));
}

#[test]
fn garbage_collection_removes_only_unreachable_blobs() {
    let mut store = BlobStore::new(MemoryFiles::default());
    let (kept, removed) = (store.put(b"kept").unwrap(), store.put(b"gone").unwrap());
    assert_eq!(store.collect(&BTreeSet::from([kept])).unwrap(), 1);
    assert!(store.contains(&kept) && !store.contains(&removed));
}
