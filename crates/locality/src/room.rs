//! What a move would do to those that stay: where the calls of what is left would go, and whether that was ever borne.
//!
//! Nobody tells what an endpoint could bear. What a place has borne is known: the most calls a second that it served while it
//! was well, forgotten within hours. Where more than that would come, a move may still go well, and nothing says that it does.

use crate::places::{State, hall_of, tier_of};
use serde::{Deserialize, Serialize};

/// A place, as far as its room is concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its region, empty where it is in none.
    pub region: String,
    /// How it stands.
    pub state: State,
    /// Calls a second that it serves.
    pub calls_per_s: f64,
    /// The most that it was seen to bear.
    pub most_per_s: f64,
}

/// What a move would do to one that stays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct After {
    /// Its name.
    pub name: String,
    /// Calls a second that it serves now ...
    pub calls_per_s: f64,
    /// ... and would, if what is left goes to those that stay as their own calls do now ...
    pub then_per_s: f64,
    /// ... and the most that it was seen to bear.
    pub most_per_s: f64,
}

impl After {
    /// How many times as much as it was seen to bear would come; 1 and below was borne.
    pub fn over(&self) -> f64 {
        if self.then_per_s > 0.0 { self.then_per_s / self.most_per_s.max(1e-9) } else { 0.0 }
    }
}

/// What a move would do.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Places that would be left, by it.
    pub left: Vec<String>,
    /// Calls a second that would go elsewhere.
    pub moves_per_s: f64,
    /// Of these, calls a second of tiers of which nothing would stay: they would be refused.
    pub refused_per_s: f64,
    /// The least part, over the tiers, of what was borne that would stay: 0 to 1.
    pub stays: f64,
    /// Those that stay.
    pub after: Vec<After>,
}

/// What leaving a hall, a region or one place would do; none where there is none of that name.
pub fn leave(places: &[Place], name: &str) -> Option<Plan> {
    let is_meant = |place: &Place| [&place.name[..], hall_of(&place.name), &place.region].contains(&name);
    if !places.iter().any(is_meant) {
        return None;
    }
    let goes = |place: &&Place| is_meant(place);
    // Nothing new goes into what is left already, and what returns has its own pace.
    let takes =
        |place: &&Place| !is_meant(place) && matches!(place.state, State::Serving | State::Leaving(_));
    let mut plan = Plan {
        left: places.iter().filter(goes).map(|p| p.name.clone()).collect(),
        stays: 1.0,
        ..Plan::default()
    };
    let mut tiers: Vec<u32> = places.iter().map(|place| tier_of(&place.name)).collect();
    tiers.sort_unstable();
    tiers.dedup();
    for tier in tiers {
        let of_tier = || places.iter().filter(|place| tier_of(&place.name) == tier);
        let moves: f64 = of_tier().filter(goes).map(|place| place.calls_per_s).sum();
        let now: f64 = of_tier().filter(takes).map(|place| place.calls_per_s).sum();
        let borne = |all: f64, place: &Place| all + place.most_per_s.max(place.calls_per_s);
        let (all, stays) = (of_tier().fold(0.0, borne), of_tier().filter(takes).fold(0.0, borne));
        plan.stays = if all > 0.0 { plan.stays.min(stays / all) } else { plan.stays };
        plan.moves_per_s += moves;
        let staying = of_tier().filter(takes).count();
        plan.refused_per_s += if staying == 0 { moves } else { 0.0 };
        plan.after.extend(of_tier().filter(takes).map(|place| {
            // Each as it is used now; evenly where nothing goes anywhere.
            let part = if now > 0.0 { place.calls_per_s / now } else { 1.0 / staying as f64 };
            let (calls_per_s, then_per_s) = (place.calls_per_s, place.calls_per_s + moves * part);
            After { name: place.name.clone(), calls_per_s, then_per_s, most_per_s: place.most_per_s }
        }));
    }
    Some(plan)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(name: &str, region: &str, state: State, calls_per_s: f64) -> Place {
        let (name, region) = (name.to_owned(), region.to_owned());
        Place { name, region, state, calls_per_s, most_per_s: calls_per_s * 1.5 }
    }

    #[test]
    fn what_is_left_goes_to_those_of_its_tier_that_stay() {
        let places = [
            place("a", "nile", State::Serving, 60.0),
            place("b", "delta", State::Serving, 30.0),
            place("c", "delta", State::Serving, 30.0),
            place("d", "", State::Left, 0.0),
            place("b/1", "delta", State::Serving, 12.0),
        ];
        // What is left, which places that is, calls that move and are refused, the part that stays, what comes to the others.
        type Case<'a> = (&'a str, &'a [&'a str], (f64, f64, f64), &'a [(&'a str, f64)]);
        let cases: [Case; 4] = [
            ("a", &["a"], (60.0, 0.0, 0.5), &[("b", 60.0), ("c", 60.0), ("b/1", 12.0)]),
            ("b", &["b", "b/1"], (42.0, 12.0, 0.0), &[("a", 80.0), ("c", 40.0)]),
            ("delta", &["b", "c", "b/1"], (72.0, 12.0, 0.0), &[("a", 120.0)]),
            ("d", &["d"], (0.0, 0.0, 1.0), &[("a", 60.0), ("b", 30.0), ("c", 30.0), ("b/1", 12.0)]),
        ];
        for (name, left, (moves, refused, stays), then) in cases {
            let plan = leave(&places, name).unwrap();
            assert_eq!(
                (plan.moves_per_s, plan.refused_per_s, plan.stays),
                (moves, refused, stays),
                "{name}"
            );
            assert_eq!(plan.left, left, "{name}");
            let after: Vec<(&str, f64)> = plan.after.iter().map(|a| (&a.name[..], a.then_per_s)).collect();
            assert_eq!(after, then, "{name}");
        }
        assert_eq!(leave(&places, "e"), None);
        assert!((leave(&places, "a").unwrap().after[0].over() - 60.0 / 45.0).abs() < 1e-9);
    }
}
