//! Connect errors caused by the local machine are distinguished from errors of an endpoint.

use curlewhub_balance::EndpointId;
use curlewhub_runtime::connect::{ConnectError, RouteFaults, connect};
use rustix::io::Errno;
use std::net::TcpListener;
use std::time::Duration;

const LISTED: usize = 6;

fn endpoint(number: usize) -> EndpointId {
    EndpointId(number as u64)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn each_connect_error_is_classified_by_its_cause() {
    let error_of = |errno: Errno| ConnectError::from(std::io::Error::from(errno));
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INTR] {
        assert!(matches!(error_of(errno), ConnectError::Resources(_)), "{errno}");
    }
    for errno in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NETDOWN, Errno::AGAIN, Errno::PERM] {
        assert!(matches!(error_of(errno), ConnectError::Route(_)), "{errno}");
    }
    assert!(matches!(error_of(Errno::CONNREFUSED), ConnectError::Refused));
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET] {
        assert!(matches!(error_of(errno), ConnectError::Failed(_)), "{errno}");
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_closed_port_refuses_and_an_open_port_connects() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    assert!(connect(address, seconds(5)).await.is_ok());
    drop(listener);
    assert!(matches!(connect(address, seconds(5)).await, Err(ConnectError::Refused)));
}

#[test]
fn a_route_fault_of_all_endpoints_is_local() {
    let mut routes = RouteFaults::default();
    (0..LISTED).for_each(|n| routes.connected(seconds(1), endpoint(n)));
    for round in 0..50 {
        for n in 0..LISTED {
            assert!(routes.is_local(seconds(2), endpoint(n), LISTED), "round {round}");
        }
    }
}

#[test]
fn a_route_fault_of_a_single_endpoint_is_not_local() {
    let mut routes = RouteFaults::default();
    assert!(routes.is_local(seconds(1), endpoint(0), LISTED), "the first fault may be transient");
    routes.connected(seconds(2), endpoint(1));
    assert!(!routes.is_local(seconds(3), endpoint(0), LISTED), "another endpoint was reached since");
    // If the connections to the other endpoints stay open, no new ones are made. Then only the faults of
    // this endpoint count.
    let mut routes = RouteFaults::default();
    let local = (0..5).filter(|_| routes.is_local(seconds(1), endpoint(0), LISTED)).count();
    assert_eq!(local, 2);
}

#[test]
fn a_connection_or_a_removal_resets_the_faults_of_an_endpoint() {
    let mut routes = RouteFaults::default();
    for _ in 0..5 {
        routes.is_local(seconds(1), endpoint(0), LISTED);
    }
    routes.connected(seconds(2), endpoint(0));
    assert!(routes.is_local(seconds(3), endpoint(0), LISTED));
    for _ in 0..5 {
        routes.is_local(seconds(3), endpoint(0), LISTED);
    }
    routes.forget(endpoint(0));
    assert!(routes.is_local(seconds(4), endpoint(0), LISTED));
}
