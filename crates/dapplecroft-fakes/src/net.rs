//! A network between named hosts, with rules that hold, lose or refuse what
//! they match.

use async_trait::async_trait;
use dapplecroft_net::{Failure, Request, Response, Transport};
use http::Method;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Something that answers at an address.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers a request from a host.
    async fn handle(&self, from: &str, method: Method, path: &str, body: &[u8]) -> Response;
}

/// What becomes of a request that a rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// It is kept until [`Net::deliver`]; the sender hears nothing.
    Hold,
    /// It is carried out, but the sender hears nothing.
    LoseAnswer,
    /// It is carried out and answered, and a copy is kept until
    /// [`Net::deliver`] or [`Net::deliver_to`].
    Copy,
    /// It is answered 503 and not carried out.
    Refuse,
    /// It never arrives.
    Drop,
    /// The connection is refused.
    NoConnection,
}

/// Matches requests by sender, address and path; empty texts match all.
#[derive(Debug, Clone)]
pub struct Rule {
    /// Sender.
    pub from: String,
    /// Address.
    pub to: String,
    /// Beginning of the path.
    pub path: String,
    /// Text that the body must contain.
    pub body: String,
    /// What becomes of it.
    pub action: Action,
    /// How many requests it still matches.
    pub times: usize,
}

impl Rule {
    /// A rule for all requests from one host to an address.
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

    /// The same for paths that begin so.
    pub fn path(self, path: &str) -> Rule {
        Rule { path: path.into(), ..self }
    }

    /// The same for bodies that contain a text.
    pub fn body(self, body: &str) -> Rule {
        Rule { body: body.into(), ..self }
    }

    /// The same for the next `times` requests.
    pub fn times(self, times: usize) -> Rule {
        Rule { times, ..self }
    }
}

#[derive(Default)]
struct Inner {
    handlers: HashMap<String, Arc<dyn Handler>>,
    rules: Vec<Rule>,
    held: Vec<(String, Request)>,
    matched: HashMap<Action, usize>,
}

/// The network.
#[derive(Default)]
pub struct Net {
    inner: Mutex<Inner>,
}

struct HostTransport {
    net: Arc<Net>,
    host: String,
}

impl Net {
    /// An empty network.
    pub fn new() -> Arc<Net> {
        Arc::default()
    }

    /// Something answers at an address from now on.
    pub fn serve(&self, address: &str, handler: Arc<dyn Handler>) {
        self.inner.lock().unwrap().handlers.insert(address.into(), handler);
    }

    /// Nothing answers there any more.
    pub fn remove(&self, address: &str) {
        self.inner.lock().unwrap().handlers.remove(address);
    }

    /// Adds a rule.
    pub fn rule(&self, rule: Rule) {
        self.inner.lock().unwrap().rules.push(rule);
    }

    /// Removes all rules.
    pub fn clear_rules(&self) {
        self.inner.lock().unwrap().rules.clear();
    }

    /// Removes the rules for a sender and a text in bodies.
    pub fn remove_rules(&self, from: &str, body: &str) {
        self.inner.lock().unwrap().rules.retain(|r| r.from != from || r.body != body);
    }

    /// How many requests are held.
    pub fn held(&self) -> usize {
        self.inner.lock().unwrap().held.len()
    }

    /// How many requests a rule with this action has matched so far, so that a
    /// story can tell that its trouble happened.
    pub fn matched(&self, action: Action) -> usize {
        self.inner.lock().unwrap().matched.get(&action).copied().unwrap_or(0)
    }

    /// Delivers all that was held; nobody hears the answers. Returns their
    /// status codes.
    pub async fn deliver(&self) -> Vec<u16> {
        let held = std::mem::take(&mut self.inner.lock().unwrap().held);
        let mut codes = Vec::new();
        for (from, request) in held {
            codes.extend(self.deliver_request(&from, &request.address, &request).await);
        }
        codes
    }

    /// Delivers all that was held to each of these addresses, wherever it was
    /// sent. Returns the status codes.
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

    /// Delivers the reports that were held to each of these addresses, and all
    /// else where it was sent.
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

    async fn deliver_request(&self, from: &str, address: &str, request: &Request) -> Option<u16> {
        let handler = self.inner.lock().unwrap().handlers.get(address).cloned()?;
        Some(handler.handle(from, request.method.clone(), &request.path, &request.body).await.status)
    }

    /// A host's connection to the network.
    pub fn port(self: &Arc<Self>, host: &str) -> Arc<dyn Transport> {
        Arc::new(HostTransport { net: self.clone(), host: host.into() })
    }

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
    async fn send(&self, request: Request) -> Result<Response, Failure> {
        sleep(Duration::from_millis(1)).await;
        let action = self.net.apply_matching_rule(&self.host, &request);
        let wait_out_timeout = || async {
            sleep(request.timeout).await;
            Err(Failure::Unknown("silence".into()))
        };
        match action {
            Some(Action::Hold | Action::Drop) => return wait_out_timeout().await,
            Some(Action::NoConnection) => return Err(Failure::NotSent("refused".into())),
            Some(Action::Refuse) => return Ok(Response { status: 503, body: Default::default() }),
            Some(Action::LoseAnswer | Action::Copy) | None => {}
        }
        let handler = self.net.inner.lock().unwrap().handlers.get(&request.address).cloned();
        let Some(handler) = handler else { return Err(Failure::NotSent("nobody there".into())) };
        let work = handler.handle(&self.host, request.method.clone(), &request.path, &request.body);
        let answer = timeout(request.timeout, work).await;
        sleep(Duration::from_millis(1)).await;
        match answer {
            Ok(_) if action == Some(Action::LoseAnswer) => wait_out_timeout().await,
            Ok(answer) => Ok(answer),
            Err(_) => Err(Failure::Unknown("no answer in time".into())),
        }
    }
}

/// The query of a path.
pub(crate) struct Query(Vec<(String, String)>);

impl Query {
    pub(crate) fn new(path: &str) -> Query {
        let query = path.split_once('?').map_or("", |(_, q)| q);
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        Query(pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect())
    }

    pub(crate) fn text(&self, name: &str) -> String {
        self.0.iter().find(|(k, _)| k == name).map(|(_, v)| v.clone()).unwrap_or_default()
    }

    pub(crate) fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}
