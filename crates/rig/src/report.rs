//! What came of a run, for people: tables, and a page that needs no network.

use crate::checks::{Check, Verdict};
use crate::figures::{Figures, LossFigures};
use crate::history::{Entry, What};
use crate::plan::{Member, Plan, Role};
use crate::run::Ran;
use crate::versions::Move;
use comfy_table::{Table, presets};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use std::collections::{BTreeMap, BTreeSet};

fn some(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.2}"))
}

fn percent(part: f64) -> String {
    format!("{:.1}%", part * 100.0)
}

const LOSS_HEAD: [&str; 10] = [
    "fault",
    "from s",
    "to s",
    "never left",
    "first left s",
    "last left s",
    "spread s",
    "first back s",
    "last back s",
    "flips",
];

fn loss_row(loss: &LossFigures) -> [String; 10] {
    [
        format!("{} {:?}", loss.fault, loss.what),
        format!("{:.1}", loss.begin_s),
        format!("{:.1}", loss.end_s),
        format!("{} of {}", loss.never_left, loss.sidecars),
        some(loss.first_left_s),
        some(loss.last_left_s),
        some(loss.spread_s),
        some(loss.first_back_s),
        some(loss.last_back_s),
        loss.flips_most.to_string(),
    ]
}

const PHASE_HEAD: [&str; 11] = [
    "from s", "to s", "faults", "room", "asked", "in time", "worth", "refused", "failed", "p50 ms",
    "p99 ms",
];

fn phase_rows(figures: &Figures) -> Vec<[String; 11]> {
    let row = |from: String, to: String, faults: String, room: Option<f64>, s: &crate::figures::Service| {
        [
            from,
            to,
            faults,
            some(room),
            s.asked.to_string(),
            percent(s.in_time),
            percent(s.worth),
            percent(s.refused),
            percent(s.failed),
            format!("{:.0}", s.p50_ms),
            format!("{:.0}", s.p99_ms),
        ]
    };
    let mut rows: Vec<_> = figures
        .phases
        .iter()
        .map(|phase| {
            let faults = phase.faults.iter().map(usize::to_string).collect::<Vec<_>>().join(" ");
            row(
                format!("{:.1}", phase.from_s),
                format!("{:.1}", phase.to_s),
                faults,
                phase.room,
                &phase.service,
            )
        })
        .collect();
    rows.push(row("all".to_owned(), String::new(), String::new(), None, &figures.all));
    rows
}

fn check_row(check: &Check) -> [String; 4] {
    let held = if check.held { "held" } else { "NOT HELD" };
    [held.to_owned(), check.name.clone(), check.seen.to_string(), check.worst.clone()]
}

const MOVE_HEAD: [&str; 7] =
    ["moved at s", "hall", "from", "to", "version", "acted ms, first to last, by", "why"];

fn move_row(one: &Move) -> [String; 7] {
    let ms = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.0}"));
    [
        format!("{:.2}", one.at_s),
        one.hall.clone(),
        short(&one.from),
        short(&one.to),
        one.version.map_or("-".to_owned(), |version| version.to_string()),
        format!("{} to {} by {}", ms(one.first_ms), ms(one.last_ms), one.acted),
        one.why.clone(),
    ]
}

/// A state with no more of its number than a person reads.
fn short(state: &str) -> String {
    match state.split_once('.') {
        Some((whole, rest)) if state.ends_with(')') => {
            format!("{whole}.{})", &rest[..rest.len().min(2) - 1])
        }
        _ => state.to_owned(),
    }
}

