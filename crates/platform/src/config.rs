//! What a router is told at its start: the file that `EDGE_CONFIG` names, as JSON.
//!
//! It guards against starting on half of it: whatever is missing or of another form is named, with its field. Called by
//! the gateway, at the start and on SIGHUP.

use serde_json::Value;
use slatevalve_site_config::object::{field, number, object, text, unknown, whole, Obj};
use slatevalve_site_config::{FieldError, Site};
use std::fmt;
use std::net::SocketAddr;

/// The limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Cores that it may use.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// All that a router is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// Of the process.
    pub limits: ProcessLimits,
    /// Where the change log is.
    pub changelog: SocketAddr,
    /// The change log's events up to now, as the log itself would tell them.
    pub known: Obj,
    /// The operators' settings.
    pub site: Site,
}

/// Why a configuration cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// It is no JSON object.
    Json(String),
    /// A field is wrong.
    Field(FieldError),
    /// A field within `settings` is wrong.
    Settings(FieldError),
    /// A field within `limits` is wrong.
    Limits(FieldError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Json(e) => write!(f, "not a JSON object: {e}"),
            ConfigError::Field(e) => e.fmt(f),
            ConfigError::Settings(e) => write!(f, "settings: {e}"),
            ConfigError::Limits(e) => write!(f, "limits: {e}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<FieldError> for ConfigError {
    fn from(e: FieldError) -> Self {
        ConfigError::Field(e)
    }
}

fn address(o: &Obj, name: &str) -> Result<SocketAddr, FieldError> {
    let value = text(o, name)?;
    value.parse().map_or_else(|_| unknown(name, value), Ok)
}

impl Config {
    /// Reads the file's text.
    ///
    /// # Errors
    /// Names the first thing that is wrong.
    pub fn read(text_of_file: &str) -> Result<Config, ConfigError> {
        let value: Value =
            serde_json::from_str(text_of_file).map_err(|e| ConfigError::Json(e.to_string()))?;
        let o = object(&value, "the file")?;
        let seed = match field(o, "seed")? {
            Value::Number(_) => whole(o, "seed")?,
            _ => {
                let digits = text(o, "seed")?;
                u64::from_str_radix(digits, 16).map_or_else(|_| unknown("seed", digits), Ok)?
            }
        };
        let limits = object(field(o, "limits")?, "limits")?;
        let limits = || -> Result<ProcessLimits, FieldError> {
            let sockets = whole(limits, "sockets")? as usize;
            Ok(ProcessLimits {
                cores: number(limits, "cores")?,
                memory_mb: number(limits, "memory_mb")?.max(0.0) as u64,
                sockets,
            })
        };
        let settings = object(field(o, "settings")?, "settings")?;
        Ok(Config {
            name: text(o, "name")?.to_string(),
            listen: address(o, "listen")?,
            seed,
            limits: limits().map_err(ConfigError::Limits)?,
            changelog: address(o, "changelog")?,
            known: object(field(o, "known")?, "known")?.clone(),
            site: Site::read(settings).map_err(ConfigError::Settings)?,
        })
    }
}
