//! The background loops of a controller. Each loop is a reconciler: it compares the desired
//! state with the actual state and acts on the difference.

mod admission;
mod election;
mod federation;
mod fleet;
mod placement;
mod record_watch;

use crate::node::Node;
use std::sync::Arc;
use tokio::task::JoinSet;

impl Node {
    /// Starts all loops. Returns only if this process must exit ([`Node::shutdown_reason`] gives the
    /// reason); no loop returns by itself.
    pub async fn run(self: &Arc<Self>) {
        let mut loops = JoinSet::new();
        loops.spawn(self.clone().watch_loop());
        loops.spawn(self.clone().lease_renewal_loop());
        loops.spawn(self.clone().role_loop());
        loops.spawn(self.clone().version_check_loop());
        loops.spawn(self.clone().placement_loop());
        loops.spawn(self.clone().flush_loop());
        loops.spawn(self.clone().command_loop());
        loops.spawn(self.clone().fleet_loop());
        loops.spawn(self.clone().cloud_loop());
        loops.spawn(self.clone().state_health_loop());
        loops.spawn(self.clone().status_log_loop());
        loops.spawn(self.clone().freed_room_loop());
        if self.options.admission.is_some() {
            loops.spawn(self.clone().admission_loop());
        }
        self.spawn_federation_loops(&mut loops);
        let node = self.clone();
        loops.spawn(async move { node.committer.run(node.state.clone()).await });
        tokio::select! {
            _ = loops.join_next() => {}
            () = self.wake_shutdown.notified() => self.kill(),
        }
    }
}
