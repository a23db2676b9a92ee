//! Counts lost requests under connection churn: with servers that close idle connections early,
//! and with servers that are drained and replaced under load. Also measures the cost of a new
//! connection for each request.
//!
//! `cargo bench -p http --bench churn -- [idle|drain|cost] [requests]` prints the number of
//! requests by outcome, and for `cost` the rate and latency of requests. Several runs may be named;
//! all run if none is. Requests that ended with `MaybeSent` or `Cut` are lost; one that ended
//! with `NotSent` can be sent to another server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use async_std::task::{self, sleep};
use http::{
    Body, Client, Limits, Method, Options, PoolLimits, Request, Response, RetryPolicy, Server,
    Status,
};
use kernel::SystemClock;

const CALLERS: usize = 64;
const REQUESTS: usize = 20_000;
/// Maximum duration of a run.
const MAX_RUN: Duration = Duration::from_secs(25);
/// Idle timeout of the servers in the idle run.
const IDLE_TIMEOUT: Duration = Duration::from_millis(20);
/// Lifetime of a server in the drain run, and the grace of its drain.
const SERVER_LIFETIME: Duration = Duration::from_millis(300);
const DRAIN_GRACE: Duration = Duration::from_millis(100);
const SERVERS: usize = 3;

fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|it| it != "--bench")
        .collect();
    let requests = args.iter().find_map(|it| it.parse().ok());
    let requests = requests.unwrap_or(REQUESTS);
    let named = ["idle", "drain", "cost"].map(|name| args.iter().any(|it| it == name));
    let [with_idle, with_drain, with_cost] = match named {
        [false, false, false] => [true; 3],
        named => named,
    };
    if with_cost {
        let fresh = PoolLimits {
            max_idle_time_at_most_once: Duration::ZERO,
            ..PoolLimits::default()
        };
        task::block_on(cost("kept", requests, PoolLimits::default()));
        task::block_on(cost("fresh", requests, fresh));
    }
    for retry_policy in [RetryPolicy::Idempotent, RetryPolicy::Never] {
        if with_idle {
            task::block_on(idle(requests, retry_policy));
        }
        if with_drain {
            task::block_on(drain(requests, retry_policy));
        }
    }
}

/// Runs callers whose pause is about as long as the idle timeout of the servers.
async fn idle(requests: usize, retry_policy: RetryPolicy) {
    let limits = Limits {
        idle_timeout: IDLE_TIMEOUT,
        ..Limits::default()
    };
    let cluster = Arc::new(Cluster::default());
    let _servers = cluster.start(&limits).await;
    let pool = PoolLimits {
        max_idle_time_at_most_once: IDLE_TIMEOUT / 2,
        ..PoolLimits::default()
    };
    let load = Load::new(cluster, requests, retry_policy, pool, IDLE_TIMEOUT);
    load.run("idle").await;
}

/// Measures sequential requests, with new or kept connections depending on `pool`.
async fn cost(name: &str, requests: usize, pool: PoolLimits) {
    let server = start_server(&Limits::default()).await;
    let client = Client::new(Arc::new(SystemClock::new()), pool);
    let mut durations = Vec::with_capacity(requests);
    let begin = Instant::now();
    while durations.len() < requests && begin.elapsed() < MAX_RUN {
        let sent = Instant::now();
        let request = Request::new(Method::Post, "/plain").body(Body::bytes("question"));
        let options = Options::default();
        let response = client.send(server.address(), request, &options).await;
        let body = response.expect("the server responds").body;
        body.collect(64).await.expect("the server responds");
        durations.push(sent.elapsed().as_micros());
    }
    let rate = durations.len() * 1000 / usize::try_from(begin.elapsed().as_millis()).unwrap_or(1);
    durations.sort_unstable();
    let at = |share: usize| durations[durations.len() * share / 100];
    println!(
        "{name}: {rate} requests/s, p50 {} us, p99 {} us",
        at(50),
        at(99)
    );
}

/// Runs callers against servers that are repeatedly drained and replaced.
async fn drain(requests: usize, retry_policy: RetryPolicy) {
    let cluster = Arc::new(Cluster::default());
    let limits = Limits::default();
    let servers = cluster.start(&limits).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let replacers: Vec<_> = servers
        .into_iter()
        .enumerate()
        .map(|(idx, server)| {
            let (cluster, is_over) = (Arc::clone(&cluster), Arc::clone(&is_over));
            task::spawn(replace(cluster, idx, server, is_over))
        })
        .collect();
    let pause = Duration::from_millis(10);
    let load = Load::new(
        cluster,
        requests,
        retry_policy,
        PoolLimits::default(),
        pause,
    );
    load.run("drain").await;
    is_over.store(true, Ordering::Relaxed);
    let mut left = 0;
    for replacer in replacers {
        left += replacer.await;
    }
    println!("      requests left by drains: {left}");
}

