//! [`Transport`] over TCP: HTTP/1.1 with keep-alive connections.

use crate::{Request, Response, SocketLimiter, Transport, TransportError};
use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Largest response body that is read. The state service does not limit the size of watch responses, but the
/// memory of this process is limited.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// HTTP/1.1 client over TCP.
#[derive(Debug, Clone)]
pub struct TcpTransport {
    client: Client<HttpConnector, Full<Bytes>>,
    sockets: Arc<SocketLimiter>,
    /// Limits the number of concurrent requests to workers.
    worker_request_slots: Arc<Semaphore>,
}

impl TcpTransport {
    /// Creates a transport with its own connection pool; `sockets` is the socket limiter of the process.
    pub fn new(sockets: Arc<SocketLimiter>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            // There may be a thousand workers and sockets are limited, so connections are reused while a
            // worker is busy and closed soon afterwards.
            .pool_idle_timeout(Duration::from_secs(8))
            .pool_max_idle_per_host(1)
            .build(connector);
        let worker_request_slots = Arc::new(Semaphore::new(sockets.max_worker_requests()));
        TcpTransport { client, sockets, worker_request_slots }
    }
}

#[async_trait]
impl Transport for TcpTransport {
    async fn send(&self, request: Request) -> Result<Response, TransportError> {
        let not_sent = |e: String| TransportError::NotSent(e);
        let worker_slot = match request.to_worker {
            true => Some(tokio::time::timeout(request.timeout, self.worker_request_slots.acquire()).await),
            false => None,
        };
        if worker_slot.as_ref().is_some_and(Result::is_err) {
            return Err(not_sent("timed out waiting for a request slot".into()));
        }
        let mut builder = http::Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.address, request.path));
        if !request.body.is_empty() {
            builder = builder.header(http::header::CONTENT_TYPE, "application/json");
        }
        if request.to_worker && self.sockets.outbound_scarce() {
            builder = builder.header(http::header::CONNECTION, "close");
        }
        let http_request = builder.body(Full::new(request.body)).map_err(|e| not_sent(e.to_string()))?;
        let exchange = async {
            let response = self.client.request(http_request).await.map_err(|e| {
                // A request whose connection failed was not sent and cannot be executed later.
                if e.is_connect() { not_sent(e.to_string()) } else { TransportError::Unknown(e.to_string()) }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| match e.downcast_ref::<LengthLimitError>() {
                    Some(_) => TransportError::ResponseTooLarge,
                    None => TransportError::Unknown(e.to_string()),
                })?
                .to_bytes();
            Ok(Response { status, body })
        };
        match tokio::time::timeout(request.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(TransportError::Unknown("request timed out".into())),
        }
    }
}
