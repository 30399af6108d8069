//! Endpoints that take the head of a request and leave the rest with the sidecar until the test lets them read on.

use super::wire::{content_length, read_head};
use super::{WAIT_TIMEOUT, answer, target, unique_loopback_ip};
use serde_json::Value;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// Receive buffer of an endpoint, in bytes: what it has not read stays with the sidecar's machine, but for a few KiB.
const RECEIVE_LEN: usize = 8 * 1024;
/// Segments as over an Ethernet: over loopback, the sending machine would hold most of a body.
const SEGMENT_LEN: u32 = 1460;

/// A request whose head an endpoint has begun to receive.
pub struct SlowRequest {
    /// Which of the endpoints received it.
    pub endpoint: usize,
    reader: BufReader<TcpStream>,
    /// The lines of its head in lower case; none until it is read.
    head: Option<Vec<String>>,
}

/// Whether a request arrived to its last byte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrival {
    Whole,
    Broken,
}

/// Several endpoints, each at an address of its own.
pub struct SlowEndpoints {
    pub addresses: Vec<SocketAddr>,
    requests: Receiver<SlowRequest>,
}

/// Whether endpoints read the head of a request at once.
#[derive(Clone, Copy, PartialEq)]
pub enum Heads {
    Read,
    Unread,
}

impl SlowEndpoints {
    pub fn start(count: usize, heads: Heads) -> SlowEndpoints {
        let (sender, requests) = channel();
        let addresses = (0..count).map(|endpoint| listen(endpoint, heads, sender.clone())).collect();
        SlowEndpoints { addresses, requests }
    }

    /// The entries of discovery's list.
    pub fn targets(&self) -> Vec<Value> {
        let entry = |(i, address): (usize, &SocketAddr)| target(&format!("s-{i}"), *address, "up");
        self.addresses.iter().enumerate().map(entry).collect()
    }

    /// The next request that arrives at any of them.
    pub fn next(&self) -> SlowRequest {
        self.next_within(WAIT_TIMEOUT).expect("a request arrives")
    }

    /// The next request, if one arrives within this time.
    pub fn next_within(&self, time: Duration) -> Option<SlowRequest> {
        self.requests.recv_timeout(time).ok()
    }
}

fn listen(endpoint: usize, heads: Heads, requests: Sender<SlowRequest>) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_LEN).unwrap();
    socket.set_tcp_mss(SEGMENT_LEN).unwrap();
    socket.bind(&SocketAddr::new(unique_loopback_ip(), 0).into()).unwrap();
    socket.listen(64).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let requests = requests.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                // The first byte says that a request has come; reading more than the head would let more of the body come.
                let _ = stream.peek(&mut [0]);
                let mut reader = BufReader::with_capacity(512, stream);
                let head = if heads == Heads::Read { read_head(&mut reader) } else { None };
                if head.is_some() || heads == Heads::Unread {
                    let _ = requests.send(SlowRequest { endpoint, reader, head });
                }
            });
        }
    });
    address
}

impl SlowRequest {
    /// Reads all that still arrives.
    pub fn read_rest(&mut self) -> Arrival {
        self.reader.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        if self.head.is_none() {
            self.head = read_head(&mut self.reader);
        }
        let Some(head) = &self.head else { return Arrival::Broken };
        let mut body = vec![0; content_length(head).unwrap_or(0)];
        if self.reader.read_exact(&mut body).is_ok() { Arrival::Whole } else { Arrival::Broken }
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Writes these bytes.
    pub fn write(&mut self, text: &str) {
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Answers the request, and closes.
    pub fn answer(mut self, body: &str) {
        let text = answer("200 OK", "Connection: close\r\n", body);
        self.write(&text);
    }
}
