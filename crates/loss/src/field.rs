//! The mean field: what the fleet comes to as N grows, as differential equations.
//!
//! A server's state is how many of its jobs have one, two and three phases left. The paper tells jobs of a server apart
//! by place; new ones come to any place alike, so states that differ by places alone have equal shares, and one number
//! stands for all of them. Equations (41) to (44).

use crate::CAPACITY;
use crate::service::{PHASES, phase_rate};
use ode_solvers::{DVector, Rk4, System};

const KINDS: usize = PHASES.len();
/// Step of the Runge-Kutta method of order 4, in mean job lengths: a hundredth against rates of up to some twenty. An
/// adaptive method stops at the fixed point, where it takes the equations for stiff.
const STEP: f64 = 0.01;

/// Jobs with one, two and three phases left.
type State = [usize; KINDS];

/// The equations for one load and one number of choices.
#[derive(Clone, Debug)]
pub struct Field {
    lambda: f64,
    choices: f64,
    states: Vec<State>,
    index: Vec<Option<usize>>,
}

/// Shares of the servers by state, over time.
#[derive(Clone, Debug)]
pub struct Path {
    /// Times, in mean job lengths.
    pub times: Vec<f64>,
    /// Shares at each.
    pub shares: Vec<DVector<f64>>,
}

fn place(state: &State) -> usize {
    state.iter().fold(0, |place, n| place * (CAPACITY + 1) + n)
}

fn jobs(state: &State) -> usize {
    state.iter().sum()
}

impl Field {
    /// For so many arrivals a server in a mean job length, and so many servers sampled.
    pub fn new(lambda: f64, choices: usize) -> Field {
        let side = CAPACITY + 1;
        let all = (0..side.pow(KINDS as u32)).map(|n| [n / side / side, n / side % side, n % side]);
        let states: Vec<State> = all.filter(|state| jobs(state) <= CAPACITY).collect();
        let mut index = vec![None; side.pow(KINDS as u32)];
        for (n, state) in states.iter().enumerate() {
            index[place(state)] = Some(n);
        }
        Field { lambda, choices: choices as f64, states, index }
    }

    /// All servers with so many jobs, all of the kind with most phases left; `None` is a mix over all states.
    pub fn start(&self, jobs_each: Option<usize>) -> DVector<f64> {
        let n = self.states.len();
        match jobs_each {
            None => DVector::from_element(n, 1.0 / n as f64),
            Some(each) => {
                let mut shares = DVector::zeros(n);
                if let Some(at) = self.index[place(&[0, 0, each.min(CAPACITY)])] {
                    shares[at] = 1.0;
                }
                shares
            }
        }
    }

    /// Follows the equations from these shares for so long, with a point every so many steps of a hundredth.
    ///
    /// # Errors
    /// The integration failed.
    pub fn follow(&self, start: DVector<f64>, lasts: f64, every: usize) -> Result<Path, String> {
        let mut solver = Rk4::new(self.clone(), 0.0, start, lasts, STEP);
        solver.integrate().map_err(|e| e.to_string())?;
        let last = solver.y_out().len().saturating_sub(1);
        let kept = |n: &usize| n.is_multiple_of(every.max(1)) || *n == last;
        let places: Vec<usize> = (0..=last).filter(kept).collect();
        let times = places.iter().map(|n| solver.x_out()[*n]).collect();
        let shares = places.iter().map(|n| solver.y_out()[*n].clone()).collect();
        Ok(Path { times, shares })
    }

    /// The shares by number of jobs, 0 to the capacity.
    pub fn occupancy(&self, shares: &DVector<f64>) -> [f64; CAPACITY + 1] {
        let mut by_jobs = [0.0; CAPACITY + 1];
        for (state, share) in self.states.iter().zip(shares.iter()) {
            by_jobs[jobs(state)] += share;
        }
        by_jobs
    }

    /// The part of jobs that is lost: all sampled servers are full.
    pub fn blocking(&self, shares: &DVector<f64>) -> f64 {
        self.occupancy(shares)[CAPACITY].powf(self.choices)
    }

    /// The squared distance of the paper's figure 1, over states in which jobs are told apart by place.
    pub fn distance(&self, a: &DVector<f64>, b: &DVector<f64>) -> f64 {
        let term = |(n, state): (usize, &State)| {
            let ways = factorial(jobs(state)) / state.iter().map(|n| factorial(*n)).product::<f64>();
            (a[n] - b[n]).powi(2) / ways
        };
        self.states.iter().enumerate().map(term).sum()
    }

    /// Arrivals at a server that holds so many jobs, by equation (44).
    fn arrivals(&self, by_jobs: &[f64; CAPACITY + 1]) -> [f64; CAPACITY + 1] {
        let mut rates = [0.0; CAPACITY + 1];
        let mut at_least = [0.0; CAPACITY + 2];
        for n in (0..=CAPACITY).rev() {
            at_least[n] = at_least[n + 1] + by_jobs[n].max(0.0);
        }
        for n in 0..=CAPACITY {
            if by_jobs[n] > 1e-300 {
                let chosen = at_least[n].powf(self.choices) - at_least[n + 1].powf(self.choices);
                rates[n] = self.lambda * chosen / by_jobs[n];
            }
        }
        rates
    }
}

fn factorial(n: usize) -> f64 {
    (1..=n).map(|n| n as f64).product()
}

impl System<f64, DVector<f64>> for Field {
    fn system(&self, _time: f64, shares: &DVector<f64>, change: &mut DVector<f64>) {
        change.fill(0.0);
        let arrivals = self.arrivals(&self.occupancy(shares));
        for (n, state) in self.states.iter().enumerate() {
            let share = shares[n];
            if jobs(state) < CAPACITY {
                for (kind, part) in PHASES.iter().enumerate() {
                    let mut next = *state;
                    next[kind] += 1;
                    self.moves(n, &next, share * arrivals[jobs(state)] * part, change);
                }
            }
            for kind in 0..KINDS {
                let mut next = *state;
                let Some(left) = next[kind].checked_sub(1) else { continue };
                next[kind] = left;
                if kind > 0 {
                    next[kind - 1] += 1;
                }
                self.moves(n, &next, share * phase_rate() * state[kind] as f64, change);
            }
        }
    }
}

impl Field {
    /// So many servers move from one state to another.
    fn moves(&self, from: usize, to: &State, flow: f64, change: &mut DVector<f64>) {
        if let Some(to) = self.index[place(to)] {
            change[from] -= flow;
            change[to] += flow;
        }
    }
}
