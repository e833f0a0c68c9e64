//! The etcd v3 messages that are spoken here, in the JSON mapping of etcd's gRPC gateway: 64-bit numbers as texts, bytes
//! in base64, what is zero left out (etcd documentation, "gRPC gateway"; proto3 JSON mapping). Both sides use them.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of a range read.
pub const RANGE: &str = "/v3/kv/range";
/// Path of a put.
pub const PUT: &str = "/v3/kv/put";
/// Path of a deletion.
pub const DELETE: &str = "/v3/kv/deleterange";
/// Path of a transaction.
pub const TXN: &str = "/v3/kv/txn";
/// Path of a compaction.
pub const COMPACT: &str = "/v3/kv/compaction";
/// Path of a watch, whose answers are streamed.
pub const WATCH: &str = "/v3/watch";
/// Path of a lease's grant.
pub const GRANT: &str = "/v3/lease/grant";
/// Path of a lease's keep-alive.
pub const KEEP_ALIVE: &str = "/v3/lease/keepalive";
/// Path of a lease's end.
pub const REVOKE: &str = "/v3/lease/revoke";
/// Path of a member's status.
pub const STATUS: &str = "/v3/maintenance/status";
/// Path of a login.
pub const AUTHENTICATE: &str = "/v3/auth/authenticate";

/// Bytes, in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub Vec<u8>);

impl Bytes {
    /// The bytes of a text.
    pub fn of(text: &str) -> Self {
        Bytes(text.as_bytes().to_vec())
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number: written as a text, read as a text or a number.
mod number {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(value: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
            Unsigned(u64),
        }
        match Either::deserialize(deserializer)? {
            Either::Text(text) => {
                // Identities are unsigned 64-bit numbers; here they are only compared, so the bits suffice.
                let read = text.parse::<i64>().or_else(|_| text.parse::<u64>().map(|u| u as i64));
                read.map_err(serde::de::Error::custom)
            }
            Either::Number(number) => Ok(number),
            Either::Unsigned(number) => Ok(number as i64),
        }
    }
}

fn zero(value: &i64) -> bool {
    *value == 0
}

fn no(value: &bool) -> bool {
    !*value
}

/// What comes with each answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The cluster; a restored backup is another one.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub cluster_id: i64,
    /// The member that answered.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub member_id: i64,
    /// The store's revision when it answered.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub revision: i64,
}

/// A key and its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The revision that made it.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub create_revision: i64,
    /// The revision that changed it last.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub mod_revision: i64,
    /// Changes since it was made, the making included.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub version: i64,
    /// The value.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub value: Bytes,
    /// The lease that it ends with; 0 for none.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub lease: i64,
}

/// Asks for keys from `key` to before `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The key behind the last; empty for just `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// Keys at most; 0 for all.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub limit: i64,
    /// As of this revision; 0 for now.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub revision: i64,
    /// `DESCEND`, or empty for the order of keys.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub sort_order: String,
    /// `MOD`: by the revision that changed them last; empty for the key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub sort_target: String,
    /// Only how many there are.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub count_only: bool,
}

impl RangeRequest {
    /// Asks for the key of a range that changed last, and so for the range's number of keys.
    pub fn changed_last(key: Bytes, range_end: Bytes) -> Self {
        let (sort_order, sort_target) = ("DESCEND".into(), "MOD".into());
        RangeRequest { key, range_end, limit: 1, sort_order, sort_target, ..RangeRequest::default() }
    }
}

/// The answer to a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// See [`Header`].
    pub header: Header,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut it short.
    pub more: bool,
    /// Keys in the range, beyond the limit too.
    #[serde(with = "number")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease that it ends with; 0 for none.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub lease: i64,
}

/// Removes keys from `key` to before `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes,
    /// The key behind the last; empty for just `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
}

/// An answer of which only the header, and how many it touched, matter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainResponse {
    /// See [`Header`].
    pub header: Header,
    /// Keys removed.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub deleted: i64,
    /// Whether a transaction's comparisons held.
    #[serde(skip_serializing_if = "no")]
    pub succeeded: bool,
}

/// A comparison in a transaction: of a key's `mod_revision` only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// `MOD`.
    pub target: String,
    /// `EQUAL`.
    pub result: String,
    /// The key.
    pub key: Bytes,
    /// What its revision must be; 0 for a key that is not there.
    #[serde(with = "number")]
    pub mod_revision: i64,
}

impl Compare {
    /// That a key was changed last by this revision; 0 for one that is not there.
    pub fn unchanged(key: Bytes, mod_revision: i64) -> Self {
        Compare { target: "MOD".into(), result: "EQUAL".into(), key, mod_revision }
    }
}

/// One thing that a transaction does.
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

/// A transaction: all of `success`, at one revision, if all comparisons hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The comparisons.
    pub compare: Vec<Compare>,
    /// What is done.
    pub success: Vec<RequestOp>,
}

