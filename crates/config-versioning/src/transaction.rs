//! Entries of the key-value registry and transactions on them.

use serde::Serialize;

/// A decoded entry of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry<T> {
    /// The decoded content.
    pub value: T,
    /// The revision that last changed the entry (etcd's `mod_revision`).
    pub revision: i64,
}

/// An atomic transaction: all of its writes are applied, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Txn {
    /// Keys with their expected revisions, 0 for an absent key. The transaction succeeds only if all of them
    /// match.
    pub compares: Vec<(String, i64)>,
    /// Keys and values to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete; absent keys are ignored.
    pub deletes: Vec<String>,
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TxnOutcome {
    /// Applied at this revision.
    Succeeded(i64),
    /// Not applied, because the revision of a compared key differs.
    Conflict,
    /// No answer arrived: the transaction may have been applied, or may still be applied later.
    Unknown,
}

/// Serializes a record to its stored form.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization cannot fail: the records have no map keys other than strings and no numbers without a
    // JSON form.
    serde_json::to_vec(value).unwrap_or_default()
}
