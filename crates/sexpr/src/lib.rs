//! Reads settings files and scripts that are written as S-expressions.
//!
//! A form is a list that begins with its name, `(name value ... (field ...) ...)`. The reader takes each
//! field once, and remaining fields are an error, so that a misspelt name does not go unnoticed. Every error
//! contains file, line and form. The crate does no I/O: callers pass the text of a file.
#![forbid(unsafe_code)]

use lexpr::datum::{Datum, Ref};
use lexpr::Value;
use slatevalve::Micros;
use std::fmt;

/// An error in a file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormError {
    /// File name that the caller passed to [`File::parse`].
    pub file: String,
    /// Line number from 1, or 0 for the file as a whole.
    pub line: usize,
    /// Name of the form that contains the error; empty at the top level.
    pub form: String,
    /// Description of the error, without the location.
    pub problem: String,
}

impl fmt::Display for FormError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.form.is_empty() {
            write!(f, ": ({} ...)", self.form)?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for FormError {}

/// Maximum number in a file. As milliseconds, it can be converted to microseconds in 64 bits.
const MAX_NUMBER: f64 = 1e15;

type Result<T> = std::result::Result<T, FormError>;

/// A parsed file, as a sequence of S-expressions.
pub struct File {
    name: String,
    data: Vec<Datum>,
}

impl File {
    /// Parses the text of a file; `name` is used in errors.
    ///
    /// # Errors
    /// If the text is not a sequence of S-expressions.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let mut parser = lexpr::Parser::from_str(text);
        let data: std::result::Result<Vec<Datum>, _> = parser.datum_iter().collect();
        let data = data.map_err(|e| FormError {
            file: name.into(),
            line: e.location().map_or(0, |location| location.line()),
            form: String::new(),
            problem: e.to_string(),
        })?;
        Ok(File { name: name.into(), data })
    }

    /// The forms at the top level.
    ///
    /// # Errors
    /// If a value at the top level is not a form.
    pub fn forms(&self) -> Result<Fields<'_>> {
        let forms = self.data.iter().map(|datum| Form::read(&self.name, datum.as_ref()));
        let forms = forms.collect::<Result<Vec<_>>>()?;
        let line = self.data.first().map_or(0, |datum| datum.span().start().line());
        Ok(Fields { file: &self.name, line, form: String::new(), forms })
    }

    /// Creates an error about the file as a whole.
    #[must_use]
    pub fn error(&self, problem: impl Into<String>) -> FormError {
        FormError { file: self.name.clone(), line: 0, form: String::new(), problem: problem.into() }
    }
}

/// A list that begins with a name: `(name value ... (field ...) ...)`.
pub struct Form<'a> {
    file: &'a str,
    name: String,
    line: usize,
    values: Vec<Ref<'a>>,
}

impl<'a> Form<'a> {
    fn read(file: &'a str, datum: Ref<'a>) -> Result<Self> {
        let line = datum.span().start().line();
        let error = |problem: String| FormError { file: file.into(), line, form: String::new(), problem };
        let items: Option<Vec<Ref<'a>>> = datum.list_iter().map(Iterator::collect);
        let items = items.filter(|items| !items.is_empty());
        let mut items = items.ok_or_else(|| error(format!("expected a form, found {}", datum.value())))?;
        let head = items.remove(0);
        let name = head.value().as_symbol().map(str::to_string);
        let name =
            name.ok_or_else(|| error(format!("expected the name of a form, found {}", head.value())))?;
        Ok(Form { file, name, line, values: items })
    }

    /// The symbol at the beginning of the list.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number of the line on which the form begins, from 1.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// Creates an error about the form.
    #[must_use]
    pub fn error(&self, problem: impl Into<String>) -> FormError {
        FormError {
            file: self.file.into(),
            line: self.line,
            form: self.name.clone(),
            problem: problem.into(),
        }
    }

    fn text_of(value: &Value) -> Option<String> {
        value.as_str().or_else(|| value.as_symbol()).map(str::to_string)
    }

    /// The form's only value, a string or a symbol.
    ///
    /// # Errors
    /// If the form does not have exactly one value, or the value is of another type.
    pub fn text(&self) -> Result<String> {
        match self.values.as_slice() {
            [value] => Self::text_of(value.value())
                .ok_or_else(|| self.error(format!("expected a string or symbol, found {}", value.value()))),
            _ => Err(self.error("expected exactly one string or symbol")),
        }
    }

