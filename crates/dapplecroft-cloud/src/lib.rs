//! Client of the cloud, with a rate budget and three-valued outcomes.

use dapplecroft_net::{Outcome, Request, Response, TokenBucket, Transport};
use dapplecroft_wire::cloud::{Catalog, ListedMachine, MachineList, MachineNames, RentRequest};
use http::Method;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Most machines of one rental request.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Most names of one release.
pub const MAX_MACHINES_PER_RELEASE: usize = 100;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const LIST_PAGE_SIZE: usize = 500;

/// What the cloud said to a rental request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentOutcome {
    /// These machines were rented, perhaps fewer than asked for.
    Machines(Vec<String>),
    /// None of this type, zone and kind is to be had.
    NoCapacity,
}

/// A client of the cloud.
pub struct CloudClient {
    transport: Arc<dyn Transport>,
    address: String,
    request_budget: TokenBucket,
}

impl CloudClient {
    /// A client that keeps to `rps` requests a second.
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

    /// The machine types.
    pub async fn catalog(&self) -> Outcome<Catalog> {
        match self.call(Method::GET, "/catalog".into(), Vec::new()).await {
            Outcome::Done(r) => decode_ok(&r),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Rents machines. The same request may be repeated under its name.
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

    /// Releases machines. Done means that they and all that was on them are gone.
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

    /// All machines that the cloud lists; the list lags and may go backwards.
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

fn outcome_of_error_status<T>(response: &Response) -> Outcome<T> {
    let text = format!("status {}", response.status);
    match response.status {
        429 | 503 | 400 => Outcome::Refused(text),
        _ => Outcome::Unknown(text),
    }
}

/// Reads a body; a bad answer of the cloud is an unknown outcome.
fn decode_ok<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status != 200 {
        return outcome_of_error_status(response);
    }
    match serde_json::from_slice(&response.body) {
        Ok(value) => Outcome::Done(value),
        Err(error) => {
            tracing::warn!(%error, "the cloud's answer cannot be read");
            Outcome::Unknown(format!("bad answer: {error}"))
        }
    }
}
