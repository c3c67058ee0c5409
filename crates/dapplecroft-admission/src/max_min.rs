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
    pub wanted: f64,
}

impl Claim {
    /// What it gets when all are raised to a level.
    fn share_at(&self, level: f64) -> f64 {
        (level * self.weight - self.held).clamp(0.0, self.wanted)
    }

    /// The levels at which it begins to be served, and has all that it wants.
    fn begins(&self) -> f64 {
        self.held / self.weight
    }

    fn is_full_at(&self) -> f64 {
        (self.held + self.wanted) / self.weight
    }
}

/// Divides `room` so that the lowest level, what a claimant holds and gets over its
/// weight, is as high as it can be, then the next lowest, and so on. Nobody gets more
/// than it wants, and no room is left while anybody wants some.
pub fn share(room: f64, claims: &[Claim]) -> Vec<f64> {
    let wanted: f64 = claims.iter().map(|claim| claim.wanted).sum();
    if wanted <= room {
        return claims.iter().map(|claim| claim.wanted).collect();
    }
    let room = room.max(0.0);
    let given = |level: f64| claims.iter().map(|claim| claim.share_at(level)).sum::<f64>();
    let mut levels: Vec<f64> = claims.iter().flat_map(|c| [c.begins(), c.is_full_at()]).collect();
    levels.sort_by(f64::total_cmp);
    // What is given grows with the level, and linearly between these levels.
    let beyond = levels.partition_point(|level| given(*level) <= room);
    let low = if beyond == 0 { 0.0 } else { levels[beyond - 1] };
    let served = claims.iter().filter(|claim| claim.begins() <= low && low < claim.is_full_at());
    let weights: f64 = served.map(|claim| claim.weight).sum();
    let level = if weights > 0.0 { low + (room - given(low)).max(0.0) / weights } else { low };
    claims.iter().map(|claim| claim.share_at(level)).collect()
}
