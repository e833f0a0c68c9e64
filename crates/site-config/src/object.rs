//! Reads fields of a JSON object, with errors that name the field. A field that is null counts as absent.

use serde_json::{Map, Value};
use slatevalve::Micros;
use std::fmt;
use std::sync::LazyLock;

/// A JSON object.
pub type JsonObject = Map<String, Value>;

/// Why a field cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// The field is absent or null.
    Missing(String),
    /// The value has another type than the field requires.
    Type {
        /// Name of the field.
        field: String,
        /// What is wrong with the value, as a predicate: `is not a number`.
        problem: &'static str,
    },
    /// The value is not one of the known ones.
    Value {
        /// Name of the field.
        field: String,
        /// Value of the field.
        value: String,
    },
    /// The value with this name is not an object.
    NotObject(String),
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Missing(field) => write!(f, "field '{field}' is missing"),
            FieldError::Type { field, problem } => write!(f, "field '{field}' {problem}"),
            FieldError::Value { field, value } => {
                write!(f, "field '{field}' has the unknown value '{value}'")
            }
            FieldError::NotObject(name) => write!(f, "'{name}' is not an object"),
        }
    }
}

impl std::error::Error for FieldError {}

type Result<T> = std::result::Result<T, FieldError>;

fn type_error<T>(field: &str, problem: &'static str) -> Result<T> {
    Err(FieldError::Type { field: field.into(), problem })
}

/// Returns [`FieldError::Value`] for a field whose value is not one of the known ones.
///
/// # Errors
/// Always; `T` is the result type of the caller.
pub fn unknown_value<T>(field: &str, value: &str) -> Result<T> {
    Err(FieldError::Value { field: field.into(), value: value.into() })
}

/// Returns a required field.
///
/// # Errors
/// Where the field is absent.
pub fn field<'a>(object: &'a JsonObject, name: &str) -> Result<&'a Value> {
    optional(object, name).ok_or_else(|| FieldError::Missing(name.into()))
}

/// Returns a field; `None` if it is absent or null.
#[must_use]
pub fn optional<'a>(object: &'a JsonObject, name: &str) -> Option<&'a Value> {
    object.get(name).filter(|value| !value.is_null())
}

/// Returns a required string.
///
/// # Errors
/// If the field is absent or not a string.
pub fn text<'a>(object: &'a JsonObject, name: &str) -> Result<&'a str> {
    field(object, name)?.as_str().map_or_else(|| type_error(name, "is not a string"), Ok)
}

/// Returns a required non-negative whole number, which may be written with a decimal point.
///
/// # Errors
/// If the field is absent or not such a number.
pub fn unsigned(object: &JsonObject, name: &str) -> Result<u64> {
    /// Just below 2^64: the conversion of a larger float to `u64` would saturate.
    const MAX: f64 = 1.8e19;
    let value = field(object, name)?;
    let from_float = || {
        let number = value.as_f64().filter(|number| *number >= 0.0 && number.fract() == 0.0 && *number < MAX);
        number.map(|number| number as u64)
    };
    let number = value.as_u64().or_else(from_float);
    number.map_or_else(|| type_error(name, "is not a whole number"), Ok)
}

/// Returns a non-negative whole number, or `default` if the field is absent.
///
/// # Errors
/// If the field is not such a number.
pub fn unsigned_or(object: &JsonObject, name: &str, default: u64) -> Result<u64> {
    optional(object, name).map_or(Ok(default), |_| unsigned(object, name))
}

/// Returns a required number.
///
/// # Errors
/// If the field is absent or not a number.
pub fn number(object: &JsonObject, name: &str) -> Result<f64> {
    field(object, name)?.as_f64().map_or_else(|| type_error(name, "is not a number"), Ok)
}

/// Returns a number, or `default` if the field is absent.
///
/// # Errors
/// If the field is not a number.
pub fn number_or(object: &JsonObject, name: &str, default: f64) -> Result<f64> {
    optional(object, name).map_or(Ok(default), |_| number(object, name))
}

/// Returns a required time, given in milliseconds, possibly fractional.
///
/// # Errors
/// If the field is absent or not a number.
pub fn time(object: &JsonObject, name: &str) -> Result<Micros> {
    Ok(Micros((number(object, name)? * 1000.0).round() as i64))
}

/// Returns a time, given in milliseconds, possibly fractional, or `default` if the field is absent.
///
/// # Errors
/// If the field is not a number.
pub fn time_or(object: &JsonObject, name: &str, default: Micros) -> Result<Micros> {
    optional(object, name).map_or(Ok(default), |_| time(object, name))
}

/// Returns a boolean, or `default` if the field is absent.
///
/// # Errors
/// If the field is not a boolean.
pub fn bool_or(object: &JsonObject, name: &str, default: bool) -> Result<bool> {
    match optional(object, name) {
        None => Ok(default),
        Some(value) => value.as_bool().map_or_else(|| type_error(name, "is not true or false"), Ok),
    }
}

/// Returns a value as an object; `name` is used in the error.
///
/// # Errors
/// If the value is not an object.
pub fn object<'a>(value: &'a Value, name: &str) -> Result<&'a JsonObject> {
    value.as_object().ok_or_else(|| FieldError::NotObject(name.into()))
}

/// Returns a nested object, or an empty one if the field is absent.
///
/// # Errors
/// If the field is not an object.
pub fn object_or_empty<'a>(parent: &'a JsonObject, name: &str) -> Result<&'a JsonObject> {
    static EMPTY: LazyLock<JsonObject> = LazyLock::new(JsonObject::new);
    optional(parent, name).map_or_else(|| Ok(&*EMPTY), |value| object(value, name))
}

/// Returns an array, or an empty one if the field is absent.
///
/// # Errors
/// If the field is not an array.
pub fn array<'a>(object: &'a JsonObject, name: &str) -> Result<&'a [Value]> {
    match optional(object, name) {
        None => Ok(&[]),
        Some(value) => {
            value.as_array().map(Vec::as_slice).map_or_else(|| type_error(name, "is not a list"), Ok)
        }
    }
}

/// Returns an array of strings, or an empty one if the field is absent.
///
/// # Errors
/// If the field is not an array, or contains a value that is not a string.
pub fn texts(object: &JsonObject, name: &str) -> Result<Vec<String>> {
    let text = |value: &Value| {
        value
            .as_str()
            .map(String::from)
            .map_or_else(|| type_error(name, "contains a value that is not a string"), Ok)
    };
    array(object, name)?.iter().map(text).collect()
}

/// Returns the index in `names` of the string in a required field.
///
/// # Errors
/// If the field is absent, not a string, or a string that is not in `names`.
pub fn index_of(names: &[String], object: &JsonObject, name: &str) -> Result<usize> {
    let value = text(object, name)?;
    names.iter().position(|known| known == value).map_or_else(|| unknown_value(name, value), Ok)
}

/// Returns the index in `names` of the string in a field, or `default` if the field is absent.
///
/// # Errors
/// If the field is not a string, or a string that is not in `names`.
pub fn index_or(names: &[String], object: &JsonObject, name: &str, default: usize) -> Result<usize> {
    optional(object, name).map_or(Ok(default), |_| index_of(names, object, name))
}
