//! S-expressions as forms with names and places: every value is read once, every leftover is an error that names
//! file, line and form. No I/O: whoever calls it has the text. Called by the gateway for its settings and by scripts.

use lexpr::datum::{Datum, Ref};
use lexpr::Value;
use slatevalve::Micros;
use std::fmt;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormError {
    /// The file's name, as given.
    pub file: String,
    /// Line, from 1; 0 where the file as a whole is meant.
    pub line: usize,
    /// The form it is in; empty at the top.
    pub form: String,
    /// What is wrong.
    pub words: String,
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
        write!(f, ": {}", self.words)
    }
}

impl std::error::Error for FormError {}

type Res<T> = Result<T, FormError>;

/// A whole file.
pub struct File {
    name: String,
    data: Vec<Datum>,
}

impl File {
    /// Reads a file's text.
    ///
    /// # Errors
    /// Where it is no sequence of S-expressions.
    pub fn parse(name: &str, text: &str) -> Res<Self> {
        let mut parser = lexpr::Parser::from_str(text);
        let data: Result<Vec<Datum>, _> = parser.datum_iter().collect();
        let data = data.map_err(|e| FormError {
            file: name.into(),
            line: e.location().map_or(0, |l| l.line()),
            form: String::new(),
            words: e.to_string(),
        })?;
        Ok(File { name: name.into(), data })
    }

    /// Its forms.
    ///
    /// # Errors
    /// Where something at the top is no form.
    pub fn forms(&self) -> Res<Fields<'_>> {
        let top = |d: &Datum| d.span().start().line();
        let forms = self.data.iter().map(|d| Form::read(&self.name, d.as_ref())).collect::<Res<Vec<_>>>()?;
        let line = self.data.first().map_or(0, top);
        Ok(Fields { file: &self.name, line, form: String::new(), forms })
    }

    /// An error about the file as a whole.
    pub fn error(&self, words: impl Into<String>) -> FormError {
        FormError { file: self.name.clone(), line: 0, form: String::new(), words: words.into() }
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
    fn read(file: &'a str, datum: Ref<'a>) -> Res<Self> {
        let line = datum.span().start().line();
        let error = |words: String| FormError { file: file.into(), line, form: String::new(), words };
        let items: Option<Vec<Ref<'a>>> = datum.list_iter().map(|items| items.collect());
        let items = items.filter(|i| !i.is_empty());
        let mut items = items.ok_or_else(|| error(format!("expected a form, found {}", datum.value())))?;
        let head = items.remove(0);
        let name = head.value().as_symbol().map(str::to_string);
        let name =
            name.ok_or_else(|| error(format!("a form begins with its name, found {}", head.value())))?;
        Ok(Form { file, name, line, values: items })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its line.
    pub fn line(&self) -> usize {
        self.line
    }

    /// An error about it.
    pub fn error(&self, words: impl Into<String>) -> FormError {
        FormError { file: self.file.into(), line: self.line, form: self.name.clone(), words: words.into() }
    }

    fn text_of(value: &Value) -> Option<String> {
        value.as_str().or_else(|| value.as_symbol()).map(str::to_string)
    }

    /// Its only value, a text or a symbol.
    ///
    /// # Errors
    /// When it has none, several or another one.
    pub fn text(&self) -> Res<String> {
        match self.values.as_slice() {
            [value] => Self::text_of(value.value()).ok_or_else(|| self.error("expected a text")),
            _ => Err(self.error("expected one text")),
        }
    }

    /// All its values as texts.
    ///
    /// # Errors
    /// When one is none.
    pub fn texts(&self) -> Res<Vec<String>> {
        let text = |v: &Ref<'a>| Self::text_of(v.value()).ok_or_else(|| self.error("expected texts"));
        self.values.iter().map(text).collect()
    }

    /// Its only value, a number that is not negative.
    ///
    /// # Errors
    /// When it has none, several or another one.
    pub fn number(&self) -> Res<f64> {
        let value = match self.values.as_slice() {
            [value] => value.value().as_f64(),
            _ => None,
        };
        let good = value.filter(|v| v.is_finite() && *v >= 0.0 && *v <= 1e15);
        good.ok_or_else(|| self.error("expected one number that is not negative"))
    }

    /// Its only value, a whole number from 0 to `most`.
    ///
    /// # Errors
    /// When it has none, several or another one.
    pub fn whole(&self, most: u64) -> Res<u64> {
        let number = self.number()?;
        if number.fract() != 0.0 || number > most as f64 {
            return Err(self.error(format!("expected a whole number from 0 to {most}")));
        }
        Ok(number as u64)
    }

    /// All its values, whole numbers from 0 to `most`.
    ///
    /// # Errors
    /// When one is none.
    pub fn wholes(&self, most: u64) -> Res<Vec<u64>> {
        let whole = |v: &Ref<'a>| v.value().as_u64().filter(|n| *n <= most);
        let all: Option<Vec<u64>> = self.values.iter().map(whole).collect();
        all.ok_or_else(|| self.error(format!("expected whole numbers from 0 to {most}")))
    }

    /// Its values as text again, one a line, to be read from another file.
    ///
    /// # Errors
    /// Where one cannot be written.
    pub fn source(&self) -> Res<String> {
        let text = |v: &Ref<'a>| lexpr::to_string(v.value()).map_err(|e| self.error(e.to_string()));
        Ok(self.values.iter().map(text).collect::<Res<Vec<_>>>()?.join("\n"))
    }

    /// Its only value, a time in milliseconds.
    ///
    /// # Errors
    /// When it is none.
    pub fn millis(&self) -> Res<Micros> {
        Ok(Micros((self.number()? * 1_000.0) as i64))
    }

    /// Its only value, `yes` or `no`.
    ///
    /// # Errors
    /// When it is neither.
    pub fn flag(&self) -> Res<bool> {
        match self.text()?.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.error(format!("expected yes or no, found {other}"))),
        }
    }

    /// Its first value as a text and the rest as fields.
    ///
    /// # Errors
    /// When the first is no text or one of the rest no form.
    pub fn named_fields(&self) -> Res<(String, Fields<'a>)> {
        let name = self.values.first().and_then(|v| Self::text_of(v.value()));
        let name = name.ok_or_else(|| self.error("expected a text first"))?;
        Ok((name, self.fields_from(1)?))
    }

    /// All its values as fields.
    ///
    /// # Errors
    /// When one is no form.
    pub fn fields(&self) -> Res<Fields<'a>> {
        self.fields_from(0)
    }

    fn fields_from(&self, start: usize) -> Res<Fields<'a>> {
        let form =
            |v: &Ref<'a>| Form::read(self.file, *v).map_err(|e| FormError { form: self.name.clone(), ..e });
        let forms = self.values[start..].iter().map(form).collect::<Res<Vec<_>>>()?;
        Ok(Fields { file: self.file, line: self.line, form: self.name.clone(), forms })
    }
}

