//! Which calls are refused after their documents were superseded.

use super::*;

#[test]
fn a_call_by_what_was_overtaken_for_longer_than_stated_is_turned_away() {
    let mut seen = SupersededDocuments::new(Some(1_000));
    let steps: [(i64, &[u64], bool); 8] = [
        (0, &[1], false),
        (10, &[1, 2], false),
        (5_000, &[1], false), // a gateway that acts by both documents supersedes neither
        (6_000, &[2], false),
        (7_000, &[1], false),
        (7_001, &[1], true),
        (9_000, &[1, 2], false),
        (9_000, &[], false),
    ];
    for (now, by, turned_away) in steps {
        assert_eq!(seen.record(now, by), turned_away, "{now} {by:?}");
    }
    assert!(!SupersededDocuments::new(None).record(0, &[1]));
}
