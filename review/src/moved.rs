//! Case: a new configuration moves discovery, and the new one has too many callers.
mod world;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

/// From SIGHUP to when all that discovery has to tell counts as told.
const TOLD_AFTER: Duration = Duration::from_secs(4);
/// `drainGraceMs`, and what every limit grows by on sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// How long a call waits for its turn before it fails (the site's `timeout_ms`), and how long there are too many callers.
const WAIT_MS: u64 = 3000;
const CROWD: Duration = Duration::from_secs(8);

fn main() {
    watchdog(Duration::from_secs(100));
    let record = record();
    let field = Field::new(&record, 63);
    let mut endpoints = Vec::new();
    for hall in ["hall-nasr", "hall-maadi", "hall-giza"] {
        for n in 0..4 {
            endpoints.push(field.endpoint(&format!("{hall}-{n}"), hall, (100.0, 300.0), None));
        }
    }
    let first = Discovery::start(&record, &endpoints);
    let platform = Platform::new(&record, first.address, first.whole());
    let mut process = platform.start();
    if !platform.ready(ms(10_000)) {
        println!("the sidecar is not ready\n{}", platform.log(0));
        finish(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let running = clients(platform.listen, &field, "c", 16, (0.0, 200.0), 0.35, &stop);
    thread::sleep(ms(5000));

    // The new discovery never lists a quarter of the endpoints: they are gone, and still answer.
    let (gone, listed): (Vec<_>, Vec<_>) = endpoints.iter().cloned().partition(|e| e.uid.ends_with("-0"));
    let second = Discovery::start(&record, &listed);
    second.begins_with_changes.store(true, SeqCst);
    if trouble() {
        second.crowded_ms.store(WAIT_MS, SeqCst);
        record.line("the new discovery has too many callers");
    }
    thread::sleep(ms(200));
    platform.move_discovery(0, second.address);
    process.signal("HUP");
    let moved = Instant::now();
    record.line("platform: SIGHUP");
    // The old one accepts no new connection, and closes the open ones after 1.5 s.
    thread::sleep(ms(1500));
    first.set_down(true);
    wait_until(moved + CROWD);
    second.crowded_ms.store(0, SeqCst);
    record.line("the new discovery has few callers");
    wait_until(moved + CROWD + ms(6000));
    stop.store(true, SeqCst);
    let sent: Vec<Sent> = running.into_iter().flat_map(|t| t.join().unwrap()).collect();

    let binding = moved + TOLD_AFTER + GRACE;
    let arrivals = field.arrivals.lock().unwrap().clone();
    let late: Vec<&Arrival> =
        arrivals.iter().filter(|a| a.began > binding && gone.iter().any(|e| e.uid == a.uid)).collect();
    let at = |t: Instant| t.saturating_duration_since(moved).as_secs_f64() * 1e3;
    for a in &late {
        record.line(format!("DRAIN: {} was sent {} {:.0} ms after SIGHUP", a.uid, a.id, at(a.began)));
    }
    record.say(summary(&sent));
    match (late.first(), late.last()) {
        (Some(first), Some(last)) => record.say(format!(
            "{} requests to endpoints that are gone, {:.0} to {:.0} ms after SIGHUP",
            late.len(),
            at(first.began),
            at(last.began)
        )),
        _ => record.say("no request to an endpoint that is gone"),
    }
    if !process.is_running() {
        println!("the sidecar ended, which is not this case's rule\n{}", platform.log(0));
        finish(2);
    }
    if !sent.iter().any(|s| s.at > binding && matches!(s.answer, Answer::Served(_))) {
        println!("nothing was served after SIGHUP");
        finish(2);
    }
    finish(i32::from(!late.is_empty()));
}
