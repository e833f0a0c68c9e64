//! The consistent-hash ring: virtual points of the workers, and the candidates of a function clockwise from
//! its hash.
//!
//! The positions of points depend on worker ids only, so that all routers agree whatever the order of their
//! lists.

use super::membership::Worker;
use super::statistics::hash_bits;
use super::Balancer;
use crate::api::{FunctionId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Points of a worker of median weight: arcs are even to within a few per cent and searches stay cheap.
const POINTS_PER_WORKER: f64 = 96.0;
/// Minimum number of points of a worker, so that a worker of low weight still receives functions.
const POINTS_MIN: f64 = 8.0;
/// The ring is rebuilt if more than one worker in this many changed; otherwise only their points are
/// replaced.
const REBUILD_DIVISOR: usize = 8;
/// Combined with function ids before hashing, so that they do not coincide with worker ids.
const FUNCTION_HASH_SEED: u64 = 0x51a7_e7a1;

/// Approximate number of virtual points in one bucket of the ring.
const POINTS_PER_BUCKET: usize = 64;
/// The ring is rebuilt if it needs at least this many times its current number of buckets.
const BUCKET_GROWTH_MAX: usize = 4;

/// A virtual point of a worker.
struct RingPoint {
    position: u64,
    worker: WorkerId,
    /// Fraction of the worker's points that come before this one; the point is in use while the worker's
    /// slow-start factor exceeds it.
    slow_start_threshold: f64,
}

impl RingPoint {
    /// The order on the ring. Points at the same position are ordered by worker id.
    fn key(&self) -> (u64, WorkerId) {
        (self.position, self.worker)
    }
}

/// The ring, in sorted buckets of equal arcs, so that the cost of an update depends on the points that change
/// rather than on the size of the ring.
#[derive(Default)]
pub(super) struct HashRing {
    /// A power of two of buckets; empty before the ring is first built.
    buckets: Vec<Vec<RingPoint>>,
    /// Weight for which a worker has `POINTS_PER_WORKER` points, a power of two; 0 if the ring has to be
    /// rebuilt.
    weight_unit: f64,
}

impl HashRing {
    /// Forces a rebuild of the ring with the next update of the worker list.
    pub(super) fn invalidate(&mut self) {
        self.weight_unit = 0.0;
    }

    fn from_points(point_count: usize, points: impl Iterator<Item = RingPoint>, weight_unit: f64) -> Self {
        let bucket_count = bucket_count(point_count);
        let bucket = || Vec::with_capacity(point_count / bucket_count);
        let mut ring = HashRing { buckets: (0..bucket_count).map(|_| bucket()).collect(), weight_unit };
        for point in points {
            let index = ring.bucket_index(point.position);
            ring.buckets[index].push(point);
        }
        ring.buckets.iter_mut().for_each(|bucket| bucket.sort_unstable_by_key(RingPoint::key));
        ring
    }

    /// The bucket of a position: its most significant bits.
    fn bucket_index(&self, position: u64) -> usize {
        let bits = self.buckets.len().trailing_zeros();
        position.checked_shr(u64::BITS - bits).unwrap_or(0) as usize
    }

    fn insert(&mut self, point: RingPoint) {
        let index = self.bucket_index(point.position);
        let Some(bucket) = self.buckets.get_mut(index) else { return };
        let at = bucket.partition_point(|other| other.key() < point.key());
        bucket.insert(at, point);
    }

    fn remove(&mut self, point: &RingPoint) {
        let index = self.bucket_index(point.position);
        let Some(bucket) = self.buckets.get_mut(index) else { return };
        if let Ok(at) = bucket.binary_search_by_key(&point.key(), RingPoint::key) {
            bucket.remove(at);
        }
    }

    /// All points clockwise from a position.
    fn clockwise_from(&self, position: u64) -> impl Iterator<Item = &RingPoint> {
        let index = self.bucket_index(position);
        let first = self.buckets.get(index).map_or(&[][..], Vec::as_slice);
        let (before, after) = first.split_at(first.partition_point(|point| point.position < position));
        let later = self.buckets.iter().skip(index + 1).flatten();
        let earlier = self.buckets.iter().take(index).flatten();
        after.iter().chain(later).chain(earlier).chain(before)
    }
}

/// The number of buckets for `point_count` points: a power of two.
fn bucket_count(point_count: usize) -> usize {
    (point_count / POINTS_PER_BUCKET).next_power_of_two()
}

impl Balancer {
    /// The weight of a worker on the ring; `None` if it has no points there.
    pub(super) fn ring_weight(&self, worker: &Worker) -> Option<f64> {
        worker.is_ready().then(|| self.weight(worker))
    }

    /// Updates the points of the workers in `changed`, which holds their weights before the change. The
    /// number of points is proportional to the weight, in units of a power of two near the median weight, so
    /// that adding or removing one worker does not change the points of others. The whole ring is rebuilt if
    /// the unit changed or many workers did.
    pub(super) fn update_ring(&mut self, changed: &BTreeMap<WorkerId, Option<f64>>) {
        let unit = self.ring_weight_unit();
        let point_count = self.membership.ready_count * POINTS_PER_WORKER as usize;
        let rebuild = unit != self.hash_ring.weight_unit
            || changed.len() * REBUILD_DIVISOR > self.membership.workers.len()
            || bucket_count(point_count) >= self.hash_ring.buckets.len() * BUCKET_GROWTH_MAX;
        if rebuild {
            let workers = self.membership.workers.iter();
            let weights = workers.filter_map(|(id, worker)| Some((*id, self.ring_weight(worker)?)));
            let points = weights.flat_map(|(id, weight)| worker_points(id, weight, unit));
            self.hash_ring = HashRing::from_points(point_count, points, unit);
            return;
        }
        for (id, weight_before) in changed {
            let before = weight_before.iter().flat_map(|weight| worker_points(*id, *weight, unit));
            before.for_each(|point| self.hash_ring.remove(&point));
            let weight = self.current_ring_weight(*id);
            let after = weight.into_iter().flat_map(|weight| worker_points(*id, weight, unit));
            after.for_each(|point| self.hash_ring.insert(point));
        }
    }

    /// A power of two near the median weight; 1 without workers.
    fn ring_weight_unit(&self) -> f64 {
        let workers = self.membership.workers.values();
        let mut weights: Vec<f64> = workers.map(|worker| self.weight(worker)).collect();
        if weights.is_empty() {
            return 1.0;
        }
        let middle = weights.len() / 2;
        let (_, median, _) = weights.select_nth_unstable_by(middle, f64::total_cmp);
        2f64.powi(median.log2().round() as i32)
    }

    /// The first `limit` distinct workers clockwise from the function's hash. The points of a started worker
    /// come into use one by one as it warms up; until then their arcs belong to the next worker.
    pub(super) fn ring_candidates(&self, function: FunctionId, limit: usize) -> Vec<WorkerId> {
        let position = hash_bits(function.0 ^ FUNCTION_HASH_SEED);
        let (mut candidates, mut seen) = (Vec::new(), BTreeSet::new());
        let limit = limit.min(self.membership.ready_count);
        for point in self.hash_ring.clockwise_from(position) {
            if candidates.len() >= limit {
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
