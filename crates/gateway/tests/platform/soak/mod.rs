//! Short days of whole routers as processes, with faults drawn from a seed, judged by what clients and workers recorded.
//!
//! `SLATEVALVE_SOAK_SEEDS=1..50 cargo test -p slatevalve-gateway --test platform soak -- --nocapture` plays other seeds.

mod clients;
mod day;
mod verdict;

use std::ops::Range;

/// Played without the variable; few, as each takes some seconds.
const DEFAULT_SEEDS: Range<u64> = 1..9;
const SEEDS_VARIABLE: &str = "SLATEVALVE_SOAK_SEEDS";
/// Days at a time.
const PARALLEL_DAYS: usize = 4;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return DEFAULT_SEEDS };
    let (first, end) = text.split_once("..").expect("seeds as FIRST..END");
    first.parse().expect("a first seed")..end.parse().expect("an end")
}

/// Guards the platform's rules on days of drawn faults: one answer in time, unsafe calls run once, drains kept, nothing sent for
/// clients that left, no time beyond what clients have, restarts that are ready soon.
#[test]
fn the_rules_hold_on_days_of_drawn_faults() {
    let seeds: Vec<u64> = seeds().collect();
    let mut broken = Vec::new();
    for seeds in seeds.chunks(PARALLEL_DAYS) {
        let days: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || verdict::judge(&day::play(seed))
                    }),
                )
            })
            .collect();
        for (seed, day) in days {
            let violations = day.join().unwrap_or_else(|_| vec!["the day itself failed".into()]);
            if !violations.is_empty() {
                println!("seed {seed}: {} violations, {violations:#?}", violations.len());
                broken.push(seed);
            }
        }
    }
    println!("{} days played, broken: {broken:?}", seeds.len());
    assert!(broken.is_empty(), "rules broken with seeds {broken:?}");
}
