//! Tests of the engine through its public interface; the harness replaces the event loop, workers and
//! clients.

mod calls;
mod harness;
mod properties;
mod repeats;
mod settings_change;
