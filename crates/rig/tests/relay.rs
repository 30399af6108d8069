//! Relays over real sockets: what passes, what does not, and what a peer sees of that.

use curlewhub_rig::links::{Link, Way};
use curlewhub_rig::relay::{Datagrams, Passed, Relay};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Nothing that a test waits for may take longer, not even on a slow machine.
const PATIENCE: Duration = Duration::from_secs(20);
/// What must not come has not come after this.
const QUIET: Duration = Duration::from_millis(150);

fn here() -> SocketAddr {
    let part = 1 + (std::process::id() % 250) as u8;
    SocketAddr::from(([127, 79, part, 1], 0))
}

fn test<F: Future<Output = ()>>(task: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(PATIENCE, task).await.unwrap() });
}

/// A relay to a server that sends back what it is sent, and how to change its link.
async fn echo(link: Link) -> (SocketAddr, watch::Sender<Link>, Rc<Passed>) {
    let server = TcpListener::bind(here()).await.unwrap();
    let to = server.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = server.accept().await {
            spawn_local(async move {
                let (mut from, mut into) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut into).await;
            });
        }
    });
    let (link, passed) = (watch::Sender::new(link), Rc::<Passed>::default());
    let relay = Relay::new(here(), to, link.subscribe(), passed.clone(), 1).unwrap();
    let at = relay.address();
    spawn_local(relay.run());
    // It listens once it is first polled; a link that is closed never does.
    if !link.borrow().closed {
        let dark = link.send_replace(Link::default());
        while TcpStream::connect(at).await.is_err() {
            sleep(Duration::from_millis(1)).await;
        }
        link.send_replace(dark);
        sleep(Duration::from_millis(20)).await;
    }
    (at, link, passed)
}

async fn says(stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    stream.write_all(text).await.unwrap();
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).await.unwrap();
    back
}

fn cut(forth: bool, back: bool) -> Link {
    Link {
        forth: Way { cut: forth, ..Way::default() },
        back: Way { cut: back, ..Way::default() },
        ..Link::default()
    }
}

#[test]
fn what_is_said_passes_both_ways_and_so_does_the_end() {
    test(async {
        let (at, _link, passed) = echo(Link::default()).await;
        let mut stream = TcpStream::connect(at).await.unwrap();
        let long = vec![7; 300_000];
        let (mut from, mut into) = stream.split();
        let (sent, got) = tokio::join!(
            async {
                into.write_all(&long).await.unwrap();
                into.shutdown().await
            },
            async {
                let mut got = Vec::new();
                from.read_to_end(&mut got).await.map(|_| got)
            }
        );
        sent.unwrap();
        assert_eq!(got.unwrap(), long);
        assert_eq!((passed.forth.get(), passed.back.get()), (300_000, 300_000));
    });
}

#[test]
fn a_silent_cut_holds_what_is_under_way_and_lets_nobody_connect_until_it_ends() {
    for (link, arrives) in [(cut(true, true), false), (cut(true, false), false), (cut(false, true), true)] {
        test(async {
            let (at, sender, passed) = echo(Link::default()).await;
            let mut stream = TcpStream::connect(at).await.unwrap();
            assert_eq!(says(&mut stream, b"before").await, b"before");
            let forth = passed.forth.get();
            sender.send_replace(link.clone());
            sleep(Duration::from_millis(50)).await;
            stream.write_all(b"during").await.unwrap();
            let mut back = [0; 6];
            assert!(timeout(QUIET, stream.read_exact(&mut back)).await.is_err(), "{link:?}: an answer");
            assert_eq!(passed.forth.get() > forth, arrives, "{link:?}");
            // A new connection hangs, as towards a machine that is gone: neither up nor refused.
            assert!(timeout(QUIET, TcpStream::connect(at)).await.is_err(), "{link:?}: connected");
            sender.send_replace(Link::default());
            stream.read_exact(&mut back).await.unwrap();
            assert_eq!(&back, b"during", "a message from the past");
            let mut new = TcpStream::connect(at).await.unwrap();
            assert_eq!(says(&mut new, b"after").await, b"after");
        });
    }
}

#[test]
fn the_end_of_a_peer_does_not_come_through_a_cut() {
    test(async {
        let server = TcpListener::bind(here()).await.unwrap();
        let (link, passed) = (watch::Sender::new(Link::default()), Rc::<Passed>::default());
        let relay = Relay::new(here(), server.local_addr().unwrap(), link.subscribe(), passed, 1).unwrap();
        let at = relay.address();
        spawn_local(relay.run());
        sleep(Duration::from_millis(20)).await;
        let client = TcpStream::connect(at).await.unwrap();
        let (mut there, _) = server.accept().await.unwrap();
        link.send_replace(cut(true, true));
        drop(client);
        let mut byte = [0];
        assert!(timeout(QUIET, there.read(&mut byte)).await.is_err());
        link.send_replace(Link::default());
        assert!(matches!(there.read(&mut byte).await, Ok(0) | Err(_)));
    });
}

