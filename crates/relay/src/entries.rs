//! The routers' own entries at a relay: leases and the keys under them, kept here and counted, so that what a router costs the
//! registry is nothing. A decision module; bounded.

use std::collections::BTreeMap;

/// See the module's documentation. Times in microseconds.
#[derive(Debug)]
pub struct Entries {
    /// By lease: how long it lives, when it ends, and the key under it.
    leases: BTreeMap<i64, (i64, i64, Option<Vec<u8>>)>,
    next: i64,
    most: usize,
}

/// Seconds that a lease lives at most.
const LONGEST_S: i64 = 600;

impl Entries {
    /// No entries; at most so many. Leases of relays with different `names` are different, so that a router that comes with
    /// another relay's lease is told that it is none here.
    pub fn new(name: &str, most: usize) -> Self {
        let first = (slatevalve_pacing::seed_of(0, name) >> 24) as i64;
        Entries { leases: BTreeMap::new(), next: (first << 20) | 1, most }
    }

    /// Grants a lease of so many seconds; none where there are too many. Gives the lease and its seconds.
    pub fn grant(&mut self, now_us: i64, ttl_s: i64) -> Option<(i64, i64)> {
        if self.leases.len() >= self.most {
            return None;
        }
        let ttl_s = ttl_s.clamp(1, LONGEST_S);
        let (lease, ttl_us) = (self.next, ttl_s * 1_000_000);
        self.next += 1;
        self.leases.insert(lease, (ttl_us, now_us.saturating_add(ttl_us), None));
        Some((lease, ttl_s))
    }

    /// Puts a key under a lease; whether that lease is known. A key stands under the lease that it was put under last.
    pub fn put(&mut self, lease: i64, key: &[u8]) -> bool {
        if !self.leases.contains_key(&lease) {
            return false;
        }
        for (id, (_, _, held)) in &mut self.leases {
            if *id == lease {
                *held = Some(key.to_vec());
            } else if held.as_deref() == Some(key) {
                *held = None;
            }
        }
        true
    }

    /// Keeps a lease alive; gives its seconds, 0 for one that is not known.
    pub fn keep_alive(&mut self, now_us: i64, lease: i64) -> i64 {
        self.leases.get_mut(&lease).map_or(0, |(ttl_us, ends_us, _)| {
            *ends_us = now_us.saturating_add(*ttl_us);
            *ttl_us / 1_000_000
        })
    }

    /// Ends a lease; whether it was known.
    pub fn revoke(&mut self, lease: i64) -> bool {
        self.leases.remove(&lease).is_some()
    }

    /// Ends the leases whose time is up.
    pub fn expire(&mut self, now_us: i64) {
        self.leases.retain(|_, (_, ends_us, _)| *ends_us > now_us);
    }

    /// Keys that stand.
    pub fn count(&self) -> usize {
        self.leases.values().filter(|l| l.2.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
