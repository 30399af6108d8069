//! `curlewhub-lab capacity`: slopes of what each role needs, and the page that is made of them.

pub mod file;
pub mod fit;
pub mod measure;
pub mod page;
pub mod rows;
pub mod target;
pub mod text;

use file::CapacityFile;
use measure::{Effort, Run};
use std::path::{Path, PathBuf};
use std::process::Command;

/// What is to be done.
#[derive(clap::Subcommand, Debug)]
pub enum CapacityCommand {
    /// Measure how what each role needs grows with each dimension of the target.
    Measure {
        /// Write the capacity file there.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// All that is drawn follows from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The commit that is measured; asked of git by default.
        #[arg(long, value_name = "ID")]
        commit: Option<String>,
        /// Sidecars at the most of a simulated fleet in which all are members; the largest takes minutes.
        #[arg(long, value_name = "N", default_value_t = 1_900)]
        members_most: usize,
    },
    /// Take slopes of another run into a capacity file; each keeps the commit that it was measured at.
    Take {
        /// The slopes' names.
        #[arg(long, value_name = "NAME", value_delimiter = ',', required = true)]
        slopes: Vec<String>,
        /// The run that they are taken from.
        #[arg(long, value_name = "FILE")]
        from: PathBuf,
        /// The file that they are put into.
        #[arg(long, value_name = "FILE")]
        into: PathBuf,
    },
    /// Make the page of a capacity file.
    Page {
        /// The capacity file.
        #[arg(long, value_name = "FILE")]
        from: PathBuf,
        /// Write the page there.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
}

/// Does it.
///
/// # Errors
/// One line for each thing that is wrong.
pub fn capacity(command: CapacityCommand) -> Result<(), Vec<String>> {
    match command {
        CapacityCommand::Measure { out, seed, commit, members_most } => {
            let commit = commit.unwrap_or_else(commit_of_git);
            let run = Run { effort: Effort::Whole, seed, commit, members_most };
            let file = measure::measure(run, &mut |line| eprintln!("{line}"));
            write_file(&out, &file)
        }
        CapacityCommand::Take { slopes, from, into } => {
            let mut file = CapacityFile::read(&into)?;
            file.take(&slopes, &CapacityFile::read(&from)?)?;
            write_file(&into, &file)
        }
        CapacityCommand::Page { from, out } => write(&out, &page_of(&from)?),
    }
}

/// The page of a capacity file.
///
/// # Errors
/// One line for each field that is wrong or missing.
pub fn page_of(from: &Path) -> Result<String, Vec<String>> {
    let file = CapacityFile::read(from)?;
    let name = from.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    page::page(&file, &name)
}

fn write_file(path: &Path, file: &CapacityFile) -> Result<(), Vec<String>> {
    let text = serde_json::to_string_pretty(file).map_err(|e| vec![e.to_string()])?;
    write(path, &(text + "\n"))
}

fn write(path: &Path, text: &str) -> Result<(), Vec<String>> {
    std::fs::write(path, text).map_err(|e| vec![format!("{}: {e}", path.display())])
}

/// The commit that is checked out, marked where the tree differs from it.
fn commit_of_git() -> String {
    let asked = Command::new("git").args(["describe", "--always", "--dirty", "--abbrev=12"]).output();
    let said = asked.ok().filter(|asked| asked.status.success()).map(|asked| asked.stdout);
    let text = said.and_then(|said| String::from_utf8(said).ok()).unwrap_or_default();
    if text.trim().is_empty() { "unknown".to_owned() } else { text.trim().to_owned() }
}
