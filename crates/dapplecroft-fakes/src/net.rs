//! An in-memory network between named hosts, with rules that delay, drop,
//! duplicate or refuse the requests they match.

use async_trait::async_trait;
use dapplecroft_net::{Request, Response, Transport, TransportError};
use http::Method;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A server that handles the requests sent to an address.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Handles a request sent by the host `from` and returns the response.
    async fn handle(&self, from: &str, method: Method, path: &str, body: &[u8]) -> Response;
}

/// What the network does with a request that a rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// The request is held until [`Net::deliver`], [`Net::deliver_to`] or
    /// [`Net::deliver_hellos_to`] is called; the sender's request times out.
    Hold,
    /// The request is handled, but its response is lost: the sender times out.
    LoseAnswer,
    /// The request is handled and answered, and a duplicate of it is held like
    /// one that matches [`Action::Hold`].
    Copy,
    /// The request is answered with status 503 and not handled.
    Refuse,
    /// The request is lost before it arrives; the sender times out.
    Drop,
    /// The connection is refused, so the sender knows that the request was not sent.
    NoConnection,
}

/// A fault injection rule: matches requests by sender, address, path and body.
/// Empty strings match everything.
#[derive(Debug, Clone)]
pub struct Rule {
    /// Host that sends the request.
    pub from: String,
    /// Address that the request is sent to.
    pub to: String,
    /// Prefix of the request's path.
    pub path: String,
    /// Substring of the request's body.
    pub body: String,
    /// What the network does with a matching request.
    pub action: Action,
    /// How many more requests the rule applies to.
    pub times: usize,
}

impl Rule {
    /// A rule that applies to all requests from a host to an address.
    pub fn all(from: &str, to: &str, action: Action) -> Rule {
        Rule {
            from: from.into(),
            to: to.into(),
            path: String::new(),
            body: String::new(),
            action,
            times: usize::MAX,
        }
    }

    /// Restricts the rule to paths that start with `path`.
    pub fn path(self, path: &str) -> Rule {
        Rule { path: path.into(), ..self }
    }

    /// Restricts the rule to bodies that contain `body`.
    pub fn body(self, body: &str) -> Rule {
        Rule { body: body.into(), ..self }
    }

    /// Restricts the rule to the next `times` matching requests.
    pub fn times(self, times: usize) -> Rule {
        Rule { times, ..self }
    }
}

#[derive(Default)]
struct Inner {
    handlers: HashMap<String, Arc<dyn Handler>>,
    rules: Vec<Rule>,
    /// Held requests, each with the host that sent it.
    held: Vec<(String, Request)>,
    /// Number of requests that rules have matched so far, by the rule's action.
    matched: HashMap<Action, usize>,
}

/// An in-memory network that connects all hosts of a test.
#[derive(Default)]
pub struct Net {
    inner: Mutex<Inner>,
}

/// The transport that one host sends its requests through.
struct HostTransport {
    net: Arc<Net>,
    host: String,
}

impl Net {
    /// Creates a network without handlers and rules.
    pub fn new() -> Arc<Net> {
        Arc::default()
    }

    /// Registers the handler of an address, replacing any earlier one.
    pub fn serve(&self, address: &str, handler: Arc<dyn Handler>) {
        self.inner.lock().unwrap().handlers.insert(address.into(), handler);
    }

    /// Removes the handler of an address; requests to it then fail as not sent.
    pub fn remove(&self, address: &str) {
        self.inner.lock().unwrap().handlers.remove(address);
    }

    /// Adds a rule. The first rule that matches a request applies.
    pub fn rule(&self, rule: Rule) {
        self.inner.lock().unwrap().rules.push(rule);
    }

    /// Removes all rules.
    pub fn clear_rules(&self) {
        self.inner.lock().unwrap().rules.clear();
    }

    /// Removes the rules that were set up with exactly this sender and body text.
    pub fn remove_rules(&self, from: &str, body: &str) {
        self.inner.lock().unwrap().rules.retain(|r| r.from != from || r.body != body);
    }

    /// Returns the number of held requests.
    pub fn held(&self) -> usize {
        self.inner.lock().unwrap().held.len()
    }

    /// Returns how many requests the rules with this action have matched so far.
    /// Tests use it to assert that the fault they inject did take place.
    pub fn matched(&self, action: Action) -> usize {
        self.inner.lock().unwrap().matched.get(&action).copied().unwrap_or(0)
    }

