//! The mean-field limit of the fleet as N grows, as differential equations.
//!
//! A server's state is the number of its jobs with one, two and three phases left. The paper distinguishes the jobs of a
//! server by their position. New jobs take any position with equal probability, so states that differ only in positions
//! have equal shares, and one number stands for all of them. Equations (41) to (44).

use crate::CAPACITY;
use crate::service::{PHASES, phase_rate};
use ode_solvers::{DVector, Rk4, System};
use thiserror::Error;

const KINDS: usize = PHASES.len();
/// Step of the Runge-Kutta method of order 4, in mean job lengths: a hundredth against rates of up to some twenty. An
/// adaptive method stops at the fixed point, where it takes the equations for stiff.
const STEP: f64 = 0.01;

/// The integration of the equations failed.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{0}")]
pub struct IntegrationError(String);

impl From<IntegrationError> for String {
    fn from(error: IntegrationError) -> String {
        error.0
    }
}

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
pub struct Trajectory {
    /// Times, in mean job lengths.
    pub times: Vec<f64>,
    /// Shares at each.
    pub shares: Vec<DVector<f64>>,
}

/// The number of a state, among all with up to the capacity of jobs of each kind.
fn state_number(state: &State) -> usize {
    state.iter().fold(0, |number, jobs| number * (CAPACITY + 1) + jobs)
}

fn jobs(state: &State) -> usize {
    state.iter().sum()
}

impl Field {
    /// The equations for `lambda` arrivals per server and mean job length, with `choices` servers sampled for each job.
    pub fn new(lambda: f64, choices: usize) -> Field {
        let base = CAPACITY + 1;
        let all = (0..base.pow(KINDS as u32)).map(|n| [n / base / base, n / base % base, n % base]);
        let states: Vec<State> = all.filter(|state| jobs(state) <= CAPACITY).collect();
        let mut index = vec![None; base.pow(KINDS as u32)];
        for (n, state) in states.iter().enumerate() {
            index[state_number(state)] = Some(n);
        }
        Field { lambda, choices: choices as f64, states, index }
    }

    /// An initial state: all servers have `jobs_each` jobs with the most phases left; `None` is an even mix of all states.
    pub fn start(&self, jobs_each: Option<usize>) -> DVector<f64> {
        let n = self.states.len();
        match jobs_each {
            None => DVector::from_element(n, 1.0 / n as f64),
            Some(each) => {
                let mut shares = DVector::zeros(n);
                if let Some(at) = self.index[state_number(&[0, 0, each.min(CAPACITY)])] {
                    shares[at] = 1.0;
                }
                shares
            }
        }
    }

    /// Integrates the equations from these shares for this long, and keeps every `every`-th step of a hundredth.
    ///
    /// # Errors
    /// The integration failed.
    pub fn follow(
        &self,
        start: DVector<f64>,
        lasts: f64,
        every: usize,
    ) -> Result<Trajectory, IntegrationError> {
        let mut solver = Rk4::new(self.clone(), 0.0, start, lasts, STEP);
        solver.integrate().map_err(|error| IntegrationError(error.to_string()))?;
        let last = solver.y_out().len().saturating_sub(1);
        let kept = |n: &usize| n.is_multiple_of(every.max(1)) || *n == last;
        let points: Vec<usize> = (0..=last).filter(kept).collect();
        let times = points.iter().map(|n| solver.x_out()[*n]).collect();
        let shares = points.iter().map(|n| solver.y_out()[*n].clone()).collect();
        Ok(Trajectory { times, shares })
    }

    /// The shares by number of jobs, 0 to the capacity.
    pub fn occupancy(&self, shares: &DVector<f64>) -> [f64; CAPACITY + 1] {
        let mut by_jobs = [0.0; CAPACITY + 1];
        for (state, share) in self.states.iter().zip(shares.iter()) {
            by_jobs[jobs(state)] += share;
        }
        by_jobs
    }

    /// The fraction of jobs that is lost: all sampled servers are full.
    pub fn blocking(&self, shares: &DVector<f64>) -> f64 {
        self.occupancy(shares)[CAPACITY].powf(self.choices)
    }

    /// The squared distance of the paper's figure 1, over states that distinguish jobs by position.
    pub fn distance(&self, a: &DVector<f64>, b: &DVector<f64>) -> f64 {
        let term = |(n, state): (usize, &State)| {
            let arrangements =
                factorial(jobs(state)) / state.iter().map(|n| factorial(*n)).product::<f64>();
            (a[n] - b[n]).powi(2) / arrangements
        };
        self.states.iter().enumerate().map(term).sum()
    }

    /// The arrival rate at a server by the number of its jobs, by equation (44).
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
    /// Moves a share of the servers from one state to another.
    fn moves(&self, from: usize, to: &State, flow: f64, change: &mut DVector<f64>) {
        if let Some(to) = self.index[state_number(to)] {
            change[from] -= flow;
            change[to] += flow;
        }
    }
}
