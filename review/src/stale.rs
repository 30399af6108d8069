//! Case: the process is replaced while discovery is down, after endpoints have begun to drain.
mod world;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(8);
/// `drainGraceMs`, and what every limit grows by on sockets.
const GRACE: Duration = Duration::from_millis(250 + 50);
/// From the yes of the new process to when news of discovery binds.
const BINDS: Duration = Duration::from_millis(2000);

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
    let discovery = Discovery::start(&record, &endpoints);
    // The list that the sidecar is given: the same at each start of `run`.
    let platform = Platform::new(&record, discovery.address, discovery.whole());
    let mut old = platform.start();
    if !platform.ready(ms(10_000)) {
        println!("the sidecar is not ready\n{}", platform.log(0));
        finish(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut running = clients(platform.listen, &field, "few", 4, (500.0, 1500.0), 0.35, &stop);
    thread::sleep(ms(5000));

    // A quarter of the endpoints begin to drain, and stay up to the end.
    let drained: Vec<_> = endpoints.iter().filter(|e| e.uid.ends_with("-0")).cloned().collect();
    for endpoint in &drained {
        discovery.set(endpoint, "draining");
        endpoint.draining.store(true, SeqCst);
    }
    let version = 1 + drained.len() as u64;
    let latest = Instant::now() + ms(15_000);
    while !discovery.told.lock().unwrap().iter().any(|(told, _)| *told == version) {
        if Instant::now() > latest {
            println!("the sidecar has no watch");
            finish(2);
        }
        thread::sleep(ms(10));
    }
    let told = Instant::now();
    thread::sleep(ms(5000));

    // The process is replaced; with the disruption, discovery has just gone down.
    let down = Instant::now();
    if trouble() {
        discovery.set_down(true);
    }
    thread::sleep(ms(100));
    let mut new = platform.start();
    let started = Instant::now();
    while new.call("PING") != "YES" {
        if started.elapsed() > ms(6000) {
            println!("no yes within 6 s\n{}", platform.log(1));
            finish(2);
        }
        thread::sleep(ms(20));
    }
    let yes = Instant::now();
    record.say(format!("yes of the new process after {:.0} ms", (yes - started).as_secs_f64() * 1e3));
    old.signal("TERM");
    record.line("platform: SIGTERM to the old process");
    let binding = yes + BINDS + GRACE;
    wait_until(binding + ms(50));
    running.extend(clients(platform.listen, &field, "burst", 24, (0.0, 200.0), 0.35, &stop));
    wait_until(yes + ms(3700));
    if old.is_running() {
        record.line("platform: SIGKILL to the old process");
        old.kill();
    }
    wait_until(down + OUTAGE);
    if trouble() {
        discovery.set_down(false);
    }
    thread::sleep(ms(4000));
    stop.store(true, SeqCst);
    let sent: Vec<Sent> = running.into_iter().flat_map(|t| t.join().unwrap()).collect();

    let at = |t: Instant, from: Instant| t.saturating_duration_since(from).as_secs_f64() * 1e3;
    let arrivals = field.arrivals.lock().unwrap().clone();
    let late = |a: &&Arrival| {
        drained.iter().any(|e| e.uid == a.uid) && ((a.began > told + GRACE && a.began < yes) || a.began > binding)
    };
    let late: Vec<Arrival> = arrivals.iter().filter(late).cloned().collect();
    for a in &late {
        record.say(format!(
            "DRAIN: {} was sent {} {:.0} ms after its drain was told, {:.0} ms after the yes",
            a.uid,
            a.id,
            at(a.began, told),
            at(a.began, yes)
        ));
    }
    record.say(summary(&sent));
    if !new.is_running() {
        println!("the new process ended\n{}", platform.log(1));
        finish(1);
    }
    if !sent.iter().any(|s| s.at > binding && matches!(s.answer, Answer::Served(_))) {
        println!("nothing was served after the replacement");
        finish(2);
    }
    finish(i32::from(!late.is_empty()));
}
