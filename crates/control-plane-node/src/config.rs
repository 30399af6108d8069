//! The keys that a configuration names.

pub use curlewhub_config::fleet::{ConsensusServerConfig, FleetConfig, KeyConfig, PeerConfig};
use curlewhub_control_plane::protocol::MacKeys;
use std::path::Path;

/// The keys, out of their files.
///
/// # Errors
/// A file can't be read, or holds no key.
pub fn keys(config: &FleetConfig) -> Result<MacKeys, String> {
    let keys = MacKeys::single(config.key.number, key("key", &config.key.file)?);
    match &config.other_key {
        Some(other) => Ok(keys.with(other.number, key("other_key", &other.file)?)),
        None => Ok(keys),
    }
}

fn key(field: &str, path: &Path) -> Result<[u8; 32], String> {
    let at = |problem: String| format!("{field}.file: {}: {problem}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
    let text = text.trim();
    let digits = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let wanted = || at("allowed: 64 hexadecimal digits".to_owned());
    if !digits {
        return Err(wanted());
    }
    let mut key = [0; 32];
    for (n, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).map_err(|_| wanted())?;
    }
    Ok(key)
}
