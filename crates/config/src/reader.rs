//! Reads a TOML file field by field, each through serde, so that one mistake does not hide the next: all
//! problems are collected, each with its line, and so is where each value came from.

use crate::problem::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as PlainError, StrDeserializer};
use serde_json::Value;
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value that wins over what the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// The field, by its path, such as `limits.sockets`.
    pub field: String,
    /// The value as text.
    pub text: String,
    /// Where it came from: `--listen`, `$ROUTER_LISTEN`.
    pub origin: String,
}

/// A field's value in effect, and where it came from.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EffectiveValue {
    /// The field, by its path.
    pub field: String,
    /// Its value.
    pub value: Value,
    /// `default`, `FILE:LINE`, a flag or a variable.
    pub origin: String,
}

/// What is allowed for a field: as a person reads it, and as it is checked.
pub struct Allowed<'a, T> {
    text: &'a str,
    check: fn(&T) -> bool,
}

/// Anything that can be read at all.
pub fn any<T>(text: &str) -> Allowed<'_, T> {
    Allowed { text, check: |_| true }
}

/// What passes this check.
pub fn only<T>(text: &str, check: fn(&T) -> bool) -> Allowed<'_, T> {
    Allowed { text, check }
}

/// A table that is being read: its path, and the entries that nobody has asked for yet.
pub struct Section<'i> {
    path: String,
    line: Option<usize>,
    entries: DeTable<'i>,
    known: Vec<&'static str>,
}

/// The file, and what has been found in it so far.
pub struct Reader {
    source: String,
    /// Offsets at which lines begin.
    lines: Vec<usize>,
    overrides: Vec<(Override, bool)>,
    problems: Vec<Problem>,
    effective: Vec<EffectiveValue>,
    /// Lines of the fields that were read.
    placed: BTreeMap<String, usize>,
}

