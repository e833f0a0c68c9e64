//! Reads, writes and transactions of keys.

use super::encoding::{is_false, is_zero, number};
use super::{Bytes, Header};
use serde::{Deserialize, Serialize};

/// A key, its value and its revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The revision that created the key.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    /// The revision of the last change.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    /// The number of changes since the key was created, the creation included.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub version: i64,
    /// The value.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// The lease that the key expires with; 0 for none.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Reads the keys from `key` to before `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive; empty for only `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// The largest number of keys; 0 for all.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// The revision to read at; 0 for the current one.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub revision: i64,
    /// The sort order: `DESCEND`, or empty for ascending.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub sort_order: String,
    /// The sort target: `MOD` for the revision of the last change; empty for the key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub sort_target: String,
    /// Whether only the number of keys is returned.
    #[serde(skip_serializing_if = "is_false")]
    pub count_only: bool,
}

impl RangeRequest {
    /// Creates a read of the last changed key of a range, and of the number of keys in the range.
    pub fn last_modified(key: Bytes, range_end: Bytes) -> Self {
        let (sort_order, sort_target) = ("DESCEND".into(), "MOD".into());
        RangeRequest { key, range_end, limit: 1, sort_order, sort_target, ..RangeRequest::default() }
    }
}

/// Response to a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// See [`Header`].
    pub header: Header,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit omitted further keys.
    pub more: bool,
    /// The number of keys in the range, whatever the limit.
    #[serde(with = "number")]
    pub count: i64,
}

/// Puts a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease that the key expires with; 0 for none.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Deletes the keys from `key` to before `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes,
    /// The end of the range, exclusive; empty for only `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
}

/// Response to a put, a deletion, a transaction and others, of which only these fields are used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainResponse {
    /// See [`Header`].
    pub header: Header,
    /// The number of deleted keys.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub deleted: i64,
    /// Whether all comparisons of a transaction were true.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
}

/// A comparison in a transaction, of a key's `mod_revision` only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The compared field: `MOD`.
    pub target: String,
    /// The comparison: `EQUAL`.
    pub result: String,
    /// The key.
    pub key: Bytes,
    /// The required revision; 0 for a key that does not exist.
    #[serde(with = "number")]
    pub mod_revision: i64,
}

impl Compare {
    /// Creates the comparison that the last change of a key has this revision; 0 for a key that does not exist.
    pub fn unchanged(key: Bytes, mod_revision: i64) -> Self {
        Compare { target: "MOD".into(), result: "EQUAL".into(), key, mod_revision }
    }
}

/// An operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// A transaction: all operations of `success`, at one revision, if all comparisons are true.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The comparisons.
    pub compare: Vec<Compare>,
    /// The operations.
    pub success: Vec<RequestOp>,
}

/// Compacts the history before a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompactRequest {
    /// The oldest revision that is kept.
    #[serde(with = "number")]
    pub revision: i64,
}

/// Returns the end of the range of all keys with a prefix (etcd documentation, "Key ranges").
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // There is no such key: the range extends to the last key.
    vec![0]
}
