//! A few clients with long jobs leave early while the sidecar still waits for a free node. A client that has closed its
//! connection has gone: no attempt may begin for it more than 0.1 s after that.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["hall-nasr", "hall-maadi", "hall-giza"];
const WORK_MS: u64 = 600;
const TIMEOUT_MS: u64 = 4000;
/// An attempt may begin for so long after the close; every time limit grows by 50 ms.
const ALLOWED: Duration = Duration::from_millis(100 + 50);
const ROUNDS: usize = 4;
/// In each round: short jobs that keep the nodes busy, and long ones.
const SHORT: usize = 80;
const LONG: usize = 6;
const LONG_BYTES: usize = 1_800_000;
/// In each round but the last, one client of a long job leaves this long after its last byte: 3 of 344 clients, where the
/// site has up to one in a hundred impatient ones.
const LEAVES_AFTER: Duration = Duration::from_millis(150);

type Times = Arc<Mutex<HashMap<String, Instant>>>;

/// A sound node: notes when the first byte of a request has come and when all of it has, and then works.
fn serve(mut stream: TcpStream, name: &str, begun: &Times, run: &Times, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = Message::read_head(&mut reader)?;
        let id = head.header("x-request-id").to_owned();
        begun.lock().unwrap().insert(id.clone(), Instant::now());
        record.line(&format!("{name}: {id} begins to come"));
        let length = head.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            record.line(&format!("{name}: {id} broke off"));
            return None;
        }
        run.lock().unwrap().insert(id.clone(), Instant::now());
        record.line(&format!("{name}: runs {id}"));
        thread::sleep(ms(WORK_MS));
        stream.write_all(&answer("200 OK", "", &id)).ok()?;
    }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let (begun, run) = (Times::default(), Times::default());
    let mut targets = Vec::new();
    for n in 0..9 {
        let (listener, address) = listen();
        let (name, zone, kind) = (format!("s-{n}"), HALLS[n / 3].to_owned(), "front-mid".to_owned());
        targets.push(Target { uid: name.clone(), address, zone, kind, cell: 0, state: "up", boot_ms: 0 });
        let (begun, run, record) = (begun.clone(), run.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, begun, run, record) = (name.clone(), begun.clone(), run.clone(), record.clone());
                thread::spawn(move || serve(stream, &name, &begun, &run, &record));
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
    let (left, served) = (Times::default(), Arc::new(Mutex::new(0)));
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for n in 0..SHORT + LONG {
            let (record, left, served, to) = (record.clone(), left.clone(), served.clone(), told.listen);
            clients.push(thread::spawn(move || {
                let is_long = n >= SHORT;
                if is_long {
                    thread::sleep(ms(150));
                }
                let leaves = trouble() && n == SHORT && round + 1 < ROUNDS;
                if client(to, if is_long { LONG_BYTES } else { 64 }, leaves, &left, &record)
                    == Some(200)
                {
                    *served.lock().unwrap() += 1;
                }
            }));
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(ms(2000));
    }
    drop(sidecar);
    drop(folder);
    let (left, begun, run) = (left.lock().unwrap(), begun.lock().unwrap(), run.lock().unwrap());
    let mut broken = 0;
    for (id, at) in left.iter() {
        let Some(after) = begun.get(id).and_then(|begun| begun.checked_duration_since(*at)) else {
            continue;
        };
        if after > ALLOWED {
            broken += 1;
            let ran =
                if run.contains_key(id) { "the node got all of it and ran it" } else { "it broke off" };
            record.say(&format!(
                "BROKEN: an attempt of {id} began {} ms after its client had gone; {ran}",
                after.as_millis()
            ));
        }
    }
    let served = *served.lock().unwrap();
    record.say(&format!(
        "served {served}; clients that left {}; attempts begun for clients that had gone {broken}",
        left.len()
    ));
    if served == 0 {
        could_not_run("nothing was served");
    }
    std::process::exit(i32::from(broken > 0));
}

fn client(to: SocketAddr, length: usize, leaves: bool, left: &Times, record: &Record) -> Option<u16> {
    let (id, key) = (new_id(), format!("{}{}", new_id(), new_id()));
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    let head = Head {
        method: "POST",
        target: "/job-submit",
        id: &id,
        tenant: "alex-cards",
        timeout_ms: TIMEOUT_MS,
        key: Some(&key),
        length: Some(length),
    };
    record.line(&format!("client: sends {id}, {length} bytes"));
    stream.write_all(&head.bytes()).ok()?;
    stream.write_all(&vec![b'j'; length]).ok()?;
    if leaves {
        thread::sleep(LEAVES_AFTER);
        let _ = stream.shutdown(Shutdown::Both);
        drop(stream);
        left.lock().unwrap().insert(id.clone(), Instant::now());
        record.line(&format!("client: of {id} closes its connection"));
        return None;
    }
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let status = Message::read(&mut BufReader::new(stream)).map_or(0, |answer| answer.status());
    record.line(&format!("client: {id} got {status}"));
    Some(status)
}
