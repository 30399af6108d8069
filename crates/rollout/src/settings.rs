//! Checks of a proposed configuration and its rollout plan: sizes are bounded, and each setting has to be one that a
//! running sidecar can apply without a restart.

use curlewhub_config::{Problem, live};
use curlewhub_control_plane::configuration::{
    Canary, MAX_SETTINGS, MAX_SETTINGS_BYTES, MAX_ZONES, RolloutPlan, Settings,
};
use curlewhub_control_plane::record::MAX_TEXT_BYTES;

/// The longest allowed stage: an hour.
const MAX_STAGE_MS: u32 = 3_600_000;
const MAX_PER_MILLE: u16 = 1000;

/// All problems of the settings, both those for the whole fleet and those for single zones.
pub fn problems(settings: &Settings) -> Vec<Problem> {
    let oversized = size_problems(settings);
    if !oversized.is_empty() {
        return oversized; // values are parsed only if their number and size are bounded
    }
    let mut problems = live::problems(&settings.everywhere);
    for (zone, values) in &settings.zones {
        let in_this_zone = |problem: Problem| Problem { field: in_zone(&problem.field, zone), ..problem };
        problems.extend(live::problems(values).into_iter().map(in_this_zone));
    }
    problems
}

fn size_problems(settings: &Settings) -> Vec<Problem> {
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
    let has_long_name = settings.zones.keys().any(|zone| zone.len() > MAX_TEXT_BYTES);
    if has_long_name || settings.zones.len() > MAX_ZONES {
        let wrong = format!("{} zones", settings.zones.len());
        problems.push(problem("settings", &wrong, "up to 64, each up to 200 bytes"));
    }
    problems
}

fn in_zone(field: &str, zone: &str) -> String {
    format!("{field} in zone {}", zone.escape_debug())
}

/// All problems of a rollout plan.
pub fn plan_problems(plan: &RolloutPlan) -> Vec<Problem> {
    let RolloutPlan { canary: Canary { zones, per_mille }, .. } = plan;
    let mut problems = Vec::new();
    let mut check = |is_valid: bool, field: &str, wrong: String, allowed: &str| {
        if !is_valid {
            problems.push(problem(field, &wrong, allowed));
        }
    };
    let zones_fit = zones.len() <= MAX_ZONES && zones.iter().all(|zone| zone.len() <= MAX_TEXT_BYTES);
    check(zones_fit, "canary.zones", format!("{} zones", zones.len()), "up to 64, each up to 200 bytes");
    check(*per_mille <= MAX_PER_MILLE, "canary.per_mille", per_mille.to_string(), "0 to 1000");
    check(plan.soak_ms < plan.stage_ms, "soak_ms", plan.soak_ms.to_string(), "less than `stage_ms`");
    check(plan.stage_ms <= MAX_STAGE_MS, "stage_ms", plan.stage_ms.to_string(), "up to an hour");
    for (field, value) in [
        ("refused_most_per_mille", plan.refused_most_per_mille),
        ("failed_most_per_mille", plan.failed_most_per_mille),
    ] {
        check(value <= MAX_PER_MILLE, field, value.to_string(), "0 to 1000");
    }
    problems
}

/// The problems as text, one a line.
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
