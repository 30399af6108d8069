//! Where the preloaded library is, built anew where it is not up to date.

use serde_json::Value;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The file name of the library.
pub const LIBRARY_FILE: &str = "libcurlewhub_fault_injection.so";
/// Its package.
const PACKAGE: &str = "curlewhub-fault-injection";
/// Its manifest, where this program was built.
const MANIFEST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../fault-injection/Cargo.toml");
/// Cargo puts this file into each target directory.
const TARGET_DIRECTORY_TAG: &str = "CACHEDIR.TAG";

/// The library is not there and can't be built.
#[derive(Clone, Debug, thiserror::Error)]
pub enum LibraryError {
    /// Cargo could not be started.
    #[error("cargo, to build {PACKAGE}: {0}")]
    Cargo(String),
    /// Cargo has failed.
    #[error("building {PACKAGE} failed:\n{0}")]
    Build(String),
    /// Not built under cargo, and not beside the program either.
    #[error("no {LIBRARY_FILE} beside the program: build the package {PACKAGE}")]
    NotBeside,
}

/// The path of the library. Under cargo (`cargo test`, `cargo run`) it is built first, once for a process, so
/// that it is never an old one; cargo itself keeps several builds at once apart. Otherwise it is the one
/// beside the program.
///
/// # Errors
/// It is not there or can't be built.
pub fn library() -> Result<PathBuf, LibraryError> {
    static BUILT: OnceLock<Result<PathBuf, LibraryError>> = OnceLock::new();
    BUILT
        .get_or_init(|| match std::env::var_os("CARGO") {
            Some(cargo) if Path::new(MANIFEST).is_file() => build(cargo),
            _ => beside().ok_or(LibraryError::NotBeside),
        })
        .clone()
}

/// The library in the directory of this program, or in the one above, as tests lie in `deps`.
fn beside() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    program.ancestors().skip(1).take(2).map(|folder| folder.join(LIBRARY_FILE)).find(|path| path.is_file())
}

/// The target directory that this program lies in.
fn target_directory() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    program.ancestors().find(|folder| folder.join(TARGET_DIRECTORY_TAG).is_file()).map(Path::to_owned)
}

fn build(cargo: OsString) -> Result<PathBuf, LibraryError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--message-format=json", "--manifest-path", MANIFEST]);
    if let Some(folder) = target_directory() {
        command.arg("--target-dir").arg(folder);
    }
    // What runs now may itself be under injection; its build is not.
    command.env_remove(crate::PRELOAD_VARIABLE).env_remove(crate::SCHEDULE_VARIABLE);
    let output = command.output().map_err(|e| LibraryError::Cargo(e.to_string()))?;
    let said = || LibraryError::Build(String::from_utf8_lossy(&output.stderr).into_owned());
    if !output.status.success() {
        return Err(said());
    }
    let text = String::from_utf8_lossy(&output.stdout);
    let messages = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    messages.filter_map(|message| library_of(&message)).next_back().ok_or_else(said)
}

/// The library that a message of cargo tells of.
fn library_of(message: &Value) -> Option<PathBuf> {
    let files = message["filenames"].as_array()?.iter().filter_map(Value::as_str);
    files.map(PathBuf::from).find(|path| path.ends_with(LIBRARY_FILE))
}