    /// The form's values, strings or symbols.
    ///
    /// # Errors
    /// If a value is of another type.
    pub fn texts(&self) -> Result<Vec<String>> {
        let text = |value: &Ref<'a>| {
            Self::text_of(value.value())
                .ok_or_else(|| self.error(format!("expected strings or symbols, found {}", value.value())))
        };
        self.values.iter().map(text).collect()
    }

    /// The form's only value, a finite number from 0 to 10^15.
    ///
    /// # Errors
    /// If the form does not have exactly one value, or the value is not such a number.
    pub fn number(&self) -> Result<f64> {
        let value = match self.values.as_slice() {
            [value] => value.value().as_f64(),
            _ => None,
        };
        let in_range = value.filter(|number| number.is_finite() && *number >= 0.0 && *number <= MAX_NUMBER);
        in_range.ok_or_else(|| self.error("expected exactly one number from 0 to 10^15"))
    }

    /// The form's only value, a whole number from 0 to `max`.
    ///
    /// # Errors
    /// If the form does not have exactly one value, or the value is not such a number.
    pub fn whole(&self, max: u64) -> Result<u64> {
        let number = self.number()?;
        if number.fract() != 0.0 || number > max as f64 {
            return Err(self.error(format!("expected a whole number from 0 to {max}")));
        }
        Ok(number as u64)
    }

    /// The form's values, whole numbers from 0 to `max`.
    ///
    /// # Errors
    /// If a value is not such a number.
    pub fn wholes(&self, max: u64) -> Result<Vec<u64>> {
        let whole = |value: &Ref<'a>| value.value().as_u64().filter(|number| *number <= max);
        let numbers: Option<Vec<u64>> = self.values.iter().map(whole).collect();
        numbers.ok_or_else(|| self.error(format!("expected whole numbers from 0 to {max}")))
    }

    /// The source text of the form's values, one per line, which can be parsed as a separate file.
    ///
    /// # Errors
    /// If a value cannot be formatted.
    pub fn source(&self) -> Result<String> {
        let text = |value: &Ref<'a>| lexpr::to_string(value.value()).map_err(|e| self.error(e.to_string()));
        Ok(self.values.iter().map(text).collect::<Result<Vec<_>>>()?.join("\n"))
    }

    /// The form's only value, a time in milliseconds, possibly with a fraction.
    ///
    /// # Errors
    /// As [`Form::number`].
    pub fn millis(&self) -> Result<Micros> {
        Ok(Micros((self.number()? * 1_000.0) as i64))
    }

    /// The form's only value, `yes` or `no`.
    ///
    /// # Errors
    /// If the form does not have exactly one value, or the value is neither.
    pub fn flag(&self) -> Result<bool> {
        match self.text()?.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.error(format!("expected yes or no, found {other}"))),
        }
    }

    /// The form's first value, a string or a symbol, and the forms that follow it.
    ///
    /// # Errors
    /// If the first value is missing or of another type, or a further value is not a form.
    pub fn named_fields(&self) -> Result<(String, Fields<'a>)> {
        let name = self.values.first().and_then(|value| Self::text_of(value.value()));
        let name = name.ok_or_else(|| self.error("expected a string or symbol as the first value"))?;
        Ok((name, self.fields_from(1)?))
    }

    /// The forms within this form.
    ///
    /// # Errors
    /// If a value is not a form.
    pub fn fields(&self) -> Result<Fields<'a>> {
        self.fields_from(0)
    }

    fn fields_from(&self, start: usize) -> Result<Fields<'a>> {
        let in_this_form = |error| FormError { form: self.name.clone(), ..error };
        let read = |value: &Ref<'a>| Form::read(self.file, *value).map_err(in_this_form);
        let forms = self.values[start..].iter().map(read).collect::<Result<Vec<_>>>()?;
        Ok(Fields { file: self.file, line: self.line, form: self.name.clone(), forms })
    }
}

/// The forms within a form or at the top level of a file. Each is taken once; [`Fields::finish`] checks that
/// none remain.
pub struct Fields<'a> {
    file: &'a str,
    line: usize,
    form: String,
    forms: Vec<Form<'a>>,
}

impl<'a> Fields<'a> {
    /// Creates an error about the enclosing form or file.
    #[must_use]
    pub fn error(&self, problem: impl Into<String>) -> FormError {
        let (file, line, form) = (self.file.into(), self.line, self.form.clone());
        FormError { file, line, form, problem: problem.into() }
    }

    /// Takes the form with this name; `None` if there is none.
    ///
    /// # Errors
    /// If there are several.
    pub fn take(&mut self, name: &str) -> Result<Option<Form<'a>>> {
        let mut found = self.take_all(name);
        if let [first, second, ..] = found.as_slice() {
            return Err(second.error(format!("appears more than once; first in line {}", first.line)));
        }
        Ok(found.pop())
    }

    /// Takes the form with this name.
    ///
    /// # Errors
    /// If there is none or several.
    pub fn need(&mut self, name: &str) -> Result<Form<'a>> {
        self.take(name)?.ok_or_else(|| self.error(format!("({name} ...) is missing")))
    }

    /// Takes all forms with this name, in order.
    pub fn take_all(&mut self, name: &str) -> Vec<Form<'a>> {
        let (found, rest) = std::mem::take(&mut self.forms).into_iter().partition(|form| form.name == name);
        self.forms = rest;
        found
    }

    /// Takes all remaining forms, in order.
    pub fn take_rest(&mut self) -> Vec<Form<'a>> {
        std::mem::take(&mut self.forms)
    }

    /// Takes the form with this name and reads its value with `read`; returns `default` if there is none.
    ///
    /// # Errors
    /// If there are several forms with this name, or `read` fails.
    pub fn or<T>(&mut self, name: &str, default: T, read: impl FnOnce(&Form<'a>) -> Result<T>) -> Result<T> {
        self.take(name)?.map_or(Ok(default), |form| read(&form))
    }

    /// Checks that no forms remain.
    ///
    /// # Errors
    /// If forms remain; the error names the first one.
    pub fn finish(self) -> Result<()> {
        match self.forms.first() {
            None => Ok(()),
            Some(form) => Err(FormError {
                form: self.form.clone(),
                ..form.error(format!("unknown form ({} ...)", form.name))
            }),
        }
    }
}
