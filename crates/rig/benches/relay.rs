//! What a relay costs: a round trip of 200 bytes straight to a server that sends it back, and through a relay.

use curlewhub_rig::links::Link;
use curlewhub_rig::relay::{Passed, Relay};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::LocalSet;

fn main() {
    divan::main();
}

fn echo() -> SocketAddr {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = server.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in server.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                std::io::copy(&mut &stream, &mut &stream)
            });
        }
    });
    at
}

fn relayed(to: SocketAddr) -> SocketAddr {
    let (told, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let link = watch::Sender::new(Link::default());
            let at = SocketAddr::from(([127, 0, 0, 1], 0));
            let relay = Relay::new(at, to, link.subscribe(), Rc::<Passed>::default(), 1).expect("a relay");
            told.send(relay.address()).expect("who asked");
            let _ = relay.run().await;
        });
    });
    address.recv().expect("an address")
}

fn round_trips(bencher: divan::Bencher<'_, '_>, at: SocketAddr) {
    std::thread::sleep(std::time::Duration::from_millis(50)); // until it listens
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let mut bytes = [7; 200];
    bencher.bench_local(|| {
        stream.write_all(&bytes).expect("a write");
        stream.read_exact(&mut bytes).expect("a read");
    });
}

#[divan::bench]
fn straight(bencher: divan::Bencher<'_, '_>) {
    round_trips(bencher, echo());
}

#[divan::bench]
fn through_a_relay(bencher: divan::Bencher<'_, '_>) {
    round_trips(bencher, relayed(echo()));
}
