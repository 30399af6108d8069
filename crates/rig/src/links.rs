//! What holds for each link now, worked out anew from all faults that hold.

use crate::fault::{FaultSpec, Kind};
use crate::plan::Side;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What befalls what passes one way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes.
    pub cut: bool,
    /// It stops in the middle of a message.
    pub stalls: bool,
    /// It takes so much longer ...
    pub delay: Duration,
    /// ... and up to this much beyond that.
    pub jitter: Duration,
    /// This part is lost.
    pub loss: f64,
    /// This part comes twice.
    pub duplicate: f64,
    /// This part is overtaken.
    pub reorder: f64,
    /// Bytes a second on each connection.
    pub rate: Option<u64>,
}

/// What holds for a link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Link {
    /// Who listens there has ended: new connections are refused.
    pub closed: bool,
    /// Connections break, and new ones at once.
    pub reset: bool,
    /// Each connection breaks after so many bytes.
    pub cut_after: Option<u64>,
    /// From the site to the port.
    pub forth: Way,
    /// From the port to the site.
    pub back: Way,
}

impl Link {
    /// Whether no new connection can come up, since one way or the other is lost.
    pub fn is_dark(&self) -> bool {
        !self.reset && (self.forth.cut || self.back.cut)
    }
}

/// The faults that hold, and whose ports are closed.
#[derive(Debug, Default)]
pub struct Holding {
    faults: BTreeMap<(usize, usize), FaultSpec>,
    /// Members whose ports refuse; counted, since several faults may close one.
    closed: BTreeMap<String, usize>,
    /// Endpoints that answer nobody, by the fault that has it so.
    silent: BTreeMap<(usize, usize), BTreeSet<String>>,
}

impl Holding {
    /// A fault of links or borders begins; `time` tells the times of a flapping one apart.
    pub fn begin(&mut self, fault: (usize, usize), spec: &FaultSpec) {
        self.faults.insert(fault, spec.clone());
    }

    /// These endpoints answer nobody any more.
    pub fn silence(&mut self, fault: (usize, usize), endpoints: BTreeSet<String>) {
        self.silent.insert(fault, endpoints);
    }

    /// It is over.
    pub fn end(&mut self, fault: (usize, usize)) {
        self.faults.remove(&fault);
        self.silent.remove(&fault);
    }

    /// A member has ended, or listens again.
    pub fn closed(&mut self, name: &str, closed: bool) {
        let count = self.closed.entry(name.to_owned()).or_default();
        *count = if closed { *count + 1 } else { count.saturating_sub(1) };
    }

    /// What holds for the link from a site to a member's port.
    pub fn link(&self, from: &Side, to: &Side) -> Link {
        let mut link =
            Link { closed: self.closed.get(&to.name).is_some_and(|n| *n > 0), ..Link::default() };
        if self.silent.values().any(|names| names.contains(&to.name)) {
            (link.forth.cut, link.back.cut) = (true, true);
        }
        for fault in self.faults.values() {
            let one_way = fault.one_way == Some(true);
            let (forth, back) = match fault.what {
                // Out of a place is lost what comes from inside it; one way, that alone.
                Kind::CutOff => {
                    let (inside, there) = (from.is_one_of(&fault.on), to.is_one_of(&fault.on));
                    let crosses = inside != there;
                    (crosses && (inside || !one_way), crosses && (there || !one_way))
                }
                _ => {
                    let along = from.is_one_of(&fault.from) && to.is_one_of(&fault.to);
                    let against = from.is_one_of(&fault.to) && to.is_one_of(&fault.from);
                    (along || (against && !one_way), against || (along && !one_way))
                }
            };
            link.strike(fault, forth, back);
        }
        link
    }
}

impl Link {
    fn strike(&mut self, fault: &FaultSpec, forth: bool, back: bool) {
        if !forth && !back {
            return;
        }
        self.reset |= fault.reset == Some(true);
        if let Some(bytes) = fault.bytes {
            self.cut_after = Some(self.cut_after.map_or(bytes, |other| other.min(bytes)));
        }
        for (way, struck) in [(&mut self.forth, forth), (&mut self.back, back)] {
            if struck {
                way.strike(fault);
            }
        }
    }
}

