//! The form and the counts of the resource-growth command, at tiny sizes, and its bounds; no speed.

use clap::Parser;
use curlewhub_lab::resource_growth::{Figures, ResourceGrowth, Size, rows};
use std::path::Path;

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    growth: ResourceGrowth,
}

fn growth(words: &str) -> ResourceGrowth {
    let words = format!("resource-growth {words}");
    Cli::try_parse_from(words.split_whitespace()).expect("the words are right").growth
}

#[test]
fn a_tiny_run_counts_what_the_rows_need() {
    let growth = growth("--usual 4:2 --large 44:20 --rate 40 --seconds 1");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let lab = Path::new(env!("CARGO_BIN_EXE_curlewhub-lab"));
    let report =
        tokio::task::LocalSet::new().block_on(&runtime, growth.measure(lab)).expect("everything starts");
    for figures in [&report.usual, &report.large] {
        assert!(figures.asked > 10 && figures.served <= figures.asked, "{figures:?}");
        assert!(figures.connections > 0 && figures.processor_seconds > 0.0, "{figures:?}");
        assert!(figures.descriptors > 5 && figures.peak_memory_bytes > 1 << 20, "{figures:?}");
    }
    assert_eq!(report.usual.asked, report.large.asked, "the same traffic");
    assert!(report.usual.list_bytes > 4 * 50, "each endpoint has its entry: {report:?}");
    assert!(report.large.list_bytes > 10 * report.usual.list_bytes / 2, "{report:?}");
    assert_eq!(report.held, report.rows.iter().all(|row| row.held));
    let table = report.table();
    let named =
        ["processor time", "peak memory", "descriptors", "connections", "bytes of lists", "share served"];
    for (row, name) in report.rows.iter().zip(named) {
        assert!(row.what.starts_with(name) && table.contains(row.what), "{table}");
    }
    assert_eq!(report.rows.len(), named.len());
    let written = serde_json::to_value(&report).unwrap();
    assert_eq!(written["rows"].as_array().unwrap().len(), 6);
}

fn figures(endpoints: u32) -> Figures {
    Figures {
        size: Size { endpoints, sidecars: 1 },
        processor_seconds: 1.0,
        peak_memory_bytes: 10_000_000,
        descriptors: 30,
        connections: 100,
        list_bytes: 50_000,
        asked: 1000,
        served: 1000,
        unanswered_tries: 0,
    }
}

#[test]
fn each_row_holds_up_to_its_bound_and_not_beyond() {
    let at_bound = Figures {
        processor_seconds: 1.4 + 0.02 + 0.09,
        peak_memory_bytes: 15_000_000 + 8_000_000 + 12_000_000,
        descriptors: 100,
        connections: 290,
        list_bytes: 100_000 + 64_000 + 1_500_000,
        served: 850,
        ..figures(3200)
    };
    assert!(rows(&figures(200), &at_bound).iter().all(|row| row.held));
    let beyond = Figures {
        processor_seconds: at_bound.processor_seconds + 0.001,
        peak_memory_bytes: at_bound.peak_memory_bytes + 1,
        descriptors: 101,
        connections: 291,
        list_bytes: at_bound.list_bytes + 1,
        served: 849,
        ..at_bound
    };
    assert!(rows(&figures(200), &beyond).iter().all(|row| !row.held));
}

#[test]
fn what_makes_no_sense_is_named() {
    let problems = growth("--usual 20:2 --large 10:2 --rate 0 --seconds 0").problems();
    for field in ["--rate", "--seconds", "--large"] {
        assert_eq!(problems.iter().filter(|problem| problem.starts_with(field)).count(), 1, "{problems:?}");
    }
    assert!("3200".parse::<Size>().is_err() && "0:5".parse::<Size>().is_err());
}
