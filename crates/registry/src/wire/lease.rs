//! Leases.

use super::encoding::{is_zero, number};
use super::Header;
use serde::{Deserialize, Serialize};

/// Grants a lease, keeps it alive or revokes it, by the path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Time to live without a keep-alive in seconds, for a grant.
    #[serde(rename = "TTL", with = "number", skip_serializing_if = "is_zero")]
    pub ttl: i64,
    /// The lease; 0 in a grant lets the registry choose the id.
    #[serde(rename = "ID", with = "number", skip_serializing_if = "is_zero")]
    pub id: i64,
}

/// Response to a grant or a keep-alive; the keep-alive of an expired lease has no TTL.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// See [`Header`].
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", with = "number", skip_serializing_if = "is_zero")]
    pub id: i64,
    /// Remaining time to live in seconds.
    #[serde(rename = "TTL", with = "number", skip_serializing_if = "is_zero")]
    pub ttl: i64,
}
