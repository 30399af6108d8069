//! Durations and sizes, written with their units.

use bytesize::ByteSize;
use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// A duration, written with its unit: `250ms`, `1.2s`, `2min`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// A size in bytes, written with its unit: `64KiB`, `192MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let expected = &"a time with its unit, such as 250ms or 1.2s";
        let span = humantime::parse_duration(&text);
        span.map(Span).map_err(|_| D::Error::invalid_value(Unexpected::Str(&text), expected))
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&humantime::format_duration(self.0))
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let expected = &"a size with its unit, such as 64KiB or 192MiB";
        // bytesize reads a bare number as bytes. It is rejected here: the author may have meant another
        // unit.
        let size = text.parse::<ByteSize>().ok().filter(|_| text.ends_with(|c: char| c.is_alphabetic()));
        size.map(|size| Size(size.0))
            .ok_or_else(|| D::Error::invalid_value(Unexpected::Str(&text), expected))
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&ByteSize(self.0).display().iec())
    }
}
