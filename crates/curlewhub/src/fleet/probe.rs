//! Repeated proposals, as a probe of whether the consensus servers commit them.

use super::session::FleetError;
use super::signals::Shutdown;
use crate::output::{Exit, print};
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Proposes at each interval until shutdown. `propose` prints what is committed; a failure is printed here,
/// as one line.
pub async fn repeat(
    every: Duration,
    mut shutdown: Shutdown,
    mut propose: impl AsyncFnMut() -> Result<Exit, FleetError>,
) -> Exit {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = &mut shutdown => return Exit::Done,
        }
        if let Err(error) = propose().await {
            print(&format!("not decided: {}\n", error.to_string().replace('\n', "; ")));
        }
    }
}
