//! Case: a second copy of a good answer comes some milliseconds late.
mod world;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::{thread, time::Duration};
use world::*;

/// Share of the answers that have a second copy, and how many milliseconds late it comes.
const SECONDS: Seconds = Seconds { share: 0.1, late_ms: (2.0, 8.0) };
/// One way, from the site file: within a hall 0.18 to 0.34 ms, between halls 1.4 to 2.6 ms. The relay adds up to 0.1 ms.
const WITHIN: Duration = Duration::from_micros(220);
const BETWEEN: Duration = Duration::from_micros(2400);
const LENGTH: Duration = Duration::from_secs(80);

fn main() {
    watchdog(Duration::from_secs(112));
    let record = record();
    let field = Field::new(&record, 63);
    let mut endpoints = Vec::new();
    for (hall, count) in [("hall-nasr", 2), ("hall-maadi", 5), ("hall-giza", 5)] {
        for n in 0..count {
            let delay = if hall == "hall-nasr" { WITHIN } else { BETWEEN };
            endpoints.push(field.endpoint(&format!("{hall}-{n}"), hall, (100.0, 300.0), Some(delay)));
        }
    }
    let discovery = Discovery::start(&record, &endpoints);
    let platform = Platform::new(&record, discovery.address, discovery.whole());
    let mut process = platform.start();
    if !platform.ready(ms(10_000)) {
        println!("the sidecar is not ready\n{}", platform.log(0));
        finish(2);
    }
    if trouble() {
        for endpoint in &endpoints {
            *endpoint.seconds.lock().unwrap() = Some(SECONDS);
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let running = clients(platform.listen, &field, "c", 16, (0.0, 100.0), 0.35, &stop);
    thread::sleep(LENGTH);
    stop.store(true, SeqCst);
    let sent: Vec<Sent> = running.into_iter().flat_map(|t| t.join().unwrap()).collect();
    let is_own = |s: &Sent| match &s.answer {
        Answer::Served(body) => body.starts_with(&format!("answer to {} from ", s.id)),
        _ => true,
    };
    let foreign: Vec<&Sent> = sent.iter().filter(|s| !is_own(s)).collect();
    for s in &foreign {
        record.say(format!("FOREIGN: {} was served with {:?}", s.id, s.answer));
    }
    record.say(summary(&sent));
    record.say(format!("{} second copies, {} foreign answers", field.copies.load(SeqCst), foreign.len()));
    let served = sent.iter().filter(|s| matches!(s.answer, Answer::Served(_))).count();
    if !process.is_running() || served * 2 < sent.len() {
        println!("the sidecar ended, or serves too little for a verdict");
        finish(2);
    }
    finish(i32::from(!foreign.is_empty()));
}
