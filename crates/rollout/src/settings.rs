//! What a configuration may hold: bounded, and each field one that a running sidecar takes.

use curlewhub_config::{Problem, live};
use curlewhub_control_plane::configuration::{
    Canary, MAX_SETTINGS, MAX_SETTINGS_BYTES, MAX_ZONES, RolloutPlan, Settings,
};
use curlewhub_control_plane::record::MAX_TEXT_BYTES;

/// A stage may take no longer than this many milliseconds.
const STAGE_MOST_MS: u32 = 3_600_000;
const PER_MILLE_MOST: u16 = 1000;

/// All that is wrong with settings, in each of their parts.
pub fn problems(settings: &Settings) -> Vec<Problem> {
    let mut problems = bounds(settings);
    // What is out of its bounds is not parsed.
    if problems.is_empty() {
        problems = live::problems(&settings.everywhere);
        for (zone, values) in &settings.zones {
            let of_zone = |problem: Problem| Problem { field: in_zone(&problem.field, zone), ..problem };
            problems.extend(live::problems(values).into_iter().map(of_zone));
        }
    }
    problems
}

fn bounds(settings: &Settings) -> Vec<Problem> {
    let count = settings.iter().count();
    let size =
        |zone: Option<&str>, field: &str, value: &str| zone.map_or(0, str::len) + field.len() + value.len();
    let bytes: usize = settings.iter().map(|(zone, field, value)| size(zone, field, value)).sum();
    let mut problems = Vec::new();
    if count > MAX_SETTINGS {
        problems.push(problem("settings", &format!("{count} settings"), &format!("up to {MAX_SETTINGS}")));
    }
    if bytes > MAX_SETTINGS_BYTES {
        problems.push(problem(
            "settings",
            &format!("{bytes} bytes"),
            &format!("up to {MAX_SETTINGS_BYTES}"),
        ));
    }
    let long = settings.zones.keys().filter(|zone| zone.len() > MAX_TEXT_BYTES).count();
    if long > 0 || settings.zones.len() > MAX_ZONES {
        let wrong = format!("{} zones", settings.zones.len());
        problems.push(problem("settings", &wrong, "up to 64, each up to 200 bytes"));
    }
    problems
}

fn in_zone(field: &str, zone: &str) -> String {
    format!("{field} in zone {}", zone.escape_debug())
}

/// All that is wrong with a plan.
pub fn plan_problems(plan: &RolloutPlan) -> Vec<Problem> {
    let RolloutPlan { canary: Canary { zones, per_mille }, .. } = plan;
    let mut problems = Vec::new();
    let mut wants = |holds: bool, field: &str, wrong: String, allowed: &str| {
        if !holds {
            problems.push(problem(field, &wrong, allowed));
        }
    };
    let zones_fit = zones.len() <= MAX_ZONES && zones.iter().all(|zone| zone.len() <= MAX_TEXT_BYTES);
    wants(zones_fit, "canary.zones", format!("{} zones", zones.len()), "up to 64, each up to 200 bytes");
    wants(*per_mille <= PER_MILLE_MOST, "canary.per_mille", per_mille.to_string(), "0 to 1000");
    wants(plan.soak_ms < plan.stage_ms, "soak_ms", plan.soak_ms.to_string(), "less than `stage_ms`");
    wants(plan.stage_ms <= STAGE_MOST_MS, "stage_ms", plan.stage_ms.to_string(), "up to an hour");
    for (field, value) in [
        ("refused_most_per_mille", plan.refused_most_per_mille),
        ("failed_most_per_mille", plan.failed_most_per_mille),
    ] {
        wants(value <= PER_MILLE_MOST, field, value.to_string(), "0 to 1000");
    }
    problems
}

/// Problems, one a line.
pub fn listed(problems: &[Problem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn problem(field: &str, wrong: &str, allowed: &str) -> Problem {
    Problem {
        source: live::SOURCE.to_owned(),
        line: None,
        field: field.to_owned(),
        problem: wrong.to_owned(),
        allowed: allowed.to_owned(),
    }
}
