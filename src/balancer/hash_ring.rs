//! The consistent-hash ring: virtual points of the workers, and the candidates of a function clockwise from its hash.
//!
//! Points are made from worker ids alone, so that all routers agree whatever the order of their lists.

use super::membership::Worker;
use super::statistics::hash_bits;
use super::Balancer;
use crate::api::{FunctionId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Points of a worker of median weight: arcs are even to a few per cent and a search stays cheap.
const POINTS_PER_WORKER: f64 = 96.0;
/// Fewest points of a worker, so that a light one still receives functions.
const POINTS_MIN: f64 = 8.0;
/// The ring is built anew if more than one worker in so many changed; else the points are exchanged.
const REBUILD_DIVISOR: usize = 8;
/// Combined with function ids before hashing, so that they do not coincide with worker ids.
const FUNCTION_HASH_SEED: u64 = 0x51a7_e7a1;

/// A virtual point of a worker.
pub(super) struct RingPoint {
    position: u64,
    worker: WorkerId,
    /// Fraction of the worker's points that come before this one; it is used once the worker is that warm.
    slow_start_threshold: f64,
}

/// The ring, sorted by position.
#[derive(Default)]
pub(super) struct HashRing {
    points: Vec<RingPoint>,
    /// Weight that has `POINTS_PER_WORKER` points, a power of two; 0 while there is no ring.
    weight_unit: f64,
}

impl HashRing {
    /// Has the ring built anew with the next update of the worker list.
    pub(super) fn invalidate(&mut self) {
        self.weight_unit = 0.0;
    }
}

impl Balancer {
    /// The weight of a worker on the ring; `None` if it has no points there.
    pub(super) fn ring_weight(&self, worker: &Worker) -> Option<f64> {
        worker.is_ready().then(|| self.weight(worker))
    }

    /// Updates the points of the workers in `changed`. Points are in proportion to weight, in units of a power of
    /// two near the median weight, so that adding or removing one worker does not change the points of others.
    /// Another unit, or many changes, rebuild the whole ring.
    pub(super) fn update_ring(&mut self, changed: &BTreeMap<WorkerId, Option<f64>>) {
        let mut weights: Vec<f64> =
            self.membership.workers.values().map(|worker| self.weight(worker)).collect();
        weights.sort_by(f64::total_cmp);
        let median = weights.get(weights.len() / 2).copied().unwrap_or(1.0);
        let unit = 2f64.powi(median.log2().round() as i32);
        let rebuild = unit != self.hash_ring.weight_unit
            || changed.len() * REBUILD_DIVISOR > self.membership.workers.len();
        self.hash_ring.weight_unit = unit;
        if !rebuild && changed.is_empty() {
            return;
        }
        let mut points = std::mem::take(&mut self.hash_ring.points);
        points.retain(|point| !rebuild && !changed.contains_key(&point.worker));
        for (id, worker) in &self.membership.workers {
            if worker.is_ready() && (rebuild || changed.contains_key(id)) {
                points.extend(worker_points(*id, self.weight(worker), unit));
            }
        }
        points.sort_by_key(|point| (point.position, point.worker));
        self.hash_ring.points = points;
    }

    /// The first `most` distinct workers clockwise from the function's hash. Points of a started worker come into
    /// use one by one as it warms up; until then their arcs belong to the next worker.
    pub(super) fn ring_candidates(&self, function: FunctionId, most: usize) -> Vec<WorkerId> {
        let position = hash_bits(function.0 ^ FUNCTION_HASH_SEED);
        let points = &self.hash_ring.points;
        let start = points.partition_point(|point| point.position < position);
        let (mut candidates, mut seen) = (Vec::new(), BTreeSet::new());
        let most = most.min(self.membership.ready_count);
        for point in points[start..].iter().chain(&points[..start]) {
            if candidates.len() >= most {
                break;
            }
            let worker = self.membership.workers.get(&point.worker);
            let in_use =
                worker.is_some_and(|worker| point.slow_start_threshold < self.slow_start_factor(worker));
            if in_use && seen.insert(point.worker) {
                candidates.push(point.worker);
            }
        }
        candidates
    }
}

fn worker_points(id: WorkerId, weight: f64, unit: f64) -> impl Iterator<Item = RingPoint> {
    let count = (POINTS_PER_WORKER * weight / unit).round().clamp(POINTS_MIN, 4.0 * POINTS_PER_WORKER) as u64;
    (0..count).map(move |index| RingPoint {
        position: hash_bits(hash_bits(id.0) ^ index),
        worker: id,
        slow_start_threshold: index as f64 / count as f64,
    })
}
