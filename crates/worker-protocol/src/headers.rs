//! Header names of the project's profile of the protocol, shared by gateways and workers.

/// Request: the idempotency key of a call with side effects, in hexadecimal.
pub const KEY: &str = "Idempotency-Key";
/// Request: the gateway's id of the call, percent-encoded.
pub const REQUEST_ID: &str = "X-Request-Id";
/// Request: number of the attempt within the call, from 0.
pub const ATTEMPT: &str = "X-Attempt";
/// Request: milliseconds until the client's deadline.
pub const TIME_REMAINING: &str = "X-Time-Left-Ms";
/// Request: name of the call's class, percent-encoded.
pub const CLASS: &str = "X-Class";
/// Request: versions of the settings documents under which the call was sent, separated by commas; absent if
/// the gateway has no settings documents.
pub const SETTINGS: &str = "X-Settings";
/// Request: name of the gateway, for the worker's logs.
pub const GATEWAY: &str = "X-Gateway";
/// Request and response: length in bytes of the JSON part before the binary tensors (binary-tensor-data
/// extension).
pub const JSON_LENGTH: &str = "Inference-Header-Content-Length";
/// Response: proves that the call was not started and never will be; the value is [`NOT_EXECUTED_FULL`] or
/// [`NOT_EXECUTED_MISS`].
pub const NOT_EXECUTED: &str = "X-Never-Ran";
/// Value of [`NOT_EXECUTED`]: rejected for lack of capacity or time.
pub const NOT_EXECUTED_FULL: &str = "full";
/// Value of [`NOT_EXECUTED`]: the function is not loaded.
pub const NOT_EXECUTED_MISS: &str = "miss";
/// Response: calls of the same function that were queued or running at the worker on arrival.
pub const QUEUE_DEPTH: &str = "X-Crowd";
/// Response: number of loaded replicas of the function.
pub const COPIES: &str = "X-Copies";
/// Response: the error was caused by a failed load of the function.
pub const LOAD_FAILED: &str = "X-Load-Failed";
/// The only value of [`LOAD_FAILED`].
pub(crate) const LOAD_FAILED_TRUE: &str = "1";
/// Response: version or digest of the function that ran.
pub const RAN: &str = "X-Ran";
/// Response: the worker's load report, an ORCA load report in JSON form.
pub const LOAD: &str = "endpoint-load-metrics";
