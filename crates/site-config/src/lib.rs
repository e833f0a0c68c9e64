//! The operators' settings object, read into the module's settings.
//!
//! It guards against two readers of one object: the bench's adapter and the platform's router are told the same
//! thing in the same words, and both call [`Site::read`]. [`object`] reads single fields of any JSON object and names
//! the one that is wrong. No decision is made here and no value is tuned.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod object;
mod settings;

pub use object::FieldError;
pub use settings::{Connections, Names, Site};
