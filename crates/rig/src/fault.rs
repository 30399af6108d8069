//! What can go wrong in a rig: each kind with the fields that it needs and those that it may have.

use crate::spec::{Problems, RigSpec};
use curlewhub_config::units::{Size, Span};
use curlewhub_fault_schedule::{Call, Errno};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nothing passes between two sides: it is lost, or with `reset` connections break.
    Cut,
    /// What passes between two sides is late, lost in part, doubled, out of order or slow.
    Degrade,
    /// What passes between two sides stops in the middle of a message.
    Stall,
    /// Each connection between two sides breaks after so many bytes.
    CutAfter,
    /// Endpoints end: connections break and new ones are refused; they come back cold.
    Die,
    /// Endpoints answer nobody any more, as a machine that has lost its power: nothing is refused either.
    Silent,
    /// What crosses the border of a hall or region is lost; inside all goes on.
    CutOff,
    /// Endpoints work so many times slower.
    Slow,
    /// `silent`, or `die`, on and off.
    Flap,
    /// The list says that endpoints drain.
    Drain,
    /// The list no longer has endpoints.
    Remove,
    /// Endpoints take requests and answer none.
    Hang,
    /// A part of the requests ends with the connection reset, after they have come whole.
    Reset,
    /// A part of the answers is noise.
    Spoil,
    /// Discovery is down.
    DiscoveryDown,
    /// Discovery leaves a part of each whole list out.
    DiscoveryShort,
    /// Discovery breaks off each answer half way.
    DiscoveryCut,
    /// Discovery takes calls and says nothing, nor on watches that are open.
    DiscoverySilent,
    /// Discovery refuses each call.
    DiscoveryRefuses,
    /// Sidecars get new configurations, each of which names another address of discovery's.
    Reload,
    /// Processes are killed, and started again at the end.
    Kill,
    /// Processes are killed while they write a file of their state, and started again at the end.
    KillWriting,
    /// Processes are told to end, and started again at the end.
    End,
    /// Processes stand still, and go on at the end.
    Pause,
    /// Processes are killed and started again at once, with their state as it is, without it, torn or old.
    Restart,
    /// Sidecars are replaced one after another by successors that take over from them.
    Roll,
    /// No file of the processes may grow: their disk is full.
    StateFull,
    /// The processes' state folder can't be written to.
    StateUnwritable,
    /// System calls of the processes on sockets fail.
    SystemCall,
    /// System calls of the processes carry fewer bytes than were asked for.
    ShortIo,
    /// System calls of the processes on files of their state fail, or with `bytes` one write is torn by a kill.
    Disk,
    /// The processes' wall clock is ahead or behind; their monotonic clock is not.
    ClockStep,
}

/// Connections, by who made them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Connections {
    /// Those that the process has accepted.
    Accepted,
    /// Those that it has made.
    Made,
}

/// What a restarted process finds of its state.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StateIs {
    /// What it has left.
    #[default]
    Keep,
    /// Nothing.
    Lost,
    /// Its files, each cut off half way.
    Torn,
    /// Its files as they were at the start of the run.
    Old,
}

/// A fault of the schedule.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When it begins, from when requests begin to come.
    pub at: Span,
    /// It ends after this long; without it, it stays.
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    pub lasts: Option<Span>,
    /// What goes wrong.
    pub what: Kind,
    /// With what: halls, regions, groups, `group@hall`, processes or endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<String>,
    /// One side of a link ...
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub from: Vec<String>,
    /// ... and the other.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<String>,
    /// Only what goes from the one to the other is struck, and nothing that comes back; for `cut_off`, only what goes out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub one_way: Option<bool>,
    /// Connections break instead of falling silent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reset: Option<bool>,
    /// This part of what `on` names, drawn from the seed; all where nothing is said.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Everything takes so much longer, each way ...
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay: Option<Span>,
    /// ... and up to this much beyond that.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter: Option<Span>,
    /// This part is lost, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loss: Option<f64>,
    /// This part comes twice, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub duplicate: Option<f64>,
    /// This part is overtaken by what follows it, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reorder: Option<f64>,
    /// So much passes a second on each connection.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<Size>,
    /// So many bytes pass first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes: Option<u64>,
    /// So many times slower, over 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// This part of the requests, answers or entries, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// On and off for this long each.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub every: Option<Span>,
    /// What flaps: `silent`, or `die`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub of: Option<Kind>,
    /// What a restarted process finds of its state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<StateIs>,
    /// A restarted process is started only after this long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub starts: Option<Span>,
    /// One begins this long after the one before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub apart: Option<Span>,
    /// All are replaced so many times over, one round after another.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rounds: Option<u32>,
    /// Restarted sidecars are this build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Laid over the configuration of restarted sidecars.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set: Option<toml::Table>,
    /// The system calls that are struck.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub calls: Vec<Call>,
    /// The error that they fail with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub errno: Option<Errno>,
    /// Each n-th of them is struck.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nth: Option<u64>,
    /// No more of them than this are struck in each process.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
    /// Only those on such connections are struck.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<Connections>,
    /// The wall clock is so much ahead ...
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ahead: Option<Span>,
    /// ... or behind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub behind: Option<Span>,
}

