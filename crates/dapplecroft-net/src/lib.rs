//! HTTP client for external systems: the [`Transport`] trait (tests replace it with an in-memory network),
//! its implementation over TCP, client-side rate limiting and the limit on open sockets.

mod socket_limiter;
mod tcp;
mod token_bucket;

pub use socket_limiter::{SocketLimiter, SocketPermit};
pub use tcp::TcpTransport;
pub use token_bucket::TokenBucket;

use async_trait::async_trait;
use bytes::Bytes;
use std::time::Duration;

/// An HTTP request to an external system or a worker.
#[derive(Debug, Clone)]
pub struct Request {
    /// Address of the server as `host:port`.
    pub address: String,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query string.
    pub path: String,
    /// JSON body; empty if the request has none.
    pub body: Bytes,
    /// Time limit for the whole exchange, until the response body has been read.
    pub timeout: Duration,
    /// Whether the request goes to a worker. There are very many workers, so the number of concurrent
    /// requests to them is limited, and connections to them are kept alive only while enough sockets are
    /// free.
    pub to_worker: bool,
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

/// Error text for a response that exceeds the size limit of this process.
const RESPONSE_TOO_LARGE: &str = "response exceeds the size limit";

/// Why a request returned no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransportError {
    /// The request was never sent, so the server cannot have executed it.
    NotSent(String),
    /// The request may have been executed, or may still be executed later.
    Unknown(String),
    /// The request was executed, but its response exceeds the size limit of this process.
    ResponseTooLarge,
}

/// Result of a request: executed, refused (certainly not executed) or unknown (it may have been executed,
/// or may still be executed much later).
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome<T> {
    /// The request was executed.
    Done(T),
    /// The request was not executed and never will be; holds the reason.
    Refused(String),
    /// It is not known whether the request was or will be executed; holds the reason.
    Unknown(String),
}

impl<T> Outcome<T> {
    /// Applies `f` to the value of an executed request.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Outcome::Done(value) => Outcome::Done(f(value)),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// Value of an executed request, `None` for the other outcomes.
    pub fn done(self) -> Option<T> {
        match self {
            Outcome::Done(value) => Some(value),
            _ => None,
        }
    }
}

impl<T> From<TransportError> for Outcome<T> {
    fn from(failure: TransportError) -> Self {
        match failure {
            TransportError::NotSent(e) => Outcome::Refused(e),
            TransportError::Unknown(e) => Outcome::Unknown(e),
            TransportError::ResponseTooLarge => Outcome::Unknown(RESPONSE_TOO_LARGE.into()),
        }
    }
}

/// Sends HTTP requests.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request and waits for its response.
    async fn send(&self, request: Request) -> Result<Response, TransportError>;
}
