//! Byte-for-byte examples of the formats that are stored or sent: the entries of workers, routers (gateways)
//! and relays in the registry, and the snapshot that a gateway saves on disk. Other versions wrote them and
//! will read them, so renaming items in the code must not change them. The literals are output of the program
//! and must not be derived from code.

use slatevalve_registry::wire::{Bytes, Header, KeyValue, RangeResponse};
use slatevalve_registry::*;

const PREFIX: &str = "/slatevalve/";

const WORKER_KEY: &str = "/slatevalve/workers/worker-1";
const WORKER: &str = r#"{"address":"10.1.2.3:7001","zone":"zone-a","kind":"large","cell":18446744073709551615,"weight":2.5,"state":"ready","up-since-unix-ms":1764684181123.5}"#;
const DRAINING_WORKER: &str = r#"{"address":"[2001:db8::1]:7001","zone":"default","kind":"default","cell":0,"weight":1.0,"state":"draining"}"#;

const ROUTER_KEY: &str = "/slatevalve/routers/gateway-1";
const ROUTER: &str = r#"{"zone":"zone-a","up-since-unix-ms":1764684181123}"#;

const RELAY_KEY: &str = "/slatevalve/relays/relay-1";
const RELAY: &str = r#"{"routers":17}"#;

/// A snapshot of two keys: `/s/workers/a` with the value `{"cell":1}`, and `/s/workers/b` with an empty
/// value.
const SNAPSHOT: &str = r#"{"keys":[[[47,115,47,119,111,114,107,101,114,115,47,97],[123,34,99,101,108,108,34,58,49,125]],[[47,115,47,119,111,114,107,101,114,115,47,98],[]]],"revisions":[[5,40],[6,6]],"revision":42,"cluster":-77,"askers":9}"#;

fn worker() -> WorkerRecord {
    WorkerRecord {
        address: "10.1.2.3:7001".parse().unwrap(),
        zone: "zone-a".into(),
        kind: "large".into(),
        cell: 18_446_744_073_709_551_615,
        weight: 2.5,
        state: MemberState::Ready,
        up_since_unix_ms: Some(1_764_684_181_123.5),
    }
}

fn draining_worker() -> WorkerRecord {
    WorkerRecord {
        address: "[2001:db8::1]:7001".parse().unwrap(),
        zone: "default".into(),
        kind: "default".into(),
        cell: 0,
        weight: 1.0,
        state: MemberState::Draining,
        up_since_unix_ms: None,
    }
}

fn router() -> RouterRecord {
    RouterRecord { zone: "zone-a".into(), up_since_unix_ms: 1_764_684_181_123 }
}

fn read(key: &str, value: &str) -> Option<Member> {
    read_member(PREFIX, key.as_bytes(), value.as_bytes()).unwrap()
}

#[test]
fn keys_of_workers_routers_and_relays_are_unchanged() {
    assert_eq!(worker_key(PREFIX, "worker-1"), WORKER_KEY);
    assert_eq!(router_key(PREFIX, "gateway-1"), ROUTER_KEY);
    assert_eq!([PREFIX, RELAYS, "relay-1"].concat(), RELAY_KEY);
}

#[test]
fn a_worker_entry_with_all_fields_is_unchanged() {
    assert_eq!(serde_json::to_string(&worker()).unwrap(), WORKER);
    assert_eq!(read(WORKER_KEY, WORKER), Some(Member::Worker("worker-1".into(), worker())));
}

#[test]
fn an_entry_of_a_draining_worker_without_a_start_time_is_unchanged() {
    assert_eq!(serde_json::to_string(&draining_worker()).unwrap(), DRAINING_WORKER);
    let expected = Member::Worker("worker-1".into(), draining_worker());
    assert_eq!(read(WORKER_KEY, DRAINING_WORKER), Some(expected));
}

/// This program does not write such an entry, but other programs may omit these fields.
#[test]
fn absent_fields_of_a_worker_entry_have_defaults() {
    let expected = WorkerRecord { state: MemberState::Ready, ..draining_worker() };
    let address_only = r#"{"address":"[2001:db8::1]:7001"}"#;
    assert_eq!(read(WORKER_KEY, address_only), Some(Member::Worker("worker-1".into(), expected)));
}

#[test]
fn a_router_entry_is_unchanged() {
    assert_eq!(serde_json::to_string(&router()).unwrap(), ROUTER);
    assert_eq!(read(ROUTER_KEY, ROUTER), Some(Member::Router("gateway-1".into(), router())));
}

/// This program does not write such an entry, but other programs may omit these fields.
#[test]
fn absent_fields_of_a_router_entry_have_defaults() {
    let expected = RouterRecord { zone: String::new(), up_since_unix_ms: 0 };
    assert_eq!(read(ROUTER_KEY, "{}"), Some(Member::Router("gateway-1".into(), expected)));
}

#[test]
fn a_relay_entry_is_unchanged() {
    assert_eq!(serde_json::to_string(&RelayRecord { routers: 17 }).unwrap(), RELAY);
    assert_eq!(serde_json::from_str::<RelayRecord>(RELAY).unwrap(), RelayRecord { routers: 17 });
}

fn snapshot_changes() -> Vec<Change> {
    let put = |key: &str, value: &str| Change::Put { key: key.into(), value: value.into(), created: true };
    vec![put("/s/workers/a", r#"{"cell":1}"#), put("/s/workers/b", "")]
}

#[test]
fn a_snapshot_is_written_unchanged() {
    let pair = |key: &str, value: &str, create_revision: i64, mod_revision: i64| KeyValue {
        key: Bytes::of(key),
        value: Bytes::of(value),
        create_revision,
        mod_revision,
        ..KeyValue::default()
    };
    let page = RangeResponse {
        header: Header { cluster_id: -77, member_id: 3, revision: 42 },
        kvs: vec![pair("/s/workers/a", r#"{"cell":1}"#, 5, 40), pair("/s/workers/b", "", 6, 6)],
        more: false,
        count: 2,
    };
    let mut watch_state = WatchState::new(WatchSettings::default());
    assert_eq!(watch_state.handle_list(0, page), snapshot_changes());
    assert_eq!(String::from_utf8(watch_state.to_snapshot(9)).unwrap(), SNAPSHOT);
}

#[test]
fn a_snapshot_is_loaded_and_written_unchanged() {
    let mut watch_state = WatchState::new(WatchSettings::default());
    let loaded = watch_state.load_snapshot(SNAPSHOT.as_bytes()).unwrap();
    assert_eq!((loaded.changes, loaded.clients), (snapshot_changes(), 9));
    assert_eq!((watch_state.cluster(), watch_state.next_request()), (-77, NextRequest::Watch(43)));
    let revisions: Vec<(i64, i64)> =
        watch_state.entries().values().map(|entry| (entry.create_revision, entry.mod_revision)).collect();
    assert_eq!(revisions, [(5, 40), (6, 6)]);
    assert_eq!(String::from_utf8(watch_state.to_snapshot(9)).unwrap(), SNAPSHOT);
}

/// Only earlier versions wrote such snapshots.
#[test]
fn after_loading_a_snapshot_without_revisions_everything_is_listed() {
    let mut watch_state = WatchState::new(WatchSettings::default());
    let old = br#"{"keys":[[[47,115,47,119,111,114,107,101,114,115,47,98],[]]]}"#;
    let loaded = watch_state.load_snapshot(old).unwrap();
    assert_eq!((loaded.changes, loaded.clients), (snapshot_changes().split_off(1), 0));
    assert!(matches!(watch_state.next_request(), NextRequest::List(_)));
}