/// The forms within a form, or at the top, each to be taken once.
pub struct Fields<'a> {
    file: &'a str,
    line: usize,
    form: String,
    forms: Vec<Form<'a>>,
}

impl<'a> Fields<'a> {
    /// An error about the form they are in.
    pub fn error(&self, words: impl Into<String>) -> FormError {
        let (file, line, form) = (self.file.into(), self.line, self.form.clone());
        FormError { file, line, form, words: words.into() }
    }

    /// The form of a name, if there is one.
    ///
    /// # Errors
    /// When there are several.
    pub fn take(&mut self, name: &str) -> Res<Option<Form<'a>>> {
        let mut found = self.take_all(name);
        if found.len() > 1 {
            return Err(found[1].error(format!("stands twice; first in line {}", found[0].line)));
        }
        Ok(found.pop())
    }

    /// The form of a name.
    ///
    /// # Errors
    /// When there is none, or several.
    pub fn need(&mut self, name: &str) -> Res<Form<'a>> {
        self.take(name)?.ok_or_else(|| self.error(format!("({name} ...) is missing")))
    }

    /// All forms of a name, in order.
    pub fn take_all(&mut self, name: &str) -> Vec<Form<'a>> {
        let (found, rest) = std::mem::take(&mut self.forms).into_iter().partition(|f| f.name == name);
        self.forms = rest;
        found
    }

    /// All that is left, in order.
    pub fn take_rest(&mut self) -> Vec<Form<'a>> {
        std::mem::take(&mut self.forms)
    }

    /// A value by a reader, or another one where the form is not there.
    ///
    /// # Errors
    /// What the reader says.
    pub fn or<T>(&mut self, name: &str, other: T, read: impl FnOnce(&Form<'a>) -> Res<T>) -> Res<T> {
        self.take(name)?.map_or(Ok(other), |f| read(&f))
    }

    /// Checks that all was taken.
    ///
    /// # Errors
    /// With the first form that was not.
    pub fn finish(self) -> Res<()> {
        match self.forms.first() {
            None => Ok(()),
            Some(form) => Err(FormError {
                form: self.form.clone(),
                ..form.error(format!("({} ...) is not known here", form.name))
            }),
        }
    }
}
