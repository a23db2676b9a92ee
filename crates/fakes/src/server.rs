//! The HTTP server of one stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task::{self, JoinHandle};
use http_types::{Request, StatusCode};

use crate::call::Call;
use crate::stand_in::StandIn;

/// A stand-in that listens on an address. Dropping it stops the accept loop.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    accept_task: Option<JoinHandle<()>>,
}

impl Server {
    pub(crate) fn start(listener: TcpListener, stand_in: StandIn) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let accept_task = Some(task::spawn(accept(listener, Arc::new(stand_in))));
        Ok(Self {
            address,
            accept_task,
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accept_task) = self.accept_task.take() {
            task::spawn(accept_task.cancel());
        }
    }
}

async fn accept(listener: TcpListener, stand_in: Arc<StandIn>) {
    let mut incoming = listener.incoming();
    while let Some(connection) = incoming.next().await {
        if let Ok(io) = connection {
            task::spawn(serve(io, Arc::clone(&stand_in)));
        }
    }
}

async fn serve(io: TcpStream, stand_in: Arc<StandIn>) {
    // With Nagle's algorithm, each small event would wait for the acknowledgement of the last.
    let _ = io.set_nodelay(true);
    // An error is a malformed request, a caller that disconnected, or a response dropped by a fault
    // or a cancellation; in each case the connection is closed.
    let _ = async_h1::accept(io, |req| respond(Arc::clone(&stand_in), req)).await;
}

async fn respond(stand_in: Arc<StandIn>, req: Request) -> http_types::Result<http_types::Response> {
    let call = Call::read(req).await?;
    stand_in.handle(&call).await.into_http().ok_or_else(|| {
        http_types::Error::from_str(StatusCode::ServiceUnavailable, "dropped response")
    })
}
