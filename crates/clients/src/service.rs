//! Connection to one of the platform's services.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::{Client, Options, Request, Response, RetryPolicy};
use kernel::Clock;

use crate::{Admission, Circuit, Error, Reason};

/// Sends calls to one service. Clones share the circuit breaker, so an outage
/// is detected once for all callers.
#[derive(Clone)]
pub struct Service {
    client: Client,
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    options: Options,
    circuit: Arc<Mutex<Circuit>>,
}

impl Service {
    /// Creates a client of the service at `address`. `options` apply to every
    /// call, except for `retry_policy`, which each call sets.
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

    /// Returns whether the circuit breaker is open or waits for the outcome of a
    /// probe.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.with_circuit(|it| it.is_open())
    }

    /// Sends `request` and passes the response to `read`. Fails without sending
    /// if the circuit breaker refuses the call. Records the outcome in the
    /// circuit breaker.
    pub(crate) async fn call<T>(
        &self,
        request: Request,
        retry_policy: RetryPolicy,
        read: impl AsyncFnOnce(Response) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let admission = self.with_circuit(|it| it.admit(self.clock.now()));
        if let Admission::Refuse(_) = admission {
            return Err(Error::NotApplied(Reason::Open));
        }
        let mut guard = ProbeGuard {
            service: self,
            admission: Some(admission),
        };
        let options = Options {
            retry_policy,
            ..self.options
        };
        let result = match self.client.send(self.address, request, &options).await {
            Ok(response) => read(response).await,
            Err(err) => Err(Error::from_http(err)),
        };
        guard.admission = None;
        self.with_circuit(|it| match &result {
            Err(err) if err.is_outage() => it.fail(self.clock.now(), admission),
            _ => it.succeed(),
        });
        result
    }

    fn with_circuit<T>(&self, f: impl FnOnce(&mut Circuit) -> T) -> T {
        f(&mut self.circuit.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Guard of a call in flight; records a probe as failed if its caller drops it.
///
/// Otherwise no other caller could probe until the dropped probe counts as lost.
/// Dropping an ordinary call says nothing about the service and isn't recorded.
struct ProbeGuard<'a> {
    service: &'a Service,
    /// `None` once the outcome is known.
    admission: Option<Admission>,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        if self.admission == Some(Admission::Probe) {
            let now = self.service.clock.now();
            self.service
                .with_circuit(|it| it.fail(now, Admission::Probe));
        }
    }
}
