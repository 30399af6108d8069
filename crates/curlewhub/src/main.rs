//! The `curlewhub` executable.

fn main() -> std::process::ExitCode {
    curlewhub::program(std::env::args_os())
}
