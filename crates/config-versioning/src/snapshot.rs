//! A snapshot of the registry's records, decoded and checked.
//!
//! Invalid records are reported separately from the valid ones. A lease that cannot be decoded counts as one
//! that does not acknowledge the state.

use crate::document::{ActiveSettings, Document, DocumentVersion, RouterLease, State};
use crate::keys::{Keys, RouterId};
use crate::transaction::{to_json, Entry};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A record that cannot be decoded or is inconsistent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// The record's full key in the registry.
    pub key: String,
    /// Why the record is invalid.
    pub fault: RecordFault,
}

/// Why a record is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordFault {
    /// The value is not JSON of the expected form; holds the parser's message, with line and column.
    Malformed(String),
    /// The document's number differs from the one in its key.
    NumberMismatch,
    /// The document's digest is not that of its text.
    DigestMismatch,
    /// The document's lease duration is zero or negative.
    LeaseNotPositive,
}

impl fmt::Display for RecordFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordFault::Malformed(message) => message,
            RecordFault::NumberMismatch => "the document's number differs from the one in its key",
            RecordFault::DigestMismatch => "the document's digest does not match its text",
            RecordFault::LeaseNotPositive => "the document's lease duration (right_us) is not positive",
        })
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.fault)
    }
}

impl std::error::Error for RecordError {}

/// All records below the prefix at one revision of the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The state; `None` before the first publication, or if its record is invalid.
    pub state: Option<Entry<State>>,
    /// Valid documents by number.
    pub documents: BTreeMap<u64, Document>,
    /// Valid leases by router incarnation.
    pub leases: BTreeMap<RouterId, Entry<RouterLease>>,
    /// Errors of all invalid records, those of leases included.
    pub unreadable: Vec<RecordError>,
    /// Router incarnations whose leases cannot be decoded.
    pub unreadable_leases: Vec<RouterId>,
}

impl Snapshot {
    /// Decodes entries of the form (key, value, revision of the last change). Keys outside the prefix are
    /// skipped.
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
            // A router's name may contain slashes, an incarnation may not.
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

    /// Encodes a state and its documents for the router's local file, from which it can start while the
    /// registry is unreachable; [`Snapshot::decode`] reads them.
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

    /// Decodes the output of [`Snapshot::encode`], with the same checks as for entries of the registry.
    ///
    /// # Errors
    /// If the bytes are not a list of entries. Single invalid records are reported in
    /// [`Snapshot::unreadable`].
    pub fn decode(keys: &Keys, encoded: &[u8]) -> Result<Self, RecordError> {
        let entries: Vec<(String, String, i64)> = from_json("remembered settings", encoded)?;
        let entries =
            entries.iter().map(|(key, value, revision)| (key.as_str(), value.as_bytes(), *revision));
        Ok(Snapshot::from_entries(keys, entries))
    }

    /// The document with this number, if its digest matches too.
    #[must_use]
    pub fn document(&self, version: &DocumentVersion) -> Option<&Document> {
        self.documents.get(&version.number).filter(|document| document.digest == version.digest)
    }

    /// The versions of all documents that the state or a lease refers to.
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
