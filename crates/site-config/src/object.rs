//! Fields of a JSON object, each with an error that names it. Called by whoever reads what an operator wrote.

use serde_json::{Map, Value};
use slatevalve::Micros;
use std::fmt;

/// A JSON object.
pub type Obj = Map<String, Value>;

/// What is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// The field is absent or null.
    Missing(String),
    /// The field is of another type.
    Type {
        /// Which field.
        field: String,
        /// What it is to be.
        wanted: &'static str,
    },
    /// The field names something that is not known.
    Value {
        /// Which field.
        field: String,
        /// What it names.
        value: String,
    },
    /// A named value that must be an object is none.
    NotObject(String),
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Missing(field) => write!(f, "field '{field}' is missing"),
            FieldError::Type { field, wanted } => write!(f, "field '{field}' {wanted}"),
            FieldError::Value { field, value } => {
                write!(f, "field '{field}' has the unknown value '{value}'")
            }
            FieldError::NotObject(name) => write!(f, "'{name}' is not an object"),
        }
    }
}

impl std::error::Error for FieldError {}

impl From<FieldError> for String {
    fn from(e: FieldError) -> String {
        e.to_string()
    }
}

type Res<T> = Result<T, FieldError>;

fn wrong<T>(field: &str, wanted: &'static str) -> Res<T> {
    Err(FieldError::Type { field: field.into(), wanted })
}

/// An unknown value of a field, as an error.
pub fn unknown<T>(field: &str, value: &str) -> Res<T> {
    Err(FieldError::Value { field: field.into(), value: value.into() })
}

/// A field that must be there.
pub fn field<'a>(o: &'a Obj, name: &str) -> Res<&'a Value> {
    opt(o, name).ok_or_else(|| FieldError::Missing(name.into()))
}

/// A field that may be absent or null.
pub fn opt<'a>(o: &'a Obj, name: &str) -> Option<&'a Value> {
    o.get(name).filter(|v| !v.is_null())
}

/// A text.
pub fn text<'a>(o: &'a Obj, name: &str) -> Res<&'a str> {
    field(o, name)?.as_str().map_or_else(|| wrong(name, "is not a text"), Ok)
}

/// A whole number of 0 or more.
pub fn whole(o: &Obj, name: &str) -> Res<u64> {
    let v = field(o, name)?;
    let f = || v.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0 && *f < 1.8e19).map(|f| f as u64);
    v.as_u64().or_else(f).map_or_else(|| wrong(name, "is not a whole number"), Ok)
}

/// A number.
pub fn number(o: &Obj, name: &str) -> Res<f64> {
    field(o, name)?.as_f64().map_or_else(|| wrong(name, "is not a number"), Ok)
}

/// A number, or another one where the field is absent.
pub fn number_or(o: &Obj, name: &str, other: f64) -> Res<f64> {
    opt(o, name).map_or(Ok(other), |_| number(o, name))
}

/// A time, given in milliseconds with fractions.
pub fn time(o: &Obj, name: &str) -> Res<Micros> {
    Ok(Micros((number(o, name)? * 1000.0).round() as i64))
}

/// A time, or another one where the field is absent.
pub fn time_or(o: &Obj, name: &str, other: Micros) -> Res<Micros> {
    opt(o, name).map_or(Ok(other), |_| time(o, name))
}

/// True or false, or another value where the field is absent.
pub fn flag(o: &Obj, name: &str, other: bool) -> Res<bool> {
    match opt(o, name) {
        None => Ok(other),
        Some(v) => v.as_bool().map_or_else(|| wrong(name, "is not true or false"), Ok),
    }
}

/// A value that must be an object.
pub fn object<'a>(v: &'a Value, name: &str) -> Res<&'a Obj> {
    v.as_object().ok_or_else(|| FieldError::NotObject(name.into()))
}

/// An object within an object, or another one where the field is absent.
pub fn part<'a>(o: &'a Obj, name: &str, none: &'a Obj) -> Res<&'a Obj> {
    opt(o, name).map_or(Ok(none), |v| object(v, name))
}

/// A list, empty where the field is absent.
pub fn list<'a>(o: &'a Obj, name: &str) -> Res<&'a [Value]> {
    match opt(o, name) {
        None => Ok(&[]),
        Some(v) => v.as_array().map(Vec::as_slice).map_or_else(|| wrong(name, "is not a list"), Ok),
    }
}

/// A list of texts.
pub fn texts(o: &Obj, name: &str) -> Res<Vec<String>> {
    let one = |v: &Value| v.as_str().map(String::from).map_or_else(|| wrong(name, "holds no texts"), Ok);
    list(o, name)?.iter().map(one).collect()
}

/// The place of a named value in a list of names.
pub fn place(names: &[String], o: &Obj, name: &str) -> Res<usize> {
    let word = text(o, name)?;
    names.iter().position(|n| n == word).map_or_else(|| unknown(name, word), Ok)
}
