//! Output and exit codes of commands.

use std::fmt::Display;
use std::io::Write as _;
use std::process::ExitCode;

/// The result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exit {
    /// The command succeeded: 0.
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

/// Prints the error of a failed command to standard error.
pub fn fail(error: impl Display) -> Exit {
    eprintln!("curlewhub: {error}");
    Exit::Failed
}

/// Prints the error of an invalid command line or configuration to standard error.
pub fn reject_usage(error: impl Display) -> Exit {
    eprintln!("curlewhub: {error}");
    Exit::Usage
}
