//! One history of all that processes, books and the rig itself have told, in one order on one clock.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// What a leader logs of a zone's transition that it proposes, as of this build and of builds before 0.2.
const ZONE_TRANSITION: [&str; 2] = ["zone transition proposed", "fleet: a hall is to move"];

/// Entries at the most, about 2 GB; beyond that the run's checks of its history fail.
pub const ENTRIES_MOST: usize = 8_000_000;

/// Microseconds from when requests began to come; before that below 0.
pub type Micros = i64;

/// One thing that happened.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// When, by the stamp of who saw it.
    pub at: Micros,
    /// Who saw it.
    pub process: Rc<str>,
    /// Which of its incarnations; 0 where that can't be told.
    pub incarnation: u32,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum What {
    /// A fault began or ended, or should have.
    Fault {
        /// Its number in the file.
        fault: usize,
        /// It began.
        on: bool,
        /// Why it did not.
        problem: Option<String>,
    },
    /// A process was started.
    Started,
    /// It is ready.
    Ready,
    /// It is not, in its time.
    NotReady {
        /// What it said last.
        said: String,
    },
    /// It was killed, told to end or stopped, or goes on.
    Done {
        /// What was done to it.
        done: &'static str,
    },
    /// It was given a new configuration.
    Reloaded,
    /// A sidecar has taken a list or changes of this version.
    Listed {
        /// The version.
        version: u64,
    },
    /// Discovery did something for a sidecar, by its own record.
    Directory {
        /// The view that the sidecar uses; none where it concerns all.
        view: Option<usize>,
        /// What: `called`, `written`, `watch ended`, `refused` or `changed`.
        event: Rc<str>,
        /// The version that it is of.
        version: Option<u64>,
    },
    /// It has ended.
    Ended {
        /// How.
        status: String,
        /// It ended with 0.
        clean: bool,
        /// The rig had it end.
        told: bool,
    },
    /// What it holds.
    Usage {
        /// Resident memory.
        kib: u64,
        /// Open descriptors.
        descriptors: u64,
    },
    /// A sidecar's attempt has ended.
    Attempt {
        /// Where.
        endpoint: Rc<str>,
        /// How.
        outcome: Rc<str>,
        /// When it was sent.
        sent: Micros,
    },
    /// A process of the fleet's view tells of a version.
    Version {
        /// What of it: `decided`, `applied`, `acts on`, `following`, `keeping`, `replaced by a snapshot`.
        event: Rc<str>,
        /// Which.
        version: u64,
        /// Its content, where it is told.
        hash: Option<Rc<str>>,
        /// Its key, where it is told.
        key: Option<Rc<str>>,
    },
    /// A keeper has a hall move.
    Moved {
        /// Which.
        hall: Rc<str>,
        /// How it stood.
        from: Rc<str>,
        /// How it is to stand.
        to: Rc<str>,
        /// Why.
        why: String,
    },
    /// Halls that nothing new of a sidecar may go into from now on.
    May {
        /// These.
        closed: Vec<Rc<str>>,
    },
    /// A line of a log.
    Log {
        /// Its level.
        level: String,
        /// Its message.
        message: String,
    },
    /// A request came to an endpoint.
    Came {
        /// Which.
        endpoint: Rc<str>,
        /// The request's id.
        id: Rc<str>,
        /// The list had said for over 250 ms that it drains.
        draining: bool,
        /// Its work.
        work_us: f64,
        /// The endpoint warms up still.
        cold: bool,
        /// The endpoint's capacity, in cores of the yardstick speed.
        capacity: f64,
        /// It is in its slow state.
        slow: bool,
    },
    /// A request's work began at an endpoint.
    Ran {
        /// Which.
        endpoint: Rc<str>,
        /// The request's id.
        id: Rc<str>,
        /// Its key.
        key: Option<Rc<str>>,
    },
    /// What else became of a request at an endpoint.
    Became {
        /// Which.
        endpoint: Rc<str>,
        /// `done`, `full` or `repeat`.
        became: Rc<str>,
    },
    /// A client's try has ended.
    Try(Try),
    /// A client's request has ended.
    Request(Request),
}

