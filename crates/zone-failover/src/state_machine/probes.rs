//! Probes of a hall that is left, or of a way that is cut: whose turn it is, and what they come to.

use super::*;

/// Probes of a hall that is left, or of one that some halls' sidecars don't reach.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    /// The last ones, the newest last: whether it was answered.
    pub(super) last: Vec<bool>,
    pub(super) by: BTreeSet<String>,
    pub(super) next: Duration,
}

impl ZoneStateMachine {
    /// Has a hall that is left probed, by a few whose turn it is: of one hall, or of all.
    pub(super) fn probe(
        &mut self,
        now: Duration,
        from: &str,
        to: &str,
        world: &Environment,
        wants: &mut Vec<Effect>,
    ) {
        let probes = self.probes.entry((from.to_owned(), to.to_owned())).or_default();
        if now < probes.next {
            return;
        }
        let apart = Duration::from_secs_f64(f64::from(PROBES_EACH) / self.settings.probes_per_s);
        // Once it answers, whether it goes on to is seen soon.
        let answers = probes.last.last() == Some(&true);
        probes.next = now + if answers { apart / ANSWERING } else { apart };
        let callers = self.callers(world, to);
        let zones: Vec<&Vec<&String>> = callers
            .iter()
            .filter(|(zone, _)| from.is_empty() || **zone == from)
            .map(|(_, names)| names)
            .collect();
        let Some(names) = zones.get(world.turn as usize % zones.len().max(1)) else { return };
        for name in turn(names, world.turn / zones.len() as u64, 1) {
            let (sidecar, zone) = (name.to_string(), to.to_owned());
            wants.push(Effect::Probe { sidecar, zone, count: PROBES_EACH });
        }
    }
}

impl Probes {
    pub(super) fn saw(&mut self, name: &str, there: u32, not_there: u32, most: usize) {
        let new = std::iter::repeat_n(true, there.min(16) as usize)
            .chain(std::iter::repeat_n(false, not_there.min(16) as usize));
        self.last.extend(new);
        let over = self.last.len().saturating_sub(most);
        self.last.drain(..over);
        if there > 0 {
            self.by.insert(name.to_owned());
        }
    }

    /// Whether enough of the last are answered, by enough sidecars: how many of how many.
    pub(super) fn good(&self, wanted: usize, sidecars: usize) -> Option<(usize, usize)> {
        let there = self.last.iter().filter(|there| **there).count();
        // A hall of which less than two fifths answer is not back yet.
        let enough = there >= wanted && there * 5 >= self.last.len() * 2;
        // The newest ones answer: what was lost before it came back speaks no more.
        let newest = self.last.iter().rev().take(wanted).filter(|there| **there).count();
        (enough && newest * 5 >= wanted * 2 && self.by.len() >= sidecars.max(1))
            .then_some((there, self.last.len()))
    }

    /// The part of the last ones that is answered.
    pub(super) fn answered(&self) -> f64 {
        let there = self.last.iter().filter(|there| **there).count();
        there as f64 / self.last.len().max(1) as f64
    }
}

/// So many of these whose turn it is.
pub(super) fn turn<'a>(
    names: &'a [&'a String],
    turn: u64,
    count: usize,
) -> impl Iterator<Item = &'a String> {
    let begin = (turn as usize).wrapping_mul(count) % names.len().max(1);
    names.iter().copied().cycle().skip(begin).take(count.min(names.len()))
}
