//! Transactions for operators' commands: publish a document, withdraw a prepared one, declare a router gone.
//!
//! Invariants: each publication creates one document, a number is never assigned twice, and at most two
//! successive documents are in use. Each transaction compares the revisions of the entries that it was
//! derived from.

use crate::document::{ActiveSettings, Document, State};
use crate::keys::{Keys, RouterId};
use crate::snapshot::Snapshot;
use crate::transaction::{to_json, Entry, Txn};
use std::fmt;

/// Size limit of a document's text, in bytes. The registry accepts at most 1.5 MiB per transaction.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// Why a text cannot be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// A change to the document with this number is prepared and not yet committed.
    ChangeInProgress(u64),
    /// The committed document, with this number, has the same text.
    Unchanged(u64),
    /// The text has this many bytes, more than [`MAX_DOCUMENT_BYTES`].
    TooLong(usize),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::ChangeInProgress(number) => {
                write!(f, "document {number} is prepared and not yet committed")
            }
            PublishError::Unchanged(number) => write!(f, "committed document {number} has the same text"),
            PublishError::TooLong(bytes) => {
                write!(f, "the document has {bytes} bytes, more than the maximum of {MAX_DOCUMENT_BYTES}")
            }
        }
    }
}

impl std::error::Error for PublishError {}

impl Snapshot {
    /// Creates a document from a draft, whose number, parent and digest are ignored, and the transaction that
    /// publishes it. The first document is committed at once, each later one is prepared. Its number is
    /// greater than every number known here and than `above`, which is needed after the registry was restored
    /// from a backup and lacks the latest numbers.
    ///
    /// # Errors
    /// If another change is prepared, the text is unchanged, or it is too long.
    pub fn publish(
        &self,
        keys: &Keys,
        draft: &Document,
        above: u64,
    ) -> Result<(Document, Txn), PublishError> {
        if draft.text.len() > MAX_DOCUMENT_BYTES {
            return Err(PublishError::TooLong(draft.text.len()));
        }
        let digest = Document::digest_of(&draft.text);
        let current = self.state.as_ref();
        if let Some(entry) = current {
            check_replaceable(&entry.value.active_settings, &digest)?;
        }
        let committed = current.map(|entry| &entry.value.active_settings.committed);
        let parent = committed.map_or(0, |version| version.number);
        let document = Document { number: self.next_number(above), parent, digest, ..draft.clone() };
        let active_settings = match committed {
            None => ActiveSettings::committed(document.version()),
            Some(committed) => {
                ActiveSettings { committed: committed.clone(), prepared: Some(document.version()) }
            }
        };
        let state = State {
            step: current.map_or(0, |entry| entry.value.step) + 1,
            active_settings,
            last_number: document.number,
        };
        let key = keys.document(document.number);
        let txn = Txn {
            compares: vec![(keys.state(), current.map_or(0, |entry| entry.revision)), (key.clone(), 0)],
            puts: vec![(key, to_json(&document)), (keys.state(), to_json(&state))],
            deletes: Vec::new(),
        };
        Ok((document, txn))
    }

    /// The lowest number greater than every known one and than `above`.
    fn next_number(&self, above: u64) -> u64 {
        let referenced = self.referenced_versions().into_iter().map(|version| version.number);
        let last = self.state.as_ref().map_or(0, |entry| entry.value.last_number);
        let known = referenced.chain(self.documents.keys().copied()).chain([above, last]);
        known.max().unwrap_or(0) + 1
    }

    /// The transaction that withdraws the prepared change; `None` if there is none. Withdrawal is safe
    /// because no router applies the prepared document alone before the commit.
    #[must_use]
    pub fn withdraw(&self, keys: &Keys) -> Option<Txn> {
        let Entry { value: state, revision } = self.state.as_ref()?;
        state.active_settings.prepared.as_ref()?;
        let withdrawn = state.successor(state.active_settings.committed.clone());
        Some(Txn {
            compares: vec![(keys.state(), *revision)],
            puts: vec![(keys.state(), to_json(&withdrawn))],
            deletes: Vec::new(),
        })
    }

    /// The transaction that deletes a router's leases, of one incarnation or of all; `None` if it has none.
    /// Safe only if the operator has made sure that the router sends nothing any more.
    #[must_use]
    pub fn revoke_leases(&self, keys: &Keys, name: &str, incarnation: Option<&str>) -> Option<Txn> {
        let selected = |id: &RouterId| id.name == name && incarnation.is_none_or(|one| id.incarnation == one);
        let readable = self.leases.iter().map(|(id, entry)| (id, Some(entry.revision)));
        let unreadable = self.unreadable_leases.iter().map(|id| (id, None));
        let mut txn = Txn::default();
        for (id, revision) in readable.chain(unreadable).filter(|(id, _)| selected(id)) {
            let key = keys.lease(name, &id.incarnation);
            txn.compares.extend(revision.map(|revision| (key.clone(), revision)));
            txn.deletes.push(key);
        }
        (!txn.deletes.is_empty()).then_some(txn)
    }
}

/// Checks that a text with this digest may be prepared as the successor of these settings.
fn check_replaceable(active_settings: &ActiveSettings, digest: &str) -> Result<(), PublishError> {
    if let Some(prepared) = &active_settings.prepared {
        return Err(PublishError::ChangeInProgress(prepared.number));
    }
    let committed = &active_settings.committed;
    if committed.digest == digest {
        return Err(PublishError::Unchanged(committed.number));
    }
    Ok(())
}