/// The verdict as tables.
pub fn table(plan: &Plan, verdict: &Verdict) -> String {
    let mut text = format!("{}, seed {}\n\n", plan.spec.name, plan.spec.seed);
    let mut add = |head: Vec<&str>, rows: Vec<Vec<String>>| {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN).set_header(head).add_rows(rows);
        text += &format!("{table}\n\n");
    };
    add(PHASE_HEAD.to_vec(), phase_rows(&verdict.figures).into_iter().map(Vec::from).collect());
    if !verdict.figures.losses.is_empty() {
        add(LOSS_HEAD.to_vec(), verdict.figures.losses.iter().map(|loss| loss_row(loss).into()).collect());
    }
    if !verdict.figures.moves.is_empty() {
        add(MOVE_HEAD.to_vec(), verdict.figures.moves.iter().map(|one| move_row(one).into()).collect());
    }
    add(
        vec!["", "check", "seen", "the worst"],
        verdict.checks.iter().map(|check| check_row(check).into()).collect(),
    );
    if let Some(s) = &verdict.figures.spread {
        text += &format!(
            "{} versions to {} followers: {:.1} ms in the middle, {:.1} at 99 of 100, {:.0} at the most; no decision for {:.0} ms \
             at the most\n",
            s.decided, s.followers, s.p50_ms, s.p99_ms, s.most_ms, s.gap_ms
        );
    }
    let cost = &verdict.figures.cost;
    text += &format!(
        "{} processes, {} relays, {} connections and {:.1} MB through them; ready after {:.1} s; the rig took {:.1} s of a \
         processor, the sidecars {:.1} s and {} MiB; stamps are out by {:.2} ms at the most\n",
        cost.processes,
        cost.relays,
        cost.connections,
        cost.bytes as f64 / 1e6,
        cost.start_s,
        cost.rig_cpu_s,
        cost.sidecars_cpu_s,
        cost.sidecars_kib / 1024,
        verdict.figures.stamps_ms
    );
    text
}

const STYLE: &str = "body{font:14px sans-serif;max-width:1200px;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse;margin:1em 0}th,td{padding:.2em .6em;border-bottom:1px solid #ccc;text-align:right}\
    td:nth-child(2),th:nth-child(2){text-align:left}svg{max-width:100%;height:auto;display:block}\
    .no{background:#fbd5d5}.bad{fill:#c62828}pre{background:#f4f4f4;padding:.8em;overflow:auto}\
    :target{outline:2px solid #c62828}";
/// Width of the plots in their own units, and what stands left of them.
const WIDTH: f64 = 1000.0;
const LEFT: f64 = 130.0;
const LANE: f64 = 11.0;
/// Lanes drawn at the most; of more sidecars the first of each hall are shown.
const LANES_MOST: usize = 120;
/// Width of a bin.
const BIN_S: f64 = 0.25;

struct Scale {
    lasts: f64,
}

impl Scale {
    fn x(&self, s: f64) -> f64 {
        LEFT + (s / self.lasts).clamp(0.0, 1.0) * WIDTH
    }

    fn bins(&self) -> usize {
        (self.lasts / BIN_S).ceil() as usize
    }

    fn bin(&self, s: f64) -> Option<usize> {
        (s >= 0.0 && s < self.lasts).then_some((s / BIN_S) as usize)
    }
}

