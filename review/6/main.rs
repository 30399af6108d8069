//! Keyed jobs at endpoints of which some reads of a body take a second and a half; under one job in three the connection
//! is reset after it has begun. No repeat may run once the window for repeats is over.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 6;
const JOBS: usize = 90;
/// Between two jobs.
const PAUSE_MS: u64 = 150;
/// Bytes of a job's body.
const LENGTH: usize = 1_000_000;
const TIMEOUT_MS: u64 = 2000;
/// The settings' window for repeats, in milliseconds.
const WINDOW_MS: u64 = 600;
/// Every time limit grows by 50 ms.
const REPEATS_DROPPED_FOR: Duration = Duration::from_millis(WINDOW_MS + 50);
/// One read in three, of a first attempt or a repeat, and one first run in three are disturbed.
const ONE_IN: u64 = 3;
const SEED: u64 = 72;
/// How long a slow read of a body takes.
const READ_TIME: Duration = Duration::from_millis(1500);
const PIECE: usize = 8 * 1024;
/// How long a job has run when its connection is reset.
const RESET_AFTER: Duration = Duration::from_millis(40);

/// What the endpoints together remember of a job; they all drop its repeats.
#[derive(Default)]
struct Job {
    /// Attempts whose head has come.
    attempts: usize,
    first_run: Option<Instant>,
    runs: usize,
}

/// The jobs by key.
type Jobs = Arc<Mutex<HashMap<String, Job>>>;

