//! Messages of watches, and their events.

use super::encoding::{is_false, is_zero, number};
use super::{Bytes, Header, KeyValue};
use serde::{Deserialize, Serialize};

/// Creates a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key to watch.
    pub key: Bytes,
    /// The end of the range, exclusive; empty to watch only `key`.
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// The first revision whose changes are delivered; 0 for those after the current revision.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub start_revision: i64,
    /// Whether progress notifications are sent while nothing changes.
    #[serde(skip_serializing_if = "is_false")]
    pub progress_notify: bool,
    /// Whether large responses may be split into several.
    #[serde(skip_serializing_if = "is_false")]
    pub fragment: bool,
}

/// Request of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Creates a watch; the only request supported here.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_request: Option<WatchCreate>,
}

/// The kind of change of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was created or its value was replaced.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// A change of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// The kind of change.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key; for a deletion only `key` and `mod_revision` are set.
    pub kv: KeyValue,
}

/// One response of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// See [`Header`].
    pub header: Header,
    /// Whether this response confirms that the watch was created.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether the watch was canceled.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// The oldest available revision, if the watch was canceled because its start revision is compacted;
    /// otherwise 0.
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    /// Why the watch was canceled; may be empty.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// Whether the next response continues the events of this one.
    #[serde(skip_serializing_if = "is_false")]
    pub fragment: bool,
    /// The events in the order of their revisions; empty in a progress notification.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}
