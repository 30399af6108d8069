//! The capacity page, made of a capacity file and of nothing else.

use super::file::{CapacityFile, Role, Slope};
use super::rows::{Row, Situation, Source, formula, rows};
use super::target::{
    ALLOWED_ADDED_MICROSECONDS, ALLOWED_BYTES_PER_SECOND, ALLOWED_CORE, ALLOWED_MEMORY,
    ALLOWED_SPREAD_SECONDS, CALLS_PER_SECOND, CHANGES_PER_DAY, CONSENSUS_SERVERS, CONTROL_MACHINES, DEPTH,
    Dimension, REGIONS, RESTARTS_PER_DAY, SERVICES, SIDECARS, ZONES,
};
use super::text::{header, number, row};
use std::fmt::Write;

/// Zones of each region: seven zones in three regions.
const ZONES_OF_REGIONS: [f64; REGIONS as usize] = [3.0, 2.0, 2.0];
/// What the fleet may grow to.
const TENFOLD: f64 = 10.0;

/// The page's text.
///
/// # Errors
/// One line for each slope or figure that it needs and the file does not have.
pub fn page(file: &CapacityFile, name: &str) -> Result<String, Vec<String>> {
    let rows = rows(file)?;
    let mut text = String::new();
    text += "# Capacity: what each role needs at the size that is coming\n\n";
    text += &introduction(file, name);
    text += &target();
    for role in Role::ALL {
        text += &role_table(role, &rows);
    }
    text += &over_allowance(&rows);
    text += &slopes(file);
    text += &control_machines(file);
    text += &tenfold(file);
    text += SIDECAR_MEMORY;
    text += NOT_REACHED;
    text += NOT_SHOWN;
    Ok(text)
}

fn introduction(file: &CapacityFile, name: &str) -> String {
    format!(
        "Made by `curlewhub-lab capacity page` from [{name}](figures/{name}) and checked against it by a test; it is not\n\
         edited by hand. The slopes are of one run of `curlewhub-lab capacity measure`, seed {}, commit {},\n\
         {}. A row names its slope, or says *calculated* and from what. Bytes, counts and\n\
         memory are absolute; processor time stands beside a baseline of the same run in the table of slopes.\n\n",
        file.seed, file.commit, file.machine
    )
}

fn target() -> String {
    let mut text = "## The target and what is allowed\n\n".to_owned();
    text += &header(&["of the letter", "size"]);
    for (what, size) in [
        ("sidecars, each beside one endpoint", number(SIDECARS)),
        ("services", number(SERVICES)),
        ("regions and zones", format!("{REGIONS} and {ZONES}")),
        ("calls a second, whole fleet", number(CALLS_PER_SECOND)),
        ("depth of a chain of calls", number(DEPTH)),
        ("changes of configuration a day", number(CHANGES_PER_DAY)),
        ("restarts and replacements a day", number(RESTARTS_PER_DAY)),
        ("a change is in force everywhere within", format!("{ALLOWED_SPREAD_SECONDS} s")),
        ("added to a call for 99 in 100", format!("{} µs", number(ALLOWED_ADDED_MICROSECONDS))),
        ("control, of a core", format!("{}%", ALLOWED_CORE * 100.0)),
        ("control, memory", format!("{} bytes", number(ALLOWED_MEMORY))),
        ("control, sent and received", format!("{} bytes a second", number(ALLOWED_BYTES_PER_SECOND))),
        ("machines for control", number(CONTROL_MACHINES)),
    ] {
        text += &row(&[what, &size]);
    }
    text + "\n"
}

fn role_table(role: Role, rows: &[Row]) -> String {
    let mut text = format!("## {}\n\n", capitalised(&role.to_string()));
    text +=
        &header(&["need", "when", "formula", "value", "allowed", "need / allowed", "run", "carried by"]);
    for need in rows.iter().filter(|row| row.role == role) {
        text += &row(&[
            &need.need,
            if need.situation == Situation::Steady { "steady" } else { "event" },
            &need.formula,
            &need.value.map_or(without_value(need), |value| format!("{} {}", number(value), need.unit)),
            &need.allowance.map_or("-".to_owned(), number),
            &need.ratio().map_or("-".to_owned(), ratio),
            &source(&need.source),
            need.mechanism,
        ]);
    }
    text + "\n"
}

/// Why a row has no value.
fn without_value(row: &Row) -> String {
    match row.source {
        Source::Calculated(_) => "none".to_owned(),
        Source::Slope(_) | Source::Figure(_) => {
            "not known: the curve leaves over more than a quarter".to_owned()
        }
    }
}

fn capitalised(text: &str) -> String {
    let mut letters = text.chars();
    letters.next().map_or(String::new(), |first| first.to_uppercase().chain(letters).collect())
}

fn ratio(ratio: f64) -> String {
    if ratio >= 1.0 { format!("**{}**", number(ratio)) } else { number(ratio) }
}

fn source(source: &Source) -> String {
    match source {
        Source::Slope(id) | Source::Figure(id) => format!("`{id}`"),
        Source::Calculated(from) => format!("calculated: {from}"),
    }
}

