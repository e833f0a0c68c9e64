//! Log of the process's memory while it is above half of its limit, with the sizes of what grows with traffic.

use slatevalve::Micros;
use std::fs;
use tracing::warn;

/// Time between two measurements.
const INTERVAL: Micros = Micros(1_000_000);
/// Memory below the limit divided by this is not logged.
const LOGGED_DIVISOR: u64 = 2;
/// Growth since the last log line after which the next one follows, as a divisor of the limit.
const GROWTH_DIVISOR: u64 = 16;
const KB_PER_MB: u64 = 1_024;

/// Measures the resident memory of the process at intervals.
#[derive(Debug)]
pub(super) struct MemoryLog {
    limit_kb: u64,
    measured_at: Option<Micros>,
    /// Resident memory at the last log line; 0 before the first one.
    logged_kb: u64,
}

/// Sizes of what grows with traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryUse {
    /// Numbers of entries in the tables of the router.
    pub(super) sizes: [usize; 7],
    /// Bytes buffered for writing, on all connections.
    pub(super) unwritten_bytes: usize,
    /// Bytes of incomplete messages from clients.
    pub(super) incomplete_bytes: usize,
}

impl MemoryLog {
    /// A log for a process that may use `limit_mb` of memory.
    pub(super) fn new(limit_mb: u64) -> Self {
        MemoryLog { limit_kb: limit_mb * KB_PER_MB, measured_at: None, logged_kb: 0 }
    }

    /// Measures the memory if that is due, and logs it if it is high and has grown; `memory_use` is called
    /// only then.
    pub(super) fn measure_if_due(&mut self, now: Micros, memory_use: impl FnOnce() -> MemoryUse) {
        if self.measured_at.is_some_and(|at| now.0 - at.0 < INTERVAL.0) {
            return;
        }
        self.measured_at = Some(now);
        let Some(resident_kb) = status_kb("VmRSS:") else { return };
        let is_high = resident_kb >= self.limit_kb / LOGGED_DIVISOR;
        if is_high && resident_kb >= self.logged_kb + self.limit_kb / GROWTH_DIVISOR {
            self.logged_kb = resident_kb;
            let MemoryUse { sizes, unwritten_bytes, incomplete_bytes } = memory_use();
            let limit_kb = self.limit_kb;
            warn!(
                now = now.0,
                resident_kb,
                limit_kb,
                ?sizes,
                unwritten_bytes,
                incomplete_bytes,
                "high memory use"
            );
        }
    }
}

/// Peak resident memory of this process, in KB; `None` if the system does not tell.
pub(super) fn peak_memory_kb() -> Option<u64> {
    status_kb("VmHWM:")
}

/// The value of a line of the process's status file.
fn status_kb(name: &str) -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}
