//! `curlewhub-lab discovery-load`: how long a whole fleet takes to get discovery's list after its return, by how long
//! its sidecars wait behind calls that failed.

use comfy_table::{Table, presets};
use curlewhub_balance::{RefusalCause, refusal_retry_delay};
use curlewhub_discovery_client::timing::{CALL_TIMEOUT, MAX_JITTER, SECOND_CALL_AFTER};
use curlewhub_model::discovery_load::{
    Callers, Discovery, Failures, Outage, Recovery, RetryWait, recover_from,
};
use curlewhub_model::list_notification::{Moves, Notification, Scene, notify};
use std::time::Duration;

/// What is played.
#[derive(clap::Args, Debug)]
pub struct DiscoveryLoad {
    /// Numbers of sidecars that wait for discovery's return; a third as many start within 6 s of it.
    #[arg(long, value_delimiter = ',', default_value = "30,300,1900", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    sizes: Vec<u32>,
    /// Seconds in which discovery could answer each of them once.
    #[arg(long, value_delimiter = ',', default_value = "4,7.7,12", value_parser = positive_seconds)]
    seconds_for_all: Vec<f64>,
    /// Seconds after which discovery fails a call.
    #[arg(long, default_value_t = 2.0, value_parser = positive_seconds)]
    wait_limit: f64,
    /// Seconds of work in its queue from which on it refuses calls at once.
    #[arg(long, default_value_t = 2.0, value_parser = positive_seconds)]
    queue_limit: f64,
    /// While it is down discovery says nothing at all, and callers give up; otherwise it refuses calls at its limit.
    #[arg(long)]
    silent_outage: bool,
    /// Plays a change of the list instead, which ends watches in place of coming on them: how many sidecars have it in
    /// time, and what the others do meanwhile.
    #[arg(long)]
    change: bool,
    /// With `--change`: seconds that a call, or the end of a watch, takes discovery.
    #[arg(long, value_delimiter = ',', default_value = "0.02,0.1,0.35", value_parser = positive_seconds)]
    turns: Vec<f64>,
    /// Seeds of each cell; the table has the mean.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
}

/// One in three callers starts while the others wait.
const STARTING: u32 = 3;
/// Within this.
const STARTING_WITHIN: Duration = Duration::from_secs(6);

/// The schemes that are set side by side.
const SCHEMES: [(&str, RetryWait, Calls); 6] = [
    ("0.25 s doubled twice, from the call's start (before)", doubled_twice, Calls::OneAtATime),
    ("as before, doubled to 4 s", doubled_to_four_seconds, Calls::OneAtATime),
    ("0.65 to 1.35 s", about_one_second, Calls::OneAtATime),
    ("1.3 to 2.7 s", wide_two_seconds, Calls::OneAtATime),
    (
        "3.6 to 4.8 s behind a refusal, 3.6 to 9 s and more behind the third, from the call's start",
        by_refusal,
        Calls::OneAtATime,
    ),
    ("the same, and a second call beside one that brings nothing (built)", by_refusal, Calls::SecondBeside),
];

/// How many calls of one caller are out.
#[derive(Clone, Copy, PartialEq)]
enum Calls {
    OneAtATime,
    SecondBeside,
}

/// Seconds over which a queue can be played.
fn positive_seconds(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(seconds) if (0.01..=600.0).contains(&seconds) => Ok(seconds),
        _ => Err("wanted: seconds from 0.01 to 600".to_owned()),
    }
}

fn from_start(wait: f64, took: Duration, draw: f64) -> Duration {
    Duration::from_secs_f64((wait - took.as_secs_f64()).max(0.15 * draw))
}

fn doubled_twice(failures: Failures, draw: f64) -> Duration {
    from_start(0.25 * f64::from(1u32 << failures.before.min(2)) * (0.5 + draw), failures.took, draw)
}

fn by_refusal(failures: Failures, draw: f64) -> Duration {
    match failures.refused {
        true => refusal_retry_delay(failures.before, RefusalCause::Unknown, failures.took, draw),
        // All calls that fail otherwise are given up here, after they took all of their time.
        false => MAX_JITTER.mul_f64(draw),
    }
}

fn doubled_to_four_seconds(failures: Failures, draw: f64) -> Duration {
    from_start(0.25 * f64::from(1u32 << failures.before.min(4)) * (0.5 + draw), failures.took, draw)
}

fn about_one_second(failures: Failures, draw: f64) -> Duration {
    from_start(0.65 + 0.7 * draw, failures.took, draw)
}

fn wide_two_seconds(failures: Failures, draw: f64) -> Duration {
    from_start(1.3 + 1.4 * draw, failures.took, draw)
}

