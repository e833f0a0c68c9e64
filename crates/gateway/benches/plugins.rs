//! Startup time of a gateway with 10,000 blobs in its plug-in folder, compared with only reading and hashing
//! the same files. `cargo bench -p slatevalve-gateway --bench plugins`

use criterion::{Criterion, Throughput};
use slatevalve_gateway::plugins::folder::{verify, PluginFolder};
use slatevalve_plugins::{Digest, LayerRef, Manifest};
use std::path::Path;

const VERSIONS: usize = 5_000;
const LAYER_BYTES: usize = 16 * 1024;

/// Fills a folder with versions of one layer each, without the syncs of a push; returns the number of bytes
/// written.
fn fill(path: &Path) -> u64 {
    let mut folder = PluginFolder::open(path).unwrap();
    let mut bytes = 0;
    let mut write = |content: &[u8]| {
        let digest = Digest::of(content);
        std::fs::write(path.join("blobs/sha256").join(digest.hex()), content).unwrap();
        bytes += content.len() as u64;
        digest
    };
    let mut versions = Vec::new();
    for n in 0..VERSIONS {
        let mut layer = vec![7; LAYER_BYTES];
        layer[..8].copy_from_slice(&n.to_le_bytes());
        let manifest = Manifest {
            name: format!("fare-{}", n % 100),
            version: format!("{n}"),
            tenant: None,
            class: "quote".into(),
            effect: None,
            concurrency: 1,
            memory_mb: 0.0,
            load_ms: 0.0,
            engine: None,
            layers: vec![LayerRef { digest: write(&layer), size: LAYER_BYTES as u64 }],
        };
        let digest = write(&serde_json::to_vec(&manifest).unwrap());
        versions.push((manifest, digest));
    }
    folder
        .change(|catalogue, _| {
            for (manifest, digest) in versions {
                let (name, version) = (manifest.name.clone(), manifest.version.clone());
                catalogue.publish(manifest, digest)?;
                catalogue.complete(&name, &version)?;
            }
            Ok(())
        })
        .unwrap();
    bytes
}

fn recovery(c: &mut Criterion) {
    let directory = tempfile::tempdir().unwrap();
    let bytes = fill(directory.path());
    let mut group = c.benchmark_group("start with 10,000 blobs");
    group.sample_size(10).throughput(Throughput::Bytes(bytes));
    group.bench_function("recovery", |b| {
        b.iter(|| {
            let mut folder = PluginFolder::open(directory.path()).unwrap();
            let found = folder.change(|catalogue, store| Ok(verify(catalogue, store, 0, &mut |_| {})));
            assert!(found.unwrap().is_empty());
        });
    });
    group.bench_function("read and hash alone", |b| {
        b.iter(|| {
            let files = std::fs::read_dir(directory.path().join("blobs/sha256")).unwrap();
            files.fold(0, |sum, f| sum ^ Digest::of(&std::fs::read(f.unwrap().path()).unwrap()).hex().len())
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    recovery(&mut criterion);
    criterion.final_summary();
}
