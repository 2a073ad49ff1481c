//! TOML reader that takes tables field by field and collects all findings with their lines.

use std::{cell::RefCell, ops::Range, rc::Rc, time::Duration};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    findings::{Finding, Findings, Location},
    names::Name,
    time::span_from_secs,
};

/// State shared by all tables of one document.
struct Document {
    source: String,
    text: String,
    findings: RefCell<Vec<Finding>>,
}

impl Document {
    fn line_of(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }

    fn report(&self, span: &Range<usize>, field: &str, message: String) {
        let location = Location {
            source: self.source.clone(),
            line: self.line_of(span.start),
            field: field.to_owned(),
        };
        self.findings
            .borrow_mut()
            .push(Finding { location, message });
    }
}

/// A TOML table. Each field is taken once; the fields left at the end are reported as unknown.
pub struct Table<'a> {
    document: Rc<Document>,
    path: String,
    span: Range<usize>,
    fields: DeTable<'a>,
}

/// Parses `text` and reads its root table with `read`.
///
/// # Errors
///
/// Returns the syntax error, or all findings that `read` and its tables reported.
pub fn read_document<T>(
    source: &str,
    text: &str,
    read: impl FnOnce(&mut Table<'_>) -> T,
) -> Result<T, Findings> {
    let document = Rc::new(Document {
        source: source.to_owned(),
        text: text.to_owned(),
        findings: RefCell::default(),
    });
    let root = match DeTable::parse(text) {
        Ok(root) => root,
        Err(e) => {
            document.report(&e.span().unwrap_or(0..0), "", e.message().to_owned());
            return Err(Findings(document.findings.take()));
        }
    };
    let span = root.span();
    let mut table = Table {
        document: document.clone(),
        path: String::new(),
        span,
        fields: root.into_inner(),
    };
    let value = read(&mut table);
    table.finish();
    Findings(document.findings.take()).into_result(value)
}

impl<'a> Table<'a> {
    fn field_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn take(&mut self, key: &str) -> Option<Spanned<DeValue<'a>>> {
        self.fields.remove(key)
    }

    /// Reports a finding for a field of this table, or for the table itself if `key` is empty. The
    /// line is that of the table.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        let path = if key.is_empty() {
            self.path.clone()
        } else {
            self.field_path(key)
        };
        self.document.report(&self.span, &path, message.into());
    }

    fn mismatch(&self, key: &str, value: &Spanned<DeValue<'a>>, expected: &str) {
        let message = format!("expected {expected}, found {}", value.get_ref().type_str());
        self.document
            .report(&value.span(), &self.field_path(key), message);
    }

    fn require<T>(&self, key: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.report(key, "is missing");
        }
        value
    }

    /// Takes an optional string.
    pub fn text(&mut self, key: &str) -> Option<String> {
        let value = self.take(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => {
                self.mismatch(key, &value, "a string");
                None
            }
        }
    }

    /// Takes an optional string and parses it; a failure is reported with the string's line.
    pub fn parsed<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.take(key)?;
        let DeValue::String(text) = value.get_ref() else {
            self.mismatch(key, &value, "a string");
            return None;
        };
        match parse(text) {
            Ok(parsed) => Some(parsed),
            Err(message) => {
                self.document
                    .report(&value.span(), &self.field_path(key), message);
                None
            }
        }
    }

    /// Takes a required string and parses it; see [`Table::parsed`].
    pub fn required<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        if !self.fields.contains_key(key) {
            return self.require(key, None);
        }
        self.parsed(key, parse)
    }

    /// Takes a required name, as accepted by [`parse_name`]; empty if there is none.
    pub fn required_name(&mut self, key: &str) -> Name {
        self.required(key, parse_name).unwrap_or_else(|| "".into())
    }

    /// Takes a figure that is not negative, as a number or a text; `None` if it is absent, empty or
    /// invalid. A template leaves an empty text where its source has no value.
    pub fn figure(&mut self, key: &str) -> Option<f64> {
        self.figure_as(key, Ok)
    }

    /// Takes a number of seconds; see [`Table::figure`]. One above the longest span is invalid.
    pub fn seconds(&mut self, key: &str) -> Option<Duration> {
        self.figure_as(key, span_from_secs)
    }

    fn figure_as<T>(
        &mut self,
        key: &str,
        convert: impl FnOnce(f64) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.take(key)?;
        let text = match value.get_ref() {
            DeValue::Integer(number) if number.radix() == 10 => number.as_str().to_owned(),
            DeValue::Float(number) => number.as_str().to_owned(),
            DeValue::String(text) if text.trim().is_empty() => return None,
            DeValue::String(text) => text.trim().to_owned(),
            _ => {
                self.mismatch(key, &value, "a number");
                return None;
            }
        };
        let figure = text.replace('_', "").parse::<f64>().ok();
        let figure = figure.filter(|figure| figure.is_finite() && *figure >= 0.0);
        let converted = figure
            .ok_or_else(|| format!("`{text}` is not a non-negative number"))
            .and_then(convert);
        match converted {
            Ok(converted) => Some(converted),
            Err(message) => {
                self.document
                    .report(&value.span(), &self.field_path(key), message);
                None
            }
        }
    }

    /// Takes a whole number within `range`; `default` if it is absent or invalid.
    pub fn number(&mut self, key: &str, range: std::ops::RangeInclusive<u64>, default: u64) -> u64 {
        self.optional_number(key, range).unwrap_or(default)
    }

    /// Takes a whole number within `range`; `None` if it is absent or invalid.
    pub fn optional_number(
        &mut self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.take(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => u64::from_str_radix(number.as_str(), number.radix()).ok(),
            _ => None,
        };
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            let message = format!(
                "expected a whole number from {} to {}",
                range.start(),
                range.end()
            );
            self.document
                .report(&value.span(), &self.field_path(key), message);
        }
        number
    }

    /// Takes a duration in milliseconds; its key should end in `_ms`. See [`Table::number`].
    pub fn millis(
        &mut self,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        Duration::from_millis(self.number(key, range, default.as_millis() as u64))
    }

    /// Takes a boolean; `default` if it is absent or invalid.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.take(key) else {
            return default;
        };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.mismatch(key, &value, "true or false");
                default
            }
        }
    }

    /// Takes a list of strings and parses each of them; empty if absent.
    pub fn list<T>(
        &mut self,
        key: &str,
        mut parse: impl FnMut(&str) -> Result<T, String>,
    ) -> Vec<T> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.mismatch(key, &value, "a list of strings");
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let path = format!("{key}[{index}]");
            match entry.get_ref() {
                DeValue::String(text) => match parse(text) {
                    Ok(item) => parsed.push(item),
                    Err(message) => {
                        self.document
                            .report(&entry.span(), &self.field_path(&path), message);
                    }
                },
                _ => self.mismatch(&path, entry, "a string"),
            }
        }
        parsed
    }

    /// Takes a list of names; empty if absent.
    pub fn names(&mut self, key: &str) -> Vec<Name> {
        self.list(key, parse_name)
    }

    /// Takes all fields that are left as names by their keys. Fields with an empty key or text, as a
    /// template leaves them where its source has none, are dropped.
    pub fn names_by_key(&mut self) -> Vec<(Name, Name)> {
        let keys: Vec<String> = self
            .fields
            .keys()
            .map(|key| key.get_ref().to_string())
            .collect();
        let mut named = Vec::new();
        for key in keys {
            if let Some(text) = self.text(&key)
                && !key.is_empty()
                && !text.is_empty()
            {
                named.push((key.into(), text.into()));
            }
        }
        named
    }

    /// Takes a sub-table and reads it with `read`; an absent table is read as an empty one.
    pub fn table<T>(&mut self, key: &str, read: impl FnOnce(&mut Table<'_>) -> T) -> T {
        let (span, fields) = match self.take(key) {
            None => (self.span.clone(), DeTable::new()),
            Some(value) => {
                let span = value.span();
                match value.into_inner() {
                    DeValue::Table(fields) => (span, fields),
                    other => {
                        self.mismatch(key, &Spanned::new(span.clone(), other), "a table");
                        (span, DeTable::new())
                    }
                }
            }
        };
        self.read_nested(self.field_path(key), span, fields, read)
    }

    /// Takes an array of tables and reads each of them with `read`; empty if absent.
    pub fn tables<T>(&mut self, key: &str, mut read: impl FnMut(&mut Table<'_>) -> T) -> Vec<T> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let span = value.span();
        let entries = match value.into_inner() {
            DeValue::Array(entries) => entries,
            other => {
                self.mismatch(key, &Spanned::new(span, other), "an array of tables");
                return Vec::new();
            }
        };
        let mut items = Vec::new();
        for (index, entry) in entries.into_iter().enumerate() {
            let path = format!("{key}[{index}]");
            let span = entry.span();
            match entry.into_inner() {
                DeValue::Table(fields) => {
                    items.push(self.read_nested(self.field_path(&path), span, fields, &mut read));
                }
                other => self.mismatch(&path, &Spanned::new(span, other), "a table"),
            }
        }
        items
    }

    fn read_nested<T>(
        &self,
        path: String,
        span: Range<usize>,
        fields: DeTable<'_>,
        read: impl FnOnce(&mut Table<'_>) -> T,
    ) -> T {
        let mut table = Table {
            document: self.document.clone(),
            path,
            span,
            fields,
        };
        let item = read(&mut table);
        table.finish();
        item
    }

    fn finish(&mut self) {
        for (key, value) in &self.fields {
            let path = self.field_path(key.get_ref());
            let span = if key.span().is_empty() {
                value.span()
            } else {
                key.span()
            };
            self.document
                .report(&span, &path, "unknown field".to_owned());
        }
        self.fields.clear();
    }
}

/// Parses a name.
///
/// # Errors
///
/// Returns a message unless the text consists of 1 to 64 letters, digits, `.`, `_` and `-`.
pub fn parse_name(text: &str) -> Result<Name, String> {
    const MAX_NAME_BYTES: usize = 64;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(format!(
            "`{text}` is not a name: 1 to 64 letters, digits, '.', '_' and '-'"
        ));
    }
    Ok(text.into())
}
