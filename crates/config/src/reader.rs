//! Reads a TOML file field by field, each through serde, so that one error does not hide the next. All
//! errors are collected with their lines, and all values with their origins.

use crate::problem::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as PlainError, StrDeserializer};
use serde_json::Value;
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value that takes precedence over the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// The path of the field, such as `limits.sockets`.
    pub field: String,
    /// The value as text.
    pub text: String,
    /// Where it came from: `--listen`, `$ROUTER_LISTEN`.
    pub origin: String,
}

/// The value of a field in effect, and its origin.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EffectiveValue {
    /// The path of the field.
    pub field: String,
    /// The value.
    pub value: Value,
    /// `default`, `FILE:LINE`, a flag, an environment variable or `fleet configuration`.
    pub origin: String,
}

/// The allowed values of a field: a description for error messages, and a check.
pub struct Allowed<'a, T> {
    description: &'a str,
    check: fn(&T) -> bool,
}

/// Allows every value of the type.
pub fn any_value<T>(description: &str) -> Allowed<'_, T> {
    Allowed { description, check: |_| true }
}

/// Allows values that pass this check.
pub fn checked<T>(description: &str, check: fn(&T) -> bool) -> Allowed<'_, T> {
    Allowed { description, check }
}

/// A table that is being read: its path, and the entries that have not been read yet.
pub struct Section<'i> {
    path: String,
    line: Option<usize>,
    entries: DeTable<'i>,
    known_names: Vec<&'static str>,
}

/// Collects the values and problems of a file while it is read.
pub struct Reader {
    source: String,
    /// The offsets at which lines start.
    line_starts: Vec<usize>,
    /// The overrides, and whether each was used.
    overrides: Vec<(Override, bool)>,
    problems: Vec<Problem>,
    effective: Vec<EffectiveValue>,
    /// The lines of the fields that were read.
    field_lines: BTreeMap<String, usize>,
}

impl Reader {
    /// Parses a file. Syntax errors are recorded as problems, and the rest is read nevertheless.
    pub fn parse<'i>(source: &str, text: &'i str, overrides: &[Override]) -> (Reader, Section<'i>) {
        let line_starts =
            std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let mut reader = Reader {
            source: source.to_owned(),
            line_starts,
            overrides: overrides.iter().cloned().map(|over| (over, false)).collect(),
            problems: Vec::new(),
            effective: Vec::new(),
            field_lines: BTreeMap::new(),
        };
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let line = error.span().map(|span| reader.line_of(span.start));
            reader.add_problem(line, "", error.message().trim(), "");
        }
        let root = Section {
            path: String::new(),
            line: None,
            entries: table.into_inner(),
            known_names: Vec::new(),
        };
        (reader, root)
    }

    /// The line that contains an offset; the first one is 1.
    fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Records a problem in the file.
    pub fn add_problem(&mut self, line: Option<usize>, field: &str, problem: &str, allowed: &str) {
        let source = self.source.clone();
        self.push_problem(source, line, field, problem, allowed);
    }

    fn push_problem(
        &mut self,
        source: String,
        line: Option<usize>,
        field: &str,
        problem: &str,
        allowed: &str,
    ) {
        self.problems.push(Problem {
            source,
            line,
            // A quoted key may contain any character.
            field: field.escape_debug().to_string(),
            // Messages of the parser can have several lines; a problem is shown on one.
            problem: problem.split_whitespace().collect::<Vec<_>>().join(" "),
            allowed: allowed.to_owned(),
        });
    }

    /// Records a problem with a field that has been read: at its line, or at its origin if an override set
    /// it.
    pub fn add_field_problem(&mut self, field: &str, problem: &str, allowed: &str) {
        let origin = self.effective.iter().rev().find(|e| e.field == field).map(|e| e.origin.clone());
        match (self.field_lines.get(field).copied(), origin) {
            (None, Some(origin)) if origin != "default" => {
                self.push_problem(origin, None, field, problem, allowed)
            }
            (line, _) => self.add_problem(line, field, problem, allowed),
        }
    }

    /// Returns the effective values, or all problems, sorted by line; those without a line come last.
    pub fn finish(mut self) -> Result<Vec<EffectiveValue>, Vec<Problem>> {
        for (over, used) in std::mem::take(&mut self.overrides) {
            if !used {
                self.push_problem(over.origin, None, &over.field, "there is no such field", "");
            }
        }
        self.problems.sort_by_key(|problem| (problem.line.is_none(), problem.line));
        if self.problems.is_empty() { Ok(self.effective) } else { Err(self.problems) }
    }

    fn record_effective(&mut self, field: &str, value: &impl Serialize, origin: String) {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.effective.push(EffectiveValue { field: field.to_owned(), value, origin });
    }

    /// The override of a field, if there is one; the last one given takes precedence. Marks all of them as
    /// used.
    fn use_override(&mut self, field: &str) -> Option<Override> {
        let mut found = None;
        for (over, used) in &mut self.overrides {
            if over.field == field {
                *used = true;
                found = Some(over.clone());
            }
        }
        found
    }
}

/// Parses the text of an override: as a plain string, or else as a TOML value.
fn parse_override<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let plain: StrDeserializer<'_, PlainError> = text.into_deserializer();
    T::deserialize(plain).or_else(|error| {
        let value = DeValue::parse(text).map_err(|_| error.to_string())?;
        T::deserialize(value.into_deserializer()).map_err(|e| e.message().to_owned())
    })
}

