//! Identity of processes: whether the process at a worker's address is the one that the worker list names.
//!
//! A health check shows that the process at an address accepts work, not that it is the one that the list
//! names: another worker, of another cell and just started, may have taken over the address. While the list is
//! out of date, a process is identified only if it has been running since before the list was last confirmed.
//! What the list says of a worker's cell, zone and start applies to identified processes only.

use super::dispatch::{Attempt, OpenRequest};
use super::membership::Worker;
use super::Balancer;
use crate::api::{Micros, ProcessInfo, WorkerId};

/// Whether a process that runs since `process_since` is the one that the list named when it was confirmed as
/// of `confirmed_as_of`.
fn is_older(process_since: Option<Micros>, confirmed_as_of: Micros) -> bool {
    process_since.is_some_and(|since| since <= confirmed_as_of)
}

impl Balancer {
    /// Whether the worker's process is the one that the list names. While a confirmed list is current, it is.
    pub(super) fn is_identified(&self, worker: &Worker) -> bool {
        let Some(confirmed_as_of) = self.list_lease.confirmed_as_of() else { return true };
        let process_since = worker.process.map(|process| process.since);
        self.list_names_processes() || is_older(process_since, confirmed_as_of)
    }

    /// Whether the attempt went to the process that the list named for its worker, so that the cell and zone
    /// recorded for it are those where it could have run.
    fn went_to_listed_process(&self, attempt: &Attempt) -> bool {
        let Some(confirmed_as_of) = self.list_lease.confirmed_as_of() else { return true };
        let last_listed = attempt.last_listed.unwrap_or(confirmed_as_of);
        let is_still_listed = attempt.last_listed.is_none() && self.list_names_processes();
        is_still_listed || is_older(attempt.process_since, last_listed)
    }

    /// When the worker's process started, at the latest; `None` if that is long ago. If it may have replaced
    /// the one that the list names, it may have started just before its first connection.
    pub(super) fn process_started_at(&self, worker: &Worker) -> Option<Micros> {
        let new_process = worker.process.filter(|process| process.may_be_new && !self.is_identified(worker));
        worker.started_at.max(new_process.map(|process| process.since))
    }

    /// Records the process that responded for a worker.
    pub(super) fn record_process(&mut self, worker: WorkerId, process: Option<ProcessInfo>) {
        let names_processes = self.list_names_processes();
        let Some(worker) = self.membership.workers.get_mut(&worker) else { return };
        if process.is_some() && worker.process != process {
            worker.process = process;
            if !names_processes {
                self.slow_start.invalidate();
            }
        }
    }

    /// Whether the list tells which process is at each worker's address.
    pub(super) fn list_names_processes(&self) -> bool {
        self.list_is_current() && !self.list_lease.is_assumed()
    }

    /// Whether all attempts that could have run went to the processes that the list named.
    pub(super) fn went_to_listed_processes(&self, open: &OpenRequest) -> bool {
        open.possible_runs().all(|attempt| self.went_to_listed_process(attempt))
    }

    /// Since when the process that the next attempt reaches has to be running: since before the list was last
    /// confirmed, if the attempt must not reach a process of another group and the list is out of date.
    pub(super) fn required_process_since(&self, open: &OpenRequest) -> Option<Micros> {
        let is_required = self.is_bound_to_group(open) && !self.list_names_processes();
        self.list_lease.confirmed_as_of().filter(|_| is_required)
    }
}
