//! The registry through which services find each other by name.

use std::any::Any;
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use async_std::channel::{Receiver, Sender, TrySendError, bounded};
use futures::channel::oneshot;

/// A service: its registered name and the type of its messages.
///
/// Lookups are by [`Self::NAME`], and return nothing if the mailbox of that name has another
/// message type.
pub trait Service: 'static {
    /// The type of the messages that the service receives.
    type Message: Send + 'static;

    /// The name in the registry, unique in a process.
    const NAME: &'static str;

    /// The capacity of the service's message queue.
    const CAPACITY: usize = 1024;
}

/// The mailboxes of the services in this process, by name.
#[derive(Clone, Default)]
pub struct Registry {
    mailboxes: Arc<RwLock<HashMap<&'static str, Box<dyn Any + Send + Sync>>>>,
}

impl Registry {
    /// Registers `S` and returns the receiving end of its queue.
    ///
    /// A second registration replaces the first one. Mailboxes found before it are closed when
    /// the first receiver is dropped.
    #[must_use]
    pub fn register<S: Service>(&self) -> Receiver<S::Message> {
        let (sender, receiver) = bounded::<S::Message>(S::CAPACITY);
        self.write().insert(S::NAME, Box::new(Mailbox { sender }));
        receiver
    }

    /// Returns the mailbox of `S`, or `None` if it isn't registered or if the mailbox of that
    /// name has another message type.
    #[must_use]
    pub fn find<S: Service>(&self) -> Option<Mailbox<S::Message>> {
        let mailboxes = self
            .mailboxes
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        mailboxes
            .get(S::NAME)?
            .downcast_ref::<Mailbox<S::Message>>()
            .cloned()
    }

    fn write(
        &self,
    ) -> std::sync::RwLockWriteGuard<'_, HashMap<&'static str, Box<dyn Any + Send + Sync>>> {
        self.mailboxes
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The sending end of a service's queue.
pub struct Mailbox<M> {
    sender: Sender<M>,
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<M: Send + 'static> Mailbox<M> {
    /// Sends a message without waiting.
    ///
    /// # Errors
    /// Returns the message if the queue is full or closed.
    pub fn offer(&self, message: M) -> Result<(), M> {
        self.sender.try_send(message).map_err(|err| match err {
            TrySendError::Full(message) | TrySendError::Closed(message) => message,
        })
    }

    /// Sends a message, and waits while the queue is full.
    ///
    /// # Errors
    /// Returns the message if the service has ended.
    pub async fn send(&self, message: M) -> Result<(), M> {
        self.sender.send(message).await.map_err(|err| err.0)
    }

    /// Sends a message with a reply channel and waits for the reply. Returns `None` if the
    /// service has ended or dropped the message.
    pub async fn ask<R>(&self, message: impl FnOnce(oneshot::Sender<R>) -> M) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply)).await.ok()?;
        answer.await.ok()
    }
}
