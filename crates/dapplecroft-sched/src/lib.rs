//! The scheduling decisions of dapplecroft as pure functions, without any I/O:
//! dominant resource shares, bin packing by best fit decreasing, team quotas,
//! preemption, repacking by graceful eviction, fleet sizing (scale-out, spot
//! instances) and the work that is lost when a task is stopped.
//! Everything is deterministic: the same arguments give the same decision.

mod fleet;
mod place;
mod preempt;
mod progress;
mod repack;
mod resources;
mod teams;

pub use fleet::{Demand, MachineOffer, PendingCapacity, ScaleOutRequest, plan_scale_out, select_offer};
pub use place::{Candidate, ImagePresence, MachineSnapshot, TaskRequirements, best_fit, best_fit_capped};
pub use preempt::{Claim, Victims, pick_victims};
pub use progress::{CheckpointPolicy, TaskProgress};
pub use repack::{PlacedTask, RepackLimits, RepackPlan, TaskMove, plan_repack};
pub use resources::Resources;
pub use teams::{TeamQuota, TeamQuotas};
