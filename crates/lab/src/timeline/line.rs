//! One line of a log, as text or as JSON.

use serde_json::Value;
use std::time::SystemTime;

/// A line that has a time.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LogLine {
    pub at: SystemTime,
    pub process: String,
    pub level: String,
    /// The message alone.
    pub message: String,
    /// The message with its fields.
    pub text: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// The value of this field, if it has it.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// Whether it has this field with this value.
    pub fn has(&self, name: &str, value: &str) -> bool {
        self.fields.iter().any(|(field, of)| field == name && of == value)
    }
}

/// Reads a line; none where it has no time, such as the rest of a line that was torn.
pub(super) fn parse(process: &str, line: &str) -> Option<LogLine> {
    if line.starts_with('{') { of_json(process, line) } else { of_text(process, line) }
}

fn of_json(process: &str, line: &str) -> Option<LogLine> {
    let Value::Object(mut all) = serde_json::from_str(line).ok()? else { return None };
    let mut take = |name: &str| all.remove(name).and_then(|value| Some(value.as_str()?.to_owned()));
    let at = humantime::parse_rfc3339(&take("timestamp")?).ok()?;
    let (level, message) = (take("level").unwrap_or_default(), take("message").unwrap_or_default());
    take("target");
    let plain = |value: Value| match value {
        Value::String(text) => text,
        other => other.to_string(),
    };
    let fields: Vec<(String, String)> = all.into_iter().map(|(name, value)| (name, plain(value))).collect();
    let shown = fields.iter().map(|(name, value)| format!(" {name}={value}")).collect::<String>();
    let text = format!("{message}{shown}");
    Some(LogLine { at, process: process.to_owned(), level, message, text, fields })
}

/// `[anything] TIME LEVEL TARGET: MESSAGE NAME=VALUE ...`; a value may be quoted.
fn of_text(process: &str, line: &str) -> Option<LogLine> {
    let start = line.split_inclusive(' ').scan(0, |from, word| {
        let at = *from;
        *from += word.len();
        Some((at, word.trim_end()))
    });
    let (from, at) = start
        .take(2)
        .find_map(|(from, word)| Some((from + word.len(), humantime::parse_rfc3339(word).ok()?)))?;
    let rest = line[from..].trim_start();
    let (level, rest) = rest.split_once(' ')?;
    let (_target, text) = rest.trim_start().split_once(": ")?;
    let fields = fields_of(text);
    let message = match fields.first() {
        Some((name, _)) => {
            text.split_once(&format!("{name}=")).map_or(text, |(message, _)| message).trim_end()
        }
        None => text.trim_end(),
    };
    Some(LogLine {
        at,
        process: process.to_owned(),
        level: level.to_owned(),
        message: message.to_owned(),
        text: text.trim_end().to_owned(),
        fields,
    })
}

fn fields_of(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text;
    while let Some(equals) = rest.find('=') {
        let name = rest[..equals].rsplit(' ').next().unwrap_or_default();
        let behind = &rest[equals + 1..];
        let (value, left) = match behind.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => behind.split_once(' ').unwrap_or((behind, "")),
        };
        let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
        if !name.is_empty() && name.chars().all(is_name) {
            fields.push((name.to_owned(), value.to_owned()));
        }
        rest = left;
    }
    fields
}
