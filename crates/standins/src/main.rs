//! `curlewhub-standin`: a fleet of stand-ins from a file.

fn main() -> std::process::ExitCode {
    curlewhub_standins::program::program(std::env::args_os())
}
