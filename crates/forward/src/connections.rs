//! Controls how many connections to endpoints are open.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use futures::channel::oneshot;
use kernel::Clock;
use route::connections::{Connections, Released, Ticket, Use};
use route::endpoint::Key;

use crate::conn::Conn;

/// Controls how many connections to endpoints are open, and passes free ones to the requests that
/// wait. [`Connections`] makes the decisions.
pub(crate) struct ConnectionControl {
    clock: Arc<dyn Clock>,
    connections: RefCell<Connections>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Grant>>>,
}

/// What a request gets that needs a connection.
pub(crate) enum Grant {
    /// It may open one.
    Open(Lease),
    /// An open connection, whose earlier attempt has just ended.
    Reuse(Conn),
}

/// A counted connection. It is counted until the lease is dropped, also if its opening fails or is
/// cancelled.
pub(crate) struct Lease {
    control: Rc<ConnectionControl>,
    endpoint: Key,
    usage: Cell<Use>,
}

impl ConnectionControl {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            connections: RefCell::default(),
            waiters: RefCell::default(),
        })
    }

    /// Sets this host's share of the connections to an endpoint; `None` doesn't limit them.
    pub(crate) fn set_share(&self, endpoint: Key, share: Option<u32>) {
        self.connections.borrow_mut().set_share(endpoint, share);
    }

    /// Returns this host's share of the connections to an endpoint, if it is enforced.
    pub(crate) fn share(&self, endpoint: Key) -> Option<u32> {
        self.connections.borrow().share(endpoint)
    }

    /// Returns whether no further connection may be opened.
    pub(crate) fn is_full(&self, endpoint: Key) -> bool {
        let now = self.clock.now();
        self.connections.borrow().is_full(now, endpoint)
    }

    /// Counts a connection that is opened whether or not there is room.
    pub(crate) fn lease(self: &Rc<Self>, endpoint: Key) -> Lease {
        self.connections.borrow_mut().open_uncontrolled(endpoint);
        Lease::active(self, endpoint)
    }

    /// Adds a request to the queue for a connection. The smallest urgency is served first.
    pub(crate) fn join(
        self: &Rc<Self>,
        endpoint: Key,
        urgency: (u8, Duration),
        limit: Duration,
    ) -> Waiter {
        let until = self.clock.now() + limit;
        let mut connections = self.connections.borrow_mut();
        let ticket = connections.join(endpoint, urgency, until);
        drop(connections);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        self.grant(endpoint);
        Waiter {
            control: Rc::clone(self),
            endpoint,
            ticket,
            receiver,
            limit,
        }
    }

    /// Lets waiting requests open connections while there is room.
    fn grant(self: &Rc<Self>, endpoint: Key) {
        loop {
            let now = self.clock.now();
            let ticket = self.connections.borrow_mut().grant(now, endpoint);
            let Some(ticket) = ticket else {
                return;
            };
            self.send(ticket, Grant::Open(Lease::active(self, endpoint)));
        }
    }

    /// Sends a waiting request its grant. If it no longer waits, the grant is dropped, and its
    /// lease lets the next one open a connection.
    fn send(&self, ticket: Ticket, grant: Grant) {
        let sender = self.waiters.borrow_mut().remove(&ticket);
        if let Some(sender) = sender {
            drop(sender.send(grant));
        }
    }
}

/// A request in the queue for a connection, until dropped.
pub(crate) struct Waiter {
    control: Rc<ConnectionControl>,
    endpoint: Key,
    ticket: Ticket,
    receiver: oneshot::Receiver<Grant>,
    limit: Duration,
}

impl Waiter {
    /// Returns the grant if there is one without waiting.
    pub(crate) fn try_take(&mut self) -> Option<Grant> {
        self.receiver.try_recv().ok().flatten()
    }

    /// Waits for a grant until the time limit.
    pub(crate) async fn wait(mut self) -> Option<Grant> {
        let waited = timeout(self.limit, &mut self.receiver).await;
        waited.ok()?.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut connections = self.control.connections.borrow_mut();
        connections.leave(self.endpoint, self.ticket);
        drop(connections);
        self.control.waiters.borrow_mut().remove(&self.ticket);
    }
}

impl Lease {
    fn active(control: &Rc<ConnectionControl>, endpoint: Key) -> Self {
        Self {
            control: Rc::clone(control),
            endpoint,
            usage: Cell::new(Use::Active),
        }
    }

    /// Records that the endpoint reset the connection.
    pub(crate) fn reset(&self) {
        let control = &self.control;
        let now = control.clock.now();
        control.connections.borrow_mut().reset(now, self.endpoint);
    }

    /// Records that an attempt uses the idle connection.
    pub(crate) fn reuse(&self) {
        if self.usage.replace(Use::Active) == Use::Idle {
            self.control.connections.borrow_mut().reuse(self.endpoint);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut connections = self.control.connections.borrow_mut();
        connections.close(self.endpoint, self.usage.get());
        drop(connections);
        self.control.grant(self.endpoint);
    }
}

/// Releases the connection of an attempt that has ended. Returns it if it is to be kept; otherwise
/// it is closed or has gone to a request that waits.
pub(crate) fn release(conn: Conn) -> Option<Conn> {
    let Some(lease) = conn.lease() else {
        return Some(conn);
    };
    let control = Rc::clone(&lease.control);
    let now = control.clock.now();
    let released = control
        .connections
        .borrow_mut()
        .release(now, lease.endpoint);
    match released {
        Released::Keep => {
            lease.usage.set(Use::Idle);
            Some(conn)
        }
        Released::HandOver(ticket) => {
            control.send(ticket, Grant::Reuse(conn));
            None
        }
        Released::Close => None,
    }
}
