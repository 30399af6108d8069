//! The endpoint list as discovery words it.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A list, whole or of changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// Its version.
    pub rev: u64,
    /// What is missing from it is gone.
    #[serde(rename = "all")]
    pub is_complete: bool,
    /// Its entries.
    pub targets: Vec<Target>,
}

impl EndpointList {
    /// What can be read of a list that broke off: its whole entries up to the first that is not, as changes.
    pub fn from_truncated(text: &[u8]) -> EndpointList {
        let mut list = EndpointList::default();
        // Its end is missing: that it fails is expected, and what it had told by then is kept.
        let _ = Torn(&mut list).deserialize(&mut serde_json::Deserializer::from_slice(text));
        list
    }
}

/// Reads a list, and within it its entries, as far as they come.
struct Torn<'a>(&'a mut EndpointList);

impl<'de> DeserializeSeed<'de> for Torn<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Torn<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "rev" => self.0.rev = map.next_value()?,
                "targets" => map.next_value_seed(Torn(self.0))?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        while let Some(target) = entries.next_element()? {
            self.0.targets.push(target);
        }
        Ok(())
    }
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Its id, the same at every sidecar and over restarts of its process.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone, by name.
    #[serde(default)]
    pub az: String,
    /// Its machine kind, by name.
    #[serde(default)]
    pub model: String,
    /// Endpoints of one group share which keys they have seen.
    #[serde(default)]
    pub pod_group: u64,
    /// Whether it may be sent to.
    pub state: TargetState,
    /// Roughly its size.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When its process last started, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// An endpoint's standing in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// May be sent to.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone; only among changes.
    Removed,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_a_list_that_broke_off_whole_entries_are_read() {
        let entry = |n: u32| {
            format!("{{\"uid\":\"s-{n}\",\"endpoint\":\"127.0.0.1:7{n}\",\"state\":\"draining\"}}")
        };
        let text = format!("{{\"rev\":41,\"all\":true,\"targets\":[{},{}]}}", entry(1), entry(2));
        let whole: EndpointList = serde_json::from_str(&text).unwrap();
        let ends: Vec<usize> =
            whole.targets.iter().map(|t| text.find(&t.uid).unwrap() - 8 + entry(1).len()).collect();
        for end in 0..text.len() {
            let torn = EndpointList::from_truncated(&text.as_bytes()[..end]);
            assert!(!torn.is_complete, "what is missing may stand behind the break");
            let read = ends.iter().filter(|at| end >= **at).count();
            assert_eq!(torn.targets, whole.targets[..read], "{}", &text[..end]);
            assert!(read == 0 || torn.rev == 41);
        }
    }
}
