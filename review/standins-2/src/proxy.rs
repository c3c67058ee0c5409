//! Proxies on the way to and from a controller, so that the controller can lose the network.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A controller's link to the network. While it is cut, no connection passes; those that are open when the
/// cut begins are reset.
pub struct Link(watch::Sender<bool>);

impl Link {
    pub fn new() -> Arc<Link> {
        Arc::new(Link(watch::channel(false).0))
    }

    pub fn cut(&self, cut: bool) {
        self.0.send_replace(cut);
    }

    /// Returns once the link is cut.
    async fn until_cut(&self) {
        let _ = self.0.subscribe().wait_for(|cut| *cut).await;
    }
}

fn reset(stream: &TcpStream) {
    // Without time to linger, closing sends a reset.
    let _ = stream.set_zero_linger();
}

/// Copies one direction of a connection until it ends. Returns whether it ended regularly.
async fn pump(from: &TcpStream, to: &TcpStream) -> bool {
    let mut buffer = [0u8; 16 * 1024];
    loop {
        let n = match (from.readable().await, from.try_read(&mut buffer)) {
            (Ok(()), Ok(0)) => return true,
            (Ok(()), Ok(n)) => n,
            (Ok(()), Err(error)) if error.kind() == ErrorKind::WouldBlock => continue,
            _ => return false,
        };
        let mut sent = 0;
        while sent < n {
            match (to.writable().await, to.try_write(&buffer[sent..n])) {
                (Ok(()), Ok(more)) => sent += more,
                (Ok(()), Err(error)) if error.kind() == ErrorKind::WouldBlock => {}
                _ => return false,
            }
        }
    }
}

/// Opens a proxy to `target` at a free port; a connection passes while none of the links is cut.
pub async fn open(target: SocketAddr, links: Vec<Arc<Link>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let links = links.clone();
            tokio::spawn(async move {
                if links.iter().any(|l| *l.0.borrow()) {
                    return reset(&inbound);
                }
                let Ok(outbound) = TcpStream::connect(target).await else { return reset(&inbound) };
                let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
                let regular = tokio::select! {
                    regular = pump(&inbound, &outbound) => regular,
                    regular = pump(&outbound, &inbound) => regular,
                    () = links[0].until_cut() => false,
                    () = links[links.len() - 1].until_cut() => false,
                };
                if !regular {
                    reset(&inbound);
                    reset(&outbound);
                }
            });
        }
    });
    address
}
