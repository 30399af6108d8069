//! Sharing with the processes beside this one: tells them what this one needs, and moves parts between their modules
//! and this one's. How many parts move is decided in `curlewhub-overlap-quota`; what goes along with them is the module's.

use crate::events::Said;
use curlewhub_balance::{Action, Balancer};
use curlewhub_overlap_quota::{LOOK_EVERY, Need, Shares};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// One from before that does not answer in parts by then does not know of them.
const ANSWERS_WITHIN: Duration = Duration::from_millis(600);
/// Each says what it needs at least this often, changed or not.
const SAYS_EVERY: Duration = Duration::from_millis(100);
/// One that has said nothing for so long is stopped or hung: what it holds is of use to nobody. Should it go on later,
/// both have all, as with one that knows of no parts.
const SILENT_MOST: Duration = Duration::from_millis(500);

/// The module, and what it then wants done.
pub struct Module<'a> {
    /// The module's clock.
    pub now: Duration,
    /// The module.
    pub balancer: &'a mut Balancer,
    /// What it wants done.
    pub out: &'a mut Vec<Action>,
}

/// A process beside this one.
struct Beside {
    say: Box<dyn Fn(Said)>,
    /// What it was last told that this one needs, and when.
    told: Option<(u32, Instant)>,
    /// When it last said something; when it came, where it has said nothing yet.
    heard_at: Instant,
    /// It has said something.
    heard: bool,
    /// It was there before: it holds all.
    before: bool,
}

/// What this process holds, and whom it tells.
#[derive(Default)]
pub struct Sharing {
    shares: Shares,
    beside: HashMap<u64, Beside>,
    /// Connections to other processes, those that share no more among them.
    links: HashSet<u64>,
    need: Need,
    look_at: Option<Instant>,
}

impl Sharing {
    /// Another process is there.
    pub fn beside(&mut self, link: u64, before: bool, say: Box<dyn Fn(Said)>, module: &mut Module<'_>) {
        if before {
            self.shares.predecessor(link);
            module.balancer.holds_nothing(module.now);
        } else {
            self.shares.successor(link);
        }
        let heard_at = Instant::now();
        self.links.insert(link);
        self.beside.insert(link, Beside { say, told: None, heard_at, heard: false, before });
        self.look_at = Some(heard_at);
    }

    /// It says something.
    pub fn hears(&mut self, link: u64, said: Said, module: &mut Module<'_>) {
        if let Some(other) = self.beside.get_mut(&link) {
            other.heard_at = Instant::now();
            // Its first word is answered at once: a successor starts by what it is given then.
            if !std::mem::replace(&mut other.heard, true) {
                self.look_at = Some(other.heard_at);
            }
        }
        let taken = match &said {
            Said::Need(need) => self.shares.needs(link, *need),
            Said::Give(parts, _) => self.shares.gets(link, *parts),
        };
        match (taken, said) {
            (Ok(()), Said::Give(_, portion)) => {
                module.balancer.gains(module.now, self.shares.share(), Some(&portion), module.out)
            }
            (Ok(()), Said::Need(_)) => {}
            (Err(wrong), _) => warn!(link, %wrong, "sharing: not taken"),
        }
    }

    /// It has gone; this process may itself be `ending`.
    pub fn left(&mut self, link: u64, ending: bool, module: &mut Module<'_>) {
        self.links.remove(&link);
        self.let_go(link, ending, module);
        info!(parts = self.shares.own(), "sharing: the other process has gone");
    }

    /// Counts on it no longer: what it held is this process's again.
    fn let_go(&mut self, link: u64, ending: bool, module: &mut Module<'_>) {
        self.beside.remove(&link);
        let back = self.shares.gone(link, ending);
        if back > 0 {
            module.balancer.gains(module.now, self.shares.share(), None, module.out);
        }
        if self.beside.is_empty() {
            (self.look_at, self.need) = Default::default();
        }
    }

    /// A request has come.
    pub fn came(&mut self) {
        self.need.came();
    }

    /// When it wants to look next.
    pub fn next(&self) -> Option<Instant> {
        self.look_at
    }

    /// Looks, if it is time: tells the others what this process needs with so many requests open, and gives what
    /// it does not.
    pub fn look(&mut self, open: usize, module: &mut Module<'_>) {
        if self.look_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.look_at = Some(Instant::now() + LOOK_EVERY);
        let need = self.need.look(open);
        for (link, other) in &mut self.beside {
            if other.told.is_none_or(|(told, at)| told != need || at.elapsed() >= SAYS_EVERY) {
                other.told = Some((need, Instant::now()));
                (other.say)(Said::Need(need));
            }
            if let Some(parts) = self.shares.gives(*link, need) {
                (other.say)(Said::Give(parts, module.balancer.gives(module.now, self.shares.share())));
            }
        }
        self.drop_silent(module);
    }

    /// Goes on without those that say nothing.
    fn drop_silent(&mut self, module: &mut Module<'_>) {
        let silent = |other: &Beside| match (other.heard, other.before) {
            (true, _) => other.heard_at.elapsed() > SILENT_MOST,
            // An older version says nothing of parts, and goes on with all.
            (false, true) => other.heard_at.elapsed() > ANSWERS_WITHIN,
            // A successor holds nothing before it has said something.
            (false, false) => false,
        };
        let silent: Vec<u64> =
            self.beside.iter().filter(|(_, o)| silent(o)).map(|(link, _)| *link).collect();
        for link in silent {
            warn!("sharing: the other process does not share, or not any more; both go on with all");
            self.let_go(link, false, module);
        }
    }

    /// Whether another process is beside this one.
    pub fn is_beside(&self) -> bool {
        !self.links.is_empty()
    }

    /// Parts that this process holds.
    pub fn parts(&self) -> u32 {
        self.shares.own()
    }
}
