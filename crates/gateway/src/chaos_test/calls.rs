//! The calls of a bad day, from a seed: Poisson arrivals, a mix of classes, popular and rare functions, bursts and
//! clients that repeat themselves.

use super::script::{Load, Script};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slatevalve_test_servers::Arrival;

/// What a class needs of its calls.
pub(super) struct ClassRequirements {
    pub(super) name: String,
    /// Whether its calls carry a key.
    pub(super) keyed: bool,
    /// How long its clients wait.
    pub(super) budget_us: i64,
}

/// All calls of a day that begins at `start_us`, in the order of time.
pub(super) fn arrivals(
    script: &Script,
    classes: &[ClassRequirements],
    tenants: &[String],
    seed: u64,
    start_us: i64,
) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut found = Vec::new();
    let mut at = 0.0;
    let most = script.load.bursts.iter().map(|b| b.times).fold(1.0, f64::max);
    // Thinning: candidates at the highest rate, each kept with the chance that its moment has.
    while at < script.seconds {
        let chance: f64 = random.random();
        at += -(1.0 - chance).ln() / (script.load.per_second * most).max(1e-9);
        let (times, burst_only) = rate_at(&script.load, at);
        let kept: f64 = random.random();
        if kept * most >= times || at >= script.seconds {
            continue;
        }
        // Calls beyond the usual rate may all be one tenant's.
        let one_tenant = burst_only && kept * most >= 1.0;
        let call = format!("{seed}-{}", found.len());
        let class = pick(&script.load.mix, random.random());
        let Some(needs) = classes.iter().find(|c| c.name == class) else { continue };
        let tenant = match tenants.len() {
            0 => "none",
            _ if one_tenant => &tenants[0],
            n => &tenants[random.random_range(0..n)],
        };
        let function = function(&script.load, &class, &mut random, found.len());
        let work: f64 = random.random_range(0.5..1.5);
        let connection = random.random_range(0..script.clients);
        let arrival = Arrival {
            at_us: start_us + (at * 1e6) as i64,
            topic: format!("calls/{class}/{function}/{tenant}"),
            key: needs.keyed.then(|| call.clone()),
            call,
            class,
            budget_us: needs.budget_us,
            work_us: (script.load.work_ms * 1_000.0 * work) as i64,
            connection,
            qos: if random.random_bool(0.2) { 2 } else { 1 },
            again: false,
        };
        repeat(&script.load, &arrival, &mut random, &mut found);
        found.push(arrival);
    }
    found.sort_by_key(|a| a.at_us);
    found
}

/// How many times the usual rate holds at a moment, and whether what is more than usual is one tenant's.
fn rate_at(load: &Load, at: f64) -> (f64, bool) {
    let burst = load.bursts.iter().find(|b| b.at <= at && at < b.at + b.lasts);
    burst.map_or((1.0, false), |b| (b.times, b.one_tenant))
}

fn pick(mix: &[(String, f64)], chance: f64) -> String {
    let mut rest = chance * mix.iter().map(|m| m.1).sum::<f64>();
    for (name, share) in mix {
        if rest < *share {
            return name.clone();
        }
        rest -= share;
    }
    mix.last().map(|m| m.0.clone()).unwrap_or_default()
}

/// The n-th most popular function is asked for in proportion to 1/n.
fn function(load: &Load, class: &str, random: &mut Pcg64Mcg, number: usize) -> String {
    if load.scan > 0.0 && random.random_bool(load.scan.min(1.0)) {
        return format!("{class}-once-{number}");
    }
    let total: f64 = (1..=load.functions).map(|n| 1.0 / n as f64).sum();
    let mut rest = random.random::<f64>() * total;
    let mut n = 1;
    while n < load.functions && rest >= 1.0 / n as f64 {
        rest -= 1.0 / n as f64;
        n += 1;
    }
    format!("{class}-{n}")
}

fn repeat(load: &Load, arrival: &Arrival, random: &mut Pcg64Mcg, found: &mut Vec<Arrival>) {
    let Some(repeats) = load.repeats.filter(|r| random.random_bool(r.part.clamp(0.0, 1.0))) else { return };
    for n in 1..=repeats.times {
        let after = (repeats.after_ms * 1_000.0 * n as f64) as i64;
        found.push(Arrival { at_us: arrival.at_us + after, again: true, ..arrival.clone() });
    }
}
