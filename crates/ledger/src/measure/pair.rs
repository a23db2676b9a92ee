//! A host and its partner, with a table that only counts writes.

use std::collections::VecDeque;
use std::time::Duration;

use kernel::{
    Customer, DataCentre, Incarnation, Money, ProfileName, RequestId, Revision, VersionId,
};

use crate::table::{Transaction, Written};
use crate::{
    Action, Arrival, Charge, End, Event, Fingerprint, Ledger, Message, Peer, PeerState, Reach,
    RetryPolicy, Ticket, Tuning, Via,
};

const HOST: Incarnation = Incarnation(0x5eed_0000_0000_0001);
const PARTNER: Incarnation = Incarnation(0x5eed_0000_0000_0002);
/// Delay of a message and of a write.
const DELAY: Duration = Duration::from_millis(2);

/// Two ledgers on a virtual clock, and counts of their messages and table writes.
pub(super) struct Pair {
    host: Ledger,
    partner: Ledger,
    now: Duration,
    queue: VecDeque<(Duration, Incarnation, Event)>,
    wake: Option<Duration>,
    actions: Vec<Action>,
    request_count: u64,
    pub(super) messages: u64,
    pub(super) message_bytes: u64,
    pub(super) writes: u64,
    pub(super) table_bytes: u64,
    table: Written,
}

impl Pair {
    pub(super) fn new(tuning: Tuning, hosts: usize) -> Self {
        let mut pair = Self {
            host: Ledger::new(HOST, DataCentre::from("dar-1"), tuning.clone()),
            partner: Ledger::new(PARTNER, DataCentre::from("dar-2"), tuning),
            now: Duration::ZERO,
            queue: VecDeque::new(),
            wake: None,
            actions: Vec::new(),
            request_count: 0,
            messages: 0,
            message_bytes: 0,
            writes: 0,
            table_bytes: 0,
            table: Written::Applied,
        };
        pair.handle_event(HOST, Event::Hosts(fleet(hosts)));
        pair.handle_event(PARTNER, Event::Hosts(vec![peer(HOST, "dar-1")]));
        pair
    }

    pub(super) fn records(&self) -> u64 {
        self.request_count
    }

    /// Runs `rate` requests per second for `span`.
    pub(super) fn run(&mut self, rate: f64, span: Duration) {
        let pause = Duration::from_secs(1).div_f64(rate);
        while self.now < span {
            self.run_next();
            self.advance(pause);
        }
    }

    /// Runs `records` requests while the table is unavailable.
    pub(super) fn fill(&mut self, records: usize) {
        self.table = Written::NotApplied;
        for _ in 0..records {
            self.run_next();
            self.advance(DELAY);
        }
    }

    /// Runs `keys` at-most-once calls under tickets of the host.
    pub(super) fn remember(&mut self, keys: usize) {
        for idx in 0..keys {
            let request = self.request();
            let ticket = Ticket {
                home: HOST,
                floor: self.host.floor(),
                expires: self.now + Duration::from_mins(10),
            };
            self.run_call(Arrival {
                key: Some(format!("3f2504e0-4f89-41d3-9a0c-{idx:012}").into()),
                ticket: Some(ticket),
                retry_policy: RetryPolicy::AtMostOnce,
                ..arrival(request)
            });
            self.advance(DELAY);
        }
        self.advance(Duration::from_secs(5));
    }

    pub(super) fn into_ledgers(self) -> (Ledger, Ledger) {
        (self.host, self.partner)
    }

    fn request(&mut self) -> RequestId {
        self.request_count += 1;
        RequestId::from(format!("01JDZ8Q3K5V7{:014}", self.request_count))
    }

    fn run_next(&mut self) {
        let request = self.request();
        self.run_call(arrival(request));
    }

    fn run_call(&mut self, arrival: Arrival) {
        let request = arrival.request.clone();
        self.handle_event(HOST, Event::Arrive(arrival));
        let sending = Event::AttemptSending {
            request: request.clone(),
        };
        self.handle_event(HOST, sending);
        let end = End::Answered {
            outcome: None,
            charge: charge(),
        };
        self.handle_event(HOST, Event::Finished { request, end });
    }

    /// Advances the time by `span`, and delivers the events that become due.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let next = self.queue.front().map(|(at, ..)| *at);
            let at = next.into_iter().chain(self.wake).min();
            let Some(at) = at.filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if next == Some(at) {
                if let Some((_, to, event)) = self.queue.pop_front() {
                    self.handle_event(to, event);
                }
            } else {
                self.wake = None;
                self.handle_event(HOST, Event::Tick);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, to: Incarnation, event: Event) {
        let ledger = if to == HOST {
            &mut self.host
        } else {
            &mut self.partner
        };
        let mut actions = std::mem::take(&mut self.actions);
        ledger.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(to, action);
        }
        self.actions = actions;
    }

    fn perform(&mut self, from: Incarnation, action: Action) {
        match action {
            Action::Send { to, message } => self.send(from, to, message),
            Action::Transact { op, transaction } => {
                self.count_write(&transaction);
                let result = self.table.clone();
                self.schedule(from, Event::Transacted { op, result });
            }
            Action::Wake { at } if from == HOST => self.wake = Some(at),
            _ => {}
        }
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, message: Message) {
        let bytes = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
        self.messages += 1;
        self.message_bytes += bytes as u64;
        if to == HOST || to == PARTNER {
            self.schedule(to, Event::Received { from, message });
        }
    }

    fn count_write(&mut self, transaction: &Transaction) {
        self.writes += 1;
        let bytes: usize = transaction
            .puts
            .iter()
            .map(|put| put.key.len() + put.value.len())
            .sum();
        self.table_bytes += bytes as u64;
    }

    fn schedule(&mut self, to: Incarnation, event: Event) {
        self.queue.push_back((self.now + DELAY, to, event));
    }
}

/// The partner, and further hosts that only count towards the fleet's size. These are shutting
/// down, so no copies are sent to them.
fn fleet(hosts: usize) -> Vec<Peer> {
    let mut peers = vec![peer(PARTNER, "dar-2")];
    for idx in 2..hosts as u64 {
        peers.push(Peer {
            state: PeerState::Leaving,
            ..peer(Incarnation(HOST.0 + idx), "dar-3")
        });
    }
    peers
}

fn peer(incarnation: Incarnation, data_centre: &str) -> Peer {
    Peer {
        incarnation,
        data_centre: DataCentre::from(data_centre),
        reach: Reach::Near,
        state: PeerState::Live,
    }
}

/// A call without a key, so that no key has to be remembered.
fn arrival(request: RequestId) -> Arrival {
    Arrival {
        request,
        customer: Customer::from("kivuli-restoration"),
        key: None,
        ticket: None,
        fingerprint: Fingerprint(0),
        retry_policy: RetryPolicy::Idempotent,
        via: Via::Caller,
    }
}

fn charge() -> Charge {
    Charge {
        profile: Some(ProfileName::from("treatment-plan")),
        versions: vec![VersionId::from("small@7"), VersionId::from("large@12")],
        prompt_tokens: 2_400,
        completion_tokens: 380,
        money: Money(1_834_000),
        revision: Revision(20_412),
    }
}
