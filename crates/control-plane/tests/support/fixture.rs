//! Fixtures of stored and sent bytes: text files with one `NAME VALUE` a line, as commit d7660a1 wrote the values.
//!
//! Test files of other packages include this file by its path.
#![allow(dead_code)] // each test file uses a part of it

use std::fmt::Write;
use std::path::PathBuf;

/// The path of a fixture of the package under test.
pub fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file)
}

/// A fixture's text; empty where the file is missing, which then differs from what any build writes.
pub fn text(file: &str) -> String {
    std::fs::read_to_string(path(file)).unwrap_or_default()
}

/// Fails unless this build writes exactly the fixture. What it wrote is left beside the build products for comparison.
#[track_caller]
pub fn assert_same_text(file: &str, written: &str) {
    let wanted = text(file);
    if wanted != written {
        let actual = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        std::fs::write(&actual, written).unwrap();
        let mut lines = wanted.lines().zip(written.lines()).enumerate();
        let first = lines.find(|(_, (wanted, written))| wanted != written);
        panic!("{file}: another text is written, see {}; first difference: {first:?}", actual.display());
    }
}

/// The same for named values.
#[track_caller]
pub fn assert_same<N: AsRef<str>>(file: &str, values: &[(N, String)]) {
    let text: String = values.iter().map(|(name, value)| format!("{} {value}\n", name.as_ref())).collect();
    assert_same_text(file, &text);
}

/// The named values of a fixture.
pub fn values(file: &str) -> Vec<(String, String)> {
    let text = text(file);
    let split = |line: &str| line.split_once(' ').map(|(name, value)| (name.to_owned(), value.to_owned()));
    text.lines().filter_map(split).collect()
}

/// Bytes as text.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    bytes.iter().for_each(|byte| write!(text, "{byte:02x}").unwrap());
    text
}

/// Bytes out of text.
pub fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}
