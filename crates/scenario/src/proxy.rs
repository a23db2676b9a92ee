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
pub(crate) struct TcpProxy {
    pub(crate) address: SocketAddr,
    cut: Arc<AtomicBool>,
    cut_sender: async_std::channel::Sender<()>,
    accept_task: Option<JoinHandle<()>>,
}

impl TcpProxy {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        // No message is sent: closing the channel signals the cut to all connections.
        let (cut_sender, cut_receiver) = async_std::channel::bounded::<()>(1);
        let is_cut = Arc::clone(&cut);
        let accept_task = task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(stream)) = incoming.next().await {
                if !is_cut.load(Ordering::SeqCst) {
                    task::spawn(forward(stream, target, cut_receiver.clone()));
                }
            }
        });
        Ok(Self {
            address,
            cut,
            cut_sender,
            accept_task: Some(accept_task),
        })
    }

    /// Closes all connections, and from now on each new one.
    pub(crate) fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.cut_sender.close();
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.cut();
        if let Some(accept_task) = self.accept_task.take() {
            task::spawn(accept_task.cancel());
        }
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    cut_receiver: async_std::channel::Receiver<()>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let to_server = copy(client.clone(), server.clone());
    let to_client = copy(server, client);
    let both = Box::pin(future::join(to_server, to_client));
    match future::select(both, Box::pin(cut_receiver.recv())).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

async fn copy(from: TcpStream, mut to: TcpStream) {
    // An error is ignored: it ends the copying, and the peers see a closed connection.
    let _ = io::copy(&from, &mut to).await;
    let _ = to.close().await;
}
