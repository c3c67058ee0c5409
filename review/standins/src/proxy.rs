//! A proxy of TCP connections, which can reset them.

use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections to a port of its own on to another port.
pub struct Proxy {
    pub port: u16,
    resets: watch::Sender<u64>,
}

impl Proxy {
    pub async fn start(to: u16) -> Arc<Proxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        let proxy = Arc::new(Proxy { port, resets: watch::Sender::new(0) });
        let own = proxy.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut reset = own.resets.subscribe();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(("127.0.0.1", to)).await else { return };
                    let (near, far) = (Arc::new(near), Arc::new(far));
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    tokio::select! {
                        () = copy(&near, &far) => {}
                        () = copy(&far, &near) => {}
                        _ = reset.changed() => {
                            #[allow(deprecated)]
                            for stream in [&near, &far] {
                                let _ = stream.set_linger(Some(Duration::ZERO));
                            }
                        }
                    }
                });
            }
        });
        proxy
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }
}

async fn copy(from: &TcpStream, to: &TcpStream) {
    let mut buffer = vec![0u8; 16 * 1024];
    loop {
        if from.readable().await.is_err() {
            return;
        }
        let mut bytes = match from.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => &buffer[..n],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        while !bytes.is_empty() {
            if to.writable().await.is_err() {
                return;
            }
            match to.try_write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