/// The smallest and the largest step of a clock: a smaller one can't be told from the stamps of a log out of order.
const CLOCK_STEP: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(24 * 3600));

/// What a kind's `on` may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strikes {
    /// Links, by `from` and `to`.
    Links,
    /// Endpoints.
    Endpoints,
    /// The border of halls and regions.
    Borders,
    /// Discovery itself.
    Discovery,
    /// Processes.
    Processes,
    /// Sidecars alone.
    Sidecars,
}

/// The fields that a kind needs, and those that it may have beside `at`, `for` and `what`.
struct Fields(&'static [&'static str], &'static [&'static str]);

impl Kind {
    /// What it strikes.
    pub fn strikes(self) -> Strikes {
        match self {
            Kind::Cut | Kind::Degrade | Kind::Stall | Kind::CutAfter => Strikes::Links,
            Kind::Die | Kind::Silent | Kind::Slow | Kind::Flap | Kind::Drain | Kind::Remove => {
                Strikes::Endpoints
            }
            Kind::Hang | Kind::Reset | Kind::Spoil => Strikes::Endpoints,
            Kind::CutOff => Strikes::Borders,
            Kind::DiscoveryDown | Kind::DiscoveryShort | Kind::DiscoveryCut => Strikes::Discovery,
            Kind::DiscoverySilent | Kind::DiscoveryRefuses => Strikes::Discovery,
            Kind::Roll | Kind::Reload => Strikes::Sidecars,
            Kind::Kill | Kind::KillWriting | Kind::End | Kind::Pause | Kind::Restart => Strikes::Processes,
            Kind::StateFull | Kind::StateUnwritable => Strikes::Processes,
            Kind::SystemCall | Kind::ShortIo | Kind::Disk | Kind::ClockStep => Strikes::Processes,
        }
    }

    fn fields(self) -> Fields {
        const RESTART: &[&str] = &["part", "state", "starts", "program", "set"];
        match self {
            Kind::Cut => Fields(&["from", "to"], &["one_way", "reset"]),
            Kind::Degrade => Fields(
                &["from", "to"],
                &["one_way", "delay", "jitter", "loss", "duplicate", "reorder", "rate"],
            ),
            Kind::Stall => Fields(&["from", "to"], &["one_way"]),
            Kind::CutAfter => Fields(&["from", "to", "bytes"], &[]),
            Kind::Die | Kind::Silent | Kind::Drain | Kind::Remove | Kind::Hang => {
                Fields(&["on"], &["part"])
            }
            Kind::Slow => Fields(&["on", "factor"], &["part"]),
            Kind::Reset | Kind::Spoil => Fields(&["on", "share"], &["part"]),
            Kind::Flap => Fields(&["on", "every", "for"], &["part", "of"]),
            Kind::CutOff => Fields(&["on"], &["one_way", "reset"]),
            Kind::DiscoveryDown | Kind::DiscoveryCut => Fields(&[], &[]),
            Kind::DiscoverySilent | Kind::DiscoveryRefuses => Fields(&[], &[]),
            Kind::Reload => Fields(&["on"], &["part", "apart", "rounds"]),
            Kind::DiscoveryShort => Fields(&["share"], &[]),
            Kind::Kill | Kind::KillWriting | Kind::End => Fields(&["on"], RESTART),
            Kind::Pause | Kind::StateFull | Kind::StateUnwritable => Fields(&["on"], &["part"]),
            Kind::Restart => Fields(&["on"], RESTART),
            Kind::Roll => Fields(&["on"], &["part", "apart", "rounds", "program", "set"]),
            Kind::SystemCall => {
                Fields(&["on", "for", "calls", "errno"], &["part", "nth", "share", "count", "connections"])
            }
            Kind::ShortIo => {
                Fields(&["on", "for", "bytes"], &["part", "calls", "nth", "share", "count", "connections"])
            }
            Kind::Disk => {
                Fields(&["on", "for"], &["part", "calls", "errno", "bytes", "nth", "share", "count"])
            }
            Kind::ClockStep => Fields(&["on", "for"], &["part", "ahead", "behind"]),
        }
    }
}

