//! Messages that read and write keys: ranges, puts, deletions, transactions and compaction.

use super::encoding::{is_false, is_zero, number};
use super::{Bytes, Header};
use serde::{Deserialize, Serialize};

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The revision that created the key.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    /// The revision of the key's last change.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    /// The number of changes since the key was created, including the creation.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub version: i64,
    /// The value.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// The id of the lease with which the key expires; 0 for none.
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
    /// The maximum number of keys to return; 0 for no limit.
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
    /// Creates a request for the last modified key of a range; the response also holds the number of keys in
    /// the range.
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
    /// The keys, in the requested order.
    pub kvs: Vec<KeyValue>,
    /// Whether further keys were omitted because of the limit.
    pub more: bool,
    /// The number of keys in the range, regardless of the limit.
    #[serde(with = "number")]
    pub count: i64,
}

/// Creates a key or replaces its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The id of the lease with which the key expires; 0 for none.
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

/// Response to a put, a deletion, a transaction and other requests, with the fields that are used here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainResponse {
    /// See [`Header`].
    pub header: Header,
    /// The number of deleted keys, for a deletion.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub deleted: i64,
    /// Whether all comparisons were true and the operations were executed, for a transaction.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
}

/// A comparison in a transaction. Only `mod_revision` is supported here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The compared field; always `MOD`.
    pub target: String,
    /// The comparison operator; always `EQUAL`.
    pub result: String,
    /// The key.
    pub key: Bytes,
    /// The expected revision of the last change; 0 if the key must not exist.
    #[serde(with = "number")]
    pub mod_revision: i64,
}

impl Compare {
    /// Creates a comparison that is true if the key was last changed at `mod_revision`, or does not exist for
    /// 0.
    pub fn unchanged(key: Bytes, mod_revision: i64) -> Self {
        Compare { target: "MOD".into(), result: "EQUAL".into(), key, mod_revision }
    }
}

/// An operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Creates a key or replaces its value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes a range of keys.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// A transaction: executes all operations of `success` at one revision if all comparisons are true, otherwise
/// none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The comparisons, which must all be true.
    pub compare: Vec<Compare>,
    /// The operations to execute, in order.
    pub success: Vec<RequestOp>,
}

/// Discards the history before a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompactRequest {
    /// The oldest revision to keep.
    #[serde(with = "number")]
    pub revision: i64,
}

/// Returns the exclusive end of the range of all keys that start with `prefix` (etcd documentation, "Key
/// ranges").
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // No key follows those with this prefix. A single zero byte denotes a range up to the last key.
    vec![0]
}
