//! Soak test: short runs of routers as processes, with random faults from a seed. The platform's rules are
//! checked on the records of clients and workers.
//!
//! To run other seeds:
//! `SLATEVALVE_SOAK_SEEDS=1..50 cargo test -p slatevalve-gateway --test platform soak -- --nocapture`

mod clients;
mod intruders;
mod rules;
mod run;

use std::ops::Range;

/// Seeds without the environment variable; few, as each run takes several seconds.
const DEFAULT_SEEDS: Range<u64> = 1..9;
const SEEDS_VARIABLE: &str = "SLATEVALVE_SOAK_SEEDS";
/// Number of concurrent runs.
const PARALLEL_RUNS: usize = 4;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return DEFAULT_SEEDS };
    let (first, end) = text.split_once("..").expect("SLATEVALVE_SOAK_SEEDS is FIRST..END");
    first.parse().expect("FIRST is a number")..end.parse().expect("END is a number")
}

/// Guards the platform's rules under random faults: each call gets one answer in time, unsafe calls run once,
/// drains are kept, nothing is sent for clients that left, no attempt gets more time than its client has,
/// restarted routers are ready soon, and none passes its limit of memory, also beside clients that keep to no rule.
#[test]
fn the_platforms_rules_hold_under_random_faults() {
    let seeds: Vec<u64> = seeds().collect();
    let mut failed_seeds = Vec::new();
    for seeds in seeds.chunks(PARALLEL_RUNS) {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || rules::check(&run::play(seed))
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            let violations = run.join().unwrap_or_else(|_| vec!["the run panicked".into()]);
            if !violations.is_empty() {
                println!("seed {seed}: {} violations, {violations:#?}", violations.len());
                failed_seeds.push(seed);
            }
        }
    }
    println!("{} runs, with violations: {failed_seeds:?}", seeds.len());
    assert!(failed_seeds.is_empty(), "rules violated with seeds {failed_seeds:?}");
}
