//! Faults of processes and the network, and their end.

use super::Fleet;
use super::node::Disk;
use crate::network::{Network, Scope};

/// A fault of one process, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends at once; its disk keeps what was written.
    Crash,
    /// The process ends at once and its disk is emptied, except for its incarnation.
    LoseDisk,
    /// The process stands still; messages that arrive meanwhile are processed after it resumes.
    Pause,
    /// A paused process resumes, and one that has ended is started again.
    Recover,
}

impl Fleet {
    /// Applies a fault to a process.
    pub fn inject(&mut self, n: usize, fault: Fault) {
        let node = &mut self.nodes[n];
        match fault {
            Fault::Crash => node.process = None,
            Fault::LoseDisk => {
                node.process = None;
                let incarnation = node.disk.incarnation;
                node.disk = Disk { incarnation, ..Disk::default() };
            }
            Fault::Pause => node.paused = node.process.is_some(),
            Fault::Recover if node.process.is_none() => self.start(n),
            Fault::Recover => {
                node.paused = false;
                self.schedule_wakeup(n);
            }
        }
    }

    /// Ends all faults: nothing is cut, lost or reordered any more, and all processes run.
    pub fn recover_all(&mut self) {
        self.network = Network { delays: self.network.delays, ..Network::default() };
        self.crash_after_write = 0.0;
        (0..self.count()).for_each(|n| self.inject(n, Fault::Recover));
    }

    /// Cuts the path from one scope to the other, in this direction alone.
    pub fn cut(&mut self, from: Scope, to: Scope) {
        self.network.cuts.insert((from, to));
    }
}
