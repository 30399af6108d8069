//! Long jobs while one of ten endpoints takes some seconds to read a body: each job whose last byte the sidecar's machine
//! has is owed its final answer in its client's time.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 10;
/// How long the endpoint takes to read a body, evenly.
const READ_TIME: Duration = Duration::from_secs(5);
const TIMEOUT_MS: u64 = 2000;
/// Half a second after its time a request is lost; every time limit grows by 50 ms.
const LOST_AFTER: Duration = Duration::from_millis(TIMEOUT_MS + 500 + 50);
const CLIENTS: usize = 16;
/// From the first job to the last.
const DAY: Duration = Duration::from_secs(14);
/// The endpoint reads slowly from then on.
const SLOW_AT: Duration = Duration::from_secs(3);

struct Endpoint {
    is_slow: AtomicBool,
    /// Requests that came while it read slowly.
    met: AtomicUsize,
}

/// A sound server with a small socket buffer.
fn serve(mut stream: TcpStream, name: String, endpoint: Arc<Endpoint>, record: Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = Message::read_head(&mut reader)?;
        let id = head.header("x-request-id");
        record.line(&format!("{name}: the head of {id} has come"));
        let is_slow = endpoint.is_slow.load(Ordering::SeqCst);
        if is_slow {
            endpoint.met.fetch_add(1, Ordering::SeqCst);
        }
        let length = head.header("content-length").parse::<usize>().unwrap_or(0);
        let (start, mut read, mut buffer) = (Instant::now(), 0, vec![0; 64 * 1024]);
        while read < length {
            if is_slow {
                let due = start + READ_TIME.mul_f64(read as f64 / length as f64);
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            let most = (length - read).min(buffer.len());
            read += reader.read(&mut buffer[..most]).ok().filter(|n| *n > 0)?;
        }
        record.line(&format!("{name}: runs {id}, read in {:.3} s", start.elapsed().as_secs_f64()));
        thread::sleep(ms(40));
        stream.write_all(&answer("200 OK", "", id)).ok()?;
    }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let (mut targets, mut endpoints) = (Vec::new(), Vec::new());
    for n in 0..ENDPOINTS {
        let (listener, address) = listen();
        set_receive_buffer(listener.as_raw_fd(), 64 * 1024);
        set_segment_length(listener.as_raw_fd(), 1460);
        let endpoint = Arc::new(Endpoint { is_slow: AtomicBool::new(false), met: AtomicUsize::new(0) });
        endpoints.push(endpoint.clone());
        let (name, state) = (format!("s-{n:04}"), "up");
        targets.push(Target {
            uid: name.clone(),
            address,
            zone: "dbn-1".into(),
            kind: "front-mid".into(),
            cell: 0,
            state,
            boot_ms: 0,
        });
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, endpoint, record) = (name.clone(), endpoint.clone(), record.clone());
                thread::spawn(move || serve(stream, name, endpoint, record));
            }
        });
    }
    let discovery = Discovery::start(&record, targets);
    let told = Told {
        name: "n0".into(),
        listen: free_address(),
        operator: None,
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 1024,
        known: discovery.known(),
        settings: med_log(1),
    };
    let mut sidecar = Sidecar::start(&told, &folder.0);
    sidecar.wait_ready();
    thread::sleep(ms(1500));
    if trouble() {
        let (endpoint, record) = (endpoints[3].clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(SLOW_AT);
            endpoint.is_slow.store(true, Ordering::SeqCst);
            record.say("s-0003 takes 5 s to read a body from now on");
        });
    }
    let (lost, served, other) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lost, served, other) =
                (record.clone(), lost.clone(), served.clone(), other.clone());
            let to = told.listen;
            thread::spawn(move || {
                let (mut n, mut kept) = (client * 7, None);
                while start.elapsed() < DAY {
                    n += 1;
                    // 4 to 6 MB.
                    let length = (32 + n % 16) << 17;
                    let result = job(to, &mut kept, length, &record);
                    let count = match result {
                        Ended::Lost => &lost,
                        Ended::Served => &served,
                        Ended::Other => &other,
                    };
                    *count.lock().unwrap() += 1;
                    thread::sleep(ms(150));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let (lost, served, other) = (*lost.lock().unwrap(), *served.lock().unwrap(), *other.lock().unwrap());
    record
        .say(&format!("jobs served {served}, refused or failed in time or not taken {other}, lost {lost}"));
    drop(sidecar);
    drop(folder);
    if served == 0 {
        could_not_run("nothing was served");
    }
    if trouble() && endpoints[3].met.load(Ordering::SeqCst) == 0 {
        could_not_run("no job met the endpoint that reads slowly");
    }
    std::process::exit(i32::from(lost > 0));
}

enum Ended {
    Served,
    Other,
    Lost,
}

fn job(to: SocketAddr, kept: &mut Option<TcpStream>, length: usize, record: &Record) -> Ended {
    let (id, key) = (new_id(), format!("{}{}", new_id(), new_id()));
    // Clients keep their connections.
    let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(to).ok()) else { return Ended::Other };
    let _ = stream.set_nodelay(true);
    // What a client has written is soon at the sidecar's machine.
    set_send_buffer(stream.as_raw_fd(), 64 * 1024);
    let head = Head {
        method: "POST",
        target: "/dose-record",
        id: &id,
        tenant: "berea-homecare",
        timeout_ms: TIMEOUT_MS,
        key: Some(&key),
        length: Some(length),
    };
    let body = vec![b'd'; length];
    record.line(&format!("client: sends {id}, {} KiB", length >> 10));
    let written = stream.write_all(&head.bytes()).and_then(|()| stream.write_all(&body)).is_ok();
    // Taken: the last byte is written, and the sidecar's machine has acknowledged all of it. What the client's own
    // machine still holds is not judged.
    let last = Instant::now();
    while written && unacknowledged(&stream) > 0 && last.elapsed() < ms(100) {
        thread::sleep(ms(1));
    }
    let taken = written && unacknowledged(&stream) == 0;
    let last = Instant::now();
    record.line(&format!("client: wrote the last byte of {id}, taken: {taken}"));
    // The client waits for its time and the half second more, and then leaves.
    let _ = stream.set_read_timeout(Some(LOST_AFTER + ms(50)));
    let answer = Message::read(&mut BufReader::new(&stream));
    let took = last.elapsed();
    let status = answer.as_ref().map_or(0, Message::status);
    record.line(&format!("client: {id} got {status} {:.3} s after that", took.as_secs_f64()));
    // A connection that the sidecar has closed without an answer is not judged here.
    if taken && took > LOST_AFTER {
        let what = if status == 0 { "no answer".to_owned() } else { format!("a {status}") };
        let took = took.as_secs_f64();
        record.say(&format!(
            "LOST: {id}, {what} {took:.3} s after its last byte; its client waits {TIMEOUT_MS} ms"
        ));
        return Ended::Lost;
    }
    if answer.is_some_and(|answer| !answer.header("connection").eq_ignore_ascii_case("close")) {
        *kept = Some(stream);
    }
    if status == 200 { Ended::Served } else { Ended::Other }
}
