//! One router whose endpoints report a given load.

use std::time::Duration;

use route::directory::Absence;
use route::endpoint::Load;
use route::{Call, Ending, Failure, LoadPolicy, Router};

use super::site::{self, CUSTOMERS, PLAIN, SLOTS, TIMEOUT};

/// A router whose endpoints report a given load.
pub(crate) struct Host {
    now: Duration,
    router: Router,
    endpoints: usize,
}

impl Host {
    pub(crate) fn new(endpoints: usize) -> Self {
        let mut host = Self {
            now: Duration::from_secs(100),
            router: site::router(LoadPolicy::Contended, 1, 1),
            endpoints,
        };
        host.list(endpoints);
        host
    }

    pub(crate) fn list(&mut self, endpoints: usize) {
        self.endpoints = endpoints;
        let entries = (0..endpoints).map(site::entry).collect();
        self.router.update_listing(self.now, entries, Absence::Gone);
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Lets the host learn a usual load of a request a second, of which `c1` sends few.
    pub(crate) fn learn(&mut self) {
        for nr in 0..100 {
            self.advance(Duration::from_secs(1));
            let customer = if nr % 20 == 0 { "c1" } else { "c0" };
            let mut call = self.admit(customer, PLAIN, 1_000_000 + nr);
            assert_eq!(self.check_call(&mut call), Ok(()));
            self.answer(&mut call, 0);
        }
    }

    /// Lets the host learn a usual load of a request in two seconds, equally of all customers.
    pub(crate) fn learn_little(&mut self) {
        for nr in 0..150 {
            self.advance(Duration::from_secs(2));
            let mut call = self.admit(CUSTOMERS[nr % CUSTOMERS.len()], PLAIN, 1_000_000 + nr);
            assert_eq!(self.check_call(&mut call), Ok(()));
            self.answer(&mut call, 0);
        }
    }

    /// Lets every endpoint report full slots and this many waiting requests.
    pub(crate) fn report_waiting(&mut self, waiting: u32) {
        self.report_waiting_at(self.endpoints, waiting);
    }

    /// Lets some endpoints report full slots and this many waiting requests.
    pub(crate) fn report_waiting_at(&mut self, endpoints: usize, waiting: u32) {
        let mut calls: Vec<_> = (0..endpoints)
            .map(|it| self.admit("c0", PLAIN, 2_000_000 + it))
            .collect();
        for call in &mut calls {
            // An endpoint that reported is used less, so all are used in turn.
            self.answer(call, waiting);
        }
    }

    pub(crate) fn admit(&mut self, customer: &str, path: &str, nr: usize) -> Call {
        let body = nr.to_string();
        let incoming = site::request(customer, path, &body, TIMEOUT);
        self.router.admit(self.now, incoming).unwrap()
    }

    pub(crate) fn check_call(&mut self, call: &mut Call) -> Result<(), Failure> {
        self.router.check_capacity(self.now, call)
    }

    pub(crate) fn check(&mut self, customer: &str, path: &str, nr: usize) -> Result<(), Failure> {
        let mut call = self.admit(customer, path, nr);
        self.check_call(&mut call)
    }

    /// Returns the reason for which a request is refused, if it is.
    pub(crate) fn reason(&mut self, customer: &str, path: &str, nr: usize) -> Option<&'static str> {
        use route::Shortage::{EarlyRetry, NoCapacity, OverShare};
        let failure = self.check(customer, path, nr).err()?;
        let Failure::Overloaded { shortage, .. } = failure else {
            panic!("{failure:?}");
        };
        Some(match shortage {
            NoCapacity { .. } => "no_capacity",
            OverShare { .. } => "over_share",
            EarlyRetry => "early_retry",
        })
    }

    /// Sends a request, which ends without a report of the endpoint's load.
    pub(crate) fn attempt(&mut self, call: &mut Call, ending: Ending) {
        let placement = self.router.place(self.now, call).unwrap();
        let in_flight = self.router.begin_attempt(self.now, call, &placement);
        self.router.end_attempt(self.now, call, in_flight, ending);
    }

    /// Sends a request, which is answered after 100 ms with the report of full slots if requests
    /// are waiting.
    fn answer(&mut self, call: &mut Call, waiting: u32) {
        let placement = self.router.place(self.now, call).unwrap();
        let mut in_flight = self.router.begin_attempt(self.now, call, &placement);
        self.advance(Duration::from_millis(100));
        let load = Load {
            running: if waiting > 0 { SLOTS } else { 1 },
            waiting,
            slots: SLOTS,
            pace: None,
        };
        self.router.record_load(self.now, &mut in_flight, load);
        self.router.response_started(self.now, call, &mut in_flight);
        self.router
            .end_attempt(self.now, call, in_flight, Ending::Answered);
    }
}
