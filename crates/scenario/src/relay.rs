//! A TCP proxy between a host and a stand-in, with which a script cuts the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::future::{self, Either};
use futures::{AsyncWriteExt, StreamExt};

/// A TCP proxy. Once cut, it closes all connections, and every new one at once.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    cut: Arc<AtomicBool>,
    cuts: async_std::channel::Sender<()>,
    accepting: Option<JoinHandle<()>>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        // No message is sent: closing the channel signals the cut to all connections.
        let (cuts, was_cut) = async_std::channel::bounded::<()>(1);
        let is_cut = Arc::clone(&cut);
        let accepting = task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(stream)) = incoming.next().await {
                if !is_cut.load(Ordering::SeqCst) {
                    task::spawn(pass(stream, target, was_cut.clone()));
                }
            }
        });
        Ok(Self {
            address,
            cut,
            cuts,
            accepting: Some(accepting),
        })
    }

    /// Closes all connections, and from now on each new one.
    pub(crate) fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.cuts.close();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        if let Some(accepting) = self.accepting.take() {
            task::spawn(accepting.cancel());
        }
    }
}

async fn pass(near: TcpStream, target: SocketAddr, was_cut: async_std::channel::Receiver<()>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let to_far = copy(near.clone(), far.clone());
    let to_near = copy(far, near);
    let both = Box::pin(future::join(to_far, to_near));
    match future::select(both, Box::pin(was_cut.recv())).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn copy(from: TcpStream, mut to: TcpStream) {
    // Both peers see the error themselves, as a closed connection.
    let _ = io::copy(&from, &mut to).await;
    let _ = to.close().await;
}
