//! Requests other than watches: lists of workers, counts of routers, and the leases and entries of routers.

use super::{Peer, Relay, RelayAction};
use crate::watch_cache::RangeError;
use serde::de::DeserializeOwned;
use serde::Serialize;
use slatevalve_registry::serve::answer;
use slatevalve_registry::wire::*;
use slatevalve_registry::ROUTERS;

const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// gRPC status codes of rejections that [`code`] does not define (grpc.io, "Status Codes").
const CODE_INVALID_ARGUMENT: i64 = 3;
const CODE_RESOURCE_EXHAUSTED: i64 = 8;
const CODE_UNIMPLEMENTED: i64 = 12;

/// The token that every login returns. A relay does not authenticate routers; only the relay itself
/// authenticates, to the registry.
const TOKEN: &str = "relay";

/// A rejected request.
pub(super) struct Rejection {
    /// The HTTP status.
    status: u16,
    /// The gRPC status code.
    code: i64,
    /// The message sent to the router.
    message: &'static str,
}

impl Rejection {
    pub(super) fn unavailable(message: &'static str) -> Self {
        Rejection { status: STATUS_UNAVAILABLE, code: code::UNAVAILABLE, message }
    }

    pub(super) fn unimplemented(message: &'static str) -> Self {
        Rejection { status: STATUS_BAD_REQUEST, code: CODE_UNIMPLEMENTED, message }
    }

    fn malformed() -> Self {
        let message = "the request makes no sense";
        Rejection { status: STATUS_BAD_REQUEST, code: CODE_INVALID_ARGUMENT, message }
    }

    fn unknown_lease() -> Self {
        let message = "requested lease not found";
        Rejection { status: STATUS_BAD_REQUEST, code: code::NOT_FOUND, message }
    }

    fn too_many_entries() -> Self {
        let message = "too many entries";
        Rejection { status: STATUS_TOO_MANY_REQUESTS, code: CODE_RESOURCE_EXHAUSTED, message }
    }

    /// Returns the action that sends the rejection as a response.
    pub(super) fn to_action(&self, peer: Peer) -> RelayAction {
        let body = to_json(&ErrorBody { message: self.message.into(), code: self.code });
        RelayAction::Write(peer, answer(self.status, "", &body))
    }
}

impl From<RangeError> for Rejection {
    fn from(error: RangeError) -> Self {
        Rejection { status: STATUS_BAD_REQUEST, code: error.code(), message: error.message() }
    }
}

/// The JSON body of a successful response, or the rejection.
type Response = Result<Vec<u8>, Rejection>;

/// An encoded list, with its request and the revision at which it was read.
pub(super) struct CachedList {
    request: RangeRequest,
    revision: i64,
    body: Vec<u8>,
}

pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|_| Rejection::malformed())
}

fn to_json<T: Serialize>(response: &T) -> Vec<u8> {
    serde_json::to_vec(response).unwrap_or_default()
}

impl Relay {
    /// Executes a request other than a watch; returns the JSON body of its response.
    pub(super) fn serve(&mut self, now_us: i64, path: &str, body: &[u8]) -> Response {
        let header = self.cache.header();
        match path {
            RANGE => self.range(parse(body)?),
            GRANT => {
                let granted = self.entries.grant(now_us, parse::<LeaseRequest>(body)?.ttl);
                let lease = granted.ok_or_else(Rejection::too_many_entries)?;
                Ok(to_json(&LeaseResponse { header, id: lease.id, ttl: lease.ttl_s }))
            }
            PUT => self.put(&parse(body)?),
            KEEP_ALIVE => {
                let id = parse::<LeaseRequest>(body)?.id;
                let ttl = self.entries.keep_alive(now_us, id);
                Ok(to_json(&Streamed { result: Some(LeaseResponse { header, id, ttl }), error: None }))
            }
            REVOKE => {
                let is_known = self.entries.revoke(parse::<LeaseRequest>(body)?.id);
                self.plain_response_if(is_known)
            }
            STATUS => self.plain_response_if(true),
            AUTHENTICATE => Ok(to_json(&AuthResponse { header, token: TOKEN.into() })),
            _ => Err(Rejection::unimplemented("a relay serves the list, the watch and entries of routers")),
        }
    }

    fn put(&mut self, request: &PutRequest) -> Response {
        if !request.key.0.starts_with(format!("{}{ROUTERS}", self.prefix).as_bytes()) {
            return Err(Rejection::unimplemented("a relay takes entries of routers only"));
        }
        let lease_is_known = self.entries.put(request.lease, &request.key.0);
        self.plain_response_if(lease_is_known)
    }

    fn plain_response_if(&self, lease_is_known: bool) -> Response {
        if !lease_is_known {
            return Err(Rejection::unknown_lease());
        }
        Ok(to_json(&PlainResponse { header: self.cache.header(), ..PlainResponse::default() }))
    }

    fn range(&mut self, request: RangeRequest) -> Response {
        let key = String::from_utf8_lossy(&request.key.0);
        if key.strip_prefix(&self.prefix).is_some_and(|key| key.starts_with(ROUTERS)) {
            return Ok(self.count_routers());
        }
        let revision = self.cache.revision();
        if let Some(list) = &self.cached_list {
            if list.request == request && list.revision == revision {
                return Ok(list.body.clone());
            }
        }
        let body = to_json(&self.cache.range(&request)?);
        // A limit of one key indicates a liveness check. It must not replace the cached list.
        if request.limit != 1 {
            self.cached_list = Some(CachedList { request, revision, body: body.clone() });
        }
        Ok(body)
    }

    /// Returns the number of all routers, without their entries, which only the relay of each router holds.
    /// To the registry's count it adds the routers that registered here and are not yet in this relay's
    /// record.
    fn count_routers(&self) -> Vec<u8> {
        let own_routers = self.entries.count();
        let unannounced = own_routers.saturating_sub(self.announced_routers);
        let count = (self.counted_routers + unannounced).max(own_routers) as i64;
        to_json(&RangeResponse { header: self.cache.header(), count, ..RangeResponse::default() })
    }
}
