//! Maps the names of endpoints to the ids by which the balancer knows them.

use crate::types::EndpointId;
use fnv::FnvHasher;
use std::collections::HashMap;
use std::hash::Hasher;

/// Names of endpoints and their ids. An id is a hash of the name, so that it is the same at all balancers.
#[derive(Debug, Default)]
pub struct EndpointNames {
    names: HashMap<EndpointId, String>,
}

impl EndpointNames {
    /// Returns the id of a name, assigning one to a new name.
    pub fn intern(&mut self, name: &str) -> EndpointId {
        // FNV-1a: the same on every machine and in every release, unlike the hashers of std.
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        let mut id = EndpointId(hasher.finish());
        while let Some(known) = self.names.get(&id) {
            if known == name {
                return id;
            }
            id = EndpointId(id.0.wrapping_add(1)); // hash collision with another name
        }
        self.names.insert(id, name.to_owned());
        id
    }

    /// Returns the id of a known name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.iter().find(|(_, known)| *known == name).map(|(&id, _)| id)
    }

    /// Keeps only the names of ids for which `keep` returns true: there is no end of new endpoint names.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.names.retain(|&id, _| keep(id));
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the name of an id, or `-` for an unknown id.
    pub fn name(&self, id: EndpointId) -> &str {
        self.names.get(&id).map_or("-", String::as_str)
    }
}
