//! The gateway: settings, event loops, and the command line's sub-commands.
//!
//! The binary `slatevalve` is a few lines over [`commands::run`]. Sockets, files, signals and the clock are in this crate
//! and in no crate below it. Where to start reading: [`server`] is the event loop of the gateway, [`platform`] that of the
//! platform's router.
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
mod remembered_file;
pub mod server;
pub mod settings;
