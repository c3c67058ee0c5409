//! HTTP/1.1 for the stand-ins: a client on one connection that its caller controls, and servers.

use async_trait::async_trait;
use poem::listener::{Acceptor, Listener, TcpListener};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The answer of a server.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the server ends the connection after this answer.
    pub closes: bool,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Opens a connection; it must be accepted within 0.5 s, as by the load balancer.
pub async fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = timeout(Duration::from_millis(500), TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on an open connection and reads its answer.
pub async fn exchange(stream: &TcpStream, method: &str, path: &str, body: &str) -> Result<Answer> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: stand-in\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let message = [head.as_bytes(), body.as_bytes()].concat();
    let mut sent = 0;
    while sent < message.len() {
        stream.writable().await?;
        match stream.try_write(&message[sent..]) {
            Ok(n) => sent += n,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    let mut received = Vec::new();
    let mut buffer = [0u8; 16 * 1024];
    loop {
        if let Some(answer) = parse(&received)? {
            return Ok(answer);
        }
        stream.readable().await?;
        match stream.try_read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Parses a complete answer; `None` while some of it is missing.
fn parse(received: &[u8]) -> Result<Option<Answer>> {
    let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let field = |name: &str| {
        head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':').map(|v| v.trim().to_string()))
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let length: Option<usize> = field("content-length").and_then(|l| l.parse().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Err(Error::other("an answer without status or length"));
    };
    let body = &received[end + 4..];
    let closes = field("connection").is_some_and(|c| c == "close");
    let body = (body.len() >= length).then(|| String::from_utf8_lossy(&body[..length]).into_owned());
    Ok(body.map(|body| Answer { status, body, closes }))
}

/// One request on a connection of its own; `None` if no answer came in time.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<Answer> {
    let request = async {
        let stream = connect(address).await.ok()?;
        exchange(&stream, method, path, body).await.ok()
    };
    timeout(wait, request).await.ok().flatten()
}

/// Something that answers requests.
#[async_trait]
pub trait Serves: Send + Sync + 'static {
    async fn answer(&self, method: &str, path: &str, body: Vec<u8>) -> (u16, String);
}

/// Serves at a free port of the loopback address.
pub async fn serve(server: Arc<dyn Serves>) -> SocketAddr {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("a free port");
    let address = acceptor.local_addr()[0].as_socket_addr().copied().expect("a socket address");
    let endpoint = poem::endpoint::make(move |mut request: poem::Request| {
        let server = server.clone();
        async move {
            let path = request.original_uri().path_and_query().map_or("/".into(), |p| p.to_string());
            let method = request.method().to_string();
            let body = request.take_body().into_vec().await?;
            let (status, body) = server.answer(&method, &path, body).await;
            let status = http::StatusCode::from_u16(status).expect("a status");
            Ok::<_, poem::Error>(
                poem::Response::builder().status(status).content_type("application/json").body(body),
            )
        }
    });
    tokio::spawn(async move {
        let _ = poem::Server::new_with_acceptor(acceptor).run(endpoint).await;
    });
    address
}
