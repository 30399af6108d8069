//! Errors of this machine are told from those of an endpoint.

use curlewhub_balance::EndpointId;
use curlewhub_runtime::connect::{ConnectError, Routes, connect};
use rustix::io::Errno;
use std::net::TcpListener;
use std::time::Duration;

const LISTED: usize = 6;

fn endpoint(number: usize) -> EndpointId {
    EndpointId(number as u64)
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn each_error_of_a_connect_is_put_down_to_one_side() {
    let of = |errno: Errno| ConnectError::from(std::io::Error::from(errno));
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INTR] {
        assert!(matches!(of(errno), ConnectError::Resources(_)), "{errno}");
    }
    for errno in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NETDOWN, Errno::AGAIN, Errno::PERM] {
        assert!(matches!(of(errno), ConnectError::Route(_)), "{errno}");
    }
    assert!(matches!(of(Errno::CONNREFUSED), ConnectError::Refused));
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET] {
        assert!(matches!(of(errno), ConnectError::Failed(_)), "{errno}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_closed_port_refuses_and_an_open_one_connects() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    assert!(connect(address, seconds(5)).await.is_ok());
    drop(listener);
    assert!(matches!(connect(address, seconds(5)).await, Err(ConnectError::Refused)));
}

#[test]
fn while_no_endpoint_can_be_reached_it_is_this_machine() {
    let mut routes = Routes::default();
    (0..LISTED).for_each(|n| routes.connects(seconds(1), endpoint(n)));
    for round in 0..50 {
        for n in 0..LISTED {
            assert!(routes.is_local(seconds(2), endpoint(n), LISTED), "round {round}");
        }
    }
}

#[test]
fn one_that_alone_can_not_be_reached_is_at_fault_itself() {
    let mut routes = Routes::default();
    assert!(routes.is_local(seconds(1), endpoint(0), LISTED), "the first may be a moment's");
    routes.connects(seconds(2), endpoint(1));
    assert!(!routes.is_local(seconds(3), endpoint(0), LISTED), "another was reached meanwhile");
    // Connections to the others may be open for long, and none is made: then only its faults tell.
    let mut routes = Routes::default();
    let local = (0..5).filter(|_| routes.is_local(seconds(1), endpoint(0), LISTED)).count();
    assert_eq!(local, 2);
}

#[test]
fn one_that_is_reached_again_or_left_begins_anew() {
    let mut routes = Routes::default();
    (0..5).for_each(|_| drop(routes.is_local(seconds(1), endpoint(0), LISTED)));
    routes.connects(seconds(2), endpoint(0));
    assert!(routes.is_local(seconds(3), endpoint(0), LISTED));
    (0..5).for_each(|_| drop(routes.is_local(seconds(3), endpoint(0), LISTED)));
    routes.forget(endpoint(0));
    assert!(routes.is_local(seconds(4), endpoint(0), LISTED));
}
