//! Reading what a peer sends on one connection.

use std::sync::Arc;

use async_std::channel::{Sender, TrySendError};
use async_std::task;
use kernel::HostName;
use quinn::{Connection, ReadToEndError, RecvStream, SendStream};
use wire::{Error, Frame, MAX_FRAME_BYTES};

use crate::{Counters, Incoming, Peer, Rejection, Reply};

/// Where frames of proven hosts go.
#[derive(Clone)]
pub(crate) struct Inbox {
    pub(crate) sender: Sender<Incoming>,
    pub(crate) counters: Arc<Counters>,
}

/// Reads all that comes on the connection until it ends.
pub(crate) async fn read(host: HostName, connection: Connection, inbox: Inbox) {
    let streams = task::spawn(read_streams(
        host.clone(),
        connection.clone(),
        inbox.clone(),
    ));
    let asks = task::spawn(read_asks(host.clone(), connection.clone(), inbox.clone()));
    while let Ok(bytes) = connection.read_datagram().await {
        let from = peer(&host, &connection);
        inbox.take(from, &bytes, None);
    }
    streams.await;
    asks.await;
}

async fn read_streams(host: HostName, connection: Connection, inbox: Inbox) {
    while let Ok(stream) = connection.accept_uni().await {
        let from = peer(&host, &connection);
        task::spawn(read_stream(from, stream, None, inbox.clone()));
    }
}

async fn read_asks(host: HostName, connection: Connection, inbox: Inbox) {
    while let Ok((sender, stream)) = connection.accept_bi().await {
        let from = peer(&host, &connection);
        task::spawn(read_stream(from, stream, Some(sender), inbox.clone()));
    }
}

async fn read_stream(from: Peer, mut stream: RecvStream, sender: Option<SendStream>, inbox: Inbox) {
    match stream.read_to_end(MAX_FRAME_BYTES).await {
        Ok(bytes) => inbox.take(from, &bytes, sender),
        Err(ReadToEndError::TooLong) => inbox.counters.count_rejected(Rejection::TooLarge),
        Err(ReadToEndError::Read(_)) => {}
    }
}

fn peer(host: &HostName, connection: &Connection) -> Peer {
    Peer {
        host: host.clone(),
        address: connection.remote_address(),
    }
}

impl Inbox {
    /// Passes a frame on. A full inbox drops it, because a peer that sends
    /// faster than this host reads must not fill its memory; senders make up
    /// for lost frames.
    fn take(&self, from: Peer, bytes: &[u8], sender: Option<SendStream>) {
        self.counters.count_received(bytes.len());
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(Error::TooLarge(_)) => return self.counters.count_rejected(Rejection::TooLarge),
            Err(_) => return self.counters.count_rejected(Rejection::Malformed),
        };
        let counters = self.counters.clone();
        let reply = sender.map(|stream| Reply { stream, counters });
        let incoming = Incoming { from, frame, reply };
        if let Err(TrySendError::Full(_)) = self.sender.try_send(incoming) {
            self.counters.count_rejected(Rejection::Flooded);
        }
    }
}
