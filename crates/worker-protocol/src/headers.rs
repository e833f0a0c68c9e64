//! The names of the headers that the profile uses; both sides take them from here.

/// Request: the key of a keyed or unsafe call, hexadecimal.
pub const KEY: &str = "Idempotency-Key";
/// Request: the gateway's number of the call.
pub const REQUEST_ID: &str = "X-Request-Id";
/// Request: which attempt of the call this is, from 0.
pub const ATTEMPT: &str = "X-Attempt";
/// Request: milliseconds until the client gives up.
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
/// Request: the class of the call.
pub const CLASS: &str = "X-Class";
/// Request: numbers of the settings documents that the call was sent by, with commas between; none where there are none.
pub const SETTINGS: &str = "X-Settings";
/// Request: the gateway that asks, for the worker's own logs.
pub const GATEWAY: &str = "X-Gateway";
/// Request and response: bytes of the JSON part before the binary tensors (binary-data extension).
pub const JSON_LENGTH: &str = "Inference-Header-Content-Length";
/// Response: the call was never begun and never will be: [`NEVER_RAN_FULL`] or [`NEVER_RAN_MISS`].
pub const NEVER_RAN: &str = "X-Never-Ran";
/// Value of [`NEVER_RAN`]: turned away for want of room or time.
pub const NEVER_RAN_FULL: &str = "full";
/// Value of [`NEVER_RAN`]: the function is not loaded here.
pub const NEVER_RAN_MISS: &str = "miss";
/// Response: calls of the same function that the worker held when this one came.
pub const QUEUE_DEPTH: &str = "X-Crowd";
/// Response: copies of the function that stand.
pub const COPIES: &str = "X-Copies";
/// Response: the load behind an error failed.
pub const LOAD_FAILED: &str = "X-Load-Failed";
/// Response: version or digest of the function that ran.
pub const RAN: &str = "X-Ran";
/// Response: the worker's load report, an ORCA load report in its JSON form.
pub const LOAD: &str = "endpoint-load-metrics";
