//! Reads the fields of one line from left to right. Each error names its line and field.

use crate::WireError;
use curlewhub_balance::Outcome;
use curlewhub_config::settings::{MAX_MS, duration_from_ms};
use std::str::{FromStr, Split};
use std::time::Duration;

/// The fields of a line that have not been read yet.
pub(crate) struct Fields<'a> {
    pub(crate) line: u64,
    remaining: Split<'a, char>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(line: u64, text: &'a str) -> Self {
        Fields { line, remaining: text.split(' ') }
    }

    pub(crate) fn error(&self, field: &str, problem: impl Into<String>) -> WireError {
        WireError { line: self.line, field: field.to_owned(), problem: problem.into() }
    }

    pub(crate) fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        match self.remaining.next() {
            None => Err(self.error(field, "missing")),
            Some("") => Err(self.error(field, "empty")),
            Some(text) => Ok(text),
        }
    }

    pub(crate) fn optional(&mut self, field: &str) -> Result<Option<&'a str>, WireError> {
        Ok(Some(self.text(field)?).filter(|text| *text != "-"))
    }

    pub(crate) fn parsed<T: FromStr>(
        &self,
        field: &str,
        text: &str,
        expected: &str,
    ) -> Result<T, WireError> {
        text.parse().map_err(|_| self.error(field, format!("`{text}` is not {expected}")))
    }

    pub(crate) fn integer<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        let text = self.text(field)?;
        self.parsed(field, text, "a whole number in range")
    }

    pub(crate) fn index(&mut self, field: &str) -> Result<usize, WireError> {
        match self.optional(field)? {
            None => Ok(0),
            Some(text) => self.parsed::<u32>(field, text, "an index").map(|index| index as usize),
        }
    }

    pub(crate) fn flag(&mut self, field: &str) -> Result<bool, WireError> {
        match self.text(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => Err(self.error(field, format!("`{other}` is neither 0 nor 1"))),
        }
    }

    pub(crate) fn finite(&self, field: &str, text: &str) -> Result<f64, WireError> {
        let value: f64 = self.parsed(field, text, "a number")?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(field, format!("`{text}` is not finite")))
        }
    }

    pub(crate) fn millis(&self, field: &str, text: &str) -> Result<Duration, WireError> {
        let value = self.finite(field, text)?;
        if !(0.0..=MAX_MS).contains(&value) {
            return Err(self.error(field, format!("`{text}` is out of range")));
        }
        Ok(duration_from_ms(value))
    }

    pub(crate) fn time(&mut self, field: &str) -> Result<Duration, WireError> {
        let text = self.text(field)?;
        self.millis(field, text)
    }

    pub(crate) fn optional_time(&mut self, field: &str) -> Result<Option<Duration>, WireError> {
        self.optional(field)?.map(|text| self.millis(field, text)).transpose()
    }

    pub(crate) fn outcome(&mut self, field: &str) -> Result<Outcome, WireError> {
        Ok(match self.text(field)? {
            "200" => Outcome::Ok,
            "502" => Outcome::Error,
            "429" => Outcome::Rejected,
            "408" => Outcome::TimedOut,
            "521" => Outcome::ConnectFailed,
            "520" => Outcome::Reset,
            "444" => Outcome::Cancelled,
            "409" => Outcome::NotSent,
            other => return Err(self.error(field, format!("`{other}` is no known outcome"))),
        })
    }

    pub(crate) fn report(&mut self, field: &str) -> Result<Option<Vec<f64>>, WireError> {
        let Some(text) = self.optional(field)? else { return Ok(None) };
        text.split(',').map(|value| self.finite(field, value)).collect::<Result<_, _>>().map(Some)
    }

    pub(crate) fn end(&mut self) -> Result<(), WireError> {
        match self.remaining.next() {
            None => Ok(()),
            Some(extra) => Err(self.error("end of line", format!("`{extra}` is too much"))),
        }
    }

    pub(crate) fn remainder(&mut self) -> String {
        self.remaining.by_ref().collect::<Vec<_>>().join(" ")
    }
}