impl FaultSpec {
    /// A fault of this kind with nothing else said.
    pub fn new(what: Kind, at: Span, lasts: Option<Span>) -> FaultSpec {
        let (on, from, to) = Default::default();
        let (one_way, reset, part, delay, jitter, loss, duplicate) = Default::default();
        let (reorder, rate, bytes, factor, share, every, of) = Default::default();
        let (state, starts, apart, rounds, program, set) = Default::default();
        let (calls, errno, nth, count, connections, ahead, behind) = Default::default();
        FaultSpec {
            at,
            lasts,
            what,
            on,
            from,
            to,
            one_way,
            reset,
            part,
            delay,
            jitter,
            loss,
            duplicate,
            reorder,
            rate,
            bytes,
            factor,
            share,
            every,
            of,
            state,
            starts,
            apart,
            rounds,
            program,
            set,
            calls,
            errno,
            nth,
            count,
            connections,
            ahead,
            behind,
        }
    }

    /// Whether a place is lost by it, so that sidecars should leave it.
    pub fn loses_a_place(&self) -> bool {
        matches!(self.what, Kind::Die | Kind::Silent | Kind::CutOff | Kind::Flap | Kind::Hang | Kind::Slow)
    }

    /// The fields that it has.
    fn given(&self) -> Vec<&'static str> {
        let all = [
            ("for", self.lasts.is_some()),
            ("on", !self.on.is_empty()),
            ("from", !self.from.is_empty()),
            ("to", !self.to.is_empty()),
            ("one_way", self.one_way.is_some()),
            ("reset", self.reset.is_some()),
            ("part", self.part.is_some()),
            ("delay", self.delay.is_some()),
            ("jitter", self.jitter.is_some()),
            ("loss", self.loss.is_some()),
            ("duplicate", self.duplicate.is_some()),
            ("reorder", self.reorder.is_some()),
            ("rate", self.rate.is_some()),
            ("bytes", self.bytes.is_some()),
            ("factor", self.factor.is_some()),
            ("share", self.share.is_some()),
            ("every", self.every.is_some()),
            ("of", self.of.is_some()),
            ("state", self.state.is_some()),
            ("starts", self.starts.is_some()),
            ("apart", self.apart.is_some()),
            ("rounds", self.rounds.is_some()),
            ("program", self.program.is_some()),
            ("set", self.set.is_some()),
            ("calls", !self.calls.is_empty()),
            ("errno", self.errno.is_some()),
            ("nth", self.nth.is_some()),
            ("count", self.count.is_some()),
            ("connections", self.connections.is_some()),
            ("ahead", self.ahead.is_some()),
            ("behind", self.behind.is_some()),
        ];
        all.into_iter().filter(|(_, given)| *given).map(|(field, _)| field).collect()
    }

    /// All that makes no sense of it.
    pub(crate) fn problems(&self, n: usize, spec: &RigSpec, p: &mut Problems) {
        let at = |field: &str| format!("faults[{n}].{field}");
        let kind = format!("{:?}", self.what);
        let (Fields(needed, allowed), given) = (self.what.fields(), self.given());
        for field in needed.iter().filter(|field| !given.contains(field)) {
            p.wants(false, at(field), &format!("something: {kind} needs it"));
        }
        for field in given.iter().filter(|f| **f != "for" && !needed.contains(f) && !allowed.contains(f)) {
            p.wants(false, at(field), &format!("not for {kind}"));
        }
        let at_once = matches!(self.what, Kind::Restart | Kind::Roll | Kind::Reload);
        p.wants(!(at_once && self.lasts.is_some()), at("for"), "not for what happens at once");
        let end = self.at.0 + self.lasts.unwrap_or_default().0;
        p.wants(self.at < spec.lasts, at("at"), "before the end (`lasts`)");
        p.wants(self.at >= spec.lasts || end <= spec.lasts.0, at("for"), "to end by the end (`lasts`)");
        for (field, part) in [
            ("part", self.part),
            ("loss", self.loss),
            ("duplicate", self.duplicate),
            ("reorder", self.reorder),
            ("share", self.share),
        ] {
            p.wants(part.is_none_or(|part| part > 0.0 && part <= 1.0), at(field), "over 0, up to 1");
        }
        p.wants(self.factor.is_none_or(|f| f > 1.0 && f <= 1e3), at("factor"), "over 1, up to 1000");
        p.wants(self.every.is_none_or(|every| every.0.as_millis() >= 100), at("every"), "100ms or more");
        p.wants(self.rounds.is_none_or(|n| (1..=1000).contains(&n)), at("rounds"), "1 to 1000");
        p.wants(self.rate.is_none_or(|rate| rate.0 > 0), at("rate"), "over 0");
        self.injection_problems(n, p);
        let flaps = self.of.is_none_or(|of| matches!(of, Kind::Silent | Kind::Die));
        p.wants(flaps, at("of"), "silent or die");
        let there = self.program.as_ref().is_none_or(|path| path.is_file());
        p.wants(there, at("program"), "a program that is there");
        for (field, names) in [("on", &self.on), ("from", &self.from), ("to", &self.to)] {
            for name in names {
                let known = spec.knows(name);
                p.wants(known, at(field), &format!("what is there, and `{name}` is not"));
                if field == "on" && known {
                    let fits = spec.fits(name, self.what.strikes());
                    p.wants(fits, at(field), &format!("what {kind} can befall, and that is not `{name}`"));
                }
            }
        }
        let apart = self.from.iter().all(|name| !self.to.contains(name));
        p.wants(apart, at("to"), "another side than `from`: nothing passes a relay on its way to itself");
    }
}