async fn replace(
    cluster: Arc<Cluster>,
    idx: usize,
    mut server: Server,
    is_over: Arc<AtomicBool>,
) -> usize {
    let mut left = 0;
    while !is_over.load(Ordering::Relaxed) {
        sleep(SERVER_LIFETIME).await;
        let next = start_server(&Limits::default()).await;
        cluster.addresses.write().expect("the lock is not poisoned")[idx] = next.address();
        left += server
            .drain(DRAIN_GRACE, Duration::from_secs(10))
            .await
            .in_flight;
        server = next;
    }
    left
}

/// The current addresses of the servers.
#[derive(Default)]
struct Cluster {
    addresses: RwLock<Vec<SocketAddr>>,
}

impl Cluster {
    async fn start(&self, limits: &Limits) -> Vec<Server> {
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            let server = start_server(limits).await;
            let mut addresses = self.addresses.write().expect("the lock is not poisoned");
            addresses.push(server.address());
            servers.push(server);
        }
        servers
    }

    fn address(&self, idx: usize) -> SocketAddr {
        let addresses = self.addresses.read().expect("the lock is not poisoned");
        addresses[idx % addresses.len()]
    }
}

/// Starts a server. One request in eight, except for `/plain`, gets a stream that is longer than
/// the grace of a drain.
async fn start_server(limits: &Limits) -> Server {
    let opened = Arc::new(AtomicUsize::new(0));
    let address = ([127, 0, 0, 1], 0).into();
    let server = Server::bind(address, *limits, move |request: Request| {
        let number = opened.fetch_add(1, Ordering::Relaxed);
        async move {
            let is_plain = request.target == "/plain";
            if request.body.collect(1 << 20).await.is_err() {
                return Response::new(Status::BadRequest);
            }
            match number % 8 {
                0 if !is_plain => stream_tokens(),
                _ => Response::text(Status::Ok, "answer"),
            }
        }
    });
    server.await.expect("loopback has a free port")
}

fn stream_tokens() -> Response {
    let (sender, response) = Response::events(4);
    task::spawn(async move {
        for _ in 0..15 {
            sleep(Duration::from_millis(10)).await;
            if sender.send("data: token\n\n").await.is_err() {
                return;
            }
        }
        let _ = sender.finish().await;
    });
    response
}

/// The load of a run, and the outcomes of its requests.
struct Load {
    cluster: Arc<Cluster>,
    requests: usize,
    retry_policy: RetryPolicy,
    pool: PoolLimits,
    pause: Duration,
    sent: AtomicUsize,
    outcomes: Mutex<BTreeMap<String, usize>>,
}

impl Load {
    fn new(
        cluster: Arc<Cluster>,
        requests: usize,
        retry_policy: RetryPolicy,
        pool: PoolLimits,
        pause: Duration,
    ) -> Self {
        Self {
            cluster,
            requests,
            retry_policy,
            pool,
            pause,
            sent: AtomicUsize::new(0),
            outcomes: Mutex::default(),
        }
    }

    async fn run(self, name: &str) {
        let this = Arc::new(self);
        let begin = Instant::now();
        let callers: Vec<_> = (0..CALLERS)
            .map(|idx| task::spawn(Arc::clone(&this).call(idx, begin)))
            .collect();
        for caller in callers {
            caller.await;
        }
        let outcomes = this.outcomes.lock().expect("the lock is not poisoned");
        let seconds = begin.elapsed().as_secs_f64();
        println!(
            "{name} {:?} in {seconds:.1} s: {outcomes:?}",
            this.retry_policy
        );
    }

    async fn call(self: Arc<Self>, caller: usize, begin: Instant) {
        let options = Options {
            retry_policy: self.retry_policy,
            ..Options::default()
        };
        // With a shared client, the last used connection would always be recent.
        let client = Client::new(Arc::new(SystemClock::new()), self.pool);
        let mut to = self.cluster.address(caller);
        loop {
            let number = self.sent.fetch_add(1, Ordering::Relaxed);
            if number >= self.requests || begin.elapsed() > MAX_RUN {
                return;
            }
            // A pause of 90 to 110 percent, so that requests come before and after the idle close.
            let share = u32::try_from((number * 37 + caller * 11) % 100).unwrap_or_default();
            sleep(self.pause * (share + 450) / 500).await;
            let request = Request::new(Method::Post, "/").body(Body::bytes("question"));
            let outcome = match client.send(to, request, &options).await {
                Ok(response) => match response.body.collect(1 << 20).await {
                    Ok(_) => "whole".to_owned(),
                    Err(err) => format!("{err:?} in the body"),
                },
                Err(err) => {
                    // The caller looks up the addresses again only after `send` has failed.
                    to = self.cluster.address(caller);
                    format!("{err:?}")
                }
            };
            let mut outcomes = self.outcomes.lock().expect("the lock is not poisoned");
            *outcomes.entry(outcome).or_default() += 1;
        }
    }
}
