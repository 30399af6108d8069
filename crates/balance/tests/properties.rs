//! Random valid event sequences; the checker in `support` asserts the four rules at every step.

mod support;
use curlewhub_balance::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::*;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Request { class: usize, tenant: usize, left: u64 },
    End { which: usize, outcome: u8, elapsed: u64 },
    TimeOutOverdue,
    ClientLeaves(usize),
    ChangeEndpoint { id: u64, state: u8, restarted: bool },
    ReplaceList(u64),
    DiscoveryFails,
    UnknownIds(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..60).prop_map(Step::Wait),
        6 => (0usize..4, 0usize..3, 0u64..900)
            .prop_map(|(class, tenant, left)| Step::Request { class, tenant, left }),
        6 => (any::<usize>(), 0u8..9, 0u64..900)
            .prop_map(|(which, outcome, elapsed)| Step::End { which, outcome, elapsed }),
        2 => Just(Step::TimeOutOverdue),
        1 => any::<usize>().prop_map(Step::ClientLeaves),
        1 => (1u64..9, 0u8..3, any::<bool>())
            .prop_map(|(id, state, restarted)| Step::ChangeEndpoint { id, state, restarted }),
        1 => (0u64..9).prop_map(Step::ReplaceList),
        1 => Just(Step::DiscoveryFails),
        1 => any::<u64>().prop_map(Step::UnknownIds),
    ]
}

fn outcome(n: u8) -> Outcome {
    match n {
        0 | 1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::LocalFault,
        _ => Outcome::NotSent,
    }
}

fn grouped_endpoint(id: u64) -> EndpointInfo {
    EndpointInfo { zone: ZoneId((id % 2) as u32), cell: CellId(id % 3), ..endpoint(id) }
}

fn settings(second_copies: bool, cancelling: bool, discovery: Discovery) -> Settings {
    let class = |semantics| Class { semantics, ..Class::default() };
    let window = ms(300);
    let mut settings = Settings {
        classes: vec![
            class(Semantics::Safe),
            class(Semantics::Unsafe),
            class(Semantics::Keyed { group: DeduplicationScope::Cell, window }),
            class(Semantics::Keyed { group: DeduplicationScope::All, window }),
        ],
        tenants: vec![Tenant { allowance_per_s: 5.0, portion: 0.3 }; 3],
        over_share_worth: 0.1,
        discovery,
        ..Settings::default()
    };
    settings.limits.second_copies = second_copies;
    settings.limits.cancelling = cancelling;
    settings
}

fn run_steps(settings: Settings, seed: u64, steps: &[Step]) {
    let mut d = Driver::seeded(settings, (1..=6).map(grouped_endpoint).collect(), seed);
    for step in steps {
        match *step {
            Step::Wait(by) => {
                d.advance(ms(by));
            }
            Step::Request { class, tenant, left } => {
                d.request_of(class, tenant, ms(left));
            }
            Step::End { which, outcome: n, elapsed } => {
                if !d.in_flight.is_empty() {
                    let id = d.in_flight[which % d.in_flight.len()].0;
                    d.end_attempt(id, outcome(n), ms(elapsed));
                }
            }
            Step::TimeOutOverdue => {
                let now = d.now;
                while let Some(id) = d.in_flight.iter().find(|o| o.3 <= now).map(|o| o.0) {
                    d.end_attempt(id, Outcome::TimedOut, ms(500));
                }
            }
            Step::ClientLeaves(which) => {
                if !d.in_flight.is_empty() {
                    let id = d.in_flight[which % d.in_flight.len()].0;
                    d.feed(Event::RequestAbandoned(id));
                }
            }
            Step::ChangeEndpoint { id, state, restarted } => {
                let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone]
                    [usize::from(state)];
                let started = restarted.then_some(d.now);
                d.update_list(Membership::Delta(vec![EndpointInfo {
                    state,
                    started,
                    ..grouped_endpoint(id)
                }]));
            }
            Step::ReplaceList(n) => {
                d.update_list(Membership::Full((1..=n).map(grouped_endpoint).collect()));
            }
            Step::DiscoveryFails => {
                d.update_list(Membership::Failed);
            }
            Step::UnknownIds(n) => {
                d.feed(Event::Timer(TimerToken(n)));
                d.feed(Event::RequestAbandoned(RequestId(n | 1 << 40)));
                d.feed(Event::PeerMessage { from: 1, payload: vec![1] });
            }
        }
    }
    d.advance(ms(2000));
}

fn check_random_sequences(settings: Settings) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (any::<u64>(), proptest::collection::vec(step(), 1..200));
    runner
        .run(&strategy, |(seed, steps)| {
            run_steps(settings.clone(), seed, &steps);
            Ok(())
        })
        .unwrap();
}

#[test]
fn rules_hold_without_second_copies_and_with_pushed_lists() {
    check_random_sequences(settings(false, true, Discovery::Push));
}

#[test]
fn rules_hold_with_second_copies_and_requested_lists() {
    check_random_sequences(settings(true, true, Discovery::Ask));
}

#[test]
fn rules_hold_without_cancelling() {
    check_random_sequences(settings(true, false, Discovery::Push));
}
