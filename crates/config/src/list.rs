//! The endpoint list in the JSON form of the discovery service.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// An endpoint list: a complete one, or a list of changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointList {
    /// Its version.
    pub rev: u64,
    /// Whether the list is complete: an endpoint that it lacks is gone. A list of changes is not.
    #[serde(rename = "all")]
    pub is_complete: bool,
    /// The endpoints.
    pub targets: Vec<Target>,
}

impl EndpointList {
    /// Reads a list whose transfer broke off: the entries before the first incomplete one, as changes.
    pub fn from_truncated(text: &[u8]) -> EndpointList {
        let mut list = EndpointList::default();
        // Parsing fails at the missing end. The entries read before that are kept.
        let _ = PartialListSeed(&mut list).deserialize(&mut serde_json::Deserializer::from_slice(text));
        list
    }
}

/// Reads a list, and the entries within it, up to the first parse error.
struct PartialListSeed<'a>(&'a mut EndpointList);

impl<'de> DeserializeSeed<'de> for PartialListSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PartialListSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "rev" => self.0.rev = map.next_value()?,
                "targets" => map.next_value_seed(PartialListSeed(self.0))?,
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
    /// The id, the same for every sidecar and across restarts of the endpoint's process.
    pub uid: String,
    /// The address on which it listens.
    pub endpoint: SocketAddr,
    /// The name of its zone.
    #[serde(default)]
    pub az: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub model: String,
    /// The group. The endpoints of a group share the set of idempotency keys that they have seen.
    #[serde(default)]
    pub pod_group: u64,
    /// Whether requests may be sent to it.
    pub state: TargetState,
    /// A rough figure of its capacity.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When its process last started, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Requests may be sent to it.
    Up,
    /// It finishes its requests and gets no new ones.
    Draining,
    /// It is gone. This occurs only in lists of changes.
    Removed,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn complete_entries_of_a_truncated_list_are_read() {
        let entry = |n: u32| {
            format!("{{\"uid\":\"s-{n}\",\"endpoint\":\"127.0.0.1:7{n}\",\"state\":\"draining\"}}")
        };
        let text = format!("{{\"rev\":41,\"all\":true,\"targets\":[{},{}]}}", entry(1), entry(2));
        let complete: EndpointList = serde_json::from_str(&text).unwrap();
        let ends: Vec<usize> =
            complete.targets.iter().map(|t| text.find(&t.uid).unwrap() - 8 + entry(1).len()).collect();
        for end in 0..text.len() {
            let truncated = EndpointList::from_truncated(&text.as_bytes()[..end]);
            assert!(!truncated.is_complete, "missing endpoints may follow the break");
            let entries_read = ends.iter().filter(|at| end >= **at).count();
            assert_eq!(truncated.targets, complete.targets[..entries_read], "{}", &text[..end]);
            assert!(entries_read == 0 || truncated.rev == 41);
        }
    }
}