/// What comes before a change of the list.
const BEFORE_CHANGE: [(&str, Option<Moves>); 3] = [
    ("nothing", None),
    ("one configuration", Some(Moves { rounds: 1, apart: Duration::ZERO, within: MOVED_WITHIN })),
    ("four, 0.4 s apart", Some(Moves { rounds: 4, apart: MOVES_APART, within: MOVED_WITHIN })),
];
/// New configurations come to all sidecars within this ...
const MOVED_WITHIN: Duration = Duration::from_millis(3200);
/// ... and to one of them so long apart.
const MOVES_APART: Duration = Duration::from_millis(400);

/// Plays all cells; a table.
pub fn discovery_load(settings: &DiscoveryLoad) -> String {
    if settings.change { change_table(settings) } else { recovery_table(settings) }
}

/// How soon a change of the list is there.
fn change_table(settings: &DiscoveryLoad) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "sidecars",
        "turn s",
        "before it",
        "a watch begins with",
        "in time %",
        "old list too long %",
        "held s",
        "calls a sidecar",
        "refused a sidecar",
        "last s",
    ]);
    for &size in &settings.sizes {
        for &turn in &settings.turns {
            for (name, moves) in BEFORE_CHANGE {
                for whole_first in [true, false] {
                    let scene = Scene {
                        sidecars: size as usize,
                        turn: Duration::from_secs_f64(turn),
                        wait_limit: Duration::from_secs_f64(settings.wait_limit),
                        whole_first,
                        moves,
                    };
                    let played: Vec<Notification> =
                        (1..=settings.seeds).map(|seed| notify(scene, seed)).collect();
                    table.add_row(change_row(&scene, name, &played));
                }
            }
        }
    }
    table.to_string()
}

fn change_row(scene: &Scene, before: &str, played: &[Notification]) -> Vec<String> {
    let mean = |figure: &dyn Fn(&Notification) -> f64| {
        played.iter().map(figure).sum::<f64>() / played.len().max(1) as f64
    };
    vec![
        scene.sidecars.to_string(),
        format!("{:.2}", scene.turn.as_secs_f64()),
        before.to_owned(),
        if scene.whole_first { "the whole list" } else { "changes" }.to_owned(),
        format!("{:.1}", 100.0 * mean(&|one| one.in_time)),
        format!("{:.1}", 100.0 * mean(&|one| one.used_too_long)),
        format!("{:.2}", mean(&|one| one.held_s)),
        format!("{:.1}", mean(&|one| one.calls)),
        format!("{:.1}", mean(&|one| one.refused)),
        format!("{:.1}", mean(&|one| one.last_s)),
    ]
}

/// How discovery's return is borne.
fn recovery_table(settings: &DiscoveryLoad) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "sidecars",
        "least s",
        "wait behind a failed call",
        "50% s",
        "99% s",
        "all s",
        "calls a sidecar",
        "worked in vain a sidecar",
        "never answered",
    ]);
    for &size in &settings.sizes {
        for &seconds in &settings.seconds_for_all {
            for (name, wait, calls) in SCHEMES {
                let outage = Outage {
                    silent: settings.silent_outage.then_some(CALL_TIMEOUT),
                    second_call: (calls == Calls::SecondBeside).then_some(SECOND_CALL_AFTER),
                };
                let one = |seed| play(settings, size, seconds, (wait, outage), seed);
                let played: Vec<Recovery> = (1..=settings.seeds).map(one).collect();
                table.add_row(row(size, seconds, name, &played));
            }
        }
    }
    table.to_string()
}

fn play(
    settings: &DiscoveryLoad,
    size: u32,
    seconds: f64,
    (wait, outage): (RetryWait, Outage),
    seed: u64,
) -> Recovery {
    let starting = size / STARTING;
    let discovery = Discovery {
        calls_per_second: f64::from(size + starting) / seconds,
        wait_limit: Duration::from_secs_f64(settings.wait_limit),
        queue_limit: Duration::from_secs_f64(settings.queue_limit),
    };
    let callers = Callers { waiting: size, starting, starting_within: STARTING_WITHIN };
    recover_from(discovery, callers, outage, wait, seed)
}

fn row(size: u32, least: f64, scheme: &str, played: &[Recovery]) -> Vec<String> {
    let mean = |figure: &dyn Fn(&Recovery) -> f64| {
        played.iter().map(figure).sum::<f64>() / played.len().max(1) as f64
    };
    let callers = f64::from(size + size / STARTING);
    vec![
        size.to_string(),
        format!("{least:.1}"),
        scheme.to_owned(),
        format!("{:.1}", mean(&|one| one.half.as_secs_f64())),
        format!("{:.1}", mean(&|one| one.nearly_all.as_secs_f64())),
        format!("{:.1}", mean(&|one| one.all.as_secs_f64())),
        format!("{:.1}", mean(&|one| one.calls as f64) / callers),
        format!("{:.1}", mean(&|one| one.worked_in_vain as f64) / callers),
        format!("{:.1}", mean(&|one| f64::from(one.unanswered))),
    ]
}
