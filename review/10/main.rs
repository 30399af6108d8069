//! Some answers are long, and their nodes take a second to write them, in pieces. What a node still gives must not be
//! cut off.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["hall-nasr", "hall-maadi", "hall-giza"];
const TIMEOUT_MS: u64 = 4000;
const WORK_MS: u64 = 100;
/// A long answer, its first piece, and how long its node takes until the next one.
const LONG: usize = 200 * 1024;
const FIRST_PIECE: usize = 20 * 1024;
const PAUSE: Duration = Duration::from_millis(1000);
const CLIENTS: usize = 6;
const DAY: Duration = Duration::from_secs(20);

/// What became of long answers at the nodes.
#[derive(Default)]
struct Given {
    whole: AtomicUsize,
    /// The requests whose answer was cut off while the node still gave it, and how long after the request had come.
    cut_off: Mutex<HashMap<String, Duration>>,
    /// The jobs that have run: a repeat is dropped, and answered as the first was.
    run: Mutex<HashSet<String>>,
}

/// A sound node. A request whose path ends in `long` has a long answer, in chunks.
fn serve(mut stream: TcpStream, name: &str, given: &Given, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = Message::read(&mut reader)?;
        let (id, came) = (request.header("x-request-id").to_owned(), Instant::now());
        if given.run.lock().unwrap().insert(request.header("idempotency-key").to_owned()) {
            record.line(&format!("{name}: runs {id}"));
            thread::sleep(ms(WORK_MS));
        } else {
            record.line(&format!("{name}: drops the repeat {id}"));
        }
        if !request.target().ends_with("long") {
            stream.write_all(&answer("200 OK", "", &id)).ok()?;
            continue;
        }
        record.line(&format!("{name}: begins the answer to {id}"));
        let chunk = |stream: &mut TcpStream, bytes: &[u8]| {
            let mut piece = format!("{:x}\r\n", bytes.len()).into_bytes();
            piece.extend(bytes);
            piece.extend(b"\r\n");
            stream.write_all(&piece)
        };
        let body = id.as_bytes().repeat(LONG / id.len());
        let (first, rest) = body.split_at(FIRST_PIECE);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        chunk(&mut stream, first).ok()?;
        if trouble() {
            // Whether the other side is still there when the next piece is ready.
            let _ = stream.set_read_timeout(Some(PAUSE));
            let start = Instant::now();
            let is_there = match stream.peek(&mut [0]) {
                Ok(count) => count > 0,
                Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
            if !is_there {
                let after = start.elapsed().as_millis();
                record.line(&format!(
                    "{name}: the answer to {id} was cut off {after} ms after its first piece"
                ));
                given.cut_off.lock().unwrap().entry(id).or_insert(came.elapsed());
                return None;
            }
            thread::sleep(PAUSE.saturating_sub(start.elapsed()));
            let _ = stream.set_read_timeout(None);
        }
        for piece in rest.chunks(16 * 1024) {
            chunk(&mut stream, piece).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
        given.whole.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("{name}: has given the whole answer to {id}"));
    }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let given = Arc::new(Given::default());
    let mut targets = Vec::new();
    for n in 0..9 {
        let (listener, address) = listen();
        let (name, zone, kind) = (format!("s-{n}"), HALLS[n / 3].to_owned(), "front-mid".to_owned());
        let cell = n as u64 / 3;
        targets.push(Target { uid: name.clone(), address, zone, kind, cell, state: "up", boot_ms: 0 });
        let (given, record) = (given.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, given, record) = (name.clone(), given.clone(), record.clone());
                thread::spawn(move || serve(stream, &name, &given, &record));
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
        settings: cairo(1, 0, 0),
    };
    let mut sidecar = Sidecar::start(&told, &folder.0);
    sidecar.wait_ready();
    thread::sleep(ms(1500));
    let start = Instant::now();
    let not_whole = Arc::new(Mutex::new(Vec::new()));
    let (short, long) = (Arc::new(Mutex::new([0, 0])), Arc::new(Mutex::new([0, 0])));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, short, long, to) = (record.clone(), short.clone(), long.clone(), told.listen);
            let not_whole = not_whole.clone();
            thread::spawn(move || {
                let mut n = client;
                while start.elapsed() < DAY {
                    n += 1;
                    let is_long = n % 4 == 0;
                    let id = new_id();
                    let served = job(to, &id, is_long, &record);
                    if !served {
                        not_whole.lock().unwrap().push(id);
                    }
                    let count = if is_long { &long } else { &short };
                    count.lock().unwrap()[usize::from(served)] += 1;
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(sidecar);
    drop(folder);
    let (short, long) = (*short.lock().unwrap(), *long.lock().unwrap());
    let whole = given.whole.load(Ordering::SeqCst);
    // Lost: cut off within the client's time, while its node still gave it, and not served whole by another attempt.
    let cut_off = given.cut_off.lock().unwrap();
    let is_lost = |id: &&String| cut_off.get(*id).is_some_and(|after| *after < ms(TIMEOUT_MS));
    let lost = not_whole.lock().unwrap().iter().filter(is_lost).count();
    record.say(&format!(
        "short answers: served {}, not {}; long ones: served {}, not {}; given whole by the nodes {whole}; lost {lost}",
        short[1], short[0], long[1], long[0]
    ));
    if short[1] == 0 {
        could_not_run("nothing was served");
    }
    std::process::exit(i32::from(lost > 0));
}

/// Submits a job; whether it was served with the whole answer.
fn job(to: SocketAddr, id: &str, is_long: bool, record: &Record) -> bool {
    let key = format!("{}{}", new_id(), new_id());
    let Ok(mut stream) = TcpStream::connect(to) else { return false };
    let target = if is_long { "/job-submit/long" } else { "/job-submit" };
    let head = Head {
        method: "POST",
        target,
        id,
        tenant: "delta-press",
        timeout_ms: TIMEOUT_MS,
        key: Some(&key),
        length: Some(5),
    };
    let mut bytes = head.bytes();
    bytes.extend(b"order");
    record.line(&format!("client: submits {id}{}", if is_long { ", with a long answer" } else { "" }));
    if stream.write_all(&bytes).is_err() {
        return false;
    }
    let start = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let answer = Message::read(&mut BufReader::new(stream));
    let status = answer.as_ref().map_or(0, Message::status);
    let length = answer.as_ref().map_or(0, |answer| answer.body.len());
    record.line(&format!(
        "client: {id} got {status}, {length} bytes, after {:.3} s",
        start.elapsed().as_secs_f64()
    ));
    let wanted = if is_long { LONG / id.len() * id.len() } else { id.len() };
    status == 200 && length == wanted
}
