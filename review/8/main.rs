//! Jobs with a body of a little over one MiB, while one of ten endpoints takes requests and answers none for some
//! seconds: each job is owed its final answer in its client's time.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 10;
const JOBS: usize = 80;
/// Bytes of a job's body: one MiB and some more.
const LENGTH: usize = (1 << 20) + 2000;
const TIMEOUT_MS: u64 = 2000;
/// How long the endpoint hangs.
const HANG: Duration = Duration::from_secs(15);
/// Half a second after its time a request is lost; every time limit grows by 50 ms.
const LOST_AFTER: Duration = Duration::from_millis(TIMEOUT_MS + 500 + 50);
/// The client waits a little longer than that, and then leaves.
const PATIENCE: Duration = Duration::from_millis(TIMEOUT_MS + 500 + 50 + 50);

/// A server that works on each request for 40 ms. While it hangs, it reads requests and answers none.
fn serve(mut stream: TcpStream, name: String, hangs: Option<Arc<AtomicUsize>>, record: Record) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = Message::read(&mut reader)?;
        let id = request.header("x-request-id");
        record.line(&format!("{name}: the last byte of {id}, {} bytes", request.body.len()));
        if let Some(met) = &hangs {
            met.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("{name} hangs: no answer to {id}"));
            thread::sleep(HANG);
            return None;
        }
        thread::sleep(ms(40));
        stream.write_all(&answer("200 OK", "", id)).ok()?;
    }
}

enum Ended {
    Served,
    Other,
    Lost,
}

fn job(to: SocketAddr, record: &Record) -> Ended {
    let (id, key) = (new_id(), format!("{}{}", new_id(), new_id()));
    let Ok(mut stream) = TcpStream::connect(to) else { return Ended::Other };
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
        length: Some(LENGTH),
    };
    let body = vec![b'd'; LENGTH];
    let written = stream.write_all(&head.bytes()).and_then(|()| stream.write_all(&body)).is_ok();
    let last = Instant::now();
    while written && unacknowledged(&stream) > 0 && last.elapsed() < ms(100) {
        thread::sleep(ms(1));
    }
    let taken = written && unacknowledged(&stream) == 0;
    let last = Instant::now();
    record.line(&format!("client: wrote the last byte of {id}, taken: {taken}"));
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let answer = Message::read(&mut BufReader::new(&stream));
    let took = last.elapsed();
    let status = answer.as_ref().map_or(0, Message::status);
    record.line(&format!("client: {id} got {status} {:.3} s after that", took.as_secs_f64()));
    // A connection that the sidecar has closed without an answer is not judged here.
    if taken && took > LOST_AFTER {
        let what = if status == 0 { "no answer".to_owned() } else { format!("a {status}") };
        let took = took.as_secs_f64();
        record.say(&format!("LOST: {id}, {what} {took:.3} s after its last byte; its time is {TIMEOUT_MS} ms"));
        return Ended::Lost;
    }
    if status == 200 { Ended::Served } else { Ended::Other }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let met = Arc::new(AtomicUsize::new(0));
    let mut targets = Vec::new();
    for n in 0..ENDPOINTS {
        let (listener, address) = listen();
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
        let hangs = (trouble() && n == 3).then(|| met.clone());
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, hangs, record) = (name.clone(), hangs.clone(), record.clone());
                thread::spawn(move || serve(stream, name, hangs, record));
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
    thread::sleep(ms(500));
    let clients: Vec<_> = (0..JOBS)
        .map(|_| {
            let (to, record) = (told.listen, record.clone());
            thread::sleep(ms(75));
            thread::spawn(move || job(to, &record))
        })
        .collect();
    let (mut served, mut other, mut lost) = (0, 0, 0);
    for client in clients {
        match client.join() {
            Ok(Ended::Served) => served += 1,
            Ok(Ended::Lost) => lost += 1,
            Ok(Ended::Other) | Err(_) => other += 1,
        }
    }
    record.say(&format!("jobs served {served}, refused or failed in time or not taken {other}, lost {lost}"));
    drop(sidecar);
    drop(folder);
    if served == 0 {
        could_not_run("nothing was served");
    }
    if trouble() && met.load(Ordering::SeqCst) == 0 {
        could_not_run("no job met the endpoint that hangs");
    }
    std::process::exit(i32::from(lost > 0));
}
