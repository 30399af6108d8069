//! What a consensus server holds and computes for evidence and for the view.

use super::gauge::{bytes_each, microseconds_each};
use super::{Effort, Measured, Point, Subject, sizes};
use crate::capacity::file::Role;
use crate::capacity::target::{Dimension, SIDECARS};
use curlewhub_control_plane::evidence::{CallCounts, Digest, Evidence};
use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Proposal, Record, RecordKind};
use curlewhub_control_plane::view::View;
use std::collections::BTreeMap;
use std::time::Duration;

/// When digests come, on the server's clock.
const NOW: Duration = Duration::from_secs(100);
/// Bytes of a record's body: a service's settings in one zone.
const BODY_BYTES: usize = 512;
/// Zones of the target, which a digest has a row for each of.
const ZONES: usize = 7;

fn digest(sequence: u64, rows: usize) -> Digest {
    let calls = CallCounts {
        served: 3,
        took_ms: 120,
        expected_ms: 118,
        last_served_ms_ago: 20,
        ..CallCounts::default()
    };
    let rows: BTreeMap<String, CallCounts> =
        (0..rows).map(|row| (format!("zone-{row:03}"), calls)).collect();
    Digest {
        sequence,
        sent_at_ms: 100_000,
        zone: "zone-003".to_owned(),
        interval_ms: 1_000,
        calls_by_zone: rows,
    }
}

fn who(sidecar: usize) -> PeerId {
    PeerId { name: format!("sidecar-{sidecar}"), incarnation: 1 }
}

fn evidence(sidecars: usize) -> Evidence {
    let mut evidence = Evidence::default();
    for sidecar in 0..sidecars {
        // Within its bounds it is always taken.
        let _ = evidence.record(NOW, &who(sidecar), &digest(1, ZONES));
    }
    evidence
}

fn record(view: &View, key: usize) -> Record {
    let proposal = Proposal {
        id: key as u64,
        key: format!("service/{key}"),
        kind: RecordKind::NOTE,
        body: vec![7; BODY_BYTES],
        by: "operator".to_owned(),
        why: "a change of settings".to_owned(),
        expected_version: None,
    };
    Record { version: view.version().next(), term: 1, previous_hash: view.hash(), at_ms: 1, proposal }
}

fn view(keys: usize) -> View {
    let mut view = View::default();
    for key in 0..keys {
        let record = record(&view, key);
        // Within its bounds it always follows.
        let _ = view.apply(record);
    }
    view
}

fn size(said: &Message) -> f64 {
    postcard::experimental::serialized_size(said).unwrap_or_default() as f64
}

fn points(sizes: &[f64], of: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|&size| Point { size, value: of(size) }).collect()
}

/// Measures all slopes of evidence and of the view.
pub fn measure(effort: Effort, measured: &mut Measured) {
    evidence_slopes(effort, measured);
    digest_slopes(measured);
    view_slopes(effort, measured);
}

fn evidence_slopes(effort: Effort, measured: &mut Measured) {
    let sizes = sizes(effort, &[240.0, 480.0, 950.0, 1_425.0, SIDECARS]);
    let subject = Subject {
        id: "server.evidence_memory.by_sidecars",
        role: Role::ConsensusServer,
        quantity: "resident memory of the newest digest of each sidecar",
        unit: "bytes",
        grows_with: Dimension::Sidecars,
        run: "the evidence of one consensus server, a digest of seven rows from each sidecar",
    };
    let copies = if effort == Effort::Whole { 20 } else { 4 };
    let held = |size: f64| bytes_each(copies, |_| evidence(size as usize));
    measured.slope(subject.through(points(&sizes, held)));
    let subject = Subject {
        id: "server.digest_time.by_sidecars",
        quantity: "processor time to take one digest",
        unit: "microseconds",
        ..subject
    };
    let taken = |size: f64| {
        let (mut evidence, mut sequence) = (evidence(size as usize), 1);
        let from = who(size as usize / 2);
        microseconds_each(effort, || {
            sequence += 1;
            evidence.record(NOW, &from, &digest(sequence, ZONES))
        })
    };
    let decoded = |_: f64| {
        let bytes = postcard::to_allocvec(&digest(1, ZONES)).unwrap_or_default();
        microseconds_each(effort, || postcard::from_bytes::<Digest>(&bytes).is_ok())
    };
    let baseline = points(&sizes, decoded);
    measured.slope(subject.beside(
        points(&sizes, taken),
        baseline,
        "reading the same digest from its bytes",
    ));
    let subject = Subject {
        id: "server.pairs_time.by_sidecars",
        quantity: "processor time to sum all evidence once",
        ..subject
    };
    let summed = |size: f64| {
        let evidence = evidence(size as usize);
        microseconds_each(effort, || evidence.zone_pairs(NOW).len())
    };
    measured.slope(subject.beside(
        points(&sizes, summed),
        points(&sizes, decoded),
        "reading one digest from its bytes",
    ));
}

fn digest_slopes(measured: &mut Measured) {
    let sizes = [7.0, 84.0, 128.0, 294.0, 441.0, 588.0];
    let subject = Subject {
        id: "control.digest_bytes.by_places",
        role: Role::SidecarControl,
        quantity: "one digest on the way",
        unit: "bytes",
        grows_with: Dimension::Places,
        run: "a digest of so many rows in its wire form; over 128 rows the program takes none today",
    };
    measured.slope(subject.through(points(&sizes, |size| size_of_digest(size as usize))));
}

fn size_of_digest(rows: usize) -> f64 {
    size(&Message::Evidence(digest(1, rows)))
}

fn view_slopes(effort: Effort, measured: &mut Measured) {
    let sizes = sizes(effort, &[84.0, 168.0, 294.0, 441.0, 588.0]);
    let run = "a view of records with bodies of 512 bytes";
    let subject = Subject {
        id: "server.snapshot_bytes.by_keys",
        role: Role::ConsensusServer,
        quantity: "a snapshot of the view on the way",
        unit: "bytes",
        grows_with: Dimension::ViewKeys,
        run,
    };
    measured.slope(subject.through(points(&sizes, |keys| size(&Message::Snapshot(view(keys as usize))))));
    let copies = if effort == Effort::Whole { 50 } else { 5 };
    let subject = Subject {
        id: "control.view_memory.by_keys",
        role: Role::SidecarControl,
        quantity: "resident memory of the view",
        ..subject
    };
    let held = |keys: f64| bytes_each(copies, |_| view(keys as usize));
    measured.slope(subject.through(points(&sizes, held)));
    let subject = Subject {
        id: "control.apply_time.by_keys",
        quantity: "processor time to apply one record",
        unit: "microseconds",
        ..subject
    };
    let applied = |keys: f64| {
        let mut view = view(keys as usize);
        microseconds_each(effort, || {
            let record = record(&view, 0);
            view.apply(record)
        })
    };
    let hashed = |_: f64| {
        let record = record(&View::default(), 0);
        microseconds_each(effort, || record.hash())
    };
    let baseline = points(&sizes, hashed);
    measured.slope(subject.beside(points(&sizes, applied), baseline, "the hash of the same record"));
}
