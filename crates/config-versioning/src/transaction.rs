//! Entries of the key-value registry and transactions on them.

use serde::Serialize;

/// An entry of the registry: its value, and the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry<T> {
    /// The value.
    pub value: T,
    /// The revision of the last change (etcd's `mod_revision`).
    pub revision: i64,
}

/// An atomic transaction: all of its writes are done, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Txn {
    /// Guards: the transaction succeeds only if each key was last changed by this revision; 0 means that the key is absent.
    pub compares: Vec<(String, i64)>,
    /// Keys and values to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TxnOutcome {
    /// It was done at this revision.
    Succeeded(i64),
    /// A guard failed: an entry has changed.
    Conflict,
    /// No answer came: it may be done, now or later.
    Unknown,
}

/// The stored form of a record.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    // The records have only text as map keys and no numbers that JSON lacks, so that serialization cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}