/// A client's try.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Try {
    /// Its id.
    pub id: Rc<str>,
    /// The sidecar's address.
    pub sidecar: Rc<str>,
    /// Its class.
    pub class: Rc<str>,
    /// The time that it was given.
    pub time_us: i64,
    /// The time that it took.
    pub took_us: i64,
    /// How it ended.
    pub end: Rc<str>,
    /// Its answer's status.
    pub status: Option<u16>,
    /// More came behind its answer.
    pub twice: bool,
    /// It came over 50 ms after its time.
    pub late: bool,
    /// What a refusal said.
    pub retry_after_ms: Option<u64>,
}

/// A client's request, over all its tries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// The sidecar's address.
    pub sidecar: Rc<str>,
    /// Its class.
    pub class: Rc<str>,
    /// How it ended.
    pub end: Rc<str>,
    /// Tries.
    pub tries: u32,
    /// From when it was due.
    pub took_us: i64,
    /// Served within its objective.
    pub in_time: bool,
}

/// The history.
#[derive(Debug, Default)]
pub struct History {
    /// In order.
    pub entries: Vec<Entry>,
    /// Lines that could not be read: the last ones of processes that were killed, as a rule.
    pub unread: u64,
    /// Entries left out for want of room, and lines that a log says it has lost.
    pub lost: u64,
    /// Unix time of 0.
    pub zero_us: i64,
    names: HashSet<Rc<str>>,
}

/// A time in which a process's wall clock was off, in microseconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// From then on ...
    pub from: i64,
    /// ... until then.
    pub to: i64,
    /// By this much, ahead where it is positive.
    pub by: i64,
}

/// Lines of a log may be out of order by less than this.
const OUT_OF_ORDER_US: i64 = 500_000;

/// When a line was written that a stepped clock has stamped: of the times at which the clock would have said so, the
/// earliest that is not before the line ahead of it. Steps of one process do not overlap.
pub fn true_time(stamp: i64, before: i64, steps: &[Step]) -> i64 {
    let off_at = |at: i64| steps.iter().find(|step| (step.from..step.to).contains(&at)).map_or(0, |s| s.by);
    let offsets = std::iter::once(0).chain(steps.iter().map(|step| step.by));
    offsets
        .filter_map(|by| stamp.checked_sub(by).filter(|at| off_at(*at) == by))
        .filter(|at| *at >= before.saturating_sub(OUT_OF_ORDER_US))
        .min()
        .unwrap_or(stamp)
}

/// Unix time now.
pub fn unix_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}

impl History {
    /// An empty one; `zero_us` is Unix time.
    pub fn new(zero_us: i64) -> History {
        History { zero_us, ..History::default() }
    }

    fn name(&mut self, text: &str) -> Rc<str> {
        if let Some(known) = self.names.get(text) {
            return known.clone();
        }
        let name: Rc<str> = text.into();
        // Ids are many and come twice or thrice; names are few.
        if self.names.len() < ENTRIES_MOST {
            self.names.insert(name.clone());
        }
        name
    }

    /// One more entry.
    pub fn add(&mut self, unix_us: i64, process: &str, incarnation: u32, what: What) {
        if self.entries.len() >= ENTRIES_MOST {
            self.lost += 1;
            return;
        }
        let process = self.name(process);
        self.entries.push(Entry { at: unix_us - self.zero_us, process, incarnation, what });
    }

    /// A sidecar's log.
    ///
    /// # Errors
    /// It can't be read.
    pub fn log(&mut self, path: &Path, process: &str, incarnation: u32, steps: &[Step]) -> io::Result<()> {
        let started = self.entries.iter().find(|entry| {
            matches!(entry.what, What::Started)
                && *entry.process == *process
                && entry.incarnation == incarnation
        });
        let mut before = started.map_or(i64::MIN, |entry| entry.at + self.zero_us);
        self.lines(path, |this, line| this.log_line(line, process, incarnation, steps, &mut before))
    }

    /// Stand-ins' or the load's books.
    ///
    /// # Errors
    /// They can't be read.
    pub fn books(&mut self, path: &Path, process: &str) -> io::Result<()> {
        self.lines(path, |this, line| this.book_line(line, process))
    }

    fn lines(
        &mut self,
        path: &Path,
        mut each: impl FnMut(&mut Self, &str) -> Option<()>,
    ) -> io::Result<()> {
        let mut reader = BufReader::new(std::fs::File::open(path)?);
        let mut line = Vec::new();
        while reader.read_until(b'\n', &mut line)? > 0 {
            if std::str::from_utf8(&line).ok().and_then(|line| each(self, line)).is_none() {
                self.unread += 1;
            }
            line.clear();
        }
        Ok(())
    }

