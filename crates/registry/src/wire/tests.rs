//! Unit tests of the parent module.

use super::*;

#[test]
fn numbers_are_read_from_strings_or_numbers_and_zero_values_may_be_omitted() {
    let text = r#"{"header":{"cluster_id":"14841639068965178418","revision":12},"kvs":[{"key":"YQ=="}],"count":"1"}"#;
    let read: RangeResponse = serde_json::from_str(text).unwrap();
    assert_eq!((read.header.revision, read.count, read.kvs[0].key.0.as_slice()), (12, 1, &b"a"[..]));
    assert!(read.header.cluster_id < 0, "an unsigned id is reinterpreted as signed");
    let request = RangeRequest { key: Bytes::of("a"), limit: 5, ..RangeRequest::default() };
    assert_eq!(serde_json::to_string(&request).unwrap(), r#"{"key":"YQ==","limit":"5"}"#);
    assert!(serde_json::from_str::<RangeResponse>(r#"{"kvs":[{"key":"%%"}]}"#).is_err());
}

#[test]
fn a_streamed_line_holds_a_result_or_an_error() {
    let line = r#"{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}}"#;
    let read: Streamed<WatchResponse> = serde_json::from_str(line).unwrap();
    assert_eq!(read.result.unwrap().events[0].kind, EventType::Delete);
    let line = r#"{"error":{"grpc_code":16,"message":"etcdserver: invalid auth token"}}"#;
    let read: Streamed<WatchResponse> = serde_json::from_str(line).unwrap();
    assert_eq!(read.error.unwrap().code, code::UNAUTHENTICATED);
}

#[test]
fn the_end_of_a_prefix_is_the_first_key_after_all_keys_with_it() {
    assert_eq!(prefix_end(b"ab"), b"ac");
    assert_eq!(prefix_end(&[b'a', 255, 255]), b"b");
    assert_eq!(prefix_end(&[255]), [0]);
}
