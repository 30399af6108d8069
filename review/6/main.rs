//! Some endpoints' answers are followed, some milliseconds later, by a second answer, while nothing else waits on that
//! connection. No client may be served with the answer that was made for another request.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["hall-nasr", "hall-maadi", "hall-giza"];
const TIMEOUT_MS: u64 = 3000;
/// From one machine to another, one way: in the sidecar's own hall, and between two halls.
const SAME: Duration = Duration::from_micros(250);
const CROSS: Duration = Duration::from_micros(2400);
const CLIENTS: usize = 60;
const DAY: Duration = Duration::from_secs(20);
/// One answer in so many is followed by a second one.
const ONE_IN: usize = 20;
/// A second answer comes so much later than the first.
const LATER: [u64; 3] = [6, 7, 8];

/// A link of the network: what one side writes arrives at the other `one_way` later.
fn link(from: TcpStream, to: TcpStream, one_way: Duration) {
    let (send, receive) = channel::<(Instant, Vec<u8>)>();
    let mut source = from.try_clone().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(count) = source.read(&mut buffer) {
            if count == 0 || send.send((Instant::now(), buffer[..count].to_vec())).is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        let mut target = to;
        while let Ok((at, bytes)) = receive.recv() {
            let due = at + one_way;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if target.write_all(&bytes).is_err() {
                break;
            }
        }
        half_close(&target);
        drop(from);
    });
}

fn serve(
    stream: TcpStream,
    name: &str,
    answers: &AtomicUsize,
    late: &AtomicUsize,
    record: &Record,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = Message::read(&mut reader)?;
        let id = request.header("x-request-id").to_owned();
        let n = answers.fetch_add(1, Ordering::SeqCst);
        thread::sleep(ms(60 + (n * 37 % 60) as u64));
        let bytes = answer("200 OK", "", &id);
        writer.lock().unwrap().write_all(&bytes).ok()?;
        record.line(&format!("{name}: answers {id}"));
        if trouble() && n % ONE_IN == 0 {
            let answered = Instant::now();
            thread::sleep(ms(LATER[n / ONE_IN % LATER.len()]));
            // Only while nothing else is waiting on the connection.
            let _ = stream.set_nonblocking(true);
            let waiting = !reader.buffer().is_empty() || stream.peek(&mut [0]).is_ok();
            if !waiting {
                let _ = writer.lock().unwrap().write_all(&bytes);
                late.fetch_add(1, Ordering::SeqCst);
                let after = answered.elapsed().as_secs_f64() * 1e3;
                record.line(&format!("{name}: answers {id} a second time, {after:.1} ms later"));
            }
            let _ = stream.set_nonblocking(false);
        }
    }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let (answers, late) = (Arc::new(AtomicUsize::new(1)), Arc::new(AtomicUsize::new(0)));
    let mut targets = Vec::new();
    for n in 0..9 {
        let (listener, endpoint_address) = listen();
        let (entry, address) = listen();
        let one_way = if n / 3 == 0 { SAME } else { CROSS };
        let (name, zone, kind) = (format!("s-{n}"), HALLS[n / 3].to_owned(), "front-mid".to_owned());
        targets.push(Target { uid: name.clone(), address, zone, kind, cell: 0, state: "up", boot_ms: 0 });
        let (answers, late, record) = (answers.clone(), late.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, answers, late, record) =
                    (name.clone(), answers.clone(), late.clone(), record.clone());
                thread::spawn(move || serve(stream, &name, &answers, &late, &record));
            }
        });
        thread::spawn(move || {
            for near in entry.incoming().flatten() {
                let Ok(far) = TcpStream::connect(endpoint_address) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                link(near.try_clone().unwrap(), far.try_clone().unwrap(), one_way);
                link(far, near, one_way);
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
    thread::sleep(ms(1000));
    let (served, foreign, start) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, served, foreign, to) =
                (record.clone(), served.clone(), foreign.clone(), told.listen);
            thread::spawn(move || client(to, start, &served, &foreign, &record))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(sidecar);
    drop(folder);
    let (served, foreign) = (served.load(Ordering::SeqCst), foreign.load(Ordering::SeqCst));
    let late = late.load(Ordering::SeqCst);
    record.say(&format!(
        "served {served}, of these with another request's answer {foreign}; second answers {late}"
    ));
    if served == 0 {
        could_not_run("nothing was served");
    }
    std::process::exit(i32::from(foreign > 0));
}

fn client(
    to: SocketAddr,
    start: Instant,
    served: &AtomicUsize,
    foreign: &AtomicUsize,
    record: &Record,
) -> Option<()> {
    let mut kept: Option<TcpStream> = None;
    while start.elapsed() < DAY {
        let id = new_id();
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(to).ok()?,
        };
        let target = "/proof-view";
        let head = Head {
            method: "GET",
            target,
            id: &id,
            tenant: "delta-press",
            timeout_ms: TIMEOUT_MS,
            key: None,
            length: None,
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(TIMEOUT_MS + 1000)));
        if stream.write_all(&head.bytes()).is_err() {
            continue;
        }
        let Some(message) = Message::read(&mut BufReader::new(&stream)) else { continue };
        if message.status() == 200 {
            served.fetch_add(1, Ordering::SeqCst);
            if message.text() != id {
                foreign.fetch_add(1, Ordering::SeqCst);
                record.say(&format!("FOREIGN: {id} was served with the answer of {}", message.text()));
            }
        } else {
            thread::sleep(ms(100));
        }
        if !message.header("connection").eq_ignore_ascii_case("close") {
            kept = Some(stream);
        }
    }
    Some(())
}