    fn log_line(
        &mut self,
        line: &str,
        process: &str,
        incarnation: u32,
        steps: &[Step],
        before: &mut i64,
    ) -> Option<()> {
        let line: Value = serde_json::from_str(line).ok()?;
        let time = humantime::parse_rfc3339(line["timestamp"].as_str()?).ok()?;
        let at = true_time(time.duration_since(UNIX_EPOCH).ok()?.as_micros() as i64, *before, steps);
        *before = at.max(*before);
        let message = line["message"].as_str().unwrap_or_default();
        if message == "attempt ended" {
            let sent = at - line["micros"].as_i64()? - self.zero_us;
            let endpoint = self.name(line["endpoint"].as_str()?);
            let outcome = self.name(line["outcome"].as_str()?);
            self.add(at, process, incarnation, What::Attempt { endpoint, outcome, sent });
            return Some(());
        }
        if let (Some(event), Some(version)) = (message.strip_prefix("fleet: "), line["version"].as_u64()) {
            let (event, hash) = (self.name(event), line["hash"].as_str().map(|hash| self.name(hash)));
            let key = line["key"].as_str().map(|key| self.name(key));
            self.add(at, process, incarnation, What::Version { event, version, hash, key });
            return Some(());
        }
        if ZONE_TRANSITION.contains(&message) {
            let mut text = |name: &str| Some(self.name(line[name].as_str()?));
            // Builds before 0.2 name the zone in the field `hall`.
            let (hall, from, to) = (text("zone").or_else(|| text("hall"))?, text("from")?, text("to")?);
            let why = line["why"].as_str()?.to_owned();
            self.add(at, process, incarnation, What::Moved { hall, from, to, why });
            return Some(());
        }
        if message == "fleet: may" {
            let halls = line["halls"].as_str()?.split(", ");
            let closed =
                halls.filter_map(|hall| hall.strip_suffix(": dark").or(hall.strip_suffix(": closed")));
            let closed = closed.map(|hall| self.name(hall)).collect();
            self.add(at, process, incarnation, What::May { closed });
            return Some(());
        }
        if let ("list", Some(version)) = (message, line["rev"].as_u64()) {
            self.add(at, process, incarnation, What::Listed { version });
            return Some(());
        }
        let level = line["level"].as_str().unwrap_or_default();
        if level == "DEBUG" || level == "TRACE" {
            return Some(());
        }
        if let Some(lost) = line["dropped"].as_u64() {
            self.lost += lost;
        }
        let (level, message) = (level.to_owned(), message.to_owned());
        self.add(at, process, incarnation, What::Log { level, message });
        Some(())
    }

    fn book_line(&mut self, line: &str, process: &str) -> Option<()> {
        let line: Value = serde_json::from_str(line).ok()?;
        let at = line["at_us"].as_i64()?;
        let text = |this: &mut Self, name: &str| line[name].as_str().map(|text| this.name(text));
        let what = match line["what"].as_str()? {
            "try" => What::Try(Try::deserialize(&line).ok()?),
            "request" => What::Request(Request::deserialize(&line).ok()?),
            "came" => What::Came {
                endpoint: text(self, "endpoint")?,
                id: text(self, "id")?,
                draining: line["draining"].as_bool()?,
                work_us: line["work_us"].as_f64()?,
                cold: line["cold"].as_bool()?,
                capacity: line["capacity"].as_f64()?,
                slow: line["slow"].as_bool()?,
            },
            "ran" => {
                let (endpoint, id) = (text(self, "endpoint")?, text(self, "id")?);
                What::Ran { endpoint, id, key: text(self, "key") }
            }
            "directory" => What::Directory {
                view: line["view"].as_u64().map(|view| view as usize),
                event: text(self, "event")?,
                version: line["version"].as_u64(),
            },
            became => What::Became { endpoint: text(self, "endpoint")?, became: self.name(became) },
        };
        self.add(at, process, 0, what);
        Some(())
    }

    /// Puts it in order; of one moment, in the order in which it was read.
    pub fn order(&mut self) {
        self.entries.sort_by_key(|entry| entry.at);
        self.names.clear();
    }

    /// Writes it out, a JSON object a line.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        for entry in &self.entries {
            serde_json::to_writer(&mut file, entry)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
