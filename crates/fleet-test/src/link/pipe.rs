//! One direction of one connection, without I/O: queues bytes and releases them in order when they are due.

use super::plan::{Flow, LinkFault, LinkFaultKind};
use std::collections::VecDeque;

/// The combined effect of all faults that are active at one time on one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Condition {
    pub(super) is_dropping: bool,
    pub(super) delay_us: i64,
    pub(super) jitter_us: i64,
    pub(super) bytes_per_s: Option<f64>,
}

impl Condition {
    /// Combines the active faults: delays add up, and the lowest bandwidth applies.
    pub(super) fn new(faults: &[LinkFault], now_us: i64, flow: Flow) -> Self {
        let mut condition = Condition::default();
        for fault in faults.iter().filter(|fault| fault.is_active(now_us)) {
            match fault.kind {
                LinkFaultKind::Delay { direction, by_us, jitter_us, growing_us }
                    if direction.includes(flow) =>
                {
                    condition.delay_us += by_us + growing_us * (now_us - fault.from_us) / 1_000_000;
                    condition.jitter_us += jitter_us;
                }
                LinkFaultKind::Slow { direction, bytes_per_s } if direction.includes(flow) => {
                    let lowest = condition.bytes_per_s.map_or(bytes_per_s, |other| other.min(bytes_per_s));
                    condition.bytes_per_s = Some(lowest);
                }
                LinkFaultKind::Drop(direction) if direction.includes(flow) => condition.is_dropping = true,
                _ => {}
            }
        }
        condition
    }
}

/// Bytes that are delivered at `due_us`.
#[derive(Debug)]
struct InTransit {
    due_us: i64,
    bytes: Vec<u8>,
}

/// The queue of one direction. Due times never decrease, so the order of the bytes is kept.
#[derive(Debug, Default)]
pub(super) struct Pipe {
    queue: VecDeque<InTransit>,
    pub(super) last_due_us: i64,
}

impl Pipe {
    /// Queues bytes, or discards them while a fault drops them. `jitter_share`, from 0 to 1, is the random
    /// share of the jitter.
    pub(super) fn push(&mut self, now_us: i64, bytes: Vec<u8>, condition: Condition, jitter_share: f64) {
        if condition.is_dropping {
            return;
        }
        let length = bytes.len() as f64;
        let due_us = now_us + condition.delay_us + (condition.jitter_us as f64 * jitter_share) as i64;
        let transfer_starts_us = due_us.max(self.last_due_us);
        let transfer_us = condition.bytes_per_s.map_or(0, |rate| (length / rate.max(1.0) * 1e6) as i64);
        self.last_due_us = transfer_starts_us + transfer_us;
        self.queue.push_back(InTransit { due_us: self.last_due_us, bytes });
    }

    /// Removes the next bytes, if they are due.
    pub(super) fn pop_due(&mut self, now_us: i64) -> Option<Vec<u8>> {
        if self.next_due_us()? > now_us {
            return None;
        }
        self.queue.pop_front().map(|entry| entry.bytes)
    }

    /// The time at which the next bytes are due, in microseconds of the Unix clock.
    pub(super) fn next_due_us(&self) -> Option<i64> {
        self.queue.front().map(|entry| entry.due_us)
    }
}
