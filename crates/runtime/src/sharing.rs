//! Sharing with the processes beside this one: tells them what this one needs, and moves parts between their modules
//! and this one's. How many parts move is decided in `curlewhub-share`; what goes along with them is the module's.

use crate::events::Said;
use curlewhub_balance::{Action, Balancer};
use curlewhub_share::Shares;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// How often a process looks at what it needs, while another is beside it: well within the 250 ms in which parts
/// are to follow, and a few lines a second.
const EVERY: Duration = Duration::from_millis(20);
/// Requests that came within so many looks count as needed: half a second of them.
const LOOKS: usize = 25;
/// One from before that does not answer in parts by then does not know of them.
const ANSWERS_WITHIN: Duration = Duration::from_millis(600);

/// A process beside this one.
struct Beside {
    say: Box<dyn Fn(Said)>,
    /// What it was last told that this one needs.
    told: Option<u32>,
    /// When it came, where it has said nothing yet.
    unheard_since: Option<Instant>,
    /// It was there before: it holds all.
    before: bool,
}

/// What this process holds, and whom it tells.
#[derive(Default)]
pub struct Sharing {
    shares: Shares,
    beside: HashMap<u64, Beside>,
    /// Requests that came, by look; the last is still counted.
    came: VecDeque<u32>,
    look_at: Option<Instant>,
}

impl Sharing {
    /// Another process is there.
    pub fn beside(
        &mut self,
        link: u64,
        before: bool,
        say: Box<dyn Fn(Said)>,
        now: Duration,
        balancer: &mut Balancer,
    ) {
        if before {
            self.shares.predecessor(link);
            balancer.holds_nothing(now);
        } else {
            self.shares.successor(link);
        }
        let unheard_since = Some(Instant::now());
        self.beside.insert(link, Beside { say, told: None, unheard_since, before });
        self.look_at = unheard_since;
    }

    /// It says something.
    pub fn hears(
        &mut self,
        link: u64,
        said: Said,
        now: Duration,
        balancer: &mut Balancer,
        out: &mut Vec<Action>,
    ) {
        // Its first word is answered at once: a successor starts by what it is given then.
        if self.beside.get_mut(&link).and_then(|other| other.unheard_since.take()).is_some() {
            self.look_at = Some(Instant::now());
        }
        let taken = match &said {
            Said::Need(need) => self.shares.needs(link, *need),
            Said::Give(parts, _) => self.shares.gets(link, *parts),
        };
        match (taken, said) {
            (Ok(()), Said::Give(_, portion)) => {
                balancer.gains(now, self.shares.share(), Some(&portion), out)
            }
            (Ok(()), Said::Need(_)) => {}
            (Err(wrong), _) => warn!(link, %wrong, "sharing: not taken"),
        }
    }

    /// It has gone; this process may itself be `ending`.
    pub fn left(
        &mut self,
        link: u64,
        ending: bool,
        now: Duration,
        balancer: &mut Balancer,
        out: &mut Vec<Action>,
    ) {
        self.beside.remove(&link);
        let back = self.shares.gone(link, ending);
        if back > 0 {
            balancer.gains(now, self.shares.share(), None, out);
        }
        info!(back, parts = self.shares.own(), "sharing: the other process has gone");
        if self.beside.is_empty() {
            (self.look_at, self.came) = Default::default();
        }
    }

    /// A request has come.
    pub fn came(&mut self) {
        if let Some(now) = self.came.back_mut() {
            *now += 1;
        }
    }

    /// When it wants to look next.
    pub fn next(&self) -> Option<Instant> {
        self.look_at
    }

    /// Looks, if it is time: tells the others what this process needs with so many requests open, and gives what
    /// it does not.
    pub fn look(&mut self, open: usize, now: Duration, balancer: &mut Balancer, out: &mut Vec<Action>) {
        if self.look_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.look_at = Some(Instant::now() + EVERY);
        let need = u32::try_from(open).unwrap_or(u32::MAX).saturating_add(self.came.iter().sum());
        self.came.push_back(0);
        if self.came.len() > LOOKS {
            self.came.pop_front();
        }
        for (link, other) in &mut self.beside {
            if other.told != Some(need) {
                other.told = Some(need);
                (other.say)(Said::Need(need));
            }
            if let Some(parts) = self.shares.gives(*link, need) {
                (other.say)(Said::Give(parts, balancer.gives(now, self.shares.share())));
            }
        }
        // An older version says nothing of parts, and goes on with all.
        let silent = |other: &Beside| {
            other.before && other.unheard_since.is_some_and(|at| at.elapsed() > ANSWERS_WITHIN)
        };
        let silent: Vec<u64> =
            self.beside.iter().filter(|(_, o)| silent(o)).map(|(link, _)| *link).collect();
        for link in silent {
            warn!("sharing: the process before does not share; both go on with all");
            self.left(link, false, now, balancer, out);
        }
    }

    /// Whether another process is beside this one.
    pub fn is_beside(&self) -> bool {
        self.shares.beside()
    }

    /// Parts that this process holds.
    pub fn parts(&self) -> u32 {
        self.shares.own()
    }
}
