//! A discovery service that answers each call immediately.

use super::{Message, answer, listener_on_unique_ip, wait_for};
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A discovery service that keeps every watch open and writes lines to the newest one on request.
pub struct Discovery {
    pub address: SocketAddr,
    /// Request targets of the calls received so far.
    pub calls: Arc<Mutex<Vec<String>>>,
    newest_watch: Arc<Mutex<Option<TcpStream>>>,
}

impl Discovery {
    /// Sends `first` as the first line of each watch and as the whole answer to every other call.
    pub fn new(first: Value) -> Discovery {
        Discovery::with_listener(listener_on_unique_ip(), first)
    }

    pub fn at(address: SocketAddr, first: Value) -> Discovery {
        Discovery::with_listener(TcpListener::bind(address).unwrap(), first)
    }

    fn with_listener(listener: TcpListener, first: Value) -> Discovery {
        let (calls, newest_watch) = (Arc::<Mutex<Vec<String>>>::default(), Arc::<Mutex<_>>::default());
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            calls: calls.clone(),
            newest_watch: newest_watch.clone(),
        };
        thread::spawn(move || {
            let mut open = Vec::new();
            for mut stream in listener.incoming().flatten() {
                let Some(message) = Message::read(&mut BufReader::new(&mut stream)) else { continue };
                if !message.target().contains("watch") {
                    let _ = stream.write_all(answer("200 OK", "", &first.to_string()).as_bytes());
                    calls.lock().unwrap().push(message.target().to_owned());
                    continue;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head.as_bytes());
                write_line(&mut stream, &first.to_string());
                *newest_watch.lock().unwrap() = stream.try_clone().ok();
                calls.lock().unwrap().push(message.target().to_owned());
                open.push(stream);
            }
        });
        discovery
    }

    /// Writes a line to the newest watch.
    pub fn send_line(&self, line: &str) {
        wait_for("a watch", || self.newest_watch.lock().unwrap().is_some());
        write_line(self.newest_watch.lock().unwrap().as_mut().unwrap(), line);
    }

    /// Writes part of a line, without its end, to the newest watch.
    pub fn send_partial_line(&self, part: &str) {
        wait_for("a watch", || self.newest_watch.lock().unwrap().is_some());
        write_chunk(self.newest_watch.lock().unwrap().as_mut().unwrap(), part);
    }

    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}

fn write_line(stream: &mut TcpStream, line: &str) {
    write_chunk(stream, &format!("{line}\n"));
}

fn write_chunk(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
}
