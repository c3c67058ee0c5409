//! The worker's heartbeat: it sends its status and takes the orders in the answer.

use super::FakeWorker;
use dapplecroft_net::Request;
use dapplecroft_wire::workers::{Orders, Redirect, Report, TaskReport};
use http::Method;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

impl FakeWorker {
    /// A report as of now.
    pub fn report(&self) -> Report {
        let mut inner = self.inner.lock().unwrap();
        inner.sequence += 1;
        Report {
            machine: self.machine.clone(),
            address: self.address.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: inner.session,
            sequence: inner.sequence,
            token: inner.token,
            notice_s: inner.notice.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64()),
            tasks: inner
                .tasks
                .iter()
                .map(|(name, t)| TaskReport {
                    task: name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: t.saved,
                })
                .collect(),
        }
    }

    pub(super) async fn report_loop(&self) {
        loop {
            let _ = timeout(self.timing.report, self.changed.notified()).await;
            sleep(Duration::from_millis(300)).await;
            self.awake().await;
            self.check_lease();
            let sent = Instant::now();
            let report = self.report();
            let reports_to = self.inner.lock().unwrap().reports_to;
            let (_, address) = &self.nodes[reports_to % self.nodes.len()];
            let request = Request {
                address: address.clone(),
                method: Method::POST,
                path: "/hello".into(),
                body: serde_json::to_vec(&report).unwrap().into(),
                timeout: Duration::from_secs(4),
                one_of_many: false,
            };
            let answer = self.port.send(request).await;
            self.awake().await;
            // If it hung meanwhile, an answer as late as that counts for nothing.
            let answer = answer.ok().filter(|_| sent.elapsed() < Duration::from_secs(4));
            self.check_lease();
            match answer {
                Some(r) if r.status == 200 => {
                    let orders: Orders = serde_json::from_slice(&r.body).unwrap();
                    let mut inner = self.inner.lock().unwrap();
                    if orders.token >= inner.token && report.session == inner.session {
                        if orders.token > inner.token {
                            self.changed.notify_one();
                        }
                        inner.token = orders.token;
                        inner.renewed = sent;
                        self.execute(&mut inner, &orders.orders);
                    }
                }
                Some(r) if r.status == 421 => {
                    let redirect: Redirect = serde_json::from_slice(&r.body).unwrap_or_default();
                    let named = redirect
                        .report_to
                        .and_then(|host| self.nodes.iter().position(|(name, _)| *name == host));
                    match named.filter(|n| *n != reports_to) {
                        Some(n) => {
                            self.inner.lock().unwrap().reports_to = n;
                            self.changed.notify_one();
                        }
                        None => self.next_node(reports_to).await,
                    }
                }
                _ => self.next_node(reports_to).await,
            }
        }
    }

    async fn next_node(&self, reports_to: usize) {
        sleep(Duration::from_secs(1)).await;
        self.inner.lock().unwrap().reports_to = (reports_to + 1) % self.nodes.len();
        self.changed.notify_one();
    }
}
