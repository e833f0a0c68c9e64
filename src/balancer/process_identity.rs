//! Identity of processes: whether the process at a worker's address is the one that the worker list names.
//!
//! A health check shows that the process at an address accepts work, not that it is the one that the list
//! names: another worker, of another cell and just started, may have taken over the address. While the list is
//! out of date, a process is identified only if it has been running since before the list was last confirmed.
//! Also a current list learns of a replacement only after some time: a process that may have replaced another one
//! is identified only once that time has passed.
//! What the list says of a worker's cell, zone and start applies to identified processes only.

use super::dispatch::{Attempt, OpenRequest};
use super::membership::Worker;
use super::statistics::since;
use super::Balancer;
use crate::api::{Micros, ProcessInfo, ProcessLimits, WorkerId};

impl Balancer {
    /// Whether a process is the one that the list named when it was complete as of `as_of`: it was running by
    /// then, and if it may have replaced another one, the list has had time to tell.
    fn is_named(&self, process: ProcessInfo, as_of: Micros) -> bool {
        let may_be_untold = process.may_be_new && since(as_of, process.since) < self.list_lease.notice_time();
        process.since <= as_of && !may_be_untold
    }

    /// Time as of which the list names the processes: now while a confirmed list is current.
    fn named_as_of(&self) -> Option<Micros> {
        match self.list_names_processes() {
            true => self.list_lease.confirmed_as_of().map(|_| self.now),
            false => self.list_lease.confirmed_as_of(),
        }
    }

    /// Whether the worker's process is the one that the list names. While a confirmed list is current, it is
    /// unless it may have replaced another one and the list may not tell of that yet.
    pub(super) fn is_identified(&self, worker: &Worker) -> bool {
        let Some(as_of) = self.named_as_of() else { return true };
        let unknown_is_named = self.list_names_processes();
        worker.process.map_or(unknown_is_named, |process| self.is_named(process, as_of))
    }

    /// Whether the attempt went to the process that the list named for its worker, so that the cell and zone
    /// recorded for it are those where it could have run.
    fn went_to_listed_process(&self, attempt: &Attempt) -> bool {
        let Some(named_as_of) = self.named_as_of() else { return true };
        let unknown_is_named = attempt.last_listed.is_none() && self.list_names_processes();
        let as_of = attempt.last_listed.unwrap_or(named_as_of);
        attempt.process.map_or(unknown_is_named, |process| self.is_named(process, as_of))
    }

    /// When the worker's process started, at the latest; `None` if that is long ago. If it may have replaced
    /// the one that an outdated list names, it may have started just before its first connection.
    pub(super) fn process_started_at(&self, worker: &Worker) -> Option<Micros> {
        let is_suspected = |process: &ProcessInfo| process.may_be_new && !self.list_names_processes();
        let new_process = worker.process.filter(is_suspected);
        let new_process = new_process.filter(|_| !self.is_identified(worker));
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

    /// Which processes the next attempt may reach. If it must not reach one of another group, that is one that
    /// runs since before the list was last confirmed, unless the list is current, and one of which the list
    /// would have told by then if it had replaced another one.
    pub(super) fn process_limits(&self, open: &OpenRequest) -> ProcessLimits {
        let as_of = self.named_as_of().filter(|_| self.is_bound_to_group(open));
        ProcessLimits {
            since: as_of.filter(|_| !self.list_names_processes()),
            unreplaced_since: as_of.map(|as_of| since(as_of, self.list_lease.notice_time())),
        }
    }
}
