//! Creates the plug-ins of a run: one with two versions for every function.

use super::Runner;
use crate::chaos_test::ChaosTestError;
use crate::plugins::folder::{unix_ms, PluginFolder};
use serde_json::json;
use slatevalve_plugins::{Digest, CURRENT};
use std::fs;
use std::path::PathBuf;

const FIRST_VERSION: &str = "1";
pub(super) const SECOND_VERSION: &str = "2";

/// A function that the script's calls name.
struct Function {
    name: String,
    class: String,
}

impl Runner<'_> {
    pub(super) fn plugin_folder(&self) -> PathBuf {
        self.directory.join("plugins")
    }

    fn functions(&self) -> Vec<Function> {
        let load = &self.script.load;
        let functions = load.mix.iter().flat_map(|entry| {
            let class = &entry.class;
            (1..=load.functions)
                .map(move |rank| Function { name: format!("{class}-{rank}"), class: class.clone() })
        });
        functions.collect()
    }

    /// Pushes two versions of every function and sets the alias `current` to the first.
    pub(super) fn push_plugins(&mut self) -> Result<(), ChaosTestError> {
        let mut folder = PluginFolder::open(&self.plugin_folder())?;
        let (manifest_file, layer_file) =
            (self.directory.join("manifest.json"), self.directory.join("layer"));
        for Function { name, class } in self.functions() {
            for version in [FIRST_VERSION, SECOND_VERSION] {
                let content = format!("rules of {name}, version {version}");
                fs::write(&layer_file, &content)?;
                let layers = [json!({"digest": Digest::of(content.as_bytes()), "size": content.len()})];
                let manifest = json!({"name": name, "version": version, "class": class, "layers": layers});
                fs::write(&manifest_file, manifest.to_string())?;
                folder.push(&manifest_file, std::slice::from_ref(&layer_file), None)?;
            }
        }
        self.move_aliases(FIRST_VERSION)
    }

    /// Moves the alias `current` of every function to a version.
    pub(super) fn move_aliases(&self, version: &str) -> Result<(), ChaosTestError> {
        let functions = self.functions();
        PluginFolder::open(&self.plugin_folder())?.change(|catalogue, _| {
            for Function { name, .. } in &functions {
                catalogue.move_alias(name, CURRENT, version, None, "bad day", unix_ms())?;
            }
            Ok(())
        })?;
        Ok(())
    }
}
