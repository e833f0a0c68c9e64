//! Maintains this process's entry in the registry: grants a lease, writes the key under it, keeps the lease
//! alive, and starts again if the lease is lost. No I/O; [`crate::Client`] sends the requests.

/// Settings of a [`Registration`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistrationSettings {
    /// Time to live of the lease without a keep-alive, in seconds; values below 1 count as 1.
    pub ttl_s: i64,
}

/// The next request of a [`Registration`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Request a lease with this time to live in seconds.
    Grant(i64),
    /// Write the entry under the lease with this id.
    Announce(i64),
    /// Keep the lease with this id alive.
    KeepAlive(i64),
}

/// Keep-alives per time to live. With three, two may be lost before the lease expires.
const KEEP_ALIVES_PER_TTL: i64 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unregistered,
    /// The lease is granted, but the entry is not written under it.
    Granted {
        lease: i64,
    },
    /// The entry is written under the lease.
    Announced {
        lease: i64,
        renew_at_us: i64,
        expires_at_us: i64,
    },
}

/// The state of this process's registration; see the module's documentation. Times in microseconds.
#[derive(Debug)]
pub struct Registration {
    settings: RegistrationSettings,
    state: State,
    /// When the last request was sent. The time to live counts from here, because the response may arrive
    /// late.
    sent_us: i64,
}

impl Registration {
    /// Creates a registration whose first step is to request a lease.
    pub fn new(settings: RegistrationSettings) -> Self {
        let ttl_s = settings.ttl_s.max(1);
        Registration { settings: RegistrationSettings { ttl_s }, state: State::Unregistered, sent_us: 0 }
    }

    /// Returns whether the entry is written and its lease has not expired, as far as this process can tell.
    #[must_use]
    pub fn is_registered(&self, now_us: i64) -> bool {
        matches!(self.state, State::Announced { expires_at_us, .. } if now_us < expires_at_us)
    }

    /// Returns the id of the lease, whether or not the entry is written under it.
    #[must_use]
    pub fn lease(&self) -> Option<i64> {
        match self.state {
            State::Unregistered => None,
            State::Granted { lease } | State::Announced { lease, .. } => Some(lease),
        }
    }

    /// Returns the id of the lease if the entry is written under it.
    #[must_use]
    pub fn announced_lease(&self) -> Option<i64> {
        match self.state {
            State::Announced { lease, .. } => Some(lease),
            State::Unregistered | State::Granted { .. } => None,
        }
    }

    /// Returns the step that is due.
    #[must_use]
    pub fn next_step(&self, now_us: i64) -> Option<LeaseStep> {
        match self.state {
            State::Unregistered => Some(LeaseStep::Grant(self.settings.ttl_s)),
            State::Granted { lease } => Some(LeaseStep::Announce(lease)),
            State::Announced { lease, renew_at_us, .. } if now_us >= renew_at_us => {
                Some(LeaseStep::KeepAlive(lease))
            }
            State::Announced { .. } => None,
        }
    }

    /// Returns when the next keep-alive is due; `None` while the entry is not written.
    #[must_use]
    pub fn due_us(&self) -> Option<i64> {
        match self.state {
            State::Announced { renew_at_us, .. } => Some(renew_at_us),
            State::Unregistered | State::Granted { .. } => None,
        }
    }

    /// Handles the sending of the due step.
    pub fn step_sent(&mut self, now_us: i64) {
        self.sent_us = now_us;
    }

    /// Handles the grant of a lease: the entry is to be written under it. Also called with the current lease,
    /// to write a changed entry.
    pub fn granted(&mut self, lease: i64) {
        self.state = State::Granted { lease };
    }

    /// Handles the confirmation that the entry was written.
    pub fn announced(&mut self) {
        if let State::Granted { lease } = self.state {
            self.extend(lease, self.settings.ttl_s);
        }
    }

    /// Handles the response to a keep-alive, whose time to live is 0 for an expired lease. Returns whether
    /// the lease is valid.
    pub fn keep_alive_answered(&mut self, ttl_s: i64) -> bool {
        match self.state {
            State::Announced { lease, .. } if ttl_s > 0 => {
                self.extend(lease, ttl_s);
                true
            }
            _ => {
                self.lease_lost();
                false
            }
        }
    }

    /// Starts again without a lease, because it expired or the registry is a different one.
    pub fn lease_lost(&mut self) {
        self.state = State::Unregistered;
    }

    /// Sets the times of renewal and expiry, which count from when the request was sent.
    fn extend(&mut self, lease: i64, ttl_s: i64) {
        let ttl_us = ttl_s.saturating_mul(1_000_000);
        self.state = State::Announced {
            lease,
            renew_at_us: self.sent_us.saturating_add(ttl_us / KEEP_ALIVES_PER_TTL),
            expires_at_us: self.sent_us.saturating_add(ttl_us),
        };
    }
}

#[cfg(test)]
mod tests;