impl Reader {
    /// Parses a file; what can't be parsed is a problem, and the rest is read all the same.
    pub fn parse<'i>(source: &str, text: &'i str, overrides: &[Override]) -> (Reader, Section<'i>) {
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let mut reader = Reader {
            source: source.to_owned(),
            lines,
            overrides: overrides.iter().cloned().map(|over| (over, false)).collect(),
            problems: Vec::new(),
            effective: Vec::new(),
            placed: BTreeMap::new(),
        };
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let line = error.span().map(|span| reader.line(span.start));
            reader.problem(line, "", error.message().trim(), "");
        }
        let root =
            Section { path: String::new(), line: None, entries: table.into_inner(), known: Vec::new() };
        (reader, root)
    }

    /// The line of an offset, from 1.
    fn line(&self, at: usize) -> usize {
        self.lines.partition_point(|begin| *begin <= at)
    }

    /// Notes a problem.
    pub fn problem(&mut self, line: Option<usize>, field: &str, problem: &str, allowed: &str) {
        let source = self.source.clone();
        self.push(source, line, field, problem, allowed);
    }

    fn push(&mut self, source: String, line: Option<usize>, field: &str, problem: &str, allowed: &str) {
        self.problems.push(Problem {
            source,
            line,
            // A quoted key may hold anything.
            field: field.escape_debug().to_string(),
            // On one line, whatever the parser has to say.
            problem: problem.split_whitespace().collect::<Vec<_>>().join(" "),
            allowed: allowed.to_owned(),
        });
    }

    /// Notes a problem with a field that has been read: at its line, or at its section's.
    pub fn problem_at(&mut self, field: &str, problem: &str, allowed: &str) {
        let origin = self.effective.iter().rev().find(|e| e.field == field).map(|e| e.origin.clone());
        match (self.placed.get(field).copied(), origin) {
            (None, Some(origin)) if origin != "default" => self.push(origin, None, field, problem, allowed),
            (line, _) => self.problem(line, field, problem, allowed),
        }
    }

    /// What was read, or all that is wrong. Lines of one file come in their order.
    pub fn finish(mut self) -> Result<Vec<EffectiveValue>, Vec<Problem>> {
        for (over, used) in std::mem::take(&mut self.overrides) {
            if !used {
                self.push(over.origin, None, &over.field, "there is no such field", "");
            }
        }
        self.problems.sort_by_key(|problem| (problem.line.is_none(), problem.line));
        if self.problems.is_empty() { Ok(self.effective) } else { Err(self.problems) }
    }

    fn effective(&mut self, field: &str, value: &impl Serialize, origin: String) {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.effective.push(EffectiveValue { field: field.to_owned(), value, origin });
    }

    /// The overriding value of a field; the last one given wins.
    fn overriding(&mut self, field: &str) -> Option<Override> {
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

/// A value given as text: as it stands, or as TOML would read it.
fn from_text<T: DeserializeOwned>(text: &str) -> Result<T, String> {
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

    fn take(&mut self, name: &'static str) -> Option<Spanned<DeValue<'i>>> {
        self.known.push(name);
        self.entries.remove(name)
    }

    /// A field's value; none where it is missing, or wrong, which is then noted.
    pub fn optional<T: DeserializeOwned + Serialize>(
        &mut self,
        reader: &mut Reader,
        name: &'static str,
        allowed: &Allowed<'_, T>,
    ) -> Option<T> {
        let field = self.field(name);
        let written = self.take(name);
        if let Some(over) = reader.overriding(&field) {
            let value = from_text::<T>(&over.text).map_err(|problem| problem.to_string());
            return match value {
                Ok(value) if (allowed.check)(&value) => {
                    reader.effective(&field, &value, over.origin);
                    Some(value)
                }
                Ok(_) => {
                    let problem = format!("`{}` is out of range", over.text);
                    reader.push(over.origin, None, &field, &problem, allowed.text);
                    None
                }
                Err(problem) => {
                    reader.push(over.origin, None, &field, &problem, allowed.text);
                    None
                }
            };
        }
        let written = written?;
        let line = reader.line(written.span().start);
        let shown = shown(written.get_ref());
        reader.placed.insert(field.clone(), line);
        match T::deserialize(written.into_deserializer()) {
            Ok(value) if (allowed.check)(&value) => {
                let origin = format!("{}:{line}", reader.source);
                reader.effective(&field, &value, origin);
                Some(value)
            }
            Ok(_) => {
                reader.problem(Some(line), &field, &format!("{shown} is out of range"), allowed.text);
                None
            }
            Err(error) => {
                reader.problem(Some(line), &field, error.message(), allowed.text);
                None
            }
        }
    }

    /// A field's value, or this one where it is missing. Where it is wrong that is noted, and this one
    /// stands in for it so that reading can go on.
    pub fn or<T: DeserializeOwned + Serialize>(
        &mut self,
        reader: &mut Reader,
        name: &'static str,
        default: T,
        allowed: &Allowed<'_, T>,
    ) -> T {
        let before = reader.problems.len();
        match self.optional(reader, name, allowed) {
            Some(value) => value,
            None => {
                if reader.problems.len() == before {
                    reader.effective(&self.field(name), &default, "default".to_owned());
                }
                default
            }
        }
    }

    /// A field's value, which must be there. Where it isn't, that is noted, and this one stands in for it.
    pub fn required<T: DeserializeOwned + Serialize>(
        &mut self,
        reader: &mut Reader,
        name: &'static str,
        stand_in: T,
        allowed: &Allowed<'_, T>,
    ) -> T {
        let before = reader.problems.len();
        self.optional(reader, name, allowed).unwrap_or_else(|| {
            if reader.problems.len() == before {
                reader.problem(self.line, &self.field(name), "missing", allowed.text);
            }
            stand_in
        })
    }

    /// A table of this one; an empty one where it is missing.
    pub fn section(&mut self, reader: &mut Reader, name: &'static str) -> Section<'i> {
        let path = self.field(name);
        let taken = self.take(name).and_then(|value| Section::of(reader, path.clone(), value));
        taken.unwrap_or(Section { path, line: None, entries: DeTable::new(), known: Vec::new() })
    }

    /// The tables of a list of them, such as `[[endpoints]]`.
    pub fn sections(&mut self, reader: &mut Reader, name: &'static str) -> Vec<Section<'i>> {
        let path = self.field(name);
        let Some(taken) = self.take(name) else { return Vec::new() };
        let line = reader.line(taken.span().start);
        match taken.into_inner() {
            DeValue::Array(entries) => (entries.into_iter().enumerate())
                .filter_map(|(n, entry)| Section::of(reader, format!("{path}[{n}]"), entry))
                .collect(),
            other => {
                let problem = format!("this is a {}", other.type_str());
                reader.problem(Some(line), &path, &problem, &format!("a list of tables: [[{name}]]"));
                Vec::new()
            }
        }
    }

    fn of(reader: &mut Reader, path: String, value: Spanned<DeValue<'i>>) -> Option<Section<'i>> {
        let line = reader.line(value.span().start);
        match value.into_inner() {
            DeValue::Table(entries) => Some(Section { path, line: Some(line), entries, known: Vec::new() }),
            other => {
                reader.problem(Some(line), &path, &format!("this is a {}", other.type_str()), "a table");
                None
            }
        }
    }

    /// The line that the table begins on.
    pub fn line(&self) -> Option<usize> {
        self.line
    }

    /// Its path.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Notes each entry that nobody has asked for.
    pub fn finish(self, reader: &mut Reader) {
        for (key, _) in &self.entries {
            let line = reader.line(key.span().start);
            let allowed = self.known.join(", ");
            reader.problem(Some(line), &self.field(key.get_ref()), "there is no such field", &allowed);
        }
    }
}

/// A value as a person reads it.
fn shown(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("`{text}`"),
        DeValue::Integer(number) => number.as_str().to_owned(),
        DeValue::Float(number) => number.as_str().to_owned(),
        DeValue::Boolean(on) => on.to_string(),
        other => other.type_str().to_owned(),
    }
}
