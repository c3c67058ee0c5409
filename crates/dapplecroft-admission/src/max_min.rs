//! Weighted max-min fair shares by progressive filling, from levels at which the
//! claimants stand already.

/// Somebody who asks for a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight; positive and finite.
    pub weight: f64,
    /// What it holds already.
    pub held: f64,
    /// What it asks for beyond that.
    pub requested: f64,
}

impl Claim {
    /// What it gets when all are raised to a level.
    fn share_at(&self, level: f64) -> f64 {
        (level * self.weight - self.held).clamp(0.0, self.requested)
    }

    /// The levels at which it begins to be served, and has all that it wants.
    fn starting_level(&self) -> f64 {
        self.held / self.weight
    }

    fn saturation_level(&self) -> f64 {
        (self.held + self.requested) / self.weight
    }
}

/// Divides `available` so that the lowest level, what a claimant holds and gets over its
/// weight, is as high as it can be, then the next lowest, and so on. Nobody gets more
/// than it wants, and no room is left while anybody wants some.
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
    // What is given grows with the level, and linearly between these levels.
    let first_too_high = levels.partition_point(|level| allocated_at(*level) <= available);
    let low = if first_too_high == 0 { 0.0 } else { levels[first_too_high - 1] };
    let active =
        claims.iter().filter(|claim| claim.starting_level() <= low && low < claim.saturation_level());
    let weights: f64 = active.map(|claim| claim.weight).sum();
    let level = if weights > 0.0 { low + (available - allocated_at(low)).max(0.0) / weights } else { low };
    claims.iter().map(|claim| claim.share_at(level)).collect()
}
