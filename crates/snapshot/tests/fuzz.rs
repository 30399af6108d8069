//! A fuzz target that is run with seeded inputs: decoding a mutated snapshot does not panic, and a balancer
//! that is restored from bytes that are still accepted works. The environment variable `CASES` sets the
//! number of inputs.

use arbitrary::{Arbitrary, Unstructured};
use curlewhub_balance::{
    Action, AttemptEnded, AttemptNo, Balancer, Class, EndpointInfo, EndpointState, Event, Membership,
    Outcome, Request, RequestId, Settings, Snapshot,
};
use curlewhub_snapshot::{decode, decode_any, encode, fingerprint};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000_000);
/// The default number of inputs, which takes a few seconds in a debug build.
const CASES: usize = 6_000;
/// The length of the header: magic, version, fingerprint, length, checksum.
const HEADER_BYTES: usize = 22;

/// A mutation of bytes.
#[derive(Arbitrary, Debug)]
enum Mutation {
    Flip {
        at: u16,
        bits: u8,
    },
    Set {
        at: u16,
        to: u8,
    },
    Cut {
        to: u16,
    },
    Insert {
        at: u16,
        bytes: Vec<u8>,
    },
    Copy {
        from: u16,
        to: u16,
        length: u8,
    },
    /// Overwrites eight bytes with an extreme float.
    Number {
        at: u16,
        which: u8,
    },
}

/// One input.
#[derive(Arbitrary, Debug)]
struct Case {
    endpoints: u8,
    /// Outcomes of calls before the snapshot is taken, and the milliseconds before each.
    before: Vec<(u8, u16)>,
    mutations: Vec<Mutation>,
    /// The header's length and checksum are set to match the mutated payload, so that the payload is
    /// decoded as well.
    header_matches: bool,
    /// The step of the clock before the snapshot is used, in seconds.
    clock_step: i8,
    /// As `before`, but after the restart.
    after: Vec<(u8, u16)>,
}

impl Mutation {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let within = |at: u16, bytes: &[u8]| usize::from(at) % bytes.len().max(1);
        match self {
            Mutation::Flip { at, bits } => {
                let at = within(*at, bytes);
                bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= bits);
            }
            Mutation::Set { at, to } => {
                let at = within(*at, bytes);
                bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte = *to);
            }
            Mutation::Cut { to } => bytes.truncate(within(*to, bytes)),
            Mutation::Insert { at, bytes: inserted } => {
                let at = within(*at, bytes);
                bytes.splice(at..at, inserted.iter().copied());
            }
            Mutation::Copy { from, to, length } => {
                let (from, to) = (within(*from, bytes), within(*to, bytes));
                let part: Vec<u8> = bytes[from..].iter().take((*length).into()).copied().collect();
                bytes.iter_mut().skip(to).zip(part).for_each(|(byte, new)| *byte = new);
            }
            Mutation::Number { at, which } => {
                let numbers =
                    [f64::NAN, f64::INFINITY, -f64::INFINITY, -1.0, 0.0, 1e308, 5e-324, 2.0, -1e9];
                let number = numbers[usize::from(*which) % numbers.len()].to_le_bytes();
                let at = within(*at, bytes);
                bytes.iter_mut().skip(at).zip(number).for_each(|(byte, new)| *byte = new);
            }
        }
    }
}

fn settings() -> Settings {
    Settings { classes: vec![Class::default(); 2], ..Settings::default() }
}

fn balancer(endpoints: u8, now: Duration) -> Balancer {
    let mut balancer = Balancer::new(settings(), 7, now).unwrap();
    let started = |id: u64| id.is_multiple_of(3).then(|| now.saturating_sub(Duration::from_secs(id)));
    let list = (0..u64::from(endpoints))
        .map(|id| EndpointInfo { started: started(id), ..EndpointInfo::ready(id) });
    balancer.handle(now, Event::Membership(Membership::Full(list.collect())), &mut Vec::new());
    balancer
}

