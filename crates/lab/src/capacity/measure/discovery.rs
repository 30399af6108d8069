//! What endpoint lists take on the way and in a sidecar, by their endpoints.

use super::data_path::{balancer, endpoints};
use super::gauge::{bytes_each, microseconds_each};
use super::{Effort, Measured, Point, Subject};
use crate::capacity::file::Role;
use crate::capacity::target::Dimension;
use curlewhub_balance::{Event, Membership};
use curlewhub_config::list::{EndpointList, Target, TargetState};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The sizes of the list: up to that of the largest service.
const SIZES: [f64; 6] = [25.0, 50.0, 100.0, 200.0, 300.0, 400.0];

/// An entry as a fleet of this size words it.
fn target(number: u32) -> Target {
    Target {
        uid: format!("service-042-{number:04}"),
        endpoint: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 8443)),
        az: format!("zone-{}", number % 7),
        model: "standard-8".to_owned(),
        pod_group: u64::from(number / 8),
        state: TargetState::Up,
        capacity_hint: 8.0,
        boot_ms: 1_790_000_000_000.0 + f64::from(number),
    }
}

fn list(count: f64, all: bool) -> EndpointList {
    EndpointList { rev: 123_456, is_complete: all, targets: (0..count as u32).map(target).collect() }
}

fn text(list: &EndpointList) -> Vec<u8> {
    serde_json::to_vec(list).unwrap_or_default()
}

fn points(sizes: &[f64], of: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|&size| Point { size, value: of(size) }).collect()
}

/// Measures all slopes of endpoint lists.
pub fn measure(effort: Effort, measured: &mut Measured) {
    let run = "endpoint lists as the sidecar reads them, entries as a fleet of this size words them";
    let subject = Subject {
        id: "discovery.list_bytes.by_endpoints",
        role: Role::Discovery,
        quantity: "a whole list on the way",
        unit: "bytes",
        grows_with: Dimension::EndpointsPerService,
        run,
    };
    measured.slope(subject.through(points(&SIZES, |size| text(&list(size, true)).len() as f64)));
    let subject = Subject {
        id: "discovery.read_time.by_endpoints",
        quantity: "processor time to read a whole list",
        unit: "microseconds",
        ..subject
    };
    let read = |size: f64| {
        let text = text(&list(size, true));
        microseconds_each(effort, || serde_json::from_slice::<EndpointList>(&text).is_ok())
    };
    let untyped = |size: f64| {
        let text = text(&list(size, true));
        microseconds_each(effort, || serde_json::from_slice::<serde_json::Value>(&text).is_ok())
    };
    let baseline = points(&SIZES, untyped);
    measured.slope(subject.beside(points(&SIZES, read), baseline, "the same text read as untyped JSON"));
    apply_time(effort, measured);
    let copies = if effort == Effort::Whole { 400 } else { 20 };
    let subject = Subject {
        id: "discovery.list_memory.by_endpoints",
        quantity: "resident memory of a list that was read",
        unit: "bytes",
        ..subject
    };
    let held = |size: f64| bytes_each(copies, |_| list(size, true));
    measured.slope(subject.through(points(&SIZES, held)));
    let one = text(&list(1.0, false)).len() as f64;
    let quantity = ("a change of one endpoint on the way", "bytes");
    measured.figure("discovery.delta_bytes", Role::Discovery, quantity, run, one);
}

fn apply_time(effort: Effort, measured: &mut Measured) {
    let subject = Subject {
        id: "discovery.apply_time.by_endpoints",
        role: Role::Discovery,
        quantity: "processor time of the decision module to take a whole list that is unchanged",
        unit: "microseconds",
        grows_with: Dimension::EndpointsPerService,
        run: "one decision module that holds the list, handed it again",
    };
    let taken = |size: f64, news: fn(u64) -> Membership| {
        let mut balancer = balancer(size as u64, 1);
        let news = Event::Membership(news(size as u64));
        let mut actions = Vec::new();
        microseconds_each(effort, || {
            balancer.handle(Duration::ZERO, news.clone(), &mut actions);
            actions.clear();
        })
    };
    let whole = points(&SIZES, |size| taken(size, |count| Membership::Full(endpoints(count))));
    let one = points(&SIZES, |size| taken(size, |_| Membership::Delta(endpoints(1))));
    measured.slope(subject.beside(whole, one, "a change of one endpoint handed to the same module"));
}
