//! What stands behind a sidecar, and in its place: endpoints that answer at once, and a relay that only passes
//! messages on. Each connection has a thread of its own that blocks, so that neither waits for a timer.

use super::wire::{Connection, Expected, Start};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// The class of all requests, which begins their target.
pub const CLASS: &str = "view";

/// An address where connections are served until the program ends.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl Peer {
    /// An endpoint: answers `/view/SIZE` at once with a body of so many bytes.
    ///
    /// # Errors
    /// It can't listen.
    pub fn endpoint() -> io::Result<Self> {
        Peer::serving(|stream| {
            let mut connection = Connection::accepted(stream)?;
            while let Some(request) = connection.read(Expected::Request)? {
                connection.write(&endpoint_answer(&request.start))?;
            }
            Ok(())
        })
    }

    /// A relay: passes each request on, and its answer back. It has a connection of its own for each that it accepts,
    /// and decides nothing.
    ///
    /// # Errors
    /// It can't listen.
    pub fn relay(targets: Vec<SocketAddr>) -> io::Result<Self> {
        let next = AtomicUsize::new(0);
        Peer::serving(move |stream| {
            let mut client = Connection::accepted(stream)?;
            let target = targets[next.fetch_add(1, Ordering::Relaxed) % targets.len()];
            let mut endpoint = Connection::accepted(TcpStream::connect(target)?)?;
            while client.read(Expected::Request)?.is_some() {
                endpoint.write(client.bytes())?;
                if endpoint.read(Expected::Answer)?.is_none() {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                client.write(endpoint.bytes())?;
            }
            Ok(())
        })
    }

    /// Connections that it has accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    fn serving(serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let accepted = Arc::<AtomicUsize>::default();
        let (counter, serve) = (accepted.clone(), Arc::new(serve));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::Relaxed);
                let serve = serve.clone();
                // A broken connection shows as a failed request where the request was made.
                thread::spawn(move || serve(stream));
            }
        });
        Ok(Peer { address, accepted })
    }
}

fn endpoint_answer(start: &Start) -> Vec<u8> {
    let size = match start {
        Start::Request(target) => target.rsplit('/').next().and_then(|size| size.parse::<usize>().ok()),
        Start::Status(_) => None,
    };
    match size {
        Some(size) => {
            let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").into_bytes();
            answer.resize(answer.len() + size, b'x');
            answer
        }
        None => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec(),
    }
}
