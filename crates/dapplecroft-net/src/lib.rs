//! HTTP towards outside systems: a [`Transport`] that tests replace by an
//! in-memory network, its real form over TCP, and rate budgets.

mod socket_limiter;
mod tcp;
mod token_bucket;

pub use socket_limiter::{SocketLimiter, SocketPermit};
pub use tcp::TcpTransport;
pub use token_bucket::TokenBucket;

use async_trait::async_trait;
use bytes::Bytes;
use std::time::Duration;

/// A request to an outside system.
#[derive(Debug, Clone)]
pub struct Request {
    /// `host:port`.
    pub address: String,
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// JSON body, empty for none.
    pub body: Bytes,
    /// How long to wait for the whole answer.
    pub timeout: Duration,
    /// Whether it goes to one of very many hosts, to which connections are kept
    /// only while sockets are plenty.
    pub to_worker: bool,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// What is told of an answer that is larger than this process takes.
const RESPONSE_TOO_LARGE: &str = "the answer is too large";

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransportError {
    /// The request certainly never left this process.
    NotSent(String),
    /// The request may have been executed, or may yet be.
    Unknown(String),
    /// The request was executed; its answer is larger than this process takes.
    ResponseTooLarge,
}

/// What came of a request: done, refused (certainly not executed), or unknown
/// (it may have been executed, or may yet be executed much later).
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome<T> {
    /// Executed.
    Done(T),
    /// Not executed, and never will be.
    Refused(String),
    /// Nobody knows.
    Unknown(String),
}

impl<T> Outcome<T> {
    /// Changes what a done request brought.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Outcome::Done(value) => Outcome::Done(f(value)),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// What a done request brought.
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

/// Carries requests.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request and waits for its answer.
    async fn send(&self, request: Request) -> Result<Response, TransportError>;
}