/// Whether this job, by the number at the end of its key, is disturbed at this step; the same in each run.
fn is_drawn(key: &str, step: u64) -> bool {
    let number = u64::from_str_radix(&key[key.len() - 16..], 16).unwrap_or(0);
    let mut state = SEED ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ step.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    for _ in 0..3 {
        state = (state ^ state >> 29).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    (state >> 32) % ONE_IN == 0
}

/// Reads a body, all at once or evenly over this time.
fn read_body(from: &mut impl Read, length: usize, over: Option<Duration>) -> Option<()> {
    let start = Instant::now();
    let mut buffer = vec![0; PIECE];
    let mut read = 0;
    while read < length {
        if let Some(over) = over {
            let due = start + over.mul_f64(read as f64 / length as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let most = PIECE.min(length - read);
        read += from.read(&mut buffer[..most]).ok().filter(|n| *n > 0)?;
    }
    Some(())
}

fn serve(mut stream: TcpStream, name: String, jobs: Jobs, record: Record) -> Option<()> {
    let mut reader = BufReader::with_capacity(PIECE, stream.try_clone().ok()?);
    loop {
        let head = Message::read_head(&mut reader)?;
        let (id, key) = (head.header("x-request-id"), head.header("idempotency-key").to_owned());
        let attempt = {
            let mut jobs = jobs.lock().unwrap();
            let job = jobs.entry(key.clone()).or_default();
            job.attempts += 1;
            job.attempts
        };
        record.line(&format!("{name}: the head of {id}, attempt {attempt} of job {key}"));
        let length = head.header("content-length").parse().unwrap_or(0);
        let slowly = (trouble() && is_drawn(&key, attempt as u64)).then_some(READ_TIME);
        if slowly.is_some() {
            record.line(&format!("{name}: reads {id} slowly"));
        }
        if read_body(&mut reader, length, slowly).is_none() {
            record.line(&format!("{name}: {id} broke off before its last byte"));
            return None;
        }
        let (first, dropped) = {
            let mut jobs = jobs.lock().unwrap();
            let job = jobs.entry(key.clone()).or_default();
            let (now, first) = (Instant::now(), job.first_run.is_none());
            let after = now - *job.first_run.get_or_insert(now);
            let dropped = !first && after < REPEATS_DROPPED_FOR;
            job.runs += usize::from(!dropped);
            let what = if dropped { "drops a repeat of" } else { "runs" };
            let after = after.as_millis();
            record.line(&format!("{name}: the last byte of {id}; {what} job {key}, {after} ms after its first run"));
            (first, dropped)
        };
        if !dropped {
            thread::sleep(RESET_AFTER);
        }
        if first && trouble() && is_drawn(&key, 0) {
            record.line(&format!("{name}: the connection is reset under {id}"));
            reset(&stream);
            return None;
        }
        stream.write_all(&answer("200 OK", "", &key)).ok()?;
    }
}

fn client(to: SocketAddr, number: usize, record: &Record) -> u16 {
    let (id, key) = (new_id(), format!("{}{number:016x}", new_id()));
    let Ok(mut stream) = TcpStream::connect(to) else { return 0 };
    let _ = stream.set_nodelay(true);
    let head = Head {
        method: "POST",
        target: "/dose-record",
        id: &id,
        tenant: "berea-homecare",
        timeout_ms: TIMEOUT_MS,
        key: Some(&key),
        length: Some(LENGTH),
    };
    let written = stream.write_all(&head.bytes()).and_then(|()| stream.write_all(&vec![b'd'; LENGTH]));
    record.line(&format!("client: {id}, job {key}, written: {}", written.is_ok()));
    let _ = stream.set_read_timeout(Some(ms(TIMEOUT_MS + 1000)));
    let status = Message::read(&mut BufReader::new(&stream)).map_or(0, |answer| answer.status());
    record.line(&format!("client: {id} got {status}"));
    status
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let jobs = Jobs::default();
    let mut targets = Vec::new();
    for n in 0..ENDPOINTS {
        let (listener, address) = listen();
        // What an endpoint has not read stays with the sidecar, but for a few KiB.
        set_receive_buffer(listener.as_raw_fd(), PIECE as i32);
        set_segment_length(listener.as_raw_fd(), 1460);
        let name = format!("s-{n:04}");
        targets.push(Target {
            uid: name.clone(),
            address,
            zone: "dbn-1".into(),
            kind: "front-mid".into(),
            cell: 0,
            state: "up",
            boot_ms: 0,
        });
        let (jobs, record) = (jobs.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, jobs, record) = (name.clone(), jobs.clone(), record.clone());
                let _ = stream.set_nodelay(true);
                thread::spawn(move || serve(stream, name, jobs, record));
            }
        });
    }
    let discovery = Discovery::start(&record, targets);
    let window = |ms: u64| {
        format!(r#""name":"dose-record","semantics":"keyed","group":"all","repeatWindowMs":{ms}.0"#)
    };
    let settings = med_log(1).replace(&window(3000), &window(WINDOW_MS));
    if !settings.contains(&window(WINDOW_MS)) {
        could_not_run("the settings have no such class");
    }
    let told = Told {
        name: "n0".into(),
        listen: free_address(),
        operator: None,
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 1024,
        known: discovery.known(),
        settings,
    };
    let mut sidecar = Sidecar::start(&told, &folder.0);
    sidecar.wait_ready();
    thread::sleep(ms(500));
    let clients: Vec<_> = (0..JOBS)
        .map(|number| {
            let (to, record) = (told.listen, record.clone());
            thread::sleep(ms(PAUSE_MS));
            thread::spawn(move || client(to, number, &record))
        })
        .collect();
    let served = clients.into_iter().filter_map(|client| client.join().ok()).filter(|s| *s == 200).count();
    // What is still being written may yet run.
    thread::sleep(ms(1000));
    drop(sidecar);
    drop(folder);
    let jobs = jobs.lock().unwrap();
    let (mut again, mut twice) = (0, 0);
    for (key, job) in jobs.iter() {
        again += usize::from(job.attempts > 1);
        if job.runs > 1 {
            twice += 1;
            record.say(&format!("RAN TWICE: job {key}, {} runs of {} attempts", job.runs, job.attempts));
        }
    }
    record.say(&format!("jobs {JOBS}, served {served}, attempted more than once {again}, ran twice {twice}"));
    if !trouble() && served == 0 || trouble() && again == 0 {
        could_not_run("nothing was served, or nothing was sent again");
    }
    std::process::exit(i32::from(twice > 0));
}
