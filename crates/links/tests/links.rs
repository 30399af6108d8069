//! Bounds on connections, by one sidecar and by hundreds before one endpoint.

use curlewhub_links::*;
use proptest::prelude::*;
use std::time::Duration;

const AT: u64 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn open(links: &mut Links, now: Duration) -> bool {
    let leave = links.ask(now, AT) == Leave::Open;
    if leave {
        links.opened(AT);
    }
    leave
}

#[test]
fn what_an_endpoint_accepts_is_shared_and_everybody_has_one() {
    for (sidecars, accepts, part) in [(1, 12, 12), (4, 12, 3), (5, 12, 2), (300, 12, 1), (0, 12, 12)] {
        let mut links = Links::new(Terms { sidecars, accepts: Some(accepts) }, 1);
        let opened = (0..100).filter(|_| open(&mut links, ms(0))).count();
        assert_eq!(opened, part, "{sidecars} sidecars");
        assert_eq!(links.ask(ms(0), AT), Leave::Full);
        links.closed(AT);
        assert!(open(&mut links, ms(0)));
    }
    assert_eq!(Terms { sidecars: 300, accepts: Some(30) }.kept(ms(20_000)), ms(2000));
    assert_eq!(Terms { sidecars: 3, accepts: Some(30) }.kept(ms(20_000)), ms(20_000));
}

#[test]
fn connects_on_their_way_are_bounded_by_the_part_of_each() {
    for (sidecars, most) in [(1, 64), (10, 6), (300, 1)] {
        let mut links = Links::new(Terms { sidecars, accepts: None }, 1);
        let asked = (0..100).filter(|_| links.ask(ms(0), AT) == Leave::Open).count();
        assert_eq!(asked, most);
        assert_eq!(links.ask(ms(0), AT), Leave::Wait);
        links.given_up(AT);
        assert_eq!(links.ask(ms(0), AT), Leave::Open);
        assert_eq!(links.ask(ms(0), AT + 1), Leave::Open, "another endpoint has a bound of its own");
    }
}

#[test]
fn a_refusal_is_a_full_table_only_while_something_is_up() {
    let mut links = Links::new(Terms { sidecars: 9, accepts: None }, 1);
    assert_eq!(links.ask(ms(0), AT), Leave::Open);
    assert_eq!(links.refused(ms(0), AT), Refusal::Unknown);
    assert_eq!(links.ask(ms(0), AT), Leave::Open, "it may be back at once");
    links.opened(AT);
    assert_eq!(links.ask(ms(0), AT), Leave::Open);
    assert_eq!(links.refused(ms(0), AT), Refusal::Full);
    assert_eq!(links.ask(ms(0), AT), Leave::Full);
    assert_eq!(links.ask(ms(0) + WAIT_FIRST, AT), Leave::Open, "one more is tried after the wait");
    links.opened(AT);
    assert_eq!(links.ask(ms(0) + WAIT_FIRST, AT), Leave::Open, "and as it came up, the next");
    links.given_up(AT);
    (0..2).for_each(|_| links.closed(AT));
    assert_eq!(links.endpoints(), 0, "with the last connection what was learnt has gone");
    assert_eq!(links.ask(ms(0), AT), Leave::Open);
}

/// Three hundred sidecars before an endpoint that accepts a hundred connections: each begins with one up or
/// none and would like another every 100 ms for a minute. Connects in the busiest second after the first one.
fn busiest_second(waits: bool) -> usize {
    let accepts = 100;
    let terms = Terms { sidecars: 300, accepts: None };
    let mut all: Vec<Links> = (0..300).map(|seed| Links::new(terms, seed)).collect();
    let mut up = 0;
    let mut connects = vec![0; 60];
    for links in all.iter_mut().take(accepts) {
        up += usize::from(open(links, ms(0)));
    }
    assert_eq!(up, accepts);
    for step in 0..600u64 {
        let now = ms(step * 100);
        for links in all.iter_mut().take(accepts) {
            let asked = if waits { links.ask(now, AT) } else { links.ask(now + WAIT_MOST * 2, AT) };
            if asked == Leave::Open {
                connects[(step / 10) as usize] += 1;
                assert_eq!(links.refused(now, AT), Refusal::Full);
            }
        }
    }
    connects[2..].iter().copied().max().unwrap()
}

#[test]
fn sidecars_refused_together_do_not_come_back_together() {
    // Each would ask ten times a second.
    assert_eq!(busiest_second(false), 1000);
    let spread = busiest_second(true);
    assert!(spread < 120, "{spread} connects in a second");
}

proptest! {
    #[test]
    fn in_whatever_order_things_come_no_bound_is_passed_and_nothing_is_left(
        sidecars in 0u32..20,
        accepts in proptest::option::of(0u32..40),
        seed: u64,
        steps in proptest::collection::vec((0u8..5, 0u64..4, 0u64..2000), 0..300),
    ) {
        let terms = Terms { sidecars, accepts };
        let (mut links, mut now) = (Links::new(terms, seed), ms(0));
        let (mut held, mut opening) = ([0u32; 4], [0u32; 4]);
        for (what, endpoint, later) in steps {
            let n = endpoint as usize;
            now += ms(later);
            match what {
                0 => opening[n] += u32::from(links.ask(now, endpoint) == Leave::Open),
                1 if opening[n] > 0 => {
                    links.opened(endpoint);
                    (opening[n], held[n]) = (opening[n] - 1, held[n] + 1);
                }
                2 if opening[n] > 0 => {
                    let full = links.refused(now, endpoint) == Refusal::Full;
                    prop_assert_eq!(full, held[n] > 0);
                    opening[n] -= 1;
                }
                3 if opening[n] > 0 => {
                    links.given_up(endpoint);
                    opening[n] -= 1;
                }
                4 if held[n] > 0 => {
                    links.closed(endpoint);
                    held[n] -= 1;
                }
                _ => {}
            }
            prop_assert!(opening[n] <= terms.connects_most());
            prop_assert!(held[n] + opening[n] <= terms.held_most());
            prop_assert_eq!(links.count(endpoint), held[n] + opening[n]);
        }
        for n in 0..4 {
            (0..opening[n]).for_each(|_| links.given_up(n as u64));
            (0..held[n]).for_each(|_| links.closed(n as u64));
        }
        prop_assert_eq!(links.endpoints(), 0);
    }
}
