//! A schedule on its way into a process.

use crate::control::{Control, ControlError, EntryWord, Switch};
use crate::library::{LibraryError, library};
use crate::schedule::{Problem, Schedule};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The variable that names the schedule's file. The control file lies beside it, with the ending `control`.
pub const SCHEDULE_VARIABLE: &str = "CURLEWHUB_FAULT_SCHEDULE";
/// The variable by which the dynamic linker loads a library first.
pub const PRELOAD_VARIABLE: &str = "LD_PRELOAD";

/// A schedule that can't be brought into a process.
#[derive(Debug, thiserror::Error)]
pub enum InjectionError {
    /// It makes no sense.
    #[error("{}", .0.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
    Schedule(Vec<Problem>),
    /// There is no library.
    #[error(transparent)]
    Library(#[from] LibraryError),
    /// Its file can't be written.
    #[error("the file of a fault schedule: {0}")]
    File(#[from] io::Error),
    /// Its control file can't be written.
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// A schedule in its file, with its control file. All processes that are prepared by one share its counts.
#[derive(Debug)]
pub struct Injection {
    library: PathBuf,
    schedule: PathBuf,
    control: Control,
}

impl Injection {
    /// Writes a schedule to files of this name in a folder.
    ///
    /// # Errors
    /// It makes no sense, the library is not there, or the files can't be written.
    pub fn new(schedule: &Schedule, folder: &Path, name: &str) -> Result<Injection, InjectionError> {
        let problems = schedule.problems();
        if !problems.is_empty() {
            return Err(InjectionError::Schedule(problems));
        }
        let file = folder.join(format!("{name}.schedule"));
        std::fs::write(&file, serde_json::to_vec(schedule).map_err(io::Error::from)?)?;
        let control = Control::create(&file.with_extension("control"))?;
        Ok(Injection { library: library()?, schedule: file, control })
    }

    /// Prepares a command: what it starts is struck.
    pub fn prepare(&self, command: &mut Command) {
        command.env(PRELOAD_VARIABLE, &self.library).env(SCHEDULE_VARIABLE, &self.schedule);
    }

    /// The same as words of a shell, to stand before a command.
    pub fn shell_prefix(&self) -> String {
        let quoted = |path: &Path| format!("'{}'", path.display().to_string().replace('\'', "'\\''"));
        let (library, schedule) = (quoted(&self.library), quoted(&self.schedule));
        format!("export {PRELOAD_VARIABLE}={library} {SCHEDULE_VARIABLE}={schedule};")
    }

    /// Lets the times of a schedule whose origin is the activation count from now on.
    ///
    /// # Errors
    /// The control file can't be written.
    pub fn activate(&self) -> Result<(), ControlError> {
        self.control.activate()
    }

    /// Switches an entry.
    ///
    /// # Errors
    /// The control file can't be written.
    pub fn switch(&self, entry: usize, switch: Switch) -> Result<(), ControlError> {
        self.control.switch(entry, switch)
    }

    /// Calls that fitted an entry while it was on.
    ///
    /// # Errors
    /// The control file can't be read.
    pub fn seen(&self, entry: usize) -> Result<u64, ControlError> {
        self.control.get(entry, EntryWord::Seen)
    }

    /// Calls that an entry has struck.
    ///
    /// # Errors
    /// The control file can't be read.
    pub fn struck(&self, entry: usize) -> Result<u64, ControlError> {
        self.control.get(entry, EntryWord::Struck)
    }
}