fn over_allowance(rows: &[Row]) -> String {
    let mut over: Vec<&Row> =
        rows.iter().filter(|row| row.ratio().is_some_and(|ratio| ratio >= 1.0)).collect();
    over.sort_by(|a, b| b.ratio().unwrap_or(0.0).total_cmp(&a.ratio().unwrap_or(0.0)));
    let mut text = "## Over what is allowed\n\n".to_owned();
    text += "First what nothing carries at all, then by need over allowance; \
             [0016](design/0016-size.md) draws the conclusions.\n\n";
    text += &header(&["need", "role", "need / allowed"]);
    for need in rows.iter().filter(|row| row.value.is_none() && matches!(row.source, Source::Calculated(_)))
    {
        text += &row(&[&need.need, &need.role.to_string(), "no mechanism"]);
    }
    for need in over {
        text += &row(&[&need.need, &need.role.to_string(), &need.ratio().map_or(String::new(), number)]);
    }
    text + "\n"
}

fn slopes(file: &CapacityFile) -> String {
    let mut text = "## Slopes\n\n".to_owned();
    text += "*Left over* is the root mean square of what the curve leaves over, in percent of the mean value. *Beyond* is how\n\
             far the target lies beyond the largest size that was measured; up to 1 it lies within.\n\n";
    text += &header(&[
        "slope",
        "sizes",
        "curve",
        "left over",
        "at the largest",
        "beyond",
        "times its baseline",
        "run",
    ]);
    for slope in &file.slopes {
        let sizes: Vec<String> = slope.points.iter().map(|point| number(point.size)).collect();
        let largest = slope.points.iter().max_by(|a, b| a.size.total_cmp(&b.size));
        let (size, value) = largest.map_or((0.0, 0.0), |point| (point.size, point.value));
        text += &row(&[
            &format!("`{}`: {}, {}", slope.id, slope.quantity, slope.unit),
            &sizes.join(" "),
            &formula(slope),
            &format!("{:.1}%", slope.fit.residual * 100.0),
            &number(value),
            &number(slope.grows_with.target() / size),
            &beside_baseline(slope),
            &run_of(slope),
        ]);
    }
    text += "\n";
    text += &header(&["figure", "value", "run"]);
    for figure in &file.figures {
        let name = format!("`{}`: {}", figure.id, figure.quantity);
        text += &row(&[&name, &format!("{} {}", number(figure.value), figure.unit), &figure.run]);
    }
    text + "\n"
}

fn run_of(slope: &Slope) -> String {
    if slope.commit.is_empty() {
        slope.run.clone()
    } else {
        format!("{}; commit {}", slope.run, slope.commit)
    }
}

/// The least and the greatest multiple of the baseline.
fn beside_baseline(slope: &Slope) -> String {
    if slope.baseline.iter().any(|point| point.value <= 0.0) {
        return format!("not known: the baseline ({}) is below the clock's step", slope.baseline_of);
    }
    let multiples: Vec<f64> = slope
        .points
        .iter()
        .zip(&slope.baseline)
        .map(|(point, baseline)| point.value / baseline.value)
        .collect();
    let (Some(first), Some(last)) = (multiples.first(), multiples.last()) else { return "-".to_owned() };
    let bounds = (number(*first), number(*last));
    format!("{} at the smallest, {} at the largest ({})", bounds.0, bounds.1, slope.baseline_of)
}

fn control_machines(file: &CapacityFile) -> String {
    let each = CONTROL_MACHINES / ZONES;
    let mut text = "## 21 machines for control\n\n".to_owned();
    let _ = write!(
        text,
        "Calculated, no run has shown it: {each} machines in each of {ZONES} zones, of which one holds the zone's consensus\n\
         server, one its discovery server and one is kept free as a replacement for either. A majority of {CONSENSUS_SERVERS}\n\
         consensus servers is {}.\n\n",
        majority()
    );
    text += &header(&[
        "what is gone",
        "machines left",
        "consensus servers left",
        "can decide",
        "sidecars for a discovery server left, those of what is gone among them",
    ]);
    let mut gone = vec![("nothing".to_owned(), 0.0), ("a zone".to_owned(), 1.0)];
    for zones in [ZONES_OF_REGIONS[1], ZONES_OF_REGIONS[0]] {
        gone.push((format!("a region of {zones} zones"), zones));
    }
    gone.push(("a region of 3 zones, and one zone more".to_owned(), ZONES_OF_REGIONS[0] + 1.0));
    for (what, zones) in gone {
        let left = ZONES - zones;
        text += &row(&[
            &what,
            &number(left * each),
            &number(left),
            if left >= majority() { "yes" } else { "no" },
            &number(SIDECARS / left),
        ]);
    }
    text += "\nA region that is cut off keeps its sidecars running on the last view and can decide nothing: its two or three\n\
             consensus servers are no majority, and no mechanism gives a region a decision of its own.\n\n";
    if let Some(messages) = file.slope("server.messages.by_sidecars") {
        let _ = write!(
            text,
            "The busiest consensus server takes part in {} messages a second in steady running (`{}`).\n\n",
            number(messages.fit.at(SIDECARS)),
            messages.id
        );
    }
    text
}

