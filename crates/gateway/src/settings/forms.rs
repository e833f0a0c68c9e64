//! Readers for values that occur in several forms.

use slatevalve::Micros;
use slatevalve_sexpr::{Fields, Form, FormError};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub(crate) type FormResult<T> = Result<T, FormError>;

/// Reads a file; returns its name as shown in error messages, and its text.
///
/// # Errors
/// If the file cannot be read; the error names no line.
pub(crate) fn read_text(path: &Path) -> FormResult<(String, String)> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(e) => Err(FormError { file, line: 0, form: String::new(), problem: e.to_string() }),
    }
}

/// Reads a text that is valid as the value of an HTTP header.
pub(super) fn header_text(form: &Form<'_>) -> FormResult<String> {
    let text = form.text()?;
    if text.is_empty() || !text.chars().all(|character| character.is_ascii_graphic()) {
        return Err(form.error("expected visible ASCII characters without spaces"));
    }
    Ok(text)
}

/// Reads an IP address with a port.
pub(super) fn address(form: &Form<'_>) -> FormResult<SocketAddr> {
    form.text()?.parse().map_err(|_| form.error("expected an address like \"127.0.0.1:1883\""))
}

/// User name and password for a registry.
pub(super) struct Credentials {
    pub(super) user: String,
    pub(super) password: String,
}

/// Reads the fields `user` and `password-file`, of which either both or none must be present, and the
/// password file.
pub(super) fn credentials(fields: &mut Fields<'_>, form: &Form<'_>) -> FormResult<Option<Credentials>> {
    let user = optional(fields, "user", Form::text)?;
    match (user, fields.take("password-file")?) {
        (None, None) => Ok(None),
        (Some(user), Some(file)) => {
            let path = file.text()?;
            let password = fs::read_to_string(&path).map_err(|e| file.error(format!("{path}: {e}")))?;
            Ok(Some(Credentials { user, password: password.trim_end_matches(['\r', '\n']).into() }))
        }
        _ => Err(form.error("user and password-file must be given together")),
    }
}

/// Reads the fields of an optional form.
pub(super) fn sub_form<'a>(fields: &mut Fields<'a>, name: &str) -> FormResult<Option<Fields<'a>>> {
    fields.take(name)?.map(|form| form.fields()).transpose()
}

/// Reads an optional value.
pub(super) fn optional<'a, T>(
    fields: &mut Fields<'a>,
    name: &str,
    read: impl FnOnce(&Form<'a>) -> FormResult<T>,
) -> FormResult<Option<T>> {
    fields.take(name)?.map(|form| read(&form)).transpose()
}

/// Reads an optional path.
pub(super) fn optional_path(fields: &mut Fields<'_>, name: &str) -> FormResult<Option<PathBuf>> {
    Ok(optional(fields, name, Form::text)?.map(PathBuf::from))
}

/// Reads a whole number from 0 to `maximum`; returns the default if it is absent.
pub(super) fn whole<T: TryFrom<u64>>(
    fields: &mut Fields<'_>,
    name: &str,
    default: T,
    maximum: u64,
) -> FormResult<T> {
    let read = |form: &Form<'_>| {
        T::try_from(form.whole(maximum)?).map_err(|_| form.error("the number is too large for this field"))
    };
    Ok(optional(fields, name, read)?.unwrap_or(default))
}

/// Reads a time in milliseconds; returns it, or the default if it is absent, in microseconds.
pub(super) fn millis_as_us(fields: &mut Fields<'_>, name: &str, default_us: i64) -> FormResult<i64> {
    Ok(fields.or(name, Micros(default_us), Form::millis)?.0)
}
