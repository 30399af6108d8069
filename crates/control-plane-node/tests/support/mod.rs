//! What several test files use.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::path::{Path, PathBuf};

/// A directory that is removed when the test ends.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    pub fn new(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("curlewhub-node-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TestDirectory(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn join(&self, name: impl AsRef<Path>) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
