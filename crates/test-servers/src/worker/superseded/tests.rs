//! Refusal of calls by superseded documents.

use super::*;

#[test]
fn calls_by_documents_superseded_for_too_long_are_refused() {
    let mut superseded = SupersededDocuments::new(Some(1_000));
    let steps: [(i64, &[u64], bool); 8] = [
        (0, &[1], false),
        (10, &[1, 2], false),
        (5_000, &[1], false), // a call by both documents supersedes neither
        (6_000, &[2], false),
        (7_000, &[1], false),
        (7_001, &[1], true),
        (9_000, &[1, 2], false),
        (9_000, &[], false),
    ];
    for (now, documents, is_refused) in steps {
        assert_eq!(superseded.record(now, documents), is_refused, "{now} {documents:?}");
    }
    assert!(!SupersededDocuments::new(None).record(0, &[1]));
}
