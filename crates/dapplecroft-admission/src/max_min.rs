//! Weighted max-min fair shares by progressive filling. Claimants may already hold something,
//! so they start at different levels.

/// One claimant's request for a share of the available amount.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// The claimant's weight; positive and finite.
    pub weight: f64,
    /// The amount that the claimant already holds.
    pub held: f64,
    /// The amount that the claimant requests in addition to `held`.
    pub requested: f64,
}

impl Claim {
    /// The amount that this claim is allocated when every claim is raised to `level`.
    fn share_at(&self, level: f64) -> f64 {
        (level * self.weight - self.held).clamp(0.0, self.requested)
    }

    /// The level above which this claim starts to receive something.
    fn starting_level(&self) -> f64 {
        self.held / self.weight
    }

    /// The level at which this claim has received all that it requested.
    fn saturation_level(&self) -> f64 {
        (self.held + self.requested) / self.weight
    }
}

/// Divides `available` among the claims and returns each claim's share, in the order of `claims`.
///
/// A claimant's level is what it holds and receives, divided by its weight. The division makes
/// the lowest level as high as possible, then the next lowest, and so on. No claim receives more
/// than it requested, and nothing is left over while any request is unsatisfied.
pub fn max_min_shares(available: f64, claims: &[Claim]) -> Vec<f64> {
    let requested: f64 = claims.iter().map(|claim| claim.requested).sum();
    if requested <= available {
        return claims.iter().map(|claim| claim.requested).collect();
    }
    let available = available.max(0.0);
    let allocated_at = |level: f64| claims.iter().map(|claim| claim.share_at(level)).sum::<f64>();
    let mut levels: Vec<f64> =
        claims.iter().flat_map(|claim| [claim.starting_level(), claim.saturation_level()]).collect();
    levels.sort_by(f64::total_cmp);
    // The allocated amount grows with the level, linearly between two adjacent levels of this list.
    let first_too_high = levels.partition_point(|level| allocated_at(*level) <= available);
    let low = if first_too_high == 0 { 0.0 } else { levels[first_too_high - 1] };
    let active =
        claims.iter().filter(|claim| claim.starting_level() <= low && low < claim.saturation_level());
    let weights: f64 = active.map(|claim| claim.weight).sum();
    let level = if weights > 0.0 { low + (available - allocated_at(low)).max(0.0) / weights } else { low };
    claims.iter().map(|claim| claim.share_at(level)).collect()
}