/// Forgets the history before a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompactRequest {
    /// The oldest revision that is kept.
    #[serde(with = "number")]
    pub revision: i64,
}

/// What begins a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Bytes,
    /// The key behind the last.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// The first revision whose changes are told.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub start_revision: i64,
    /// Tell the revision from time to time, also when nothing changes.
    #[serde(skip_serializing_if = "no")]
    pub progress_notify: bool,
    /// Large answers may come in fragments.
    #[serde(skip_serializing_if = "no")]
    pub fragment: bool,
}

/// A watch's request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Begins one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_request: Option<WatchCreate>,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// It was written.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

/// A change of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key; of one removed only key and `mod_revision`.
    pub kv: KeyValue,
}

/// One answer of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// See [`Header`].
    pub header: Header,
    /// It began.
    #[serde(skip_serializing_if = "no")]
    pub created: bool,
    /// It ended.
    #[serde(skip_serializing_if = "no")]
    pub canceled: bool,
    /// It ended as the history before this revision is gone.
    #[serde(with = "number", skip_serializing_if = "zero")]
    pub compact_revision: i64,
    /// Why it ended.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// More of the same revision follows.
    #[serde(skip_serializing_if = "no")]
    pub fragment: bool,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Seconds without a keep-alive after which it ends, for a grant.
    #[serde(rename = "TTL", with = "number", skip_serializing_if = "zero")]
    pub ttl: i64,
    /// The lease; 0 lets the registry choose.
    #[serde(rename = "ID", with = "number", skip_serializing_if = "zero")]
    pub id: i64,
}

/// A lease's answer. A keep-alive of one that ended has no TTL.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// See [`Header`].
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", with = "number", skip_serializing_if = "zero")]
    pub id: i64,
    /// Seconds that it has.
    #[serde(rename = "TTL", with = "number", skip_serializing_if = "zero")]
    pub ttl: i64,
}

/// A login.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AuthRequest {
    /// The user.
    pub name: String,
    /// The password.
    pub password: String,
}

/// A login's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AuthResponse {
    /// See [`Header`].
    pub header: Header,
    /// What further requests show as `Authorization`.
    pub token: String,
}

/// One line of a streamed answer, or an error in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The answer.
    pub result: Option<T>,
    /// The error.
    pub error: Option<ErrorBody>,
}

/// Codes of gRPC that matter here.
pub mod code {
    /// The key, lease or revision is not there.
    pub const NOT_FOUND: i64 = 5;
    /// A revision is compacted or in the future.
    pub const OUT_OF_RANGE: i64 = 11;
    /// The member cannot answer now.
    pub const UNAVAILABLE: i64 = 14;
    /// The token is none that holds.
    pub const UNAUTHENTICATED: i64 = 16;
}

/// An error's body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// Words.
    #[serde(alias = "error")]
    pub message: String,
    /// A code of gRPC.
    #[serde(alias = "grpc_code")]
    pub code: i64,
}

/// The key behind all that begin with a prefix (etcd documentation, "Key ranges").
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // No key is behind all: the range to the end of all keys.
    vec![0]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_texts_or_numbers_and_what_is_zero_may_be_missing() {
        let text = r#"{"header":{"cluster_id":"14841639068965178418","revision":12},"kvs":[{"key":"YQ=="}],"count":"1"}"#;
        let read: RangeResponse = serde_json::from_str(text).unwrap();
        assert_eq!((read.header.revision, read.count, read.kvs[0].key.0.as_slice()), (12, 1, &b"a"[..]));
        assert!(read.header.cluster_id < 0, "the bits of an unsigned number");
        let ask = RangeRequest { key: Bytes::of("a"), limit: 5, ..RangeRequest::default() };
        assert_eq!(serde_json::to_string(&ask).unwrap(), r#"{"key":"YQ==","limit":"5"}"#);
        assert!(serde_json::from_str::<RangeResponse>(r#"{"kvs":[{"key":"%%"}]}"#).is_err());
    }

    #[test]
    fn a_streamed_line_is_an_answer_or_an_error() {
        let line =
            r#"{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}}"#;
        let read: Streamed<WatchResponse> = serde_json::from_str(line).unwrap();
        assert_eq!(read.result.unwrap().events[0].kind, EventType::Delete);
        let line = r#"{"error":{"grpc_code":16,"message":"etcdserver: invalid auth token"}}"#;
        let read: Streamed<WatchResponse> = serde_json::from_str(line).unwrap();
        assert_eq!(read.error.unwrap().code, code::UNAUTHENTICATED);
    }

    #[test]
    fn the_end_of_a_prefix_is_the_next_key_that_does_not_begin_with_it() {
        assert_eq!(prefix_end(b"ab"), b"ac");
        assert_eq!(prefix_end(&[b'a', 255, 255]), b"b");
        assert_eq!(prefix_end(&[255]), [0]);
    }
}