/// The run as a page.
pub fn page(ran: &Ran, verdict: &Verdict) -> String {
    let spec = &ran.plan.spec;
    let title = format!("{}, seed {}", spec.name, spec.seed);
    let scale = Scale { lasts: spec.lasts.0.as_secs_f64() };
    let (figures, entries) = (&verdict.figures, &ran.history.entries);
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { (title) } style { (PreEscaped(STYLE)) } }
            body {
                h1 { (title) ": " @if verdict.passed { "all held" } @else { "not held" } }
                h2 { "Checks" }
                table {
                    tr { th {} th { "check" } th { "seen" } th { "the worst" } th { "when" } th { "where" } }
                    @for check in &verdict.checks { (check_line(check)) }
                }
                h2 { "Service" }
                p { "Room is what is left of the endpoints' capacity over what the requests need." }
                (rows(&PHASE_HEAD, phase_rows(figures).iter().map(|row| &row[..])))
                (service_plot(ran, verdict, &scale))
                @if let Some(s) = &figures.spread {
                    h2 { "Versions" }
                    p { (s.decided) " versions to " (s.followers) " followers: from the first keeper's word to a follower's act "
                        (format!("{:.1} ms in the middle, {:.1} at 99 of 100, {:.0} at the most", s.p50_ms, s.p99_ms, s.most_ms))
                        "; no decision for " (format!("{:.0}", s.gap_ms)) " ms at the most." }
                }
                @if !figures.losses.is_empty() {
                    h2 { "Leaving and coming back" }
                    p { "Times of new calls by the sidecars' logs: the last into what is lost, from the loss on; the first after \
                         its end. Who calls in its last second has never left. A flip is a call after a second without." }
                    (rows(&LOSS_HEAD, figures.losses.iter().map(loss_row).collect::<Vec<_>>().iter().map(|row| &row[..])))
                }
                @if !figures.moves.is_empty() {
                    h2 { "Halls, as keepers moved them" }
                    (rows(&MOVE_HEAD, figures.moves.iter().map(move_row).collect::<Vec<_>>().iter().map(|row| &row[..])))
                }
                h2 { "Calls by hall" }
                (sends_plot(&ran.plan, entries, verdict, &scale))
                h2 { "Processes" }
                p { "Each lane is a process: grey while it runs, dark while it is stopped, white while it is not there. Darker \
                     red: a greater part of its attempts of that quarter of a second did not end well." }
                (lanes(&ran.plan, entries, verdict, &scale))
                h2 { "The file, as played" }
                pre { (toml::to_string(spec).unwrap_or_default()) }
            }
        }
    };
    page.into_string()
}

fn check_line(check: &Check) -> Markup {
    html! {
        tr.no[!check.held] {
            @for cell in check_row(check) { td { (cell) } }
            td { @if let Some(at) = check.at_s { a href=(format!("#at-{}", at as u64)) { (format!("{at:.2} s")) } } }
            td { @if let Some(process) = &check.process { a href=(format!("#{process}")) { (process) } } }
        }
    }
}

fn rows<'a>(head: &[&str], rows: impl Iterator<Item = &'a [String]>) -> Markup {
    html! {
        table {
            tr { @for name in head { th { (name) } } }
            @for row in rows { tr { @for cell in row { td { (cell) } } } }
        }
    }
}

/// Faults as bands, seconds below, and the places of failed checks.
fn bands(plan: &Plan, verdict: &Verdict, scale: &Scale, height: f64) -> Markup {
    let lasts = plan.spec.lasts.0;
    let all = plan.spec.faults.iter().enumerate();
    let all: Vec<_> =
        all.flat_map(|(n, f)| f.times(lasts).into_iter().map(move |time| (n, f.what, time))).collect();
    let step = (scale.lasts / 20.0).ceil().max(1.0);
    let marks: Vec<f64> = (0..).map(|n| f64::from(n) * step).take_while(|s| *s <= scale.lasts).collect();
    html! {
        @for (n, what, (begin, end)) in all {
            @let (from, to) = (scale.x(begin.as_secs_f64()), scale.x(end.as_secs_f64()));
            rect x=(from) y="0" width=((to - from).max(1.0)) height=(height) fill="#f6a821" fill-opacity="0.13" {
                title { "fault " (n) ": " (format!("{what:?}")) }
            }
            text x=(from + 2.0) y="9" font-size="9" fill="#9a6700" { (n) " " (format!("{what:?}")) }
        }
        @for mark in marks {
            text x=(scale.x(mark)) y=(height + 11.0) font-size="9" text-anchor="middle" fill="#666" { (format!("{mark:.0}")) }
        }
        @for check in verdict.checks.iter().filter(|check| !check.held) {
            @if let Some(at) = check.at_s {
                line x1=(scale.x(at)) x2=(scale.x(at)) y1="0" y2=(height) stroke="#c62828" { title { (check.name) } }
            }
        }
    }
}

fn line_of(values: &[f64], most: f64, scale: &Scale, height: f64, color: &str) -> Markup {
    let point = |(n, value): (usize, &f64)| {
        let x = scale.x((n as f64 + 0.5) * BIN_S);
        format!("{x:.1},{:.1}", height - (value / most.max(1e-9)).min(1.0) * (height - 12.0))
    };
    let points = values.iter().enumerate().map(point).collect::<Vec<_>>().join(" ");
    html! { polyline points=(points) fill="none" stroke=(color) stroke-width="1.3" {} }
}

