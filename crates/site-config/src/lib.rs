//! The site config: reads the operators' settings object into the settings of the load balancer.
//!
//! The simulator's adapter and the platform's router receive the same JSON object. Both read it with
//! [`SiteConfig::read`], so that they interpret it identically. [`object`] reads single fields of any JSON
//! object, with errors that name the field.
#![forbid(unsafe_code)]

pub mod object;
mod settings;

pub use object::FieldError;
pub use settings::{ConnectionSettings, Names, SiteConfig};
