//! HTTP server for users, workers and health checks.

use crate::http_connections::{ReadThrottle, ThrottledAcceptor};
use dapplecroft_controller::{Node, Reply};
use dapplecroft_net::SocketLimiter;
use dapplecroft_wire::MAX_BODY_BYTES;
use poem::http::{StatusCode, header};
use poem::listener::{Listener, TcpListener};
use poem::{Endpoint, Request, Response, Server};
use std::net::SocketAddr;
use std::sync::Arc;

/// Passes each request to the controller and decides whether the connection stays open after the reply.
struct HttpEndpoint {
    node: Arc<Node>,
    sockets: Arc<SocketLimiter>,
}

impl Endpoint for HttpEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let reply = match self.node.reject_without_reading(&path) {
            Some(reply) => reply,
            None => match request.take_body().into_bytes_limit(MAX_BODY_BYTES).await {
                Ok(body) => self.node.handle(&method, &path, body).await,
                Err(_) => Reply {
                    status: 400,
                    body: b"{\"error\":\"body over 64 KiB or cut short\"}".to_vec(),
                    retry_after: None,
                },
            },
        };
        // A worker whose `/hello` is rejected turns to another controller, so its connection can be closed.
        let worker_rejected = path == "/hello" && reply.status != 200;
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = Response::builder().status(status).header(header::CONTENT_TYPE, "application/json");
        if worker_rejected || self.sockets.inbound_scarce() {
            builder = builder.header(header::CONNECTION, "close");
        }
        if let Some(seconds) = reply.retry_after {
            builder = builder.header(header::RETRY_AFTER, seconds);
        }
        Ok(builder.body(reply.body))
    }
}

/// Serves HTTP until the process ends.
pub async fn serve(node: Arc<Node>, sockets: Arc<SocketLimiter>, address: SocketAddr) -> std::io::Result<()> {
    let throttle = Arc::new(ReadThrottle::default());
    let listener = TcpListener::bind(address).into_acceptor().await?;
    let acceptor = ThrottledAcceptor::new(listener, throttle.clone(), sockets.clone());
    let endpoint = HttpEndpoint { node, sockets };
    tokio::select! {
        result = Server::new_with_acceptor(acceptor).run(endpoint) => result,
        () = throttle.run() => Ok(()),
    }
}
