//! The connections of users and workers: counted, and read in rounds.
//!
//! After a restart of all controllers thousands of reports come at once, on a
//! few hundredths of a processor. Were each read as it comes, everything else
//! that is ready (renewals of leases above all) would wait behind all of them
//! at every step, for seconds. So only a few connections are read at a time;
//! whatever else is ready goes before the next few.

use dapplecroft_net::{Socket, Sockets};
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

/// Connections that are read in one round.
const TURNS_PER_ROUND: usize = 12;
/// Pause after a connection could not be accepted: trying again at once would
/// use up the processor for as long as sockets are short.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether a connection waits for its turn, or has it.
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

/// How often a line says that connections were closed for want of sockets.
const SHED_LOG_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct RoundState {
    /// How many may still go in this round.
    turns_left: usize,
    queue: VecDeque<(Waker, Arc<ReadTurn>)>,
}

/// Lets a few go at a time.
#[derive(Debug, Default)]
pub struct ReadThrottle {
    state: Mutex<RoundState>,
    turn_requested: Notify,
}

impl ReadThrottle {
    /// Waits for a turn; it lasts until whoever has it gives it back.
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

    /// Grants turns, round after round, for ever.
    pub async fn run(&self) {
        loop {
            if self.start_round() {
                // All that is ready now goes first, and so does what has arrived.
                tokio::task::yield_now().await;
            } else {
                // Nobody waits and nobody goes: no need for rounds.
                self.turn_requested.notified().await;
            }
        }
    }

    /// Begins a round; returns whether anybody has a turn in it.
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

/// Accepts connections, counts them and has them read in rounds.
pub struct ThrottledAcceptor {
    inner: TcpAcceptor,
    throttle: Arc<ReadThrottle>,
    sockets: Arc<Sockets>,
    last_shed_log: Option<Instant>,
}

impl ThrottledAcceptor {
    /// Accepts from a listener.
    pub fn new(inner: TcpAcceptor, throttle: Arc<ReadThrottle>, sockets: Arc<Sockets>) -> Self {
        ThrottledAcceptor { inner, throttle, sockets, last_shed_log: None }
    }

    /// Says now and then how many connections found no room.
    fn log_shed_connections(&mut self) {
        if self.last_shed_log.is_none_or(|at| at.elapsed() > SHED_LOG_INTERVAL) {
            self.last_shed_log = Some(Instant::now());
            let closed = self.sockets.take_shed();
            if closed > 0 {
                tracing::warn!(
                    shed = closed,
                    open = self.sockets.count(),
                    "connections found no room and were closed"
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
                    tracing::debug!(%error, "a connection cannot be accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // One that there is no room for is closed at once: whoever made it
            // tries another node.
            self.log_shed_connections();
            if let Some(socket) = self.sockets.open() {
                let (throttle, turn) = (self.throttle.clone(), Arc::default());
                let stream = ThrottledStream { io, throttle, turn, _socket: socket };
                return Ok((stream, local, remote, scheme));
            }
        }
    }
}

/// A connection that is read when it is its turn.
pub struct ThrottledStream {
    io: TcpStream,
    throttle: Arc<ReadThrottle>,
    turn: Arc<ReadTurn>,
    _socket: Socket,
}

impl AsyncRead for ThrottledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A connection on which nothing has come takes no turn.
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
            // All that had come is read: the turn is over.
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
