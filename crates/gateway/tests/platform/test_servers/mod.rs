//! The platform's router as a process, with scripted workers, a change log and clients around it.

mod change_log;
mod client;
mod fleet_worker;
mod paced_client;
mod router;
mod worker;

pub(crate) use change_log::{member_of_cell, ChangeLog, Service};
pub(crate) use client::{interrupt, request, Client, Outcome};
pub(crate) use fleet_worker::{Behaviour, Command, FleetWorker, Received};
pub(crate) use paced_client::{send_paced, CallRecord, PlannedCall};
pub(crate) use router::{config, wait_until_ready, Router};
pub(crate) use worker::{serving_worker, Action, ReceivedCall, Worker};
