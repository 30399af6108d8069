//! The loss model against known results: Erlang's formula, the mean field and the lower bound.

use curlewhub_loss_model::field::Field;
use curlewhub_loss_model::fleet::{Plan, Sight, play};
use curlewhub_loss_model::{CAPACITY, Service, erlang_b, lower_bound};

fn plan(lambda: f64, choices: usize, service: Service) -> Plan {
    let (servers, capacity, sight) = (1000, CAPACITY, Sight::True);
    Plan { servers, capacity, lambda, choices, sight, service, warm_up: 20.0, lasts: 40.0 }
}

fn fixed_point(lambda: f64, choices: usize) -> f64 {
    let field = Field::new(lambda, choices);
    let path = field.follow(field.start(Some(0)), 60.0, 100).unwrap();
    field.blocking(path.shares.last().unwrap())
}

#[test]
fn erlangs_formula_and_the_lower_bound_have_their_known_values() {
    assert!((erlang_b(1, 1.0) - 0.5).abs() < 1e-12);
    assert!((erlang_b(2, 1.0) - 0.2).abs() < 1e-12);
    assert!((erlang_b(5, 3.0) - 0.110_054_347_8).abs() < 1e-9);
    assert_eq!((lower_bound(5, 4.0), lower_bound(5, 10.0)), (0.0, 0.5));
}

#[test]
fn with_one_choice_field_and_simulation_agree_with_erlangs_formula() {
    for lambda in [2.0, 4.0, 6.0] {
        let known = erlang_b(CAPACITY, lambda);
        assert!((fixed_point(lambda, 1) - known).abs() < 1e-6, "{lambda}");
        let simulated = play(&plan(lambda, 1, Service::MixedErlang), 1).blocking();
        assert!((simulated - known).abs() < 0.01, "{simulated} simulated, {known} known");
    }
}

#[test]
fn the_field_converges_to_one_fixed_point_from_all_starts() {
    let field = Field::new(1.0, 2);
    let end = |start| field.follow(start, 60.0, 100).unwrap().shares.pop().unwrap();
    let fixed = end(field.start(Some(0)));
    for start in [Some(2), Some(CAPACITY), None] {
        let from = field.start(start);
        assert!((from.sum() - 1.0).abs() < 1e-12);
        assert!(field.distance(&from, &fixed) > 1e-3, "the start is not the fixed point");
        let end = end(from);
        assert!(field.distance(&end, &fixed) < 1e-12);
        assert!((end.sum() - 1.0).abs() < 1e-6, "shares sum to one");
    }
}

#[test]
fn blocking_falls_with_more_choices_and_not_below_the_lower_bound() {
    for lambda in [4.0, 5.0, 8.0] {
        let blocking = [1, 2, 3, 5].map(|choices| fixed_point(lambda, choices));
        assert!(blocking.is_sorted_by(|a, b| a > b), "{blocking:?}");
        assert!(blocking[3] >= lower_bound(CAPACITY, lambda) - 1e-9);
    }
}

#[test]
fn blocking_is_insensitive_to_the_distribution_of_job_lengths() {
    let field = fixed_point(4.5, 2);
    let kinds = [Service::Exponential, Service::MixedErlang, Service::LogNormal(1.5), Service::Pareto(2.5)];
    for service in kinds {
        let simulated = play(&plan(4.5, 2, service), 3).blocking();
        assert!(
            (simulated - field).abs() < 0.012,
            "{}: {simulated} simulated, {field} by the field",
            service.name()
        );
    }
}

#[test]
fn own_counts_lose_the_gain_of_choice_as_dispatchers_grow() {
    let blocking = |sight| play(&Plan { sight, ..plan(4.5, 2, Service::Exponential) }, 5).blocking();
    let (all_seen, one, many) = (blocking(Sight::True), blocking(Sight::Own(1)), blocking(Sight::Own(500)));
    assert!((all_seen - one).abs() < 0.01, "one dispatcher sees all occupancies");
    assert!(many > one + 0.04, "{many} with many, {one} with one");
    assert!(many < erlang_b(CAPACITY, 4.5) + 0.01);
}
