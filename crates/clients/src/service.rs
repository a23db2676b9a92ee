//! One of the platform's services: where it is, how long it may take, how it is.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::{Client, Options, Repeat, Request, Response};
use kernel::Clock;

use crate::{Admission, Circuit, Error, Reason};

/// The way to one service. Clones share the circuit, so that what one caller
/// finds out spares the others.
#[derive(Clone)]
pub struct Service {
    client: Client,
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    options: Options,
    circuit: Arc<Mutex<Circuit>>,
}

impl Service {
    /// The service at `address`. `options` hold for each call; whether a call
    /// is repeated on a stale connection follows from the call.
    #[must_use]
    pub fn new(
        client: Client,
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        options: Options,
        circuit: Circuit,
    ) -> Self {
        Self {
            client,
            address,
            clock,
            options,
            circuit: Arc::new(Mutex::new(circuit)),
        }
    }

    /// Whether the service has an outage by what callers found.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.with_circuit(|it| it.is_open())
    }

    /// Sends `request`, and hands its answer to `read`, unless the service is
    /// known to be out. Every outcome counts for the circuit.
    pub(crate) async fn call<T>(
        &self,
        request: Request,
        repeat: Repeat,
        read: impl AsyncFnOnce(Response) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let admission = self.with_circuit(|it| it.admit(self.clock.now()));
        if let Admission::Refuse(_) = admission {
            return Err(Error::NotApplied(Reason::Open));
        }
        let mut pending = Pending {
            service: self,
            admission: Some(admission),
        };
        let options = Options {
            repeat,
            ..self.options
        };
        let result = match self.client.send(self.address, request, &options).await {
            Ok(response) => read(response).await,
            Err(err) => Err(Error::exchange(err)),
        };
        pending.admission = None;
        self.with_circuit(|it| match &result {
            Err(err) if err.is_outage() => it.fail(self.clock.now(), admission),
            _ => it.succeed(),
        });
        result
    }

    fn with_circuit<T>(&self, act: impl FnOnce(&mut Circuit) -> T) -> T {
        act(&mut self.circuit.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A call without an outcome so far.
///
/// A caller that gives up drops its call midway, which says nothing about the
/// service. But if a probe ended so, nobody else could probe until it was
/// taken for lost; it therefore counts as failed.
struct Pending<'a> {
    service: &'a Service,
    admission: Option<Admission>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.admission == Some(Admission::Probe) {
            let now = self.service.clock.now();
            self.service
                .with_circuit(|it| it.fail(now, Admission::Probe));
        }
    }
}
