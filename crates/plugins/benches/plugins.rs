//! Resolution of a call's reference for several catalogue sizes, and verification compared with hashing
//! alone. `cargo bench -p slatevalve-plugins`

use criterion::{BenchmarkId, Criterion, Throughput};
use sha2::{Digest as _, Sha256};
use slatevalve_plugins::{Catalogue, Digest, LayerRef, Manifest, Reference, Verifier, CURRENT};

fn catalogue(versions: usize) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for n in 0..versions {
        let layers = vec![LayerRef { digest: Digest::of(&n.to_le_bytes()), size: 8 }];
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
            layers,
        };
        catalogue.publish(manifest, Digest::of(format!("manifest {n}").as_bytes())).unwrap();
        catalogue.complete(&format!("fare-{}", n % 100), &format!("{n}")).unwrap();
    }
    catalogue.move_alias("fare-7", CURRENT, "7", None, "bench", 0).unwrap();
    catalogue
}

fn resolution(c: &mut Criterion) {
    let mut group = c.benchmark_group("resolve a call's reference");
    for versions in [10, 100_000] {
        let catalogue = catalogue(versions);
        for text in ["fare-7", "fare-7@7"] {
            let id = BenchmarkId::new(text, versions);
            group.bench_function(id, |b| {
                b.iter(|| catalogue.resolve(&text.parse::<Reference>().unwrap()).unwrap());
            });
        }
    }
    group.finish();
}

fn verification(c: &mut Criterion) {
    let content = vec![7u8; 16 * 1024 * 1024];
    let digest = Digest::of(&content);
    let mut group = c.benchmark_group("verify 16 MiB in pieces of 64 KiB");
    group.sample_size(10).throughput(Throughput::Bytes(content.len() as u64));
    group.bench_function("sha2 alone", |b| {
        b.iter(|| {
            let mut hash = Sha256::new();
            content.chunks(64 * 1024).for_each(|piece| hash.update(piece));
            hash.finalize()
        });
    });
    group.bench_function("verifier", |b| {
        b.iter(|| {
            let mut verifier = Verifier::new(digest, content.len() as u64);
            content.chunks(64 * 1024).for_each(|piece| verifier.update(piece).unwrap());
            verifier.finish().unwrap();
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    resolution(&mut criterion);
    verification(&mut criterion);
    criterion.final_summary();
}
