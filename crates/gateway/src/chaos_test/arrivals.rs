//! Generates the calls of a chaos test from a seed: Poisson arrivals, a mix of classes, a Zipf distribution
//! of functions, bursts and repeated publications. Changing the order of the random draws changes the
//! generated calls.

use super::script::{ClassShare, Load, Script};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slatevalve_test_servers::Arrival;

/// Share of calls with QoS 2; all others have QoS 1.
const QOS_2_SHARE: f64 = 0.2;
/// Range of a call's work, as a factor of the mean.
const WORK_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// Properties of a class that determine how its calls are published.
pub(super) struct ClassRequirements {
    pub(super) name: String,
    /// Whether the calls have an idempotency key.
    pub(super) is_keyed: bool,
    /// Microseconds from publication to the client's deadline.
    pub(super) budget_us: i64,
}

/// The arrival rate at a point in time.
struct Rate {
    /// Factor of the rate outside bursts.
    factor: f64,
    /// Whether the calls beyond the rate outside bursts belong to one tenant.
    has_single_tenant_excess: bool,
}

/// Generates the calls of a run.
pub(super) struct ArrivalGenerator<'a> {
    pub(super) script: &'a Script,
    pub(super) classes: &'a [ClassRequirements],
    pub(super) tenants: &'a [String],
    pub(super) seed: u64,
    /// Second 0 of the run, in microseconds of the Unix clock.
    pub(super) start_us: i64,
}

impl ArrivalGenerator<'_> {
    /// Returns all calls, ordered by time. Uses thinning: candidates arrive at the highest rate, and each is
    /// accepted with the ratio of the rate at its time to the highest rate as probability.
    pub(super) fn generate(&self) -> Vec<Arrival> {
        let load = &self.script.load;
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let highest_factor = load.bursts.iter().map(|burst| burst.times).fold(1.0, f64::max);
        let mut at_s = 0.0;
        while at_s < self.script.seconds {
            let uniform: f64 = random.random();
            at_s += -(1.0 - uniform).ln() / (load.per_second * highest_factor).max(1e-9);
            let rate = rate_at(load, at_s);
            let threshold = random.random::<f64>() * highest_factor;
            if threshold >= rate.factor || at_s >= self.script.seconds {
                continue;
            }
            let is_single_tenant = rate.has_single_tenant_excess && threshold >= 1.0;
            if let Some(arrival) = self.draw(at_s, is_single_tenant, arrivals.len(), &mut random) {
                push_repeats(load, &arrival, &mut random, &mut arrivals);
                arrivals.push(arrival);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_us);
        arrivals
    }

    /// Draws one call; `None` if the settings do not define its class.
    fn draw(
        &self,
        at_s: f64,
        is_single_tenant: bool,
        number: usize,
        random: &mut Pcg64Mcg,
    ) -> Option<Arrival> {
        let load = &self.script.load;
        let call = format!("{}-{number}", self.seed);
        let class = draw_class(&load.mix, random);
        let requirements = self.classes.iter().find(|requirements| requirements.name == class)?;
        let tenant = self.draw_tenant(is_single_tenant, random);
        let function = draw_function(load, &class, number, random);
        let work: f64 = random.random_range(WORK_FACTORS);
        let connection = random.random_range(0..self.script.clients);
        Some(Arrival {
            at_us: self.start_us + (at_s * 1e6) as i64,
            topic: format!("calls/{class}/{function}/{tenant}"),
            key: requirements.is_keyed.then(|| call.clone()),
            call,
            class,
            budget_us: requirements.budget_us,
            work_us: (load.work_ms * 1_000.0 * work) as i64,
            connection,
            qos: if random.random_bool(QOS_2_SHARE) { 2 } else { 1 },
            republished: false,
        })
    }

    fn draw_tenant(&self, is_single_tenant: bool, random: &mut Pcg64Mcg) -> &str {
        match self.tenants {
            [] => "none",
            [first, ..] if is_single_tenant => first.as_str(),
            tenants => &tenants[random.random_range(0..tenants.len())],
        }
    }
}

fn rate_at(load: &Load, at_s: f64) -> Rate {
    let burst = load.bursts.iter().find(|burst| burst.at_s <= at_s && at_s < burst.at_s + burst.duration_s);
    Rate {
        factor: burst.map_or(1.0, |burst| burst.times),
        has_single_tenant_excess: burst.is_some_and(|burst| burst.one_tenant),
    }
}

fn draw_class(mix: &[ClassShare], random: &mut Pcg64Mcg) -> String {
    let uniform: f64 = random.random();
    let mut remaining = uniform * mix.iter().map(|entry| entry.share).sum::<f64>();
    for ClassShare { class, share } in mix {
        if remaining < *share {
            return class.clone();
        }
        remaining -= share;
    }
    mix.last().map(|entry| entry.class.clone()).unwrap_or_default()
}

/// Draws a function from a Zipf distribution: the n-th function has a weight of 1/n. A share of the calls is
/// for functions that are called only once.
fn draw_function(load: &Load, class: &str, number: usize, random: &mut Pcg64Mcg) -> String {
    if load.scan_share > 0.0 && random.random_bool(load.scan_share.min(1.0)) {
        return format!("{class}-once-{number}");
    }
    let total: f64 = (1..=load.functions).map(|rank| 1.0 / rank as f64).sum();
    let mut remaining = random.random::<f64>() * total;
    let mut rank = 1;
    while rank < load.functions && remaining >= 1.0 / rank as f64 {
        remaining -= 1.0 / rank as f64;
        rank += 1;
    }
    format!("{class}-{rank}")
}

/// Adds the repeated publications of a call, if it is drawn to be repeated.
fn push_repeats(load: &Load, arrival: &Arrival, random: &mut Pcg64Mcg, arrivals: &mut Vec<Arrival>) {
    let is_drawn = |share: f64, random: &mut Pcg64Mcg| random.random_bool(share.clamp(0.0, 1.0));
    let Some(repeats) = load.repeats.filter(|repeats| is_drawn(repeats.share, random)) else { return };
    for count in 1..=repeats.times {
        let after_us = (repeats.after_ms * 1_000.0 * count as f64) as i64;
        arrivals.push(Arrival { at_us: arrival.at_us + after_us, republished: true, ..arrival.clone() });
    }
}
