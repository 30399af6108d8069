//! What a command prints, and the exit code that it ends with.

use std::fmt::Display;
use std::io::Write as _;
use std::process::ExitCode;

/// The outcome of a command, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exit {
    /// The command did what it was asked: 0.
    Done,
    /// The command failed: 1.
    Failed,
    /// The command line or the configuration is invalid: 2.
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        match exit {
            Exit::Done => ExitCode::SUCCESS,
            Exit::Failed => ExitCode::FAILURE,
            Exit::Usage => ExitCode::from(2),
        }
    }
}

/// Prints text to standard output. A reader that has closed the pipe does not make the command fail.
pub fn print(text: &str) -> Exit {
    let _ = std::io::stdout().write_all(text.as_bytes());
    Exit::Done
}

/// Prints an error to standard error, as that of a failed command.
pub fn fail(error: impl Display) -> Exit {
    eprintln!("curlewhub: {error}");
    Exit::Failed
}

/// Prints an error to standard error, as that of an invalid command line or configuration.
pub fn reject_usage(error: impl Display) -> Exit {
    eprintln!("curlewhub: {error}");
    Exit::Usage
}
