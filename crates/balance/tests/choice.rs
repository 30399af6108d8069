//! The choice itself: unbiased samples, the lower own count wins, ties spread evenly.

mod support;
use curlewhub_balance::*;
use std::collections::HashMap;
use support::*;

/// Where `count` requests go when each ends well before the next begins.
fn spread(d: &mut Driver, count: usize) -> HashMap<EndpointId, usize> {
    rounds(d, count, |_| (Outcome::Ok, 10))
}

#[test]
fn ties_spread_evenly() {
    let mut d = Driver::new(Settings::default(), endpoints(5));
    let counts = spread(&mut d, 5000);
    for id in 1..=5 {
        let count = counts[&EndpointId(id)];
        assert!((850..1150).contains(&count), "endpoint {id} got {count} of 5000");
    }
}

#[test]
fn the_lower_own_count_wins() {
    // With two endpoints both are always sampled, so calls that stay out must alternate.
    let mut d = Driver::new(Settings::default(), endpoints(2));
    for _ in 0..3 {
        let (_, a) = d.request(ms(900));
        let (_, b) = d.request(ms(900));
        assert_ne!(sends(&a), sends(&b));
    }
}

#[test]
fn two_samples_of_many_avoid_a_busy_endpoint_but_not_always() {
    // One endpoint holds a call. It is taken only if both samples would be it, that is never;
    // the others share the rest evenly.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let (_, first) = d.request(ms(60_000));
    let busy = sends(&first)[0];
    let counts = spread(&mut d, 3000);
    assert!(!counts.contains_key(&busy));
    for (id, count) in counts {
        assert!((850..1150).contains(&count), "{id:?} got {count} of 3000");
    }
}

#[test]
fn the_numbering_of_endpoints_means_nothing() {
    let run = |offset: u64| {
        let list: Vec<EndpointInfo> = (0..6).map(|i| endpoint((i * 7919 + offset) % 97)).collect();
        let order: Vec<EndpointId> = list.iter().map(|info| info.id).collect();
        let mut d = Driver::new(Settings::default(), list);
        (0..50)
            .map(|_| {
                let (_, actions) = d.request(ms(60_000));
                let to = sends(&actions).first().copied();
                to.map(|to| order.iter().position(|id| *id == to))
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(0), run(31));
}

#[test]
fn own_zone_goes_first() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let counts = spread(&mut d, 200);
    assert!(counts.keys().all(|id| id.0 % 3 == 0), "{counts:?}");
}

#[test]
fn a_busy_zone_spills_over() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let mut away = 0;
    for _ in 0..8 {
        let (_, actions) = d.request(ms(60_000));
        away += sends(&actions).iter().filter(|id| id.0 % 3 != 0).count();
    }
    assert!(away > 0, "nothing left a zone whose two endpoints hold all the calls");
}

#[test]
fn a_caller_of_a_large_fleet_has_room_in_its_own_zone() {
    // Of 44 endpoints there it used four, what all 46 callers would leave it, and crossed with its fifth call.
    let zone = |id: u64| EndpointInfo { zone: ZoneId(id as u32 % 5), ..endpoint(id) };
    for me in 0..46 {
        let settings = Settings { balancers: 46, zones: 5, me, ..Settings::default() };
        let mut d = Driver::seeded(settings, (0..220).map(zone).collect(), me.into());
        let sent: Vec<_> = (0..8).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect();
        assert!(sent.iter().all(|id| id.0.is_multiple_of(5)), "caller {me} left its zone: {sent:?}");
    }
}

/// How many of 100 requests leave a zone whose endpoints have come to answer in four times their time.
fn leave_a_slowed_zone(balancers: u32) -> usize {
    let zone = |id: u64| EndpointInfo { zone: ZoneId(id as u32 % 3), ..endpoint(id) };
    let mut d =
        Driver::new(Settings { balancers, zones: 3, ..Settings::default() }, (0..9).map(zone).collect());
    let mut leave = |time| {
        let counts =
            rounds(&mut d, 100, |id| (Outcome::Ok, if id.0.is_multiple_of(3) { time } else { 100 }));
        counts.iter().filter(|(id, _)| !id.0.is_multiple_of(3)).map(|(_, count)| count).sum()
    };
    assert_eq!(leave(100), 0);
    leave(400)
}

#[test]
fn what_all_callers_do_to_a_zone_counts_against_the_margin_of_a_crossing() {
    assert_eq!(leave_a_slowed_zone(3), 0, "alone in its zone");
    assert!(leave_a_slowed_zone(12) > 10, "one of four there");
}

#[test]
fn many_balancers_open_with_few_calls_at_an_endpoint() {
    let first = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(1));
        (0..9).flat_map(|_| sends(&d.request(ms(60_000)).1)).count()
    };
    assert_eq!(
        [first(1), first(4), first(60)],
        [3, 1, 1],
        "the window leaves less to more, the limit one call"
    );
}

/// Late answers of the own zone have shrunk its window, while that of others stands open.
fn with_a_small_window_at_home(list: Vec<EndpointInfo>) -> Driver {
    let settings = Settings { balancers: 4, ..Settings::default() };
    let mut d = Driver::new(settings, list);
    for _ in 0..30 {
        let (id, _) = d.request(ms(60_000));
        d.end(id, Outcome::Ok, ms(900));
    }
    d.advance(ms(60_000)); // drag and heat are forgotten, windows are not
    d
}

#[test]
fn what_may_cross_may_stay_at_home() {
    let mut d = with_a_small_window_at_home(three_zones());
    let went: Vec<EndpointId> = (0..3).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect();
    assert!(went.len() == 3 && went.iter().all(|id| id.0 % 3 == 0), "two endpoints hold three: {went:?}");
    // Where there is no other zone, there is no window of others either.
    let home = three_zones().into_iter().filter(|info| info.id.0 % 3 == 0).collect();
    let mut d = with_a_small_window_at_home(home);
    d.fill();
    assert_eq!(d.out.len(), 1);
}

#[test]
fn an_inner_tier_uses_all_of_its_zone_before_it_crosses() {
    let settings = Settings { balancers: 400, zones: 2, tier: 1, tiers: 2, ..Settings::default() };
    let list = (0..40).map(|id| EndpointInfo { zone: ZoneId((id % 2) as u32), ..endpoint(id) }).collect();
    let mut d = Driver::new(settings, list);
    // One call at each endpoint is what each of so many may have out.
    let went = (0..20).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect::<Vec<_>>();
    assert_eq!(went.iter().filter(|id| id.0 % 2 == 0).count(), 20, "{went:?}");
}
