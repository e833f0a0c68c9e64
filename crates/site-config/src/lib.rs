//! The site config: the operators' settings object, read into the settings of the load balancer.
//!
//! The bench's adapter and the platform's router receive the same JSON object, and both read it with [`SiteConfig::read`], so
//! that they cannot differ. [`object`] reads single fields of any JSON object, with errors that name the field.
#![forbid(unsafe_code)]

pub mod object;
mod settings;

pub use object::FieldError;
pub use settings::{ConnectionSettings, Names, SiteConfig};
