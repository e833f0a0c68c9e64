//! Detects calls that are sent by superseded settings documents, from the document numbers alone: a call's
//! documents are superseded once another call arrived whose documents all have higher numbers.

use std::collections::BTreeMap;

/// The number of documents that are tracked; the oldest are dropped first.
const MAX_TRACKED: usize = 16;

/// Tracks the documents of calls.
#[derive(Debug, Default)]
pub(super) struct SupersededDocuments {
    /// The time after which calls by superseded documents are refused, in microseconds; none to refuse none.
    after_us: Option<i64>,
    /// By the lowest document number of a call: the time of the first such call, in microseconds.
    first_call_us: BTreeMap<u64, i64>,
}

impl SupersededDocuments {
    pub(super) fn new(after_us: Option<i64>) -> Self {
        SupersededDocuments { after_us, first_call_us: BTreeMap::new() }
    }

    /// Records a call and its document numbers; returns whether the call must be refused.
    pub(super) fn record(&mut self, now_us: i64, documents: &[u64]) -> bool {
        let (Some(after_us), Some(newest), Some(oldest)) =
            (self.after_us, documents.iter().max(), documents.iter().min())
        else {
            return false;
        };
        let mut newer = self.first_call_us.range(newest + 1..);
        let is_superseded = newer.any(|(_, first_us)| now_us - first_us > after_us);
        self.first_call_us.entry(*oldest).or_insert(now_us);
        while self.first_call_us.len() > MAX_TRACKED {
            self.first_call_us.pop_first();
        }
        is_superseded
    }
}

#[cfg(test)]
mod tests;
