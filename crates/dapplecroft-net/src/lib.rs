//! HTTP towards outside systems: a [`Transport`] that tests replace by an
//! in-memory network, its real form over TCP, and rate budgets.

mod budget;
mod sockets;
mod tcp;

pub use budget::Budget;
pub use sockets::{Socket, Sockets};
pub use tcp::TcpTransport;

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
    pub one_of_many: bool,
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
const TOO_LARGE_ANSWER: &str = "the answer is too large";

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The request certainly never left this process.
    NotSent(String),
    /// The request may have been executed, or may yet be.
    Unknown(String),
    /// The request was executed; its answer is larger than this process takes.
    TooLarge,
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
            Outcome::Done(t) => Outcome::Done(f(t)),
            Outcome::Refused(e) => Outcome::Refused(e),
            Outcome::Unknown(e) => Outcome::Unknown(e),
        }
    }

    /// What a done request brought.
    pub fn done(self) -> Option<T> {
        match self {
            Outcome::Done(t) => Some(t),
            _ => None,
        }
    }
}

impl<T> From<Failure> for Outcome<T> {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent(e) => Outcome::Refused(e),
            Failure::Unknown(e) => Outcome::Unknown(e),
            Failure::TooLarge => Outcome::Unknown(TOO_LARGE_ANSWER.into()),
        }
    }
}

/// Carries requests.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request and waits for its answer.
    async fn send(&self, request: Request) -> Result<Response, Failure>;
}