#[test]
fn a_closed_port_refuses_and_a_reset_link_breaks() {
    test(async {
        let (at, sender, _) = echo(Link { closed: true, ..Link::default() }).await;
        let refused = TcpStream::connect(at).await.unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
        sender.send_replace(Link::default());
        let mut stream = loop {
            match TcpStream::connect(at).await {
                Ok(stream) => break stream,
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        };
        assert_eq!(says(&mut stream, b"up").await, b"up");
        sender.send_replace(Link { reset: true, ..cut(true, true) });
        let broken = stream.read(&mut [0]).await.unwrap_err();
        assert_eq!(broken.kind(), std::io::ErrorKind::ConnectionReset);
        // New ones come up and break at once.
        let mut new = TcpStream::connect(at).await.unwrap();
        assert!(new.read(&mut [0]).await.is_err());
    });
}

#[test]
fn connections_break_after_so_many_bytes_and_messages_stop_in_their_middle() {
    test(async {
        let (at, sender, _) = echo(Link { cut_after: Some(10), ..Link::default() }).await;
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(b"1234567890abc").await.unwrap();
        let mut got = Vec::new();
        assert!(stream.read_to_end(&mut got).await.is_err(), "it breaks");
        assert!(got.len() <= 10, "{got:?}");
        let forth = Way { stalls: true, ..Way::default() };
        sender.send_replace(Link { forth, ..Link::default() });
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(b"12345678").await.unwrap();
        let mut half = [0; 4];
        stream.read_exact(&mut half).await.unwrap();
        assert_eq!(&half, b"1234");
        assert!(timeout(QUIET, stream.read_exact(&mut half)).await.is_err());
        sender.send_replace(Link::default());
        stream.read_exact(&mut half).await.unwrap();
        assert_eq!(&half, b"5678");
    });
}

#[test]
fn a_stream_is_late_or_slow_but_never_out_of_order() {
    let ms = Duration::from_millis;
    let cases = [
        (Way { delay: ms(30), jitter: ms(20), ..Way::default() }, ms(30)),
        (Way { loss: 1.0, ..Way::default() }, ms(200)),
        (Way { rate: Some(10_000), ..Way::default() }, ms(100)),
        (Way { reorder: 0.5, delay: ms(5), duplicate: 1.0, ..Way::default() }, ms(5)),
    ];
    for (forth, least) in cases {
        test(async {
            let (at, _link, _) = echo(Link { forth: forth.clone(), ..Link::default() }).await;
            let mut stream = TcpStream::connect(at).await.unwrap();
            let began = std::time::Instant::now();
            let text: Vec<u8> = (0..1000_u32).map(|n| n as u8).collect();
            for part in text.chunks(100) {
                stream.write_all(part).await.unwrap();
            }
            let mut back = vec![0; 1000];
            stream.read_exact(&mut back).await.unwrap();
            assert_eq!(back, text, "{forth:?}");
            assert!(began.elapsed() >= least, "{forth:?}: {:?}", began.elapsed());
        });
    }
}

/// How many of a hundred datagrams come back, and whether in order.
async fn datagrams(link: Link) -> (usize, bool) {
    let server = UdpSocket::bind(here()).await.unwrap();
    let to = server.local_addr().unwrap();
    spawn_local(async move {
        let mut buffer = [0; 100];
        while let Ok((n, peer)) = server.recv_from(&mut buffer).await {
            let _ = server.send_to(&buffer[..n], peer).await;
        }
    });
    let link = watch::Sender::new(link);
    let relay = Datagrams::new(here(), to, link.subscribe(), Rc::default(), 5).unwrap();
    let at = relay.address().unwrap();
    spawn_local(relay.run());
    let socket = UdpSocket::bind(here()).await.unwrap();
    socket.connect(at).await.unwrap();
    for n in 0..100_u8 {
        socket.send(&[n]).await.unwrap();
        sleep(Duration::from_millis(1)).await;
    }
    let mut got = Vec::new();
    let mut byte = [0];
    while timeout(QUIET, socket.recv(&mut byte)).await.is_ok() {
        got.push(byte[0]);
    }
    (got.len(), got.is_sorted())
}

#[test]
fn datagrams_are_lost_doubled_and_swapped_as_they_are() {
    let way = Way::default();
    // What befalls them on their way there, and how many of a hundred come back.
    let cases = [
        (way.clone(), 100..=100, Some(true)),
        (Way { cut: true, ..way.clone() }, 0..=0, None),
        (Way { loss: 0.3, ..way.clone() }, 50..=90, Some(true)),
        (Way { duplicate: 0.5, ..way.clone() }, 120..=180, Some(true)),
        (Way { reorder: 0.2, ..way.clone() }, 100..=100, Some(false)),
    ];
    for (forth, count, sorted) in cases {
        test(async {
            let (got, in_order) = datagrams(Link { forth: forth.clone(), ..Link::default() }).await;
            assert!(count.contains(&got), "{forth:?}: {got}");
            assert!(sorted.is_none_or(|sorted| sorted == in_order), "{forth:?}");
        });
    }
}
