//! Commands that a controller sends directly to the worker agent, rather than in
//! the response to a heartbeat.

use super::FakeWorker;
use crate::net::Handler;
use async_trait::async_trait;
use dapplecroft_net::Response;
use dapplecroft_wire::workers::DirectCommands;
use http::Method;
use serde_json::json;
use tokio::time::Instant;

#[async_trait]
impl Handler for FakeWorker {
    async fn handle(&self, _: &str, method: Method, path: &str, body: &[u8]) -> Response {
        let commands = (method == Method::POST && path == "/do").then(|| body.to_vec());
        if self.inner.lock().unwrap().hung_until.is_none_or(|until| until <= Instant::now()) {
            return self.answer_direct_commands(commands);
        }
        // A machine that hangs executes the request when it resumes, even if the sender
        // has given up by then; hence the separate task, which outlives this call.
        let Some(worker) = self.weak_self.upgrade() else { return self.answer_direct_commands(commands) };
        let later = tokio::spawn(async move {
            worker.wait_while_hung().await;
            worker.answer_direct_commands(commands)
        });
        later.await.unwrap()
    }
}

impl FakeWorker {
    /// Executes the commands, if the request has any, and answers with the agent's status.
    /// The status code is 409 if the machine is destroyed, or if the commands have an
    /// outdated fencing token or are meant for another session.
    fn answer_direct_commands(&self, commands: Option<Vec<u8>>) -> Response {
        self.expire_lease_if_due();
        let mut status = 200;
        if let Some(body) = commands {
            let Ok(commands) = serde_json::from_slice::<DirectCommands>(&body) else {
                return Response { status: 400, body: json!({}).to_string().into_bytes().into() };
            };
            let mut inner = self.inner.lock().unwrap();
            if inner.destroyed || commands.token < inner.fencing_token || commands.session != inner.epoch {
                status = 409;
            } else {
                if commands.token > inner.fencing_token {
                    self.status_changed.notify_one();
                }
                inner.fencing_token = commands.token;
                self.execute_commands(&mut inner, &commands.commands);
            }
        }
        Response { status, body: serde_json::to_vec(&self.report()).unwrap().into() }
    }
}
