//! The loss model against what is known of it.

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
fn erlangs_formula_has_its_known_values() {
    assert!((erlang_b(1, 1.0) - 0.5).abs() < 1e-12);
    assert!((erlang_b(2, 1.0) - 0.2).abs() < 1e-12);
    assert!((erlang_b(5, 3.0) - 0.110_054_347_8).abs() < 1e-9);
    assert_eq!((lower_bound(5, 4.0), lower_bound(5, 10.0)), (0.0, 0.5));
}

#[test]
fn one_choice_is_erlangs_formula_in_the_field_and_in_the_fleet() {
    for lambda in [2.0, 4.0, 6.0] {
        let known = erlang_b(CAPACITY, lambda);
        assert!((fixed_point(lambda, 1) - known).abs() < 1e-6, "{lambda}");
        let played = play(&plan(lambda, 1, Service::MixedErlang), 1).blocking();
        assert!((played - known).abs() < 0.01, "{played} played, {known} known");
    }
}

#[test]
fn the_field_comes_to_one_point_from_wherever_it_starts() {
    let field = Field::new(1.0, 2);
    let end = |start| field.follow(start, 60.0, 100).unwrap().shares.pop().unwrap();
    let fixed = end(field.start(Some(0)));
    for start in [Some(2), Some(CAPACITY), None] {
        let from = field.start(start);
        assert!((from.sum() - 1.0).abs() < 1e-12);
        assert!(field.distance(&from, &fixed) > 1e-3, "it starts elsewhere");
        let end = end(from);
        assert!(field.distance(&end, &fixed) < 1e-12);
        assert!((end.sum() - 1.0).abs() < 1e-6, "no server is lost");
    }
}

#[test]
fn blocking_falls_with_choices_and_never_below_the_bound() {
    for lambda in [4.0, 5.0, 8.0] {
        let blocking = [1, 2, 3, 5].map(|choices| fixed_point(lambda, choices));
        assert!(blocking.is_sorted_by(|a, b| a > b), "{blocking:?}");
        assert!(blocking[3] >= lower_bound(CAPACITY, lambda) - 1e-9);
    }
}

#[test]
fn jobs_of_one_mean_are_lost_alike_whatever_their_distribution() {
    let field = fixed_point(4.5, 2);
    let kinds = [Service::Exponential, Service::MixedErlang, Service::LogNormal(1.5), Service::Pareto(2.5)];
    for service in kinds {
        let played = play(&plan(4.5, 2, service), 3).blocking();
        assert!(
            (played - field).abs() < 0.012,
            "{}: {played} played, {field} by the field",
            service.name()
        );
    }
}

#[test]
fn own_counts_lose_what_choice_gains_as_dispatchers_grow() {
    let blocking = |sight| play(&Plan { sight, ..plan(4.5, 2, Service::Exponential) }, 5).blocking();
    let (seen, one, many) = (blocking(Sight::True), blocking(Sight::Own(1)), blocking(Sight::Own(500)));
    assert!((seen - one).abs() < 0.01, "one dispatcher sees all");
    assert!(many > one + 0.04, "{many} with many, {one} with one");
    assert!(many < erlang_b(CAPACITY, 4.5) + 0.01);
}
