//! Scripted test servers and clients around the platform's router: workers, a change log, clients, and the router's process.

mod change_log;
mod client;
mod router;
mod worker;

pub(crate) use change_log::ChangeLog;
pub(crate) use client::{request, Client, End};
pub(crate) use router::{config, ready, Router};
pub(crate) use worker::{good, Act, Seen, Worker};
