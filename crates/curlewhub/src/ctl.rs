//! `curlewhub ctl`: calls a running sidecar over the operator line protocol, with one call per connection.

use crate::cli::{CtlArgs, OperatorCall};
use crate::output::{Exit, fail};
use serde_json::{Map, Value, json};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Deadline of a call. A sidecar answers within 1 s; a peer that has not answered by then has crashed, is
/// hung or is not a curlewhub sidecar.
const CALL_TIMEOUT: Duration = Duration::from_millis(1800);
/// Maximum length of an answer, in bytes: the metrics take three lines per request class.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Why a call failed.
#[derive(Debug, Error)]
enum CallError {
    /// An id with a line break would be parsed as two calls.
    #[error("an endpoint id must not contain a line break")]
    MultilineId,
    #[error("nobody listens there")]
    Refused,
    #[error("no answer within {} ms", CALL_TIMEOUT.as_millis())]
    TimedOut,
    #[error("connection closed without an answer")]
    ClosedEarly,
    #[error("answer exceeds {} bytes", MAX_ANSWER_BYTES)]
    TooLong,
    #[error(transparent)]
    Io(io::Error),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> CallError {
        match error.kind() {
            // Linux reports an expired read or write timeout of a socket as WouldBlock.
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallError::TimedOut,
            _ => CallError::Io(error),
        }
    }
}

/// The result of a call, as text and as JSON.
struct Report {
    exit: Exit,
    text: String,
    json: Value,
}

impl Report {
    fn done(text: &str, json: Value) -> Report {
        Report { exit: Exit::Done, text: text.to_owned(), json }
    }

    fn failed(text: String, problem: &str) -> Report {
        Report { exit: Exit::Failed, text, json: json!({"ok": false, "problem": problem}) }
    }
}

/// Makes the call and prints its answer.
pub fn run(ctl: &CtlArgs) -> Exit {
    let report = match call(ctl.address, &request_line(&ctl.call)) {
        Ok(answer) => parse_answer(&answer),
        Err(error) => {
            let problem = format!("{}: {error}", ctl.address);
            Report::failed(problem.clone(), &problem)
        }
    };
    let text = if ctl.json { report.json.to_string() } else { report.text };
    if report.exit == Exit::Failed && !ctl.json {
        return fail(text.trim_end());
    }
    crate::output::print(&format!("{}\n", text.trim_end()));
    report.exit
}

fn request_line(call: &OperatorCall) -> String {
    match call {
        OperatorCall::Ping => "PING\n".to_owned(),
        OperatorCall::Info => "INFO\n".to_owned(),
        OperatorCall::Detach { id } => format!("DETACH {id}\n"),
        OperatorCall::Attach { id } => format!("ATTACH {id}\n"),
        OperatorCall::Drain => "LAMEDUCK\n".to_owned(),
        OperatorCall::Undrain => "REJOIN\n".to_owned(),
    }
}

fn parse_answer(answer: &str) -> Report {
    if let Some(metrics) = answer.strip_suffix("END\n") {
        return Report::done(metrics, json!({"ok": true, "figures": parse_metrics(metrics)}));
    }
    match answer.split_once([' ', '\n']).map_or((answer, ""), |(word, reason)| (word, reason.trim())) {
        ("YES", _) => Report::done("yes", json!({"ok": true})),
        ("NO", reason) => Report::failed(format!("no: {reason}"), reason),
        _ => {
            let problem = "unexpected answer; is this a sidecar's operator address?";
            Report::failed(problem.to_owned(), problem)
        }
    }
}

/// Parses lines of `name:value|kind` into metrics by name; a value that is not a number becomes null.
fn parse_metrics(lines: &str) -> Map<String, Value> {
    let metrics = lines.lines().filter_map(|line| {
        let (name, rest) = line.split_once(':')?;
        let number = rest.split('|').next().and_then(|number| number.parse::<u64>().ok());
        Some((name.to_owned(), number.map_or(Value::Null, Value::from)))
    });
    metrics.collect()
}

/// Sends a line and reads the whole answer within one deadline.
fn call(address: SocketAddr, line: &str) -> Result<String, CallError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    if line.trim_end().contains(['\n', '\r']) {
        return Err(CallError::MultilineId);
    }
    let mut stream =
        TcpStream::connect_timeout(&address, remaining(deadline)?).map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => error.into(),
        })?;
    stream.set_write_timeout(Some(remaining(deadline)?))?;
    stream.write_all(line.as_bytes())?;
    read_answer(&mut stream, deadline)
}

fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Result<String, CallError> {
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        stream.set_read_timeout(Some(remaining(deadline)?))?;
        match stream.read(&mut chunk)? {
            0 if answer.is_empty() => return Err(CallError::ClosedEarly),
            0 => return Ok(String::from_utf8_lossy(&answer).into_owned()),
            count => answer.extend_from_slice(&chunk[..count]),
        }
        if answer.len() > MAX_ANSWER_BYTES {
            return Err(CallError::TooLong);
        }
    }
}

/// Returns the time until the deadline; zero is an error because a socket timeout must not be zero.
fn remaining(deadline: Instant) -> Result<Duration, CallError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() { Err(CallError::TimedOut) } else { Ok(remaining) }
}
