//! The loops of a controller: each works out the difference between what is
//! wanted and what is, and carries it out.

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
    /// Sets all loops going and returns only if this process must end
    /// ([`Node::ended`] says why); no loop ends by itself.
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
        loops.spawn(self.clone().room_loop());
        if self.options.admission.is_some() {
            loops.spawn(self.clone().admission_loop());
        }
        self.spawn_federation_loops(&mut loops);
        let node = self.clone();
        loops.spawn(async move { node.committer.run(node.state.clone()).await });
        tokio::select! {
            _ = loops.join_next() => {}
            () = self.wake_end.notified() => self.kill(),
        }
    }
}
