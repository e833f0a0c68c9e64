//! What stands in the registry: documents that never change, the state of the change, and the rights of routers.
//!
//! It guards the numbers: one publish, one document; a number is never given twice; at most two neighbouring documents are in
//! use. Everything is written by transactions that name what they build on. Made by commands, read by routers and drivers.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Largest text of a document, in bytes; a registry takes 1.5 MiB a transaction.
pub const MOST_TEXT: usize = 512 * 1024;

/// What a router does that cannot renew its right to act.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseExpiryPolicy {
    /// It goes on by the rules it has. A change that contradicts them waits until it is back or declared gone.
    #[default]
    GoOn,
    /// When its right ends it sends no unsafe and no keyed call. The change goes on once the right must have ended.
    GiveUp,
}

/// A settings document. Its content never changes once it has a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Its number, from 1; rises only.
    pub number: u64,
    /// The number of the document it was made from; 0 for the first.
    pub parent: u64,
    /// SHA-256 of its text, in hex.
    pub digest: String,
    /// The forms.
    pub text: String,
    /// Who published it.
    pub who: String,
    /// Why.
    pub why: String,
    /// What routers do in doubt while it counts.
    pub doubt: LeaseExpiryPolicy,
    /// How long a right to act lasts, in microseconds by the router's own clock.
    pub right_us: i64,
}

impl Document {
    /// The digest of a text.
    pub fn digest_of(text: &str) -> String {
        Sha256::digest(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
    }

    /// How the state names it.
    pub fn edition(&self) -> DocumentVersion {
        DocumentVersion { number: self.number, digest: self.digest.clone() }
    }
}

/// A document by number and content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
}

/// The documents by which a router acts: one, or the meet of two neighbours while a change is prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ActiveSettings {
    /// The document that counts.
    pub committed: DocumentVersion,
    /// The one that is to count next.
    pub prepared: Option<DocumentVersion>,
}

impl ActiveSettings {
    /// Its documents.
    pub fn editions(&self) -> impl Iterator<Item = &DocumentVersion> {
        [Some(&self.committed), self.prepared.as_ref()].into_iter().flatten()
    }
}

/// How far the fleet is, in one entry that every transaction of the protocol compares.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Rises by one with each change of this entry.
    pub step: u64,
    /// What counts.
    pub stance: ActiveSettings,
    /// The highest number that was ever given.
    pub last: u64,
}

/// A router's right to act, as it wrote it: "until my right ends I act by this stance". It is written in a transaction that
/// holds only while the state is the one it names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActLease {
    /// The step of the state that it says yes to.
    pub step: u64,
    /// What it acts by.
    pub stance: ActiveSettings,
    /// How long the right lasts, from before it was asked for, in microseconds by the router's own clock.
    pub right_us: i64,
    /// What the router does when it cannot renew it.
    pub doubt: LeaseExpiryPolicy,
}

impl ActLease {
    /// Whether it was written for this very state; after a registry was put back, steps are given twice.
    pub fn acknowledges(&self, state: &State) -> bool {
        self.step == state.step && self.stance == state.stance
    }
}

/// An entry of the registry: its value, and the revision that changed it last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry<T> {
    /// The value.
    pub value: T,
    /// The revision.
    pub revision: i64,
}

/// A transaction: all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Txn {
    /// It is done only where each key was changed last by this revision; 0 where the key must not be there.
    pub compares: Vec<(String, i64)>,
    /// Written.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Taken out.
    pub deletes: Vec<String>,
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TxnEnd {
    /// Done, by this revision.
    Done(i64),
    /// Something it compares has changed.
    Conflict,
    /// Nobody knows: it may be done, now or later.
    Unknown,
}

/// Where things stand below a prefix of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Below a prefix such as `/slatevalve/`.
    pub fn new(prefix: &str) -> Self {
        Keys { prefix: format!("{prefix}agreement/") }
    }

    /// What all keys begin with.
    pub fn all(&self) -> &str {
        &self.prefix
    }

    /// The state.
    pub fn state(&self) -> String {
        format!("{}state", self.prefix)
    }

    /// A document.
    pub fn document(&self, number: u64) -> String {
        format!("{}documents/{number:010}", self.prefix)
    }

    /// What the keys of rights begin with.
    pub fn rights(&self) -> String {
        format!("{}rights/", self.prefix)
    }

    /// The right of one life of a router.
    pub fn right(&self, name: &str, life: &str) -> String {
        format!("{}{name}/{life}", self.rights())
    }
}

