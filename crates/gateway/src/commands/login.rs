//! Who a command is towards a registry: a name, and a password from a file.

use clap::Args;
use std::error::Error;
use std::fs;
use std::path::PathBuf;

#[derive(Args)]
pub(super) struct LoginArguments {
    /// The user's name towards the registry
    #[arg(long, requires = "password_file")]
    user: Option<String>,
    /// The file that holds the password
    #[arg(long, requires = "user")]
    password_file: Option<PathBuf>,
}

impl LoginArguments {
    /// Name and password, where they are given. A line end behind the password is none of it.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub(super) fn read(self) -> Result<Option<(String, String)>, Box<dyn Error>> {
        let Some((user, file)) = self.user.zip(self.password_file) else { return Ok(None) };
        let text = fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(Some((user, text.trim_end_matches(['\r', '\n']).into())))
    }
}
