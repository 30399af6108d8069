//! Keyed jobs that are out at a process when it is killed, and are asked for again at the one after it: none runs
//! twice, by the books of the endpoints.

mod support;

use curlewhub_standins::{Fleet, FleetSpec};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use support::*;

/// Jobs out at once: more than the sidecar sends to its own zone alone.
const JOBS: usize = 10;

/// Two endpoints in each of two zones, whose jobs take seconds.
fn fleet() -> Fleet {
    let mut text = "seed = 5\n[[classes]]\nname = \"proof-view\"\nwork = \"1ms\"\n\
                    [[classes]]\nname = \"job-submit\"\nwork = \"2s\"\nwindow = \"60s\"\n"
        .to_owned();
    for n in 0..4 {
        let zone = ["a", "b"][n % 2];
        text += &format!(
            "[[endpoints]]\nid = \"e-{n}\"\nzone = \"{zone}\"\nmachine = {{ cold_share = 1.0 }}\n"
        );
    }
    Fleet::start(FleetSpec::parse(&text).unwrap()).unwrap()
}

fn config(fleet: &Fleet, listen: SocketAddr) -> String {
    let mut text = format!("listen = \"{listen}\"\nzones = [\"a\", \"b\"]\nzone = \"a\"\n");
    for (n, (id, at)) in fleet.addresses().endpoints.iter().enumerate() {
        let zone = ["a", "b"][n % 2];
        text += &format!("[[endpoints]]\nid = \"{id}\"\naddress = \"{at}\"\nzone = \"{zone}\"\n");
    }
    text + "[[classes]]\nname = \"proof-view\"\nrepeat = \"safe\"\nobjective = \"9s\"\ndeadline = \"20s\"\n\
            [[classes]]\nname = \"job-submit\"\nrepeat = \"keyed\"\ngroup = \"zone\"\nwindow = \"60s\"\n\
            objective = \"19s\"\ndeadline = \"20s\"\n"
}

/// A connection to whoever accepts.
fn connect(listen: SocketAddr) -> TcpStream {
    let mut stream = None;
    wait_for("a connection", || {
        stream = TcpStream::connect(listen).ok();
        stream.is_some()
    });
    let stream = stream.unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn view(stream: &mut TcpStream, id: usize) -> u16 {
    write!(
        stream,
        "GET /proof-view/x HTTP/1.1\r\nHost: t\r\nX-Request-ID: v{id}\r\nX-Timeout: 20000m\r\n\r\n"
    )
    .unwrap();
    status(stream)
}

fn submit(stream: &mut TcpStream, job: usize, again: usize) {
    write!(
        stream,
        "POST /job-submit/x HTTP/1.1\r\nHost: t\r\nX-Request-ID: j{job}-{again}\r\nX-Timeout: 20000m\r\n\
         Idempotency-Key: k{job}\r\nContent-Length: 3\r\n\r\njob"
    )
    .unwrap();
}

/// The status of an answer, which is read whole.
fn status(stream: &TcpStream) -> u16 {
    let mut reader = BufReader::new(stream);
    let mut line = || {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        line.trim_end().to_owned()
    };
    let first = line();
    let mut length = 0;
    loop {
        let header = line().to_ascii_lowercase();
        match header.strip_prefix("content-length:") {
            Some(bytes) => length = bytes.trim().parse().unwrap(),
            None if header.is_empty() => break,
            None => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_else(|| panic!("{first}"))
}

/// Where the jobs began: one entry for each run.
fn zones(fleet: &Fleet) -> Vec<u64> {
    let ledger = fleet.ledger();
    let at = |n: usize| ledger.ran_at(&format!("e-{n}"));
    vec![at(0) + at(2), at(1) + at(3)]
}

/// Jobs go out, the process is killed, `then` says what serves from then on, and every client asks again.
fn killed(name: &str, beside: bool, then: impl FnOnce(&Path, &Path) -> Vec<Sidecar>) {
    let fleet = fleet();
    let folder = Folder::new(name);
    let listen = free();
    let file = folder.0.join("shop.toml");
    std::fs::write(&file, config(&fleet, listen)).unwrap();
    let first = Sidecar::start(&file, &folder.0);
    // Their connections are the first one's, whoever comes later.
    let mut clients: Vec<TcpStream> = (0..JOBS).map(|_| connect(listen)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(view(client, n), 200);
    }
    let second = beside.then(|| Sidecar::start(&file, &folder.0));
    let before = zones(&fleet);
    for (job, client) in clients.iter_mut().enumerate() {
        submit(client, job, 0);
    }
    wait_for("all jobs to run", || fleet.totals().ran as usize == 2 * JOBS);
    let ran: Vec<u64> = zones(&fleet).iter().zip(before).map(|(now, before)| now - before).collect();
    assert!(ran.iter().all(|ran| *ran > 0), "both zones run some: {ran:?}");
    drop(first);
    let _serving = (second, then(&file, &folder.0));
    clients = (0..JOBS).map(|_| connect(listen)).collect();
    for (job, client) in clients.iter_mut().enumerate() {
        submit(client, job, 1);
    }
    for client in &clients {
        assert_eq!(status(client), 200);
    }
    let books = fleet.totals();
    assert_eq!(books.ran_twice, 0, "{:?}", fleet.ledger().twice());
    assert_eq!(books.repeats_dropped as usize, JOBS, "each came to where it had run");
}

#[test]
fn a_job_out_at_a_process_killed_amid_the_overlap_runs_once() {
    killed("overlap", true, |_, _| Vec::new());
}

#[test]
fn a_job_out_at_a_process_killed_alone_runs_once() {
    killed("alone", false, |file, folder| vec![Sidecar::start(file, folder)]);
}

#[test]
fn a_job_is_remembered_over_two_processes_killed_in_a_row() {
    killed("row", false, |file, folder| {
        drop(Sidecar::start(file, folder));
        // All that the first one left is gone: the second one has to have written it down again.
        let left = std::fs::read_dir(folder).unwrap().flatten().map(|entry| entry.path());
        let mut left: Vec<PathBuf> =
            left.filter(|path| path.to_string_lossy().contains("curlewhub-keys-")).collect();
        left.sort();
        assert_eq!(left.len(), 2);
        std::fs::remove_file(&left[0]).unwrap();
        vec![Sidecar::start(file, folder)]
    });
}