const COLORS: [&str; 8] =
    ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#5a5a5a", "#8c564b", "#17becf"];

fn legend(names: &[(String, &str)]) -> Markup {
    html! {
        @for (n, (name, color)) in names.iter().enumerate() {
            text x="2" y=(14.0 + n as f64 * 13.0) font-size="10" fill=(color) { (name) }
        }
    }
}

fn service_plot(ran: &Ran, verdict: &Verdict, scale: &Scale) -> Markup {
    let height = 140.0;
    let mut counts = vec![[0.0_f64; 4]; scale.bins()];
    for entry in &ran.history.entries {
        let What::Request(request) = &entry.what else { continue };
        let Some(bin) = scale.bin((entry.at - request.took_us) as f64 / 1e6) else { continue };
        counts[bin][0] += 1.0;
        counts[bin][1] += f64::from(u8::from(request.in_time));
        counts[bin][2] += f64::from(u8::from(&*request.end == "refused"));
        counts[bin][3] += f64::from(u8::from(matches!(&*request.end, "failed" | "unanswered")));
    }
    let part =
        |n: usize| counts.iter().map(|c| if c[0] > 0.0 { c[n] / c[0] } else { 0.0 }).collect::<Vec<_>>();
    let parts = [("in time", 1, "#2ca02c"), ("refused", 2, "#1f77b4"), ("failed", 3, "#d62728")];
    let names: Vec<_> = parts.iter().map(|(name, _, color)| ((*name).to_owned(), *color)).collect();
    let seconds = scale.lasts.ceil() as u64;
    html! {
        @for second in 0..=seconds { a id=(format!("at-{second}")) {} }
        svg viewBox=(format!("0 0 {} {}", LEFT + WIDTH + 10.0, height + 16.0)) {
            (bands(&ran.plan, verdict, scale, height))
            (legend(&names))
            @for (_, n, color) in parts { (line_of(&part(n), 1.0, scale, height, color)) }
        }
    }
}

fn hall_of(member: &Member) -> &str {
    member.side.hall.as_deref().unwrap_or_default()
}

fn sends_plot(plan: &Plan, entries: &[Entry], verdict: &Verdict, scale: &Scale) -> Markup {
    let height = 140.0;
    let halls: Vec<String> = plan.spec.halls().into_iter().map(|(hall, _)| hall).collect();
    let of: BTreeMap<&str, usize> = plan
        .of(Role::Endpoint)
        .filter_map(|(_, m)| Some((&m.name[..], halls.iter().position(|hall| hall == hall_of(m))?)))
        .collect();
    let mut counts = vec![vec![0.0_f64; scale.bins()]; halls.len()];
    for entry in entries {
        let What::Attempt { endpoint, sent, .. } = &entry.what else { continue };
        if let (Some(hall), Some(bin)) = (of.get(&**endpoint), scale.bin(*sent as f64 / 1e6)) {
            counts[*hall][bin] += 1.0;
        }
    }
    let most = counts.iter().flatten().copied().fold(1.0, f64::max);
    let names: Vec<_> =
        halls.iter().zip(COLORS.iter().cycle()).map(|(hall, color)| (hall.clone(), *color)).collect();
    html! {
        svg viewBox=(format!("0 0 {} {}", LEFT + WIDTH + 10.0, height + 16.0)) {
            (bands(plan, verdict, scale, height))
            (legend(&names[..names.len().min(10)]))
            @for (counts, (_, color)) in counts.iter().zip(&names) { (line_of(counts, most, scale, height, color)) }
        }
        p { "Up to " (format!("{:.0}", most / BIN_S)) " attempts a second, by when they were sent." }
    }
}

