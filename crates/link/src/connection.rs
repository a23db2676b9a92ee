//! Receives the frames that a peer sends on one connection.

use std::sync::Arc;

use async_std::channel::{Sender, TrySendError};
use async_std::task;
use kernel::HostName;
use quinn::{Connection, ReadToEndError, RecvStream, SendStream};
use wire::{Error, Frame, MAX_FRAME_BYTES};

use crate::{Counters, Incoming, Peer, Rejection, Reply};

/// The channel that delivers frames of authenticated hosts, and the link's counters.
#[derive(Clone)]
pub(crate) struct Inbox {
    pub(crate) sender: Sender<Incoming>,
    pub(crate) counters: Arc<Counters>,
}

/// Receives frames from datagrams and streams until the connection closes.
pub(crate) async fn read_frames(host: HostName, connection: Connection, inbox: Inbox) {
    let uni_streams = task::spawn(read_uni_streams(
        host.clone(),
        connection.clone(),
        inbox.clone(),
    ));
    let bi_streams = task::spawn(read_bi_streams(
        host.clone(),
        connection.clone(),
        inbox.clone(),
    ));
    while let Ok(bytes) = connection.read_datagram().await {
        let from = peer_of(&host, &connection);
        inbox.receive(from, &bytes, None);
    }
    uni_streams.await;
    bi_streams.await;
}

async fn read_uni_streams(host: HostName, connection: Connection, inbox: Inbox) {
    while let Ok(stream) = connection.accept_uni().await {
        let from = peer_of(&host, &connection);
        task::spawn(read_stream(from, stream, None, inbox.clone()));
    }
}

async fn read_bi_streams(host: HostName, connection: Connection, inbox: Inbox) {
    while let Ok((reply_stream, stream)) = connection.accept_bi().await {
        let from = peer_of(&host, &connection);
        task::spawn(read_stream(from, stream, Some(reply_stream), inbox.clone()));
    }
}

async fn read_stream(
    from: Peer,
    mut stream: RecvStream,
    reply_stream: Option<SendStream>,
    inbox: Inbox,
) {
    match stream.read_to_end(MAX_FRAME_BYTES).await {
        Ok(bytes) => inbox.receive(from, &bytes, reply_stream),
        Err(ReadToEndError::TooLong) => inbox.counters.count_rejected(Rejection::TooLarge),
        Err(ReadToEndError::Read(_)) => {}
    }
}

fn peer_of(host: &HostName, connection: &Connection) -> Peer {
    Peer {
        host: host.clone(),
        address: connection.remote_address(),
    }
}

impl Inbox {
    /// Decodes a frame and puts it into the inbox. A full inbox drops it, so that a
    /// peer that sends faster than this host processes frames can't exhaust this host's
    /// memory by frames in the inbox; senders tolerate lost frames.
    fn receive(&self, from: Peer, bytes: &[u8], reply_stream: Option<SendStream>) {
        self.counters.count_received(bytes.len());
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(Error::TooLarge(_)) => return self.counters.count_rejected(Rejection::TooLarge),
            Err(_) => return self.counters.count_rejected(Rejection::Malformed),
        };
        let counters = self.counters.clone();
        let reply = reply_stream.map(|stream| Reply { stream, counters });
        let incoming = Incoming { from, frame, reply };
        if let Err(TrySendError::Full(_)) = self.sender.try_send(incoming) {
            self.counters.count_rejected(Rejection::InboxFull);
        }
    }
}
