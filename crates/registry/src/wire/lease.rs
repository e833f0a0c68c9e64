//! Messages that grant, keep alive and revoke leases.

use super::encoding::{is_zero, number};
use super::Header;
use serde::{Deserialize, Serialize};

/// Grants a lease, keeps it alive or revokes it, depending on the path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Requested time to live without a keep-alive in seconds; only set in a grant.
    #[serde(rename = "TTL", with = "number", skip_serializing_if = "is_zero")]
    pub ttl: i64,
    /// The id of the lease; 0 in a grant lets the registry choose one.
    #[serde(rename = "ID", with = "number", skip_serializing_if = "is_zero")]
    pub id: i64,
}

/// Response to a grant or a keep-alive. For the keep-alive of an expired lease `ttl` is 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// See [`Header`].
    pub header: Header,
    /// The id of the lease.
    #[serde(rename = "ID", with = "number", skip_serializing_if = "is_zero")]
    pub id: i64,
    /// Remaining time to live in seconds.
    #[serde(rename = "TTL", with = "number", skip_serializing_if = "is_zero")]
    pub ttl: i64,
}