/// Simulates calls. Checks that attempts go to listed endpoints and that their number for each request is
/// bounded.
fn simulate_calls(balancer: &mut Balancer, mut now: Duration, first: u64, steps: &[(u8, u16)], listed: u8) {
    for (n, (kind, millis)) in steps.iter().enumerate() {
        now += Duration::from_millis((*millis).into());
        let id = RequestId(first + n as u64);
        let Event::Request(request) = Event::request(id, Duration::from_secs(2)) else { return };
        let class = curlewhub_balance::ClassId(usize::from(*kind) % 2);
        let mut out = Vec::new();
        balancer.handle(now, Event::Request(Request { class, ..request }), &mut out);
        let mut attempts = 0;
        while let Some(Action::Send { endpoint, .. }) = out
            .iter()
            .filter(|a| matches!(a, Action::Send { request, .. } if *request == id))
            .nth(attempts)
            .cloned()
        {
            assert!(endpoint.0 < u64::from(listed), "sent to an endpoint that is not listed");
            let outcomes =
                [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::Reset, Outcome::TimedOut];
            let outcome = outcomes[usize::from(*kind) % outcomes.len()];
            let elapsed = Duration::from_millis(u64::from(*millis) / 7);
            let (attempt, finished) = (AttemptNo(attempts as u32), outcome == Outcome::Ok);
            let report = None;
            let ended = AttemptEnded { request: id, attempt, endpoint, outcome, elapsed, finished, report };
            balancer.handle(now, Event::AttemptEnded(ended), &mut out);
            attempts += 1;
            assert!(attempts < 100, "retried without end");
        }
        balancer.handle(now, Event::RequestAbandoned(id), &mut out);
    }
}

fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&bytes[..HEADER_BYTES - 4]);
    hash.update(&bytes[HEADER_BYTES..]);
    hash.finalize().to_le_bytes()
}

/// The fuzz target. Returns whether the mutated bytes were accepted and a balancer was restored from them.
fn target(case: &Case) -> bool {
    let fingerprint = fingerprint(&settings());
    let mut old = balancer(case.endpoints % 12, NOW);
    simulate_calls(&mut old, NOW, 0, &case.before, case.endpoints % 12);
    let taken = NOW + Duration::from_secs(70);
    let snapshot: Snapshot = old.snapshot(taken);
    let original = encode(&snapshot, fingerprint).expect("a balancer's snapshot can be encoded");
    assert_eq!(decode(&original, fingerprint, taken).as_ref(), Ok(&snapshot));
    let mut bytes = original.clone();
    case.mutations.iter().for_each(|mutation| mutation.apply(&mut bytes));
    if case.header_matches && bytes.len() >= HEADER_BYTES {
        bytes[..14].copy_from_slice(&original[..14]);
        let length = (bytes.len() - HEADER_BYTES) as u32;
        bytes[14..18].copy_from_slice(&length.to_le_bytes());
        let checksum = checksum(&bytes);
        bytes[18..22].copy_from_slice(&checksum);
    } else if bytes != original {
        assert!(decode_any(&bytes).is_err(), "changed bytes were accepted");
    }
    let now = taken.saturating_add_signed_seconds(case.clock_step);
    let Ok(decoded) = decode(&bytes, fingerprint, now) else { return false };
    let mut new = balancer(case.endpoints % 12, now);
    let restored = new.restore(now, &decoded);
    simulate_calls(&mut new, now, 1_000_000, &case.after, case.endpoints % 12);
    assert!(new.snapshot(now).is_valid(), "the restored balancer takes an invalid snapshot");
    let gone = EndpointInfo { state: EndpointState::Gone, ..EndpointInfo::ready(0) };
    new.handle(now, Event::Membership(Membership::Delta(vec![gone])), &mut Vec::new());
    restored
}

/// Addition of a signed number of seconds.
trait SignedSeconds {
    fn saturating_add_signed_seconds(self, seconds: i8) -> Duration;
}

impl SignedSeconds for Duration {
    fn saturating_add_signed_seconds(self, seconds: i8) -> Duration {
        let magnitude = Duration::from_secs(seconds.unsigned_abs().into());
        if seconds < 0 { self.saturating_sub(magnitude) } else { self + magnitude }
    }
}

#[test]
fn mutated_snapshots_are_rejected_or_restore_a_working_balancer() {
    let cases = std::env::var("CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES);
    let mut random = Pcg32::seed_from_u64(20);
    let mut restored = 0;
    for n in 0..cases {
        let mut bytes = vec![0; 64 + n % 512];
        random.fill_bytes(&mut bytes);
        let case = Case::arbitrary(&mut Unstructured::new(&bytes)).expect("any bytes make a case");
        restored += usize::from(target(&case));
    }
    assert!(restored * 20 > cases, "a balancer was restored in only {restored} of {cases} cases");
}
