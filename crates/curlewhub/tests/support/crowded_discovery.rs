//! A discovery service with too many callers: it answers watches at once, and calls for the whole list as the test says.

use super::{Message, answer, list, listener_on_unique_ip};
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The interval of empty lines on an open watch.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult {
    Answered,
    /// It is refused after this time in the queue.
    RefusedAfter(Duration),
    /// Its connection is reset.
    Reset,
    /// It is never answered.
    Hanging,
}

/// What the first line of a watch holds that asks for changes after version 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FirstLine {
    /// These entries of the list, as changes.
    Changes(&'static [&'static str]),
    WholeList,
}

struct State {
    targets: Vec<Value>,
    first_line: FirstLine,
    watch_calls: CallResult,
    whole_list_calls: CallResult,
    /// The watches that are open.
    watches: Vec<TcpStream>,
    /// Request targets of the calls received so far.
    calls: Vec<String>,
}

/// The running service.
#[derive(Clone)]
pub struct CrowdedDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl CrowdedDiscovery {
    /// Starts with this list, and answers all calls.
    pub fn start(targets: Vec<Value>, first_line: FirstLine) -> CrowdedDiscovery {
        let listener = listener_on_unique_ip();
        let address = listener.local_addr().unwrap();
        let (watch_calls, whole_list_calls) = (CallResult::Answered, CallResult::Answered);
        let (watches, calls) = Default::default();
        let state = State { targets, first_line, watch_calls, whole_list_calls, watches, calls };
        let service = CrowdedDiscovery { address, state: Arc::new(Mutex::new(state)) };
        let accepting = service.clone();
        thread::spawn(move || accepting.accept(&listener));
        service
    }

    /// Sets what becomes of calls for a watch from now on.
    pub fn set_watch_calls(&self, result: CallResult) {
        self.state.lock().unwrap().watch_calls = result;
    }

    /// Sets what becomes of calls for the whole list from now on.
    pub fn set_whole_list_calls(&self, result: CallResult) {
        self.state.lock().unwrap().whole_list_calls = result;
    }

    /// Writes changes to all open watches.
    pub fn send_changes(&self, rev: u64, targets: &[Value]) {
        let line = list(rev, false, targets).to_string();
        self.state.lock().unwrap().watches.retain_mut(|watch| write_line(watch, &line));
    }

    /// Ends all open watches in order.
    pub fn end_watches(&self) {
        for watch in self.state.lock().unwrap().watches.drain(..) {
            let _ = watch.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The number of calls for the whole list that were received.
    pub fn whole_list_calls(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.calls.iter().filter(|target| !target.contains("watch")).count()
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let service = self.clone();
            thread::spawn(move || service.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(message) = Message::read(&mut BufReader::new(&mut stream)) else { return };
        let is_watch = message.target().contains("watch");
        let result = {
            let mut state = self.state.lock().unwrap();
            state.calls.push(message.target().to_owned());
            if is_watch { state.watch_calls } else { state.whole_list_calls }
        };
        match result {
            CallResult::Answered if is_watch => {
                self.open_watch(stream, message.target().ends_with("after=0"))
            }
            CallResult::Answered => drop(stream.write_all(self.whole_list_answer().as_bytes())),
            CallResult::RefusedAfter(held) => {
                thread::sleep(held);
                let _ = stream.write_all(answer("503 Service Unavailable", "", "").as_bytes());
            }
            CallResult::Reset => drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO))),
            CallResult::Hanging => drop(stream.read_to_end(&mut Vec::new())),
        }
    }

    fn whole_list_answer(&self) -> String {
        let state = self.state.lock().unwrap();
        answer("200 OK", "", &list(1, true, &state.targets).to_string())
    }

    fn open_watch(&self, mut stream: TcpStream, from_version_0: bool) {
        let mut state = self.state.lock().unwrap();
        let line = match state.first_line {
            FirstLine::Changes(uids) if from_version_0 => {
                let named = |target: &&Value| uids.iter().any(|uid| target["uid"] == *uid);
                let changes: Vec<Value> = state.targets.iter().filter(named).cloned().collect();
                list(1, false, &changes)
            }
            FirstLine::Changes(_) => list(1, false, &[]),
            FirstLine::WholeList => list(1, true, &state.targets),
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let opened =
            stream.write_all(head.as_bytes()).is_ok() && write_line(&mut stream, &line.to_string());
        if opened {
            keep_alive(&stream);
            state.watches.push(stream);
        }
    }
}

fn write_line(stream: &mut TcpStream, line: &str) -> bool {
    let line = format!("{line}\n");
    stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
}

/// Writes empty lines until the connection ends.
fn keep_alive(stream: &TcpStream) {
    let mut stream = stream.try_clone().unwrap();
    thread::spawn(move || {
        loop {
            thread::sleep(KEEP_ALIVE);
            if !write_line(&mut stream, "") {
                return;
            }
        }
    });
}
