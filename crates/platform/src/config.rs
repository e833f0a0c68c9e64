//! The configuration of a router: the JSON file that the environment variable `EDGE_CONFIG` names, read at the start and on
//! SIGHUP. It is applied as a whole or not at all; an error names the field.

use serde_json::Value;
use slatevalve_site_config::object::{field, number, object, text, unknown_value, unsigned, JsonObject};
use slatevalve_site_config::{FieldError, SiteConfig};
use std::fmt;
use std::net::SocketAddr;

/// The limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Cores that the process may use.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The seed of random numbers, new with each start.
    pub seed: u64,
    /// The limits of the process.
    pub limits: ProcessLimits,
    /// The address of the change log.
    pub changelog: SocketAddr,
    /// The events of the change log up to now, in the form of one of its answers.
    pub known: JsonObject,
    /// The operators' settings.
    pub site: SiteConfig,
}

/// Why a configuration is rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// The file is not JSON.
    Json(serde_json::Error),
    /// A field is missing or invalid.
    Field(FieldError),
    /// A field within `settings` is missing or invalid.
    Settings(FieldError),
    /// A field within `limits` is missing or invalid.
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

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConfigError::Json(e) => Some(e),
            ConfigError::Field(e) | ConfigError::Settings(e) | ConfigError::Limits(e) => Some(e),
        }
    }
}

impl From<serde_json::Error> for ConfigError {
    fn from(e: serde_json::Error) -> Self {
        ConfigError::Json(e)
    }
}

impl From<FieldError> for ConfigError {
    fn from(e: FieldError) -> Self {
        ConfigError::Field(e)
    }
}

impl Config {
    /// Reads the text of the file.
    ///
    /// # Errors
    /// Names the first field that is missing or invalid.
    pub fn read(text_of_file: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(text_of_file)?;
        let file = object(&value, "the file")?;
        let seed = seed(file)?;
        let limits = object(field(file, "limits")?, "limits")?;
        let settings = object(field(file, "settings")?, "settings")?;
        Ok(Config {
            name: text(file, "name")?.to_string(),
            listen: address(file, "listen")?,
            seed,
            limits: process_limits(limits).map_err(ConfigError::Limits)?,
            changelog: address(file, "changelog")?,
            known: object(field(file, "known")?, "known")?.clone(),
            site: SiteConfig::read(settings).map_err(ConfigError::Settings)?,
        })
    }
}

fn address(file: &JsonObject, name: &str) -> Result<SocketAddr, FieldError> {
    let value = text(file, name)?;
    value.parse().map_or_else(|_| unknown_value(name, value), Ok)
}

/// The seed, a number or a text of hex digits.
fn seed(file: &JsonObject) -> Result<u64, FieldError> {
    if field(file, "seed")?.is_number() {
        return unsigned(file, "seed");
    }
    let digits = text(file, "seed")?;
    u64::from_str_radix(digits, 16).map_or_else(|_| unknown_value("seed", digits), Ok)
}

fn process_limits(limits: &JsonObject) -> Result<ProcessLimits, FieldError> {
    let sockets = unsigned(limits, "sockets")? as usize;
    let cores = number(limits, "cores")?;
    let memory_mb = number(limits, "memory_mb")?.max(0.0) as u64;
    Ok(ProcessLimits { cores, memory_mb, sockets })
}
