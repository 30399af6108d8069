//! Errors in a configuration.

use serde::Serialize;
use std::fmt;

/// One error: its place, the field, what is wrong, and what is allowed instead.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// The file, or the flag or variable that a value came from.
    pub source: String,
    /// The line of the file, from 1; none if the error belongs to no line.
    pub line: Option<usize>,
    /// The path of the field; empty if the error is in the file as a whole.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed; empty if `problem` says it.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.problem)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// All errors of a configuration; displayed one per line.
#[derive(Clone, Debug, PartialEq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, problem) in self.0.iter().enumerate() {
            write!(f, "{}{problem}", if n == 0 { "" } else { "\n" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
