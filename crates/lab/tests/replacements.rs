//! A sidecar replaced five times in a row under load against slow endpoints: every try has one answer, no keyed
//! job runs twice, and service during the replacements stays near what it was before.

mod support;

use curlewhub_lab::load::{Arrivals, Mix, Plan, Report, run};
use curlewhub_standins::books::Books;
use curlewhub_standins::{Fleet, FleetSpec};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use support::*;
use tokio::task::LocalSet;

const REPLACEMENTS: u32 = 5;

/// Six endpoints, each with a slow state that a backlog brings about.
fn fleet() -> Fleet {
    let mut text = "seed = 5\n[[classes]]\nname = \"proof-view\"\nwork = \"60ms\"\ncv = 0.4\n\
                    [[classes]]\nname = \"job-submit\"\nwork = \"70ms\"\nwindow = \"6s\"\n"
        .to_owned();
    for n in 0..6 {
        let speed = [2.0, 1.2, 0.8][n % 3];
        text += &format!(
            "[[endpoints]]\nid = \"e-{n}\"\nmachine = {{ speed = {speed:?}, choke = {{ at = 5.0, over = \"2s\", \
             slower = 3.0, below = 0.3, rest = \"3s\", most = \"20s\" }} }}\n"
        );
    }
    Fleet::start(FleetSpec::parse(&text).unwrap()).unwrap()
}

fn config(fleet: &Fleet, listen: SocketAddr) -> String {
    let mut text = format!("listen = \"{listen}\"\n[limits]\nsecond_copies = true\n");
    for (id, at) in &fleet.addresses().endpoints {
        text += &format!("[[endpoints]]\nid = \"{id}\"\naddress = \"{at}\"\n");
    }
    text + "[[classes]]\nname = \"proof-view\"\nrepeat = \"safe\"\nobjective = \"1.2s\"\ndeadline = \"3s\"\n\
            [[classes]]\nname = \"job-submit\"\nrepeat = \"keyed\"\nwindow = \"6s\"\nobjective = \"1.5s\"\ndeadline = \"4s\"\n"
}

fn term(sidecar: &Sidecar) {
    let pid = sidecar.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
}

/// Load while this is done on another thread; its phases are before, during and after.
fn under_load<T: Send + 'static>(
    listen: SocketAddr,
    during: impl FnOnce() -> T + Send + 'static,
) -> (Report, T) {
    let second = Duration::from_secs(1);
    let phases = [("before", 0), ("during", 3), ("after", 9)];
    let plan = Plan {
        targets: vec![listen],
        arrivals: Arrivals::Random(150.0),
        lasts: second * 12,
        mix: Mix::default(),
        seed: 11,
        phases: phases.map(|(name, from)| (name.to_owned(), second * from)).to_vec(),
        open_most: 1000,
    };
    let done = std::thread::spawn(move || {
        std::thread::sleep(second * 3); // the load's own clock: the phase that it names begins then
        during()
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let report = LocalSet::new().block_on(&runtime, run(plan, Books::default(), |_| {}));
    (report, done.join().unwrap())
}

#[test]
fn five_replacements_in_a_row_lose_no_request_and_run_no_job_twice() {
    let fleet = fleet();
    let folder = Folder::new("replaced");
    let listen = free();
    let file = folder.0.join("shop.toml");
    std::fs::write(&file, config(&fleet, listen)).unwrap();
    let first = Sidecar::start(&file, &folder.0);
    let state = folder.0.clone();
    let (report, _last) = under_load(listen, move || {
        let mut all = vec![first];
        for _ in 0..REPLACEMENTS {
            let next = Sidecar::start(&file, &state);
            term(all.last().unwrap());
            all.push(next);
        }
        // The last one serves until all load has ended; the others end by themselves.
        for old in &mut all[..REPLACEMENTS as usize] {
            assert!(old.0.wait().unwrap().success());
        }
        all.pop()
    });
    let (all, books) = (report.classes.last().unwrap().clone(), fleet.totals());
    println!("{}", curlewhub_lab::load::table(&report));
    assert!(report.one_answer_each(), "{report:#?}");
    assert_eq!(books.ran_twice, 0, "{:?}", fleet.ledger().twice());
    assert_eq!(all.asked, all.served + all.refused + all.failed + all.unanswered);
    let share = |phase: usize| {
        let all = &report.phases[phase].all;
        all.served as f64 / all.asked as f64
    };
    // Far below what is measured, so that a slow machine changes no verdict: a flood or a jam takes far more.
    assert!(share(1) > share(0) - 0.2 && share(2) > share(0) - 0.2, "{:?}", [share(0), share(1), share(2)]);
}
