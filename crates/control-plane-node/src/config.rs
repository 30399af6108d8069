//! The settings of a process of the control plane, and the keys that they name.

pub use curlewhub_config::fleet::{ConsensusServerConfig, FleetConfig, KeyConfig, PeerConfig};
use curlewhub_control_plane::protocol::MacKeys;
use std::path::{Path, PathBuf};

const KEY_BYTES: usize = 32;

/// Why a key can't be used. The text begins with the settings key concerned.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// Its file can't be read.
    #[error("{field}.file: {}: {source}", path.display())]
    Unreadable {
        /// Which key of the settings.
        field: &'static str,
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file holds something other than 32 bytes in hexadecimal digits.
    #[error("{field}.file: {}: allowed: 64 hexadecimal digits", path.display())]
    Malformed {
        /// Which key of the settings.
        field: &'static str,
        /// The file.
        path: PathBuf,
    },
}

/// Reads the keys of message authentication from their files: the one that is used for sending, and the other one that is
/// accepted as well while keys are exchanged.
///
/// # Errors
/// A file can't be read, or does not hold a key.
pub fn keys(config: &FleetConfig) -> Result<MacKeys, KeyError> {
    let keys = MacKeys::single(config.key.number, read_key("key", &config.key.file)?);
    match &config.other_key {
        Some(other) => Ok(keys.with(other.number, read_key("other_key", &other.file)?)),
        None => Ok(keys),
    }
}

fn read_key(field: &'static str, path: &Path) -> Result<[u8; KEY_BYTES], KeyError> {
    let text = std::fs::read_to_string(path).map_err(|source| KeyError::Unreadable {
        field,
        path: path.to_owned(),
        source,
    })?;
    parse_key(text.trim()).ok_or_else(|| KeyError::Malformed { field, path: path.to_owned() })
}

fn parse_key(text: &str) -> Option<[u8; KEY_BYTES]> {
    // `from_str_radix` alone would accept a sign.
    if text.len() != 2 * KEY_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (n, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(key)
}