    /// Delivers all held requests to their addresses and returns the status codes.
    /// The senders do not receive the responses.
    pub async fn deliver(&self) -> Vec<u16> {
        let held = std::mem::take(&mut self.inner.lock().unwrap().held);
        let mut codes = Vec::new();
        for (from, request) in held {
            codes.extend(self.deliver_request(&from, &request.address, &request).await);
        }
        codes
    }

    /// Delivers every held request to each of the given addresses, whatever address
    /// it was sent to, and returns the status codes.
    pub async fn deliver_to(&self, addresses: &[String]) -> Vec<u16> {
        let held = std::mem::take(&mut self.inner.lock().unwrap().held);
        let mut codes = Vec::new();
        for (from, request) in held {
            for address in addresses {
                codes.extend(self.deliver_request(&from, address, &request).await);
            }
        }
        codes
    }

    /// Delivers every held heartbeat (`/hello`) to each of the given addresses, and
    /// all other held requests to the addresses they were sent to.
    pub async fn deliver_hellos_to(&self, addresses: &[String]) {
        let held = std::mem::take(&mut self.inner.lock().unwrap().held);
        for (from, request) in held {
            if request.path == "/hello" {
                for address in addresses {
                    self.deliver_request(&from, address, &request).await;
                }
            } else {
                self.deliver_request(&from, &request.address, &request).await;
            }
        }
    }

    /// Passes a request to the handler of an address and returns the status code,
    /// or `None` if the address has no handler.
    async fn deliver_request(&self, from: &str, address: &str, request: &Request) -> Option<u16> {
        let handler = self.inner.lock().unwrap().handlers.get(address).cloned()?;
        Some(handler.handle(from, request.method.clone(), &request.path, &request.body).await.status)
    }

    /// Returns the transport that a host sends its requests through.
    pub fn port(self: &Arc<Self>, host: &str) -> Arc<dyn Transport> {
        Arc::new(HostTransport { net: self.clone(), host: host.into() })
    }

    /// Finds the first rule that matches the request, counts the match, holds the
    /// request (or its duplicate) if the rule says so, and returns the rule's action.
    fn apply_matching_rule(&self, host: &str, request: &Request) -> Option<Action> {
        let mut inner = self.inner.lock().unwrap();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let rule = inner.rules.iter_mut().find(|r| {
            r.times > 0
                && (r.from.is_empty() || r.from == host)
                && (r.to.is_empty() || r.to == request.address)
                && request.path.starts_with(&r.path)
                && body.contains(&r.body)
        })?;
        rule.times = rule.times.saturating_sub(1);
        let action = rule.action;
        *inner.matched.entry(action).or_default() += 1;
        if action == Action::Hold || action == Action::Copy {
            inner.held.push((host.to_string(), request.clone()));
        }
        Some(action)
    }
}

#[async_trait]
impl Transport for HostTransport {
    async fn send(&self, request: Request) -> Result<Response, TransportError> {
        sleep(Duration::from_millis(1)).await;
        let action = self.net.apply_matching_rule(&self.host, &request);
        let wait_out_timeout = || async {
            sleep(request.timeout).await;
            Err(TransportError::Unknown("silence".into()))
        };
        match action {
            Some(Action::Hold | Action::Drop) => return wait_out_timeout().await,
            Some(Action::NoConnection) => return Err(TransportError::NotSent("refused".into())),
            Some(Action::Refuse) => return Ok(Response { status: 503, body: Default::default() }),
            Some(Action::LoseAnswer | Action::Copy) | None => {}
        }
        let handler = self.net.inner.lock().unwrap().handlers.get(&request.address).cloned();
        let Some(handler) = handler else {
            return Err(TransportError::NotSent("no handler at this address".into()));
        };
        let work = handler.handle(&self.host, request.method.clone(), &request.path, &request.body);
        let answer = timeout(request.timeout, work).await;
        sleep(Duration::from_millis(1)).await;
        match answer {
            Ok(_) if action == Some(Action::LoseAnswer) => wait_out_timeout().await,
            Ok(answer) => Ok(answer),
            Err(_) => Err(TransportError::Unknown("no answer in time".into())),
        }
    }
}

/// Query parameters of a request's path.
pub(crate) struct Query(Vec<(String, String)>);

impl Query {
    pub(crate) fn new(path: &str) -> Query {
        let query = path.split_once('?').map_or("", |(_, q)| q);
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        Query(pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect())
    }

    /// Returns the parameter's value, or an empty string if it is missing.
    pub(crate) fn text(&self, name: &str) -> String {
        self.0.iter().find(|(k, _)| k == name).map(|(_, v)| v.clone()).unwrap_or_default()
    }

    /// Returns the parameter's value, or 0 if it is missing or not a number.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}