fn majority() -> f64 {
    (CONSENSUS_SERVERS / 2.0).floor() + 1.0
}

fn tenfold(file: &CapacityFile) -> String {
    let mut text = "## Ten times the size\n\n".to_owned();
    text += "Calculated: each curve by sidecars, taken to 19,000 sidecars. That is far beyond the largest size that was\n\
             measured, so it says where a mechanism ends and not what it would cost.\n\n";
    text += &header(&["slope", "at 1,900", "at 19,000", "times"]);
    for slope in
        file.slopes.iter().filter(|slope| slope.grows_with == Dimension::Sidecars && slope.is_usable())
    {
        let (now, then) = (slope.fit.at(SIDECARS), slope.fit.at(SIDECARS * TENFOLD));
        text += &row(&[
            &format!("`{}`, {}", slope.id, slope.unit),
            &number(now),
            &number(then),
            &number(then / now),
        ]);
    }
    text + "\nMembership and evidence refuse more than 20,000 names (`MEMBERS_MOST`, `SIDECARS_MOST`); a view more than 4,096 keys.\n\n"
}

/// Targets, and what was measured in their place.
const NOT_REACHED: &str = "## Targets not reached

- Discovery's return: the last of n callers is to be served within twice n over c, at c calls a second (`curlewhub-lab discovery-load`, three
  seeds). 300 and 1,900 callers that could be served in 4.0 s, 7.7 s, 12 s and 24 s need 8.9 s, 8.9 s, 16 s and 74 s to 75 s; where the queue
  accepts 3.75 s of work and calls fail after 2.0 s, 8.9 s, 8.9 s, 29 s to 42 s and 111 s to 115 s.
- A change that ends every watch (`discovery-load --change --wait-limit 3`, two seeds): at 0.02 s a turn 300 sidecars hold requests for 34 s in the
  mean and the last has the list after 59 s; 30 at 0.35 s, 300 at 0.1 s and 1,900 at 0.02 s are not all served within 60 s.

";

/// How the configured memory of a sidecar is divided, and what was measured of it.
const SIDECAR_MEMORY: &str = "## Memory of a sidecar

What a sidecar holds follows from `memory_mb` (`runtime/src/memory_division.rs`); measured by `crates/curlewhub/tests/memory.rs`, release build.

| part | of `memory_mb` | why |
| --- | --- | --- |
| program | 11 MiB, at most a half | 8.4 MiB resident before the first client, of which 7.6 MiB are the program's file; list, learned state, refused clients, what the allocator keeps |
| a successor's start | 1 MiB and an eighth of the rest | its own pages, and its first connections, while its predecessor uses all else |
| connections | five eighths of what is left, 52 KiB each | 34 to 43 KiB for each were held (own pages less those of the start and of long messages; loads of 10 s, 30 to 300 clients, short and long messages, fast and slow peers) |
| long messages | the rest | bodies from 4 KiB on, heads from 8 KiB on, larger read buffers |

| memory, descriptors | connections, of them clients | long messages | most resident, long messages both ways | with short ones |
| --- | --- | --- | --- | --- |
| 32 MB, 1,024 | 213, 106 | 6.6 MiB | 22,028 KiB, 90 clients | 16,728 KiB |
| 64 MB, 1,024 | 558, 279 | 17.0 MiB | 39,924 KiB, 180 clients | 22,904 KiB |
| 192 MB, 1,024 | 976, 610 | 107.8 MiB | 124,932 KiB, 500 clients | 44,704 KiB |

With 16 MB and 256 descriptors, 30 clients and long messages both ways took 13,312 KiB. With 8 MB the program's file alone is about 7,700 KiB
resident, and 14 clients took 10,584 KiB with it.

Not part of it: buffers of the kernel's sockets, files in the state directory.

";

const NOT_SHOWN: &str = "## What no run has shown

- Real processes at this size in working order: the control plane's figures here are of simulated fleets. The runs of
  [scale.md](scale.md), with the program's sockets, are of up to 1,900 sidecars, and from 480 on their checks fail.
- Losses and returns at 1,900 sidecars: they were measured in a smaller fleet, which their rows name; a zone was a seventh of it.
- The start of all to its end: its 15 s end before a fleet of about 1,000 or more has settled, so that its curve is no bound of the time.
- Membership's processor time as the program has it, where the introduction names a trial change to membership: the change
  leaves out what a packet repeats, and the program looks through all members for it.
- Memory: resident bytes hardly grow where freed memory is used again, and most curves of them tell nothing. Those rows have
  no value, and no figure of memory at the target is known yet.
- A configuration change at this size: [rollout.md](rollout.md) has 5, 12 and 30 sidecars.
- Several called services in one process: the decision modules were measured side by side, the program runs one.
- Depth beyond one decision module a level: a level of the letter has many endpoints, each with a budget of its own.
- Discovery's own processor time and memory: only what its lists take on the way and in a sidecar was measured.
- The delay that a sidecar adds to a call: here are the decisions alone.
- Ten times the size, and the loss of control machines.
";