impl Way {
    fn strike(&mut self, fault: &FaultSpec) {
        // What befalls one part independently of another adds up like this.
        let or = |a: f64, b: Option<f64>| 1.0 - (1.0 - a) * (1.0 - b.unwrap_or(0.0));
        self.cut |= matches!(fault.what, Kind::Cut | Kind::CutOff);
        self.stalls |= fault.what == Kind::Stall;
        self.delay += fault.delay.unwrap_or_default().0;
        self.jitter += fault.jitter.unwrap_or_default().0;
        self.loss = or(self.loss, fault.loss);
        self.duplicate = or(self.duplicate, fault.duplicate);
        self.reorder = or(self.reorder, fault.reorder);
        if let Some(rate) = fault.rate {
            self.rate = Some(self.rate.map_or(rate.0, |other| other.min(rate.0)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewhub_config::units::Span;

    fn side(name: &str, group: &str, hall: &str) -> Side {
        let (name, group) = (name.to_owned(), group.to_owned());
        Side { name, group, hall: Some(hall.to_owned()), region: Some("r".to_owned()) }
    }

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|name| (*name).to_owned()).collect()
    }

    fn fault(what: Kind, on: &[&str], from: &[&str], to: &[&str], one_way: bool) -> FaultSpec {
        let spec = FaultSpec::new(what, Span::default(), None);
        FaultSpec { on: names(on), from: names(from), to: names(to), one_way: Some(one_way), ..spec }
    }

    /// Which ways are cut from a site in hall `a` to an endpoint in `a` and one in `b`, and from `b` to the same.
    fn cuts(fault: &FaultSpec) -> Vec<(bool, bool)> {
        let mut holding = Holding::default();
        holding.begin((0, 0), fault);
        let sites = [side("", "edge", "a"), side("", "edge", "b")];
        let ports = [side("print-a-1", "print", "a"), side("print-b-1", "print", "b")];
        let pairs = sites.iter().flat_map(|from| ports.iter().map(move |to| (from, to)));
        let links: Vec<_> = pairs.map(|(from, to)| holding.link(from, to)).collect();
        links.iter().map(|link| (link.forth.cut, link.back.cut)).collect()
    }

    #[test]
    fn a_partition_of_any_shape_is_a_set_of_pairs() {
        const O: (bool, bool) = (false, false);
        const X: (bool, bool) = (true, true);
        // From a to a and b, then from b to a and b.
        let cases: &[(FaultSpec, [(bool, bool); 4])] = &[
            (fault(Kind::Cut, &[], &["a"], &["b"], false), [O, X, X, O]),
            (fault(Kind::Cut, &[], &["a"], &["b"], true), [O, (true, false), (false, true), O]),
            (fault(Kind::Cut, &[], &["edge@a"], &["print-b-1"], false), [O, X, O, O]),
            (fault(Kind::Cut, &[], &["edge"], &["print@b"], true), [O, (true, false), O, (true, false)]),
            (fault(Kind::Cut, &[], &["edge"], &["r"], false), [X, X, X, X]),
            (fault(Kind::CutOff, &["b"], &[], &[], false), [O, X, X, O]),
            (fault(Kind::CutOff, &["b"], &[], &[], true), [O, (false, true), (true, false), O]),
            (fault(Kind::CutOff, &["r"], &[], &[], false), [O, O, O, O]),
            (fault(Kind::Degrade, &[], &["a"], &["b"], false), [O, O, O, O]),
        ];
        for (fault, wanted) in cases {
            assert_eq!(cuts(fault), wanted, "{fault:?}");
        }
    }

    #[test]
    fn faults_overlap_and_end_in_any_order() {
        let (site, port) = (side("", "edge", "a"), side("print-b-1", "print", "b"));
        let mut late = fault(Kind::Degrade, &[], &["a"], &["b"], true);
        (late.delay, late.loss) = (Some(Span(Duration::from_millis(20))), Some(0.5));
        let mut holding = Holding::default();
        holding.begin((0, 0), &late);
        holding.begin((1, 0), &late);
        holding.begin((2, 0), &fault(Kind::Cut, &[], &["a"], &["b"], false));
        holding.silence((3, 0), ["print-b-1".to_owned()].into());
        holding.closed("print-b-1", true);
        holding.closed("print-b-1", true);
        let link = holding.link(&site, &port);
        assert_eq!((link.forth.delay, link.forth.loss), (Duration::from_millis(40), 0.75));
        assert_eq!((link.back.delay, link.closed, link.is_dark()), (Duration::ZERO, true, true));
        holding.end((2, 0));
        holding.closed("print-b-1", false);
        let link = holding.link(&site, &port);
        assert!(link.closed && link.is_dark(), "still silent, and closed by the other");
        holding.end((3, 0));
        holding.end((0, 0));
        holding.closed("print-b-1", false);
        holding.closed("print-b-1", false);
        let link = holding.link(&site, &port);
        assert!(!link.closed && !link.is_dark());
        assert_eq!(link.forth.delay, Duration::from_millis(20));
    }
}
