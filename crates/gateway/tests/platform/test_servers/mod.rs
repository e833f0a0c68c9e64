//! Scripted test servers and clients around the platform's router: workers, a change log, clients, and the router's process.

mod change_log;
mod client;
mod router;
mod worker;

pub use change_log::ChangeLog;
pub use client::{request, Client, End};
pub use router::{config, ready, Router};
pub use worker::{good, Act, Seen, Worker};
