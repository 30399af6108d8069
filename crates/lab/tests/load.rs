//! The load tool against peers that do wrong: each wrong is told apart, and no request is lost in the books.

use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::Span;
use curlewhub_lab::load::{Arrivals, Mix, Plan, Report, run, table};
use curlewhub_standins::books::Books;
use curlewhub_standins::{Fault, Fleet, FleetSpec};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tokio::task::LocalSet;

/// A peer that answers each request with what this makes of its id.
fn peer(answer: impl Fn(&str) -> String + Send + Sync + Copy + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let (mut line, mut id) = (String::new(), String::new());
                while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if let Some(value) = line.strip_prefix("X-Request-ID: ") {
                        id = value.trim().to_owned();
                    }
                    if line == "\r\n" && reader.get_mut().write_all(answer(&id).as_bytes()).is_err() {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    at
}

fn answer(status: &str, extra: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Views alone, with little patience, and this many retries.
fn views(retries: u32) -> Mix {
    let mut mix = Mix::default();
    mix.classes.truncate(1);
    mix.classes[0].deadline = Span(Duration::from_millis(2000));
    mix.retry.most = retries;
    mix.retry.backoff = Span(Duration::from_millis(1));
    mix
}

fn play(target: SocketAddr, mix: Mix, arrivals: Arrivals, millis: u64) -> Report {
    let plan = Plan {
        targets: vec![target],
        arrivals,
        lasts: Duration::from_millis(millis),
        mix,
        seed: 5,
        phases: Vec::new(),
        open_most: 1000,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let report = LocalSet::new().block_on(&runtime, run(plan, Books::default(), |_| {}));
    for class in &report.classes {
        let ended = class.served + class.refused + class.failed + class.unanswered;
        assert_eq!(class.asked, ended, "each request ends in one count: {class:?}");
    }
    assert!(table(&report).contains("| all "));
    report
}

#[test]
fn what_is_right_is_served_and_nothing_is_wrong() {
    let at = peer(|id| answer("200 OK", "", id));
    for arrivals in [Arrivals::Random(200.0), Arrivals::Even(200.0), Arrivals::Closed(4)] {
        let report = play(at, views(0), arrivals, 300);
        let all = report.classes.last().unwrap();
        assert!(all.asked > 10 && all.served == all.asked, "{all:?}");
        assert!(report.one_answer_each());
    }
}

#[test]
fn a_second_answer_another_ones_answer_and_none_are_told_apart() {
    let twice = peer(|id| answer("200 OK", "", id) + &answer("200 OK", "", id));
    let report = play(twice, views(0), Arrivals::Even(100.0), 200);
    assert!(report.answered_twice > 0 && !report.one_answer_each());
    let others = peer(|_| answer("200 OK", "", "what was made for somebody else"));
    let report = play(others, views(0), Arrivals::Even(100.0), 200);
    assert!(report.wrong_answers == report.tries && !report.one_answer_each(), "{report:?}");
    assert_eq!(report.classes.last().unwrap().served, 0);
    let closes = peer(|_| "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n".to_owned() + "half");
    let mut mix = views(0);
    mix.classes[0].deadline = Span(Duration::from_millis(50));
    let report = play(closes, mix, Arrivals::Even(20.0), 100);
    assert!(report.unanswered_tries > 0 && !report.one_answer_each());
}

#[test]
fn refusals_are_tried_again_and_count_as_refused_in_the_end() {
    let busy = peer(|_| answer("503 Service Unavailable", "Retry-After: 0.01\r\n", "refused"));
    let report = play(busy, views(2), Arrivals::Even(100.0), 200);
    let all = report.classes.last().unwrap();
    assert_eq!((all.refused, all.retries, report.tries), (all.asked, all.asked * 2, all.asked * 3));
    assert!(report.one_answer_each(), "a refusal is an answer");
}

#[test]
fn nobody_there_is_no_answer_and_too_many_open_are_not_sent() {
    let gone = TcpListener::bind("127.77.0.1:0").unwrap().local_addr().unwrap();
    let report = play(gone, views(0), Arrivals::Even(100.0), 100);
    assert_eq!(report.classes.last().unwrap().unanswered, report.tries);
    let spec = "[[classes]]\nname = \"proof-view\"\nwork = \"1ms\"\n[[endpoints]]\nid = \"a\"\n";
    let fleet = Fleet::start(FleetSpec::parse(spec).unwrap()).unwrap();
    fleet.order(Some("a"), Fault::Slow { factor: 200.0 }).unwrap();
    let plan = Plan {
        targets: vec![fleet.endpoint("a").unwrap()],
        arrivals: Arrivals::Even(500.0),
        lasts: Duration::from_millis(200),
        mix: views(0),
        seed: 5,
        phases: Vec::new(),
        open_most: 3,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let report = LocalSet::new().block_on(&runtime, run(plan, Books::default(), |_| {}));
    assert!(report.not_sent > 0, "{report:?}");
    assert_eq!(report.tries, fleet.totals().came, "all others came");
}

#[test]
fn a_latency_counts_from_when_its_request_was_due() {
    // One core and 60 ms of work each, one every 20 ms: whoever counted from sending alone, one at a time,
    // would find 60 ms for all of them.
    let spec = "[[classes]]\nname = \"job\"\nwork = \"60ms\"\n[[endpoints]]\nid = \"a\"\n\
                machine = { cores = 1, slots = 1, queue = 100 }\n";
    let fleet = Fleet::start(FleetSpec::parse(spec).unwrap()).unwrap();
    let mut mix = views(0);
    mix.classes[0].name = "job".to_owned();
    mix.classes[0].repeat = RepeatPolicy::Never;
    mix.classes[0].deadline = Span(Duration::from_secs(20));
    let report = play(fleet.endpoint("a").unwrap(), mix, Arrivals::Even(50.0), 600);
    let all = report.classes.last().unwrap();
    assert!(all.served == all.asked && all.latency_ms.max > 600.0, "{all:?}");
}
