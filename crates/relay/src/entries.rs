//! The entries that routers register at a relay: leases and the keys under them. They are held and counted by
//! the relay, so that its routers cause no requests to the registry. No I/O; the number of leases is bounded.

use std::collections::BTreeMap;

/// Maximum time to live of a lease in seconds.
const LEASE_TTL_MAX_S: i64 = 600;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// A newly granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// The id. Relays with different names, and different processes of one relay, grant different ids.
    pub id: i64,
    /// The granted time to live in seconds, which may differ from the requested one.
    pub ttl_s: i64,
}

#[derive(Debug)]
struct Lease {
    ttl_us: i64,
    expires_at_us: i64,
    /// The key that expires with the lease; none before the first put.
    key: Option<Vec<u8>>,
}

/// The leases by id; see the module's documentation. Times in microseconds.
#[derive(Debug)]
pub struct Entries {
    leases: BTreeMap<i64, Lease>,
    next_id: i64,
    capacity: usize,
}

impl Entries {
    /// Creates an empty set for at most `capacity` leases. Relays with different names, and processes with
    /// different random numbers `instance`, grant different ids, so that a lease of another relay or of an
    /// earlier process is recognized as unknown.
    pub fn new(name: &str, instance: u64, capacity: usize) -> Self {
        let id_prefix = (slatevalve_pacing::derive_seed(instance, name) >> 24) as i64;
        Entries { leases: BTreeMap::new(), next_id: (id_prefix << 20) | 1, capacity }
    }

    /// Grants a lease of `ttl_s` seconds, limited to 1..=600; `None` if the capacity is reached.
    pub fn grant(&mut self, now_us: i64, ttl_s: i64) -> Option<GrantedLease> {
        if self.leases.len() >= self.capacity {
            return None;
        }
        let ttl_s = ttl_s.clamp(1, LEASE_TTL_MAX_S);
        let (id, ttl_us) = (self.next_id, ttl_s * MICROS_PER_SECOND);
        self.next_id += 1;
        self.leases.insert(id, Lease { ttl_us, expires_at_us: now_us.saturating_add(ttl_us), key: None });
        Some(GrantedLease { id, ttl_s })
    }

    /// Puts a key under a lease and removes it from any other lease. Returns whether the lease exists.
    pub fn put(&mut self, id: i64, key: &[u8]) -> bool {
        if !self.leases.contains_key(&id) {
            return false;
        }
        for (other, lease) in &mut self.leases {
            if *other == id {
                lease.key = Some(key.to_vec());
            } else if lease.key.as_deref() == Some(key) {
                lease.key = None;
            }
        }
        true
    }

    /// Renews a lease. Returns its time to live in seconds, 0 for an unknown lease.
    pub fn keep_alive(&mut self, now_us: i64, id: i64) -> i64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at_us = now_us.saturating_add(lease.ttl_us);
            lease.ttl_us / MICROS_PER_SECOND
        })
    }

    /// Revokes a lease and removes its key. Returns whether the lease existed.
    pub fn revoke(&mut self, id: i64) -> bool {
        self.leases.remove(&id).is_some()
    }

    /// Removes the expired leases with their keys.
    pub fn expire(&mut self, now_us: i64) {
        self.leases.retain(|_, lease| lease.expires_at_us > now_us);
    }

    /// Returns the number of keys, which is the number of registered routers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.leases.values().filter(|lease| lease.key.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
