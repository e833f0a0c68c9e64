//! The engine with a test in place of the event loop: what clients receive, whatever workers and clients do.

mod calls;
mod harness;
mod properties;
mod repeats;
mod settings_change;
