//! `curlewhub-lab timeline`: the logs of several processes as one, in order of time, narrowed to what an incident needs.

mod line;

use line::{LogLine, parse};
use std::io::BufRead;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What is shown.
#[derive(clap::Args, Debug)]
pub struct Timeline {
    /// A folder of logs, `NAME.log` or `NAME.N.log` each, as text or as JSON lines.
    folder: PathBuf,
    /// Only lines of this request: its number in a process, or its `X-Request-ID`, which may be known to several.
    #[arg(long, value_name = "ID")]
    request: Option<String>,
    /// Only lines of this endpoint, by its uid.
    #[arg(long, value_name = "UID")]
    endpoint: Option<String>,
    /// Only lines of this version of the list, and calls and states of discovery between.
    #[arg(long, value_name = "VERSION")]
    version: Option<u64>,
    /// Only lines of these processes; may come often.
    #[arg(long, value_name = "NAME")]
    process: Vec<String>,
    /// Seconds behind the first line.
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    /// Seconds behind the first line.
    #[arg(long)]
    to: Option<f64>,
    /// All lines, requests and summaries too.
    #[arg(long)]
    all: bool,
}

/// Why there is no timeline.
#[derive(Debug, Error)]
pub enum TimelineError {
    /// A folder or a log can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// No file in it is a log with a line that has a time.
    #[error("{0}: no log in it")]
    NoLogs(PathBuf),
}

/// Messages that are no state of the process: what every request or second brings.
const FREQUENT: [&str; 5] = ["summary", "request", "attempt", "attempt ended", "final answer"];
/// Messages about the list that has no version yet, or that say how one was come by.
const OF_DISCOVERY: [&str; 6] = [
    "discovery call",
    "discovery watch opened",
    "discovery call ended",
    "discovery",
    "list freshness",
    "reloaded",
];

/// Merges the logs of a folder.
///
/// # Errors
/// The folder or a log in it can't be read, or none is there.
pub fn timeline(options: &Timeline) -> Result<String, TimelineError> {
    let mut lines = read_folder(&options.folder)?;
    lines.sort_by_key(|line| line.at);
    // A log may hold a part twice, as one that was cut in the middle and shown with its end.
    lines.dedup();
    let Some(first) = lines.first().map(|line| line.at) else {
        return Err(TimelineError::NoLogs(options.folder.clone()));
    };
    let traces = options.request.as_deref().map(|id| traces_of(&lines, id)).unwrap_or_default();
    let mut text = String::new();
    for line in &lines {
        let seconds = line.at.duration_since(first).unwrap_or_default().as_secs_f64();
        if options.shows(line, seconds, &traces) {
            text += &format!("{seconds:>9.3}  {:<12} {:<5} {}\n", line.process, line.level, line.text);
        }
    }
    Ok(text)
}

/// What the request with a client's id is called in the log of one process: by the number of the request, and by its
/// connection and use.
struct Trace {
    process: String,
    names: Vec<(&'static str, String)>,
}

impl Trace {
    fn has(&self, line: &LogLine) -> bool {
        line.process == self.process && self.names.iter().all(|(name, value)| line.has(name, value))
    }
}

/// The names of a request that are found beside its `X-Request-ID`.
fn traces_of(lines: &[LogLine], id: &str) -> Vec<Trace> {
    let mut traces = Vec::new();
    for line in lines.iter().filter(|line| line.has("x_request_id", id)) {
        for names in [&["request"][..], &["connection", "use_number"]] {
            let named = names.iter().map(|name| Some((*name, line.value(name)?.to_owned())));
            let named: Option<Vec<_>> = named.collect();
            traces.extend(named.map(|names| Trace { process: line.process.clone(), names }));
        }
    }
    traces
}

impl Timeline {
    fn shows(&self, line: &LogLine, seconds: f64, traces: &[Trace]) -> bool {
        let in_time = seconds >= self.from && self.to.is_none_or(|to| seconds <= to);
        let of_process = self.process.is_empty() || self.process.contains(&line.process);
        in_time && of_process && (self.matches(line) || traces.iter().any(|trace| trace.has(line)))
    }

    /// Whether it is one of the lines asked for; without any, whether it tells of a state.
    fn matches(&self, line: &LogLine) -> bool {
        let version = self.version.map(|version| version.to_string());
        let wanted = [("request", &self.request), ("endpoint", &self.endpoint)];
        let mut asked =
            wanted.iter().filter_map(|(name, value)| Some((*name, value.as_deref()?))).peekable();
        if asked.peek().is_some() {
            return asked.any(|(name, value)| line.has(name, value));
        }
        if let Some(version) = version {
            let of_version = ["rev", "version"].iter().any(|name| line.has(name, &version));
            return of_version || OF_DISCOVERY.contains(&line.message.as_str());
        }
        self.all || !FREQUENT.contains(&line.message.as_str())
    }
}

fn read_folder(folder: &Path) -> Result<Vec<LogLine>, TimelineError> {
    let unreadable = |path: &Path| {
        let path = path.to_owned();
        move |source| TimelineError::Unreadable { path, source }
    };
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable(folder))? {
        let path = entry.map_err(unreadable(folder))?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let process = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let file = std::fs::File::open(&path).map_err(unreadable(&path))?;
        for line in std::io::BufReader::new(file).split(b'\n') {
            let line = line.map_err(unreadable(&path))?;
            lines.extend(parse(&process, &String::from_utf8_lossy(&line)));
        }
    }
    Ok(lines)
}
