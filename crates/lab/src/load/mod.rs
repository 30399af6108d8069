//! Load: clients that behave as the platform's do, and the books of what came of each request.
//!
//! Open loop by default: requests come at a set rate whatever happens to those before them, and a latency
//! counts from when its request was due, so that a server that stalls does not hide it by being asked less
//! (coordinated omission). In a closed loop a set number of clients ask one after another.

mod client;
mod mix;
mod report;
mod tally;

pub use mix::{ClassMix, Mix, TenantMix};
pub use report::table;
pub use tally::{ClassReport, Latencies, PhaseReport, Report};

use client::{Client, Outcome};
use curlewhub_standins::books::Books;
use rand::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tally::Tally;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// How requests come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// So many a second on average, at random (a Poisson process).
    Random(f64),
    /// So many a second, evenly.
    Even(f64),
    /// So many clients, each asking again once it is answered.
    Closed(usize),
}

/// What load is made.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Sidecars; each request goes to one at random, and a client's retry to the same one.
    pub targets: Vec<SocketAddr>,
    /// How requests come.
    pub arrivals: Arrivals,
    /// For how long they come.
    pub lasts: Duration,
    /// What they are.
    pub mix: Mix,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Names of parts of the time and when each begins, from the start on; may be empty.
    pub phases: Vec<(String, Duration)>,
    /// Open requests, at the most; one that would be more is counted as not sent.
    pub open_most: usize,
}

/// A look at a load while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Look {
    /// Since the start.
    pub elapsed: Duration,
    /// Requests asked in the last second.
    pub asked: u64,
    /// Of those that ended in the last second: served, refused, failed, unanswered.
    pub ended: [u64; 4],
    /// Median and 99th percentile of the last second's latencies, in milliseconds.
    pub millis: (f64, f64),
}

/// Runs a load to its end and gives the books; `look` is called each second.
pub async fn run(plan: Plan, books: Books, mut look: impl FnMut(&Look)) -> Report {
    let start = Instant::now();
    let tally = Rc::new(RefCell::new(Tally::new(&plan.mix, &plan.phases)));
    let client = Rc::new(Client::new(&plan, books));
    let sending = send(&plan, client, tally.clone(), start);
    let looking = async {
        loop {
            sleep(Duration::from_secs(1)).await;
            look(&tally.borrow_mut().look(start.elapsed()));
        }
    };
    tokio::select! {
        () = sending => {}
        () = looking => {}
    }
    tally.borrow().report(plan.lasts)
}

async fn send(plan: &Plan, client: Rc<Client>, tally: Rc<RefCell<Tally>>, start: Instant) {
    let mut draws = Pcg32::seed_from_u64(plan.seed);
    let mut open = JoinSet::new();
    let end = start + plan.lasts;
    let rate = match plan.arrivals {
        Arrivals::Random(rate) | Arrivals::Even(rate) => rate,
        Arrivals::Closed(clients) => {
            for n in 0..clients {
                let seed = plan.seed.wrapping_add(n as u64);
                let mut draws = Pcg32::seed_from_u64(draws.next_u64() ^ seed);
                let (client, tally) = (client.clone(), tally.clone());
                open.spawn_local(async move {
                    while Instant::now() < end {
                        one(&client, &tally, &mut draws, Instant::now(), start).await;
                    }
                });
            }
            while open.join_next().await.is_some() {}
            return;
        }
    };
    let gap = Exp::new(rate).ok();
    let mut due = start;
    loop {
        due += match (plan.arrivals, &gap) {
            (Arrivals::Random(_), Some(gap)) => Duration::from_secs_f64(gap.sample(&mut draws)),
            _ => Duration::from_secs_f64(1.0 / rate),
        };
        if due >= end {
            break;
        }
        sleep_until(due).await;
        while open.try_join_next().is_some() {}
        let mut own = Pcg32::seed_from_u64(draws.next_u64());
        if open.len() >= plan.open_most {
            tally.borrow_mut().not_sent();
            continue;
        }
        let (client, tally) = (client.clone(), tally.clone());
        open.spawn_local(async move { one(&client, &tally, &mut own, due, start).await });
    }
    while open.join_next().await.is_some() {}
}

/// One request with its client's retries.
async fn one(client: &Client, tally: &RefCell<Tally>, draws: &mut Pcg32, due: Instant, start: Instant) {
    let request = client.request(draws);
    let (class, phase) = (request.class, tally.borrow_mut().asked(request.class, due - start));
    let outcome: Outcome = client.ask(&request, draws).await;
    client.ended(&request, &outcome, due.elapsed());
    tally.borrow_mut().ended(class, phase, &outcome, due.elapsed());
}
