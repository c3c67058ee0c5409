//! Orders sent straight to the worker, outside of its heartbeat.

use super::FakeWorker;
use crate::net::Handler;
use async_trait::async_trait;
use dapplecroft_net::Response;
use dapplecroft_wire::workers::DirectOrders;
use http::Method;
use serde_json::json;
use tokio::time::Instant;

#[async_trait]
impl Handler for FakeWorker {
    async fn handle(&self, _: &str, method: Method, path: &str, body: &[u8]) -> Response {
        let orders = (method == Method::POST && path == "/do").then(|| body.to_vec());
        if self.inner.lock().unwrap().hung_until.is_none_or(|until| until <= Instant::now()) {
            return self.answer_direct_orders(orders);
        }
        // What reaches a machine that hangs is carried out when it goes on,
        // whether anybody still waits for the answer or not.
        let Some(me) = self.weak_self.upgrade() else { return self.answer_direct_orders(orders) };
        let later = tokio::spawn(async move {
            me.wait_while_hung().await;
            me.answer_direct_orders(orders)
        });
        later.await.unwrap()
    }
}

impl FakeWorker {
    fn answer_direct_orders(&self, orders: Option<Vec<u8>>) -> Response {
        self.expire_lease_if_due();
        let mut status = 200;
        if let Some(body) = orders {
            let Ok(orders) = serde_json::from_slice::<DirectOrders>(&body) else {
                return Response { status: 400, body: json!({}).to_string().into_bytes().into() };
            };
            let mut inner = self.inner.lock().unwrap();
            if inner.destroyed || orders.token < inner.fencing_token || orders.session != inner.epoch {
                status = 409;
            } else {
                if orders.token > inner.fencing_token {
                    self.changed.notify_one();
                }
                inner.fencing_token = orders.token;
                self.execute_orders(&mut inner, &orders.orders);
            }
        }
        Response { status, body: serde_json::to_vec(&self.report()).unwrap().into() }
    }
}
