//! Devices on poor links submit jobs in a busy moment. Some links drop after the job was sent and before its answer:
//! the device connects anew and sends the job again with the same key. No job may be charged twice.
#[path = "../common-2/lib.rs"]
mod common;

use common::*;
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["hall-nasr", "hall-maadi", "hall-giza"];
const NODES_PER_HALL: usize = 3;
const CORES: usize = 2;
const WORK_MS: u64 = 250;
const WAITING_ROOM: usize = 40;
/// The nodes of one hall drop a repeat for so long.
const WINDOW: Duration = Duration::from_secs(6);
const TIMEOUT_MS: u64 = 4000;
/// Busy moments, and the jobs in each.
const MOMENTS: usize = 4;
const JOBS: usize = 90;
/// Of the devices, one in three loses its link this long after the job was sent.
const RESENT_AFTER: Duration = Duration::from_millis(400);

/// By key: each charge, with its hall.
type Charges = Arc<Mutex<HashMap<String, Vec<(&'static str, Instant)>>>>;

/// What the nodes of one hall know of keys: when the first attempt came.
type Known = Arc<Mutex<HashMap<String, Instant>>>;

struct Work {
    id: String,
    key: String,
    connection: TcpStream,
    /// When the time that the attempt told is over.
    until: Instant,
    /// Whether it was done, or turned away.
    done: Sender<bool>,
}

/// A print node: two cores and a waiting room. A full one turns work away. Work that waits is dropped once its attempt
/// has been given up, and turned away once its time is over.
struct Node {
    name: String,
    hall: &'static str,
    waiting: Mutex<VecDeque<Work>>,
    changed: Condvar,
    known: Known,
    charges: Charges,
    record: Record,
}

impl Node {
    fn work(&self) {
        loop {
            let work = {
                let mut waiting = self.waiting.lock().unwrap();
                loop {
                    match waiting.pop_front() {
                        Some(work) => break work,
                        None => waiting = self.changed.wait(waiting).unwrap(),
                    }
                }
            };
            if has_gone(&work.connection) || Instant::now() >= work.until {
                self.record.line(&format!("{}: {} was given up or is over: not run", self.name, work.id));
                let _ = work.done.send(false);
                continue;
            }
            let repeat = {
                let mut known = self.known.lock().unwrap();
                let repeat = known.get(&work.key).is_some_and(|at| at.elapsed() < WINDOW);
                if !repeat {
                    known.insert(work.key.clone(), Instant::now());
                    self.charges
                        .lock()
                        .unwrap()
                        .entry(work.key.clone())
                        .or_default()
                        .push((self.hall, Instant::now()));
                }
                repeat
            };
            let what = if repeat { "drops the repeat" } else { "charges and runs" };
            self.record
                .line(&format!("{} in {}: {what} {} key {}", self.name, self.hall, work.id, work.key));
            if !repeat {
                thread::sleep(ms(WORK_MS));
            }
            let _ = work.done.send(true);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let _ = stream.set_nodelay(true);
        loop {
            let request = Message::read(&mut reader)?;
            let (done, ended) = channel();
            let (id, key) =
                (request.header("x-request-id").to_owned(), request.header("idempotency-key").to_owned());
            let full = {
                let mut waiting = self.waiting.lock().unwrap();
                let full = waiting.len() >= WAITING_ROOM;
                if !full {
                    let connection = stream.try_clone().ok()?;
                    let until = Instant::now() + told_time(&request);
                    waiting.push_back(Work { id: id.clone(), key, connection, until, done });
                }
                full
            };
            self.changed.notify_one();
            let bytes = if full || !ended.recv().ok()? {
                self.record.line(&format!("{}: turns {id} away", self.name));
                answer("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
            } else {
                answer("200 OK", "", &id)
            };
            stream.write_all(&bytes).ok()?;
        }
    }
}

fn main() {
    let record = Record::open();
    let folder = Folder::new();
    let charges = Charges::default();
    let mut targets = Vec::new();
    for (h, hall) in HALLS.into_iter().enumerate() {
        let known = Known::default();
        for n in 0..NODES_PER_HALL {
            let (listener, address) = listen();
            let name = format!("s-{h}{n}");
            let (zone, kind) = (hall.to_owned(), "front-mid".to_owned());
            targets.push(Target {
                uid: name.clone(),
                address,
                zone,
                kind,
                cell: h as u64,
                state: "up",
                boot_ms: 0,
            });
            let (waiting, changed) = (Mutex::default(), Condvar::new());
            let (known, charges, record) = (known.clone(), charges.clone(), record.clone());
            let node = Arc::new(Node { name, hall, waiting, changed, known, charges, record });
            for _ in 0..CORES {
                let node = node.clone();
                thread::spawn(move || node.work());
            }
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let node = node.clone();
                    thread::spawn(move || node.serve(stream));
                }
            });
        }
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
    thread::sleep(ms(2000));
    let answers = Arc::new(Mutex::new(HashMap::<u16, usize>::new()));
    for moment in 0..MOMENTS {
        record.line(&format!("busy moment {moment}"));
        let devices: Vec<_> = (0..JOBS)
            .map(|n| {
                let (record, answers, to) = (record.clone(), answers.clone(), told.listen);
                thread::spawn(move || {
                    thread::sleep(ms(n as u64 * 3));
                    let status = device(to, trouble() && n % 3 == 0, &record);
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                })
            })
            .collect();
        devices.into_iter().for_each(|device| drop(device.join()));
        thread::sleep(ms(4000));
    }
    record.say(&format!("answers by status (0: none): {:?}", answers.lock().unwrap()));
    let charges = charges.lock().unwrap();
    let mut twice = 0;
    for (key, all) in charges.iter().filter(|(_, all)| all.len() > 1) {
        twice += 1;
        let halls: Vec<&str> = all.iter().map(|(hall, _)| *hall).collect();
        let apart = all[1].1 - all[0].1;
        record.say(&format!("CHARGED TWICE: key {key} in {halls:?}, {} ms apart", apart.as_millis()));
    }
    record.say(&format!("jobs charged {}, charged twice {twice}", charges.len()));
    let none = charges.is_empty();
    drop(sidecar);
    drop(folder);
    if none {
        could_not_run("no job was charged");
    }
    std::process::exit(i32::from(twice > 0));
}

/// Submits one job. Where the link drops, what has been sent arrives and nothing comes back; the old connection stays
/// open and silent. The device then connects anew and sends the job again, with the same key and a new id.
fn device(to: SocketAddr, link_drops: bool, record: &Record) -> u16 {
    let key = format!("{}{}", new_id(), new_id());
    let Some(mut first) = submit(to, &key, record) else { return 0 };
    if !link_drops {
        return receive(&mut first, record);
    }
    thread::sleep(RESENT_AFTER);
    // An answer that came before the drop is one.
    let _ = first.1.set_read_timeout(Some(ms(1)));
    if first.1.peek(&mut [0]).is_ok_and(|n| n > 0) {
        return receive(&mut first, record);
    }
    record.line(&format!("device: the link of {} has dropped; it sends the job again", first.0));
    let Some(mut second) = submit(to, &key, record) else { return 0 };
    let status = receive(&mut second, record);
    // The first connection stays as it is until the device's time is up.
    thread::sleep(ms(TIMEOUT_MS));
    status
}

fn submit(to: SocketAddr, key: &str, record: &Record) -> Option<(String, TcpStream)> {
    let id = new_id();
    let mut stream = TcpStream::connect(to).ok()?;
    let head = Head {
        method: "POST",
        target: "/job-submit",
        id: &id,
        tenant: "delta-press",
        timeout_ms: TIMEOUT_MS,
        key: Some(key),
        length: Some(5),
    };
    record.line(&format!("device: submits {id} key {key}"));
    let mut bytes = head.bytes();
    bytes.extend(b"order");
    stream.write_all(&bytes).ok()?;
    Some((id, stream))
}

fn receive((id, stream): &mut (String, TcpStream), record: &Record) -> u16 {
    let _ = stream.set_read_timeout(Some(ms(TIMEOUT_MS)));
    let status = Message::read(&mut BufReader::new(stream)).map_or(0, |answer| answer.status());
    record.line(&format!("device: {id} got {status}"));
    status
}
