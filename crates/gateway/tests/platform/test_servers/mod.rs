//! Scripted test servers and clients around the platform's router: workers, a change log, clients, and the router's process.

mod change_log;
mod client;
mod fleet_worker;
mod paced_client;
mod router;
mod worker;

pub(crate) use change_log::{ChangeLog, Service};
pub(crate) use client::{request, Client, End};
pub(crate) use fleet_worker::{Behaviour, Command, FleetWorker, Received};
pub(crate) use paced_client::{send_paced, CallRecord, PlannedCall};
pub(crate) use router::{config, ready, Router};
pub(crate) use worker::{good, Act, Seen, Worker};
