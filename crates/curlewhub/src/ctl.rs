//! Calls to a running sidecar: one line a connection, as operators' own tools send it.

use crate::cli::{Call, Ctl, Exit};
use serde_json::{Map, Value, json};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A sidecar answers within 1 s; whoever has not after this is dead, hung or no curlewhub.
const PATIENCE: Duration = Duration::from_millis(1800);
/// No answer is longer, in bytes: a class takes three lines of figures.
const ANSWER_MOST: usize = 1 << 20;

/// Makes the call and prints what comes of it.
pub fn run(ctl: &Ctl) -> Exit {
    let answer = ask(ctl.at, &line(&ctl.call));
    let (exit, text, value) = match &answer {
        Ok(answer) => read(answer),
        Err(problem) => {
            let problem = format!("{}: {problem}", ctl.at);
            (Exit::Failed, problem.clone(), json!({"ok": false, "problem": problem}))
        }
    };
    let text = if ctl.json { value.to_string() } else { text };
    match exit {
        Exit::Failed if !ctl.json => eprintln!("curlewhub: {}", text.trim_end()),
        _ => {
            let _ = writeln!(io::stdout(), "{}", text.trim_end()); // a reader that has gone is no failure
        }
    }
    exit
}

fn line(call: &Call) -> String {
    match call {
        Call::Ping => "PING\n".to_owned(),
        Call::Info => "INFO\n".to_owned(),
        Call::Detach { id } => format!("DETACH {id}\n"),
        Call::Attach { id } => format!("ATTACH {id}\n"),
        Call::Drain => "LAMEDUCK\n".to_owned(),
        Call::Undrain => "REJOIN\n".to_owned(),
    }
}

/// What was answered, for people and for programs.
fn read(answer: &str) -> (Exit, String, Value) {
    if let Some(figures) = answer.strip_suffix("END\n") {
        let mut values = Map::new();
        for line in figures.lines() {
            let Some((name, rest)) = line.split_once(':') else { continue };
            let number = rest.split('|').next().and_then(|number| number.parse::<u64>().ok());
            values.insert(name.to_owned(), number.map_or(Value::Null, Value::from));
        }
        return (Exit::Done, figures.to_owned(), json!({"ok": true, "figures": values}));
    }
    match answer.split_once([' ', '\n']).map_or((answer, ""), |(word, why)| (word, why.trim())) {
        ("YES", _) => (Exit::Done, "yes".to_owned(), json!({"ok": true})),
        ("NO", why) => (Exit::Failed, format!("no: {why}"), json!({"ok": false, "problem": why})),
        _ => {
            let problem = "what came back is no answer: is this an operators' address?";
            (Exit::Failed, problem.to_owned(), json!({"ok": false, "problem": problem}))
        }
    }
}

/// Sends a line and reads the whole answer, all within the patience.
fn ask(at: SocketAddr, line: &str) -> Result<String, String> {
    let until = Instant::now() + PATIENCE;
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() { Err(silent()) } else { Ok(left) }
    };
    if line.trim_end().contains(['\n', '\r']) {
        return Err("an id is one line".to_owned());
    }
    let mut stream = TcpStream::connect_timeout(&at, left()?).map_err(|e| match e.kind() {
        io::ErrorKind::ConnectionRefused => "nobody listens there".to_owned(),
        io::ErrorKind::TimedOut => silent(),
        _ => e.to_string(),
    })?;
    let timed = |e: io::Error| match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => silent(),
        _ => e.to_string(),
    };
    stream.set_write_timeout(Some(left()?)).map_err(|e| e.to_string())?;
    stream.write_all(line.as_bytes()).map_err(timed)?;
    let (mut answer, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        stream.set_read_timeout(Some(left()?)).map_err(|e| e.to_string())?;
        match stream.read(&mut piece).map_err(timed)? {
            0 if answer.is_empty() => return Err("it closed without an answer".to_owned()),
            0 => return Ok(String::from_utf8_lossy(&answer).into_owned()),
            count => answer.extend_from_slice(&piece[..count]),
        }
        if answer.len() > ANSWER_MOST {
            return Err("too long an answer".to_owned());
        }
    }
}

fn silent() -> String {
    format!("no answer within {} ms", PATIENCE.as_millis())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_told_apart() {
        assert_eq!(read("YES\n").0, Exit::Done);
        let (exit, text, value) = read("NO no such endpoint\n");
        assert_eq!((exit, &text[..]), (Exit::Failed, "no: no such endpoint"));
        assert_eq!(value, json!({"ok": false, "problem": "no such endpoint"}));
        let (exit, _, value) = read("router.success.a:812|c\nrouter.inflight:14|g\nEND\n");
        assert_eq!(exit, Exit::Done);
        assert_eq!(value["figures"], json!({"router.success.a": 812, "router.inflight": 14}));
        for odd in ["", "HTTP/1.1 400 Bad Request\r\n\r\n", "YESTERDAY\n", "router.success.a:8"] {
            assert_eq!(read(odd).0, Exit::Failed, "{odd}");
        }
    }
}
