//! The max-min arithmetic against a plain reckoning by progressive filling.

use dapplecroft_admission::max_min::{Claim, share};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Pours the room out in small steps, each to whoever stands lowest and wants more.
fn poured(room: f64, claims: &[Claim], steps: usize) -> Vec<f64> {
    let step = room / steps as f64;
    let mut given = vec![0.0; claims.len()];
    for _ in 0..steps {
        let level = |i: &usize| (claims[*i].held + given[*i]) / claims[*i].weight;
        let open = (0..claims.len()).filter(|i| given[*i] < claims[*i].wanted);
        let Some(lowest) = open.min_by(|a, b| level(a).total_cmp(&level(b))) else { break };
        given[lowest] += step.min(claims[lowest].wanted - given[lowest]);
    }
    given
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (1u32..50, 0u32..1000, 0u32..1000).prop_map(|(weight, held, wanted)| Claim {
        weight: f64::from(weight),
        held: f64::from(held),
        wanted: f64::from(wanted),
    });
    prop::collection::vec(claim, 1..9)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_are_those_of_progressive_filling(claims in claims(), room in 1u32..4000) {
        let room = f64::from(room);
        let steps = 20_000;
        let (shares, reckoned) = (share(room, &claims), poured(room, &claims, steps));
        // Several claimants may be a step apart at the end.
        let tolerance = room / steps as f64 * (claims.len() + 1) as f64 + 1e-6;
        for (share, poured) in shares.iter().zip(&reckoned) {
            prop_assert!((share - poured).abs() <= tolerance, "{shares:?} {reckoned:?}");
        }
    }

    #[test]
    fn all_room_is_given_and_nobody_gets_more_than_it_wants(claims in claims(), room in 0u32..4000) {
        let shares = share(f64::from(room), &claims);
        let wanted: f64 = claims.iter().map(|claim| claim.wanted).sum();
        let given: f64 = shares.iter().sum();
        prop_assert!((given - wanted.min(f64::from(room))).abs() < 1e-6);
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share >= 0.0 && *share <= claim.wanted + 1e-9);
        }
    }
}

#[test]
fn equal_claimants_get_equal_shares_and_an_idle_one_nothing() {
    let claim = |wanted| Claim { weight: 1.0, held: 0.0, wanted };
    assert_eq!(share(90.0, &[claim(1000.0), claim(1000.0), claim(0.0)]), vec![45.0, 45.0, 0.0]);
    assert_eq!(share(90.0, &[claim(10.0), claim(1000.0), claim(1000.0)]), vec![10.0, 40.0, 40.0]);
}
