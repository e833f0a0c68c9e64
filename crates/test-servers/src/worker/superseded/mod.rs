//! Detects calls that are sent by superseded settings documents, by the documents' numbers alone: documents are superseded
//! by calls of which all documents have a higher number.

use std::collections::BTreeMap;

/// The number of documents that are tracked, the newest ones.
const MAX_TRACKED: usize = 16;

/// Tracks the documents of calls.
#[derive(Debug, Default)]
pub(super) struct SupersededDocuments {
    /// The time for which a document must have been superseded, in microseconds; none to refuse nothing.
    after_us: Option<i64>,
    /// The oldest document of each call, with the time of the first such call.
    first_call_us: BTreeMap<u64, i64>,
}

impl SupersededDocuments {
    pub(super) fn new(after_us: Option<i64>) -> Self {
        SupersededDocuments { after_us, first_call_us: BTreeMap::new() }
    }

    /// Records a call sent by these documents; returns whether it is to be refused.
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
