//! A snapshot of the registry's records, decoded and checked.
//!
//! Records that cannot be used are reported beside the others; a lease that cannot be read counts as one that does not
//! acknowledge.

use crate::document::{ActiveSettings, Document, DocumentVersion, RouterLease, State};
use crate::keys::{Keys, RouterId};
use crate::transaction::{to_json, Entry};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A record that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// The record's key.
    pub key: String,
    /// What is wrong with it.
    pub fault: RecordFault,
}

/// What is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordFault {
    /// It is no JSON of the expected form: the parser's message, with line and column.
    Malformed(String),
    /// The document's number differs from the one in its key.
    NumberMismatch,
    /// The document's digest is not that of its text.
    DigestMismatch,
    /// The document's leases have no length.
    LeaseNotPositive,
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordFault::Malformed(message) => message,
            RecordFault::NumberMismatch => "it bears another number than its key",
            RecordFault::DigestMismatch => "its text has another digest",
            RecordFault::LeaseNotPositive => "a right to act lasts for some time",
        })
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.fault)
    }
}

impl std::error::Error for RecordError {}

/// All records below the prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The state, if one was written.
    pub state: Option<Entry<State>>,
    /// Documents by number.
    pub documents: BTreeMap<u64, Document>,
    /// Leases by router.
    pub leases: BTreeMap<RouterId, Entry<RouterLease>>,
    /// Records that cannot be used.
    pub unreadable: Vec<RecordError>,
    /// Routers whose leases cannot be read.
    pub unreadable_leases: Vec<RouterId>,
}

impl Snapshot {
    /// Decodes entries, each a key, a value and the revision that last changed it. Keys outside the prefix are skipped.
    pub fn from_entries<'a>(
        keys: &Keys,
        entries: impl IntoIterator<Item = (&'a str, &'a [u8], i64)>,
    ) -> Self {
        let mut snapshot = Snapshot::default();
        for (key, value, revision) in entries {
            if let Some(path) = key.strip_prefix(keys.prefix()) {
                let added = snapshot.add_entry(keys, key, path, value, revision);
                snapshot.unreadable.extend(added.err());
            }
        }
        snapshot
    }

    /// Decodes one entry; `path` is its key below the prefix.
    fn add_entry(
        &mut self,
        keys: &Keys,
        key: &str,
        path: &str,
        value: &[u8],
        revision: i64,
    ) -> Result<(), RecordError> {
        match path.split('/').collect::<Vec<_>>()[..] {
            ["state"] => self.state = Some(Entry { value: from_json(key, value)?, revision }),
            ["documents", _] => self.add_document(keys, key, from_json(key, value)?)?,
            // A name may contain slashes, an incarnation has none.
            ["rights", ref name @ .., incarnation] => {
                let id = RouterId::new(name.join("/"), incarnation);
                match from_json(key, value) {
                    Ok(value) => drop(self.leases.insert(id, Entry { value, revision })),
                    Err(error) => {
                        self.unreadable_leases.push(id);
                        return Err(error);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn add_document(&mut self, keys: &Keys, key: &str, document: Document) -> Result<(), RecordError> {
        let fault = if keys.document(document.number) != key {
            RecordFault::NumberMismatch
        } else if Document::digest_of(&document.text) != document.digest {
            RecordFault::DigestMismatch
        } else if document.lease_us <= 0 {
            RecordFault::LeaseNotPositive
        } else {
            self.documents.insert(document.number, document);
            return Ok(());
        };
        Err(RecordError { key: key.into(), fault })
    }

    /// Encodes a state and its documents for a start without a registry; [`Snapshot::decode`] reads them.
    pub fn encode<'a>(
        keys: &Keys,
        state: &Entry<State>,
        documents: impl IntoIterator<Item = &'a Document>,
    ) -> Vec<u8> {
        let documents =
            documents.into_iter().map(|document| (keys.document(document.number), to_json(document), 0));
        let state = (keys.state(), to_json(&state.value), state.revision);
        let entries: Vec<(String, String, i64)> = documents
            .chain([state])
            .map(|(key, value, revision)| (key, String::from_utf8_lossy(&value).into_owned(), revision))
            .collect();
        to_json(&entries)
    }

    /// Decodes what [`Snapshot::encode`] wrote, by the same checks as a registry's entries.
    ///
    /// # Errors
    /// If the bytes are no list of entries. Single records that cannot be used are in [`Snapshot::unreadable`].
    pub fn decode(keys: &Keys, encoded: &[u8]) -> Result<Self, RecordError> {
        let entries: Vec<(String, String, i64)> = from_json("what was kept", encoded)?;
        let entries =
            entries.iter().map(|(key, value, revision)| (key.as_str(), value.as_bytes(), *revision));
        Ok(Snapshot::from_entries(keys, entries))
    }

    /// The document of a version, if it is here with that content.
    #[must_use]
    pub fn document(&self, version: &DocumentVersion) -> Option<&Document> {
        self.documents.get(&version.number).filter(|document| document.digest == version.digest)
    }

    /// All documents that the state or a lease names.
    #[must_use]
    pub fn referenced_versions(&self) -> BTreeSet<&DocumentVersion> {
        let state = self.state.iter().map(|entry| &entry.value.active_settings);
        let leases = self.leases.values().map(|entry| &entry.value.active_settings);
        state.chain(leases).flat_map(ActiveSettings::versions).collect()
    }
}

fn from_json<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RecordError> {
    serde_json::from_slice(value)
        .map_err(|e| RecordError { key: key.into(), fault: RecordFault::Malformed(e.to_string()) })
}