/// An entry that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// Its key.
    pub key: String,
    /// What is wrong.
    pub words: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.words)
    }
}

impl std::error::Error for RecordError {}

/// All entries below the prefix at one revision, read whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The state, where one stands.
    pub state: Option<Entry<State>>,
    /// Documents by number.
    pub documents: BTreeMap<u64, Document>,
    /// Rights by the router's name and life.
    pub rights: BTreeMap<(String, String), Entry<ActLease>>,
    /// Entries that cannot be used. A right that cannot be read is one that says no.
    pub unread: Vec<RecordError>,
    /// Names and lives whose rights cannot be read.
    pub unread_rights: Vec<(String, String)>,
}

fn json<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RecordError> {
    serde_json::from_slice(value).map_err(|e| RecordError { key: key.into(), words: e.to_string() })
}

pub(crate) fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    // The types here have no maps with other keys than texts and no numbers that JSON lacks: nothing can fail.
    serde_json::to_vec(value).unwrap_or_default()
}

impl Reading {
    /// Reads entries, each a key, a value and the revision that changed it last. Keys of others are passed over.
    pub fn of<'a>(keys: &Keys, entries: impl IntoIterator<Item = (&'a str, &'a [u8], i64)>) -> Self {
        let mut reading = Reading::default();
        for (key, value, revision) in entries {
            let Some(rest) = key.strip_prefix(keys.all()) else { continue };
            let read = match rest.split('/').collect::<Vec<_>>()[..] {
                ["state"] => json(key, value).map(|value| reading.state = Some(Entry { value, revision })),
                ["documents", _] => json(key, value).and_then(|d| reading.take_document(keys, key, d)),
                // A name may have slashes, a life has none.
                ["rights", ref name @ .., life] => {
                    let id = (name.join("/"), life.to_string());
                    json(key, value)
                        .map(|value| drop(reading.rights.insert(id.clone(), Entry { value, revision })))
                        .inspect_err(|_| reading.unread_rights.push(id))
                }
                _ => Ok(()),
            };
            reading.unread.extend(read.err());
        }
        reading
    }

    /// What a router keeps for a start without a registry: a state and its documents, to be read by [`Reading::kept`].
    pub fn keep<'a>(
        keys: &Keys,
        state: &Entry<State>,
        documents: impl IntoIterator<Item = &'a Document>,
    ) -> Vec<u8> {
        let documents = documents.into_iter().map(|d| (keys.document(d.number), bytes(d), 0));
        let all: Vec<(String, Vec<u8>, i64)> =
            documents.chain([(keys.state(), bytes(&state.value), state.revision)]).collect();
        let text = |(key, value, revision): &(String, Vec<u8>, i64)| {
            (key.clone(), String::from_utf8_lossy(value).into_owned(), *revision)
        };
        bytes(&all.iter().map(text).collect::<Vec<_>>())
    }

    /// Reads what was kept, by the same checks as a registry's entries.
    ///
    /// # Errors
    /// Where it is none.
    pub fn kept(keys: &Keys, kept: &[u8]) -> Result<Self, RecordError> {
        let all: Vec<(String, String, i64)> = json("what was kept", kept)?;
        Ok(Reading::of(
            keys,
            all.iter().map(|(key, value, revision)| (key.as_str(), value.as_bytes(), *revision)),
        ))
    }

    fn take_document(&mut self, keys: &Keys, key: &str, document: Document) -> Result<(), RecordError> {
        let words = match () {
            () if keys.document(document.number) != key => "it bears another number than its key",
            () if Document::digest_of(&document.text) != document.digest => "its text has another digest",
            () if document.right_us <= 0 => "a right to act lasts for some time",
            () => {
                self.documents.insert(document.number, document);
                return Ok(());
            }
        };
        Err(RecordError { key: key.into(), words: words.into() })
    }

    /// The document that an edition names, whole and with that content.
    pub fn document(&self, edition: &DocumentVersion) -> Option<&Document> {
        self.documents.get(&edition.number).filter(|d| d.digest == edition.digest)
    }

    /// All documents that the state or a right names.
    pub fn named(&self) -> BTreeSet<&DocumentVersion> {
        let state = self.state.iter().map(|s| &s.value.stance);
        let rights = self.rights.values().map(|r| &r.value.stance);
        state.chain(rights).flat_map(ActiveSettings::editions).collect()
    }

    /// The transaction that publishes a text; the first document counts at once, each other one is prepared. The number is above
    /// all that were given here and above `above`, which counts where the registry was put back to an older content.
    ///
    /// # Errors
    /// Where it cannot be published now.
    pub fn publish(
        &self,
        keys: &Keys,
        draft: &Document,
        above: u64,
    ) -> Result<(Document, Txn), PublishError> {
        if draft.text.len() > MOST_TEXT {
            return Err(PublishError::TooLong(draft.text.len()));
        }
        let digest = Document::digest_of(&draft.text);
        let named = self.named().into_iter().map(|e| e.number);
        let given = named.chain(self.documents.keys().copied()).chain([above]).max().unwrap_or(0);
        let (stance, step, revision, parent) = match &self.state {
            None => (None, 1, 0, 0),
            Some(Entry { value: State { stance, step, .. }, revision }) => {
                if let Some(prepared) = &stance.prepared {
                    return Err(PublishError::Underway(prepared.number));
                }
                if stance.committed.digest == digest {
                    return Err(PublishError::Same(stance.committed.number));
                }
                (Some(stance.committed.clone()), step + 1, *revision, stance.committed.number)
            }
        };
        let last = self.state.as_ref().map_or(0, |s| s.value.last).max(given);
        let document = Document { number: last + 1, parent, digest, ..draft.clone() };
        let edition = document.edition();
        let stance = match stance {
            None => ActiveSettings { committed: edition, prepared: None },
            Some(committed) => ActiveSettings { committed, prepared: Some(edition) },
        };
        let state = State { step, stance, last: document.number };
        let key = keys.document(document.number);
        let txn = Txn {
            compares: vec![(keys.state(), revision), (key.clone(), 0)],
            puts: vec![(key, bytes(&document)), (keys.state(), bytes(&state))],
            deletes: Vec::new(),
        };
        Ok((document, txn))
    }

    /// The transaction that takes a prepared change back: nobody acts by it alone yet.
    pub fn withdraw(&self, keys: &Keys) -> Option<Txn> {
        let Entry { value, revision } = self.state.as_ref()?;
        value.stance.prepared.as_ref()?;
        let stance = ActiveSettings { committed: value.stance.committed.clone(), prepared: None };
        let state = State { step: value.step + 1, stance, last: value.last };
        let (compares, puts) = (vec![(keys.state(), *revision)], vec![(keys.state(), bytes(&state))]);
        Some(Txn { compares, puts, deletes: Vec::new() })
    }

    /// The transaction that takes a router's rights out, by an operator's word that it sends nothing any more; nothing where it
    /// has none. One life, or all.
    pub fn declare_gone(&self, keys: &Keys, name: &str, life: Option<&str>) -> Option<Txn> {
        let read = self.rights.iter().map(|(id, entry)| (id, Some(entry.revision)));
        let all = read.chain(self.unread_rights.iter().map(|id| (id, None)));
        let mut txn = Txn::default();
        for ((_, life), revision) in all.filter(|((n, l), _)| n == name && life.is_none_or(|life| l == life))
        {
            let key = keys.right(name, life);
            txn.compares.extend(revision.map(|r| (key.clone(), r)));
            txn.deletes.push(key);
        }
        (!txn.deletes.is_empty()).then_some(txn)
    }
}

/// Why a text cannot be published now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// A change is prepared and not yet committed: this document.
    Underway(u64),
    /// It is the text that counts: this document.
    Same(u64),
    /// Its length, in bytes.
    TooLong(usize),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Underway(number) => {
                write!(f, "document {number} is prepared and not yet committed")
            }
            PublishError::Same(number) => write!(f, "document {number}, which counts, has this text"),
            PublishError::TooLong(bytes) => write!(f, "{bytes} bytes; a document has at most {MOST_TEXT}"),
        }
    }
}

impl std::error::Error for PublishError {}
