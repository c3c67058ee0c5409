//! Compares the max-min shares with a step-by-step simulation of progressive filling.

use dapplecroft_admission::max_min::{Claim, max_min_shares};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Allocates `available` in small steps, each to the unsatisfied claim with the lowest level.
fn progressive_filling(available: f64, claims: &[Claim], steps: usize) -> Vec<f64> {
    let step = available / steps as f64;
    let mut allocated = vec![0.0; claims.len()];
    for _ in 0..steps {
        let level = |i: &usize| (claims[*i].held + allocated[*i]) / claims[*i].weight;
        let unsatisfied = (0..claims.len()).filter(|i| allocated[*i] < claims[*i].requested);
        let Some(lowest) = unsatisfied.min_by(|a, b| level(a).total_cmp(&level(b))) else { break };
        allocated[lowest] += step.min(claims[lowest].requested - allocated[lowest]);
    }
    allocated
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (1u32..50, 0u32..1000, 0u32..1000).prop_map(|(weight, held, requested)| Claim {
        weight: f64::from(weight),
        held: f64::from(held),
        requested: f64::from(requested),
    });
    prop::collection::vec(claim, 1..9)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    /// Guards against errors in the computation of the common level.
    #[test]
    fn shares_match_progressive_filling(claims in claims(), available in 1u32..4000) {
        let available = f64::from(available);
        let steps = 20_000;
        let (shares, expected) =
            (max_min_shares(available, &claims), progressive_filling(available, &claims, steps));
        // The simulation may leave several claims up to one step away from their exact share.
        let tolerance = available / steps as f64 * (claims.len() + 1) as f64 + 1e-6;
        for (share, expected_share) in shares.iter().zip(&expected) {
            prop_assert!((share - expected_share).abs() <= tolerance, "{shares:?} {expected:?}");
        }
    }

    /// Guards against credit that is left over despite demand, and against shares beyond the request.
    #[test]
    fn all_is_allocated_and_no_claim_exceeds_its_request(claims in claims(), available in 0u32..4000) {
        let shares = max_min_shares(f64::from(available), &claims);
        let requested: f64 = claims.iter().map(|claim| claim.requested).sum();
        let allocated: f64 = shares.iter().sum();
        prop_assert!((allocated - requested.min(f64::from(available))).abs() < 1e-6);
        for (share, claim) in shares.iter().zip(&claims) {
            prop_assert!(*share >= 0.0 && *share <= claim.requested + 1e-9);
        }
    }
}

/// Guards against shares that are unequal despite equal weights, and against credit for a claimant
/// without a request.
#[test]
fn equal_claims_get_equal_shares_and_an_empty_claim_gets_nothing() {
    let claim = |requested| Claim { weight: 1.0, held: 0.0, requested };
    assert_eq!(max_min_shares(90.0, &[claim(1000.0), claim(1000.0), claim(0.0)]), vec![45.0, 45.0, 0.0]);
    assert_eq!(max_min_shares(90.0, &[claim(10.0), claim(1000.0), claim(1000.0)]), vec![10.0, 40.0, 40.0]);
}