impl<'i> Section<'i> {
    fn field(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn take_entry(&mut self, name: &'static str) -> Option<Spanned<DeValue<'i>>> {
        self.known_names.push(name);
        self.entries.remove(name)
    }

    /// Reads a field. Returns `None` if it is missing, or if it is invalid, which is recorded as a problem.
    pub fn optional<T: DeserializeOwned + Serialize>(
        &mut self,
        reader: &mut Reader,
        name: &'static str,
        allowed: &Allowed<'_, T>,
    ) -> Option<T> {
        let field = self.field(name);
        let written = self.take_entry(name);
        if let Some(over) = reader.use_override(&field) {
            let value = parse_override::<T>(&over.text).map_err(|problem| problem.to_string());
            return match value {
                Ok(value) if (allowed.check)(&value) => {
                    reader.record_effective(&field, &value, over.origin);
                    Some(value)
                }
                Ok(_) => {
                    let problem = format!("`{}` is out of range", over.text);
                    reader.push_problem(over.origin, None, &field, &problem, allowed.description);
                    None
                }
                Err(problem) => {
                    reader.push_problem(over.origin, None, &field, &problem, allowed.description);
                    None
                }
            };
        }
        let written = written?;
        let line = reader.line_of(written.span().start);
        let shown = display_value(written.get_ref());
        reader.field_lines.insert(field.clone(), line);
        match T::deserialize(written.into_deserializer()) {
            Ok(value) if (allowed.check)(&value) => {
                let origin = format!("{}:{line}", reader.source);
                reader.record_effective(&field, &value, origin);
                Some(value)
            }
            Ok(_) => {
                reader.add_problem(
                    Some(line),
                    &field,
                    &format!("{shown} is out of range"),
                    allowed.description,
                );
                None
            }
            Err(error) => {
                reader.add_problem(Some(line), &field, error.message(), allowed.description);
                None
            }
        }
    }

    /// Reads a field, or returns this default if it is missing. An invalid value is recorded as a problem,
    /// and reading goes on with the default.
    pub fn with_default<T: DeserializeOwned + Serialize>(
        &mut self,
        reader: &mut Reader,
        name: &'static str,
        default: T,
        allowed: &Allowed<'_, T>,
    ) -> T {
        let problems_before = reader.problems.len();
        match self.optional(reader, name, allowed) {
            Some(value) => value,
            None => {
                if reader.problems.len() == problems_before {
                    reader.record_effective(&self.field(name), &default, "default".to_owned());
                }
                default
            }
        }
    }

    /// Reads a mandatory field. If it is missing or invalid, that is recorded as a problem, and reading
    /// goes on with the placeholder.
    pub fn required<T: DeserializeOwned + Serialize>(
        &mut self,
        reader: &mut Reader,
        name: &'static str,
        placeholder: T,
        allowed: &Allowed<'_, T>,
    ) -> T {
        let problems_before = reader.problems.len();
        self.optional(reader, name, allowed).unwrap_or_else(|| {
            if reader.problems.len() == problems_before {
                reader.add_problem(self.line, &self.field(name), "missing", allowed.description);
            }
            placeholder
        })
    }

    /// Reads a table within this one; an empty one if it is missing.
    pub fn section(&mut self, reader: &mut Reader, name: &'static str) -> Section<'i> {
        let path = self.field(name);
        let taken =
            self.take_entry(name).and_then(|value| Section::from_value(reader, path.clone(), value));
        taken.unwrap_or(Section { path, line: None, entries: DeTable::new(), known_names: Vec::new() })
    }

    /// Reads an array of tables, such as `[[endpoints]]`.
    pub fn sections(&mut self, reader: &mut Reader, name: &'static str) -> Vec<Section<'i>> {
        let path = self.field(name);
        let Some(taken) = self.take_entry(name) else { return Vec::new() };
        let line = reader.line_of(taken.span().start);
        match taken.into_inner() {
            DeValue::Array(entries) => (entries.into_iter().enumerate())
                .filter_map(|(n, entry)| Section::from_value(reader, format!("{path}[{n}]"), entry))
                .collect(),
            other => {
                let problem = format!("this is a {}", other.type_str());
                reader.add_problem(Some(line), &path, &problem, &format!("a list of tables: [[{name}]]"));
                Vec::new()
            }
        }
    }

    fn from_value(reader: &mut Reader, path: String, value: Spanned<DeValue<'i>>) -> Option<Section<'i>> {
        let line = reader.line_of(value.span().start);
        match value.into_inner() {
            DeValue::Table(entries) => {
                Some(Section { path, line: Some(line), entries, known_names: Vec::new() })
            }
            other => {
                reader.add_problem(
                    Some(line),
                    &path,
                    &format!("this is a {}", other.type_str()),
                    "a table",
                );
                None
            }
        }
    }

    /// The line on which the table starts; `None` for the file as a whole and for a missing table.
    pub fn line(&self) -> Option<usize> {
        self.line
    }

    /// The path of the table.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Records each entry that was not read as an unknown field.
    pub fn finish(self, reader: &mut Reader) {
        for (key, _) in &self.entries {
            let line = reader.line_of(key.span().start);
            let allowed = self.known_names.join(", ");
            reader.add_problem(Some(line), &self.field(key.get_ref()), "there is no such field", &allowed);
        }
    }
}

/// Formats a value for an error message.
fn display_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("`{text}`"),
        DeValue::Integer(number) => number.as_str().to_owned(),
        DeValue::Float(number) => number.as_str().to_owned(),
        DeValue::Boolean(on) => on.to_string(),
        other => other.type_str().to_owned(),
    }
}
