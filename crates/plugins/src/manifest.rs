//! A plug-in's manifest, checked against the schema in `schema/plugin.json`, the engine version of this
//! gateway, and the classes that its tenant may use.

use crate::digest::Digest;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// JSON schema of manifests.
pub const SCHEMA: &str = include_str!("../schema/plugin.json");
/// Engine version of this gateway. A manifest may require this major version with this or an earlier minor
/// version.
const ENGINE_MAJOR: u32 = 0;
const ENGINE_MINOR: u32 = 1;

/// Reference to a layer of a plug-in's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerRef {
    /// Digest of the layer's content.
    pub digest: Digest,
    /// Size of the content, in bytes.
    pub size: u64,
}

/// Manifest of one version of a plug-in, as its author wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Manifest {
    /// Name of the function that the plug-in implements.
    pub name: String,
    /// Name of this version, unique within the function.
    pub version: String,
    /// The tenant that owns the plug-in; without one, any class may be used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Class of its calls; calls of another class are refused.
    pub class: String,
    /// The effect that its author expects of that class: `safe`, `keyed` or `unsafe`. A manifest that differs
    /// from the site's settings is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub effect: Option<String>,
    /// Calls that one loaded copy runs concurrently.
    #[serde(default = "one", rename = "lanes")]
    pub concurrency: u32,
    /// Memory of a loaded copy, in MB; 0 if not stated.
    #[serde(default)]
    pub memory_mb: f64,
    /// Typical duration of a load, in milliseconds; 0 if not stated.
    #[serde(default)]
    pub load_ms: f64,
    /// Required engine version as `MAJOR.MINOR`; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<String>,
    /// The content, at least one layer.
    pub layers: Vec<LayerRef>,
}

fn one() -> u32 {
    1
}

/// A violation that was found in a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestProblem {
    /// Path of the manifest as the caller gave it, or the version it belongs to.
    pub file: String,
    /// JSON pointer to the field; empty for the whole manifest.
    pub field: String,
    /// Description of the violation.
    pub message: String,
}

impl fmt::Display for ManifestProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() { "/" } else { &self.field };
        write!(f, "{}: {field}: {}", self.file, self.message)
    }
}

impl std::error::Error for ManifestProblem {}

/// The site's classes, and which of them each tenant may use.
#[derive(Clone, Debug, Default)]
pub struct ClassRights {
    /// The effect of each class: `safe`, `keyed` or `unsafe`.
    pub effects: BTreeMap<String, String>,
    /// The classes that each tenant may use; a tenant that is not listed may use all.
    pub tenants: BTreeMap<String, BTreeSet<String>>,
}

impl ClassRights {
    /// Checks the class, effect and tenant of a manifest; returns all violations.
    pub fn problems(&self, file: &str, manifest: &Manifest) -> Vec<ManifestProblem> {
        let problem = |field: &str, message: String| ManifestProblem {
            file: file.into(),
            field: field.into(),
            message,
        };
        let mut found = Vec::new();
        match self.effects.get(&manifest.class) {
            None => found.push(problem("/class", format!("there is no class {}", manifest.class))),
            // The settings define the effect of a class. A plug-in that declares another one, such as a
            // charge that is declared safe, was written for other calls.
            Some(effect) => {
                if let Some(claimed) = manifest.effect.as_ref().filter(|claimed| *claimed != effect) {
                    let message = format!(
                        "the manifest declares effect {claimed}, but class {} has effect {effect}",
                        manifest.class
                    );
                    found.push(problem("/effect", message));
                }
            }
        }
        if let Some(tenant) = &manifest.tenant {
            if self.tenants.get(tenant).is_some_and(|classes| !classes.contains(&manifest.class)) {
                found
                    .push(problem("/class", format!("tenant {tenant} may not use class {}", manifest.class)));
            }
        }
        found
    }
}

/// Parses and checks a manifest; its class is checked if `rights` are given. Returns it with the digest of
/// its bytes, which is the version's digest.
///
/// # Errors
/// With all violations that were found, each with its file and field.
pub fn check_manifest(
    file: &str,
    bytes: &[u8],
    rights: Option<&ClassRights>,
) -> Result<(Manifest, Digest), Vec<ManifestProblem>> {
    let problem = |field: String, message: String| ManifestProblem { file: file.into(), field, message };
    let value: Value =
        serde_json::from_slice(bytes).map_err(|e| vec![problem(String::new(), format!("not JSON: {e}"))])?;
    let schema: Value =
        serde_json::from_str(SCHEMA).map_err(|e| vec![problem(String::new(), e.to_string())])?;
    let validator = jsonschema::validator_for(&schema)
        .map_err(|e| vec![problem(String::new(), format!("invalid manifest schema: {e}"))])?;
    let found: Vec<ManifestProblem> =
        validator.iter_errors(&value).map(|e| problem(e.instance_path.to_string(), e.to_string())).collect();
    if !found.is_empty() {
        return Err(found);
    }
    // A value that the schema accepts and the type does not is a digest with an unsupported algorithm.
    let manifest: Manifest =
        serde_json::from_value(value).map_err(|e| vec![problem("/layers".into(), e.to_string())])?;
    let mut found = rights.map_or_else(Vec::new, |rights| rights.problems(file, &manifest));
    if let Some(engine) = &manifest.engine {
        let parts: Vec<u32> = engine.split('.').filter_map(|number| number.parse().ok()).collect();
        if parts.len() != 2 || parts[0] != ENGINE_MAJOR || parts[1] > ENGINE_MINOR {
            let message = format!(
                "requires engine {engine}, but this gateway has engine {}.{}",
                ENGINE_MAJOR, ENGINE_MINOR
            );
            found.push(problem("/engine".into(), message));
        }
    }
    match found.is_empty() {
        true => Ok((manifest, Digest::of(bytes))),
        false => Err(found),
    }
}

#[cfg(test)]
mod tests;
