//! A connection to an endpoint, with a request that is on its way.

use std::io;

use async_std::io::WriteExt;
use framing::{Decoder, Length, response};
use futures::future::{Either, select};
use futures::pin_mut;
use route::{Ending, Permit};

use crate::conn::Conn;

/// The longest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// A connection to an endpoint, with a request that is on its way.
///
/// The rest of the request is written while the answer is read, since an
/// endpoint may answer before it has the whole request.
pub(crate) struct Upstream {
    conn: Conn,
    request: Vec<u8>,
    sent: usize,
    /// How many answers came that were not waited for.
    strays: u32,
    /// The one of them that is being read past.
    stray: Option<Stray>,
}

/// The body of an answer that nobody waits for, while it comes.
///
/// It is kept with the connection, not by whoever waits: a wait may run out in the
/// middle of it and be begun anew, and would look for a head in the rest of the body.
/// A sound answer behind it was lost that way.
struct Stray {
    decoder: Decoder,
    body: Vec<u8>,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// The operating system took no byte of the request.
    NotSent,
    /// The connection broke after that, or what came is no answer.
    Broken,
}

impl Trouble {
    pub(crate) fn ending(self) -> Ending {
        match self {
            Self::NotSent => Ending::NotSent,
            Self::Broken => Ending::Broken,
        }
    }
}

impl Upstream {
    /// Sends a request, which needs a permit: there is no other way to an endpoint.
    pub(crate) fn new(conn: Conn, request: Vec<u8>, _: Permit) -> Self {
        Self {
            conn,
            request,
            sent: 0,
            strays: 0,
            stray: None,
        }
    }

    /// How many answers came that were not waited for.
    pub(crate) fn strays(&self) -> u32 {
        self.strays
    }

    /// Reads once, writing meanwhile; 0 is the connection's end.
    pub(crate) async fn advance(&mut self) -> io::Result<usize> {
        while self.sent < self.request.len() {
            let writer = self.conn.writer();
            let mut writer = &writer;
            let write = writer.write(&self.request[self.sent..]);
            let read = self.conn.fill();
            pin_mut!(write, read);
            match select(write, read).await {
                Either::Left((written, _)) => self.sent += written?,
                Either::Right((read, _)) => return read,
            }
        }
        self.conn.fill().await
    }

    /// Waits for the next head. A wait that is given up may be begun anew.
    pub(crate) async fn head(&mut self, method: &str) -> Result<response::Head, Trouble> {
        self.read_stray().await?;
        loop {
            let unread = self.conn.unread();
            if let Some(end) = framing::head_end(unread) {
                let head = response::Head::parse(&unread[..end], method);
                self.conn.consume(end);
                return head.map_err(|_| Trouble::Broken);
            }
            if unread.len() > MAX_HEAD {
                return Err(Trouble::Broken);
            }
            match self.advance().await {
                Ok(1..) => {}
                Err(_) if self.sent == 0 => return Err(Trouble::NotSent),
                _ => return Err(Trouble::Broken),
            }
        }
    }

    /// Reads a body to its end.
    pub(crate) async fn body(
        &mut self,
        head: &response::Head,
        body: &mut Vec<u8>,
        max: usize,
    ) -> Result<(), Trouble> {
        let mut decoder = Decoder::new(head.length);
        loop {
            self.decode(&mut decoder, body)?;
            if decoder.is_done() {
                return Ok(());
            }
            if body.len() > max {
                return Err(Trouble::Broken);
            }
            match self.advance().await {
                Ok(1..) => {}
                Ok(0) => return decoder.finish().map_err(|_| Trouble::Broken),
                Err(_) => return Err(Trouble::Broken),
            }
        }
    }

    /// Passes over an answer that nobody waits for. What may follow it on this
    /// connection later is anyone's guess, so no other request is sent on it.
    pub(crate) fn pass_over(&mut self, head: &response::Head) -> Result<(), Trouble> {
        if head.length == Length::UntilClose {
            return Err(Trouble::Broken);
        }
        self.strays += 1;
        self.stray = Some(Stray {
            decoder: Decoder::new(head.length),
            body: Vec::new(),
        });
        Ok(())
    }

    /// Reads the answer that is passed over to its end.
    async fn read_stray(&mut self) -> Result<(), Trouble> {
        /// More than any refusal or second answer had.
        const MAX: usize = 1024 * 1024;
        while let Some(Stray { decoder, body }) = &mut self.stray {
            let taken = decoder
                .decode(self.conn.unread(), body)
                .map_err(|_| Trouble::Broken)?;
            self.conn.consume(taken);
            if decoder.is_done() {
                self.stray = None;
                return Ok(());
            }
            if body.len() > MAX || !matches!(self.advance().await, Ok(1..)) {
                return Err(Trouble::Broken);
            }
        }
        Ok(())
    }

    /// Decodes what has been read.
    pub(crate) fn decode(
        &mut self,
        decoder: &mut Decoder,
        body: &mut Vec<u8>,
    ) -> Result<(), Trouble> {
        let taken = decoder
            .decode(self.conn.unread(), body)
            .map_err(|_| Trouble::Broken)?;
        self.conn.consume(taken);
        Ok(())
    }

    /// The connection, if another request may be sent on it: the request went
    /// out whole, and nothing came beside its answer.
    pub(crate) fn into_clean(self) -> Option<Conn> {
        let is_clean =
            self.strays == 0 && self.sent == self.request.len() && self.conn.unread().is_empty();
        is_clean.then_some(self.conn)
    }
}
