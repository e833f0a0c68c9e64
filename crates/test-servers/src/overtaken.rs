//! Which settings documents a stand-in worker has seen overtaken, by the numbers that calls name. It knows nothing of what
//! the documents say: all of a higher number that share none overtake. Asked by the worker for each call.

use std::collections::BTreeMap;

/// Documents that are remembered, the newest ones.
const MOST: usize = 16;

/// See the module's documentation.
#[derive(Debug, Default)]
pub(crate) struct Overtaken {
    /// After so many microseconds a call by an overtaken document is turned away; never where nothing is said.
    after_us: Option<i64>,
    /// The oldest document of each call's, and when one came first by none older.
    since: BTreeMap<u64, i64>,
}

impl Overtaken {
    pub(crate) fn new(after_us: Option<i64>) -> Self {
        Overtaken { after_us, since: BTreeMap::new() }
    }

    /// Notes a call by these documents, and says whether it is to be turned away.
    pub(crate) fn is_overtaken(&mut self, now_us: i64, by: &[u64]) -> bool {
        let (Some(after_us), Some(newest)) = (self.after_us, by.iter().max()) else { return false };
        let overtaken = self.since.range(newest + 1..).any(|(_, since)| now_us - since > after_us);
        if let Some(oldest) = by.iter().min() {
            self.since.entry(*oldest).or_insert(now_us);
            while self.since.len() > MOST {
                self.since.pop_first();
            }
        }
        overtaken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_by_what_was_overtaken_for_longer_than_stated_is_turned_away() {
        let mut seen = Overtaken::new(Some(1_000));
        let steps: [(i64, &[u64], bool); 8] = [
            (0, &[1], false),
            (10, &[1, 2], false),
            (5_000, &[1], false), // whoever acts by both bears it
            (6_000, &[2], false),
            (7_000, &[1], false),
            (7_001, &[1], true),
            (9_000, &[1, 2], false),
            (9_000, &[], false),
        ];
        for (now, by, turned_away) in steps {
            assert_eq!(seen.is_overtaken(now, by), turned_away, "{now} {by:?}");
        }
        assert!(!Overtaken::new(None).is_overtaken(0, &[1]));
    }
}
