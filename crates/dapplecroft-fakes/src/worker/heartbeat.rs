//! The worker agent's heartbeat: sends the agent's status to a controller and
//! executes the commands in the response.

use super::FakeWorker;
use dapplecroft_net::Request;
use dapplecroft_wire::workers::{Heartbeat, HeartbeatReply, Redirect, TaskStatus};
use http::Method;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Delay before each heartbeat, so that changes in quick succession are sent in
/// one heartbeat.
const HEARTBEAT_BATCH_DELAY: Duration = Duration::from_millis(300);
/// How long the agent waits for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Backoff before the agent tries the next controller.
const NEXT_CONTROLLER_BACKOFF: Duration = Duration::from_secs(1);

impl FakeWorker {
    /// Returns a heartbeat with the agent's current status and the next sequence number.
    pub fn report(&self) -> Heartbeat {
        let mut inner = self.inner.lock().unwrap();
        inner.sequence += 1;
        Heartbeat {
            machine: self.machine.clone(),
            address: self.address.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: inner.epoch,
            sequence: inner.sequence,
            token: inner.fencing_token,
            notice_s: inner
                .preemption_at
                .map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64()),
            tasks: inner
                .tasks
                .iter()
                .map(|(name, t)| TaskStatus {
                    task: name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.exit_reason,
                    saved: t.checkpointed,
                })
                .collect(),
        }
    }

    /// Sends a heartbeat at each interval, and earlier when the status has changed.
    /// A response renews the lease from the moment at which the heartbeat was sent.
    pub(super) async fn heartbeat_loop(&self) {
        loop {
            let _ = timeout(self.timing.report, self.status_changed.notified()).await;
            sleep(HEARTBEAT_BATCH_DELAY).await;
            self.wait_while_hung().await;
            self.expire_lease_if_due();
            let sent_at = Instant::now();
            let heartbeat = self.report();
            let heartbeat_target = self.inner.lock().unwrap().heartbeat_target;
            let (_, address) = &self.controllers[heartbeat_target % self.controllers.len()];
            let request = Request {
                address: address.clone(),
                method: Method::POST,
                path: "/hello".into(),
                body: serde_json::to_vec(&heartbeat).unwrap().into(),
                timeout: HEARTBEAT_TIMEOUT,
                to_worker: false,
            };
            let answer = self.transport.send(request).await;
            self.wait_while_hung().await;
            // If the machine hung meanwhile, the response may be older than the timeout and
            // must be ignored like one that never arrived.
            let answer = answer.ok().filter(|_| sent_at.elapsed() < HEARTBEAT_TIMEOUT);
            self.expire_lease_if_due();
            match answer {
                Some(r) if r.status == 200 => {
                    let commands: HeartbeatReply = serde_json::from_slice(&r.body).unwrap();
                    let mut inner = self.inner.lock().unwrap();
                    if commands.token >= inner.fencing_token && heartbeat.session == inner.epoch {
                        if commands.token > inner.fencing_token {
                            self.status_changed.notify_one();
                        }
                        inner.fencing_token = commands.token;
                        inner.lease_renewed_at = sent_at;
                        self.execute_commands(&mut inner, &commands.commands);
                    }
                }
                Some(r) if r.status == 421 => {
                    let redirect: Redirect = serde_json::from_slice(&r.body).unwrap_or_default();
                    let redirect_target = redirect
                        .report_to
                        .and_then(|host| self.controllers.iter().position(|(name, _)| *name == host));
                    match redirect_target.filter(|n| *n != heartbeat_target) {
                        Some(n) => {
                            self.inner.lock().unwrap().heartbeat_target = n;
                            self.status_changed.notify_one();
                        }
                        None => self.try_next_controller(heartbeat_target).await,
                    }
                }
                _ => self.try_next_controller(heartbeat_target).await,
            }
        }
    }

    /// After a backoff, makes the agent report to the next controller in its list.
    async fn try_next_controller(&self, heartbeat_target: usize) {
        sleep(NEXT_CONTROLLER_BACKOFF).await;
        self.inner.lock().unwrap().heartbeat_target = (heartbeat_target + 1) % self.controllers.len();
        self.status_changed.notify_one();
    }
}
