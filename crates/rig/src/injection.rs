//! Faults in the system calls and the wall clock of the run's processes, by the library that is preloaded into them.

use crate::fault::{Connections, FaultSpec, Kind};
use crate::plan::Plan;
use curlewhub_fault_schedule::{
    Call, Effect, Entry, Injection, InjectionError, Origin, Schedule, Strikes, Switch, Target,
};
use std::path::Path;
use std::process::Command;

/// Calls on files that `disk` strikes where the file names none.
const DISK_CALLS: [Call; 5] = [Call::Open, Call::Write, Call::Fsync, Call::Ftruncate, Call::Rename];
/// Calls that `short_io` strikes where the file names none.
const SHORT_CALLS: [Call; 2] = [Call::Recv, Call::Send];

/// The faults of one process, each switched on and off when its time comes.
#[derive(Debug)]
pub struct Injected {
    injection: Injection,
    /// Of each entry of the schedule, the fault's number in the file.
    faults: Vec<usize>,
}

impl Injected {
    /// Those of a member with this folder of its state; none where no fault of this sort strikes it.
    ///
    /// # Errors
    /// The library is not there, or the schedule's files can't be written beside the folder.
    pub fn new(plan: &Plan, member: usize, state: &Path) -> Result<Option<Injected>, String> {
        let name = &plan.members[member].name;
        let failed = |e: InjectionError| format!("{name}: {e}");
        let state = std::fs::canonicalize(state).map_err(|e| failed(e.into()))?;
        let (mut faults, mut entries) = (Vec::new(), Vec::new());
        for (n, fault) in plan.spec.faults.iter().enumerate() {
            if let Some(entry) = entry(fault, &state).filter(|_| plan.struck[n].contains(&member)) {
                faults.push(n);
                entries.push(entry);
            }
        }
        if entries.is_empty() {
            return Ok(None);
        }
        // A schedule that is never activated: only switches decide.
        let seed = plan.spec.seed.wrapping_add(member as u64);
        let schedule = Schedule { seed, program: None, origin: Origin::Activation, entries };
        let folder = state.parent().unwrap_or(&state);
        let injection = Injection::new(&schedule, folder, name).map_err(failed)?;
        Ok(Some(Injected { injection, faults }))
    }

    /// Prepares the command that starts the process.
    pub fn prepare(&self, command: &mut Command) {
        self.injection.prepare(command);
    }

    /// Switches a fault.
    ///
    /// # Errors
    /// The control file can't be written.
    pub fn switch(&self, fault: usize, on: bool) -> Result<(), InjectionError> {
        let switch = if on { Switch::On } else { Switch::Off };
        for entry in self.entries_of(fault) {
            self.injection.switch(entry, switch)?;
        }
        Ok(())
    }

    /// Calls that a fault has struck; those that can't be read are none.
    pub fn struck(&self, fault: usize) -> u64 {
        self.entries_of(fault).map(|entry| self.injection.struck(entry).unwrap_or_default()).sum()
    }

    fn entries_of(&self, fault: usize) -> impl Iterator<Item = usize> {
        self.faults.iter().enumerate().filter(move |(_, n)| **n == fault).map(|(entry, _)| entry)
    }
}

/// By how much a fault has the wall clock off, in milliseconds, ahead where it is positive.
pub fn clock_offset_ms(fault: &FaultSpec) -> i64 {
    let ahead = fault.ahead.unwrap_or_default().0.as_millis() as i64;
    ahead - fault.behind.unwrap_or_default().0.as_millis() as i64
}

/// A problem of a fault of this sort.
pub struct Problem {
    /// The field of the rig's file.
    pub field: &'static str,
    /// What it may be.
    pub allowed: String,
}

/// All that the schedule itself finds wrong with a fault.
pub fn problems(fault: &FaultSpec) -> Vec<Problem> {
    let entries = entry(fault, Path::new("/state")).into_iter().collect();
    let found = Schedule { entries, ..Schedule::default() }.problems();
    let field = |field: &str| match field {
        "effect" if fault.errno.is_some() => "errno",
        "effect" => "bytes",
        "strikes" => "nth",
        _ => "calls",
    };
    found.into_iter().map(|one| Problem { field: field(one.field), allowed: one.allowed }).collect()
}

/// The entry of a fault in the schedule of a process with this folder; none for a fault of another sort, and for one
/// that lacks a field that it needs.
fn entry(fault: &FaultSpec, state: &Path) -> Option<Entry> {
    let sockets = || match fault.connections {
        None => Target::Any,
        Some(Connections::Accepted) => Target::Accepted,
        Some(Connections::Made) => Target::Connected(Vec::new()),
    };
    let calls =
        |default: &[Call]| if fault.calls.is_empty() { default.to_vec() } else { fault.calls.clone() };
    let (calls, target, effect) = match fault.what {
        Kind::SystemCall => (fault.calls.clone(), sockets(), Effect::Fails(fault.errno?)),
        Kind::ShortIo => (calls(&SHORT_CALLS), sockets(), Effect::Short { bytes: fault.bytes? as usize }),
        Kind::Disk => {
            let below = Target::Below(state.to_owned());
            match fault.bytes {
                Some(bytes) => (calls(&[Call::Write]), below, Effect::Torn { bytes: bytes as usize }),
                None => (calls(&DISK_CALLS), below, Effect::Fails(fault.errno?)),
            }
        }
        Kind::ClockStep => {
            (Vec::new(), Target::Any, Effect::ClockStep { offset_ms: clock_offset_ms(fault) })
        }
        _ => return None,
    };
    let strikes = match (fault.nth, fault.share) {
        (Some(nth), _) => Strikes::EveryNth(nth),
        (None, Some(share)) => Strikes::Share(share),
        (None, None) => Strikes::Each,
    };
    let entry = Entry::new(&calls, effect).on(target).striking(strikes);
    Some(Entry { at_most: fault.count, ..entry })
}
