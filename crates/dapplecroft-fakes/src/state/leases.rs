//! Leases: granting, renewal and revocation, and deletion of a lease's keys when it expires.

use super::{FakeState, Inner, json_response};
use dapplecroft_net::Response;
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::Instant;

impl FakeState {
    /// Grants a lease, renews it (`touch`) or revokes it.
    pub(super) fn serve_lease(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let mut inner = self.inner.lock().unwrap();
        if path == "/grants" {
            let body: Value = serde_json::from_slice(body).unwrap();
            let ttl = Duration::from_millis(body["life_ms"].as_u64().unwrap());
            inner.next_lease += 1;
            let id = inner.next_lease;
            inner.leases.insert(id, (ttl, Instant::now() + ttl));
            return json_response(200, json!({"tenancy": id}));
        }
        let rest = path.trim_start_matches("/grants/");
        let id: u64 = rest.split('/').next().unwrap().parse().unwrap();
        if *method == Method::DELETE {
            if let Some((_, expires_at)) = inner.leases.get_mut(&id) {
                *expires_at = Instant::now();
            }
            inner.expire_leases();
            return json_response(200, json!({}));
        }
        match inner.leases.get_mut(&id) {
            Some((ttl, expires_at)) => {
                *expires_at = Instant::now() + *ttl;
                json_response(200, json!({}))
            }
            None => json_response(404, json!({"error": "no such lease"})),
        }
    }
}

impl Inner {
    /// Drops the leases whose time has passed and deletes their keys. During an outage
    /// no lease expires.
    pub(super) fn expire_leases(&mut self) {
        if self.outage {
            return;
        }
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (_, expires_at))| *expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> =
                self.entries.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.entries.remove(&key);
                let revision = self.revision;
                self.changelog.push((revision, key, None));
            }
        }
    }
}
