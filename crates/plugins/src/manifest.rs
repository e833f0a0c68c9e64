//! A plug-in's manifest: what it says of itself, checked against the schema in `schema/plugin.json`, against what this
//! gateway can run, and against what its tenant may do.

use crate::digest::Digest;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The JSON schema of manifests.
pub const SCHEMA: &str = include_str!("../schema/plugin.json");
/// The engine version that manifests may require: this major version, and this or an earlier minor version.
const ENGINE_MAJOR: u32 = 0;
const ENGINE_MINOR: u32 = 1;

/// A layer of a plug-in's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerRef {
    /// Its digest.
    pub digest: Digest,
    /// Its size in bytes.
    pub size: u64,
}

/// What a plug-in says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Manifest {
    /// The function.
    pub name: String,
    /// Its version.
    pub version: String,
    /// The tenant whose rules these are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// The class of its calls.
    pub class: String,
    /// What it believes that class's effect to be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub effect: Option<String>,
    /// Calls that one copy runs at a time.
    #[serde(default = "one", rename = "lanes")]
    pub concurrency: u32,
    /// Memory of a copy, in MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// The usual time of a load, in milliseconds.
    #[serde(default)]
    pub load_ms: f64,
    /// The engine version that it needs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<String>,
    /// Its content.
    pub layers: Vec<LayerRef>,
}

fn one() -> u32 {
    1
}

/// One thing that is wrong with a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestProblem {
    /// The file, as given.
    pub file: String,
    /// The field, as a JSON pointer; empty for the whole.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ManifestProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() { "/" } else { &self.field };
        write!(f, "{}: {field}: {}", self.file, self.message)
    }
}

impl std::error::Error for ManifestProblem {}

/// What the site's classes are and which of them each tenant may use.
#[derive(Clone, Debug, Default)]
pub struct ClassRights {
    /// The effect of each class: `safe`, `keyed` or `unsafe`.
    pub effects: BTreeMap<String, String>,
    /// The classes of each tenant; a tenant that is not named may use all.
    pub tenants: BTreeMap<String, BTreeSet<String>>,
}

impl ClassRights {
    /// What is wrong with the class that a manifest claims.
    pub fn problems(&self, file: &str, manifest: &Manifest) -> Vec<ManifestProblem> {
        let problem = |field: &str, message: String| ManifestProblem {
            file: file.into(),
            field: field.into(),
            message,
        };
        let mut found = Vec::new();
        match self.effects.get(&manifest.class) {
            None => found.push(problem("/class", format!("there is no class {}", manifest.class))),
            // The site says what a class does. A plug-in that believes otherwise, a charge that calls itself safe,
            // was written for something else.
            Some(effect) => {
                if let Some(claimed) = manifest.effect.as_ref().filter(|claimed| *claimed != effect) {
                    let message = format!(
                        "it claims to be {claimed}, but calls of class {} are {effect}",
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

/// Reads and checks a manifest, its class too where the site's rights are known; gives it with the digest of its bytes, which is the version's digest.
///
/// # Errors
/// With everything that is wrong, each naming file and field.
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
        .map_err(|e| vec![problem(String::new(), format!("the schema: {e}"))])?;
    let found: Vec<ManifestProblem> =
        validator.iter_errors(&value).map(|e| problem(e.instance_path.to_string(), e.to_string())).collect();
    if !found.is_empty() {
        return Err(found);
    }
    // What the schema lets pass and the type does not is a digest of another algorithm.
    let manifest: Manifest =
        serde_json::from_value(value).map_err(|e| vec![problem("/layers".into(), e.to_string())])?;
    let mut found = rights.map_or_else(Vec::new, |rights| rights.problems(file, &manifest));
    if let Some(engine) = &manifest.engine {
        let parts: Vec<u32> = engine.split('.').filter_map(|number| number.parse().ok()).collect();
        if parts.len() != 2 || parts[0] != ENGINE_MAJOR || parts[1] > ENGINE_MINOR {
            let message = format!("it needs engine {engine}; this is {}.{}", ENGINE_MAJOR, ENGINE_MINOR);
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
