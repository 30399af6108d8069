//! Settings that can change while a sidecar runs, and their checks. A consensus server checks values before
//! it proposes a change, and each sidecar checks them before it applies one. Both parse the values with the
//! code that parses a file.

use crate::file;
use crate::problem::Problem;
use crate::reader::{Override, Reader};
use std::collections::BTreeMap;

/// The fields that a running sidecar can change. Changes of all others need a restart.
pub const FIELDS: [&str; 3] = ["discovery.address", "log.level", "log.per_second"];
/// The origin of values from the fleet configuration, as problems and effective values name it.
pub const SOURCE: &str = "fleet configuration";

/// Whether a running sidecar can change this field.
pub fn is_live(field: &str) -> bool {
    FIELDS.contains(&field)
}

/// Turns values of the fleet configuration into overrides of a file.
pub fn overrides(values: &BTreeMap<String, String>) -> Vec<Override> {
    let to_override = |(field, text): (&String, &String)| Override {
        field: field.clone(),
        text: text.clone(),
        origin: SOURCE.to_owned(),
    };
    values.iter().map(to_override).collect()
}

/// Checks values on their own, without the file that they override. Returns all errors.
pub fn problems(values: &BTreeMap<String, String>) -> Vec<Problem> {
    let (live, fixed): (Vec<_>, Vec<_>) =
        overrides(values).into_iter().partition(|over| is_live(&over.field));
    let mut problems: Vec<Problem> = fixed.iter().map(|over| not_live_problem(&over.field)).collect();
    let (mut reader, mut root) = Reader::parse(SOURCE, "", &live);
    file::read_live(&mut reader, &mut root);
    problems.extend(reader.finish().err().unwrap_or_default());
    problems
}

/// The error for a field that this build can't change while the sidecar runs.
pub(crate) fn not_live_problem(field: &str) -> Problem {
    Problem {
        source: SOURCE.to_owned(),
        line: None,
        field: field.escape_debug().to_string(),
        problem: "this build can't change the field while it runs".to_owned(),
        allowed: FIELDS.join(", "),
    }
}

/// The error for a field that can't change in this process because of what its file sets.
pub(crate) fn needs_restart_problem(field: &str) -> Problem {
    Problem {
        source: SOURCE.to_owned(),
        line: None,
        field: field.escape_debug().to_string(),
        problem: "with this sidecar's file it holds only after a restart".to_owned(),
        allowed: String::new(),
    }
}
