//! The registry through which services find each other by name.

use std::any::Any;
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

use async_std::channel::{Receiver, Sender, TrySendError, bounded};
use futures::channel::oneshot;

/// A service: the name it is found by and the messages it takes.
///
/// The type names the pair, so that a mailbox of the wrong message type can't
/// be asked for by accident.
pub trait Service: 'static {
    /// What the service takes from others.
    type Message: Send + 'static;

    /// The name under which it is registered, unique in a process.
    const NAME: &'static str;

    /// How many messages may wait before a sender is told that it is full.
    const CAPACITY: usize = 1024;
}

/// Names and mailboxes of the services in this process.
#[derive(Clone, Default)]
pub struct Registry {
    mailboxes: Arc<RwLock<HashMap<&'static str, Box<dyn Any + Send + Sync>>>>,
}

impl Registry {
    /// Registers `S` and returns the end from which it takes its messages.
    ///
    /// A second registration replaces the first: the mailboxes found before it are closed
    /// once the first receiver is dropped.
    #[must_use]
    pub fn register<S: Service>(&self) -> Receiver<S::Message> {
        let (sender, receiver) = bounded::<S::Message>(S::CAPACITY);
        self.write().insert(S::NAME, Box::new(Mailbox { sender }));
        receiver
    }

    /// Finds the mailbox of `S`, or nothing when it is not registered.
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
    /// Sends without waiting; gives the message back when the queue is full or closed.
    ///
    /// # Errors
    /// The message itself, so that the sender can refuse the work it stands for.
    pub fn offer(&self, message: M) -> Result<(), M> {
        self.sender.try_send(message).map_err(|err| match err {
            TrySendError::Full(message) | TrySendError::Closed(message) => message,
        })
    }

    /// Sends, waiting for room; gives the message back when the service has ended.
    ///
    /// # Errors
    /// The message itself when nobody takes it any more.
    pub async fn send(&self, message: M) -> Result<(), M> {
        self.sender.send(message).await.map_err(|err| err.0)
    }

    /// Sends a message that carries a way to answer, and waits for the answer.
    /// Nothing comes back when the service has ended or dropped the question.
    pub async fn ask<R>(&self, message: impl FnOnce(oneshot::Sender<R>) -> M) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply)).await.ok()?;
        answer.await.ok()
    }
}