impl FaultSpec {
    /// All that makes no sense of one that is brought about in a process's own system calls.
    fn injection_problems(&self, n: usize, p: &mut Problems) {
        let at = |field: &str| format!("faults[{n}].{field}");
        p.wants(self.nth.is_none() || self.share.is_none(), at("nth"), "this, or `share`");
        p.wants(self.count.is_none_or(|count| count > 0), at("count"), "1 or more");
        match self.what {
            Kind::SystemCall | Kind::ShortIo => {
                let on_sockets = self.calls.iter().all(|call| !call.is_on_files());
                p.wants(on_sockets, at("calls"), "calls on sockets: `disk` strikes those on files");
            }
            Kind::Disk => {
                let one = self.errno.is_some() != self.bytes.is_some();
                p.wants(one, at("errno"), "this, or `bytes` for a torn write");
                let on_files = self.calls.iter().all(|call| call.is_on_files());
                p.wants(on_files, at("calls"), "calls on files: `system_call` strikes those on sockets");
            }
            Kind::ClockStep => {
                let one = self.ahead.is_some() != self.behind.is_some();
                p.wants(one, at("ahead"), "this, or `behind`");
                let by = self.ahead.or(self.behind).unwrap_or(Span(CLOCK_STEP.0));
                p.wants((CLOCK_STEP.0..=CLOCK_STEP.1).contains(&by.0), at("ahead"), "1s to 24h");
            }
            _ => return,
        }
        // What breaks a client's own connection is owed to nobody, which no check could tell from a loss.
        let breaks = self.errno.is_some_and(|errno| errno != Errno::Eintr)
            && self.calls.iter().any(|call| matches!(call, Call::Recv | Call::Send));
        let spares_clients = !breaks || self.connections == Some(Connections::Made);
        p.wants(spares_clients, at("connections"), "made, for an error that breaks connections");
        for problem in crate::injection::problems(self) {
            p.wants(false, at(problem.field), &problem.allowed);
        }
    }
}

impl RigSpec {
    /// Whether a name stands for something.
    fn knows(&self, name: &str) -> bool {
        let (group, hall) = name.split_once('@').map_or((name, None), |(group, hall)| (group, Some(hall)));
        let halls = self.halls();
        let is_hall = |name: &str| halls.iter().any(|(hall, _)| hall == name);
        if let Some(hall) = hall {
            return self.is_group(group) && is_hall(hall);
        }
        is_hall(name)
            || self.regions.iter().any(|region| region.name == name)
            || self.is_group(name)
            || crate::plan::members(self).iter().any(|member| member.name == name)
    }

    fn is_group(&self, name: &str) -> bool {
        matches!(name, "discovery" | "standins")
            || self.sidecars.iter().any(|g| g.name == name)
            || self.endpoints.iter().any(|g| g.name == name)
            || self.processes.iter().any(|g| g.name == name)
    }

    /// Whether something that a name stands for can be struck so.
    fn fits(&self, name: &str, strikes: Strikes) -> bool {
        use crate::plan::Role;
        let place = self.halls().iter().any(|(hall, region)| hall == name || region == name);
        let members = crate::plan::members(self);
        let mut named = members.iter().filter(|member| member.is(name));
        match strikes {
            Strikes::Links => true,
            Strikes::Borders => place,
            Strikes::Discovery => false,
            Strikes::Endpoints => named.any(|member| member.role == Role::Endpoint),
            Strikes::Sidecars => named.any(|member| member.role == Role::Sidecar),
            Strikes::Processes => named.any(|member| member.role != Role::Endpoint),
        }
    }
}