/// What a process was at a time, until the next.
fn states(entries: &[Entry], lasts: f64) -> BTreeMap<&str, Vec<(f64, f64, &'static str)>> {
    #[derive(Default)]
    struct Now {
        since: f64,
        color: Option<&'static str>,
        ready: BTreeSet<u32>,
        stopped: bool,
    }
    let mut now: BTreeMap<&str, Now> = BTreeMap::new();
    let mut states: BTreeMap<&str, Vec<(f64, f64, &'static str)>> = BTreeMap::new();
    for entry in entries {
        let process = now.entry(&entry.process).or_default();
        match &entry.what {
            What::Ready => drop(process.ready.insert(entry.incarnation)),
            What::Ended { .. } => drop(process.ready.remove(&entry.incarnation)),
            What::Done { done: "paused" } => process.stopped = true,
            What::Done { done: "goes on" } => process.stopped = false,
            _ => continue,
        }
        let color = match (process.ready.is_empty(), process.stopped) {
            (true, _) => None,
            (false, true) => Some("#37474f"),
            (false, false) => Some("#c9d3dd"),
        };
        let at = (entry.at as f64 / 1e6).clamp(0.0, lasts);
        if let Some(before) = process.color {
            states.entry(&entry.process).or_default().push((process.since, at, before));
        }
        (process.since, process.color) = (at, color);
    }
    for (process, Now { since, color, .. }) in now {
        states.entry(process).or_default().extend(color.map(|color| (since, lasts, color)));
    }
    states
}

fn lanes(plan: &Plan, entries: &[Entry], verdict: &Verdict, scale: &Scale) -> Markup {
    let processes: Vec<&Member> = plan.members.iter().filter(|m| m.role != Role::Endpoint).collect();
    // With many, the first ones of each hall: those show what the others do.
    let each = (LANES_MOST / plan.spec.halls().len().max(1)).max(1);
    let mut shown: BTreeMap<&str, usize> = BTreeMap::new();
    let processes: Vec<&Member> = processes
        .into_iter()
        .filter(|member| {
            let count = shown.entry(hall_of(member)).or_default();
            *count += 1;
            *count <= each
        })
        .collect();
    let lane: BTreeMap<&str, usize> = processes.iter().enumerate().map(|(n, m)| (&m.name[..], n)).collect();
    let mut cells = vec![vec![(0.0_f64, 0.0_f64); scale.bins()]; processes.len()];
    for entry in entries {
        let What::Attempt { outcome, sent, .. } = &entry.what else { continue };
        if let (Some(lane), Some(bin)) = (lane.get(&*entry.process), scale.bin(*sent as f64 / 1e6)) {
            cells[*lane][bin].0 += 1.0;
            cells[*lane][bin].1 += f64::from(u8::from(!matches!(&**outcome, "ok" | "cancelled" | "moot")));
        }
    }
    let states = states(entries, scale.lasts);
    let height = processes.len() as f64 * LANE;
    html! {
        svg viewBox=(format!("0 0 {} {}", LEFT + WIDTH + 10.0, height + 16.0)) {
            @for (n, member) in processes.iter().enumerate() {
                @let y = n as f64 * LANE;
                text id=(member.name) x="2" y=(y + 8.5) font-size="8.5" { (member.name) }
                @for (from, to, color) in states.get(&member.name[..]).into_iter().flatten() {
                    rect x=(format!("{:.1}", scale.x(*from))) y=(y + 1.0) width=(format!("{:.1}", scale.x(*to) - scale.x(*from)))
                        height=(LANE - 2.0) fill=(color) {}
                }
                @for (bin, (all, bad)) in cells[n].iter().enumerate().filter(|(_, (_, bad))| *bad > 0.0) {
                    rect x=(format!("{:.1}", scale.x(bin as f64 * BIN_S))) y=(y + 2.0) width=(format!("{:.1}", WIDTH * BIN_S / scale.lasts))
                        height=(LANE - 4.0) fill="#c62828" fill-opacity=(format!("{:.2}", 0.2 + 0.8 * bad / all)) {}
                }
            }
            (bands(plan, verdict, scale, height))
        }
    }
}
