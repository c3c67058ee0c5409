//! Incoming HTTP connections of users and workers: counts them against the process's socket limit and limits
//! how many of them are read at a time.
//!
//! After a restart of all controllers, thousands of heartbeats arrive at once, while a controller has only a
//! few hundredths of a CPU. If every connection were read as soon as data arrives, all other ready tasks
//! (above all lease renewals) would wait behind all of these reads at each of their steps, for seconds. So
//! connections are read in rounds of a few, and all other ready tasks run between two rounds.

use dapplecroft_net::{SocketLimiter, SocketPermit};
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Maximum number of connections that start reading in one round.
const TURNS_PER_ROUND: usize = 12;
/// Delay after a failure to accept a connection. Retrying at once would use up the CPU for as long as the
/// process is out of sockets.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether a connection has no turn to read, waits for one, or has one: `IDLE`, `QUEUED` or `GRANTED`.
#[derive(Debug, Default)]
struct ReadTurn(AtomicU8);

const IDLE: u8 = 0;
const QUEUED: u8 = 1;
const GRANTED: u8 = 2;

impl ReadTurn {
    fn is(&self, state: u8) -> bool {
        self.0.load(Ordering::Relaxed) == state
    }

    fn set(&self, state: u8) {
        self.0.store(state, Ordering::Relaxed);
    }
}

/// Minimum time between two log lines about connections closed at the socket limit.
const SHED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// State of the current round.
#[derive(Debug, Default)]
struct RoundState {
    /// Number of turns that may still be granted in this round.
    turns_left: usize,
    /// Connections that wait for a turn, first come, first served, with the wakers of their tasks.
    queue: VecDeque<(Waker, Arc<ReadTurn>)>,
}

/// Grants connections turns to read, a few per round.
#[derive(Debug, Default)]
pub struct ReadThrottle {
    state: Mutex<RoundState>,
    /// Wakes [`ReadThrottle::run`] when a connection asks for a turn.
    turn_requested: Notify,
}

impl ReadThrottle {
    /// Polls for a turn. Once granted, it lasts until the connection sets it back to `IDLE`.
    fn poll_turn(&self, cx: &Context<'_>, turn: &Arc<ReadTurn>) -> Poll<()> {
        if turn.is(GRANTED) {
            return Poll::Ready(());
        }
        let mut state = self.lock();
        if state.turns_left > 0 && state.queue.is_empty() {
            state.turns_left -= 1;
            turn.set(GRANTED);
            self.turn_requested.notify_one();
            return Poll::Ready(());
        }
        if turn.is(QUEUED) {
            let own = state.queue.iter_mut().find(|(_, own)| Arc::ptr_eq(own, turn));
            own.into_iter().for_each(|(waker, _)| waker.clone_from(cx.waker()));
        } else {
            turn.set(QUEUED);
            state.queue.push_back((cx.waker().clone(), turn.clone()));
        }
        self.turn_requested.notify_one();
        Poll::Pending
    }

    /// Grants turns round after round; never returns.
    pub async fn run(&self) {
        loop {
            if self.start_round() {
                // All other ready tasks, and those woken by I/O that has arrived, run before the next round.
                tokio::task::yield_now().await;
            } else {
                // No connection waited for a turn, so the next round can wait for a request.
                self.turn_requested.notified().await;
            }
        }
    }

    /// Starts a round by granting turns to the first connections in the queue. Returns whether there were
    /// any.
    fn start_round(&self) -> bool {
        let mut state = self.lock();
        state.turns_left = TURNS_PER_ROUND;
        while state.turns_left > 0
            && let Some((waker, turn)) = state.queue.pop_front()
        {
            state.turns_left -= 1;
            turn.set(GRANTED);
            waker.wake();
        }
        state.turns_left < TURNS_PER_ROUND
    }

    fn lock(&self) -> MutexGuard<'_, RoundState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections within the socket limit and throttles their reads.
pub struct ThrottledAcceptor {
    inner: TcpAcceptor,
    throttle: Arc<ReadThrottle>,
    sockets: Arc<SocketLimiter>,
    /// When the number of connections closed at the socket limit was last checked for logging.
    last_shed_log: Option<Instant>,
}

impl ThrottledAcceptor {
    /// Wraps the acceptor of a TCP listener.
    pub fn new(inner: TcpAcceptor, throttle: Arc<ReadThrottle>, sockets: Arc<SocketLimiter>) -> Self {
        ThrottledAcceptor { inner, throttle, sockets, last_shed_log: None }
    }

    /// Logs the number of connections closed at the socket limit, at most once per [`SHED_LOG_INTERVAL`].
    fn log_shed_connections(&mut self) {
        if self.last_shed_log.is_none_or(|at| at.elapsed() > SHED_LOG_INTERVAL) {
            self.last_shed_log = Some(Instant::now());
            let closed = self.sockets.take_shed_count();
            if closed > 0 {
                tracing::warn!(
                    shed = closed,
                    open = self.sockets.open_count(),
                    "closed incoming connections because the socket limit was reached"
                );
            }
        }
    }
}

impl Acceptor for ThrottledAcceptor {
    type Io = ThrottledStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(ThrottledStream, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        loop {
            let (io, local, remote, scheme) = match self.inner.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::debug!(%error, "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // A connection beyond the socket limit is closed at once; the client then tries another
            // controller.
            self.log_shed_connections();
            if let Some(socket) = self.sockets.try_accept() {
                let (throttle, turn) = (self.throttle.clone(), Arc::default());
                let stream = ThrottledStream { io, throttle, turn, _socket: socket };
                return Ok((stream, local, remote, scheme));
            }
        }
    }
}

/// A TCP connection that is read only while it has a turn from the [`ReadThrottle`].
pub struct ThrottledStream {
    io: TcpStream,
    throttle: Arc<ReadThrottle>,
    turn: Arc<ReadTurn>,
    _socket: SocketPermit,
}

impl AsyncRead for ThrottledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A connection on which no data has arrived does not ask for a turn.
        match self.io.poll_read_ready(cx) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        }
        let this = &mut *self;
        if this.throttle.poll_turn(cx, &this.turn).is_pending() {
            return Poll::Pending;
        }
        let read = Pin::new(&mut this.io).poll_read(cx, buffer);
        if read.is_pending() {
            // All data that had arrived has been read, so the turn ends.
            this.turn.set(IDLE);
        }
        read
    }
}

impl AsyncWrite for ThrottledStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
