//! Users behind a connection-level load balancer, as the protocol page has them.

use crate::world::Record;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

struct Health {
    healthy: bool,
    ever: bool,
    failures: u32,
    successes: u32,
    last_six: Vec<bool>,
    unhealthy_at: Option<Instant>,
    pause: Duration,
    removals: Vec<Instant>,
}

struct Target {
    port: u16,
    health: Mutex<Health>,
    open: AtomicUsize,
    /// Grows when the open connections of the node are reset.
    resets: AtomicUsize,
}

/// The load balancer: chooses a node for each new connection, by health and open connections.
pub struct Balancer {
    targets: Vec<Target>,
    record: Arc<Record>,
}

/// A user's open connection.
pub struct Connection {
    stream: TcpStream,
    target: usize,
    resets: usize,
    balancer: Arc<Balancer>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.balancer.targets[self.target].open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Balancer {
    pub fn start(ports: &[u16], record: &Arc<Record>) -> Arc<Balancer> {
        let health = || Health {
            healthy: false,
            ever: false,
            failures: 0,
            successes: 0,
            last_six: Vec::new(),
            unhealthy_at: None,
            pause: Duration::from_secs(3),
            removals: Vec::new(),
        };
        let target = |port: &u16| Target {
            port: *port,
            health: Mutex::new(health()),
            open: AtomicUsize::new(0),
            resets: AtomicUsize::new(0),
        };
        let balancer =
            Arc::new(Balancer { targets: ports.iter().map(target).collect(), record: record.clone() });
        for n in 0..ports.len() {
            let balancer = balancer.clone();
            tokio::spawn(async move { balancer.probe(n).await });
        }
        balancer
    }

    /// Probes a node once per second.
    async fn probe(&self, n: usize) {
        let target = &self.targets[n];
        loop {
            let ask = async {
                let mut stream = TcpStream::connect(("127.0.0.1", target.port)).await.ok()?;
                exchange(&mut stream, "GET", "/up", "").await
            };
            let ok = matches!(timeout(Duration::from_secs(1), ask).await, Ok(Some((200, ..))));
            {
                let mut h = target.health.lock().unwrap();
                h.last_six.push(ok);
                if h.last_six.len() > 6 {
                    h.last_six.remove(0);
                }
                (h.successes, h.failures) = if ok { (h.successes + 1, 0) } else { (0, h.failures + 1) };
                let bad = h.failures >= 2 || h.last_six.iter().filter(|ok| !**ok).count() >= 3;
                if h.healthy && bad && !ok {
                    h.healthy = false;
                    let now = Instant::now();
                    h.removals.retain(|at| now - *at < Duration::from_secs(120));
                    let doublings = h.removals.len().min(5) as u32;
                    h.pause = (Duration::from_secs(3) * 2u32.pow(doublings)).min(Duration::from_secs(60));
                    h.removals.push(now);
                    h.unhealthy_at = Some(now);
                    self.record.line(&format!("balancer: crofter-{n} unhealthy"));
                } else if !h.healthy && ok {
                    let rested = h.unhealthy_at.is_none_or(|at| at.elapsed() >= h.pause);
                    if !h.ever || (h.successes >= 2 && rested) {
                        (h.healthy, h.ever, h.unhealthy_at) = (true, true, None);
                        h.last_six.clear();
                        self.record.line(&format!("balancer: crofter-{n} healthy"));
                    }
                }
                if h.unhealthy_at.is_some_and(|at| at.elapsed() >= Duration::from_secs(5)) {
                    target.resets.fetch_add(1, Ordering::Relaxed);
                }
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Whether a node is healthy.
    pub fn healthy(&self, n: usize) -> bool {
        self.targets[n].health.lock().unwrap().healthy
    }

    /// Opens a connection to a healthy node, three of them being tried at most.
    pub async fn connect(self: &Arc<Self>) -> Option<Connection> {
        let mut order: Vec<usize> = (0..self.targets.len()).filter(|n| self.healthy(*n)).collect();
        order.sort_by_key(|n| self.targets[*n].open.load(Ordering::Relaxed));
        for n in order.into_iter().take(3) {
            let target = &self.targets[n];
            target.open.fetch_add(1, Ordering::Relaxed);
            let resets = target.resets.load(Ordering::Relaxed);
            let opened =
                timeout(Duration::from_millis(500), TcpStream::connect(("127.0.0.1", target.port))).await;
            match opened {
                Ok(Ok(stream)) => {
                    return Some(Connection { stream, target: n, resets, balancer: self.clone() });
                }
                _ => {
                    target.open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
        None
    }
}

impl Connection {
    /// Whether the load balancer has reset this connection.
    pub fn is_reset(&self) -> bool {
        self.balancer.targets[self.target].resets.load(Ordering::Relaxed) > self.resets
    }

    /// Sends a request and waits for the response: status, body, and whether the connection stays open.
    pub async fn exchange(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String, bool)> {
        exchange(&mut self.stream, method, path, body).await
    }
}

/// Writes a request and reads its response.
pub async fn exchange(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String, bool)> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: dapplecroft\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut bytes = text.as_bytes();
    while !bytes.is_empty() {
        stream.writable().await.ok()?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    let mut got: Vec<u8> = Vec::new();
    loop {
        if let Some(answer) = parse(&got) {
            return Some(answer);
        }
        stream.readable().await.ok()?;
        let mut buffer = [0u8; 4096];
        match stream.try_read(&mut buffer) {
            Ok(0) => return None,
            Ok(n) => got.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
}

fn parse(got: &[u8]) -> Option<(u16, String, bool)> {
    let text = std::str::from_utf8(got).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head.lines().find_map(|l| l.strip_prefix("content-length:"))?.trim().parse().ok()?;
    let open = !head.lines().any(|l| l.starts_with("connection:") && l.contains("close"));
    (body.len() >= length).then(|| (status, body[..length].to_string(), open))
}

/// Counts of what users' polls got.
#[derive(Default)]
pub struct Polls {
    pub sent: AtomicUsize,
    pub answered: AtomicUsize,
    pub refused: AtomicUsize,
    pub given_up: AtomicUsize,
}

/// A user who polls a job about every 5 s and waits 2 s for each response. The user keeps the connection
/// as long as it works.
pub async fn poll_job(
    balancer: Arc<Balancer>,
    id: String,
    first: Duration,
    polls: Arc<Polls>,
    stop: Arc<AtomicBool>,
) {
    sleep(first).await;
    let mut connection: Option<Connection> = None;
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        if connection.as_ref().is_some_and(Connection::is_reset) {
            connection = None;
        }
        polls.sent.fetch_add(1, Ordering::Relaxed);
        let ask = async {
            if connection.is_none() {
                connection = balancer.connect().await;
            }
            let open = connection.as_mut()?;
            open.exchange("GET", &format!("/v2/runs/{id}"), "").await
        };
        let kept = match timeout(Duration::from_secs(2), ask).await {
            Ok(Some((200, _, open))) => {
                polls.answered.fetch_add(1, Ordering::Relaxed);
                open
            }
            Ok(Some((_, _, open))) => {
                polls.refused.fetch_add(1, Ordering::Relaxed);
                open
            }
            Ok(None) | Err(_) => {
                polls.given_up.fetch_add(1, Ordering::Relaxed);
                false
            }
        };
        if !kept {
            connection = None;
        }
        sleep(Duration::from_secs(5).saturating_sub(began.elapsed())).await;
    }
}
