//! The gateway: settings, event loops, and the sub-commands of the command line.
//!
//! The binary `slatevalve` only calls [`commands::run`]. Sockets, files, signals and the clock are used in
//! this crate and in no crate below it. To start reading: [`server`] is the event loop of the gateway,
//! [`platform`] that of the platform's router.
#![forbid(unsafe_code)]

pub mod chaos_test;
mod child_processes;
pub mod clock;
pub mod commands;
pub mod documents;
mod event_loop;
mod loop_timer;
pub mod members;
pub mod platform;
pub mod plugins;
mod random_id;
mod remembered_file;
pub mod server;
pub mod settings;
