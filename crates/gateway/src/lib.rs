//! The gateway's shell: settings, the loop, and the command line's sub-commands.
//!
//! The binary `slatevalve` is a few lines over [`commands::run`]. Sockets, files, signals and the clock are here
//! and nowhere below.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
