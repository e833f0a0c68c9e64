//! Unary requests to the test registry.

use super::server::Server;
use super::store::{KvStore, Refusal};
use crate::clock::unix_micros;
use serde::de::DeserializeOwned;
use serde::Serialize;
use slatevalve_http::Message;
use slatevalve_reactor::Id;
use slatevalve_registry::wire::*;

/// The gRPC status code for a request that cannot be parsed.
const INVALID_ARGUMENT: i64 = 3;

impl Server {
    pub(super) fn handle_request(&mut self, id: Id, request: &Message) {
        let path = request.head.target.as_str();
        let response = if path == AUTHENTICATE {
            parse(&request.body).and_then(|login| encode(self.store.authenticate(&login)))
        } else if !self.store.admits(request.head.header("Authorization")) {
            Err((code::UNAUTHENTICATED, "etcdserver: invalid auth token"))
        } else if path == WATCH {
            return self.start_watch(id, &request.body);
        } else {
            execute(&mut self.store, unix_micros(), path, &request.body)
        };
        match response {
            Ok(body) => self.write(id, 200, "", &body),
            Err((code, message)) => {
                let status = if code == code::UNAUTHENTICATED { 401 } else { 400 };
                let error = ErrorBody { message: message.into(), code };
                self.write(id, status, "", &serde_json::to_vec(&error).unwrap_or_default());
            }
        }
    }
}

/// Executes a request; returns the body of the response.
fn execute(store: &mut KvStore, now: i64, path: &str, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    match path {
        RANGE => encode(store.range(&parse(body)?)),
        PUT => encode(store.put(now, &parse(body)?)),
        DELETE => encode(Ok(store.delete(now, &parse(body)?))),
        TXN => encode(store.transact(now, &parse(body)?)),
        COMPACT => encode(store.compact(parse::<CompactRequest>(body)?.revision)),
        GRANT => encode(Ok(store.grant(now, parse::<LeaseRequest>(body)?.ttl))),
        KEEP_ALIVE => {
            let result = Some(store.renew_lease(now, parse::<LeaseRequest>(body)?.id));
            encode(Ok(Streamed { result, error: None }))
        }
        REVOKE => match store.revoke(now, parse::<LeaseRequest>(body)?.id) {
            true => encode(Ok(empty_response(store))),
            false => Err((code::NOT_FOUND, "etcdserver: requested lease not found")),
        },
        STATUS => encode(Ok(empty_response(store))),
        _ => Err((code::NOT_FOUND, "no such path")),
    }
}

fn empty_response(store: &KvStore) -> PlainResponse {
    PlainResponse { header: store.header(), ..PlainResponse::default() }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|_| (INVALID_ARGUMENT, "the request makes no sense"))
}

fn encode<T: Serialize>(response: Result<T, Refusal>) -> Result<Vec<u8>, Refusal> {
    response.map(|body| serde_json::to_vec(&body).unwrap_or_default())
}
