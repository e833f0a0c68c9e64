//! Configuration of a router: a JSON file whose path is in the environment variable `EDGE_CONFIG`, read at
//! startup and on SIGHUP. It is applied completely or not at all; an error names the invalid field.

use serde_json::Value;
use slatevalve_site_config::object::{field, number, object, text, unknown_value, unsigned, JsonObject};
use slatevalve_site_config::{FieldError, SiteConfig};
use std::fmt;
use std::net::SocketAddr;

/// Resource limits of the process, as set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Number of processor cores, possibly fractional.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of file descriptors; client and worker connections share them.
    pub sockets: usize,
}

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name that the platform gave the router.
    pub name: String,
    /// The address on which the router accepts clients.
    pub listen: SocketAddr,
    /// Seed of the random numbers, different for each start.
    pub seed: u64,
    /// Resource limits of the process, as set by the platform.
    pub limits: ProcessLimits,
    /// The address of the change log; the only field that a reload applies.
    pub changelog: SocketAddr,
    /// The events of the change log so far, in the format of its answers.
    pub known: JsonObject,
    /// The operators' settings, from the field `settings`.
    pub site: SiteConfig,
}

/// Why a configuration is rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// The file is not valid JSON.
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
    /// Parses the content of a configuration file.
    ///
    /// # Errors
    /// For the first field that is missing or invalid.
    pub fn read(json: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(json)?;
        let file = object(&value, "configuration")?;
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

/// Reads the seed: a number, or a string of hex digits.
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
