//! The power goes at every step, and what was not synced is gone in part or whole: a blob is whole or not there, a
//! document is the old one or the new one, and the store goes on from there.

use slatevalve_blobs::{BlobError, BlobStore, Disk, MemoryFiles};
use slatevalve_plugins::{Digest, VerifyError};
use std::collections::BTreeSet;

/// What a gateway does when it takes a version in: layers in pieces, the manifest, the document that names it.
fn take_in(store: &mut BlobStore<MemoryFiles>, layers: &[Vec<u8>]) -> Result<(), BlobError> {
    for layer in layers {
        let mut partial = store.open_partial(Digest::of(layer), layer.len() as u64)?;
        let have = partial.stored_bytes() as usize;
        for piece in layer[have..].chunks(7) {
            store.append(&mut partial, piece)?;
        }
        store.commit(partial)?;
    }
    store.write_document("catalogue", b"new catalogue")
}

#[test]
fn after_a_power_cut_at_each_step_blobs_are_whole_or_absent_and_taking_in_again_succeeds() {
    let layers = [b"the first layer of the rules".to_vec(), b"a second one".to_vec(), Vec::new()];
    let fresh = || {
        let mut store = BlobStore::new(MemoryFiles::default());
        store.write_document("catalogue", b"old catalogue").unwrap();
        let mut files = store.files().clone();
        files.steps = 0;
        files
    };
    let mut whole = BlobStore::new(fresh());
    take_in(&mut whole, &layers).unwrap();
    let steps = whole.files().steps;
    assert!(steps > 15, "{steps}");
    for until in 0..steps {
        for keep in [0, 3, 1_000] {
            let mut store = BlobStore::new(MemoryFiles { power_fails_after: Some(until), ..fresh() });
            assert!(take_in(&mut store, &layers).is_err());
            let mut store = BlobStore::new(store.files().clone().after_power_failure(keep));
            for digest in store.digests().unwrap() {
                assert!(store.read(&digest).is_ok(), "step {until}, {keep} bytes kept: a blob is not whole");
            }
            let document = store.document("catalogue").unwrap();
            assert!(document == b"old catalogue" || document == b"new catalogue");
            if document == b"new catalogue" {
                assert!(layers.iter().all(|l| store.contains(&Digest::of(l))), "it names what is not here");
            }
            // The disk may have kept a part that was never verified: a second try ends it either way.
            let again = take_in(&mut store, &layers).or_else(|_| take_in(&mut store, &layers));
            again.unwrap();
            assert!(layers.iter().all(|l| store.read(&Digest::of(l)).is_ok()));
        }
    }
}

#[test]
fn a_full_disk_leaves_what_can_be_resumed_and_nothing_that_looks_whole() {
    let content = b"more than the disk takes".to_vec();
    let digest = Digest::of(&content);
    let mut store = BlobStore::new(MemoryFiles { full: true, ..MemoryFiles::default() });
    let mut partial = store.open_partial(digest, content.len() as u64).unwrap();
    assert!(matches!(store.append(&mut partial, &content), Err(BlobError::Disk(_))));
    assert!(!store.contains(&digest));
    store.files().full = false;
    let mut partial = store.open_partial(digest, content.len() as u64).unwrap();
    let have = partial.stored_bytes() as usize;
    assert_eq!(have, content.len() / 2);
    store.append(&mut partial, &content[have..]).unwrap();
    store.commit(partial).unwrap();
    assert_eq!(store.read(&digest).unwrap(), content);
}

#[test]
fn what_is_not_what_its_digest_says_is_thrown_away_wherever_it_is_found() {
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
    // Rot on the disk.
    std::fs::write(directory.path().join("blobs/sha256").join(digest.hex()), b"rotten").unwrap();
    assert_eq!(store.verify(|_, _| {}).unwrap(), [digest]);
    assert!(!store.contains(&digest));
}

#[test]
fn collecting_keeps_what_is_to_be_kept() {
    let mut store = BlobStore::new(MemoryFiles::default());
    let (kept, gone) = (store.put(b"kept").unwrap(), store.put(b"gone").unwrap());
    assert_eq!(store.collect(&BTreeSet::from([kept])).unwrap(), 1);
    assert!(store.contains(&kept) && !store.contains(&gone));
}
