//! The books as a table.

use super::tally::{ClassReport, Report};
use comfy_table::{Cell, CellAlignment, Table, presets};

/// The books, for a person.
pub fn table(report: &Report) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    let head = ["", "asked", "served", "in time", "refused", "failed", "unanswered", "retries"];
    table.set_header(head.into_iter().chain(["p50 ms", "p90", "p99", "p99.9", "max"]));
    for phase in &report.phases {
        table.add_row(row(&format!("{} (from {:.1} s)", phase.phase, phase.from_s), &phase.all));
    }
    for class in &report.classes {
        table.add_row(row(&class.class, class));
    }
    format!(
        "{table}\ntries {}, of them unanswered {}, answered twice {}, with another's answer {}, late {}; not sent {}\n",
        report.tries,
        report.unanswered_tries,
        report.answered_twice,
        report.wrong_answers,
        report.late_answers,
        report.not_sent
    )
}

fn row(name: &str, count: &ClassReport) -> Vec<Cell> {
    let part = |n: u64| if count.asked == 0 { 0.0 } else { n as f64 * 100.0 / count.asked as f64 };
    let share = |n: u64| format!("{n} ({:.1}%)", part(n));
    let ms = count.latency_ms;
    let mut cells = vec![Cell::new(name)];
    let texts = [
        count.asked.to_string(),
        share(count.served),
        share(count.in_time),
        count.refused.to_string(),
        count.failed.to_string(),
        count.unanswered.to_string(),
        count.retries.to_string(),
    ];
    let millis = [ms.p50, ms.p90, ms.p99, ms.p999, ms.max].map(|ms| format!("{ms:.1}"));
    let right = |text: String| Cell::new(text).set_alignment(CellAlignment::Right);
    cells.extend(texts.into_iter().chain(millis).map(right));
    cells
}
