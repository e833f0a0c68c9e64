//! Readers that several forms share.

use slatevalve::Micros;
use slatevalve_sexpr::{Fields, Form, FormError};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The result of reading a form.
pub(crate) type Res<T> = Result<T, FormError>;

/// A file's name, as errors show it, and its text.
///
/// # Errors
/// If the file cannot be read; the error names no line.
pub(crate) fn read_text(path: &Path) -> Res<(String, String)> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(e) => Err(FormError { file, line: 0, form: String::new(), problem: e.to_string() }),
    }
}

/// A text that can be the value of an HTTP header.
pub(super) fn header_text(form: &Form<'_>) -> Res<String> {
    let text = form.text()?;
    if text.is_empty() || !text.chars().all(|character| character.is_ascii_graphic()) {
        return Err(form.error("expected visible ASCII characters without spaces"));
    }
    Ok(text)
}

/// An IP address with a port.
pub(super) fn address(form: &Form<'_>) -> Res<SocketAddr> {
    form.text()?.parse().map_err(|_| form.error("expected an address like \"127.0.0.1:1883\""))
}

/// Name and password of a login.
pub(super) struct Credentials {
    pub(super) user: String,
    pub(super) password: String,
}

/// The fields `user` and `password-file` of a form for a registry.
pub(super) fn credentials(fields: &mut Fields<'_>, form: &Form<'_>) -> Res<Option<Credentials>> {
    let user = optional(fields, "user", Form::text)?;
    match (user, fields.take("password-file")?) {
        (None, None) => Ok(None),
        (Some(user), Some(file)) => {
            let path = file.text()?;
            let password = fs::read_to_string(&path).map_err(|e| file.error(format!("{path}: {e}")))?;
            Ok(Some(Credentials { user, password: password.trim_end_matches(['\r', '\n']).into() }))
        }
        _ => Err(form.error("user and password-file stand together")),
    }
}

/// The fields of a form that may be absent.
pub(super) fn sub_form<'a>(fields: &mut Fields<'a>, name: &str) -> Res<Option<Fields<'a>>> {
    fields.take(name)?.map(|form| form.fields()).transpose()
}

/// A value that may be absent.
pub(super) fn optional<'a, T>(
    fields: &mut Fields<'a>,
    name: &str,
    read: impl FnOnce(&Form<'a>) -> Res<T>,
) -> Res<Option<T>> {
    fields.take(name)?.map(|form| read(&form)).transpose()
}

/// A path that may be absent.
pub(super) fn optional_path(fields: &mut Fields<'_>, name: &str) -> Res<Option<PathBuf>> {
    Ok(optional(fields, name, Form::text)?.map(PathBuf::from))
}

/// A whole number from 0 to `maximum`, or a default.
pub(super) fn whole<T: TryFrom<u64>>(
    fields: &mut Fields<'_>,
    name: &str,
    default: T,
    maximum: u64,
) -> Res<T> {
    let read = |form: &Form<'_>| {
        T::try_from(form.whole(maximum)?).map_err(|_| form.error("the number is too large here"))
    };
    Ok(optional(fields, name, read)?.unwrap_or(default))
}

/// A time in milliseconds as microseconds, or a default in microseconds.
pub(super) fn millis_as_us(fields: &mut Fields<'_>, name: &str, default_us: i64) -> Res<i64> {
    Ok(fields.or(name, Micros(default_us), Form::millis)?.0)
}
