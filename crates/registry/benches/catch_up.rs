//! The cost of a full resync, which is required after an interruption longer than the registry's history:
//! size of the list, memory of the cache, and the time to parse and compare the list, compared with the time
//! to parse the JSON alone. Run with `cargo bench -p slatevalve-registry`.

use criterion::{BenchmarkId, Criterion};
use slatevalve_registry::wire::{Bytes, Header, KeyValue, RangeResponse};
use slatevalve_registry::{worker_key, WatchSettings, WatchState};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// An allocator that counts the bytes in use.
struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system's allocator with unchanged arguments.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Returns the response to a list of `workers` workers; if `later`, every tenth one drains.
fn list(workers: usize, later: bool) -> Vec<u8> {
    let kvs = (0..workers).map(|n| {
        let drains = later && n % 10 == 0;
        let state = if drains { "draining" } else { "ready" };
        let value = format!(
            r#"{{"address":"10.0.{}.{}:8000","zone":"zone-{}","kind":"large","cell":{},"weight":1.0,"state":"{state}","up-since-unix-ms":1796131200000.0}}"#,
            n / 250,
            n % 250,
            n % 3,
            n % 16
        );
        let key = Bytes::of(&worker_key("/slatevalve/", &format!("worker-{n}")));
        let changed = n as i64 + 2 + if drains { 100_000 } else { 0 };
        KeyValue { key, value: Bytes::of(&value), create_revision: n as i64 + 2, mod_revision: changed, version: 1, lease: 7 }
    });
    let header = Header { cluster_id: 1, member_id: 1, revision: 200_000 + i64::from(later) };
    let response = RangeResponse { header, kvs: kvs.collect(), more: false, count: workers as i64 };
    serde_json::to_vec(&response).unwrap()
}

fn catch_up(c: &mut Criterion) {
    let mut group = c.benchmark_group("a list after an interruption");
    group.sample_size(30);
    for workers in [85, 1_000] {
        let (before, after) = (list(workers, false), list(workers, true));
        let read = |bytes: &[u8]| serde_json::from_slice::<RangeResponse>(bytes).unwrap();
        let settings = WatchSettings { page_size: 10_000, ..WatchSettings::default() };
        let empty = IN_USE.load(Ordering::Relaxed);
        let mut watch_state = WatchState::new(settings);
        assert_eq!(watch_state.handle_list(0, read(&before)).len(), workers);
        let memory = IN_USE.load(Ordering::Relaxed) - empty;
        println!("{workers} workers: a list of {} bytes, {memory} bytes used by the cache", after.len());
        drop(watch_state);
        group.bench_function(BenchmarkId::new("parse and compare", workers), |b| {
            b.iter_batched(
                || {
                    let mut watch_state = WatchState::new(settings);
                    watch_state.handle_list(0, read(&before));
                    watch_state.list_compacted(1);
                    watch_state
                },
                |mut watch_state| {
                    let changes = watch_state.handle_list(2, read(&after));
                    assert_eq!(changes.len(), workers.div_ceil(10));
                    watch_state
                },
                criterion::BatchSize::SmallInput,
            );
        });
        group.bench_function(BenchmarkId::new("parse only", workers), |b| b.iter(|| read(&after).kvs.len()));
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    catch_up(&mut criterion);
    criterion.final_summary();
}
