//! A relay between one host and a stand-in, which a script can cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::future::{self, Either};
use futures::{AsyncWriteExt, StreamExt};

/// Passes connections on until it is cut; then it closes them all and takes no more.
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
        // Nothing is ever sent: its closing tells the connections of the cut.
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

    /// Closes every connection and each one that comes later.
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
    // How a connection ends is seen by its two ends; there is nobody else to tell.
    let _ = io::copy(&from, &mut to).await;
    let _ = to.close().await;
}
