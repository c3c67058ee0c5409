//! Users, workers and health checks over HTTP.

use dapplecroft_controller::{Node, Reply};
use dapplecroft_wire::MAX_BODY;
use poem::http::{StatusCode, header};
use poem::listener::TcpListener;
use poem::{Endpoint, Request, Response, Server};
use std::net::SocketAddr;
use std::sync::Arc;

struct Front(Arc<Node>);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let reply = match request.take_body().into_bytes_limit(MAX_BODY).await {
            Ok(body) => self.0.handle(&method, &path, body).await,
            Err(_) => Reply {
                status: 400,
                body: b"{\"error\":\"body over 64 KiB or cut short\"}".to_vec(),
                retry_after: None,
            },
        };
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = Response::builder().status(status).header(header::CONTENT_TYPE, "application/json");
        if let Some(seconds) = reply.retry_after {
            builder = builder.header(header::RETRY_AFTER, seconds);
        }
        Ok(builder.body(reply.body))
    }
}

/// Serves until the process ends.
pub async fn serve(node: Arc<Node>, address: SocketAddr) -> std::io::Result<()> {
    Server::new(TcpListener::bind(address)).run(Front(node)).await
}
