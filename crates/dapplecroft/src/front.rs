//! The connections of users and workers: counted, and read in rounds.
//!
//! After a restart of all controllers thousands of reports come at once, on a
//! few hundredths of a processor. Were each read as it comes, everything else
//! that is ready (renewals of leases above all) would wait behind all of them
//! at every step, for seconds. So only a few connections are read at a time;
//! whatever else is ready goes before the next few.

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

/// Connections that are read in one round.
const ROUND: usize = 12;
/// Pause after a connection could not be accepted: trying again at once would
/// use up the processor for as long as sockets are short.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// Whether a connection waits for its turn, or has it.
#[derive(Debug, Default)]
struct Turn(AtomicU8);

const IDLE: u8 = 0;
const QUEUED: u8 = 1;
const GRANTED: u8 = 2;

impl Turn {
    fn is(&self, state: u8) -> bool {
        self.0.load(Ordering::Relaxed) == state
    }

    fn set(&self, state: u8) {
        self.0.store(state, Ordering::Relaxed);
    }
}

/// How often a line says that connections were closed for want of sockets.
const TELL_EVERY: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Turns {
    /// How many may still go in this round.
    left: usize,
    waiting: VecDeque<(Waker, Arc<Turn>)>,
}

/// Lets a few go at a time.
#[derive(Debug, Default)]
pub struct Gate {
    turns: Mutex<Turns>,
    wake: Notify,
}

impl Gate {
    /// Waits for a turn; it lasts until whoever has it gives it back.
    fn poll_turn(&self, cx: &Context<'_>, turn: &Arc<Turn>) -> Poll<()> {
        if turn.is(GRANTED) {
            return Poll::Ready(());
        }
        let mut turns = self.lock();
        if turns.left > 0 && turns.waiting.is_empty() {
            turns.left -= 1;
            turn.set(GRANTED);
            self.wake.notify_one();
            return Poll::Ready(());
        }
        if turn.is(QUEUED) {
            let own = turns.waiting.iter_mut().find(|(_, own)| Arc::ptr_eq(own, turn));
            own.into_iter().for_each(|(waker, _)| waker.clone_from(cx.waker()));
        } else {
            turn.set(QUEUED);
            turns.waiting.push_back((cx.waker().clone(), turn.clone()));
        }
        self.wake.notify_one();
        Poll::Pending
    }

    /// Grants turns, round after round, for ever.
    pub async fn run(&self) {
        loop {
            if self.round() {
                // All that is ready now goes first, and so does what has arrived.
                tokio::task::yield_now().await;
            } else {
                // Nobody waits and nobody goes: no need for rounds.
                self.wake.notified().await;
            }
        }
    }

    /// Begins a round; returns whether anybody has a turn in it.
    fn round(&self) -> bool {
        let mut turns = self.lock();
        turns.left = ROUND;
        while turns.left > 0
            && let Some((waker, turn)) = turns.waiting.pop_front()
        {
            turns.left -= 1;
            turn.set(GRANTED);
            waker.wake();
        }
        turns.left < ROUND
    }

    fn lock(&self) -> MutexGuard<'_, Turns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections, counts them and has them read in rounds.
pub struct FrontAcceptor {
    inner: TcpAcceptor,
    gate: Arc<Gate>,
    sockets: Arc<SocketLimiter>,
    told: Option<Instant>,
}

impl FrontAcceptor {
    /// Accepts from a listener.
    pub fn new(inner: TcpAcceptor, gate: Arc<Gate>, sockets: Arc<SocketLimiter>) -> Self {
        FrontAcceptor { inner, gate, sockets, told: None }
    }

    /// Says now and then how many connections found no room.
    fn tell_shed(&mut self) {
        if self.told.is_none_or(|at| at.elapsed() > TELL_EVERY) {
            self.told = Some(Instant::now());
            let shed = self.sockets.take_shed_count();
            if shed > 0 {
                tracing::warn!(
                    shed,
                    open = self.sockets.open_count(),
                    "connections found no room and were closed"
                );
            }
        }
    }
}

impl Acceptor for FrontAcceptor {
    type Io = FrontStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(FrontStream, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        loop {
            let (io, local, remote, scheme) = match self.inner.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::debug!(%error, "a connection cannot be accepted");
                    tokio::time::sleep(REFUSED_PAUSE).await;
                    continue;
                }
            };
            // One that there is no room for is closed at once: whoever made it
            // tries another node.
            self.tell_shed();
            if let Some(socket) = self.sockets.try_accept() {
                let (gate, turn) = (self.gate.clone(), Arc::default());
                let stream = FrontStream { io, gate, turn, _socket: socket };
                return Ok((stream, local, remote, scheme));
            }
        }
    }
}

/// A connection that is read when it is its turn.
pub struct FrontStream {
    io: TcpStream,
    gate: Arc<Gate>,
    turn: Arc<Turn>,
    _socket: SocketPermit,
}

impl AsyncRead for FrontStream {
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
        let me = &mut *self;
        if me.gate.poll_turn(cx, &me.turn).is_pending() {
            return Poll::Pending;
        }
        let read = Pin::new(&mut me.io).poll_read(cx, buffer);
        if read.is_pending() {
            // All that had come is read: the turn is over.
            me.turn.set(IDLE);
        }
        read
    }
}

impl AsyncWrite for FrontStream {
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
