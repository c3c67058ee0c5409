//! Client of the cloud that rents machines. It keeps to a request rate, and each request is reported as
//! executed, refused or unknown (see [`Outcome`]).

use dapplecroft_net::{Outcome, Request, Response, TokenBucket, Transport};
use dapplecroft_wire::cloud::{Catalog, ListedMachine, MachineList, MachineNames, RentRequest};
use http::Method;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of machines in one rental request.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Maximum number of machine names in one release request.
pub const MAX_MACHINES_PER_RELEASE: usize = 100;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const LIST_PAGE_SIZE: usize = 500;

/// The cloud's response to a rental request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentOutcome {
    /// These machines were rented, possibly fewer than requested.
    Machines(Vec<String>),
    /// The cloud has no machine left of the requested type, in the requested zone, of the requested kind
    /// (spot or ordinary).
    NoCapacity,
}

/// A client of the cloud.
pub struct CloudClient {
    transport: Arc<dyn Transport>,
    address: String,
    request_budget: TokenBucket,
}

impl CloudClient {
    /// Creates a client that makes at most `rps` requests per second.
    pub fn new(transport: Arc<dyn Transport>, address: String, rps: f64) -> Self {
        CloudClient { transport, address, request_budget: TokenBucket::new(rps) }
    }

    async fn call(&self, method: Method, path: String, body: Vec<u8>) -> Outcome<Response> {
        self.request_budget.acquire(1.0).await;
        let request = Request {
            address: self.address.clone(),
            method,
            path,
            body: body.into(),
            timeout: REQUEST_TIMEOUT,
            to_worker: false,
        };
        match self.transport.send(request).await {
            Ok(response) => Outcome::Done(response),
            Err(failure) => failure.into(),
        }
    }

    /// Fetches the machine types on offer.
    pub async fn catalog(&self) -> Outcome<Catalog> {
        match self.call(Method::GET, "/catalog".into(), Vec::new()).await {
            Outcome::Done(r) => decode_ok(&r),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Rents machines. The call is idempotent: a request may be repeated under the same request name.
    pub async fn rent(&self, request: &RentRequest) -> Outcome<RentOutcome> {
        let body = match serde_json::to_vec(request) {
            Ok(body) => body,
            Err(e) => return Outcome::Refused(e.to_string()),
        };
        match self.call(Method::POST, "/rentals".into(), body).await {
            Outcome::Done(r) if r.status == 503 && body_contains(&r, "no capacity") => {
                Outcome::Done(RentOutcome::NoCapacity)
            }
            Outcome::Done(r) => decode_ok::<MachineNames>(&r).map(|n| RentOutcome::Machines(n.machines)),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Releases up to [`MAX_MACHINES_PER_RELEASE`] machines; further names are ignored. When the outcome is
    /// `Done`, the machines and everything on them no longer exist.
    pub async fn release(&self, machines: &[String]) -> Outcome<()> {
        let names =
            MachineNames { machines: machines.iter().take(MAX_MACHINES_PER_RELEASE).cloned().collect() };
        let body = match serde_json::to_vec(&names) {
            Ok(body) => body,
            Err(e) => return Outcome::Refused(e.to_string()),
        };
        match self.call(Method::POST, "/rentals/release".into(), body).await {
            Outcome::Done(r) if r.status == 200 => Outcome::Done(()),
            Outcome::Done(r) => outcome_of_error_status(&r),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Lists all rented machines. The list lags behind the cloud's actual state and may be older than one
    /// that was returned before.
    pub async fn list_machines(&self) -> Outcome<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let from = all.last().map(|m| format!("from={}&", m.id)).unwrap_or_default();
            let path = format!("/rentals?{from}limit={LIST_PAGE_SIZE}");
            let page: MachineList = match self.call(Method::GET, path, Vec::new()).await {
                Outcome::Done(r) => match decode_ok(&r) {
                    Outcome::Done(page) => page,
                    Outcome::Refused(e) => return Outcome::Refused(e),
                    Outcome::Unknown(e) => return Outcome::Unknown(e),
                },
                Outcome::Refused(e) => return Outcome::Refused(e),
                Outcome::Unknown(e) => return Outcome::Unknown(e),
            };
            let has_more = page.truncated && !page.machines.is_empty();
            all.extend(page.machines);
            if !has_more {
                return Outcome::Done(all);
            }
        }
    }
}

fn body_contains(response: &Response, text: &str) -> bool {
    String::from_utf8_lossy(&response.body).contains(text)
}

/// Outcome of a request whose status is not 200: with 400, 429 and 503 the cloud did not execute it.
fn outcome_of_error_status<T>(response: &Response) -> Outcome<T> {
    let text = format!("status {}", response.status);
    match response.status {
        429 | 503 | 400 => Outcome::Refused(text),
        _ => Outcome::Unknown(text),
    }
}

/// Decodes the body of a response with status 200. An invalid body is an unknown outcome.
fn decode_ok<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status != 200 {
        return outcome_of_error_status(response);
    }
    match serde_json::from_slice(&response.body) {
        Ok(value) => Outcome::Done(value),
        Err(error) => {
            tracing::warn!(%error, "cannot decode the cloud's response");
            Outcome::Unknown(format!("invalid response body: {error}"))
        }
    }
}
