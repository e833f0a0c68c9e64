//! Messages of the etcd v3 protocol in the JSON mapping of etcd's gRPC gateway: 64-bit numbers are strings,
//! bytes are base64, zero values are omitted (etcd documentation, "gRPC gateway"; proto3 JSON mapping). Used
//! by clients and servers.
//!
//! Types and fields are named as in etcd's `rpc.proto`; fields that are not used here are left out.

mod encoding;
mod kv;
mod lease;
mod watch;

pub use encoding::Bytes;
pub use kv::{
    prefix_end, CompactRequest, Compare, DeleteRequest, KeyValue, PlainResponse, PutRequest, RangeRequest,
    RangeResponse, RequestOp, TxnRequest,
};
pub use lease::{LeaseRequest, LeaseResponse};
pub use watch::{EventType, WatchCreate, WatchEvent, WatchRequest, WatchResponse};

use encoding::{is_zero, number};
use serde::{Deserialize, Serialize};

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
/// Path of a watch, whose responses are streamed.
pub const WATCH: &str = "/v3/watch";
/// Path of the grant of a lease.
pub const GRANT: &str = "/v3/lease/grant";
/// Path of the keep-alive of a lease.
pub const KEEP_ALIVE: &str = "/v3/lease/keepalive";
/// Path of the revocation of a lease.
pub const REVOKE: &str = "/v3/lease/revoke";
/// Path of a member's status.
pub const STATUS: &str = "/v3/maintenance/status";
/// Path of a login.
pub const AUTHENTICATE: &str = "/v3/auth/authenticate";

/// The header that every response contains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The id of the cluster; a restored backup has a different id.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub cluster_id: i64,
    /// The id of the member that responded.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub member_id: i64,
    /// The revision of the store at the time of the response.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub revision: i64,
}

/// Request of a login.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AuthRequest {
    /// The user name.
    pub name: String,
    /// The password, in plain text.
    pub password: String,
}

/// Response to a login.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AuthResponse {
    /// See [`Header`].
    pub header: Header,
    /// The token, which is the value of the `Authorization` header of further requests.
    pub token: String,
}

/// One line of a streamed response, which holds either a result or an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The result; `None` if the line holds an error.
    pub result: Option<T>,
    /// The error; `None` if the line holds a result.
    pub error: Option<ErrorBody>,
}

/// The gRPC status codes that are handled here (grpc.io, "Status Codes").
pub mod code {
    /// The key, lease or revision does not exist.
    pub const NOT_FOUND: i64 = 5;
    /// The requested revision was compacted or is in the future.
    pub const OUT_OF_RANGE: i64 = 11;
    /// The member is temporarily unavailable.
    pub const UNAVAILABLE: i64 = 14;
    /// The token is invalid or expired.
    pub const UNAUTHENTICATED: i64 = 16;
}

/// The body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// The message, for people; decisions depend on `code` only.
    #[serde(alias = "error")]
    pub message: String,
    /// The gRPC status code, see [`code`].
    #[serde(alias = "grpc_code")]
    pub code: i64,
}

#[cfg(test)]
mod tests;
