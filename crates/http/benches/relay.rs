//! Measures the latency that a relay adds: callers read streams of tokens directly from a server,
//! and through a second server that forwards them with the client.
//!
//! `cargo bench -p http --bench relay -- [requests per second] [tokens per request]` runs all
//! parts in one process and prints the delay between writing and reading a token, and the processor
//! use. To run the parts in separate processes: `-- engine TOKENS`, `-- relay ENGINE`,
//! `-- caller ADDRESS REQUESTS`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::task::{self, sleep};
use hdrhistogram::Histogram;
use http::{Client, Limits, Options, PoolLimits, Request, Response, Sender, Server, Status};
use kernel::SystemClock;

const RUN_DURATION: Duration = Duration::from_secs(5);
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Size of a token in bytes: the time of writing in 16 hexadecimal digits, and padding.
const TOKEN_SIZE: usize = 120;

fn main() {
    let args: Vec<String> = std::env::args()
        .skip(1)
        .filter(|it| it != "--bench")
        .collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    task::block_on(async {
        match args.as_slice() {
            ["engine", tokens] => print_address_and_cpu_use(engine(number(tokens)).await).await,
            ["relay", engine] => print_address_and_cpu_use(relay(address(engine)).await).await,
            ["caller", to, requests] => report("caller", address(to), number(requests)).await,
            [requests, tokens] => run_all(number(requests), number(tokens)).await,
            _ => run_all(1000, 100).await,
        }
    });
}

fn number(text: &str) -> u32 {
    text.parse().expect("the argument is a number")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("the argument is an address")
}

/// Prints the address, then the processor use of each second until the process is killed.
async fn print_address_and_cpu_use(address: SocketAddr) {
    println!("{address}");
    let mut before = cpu_time();
    loop {
        sleep(Duration::from_secs(1)).await;
        let now = cpu_time();
        eprintln!("{address} {:.2} cores", now - before);
        before = now;
    }
}

async fn run_all(requests: u32, tokens: u32) {
    let engine = engine(tokens).await;
    let relay = relay(engine).await;
    println!(
        "{requests} requests/s of {tokens} tokens, {} s each",
        RUN_DURATION.as_secs()
    );
    report("direct", engine, requests).await;
    report("relayed", relay, requests).await;
}

async fn engine(tokens: u32) -> SocketAddr {
    serve(move |_| std::future::ready(stream_tokens(tokens))).await
}

async fn relay(engine: SocketAddr) -> SocketAddr {
    let client = client();
    serve(move |request| forward(client.clone(), engine, request)).await
}

async fn report(name: &str, to: SocketAddr, requests: u32) {
    let before = cpu_time();
    let delays = generate_load(to, requests).await;
    let cpu = (cpu_time() - before) / RUN_DURATION.as_secs_f64();
    println!("{name:8} {}; {cpu:.2} cores", describe(&delays));
}

fn describe(delays: &Histogram<u64>) -> String {
    let quantile = |it| delays.value_at_quantile(it);
    format!(
        "{} tokens; delay in µs: p50 {}, p95 {}, p99 {}, max {}",
        delays.len(),
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
        delays.max()
    )
}

fn client() -> Client {
    let pool = PoolLimits {
        max_idle: 10_000,
        ..PoolLimits::default()
    };
    Client::new(Arc::new(SystemClock::new()), pool)
}

async fn serve<H, F>(handler: H) -> SocketAddr
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let address = ([127, 0, 0, 1], 0).into();
    let server = Server::bind(address, Limits::default(), handler).await;
    server.expect("loopback has a free port").address()
}

fn stream_tokens(tokens: u32) -> Response {
    let (sender, response) = Response::events(16);
    task::spawn(async move {
        for _ in 0..tokens {
            sleep(TOKEN_INTERVAL).await;
            let now = wall_clock_micros();
            let token = format!("{now:016x}{:1$}", "", TOKEN_SIZE - 16);
            if sender.send(token).await.is_err() {
                return;
            }
        }
        let _ = sender.finish().await;
    });
    response
}

async fn forward(client: Client, engine: SocketAddr, request: Request) -> Response {
    let upstream = client.send(engine, request, &Options::default()).await;
    let upstream = match upstream {
        Ok(upstream) => upstream,
        Err(err) => {
            eprintln!("relay: {err}");
            return Response::new(Status::BadGateway);
        }
    };
    let (sender, response) = Response::events(16);
    task::spawn(copy(upstream, sender));
    response
}

async fn copy(mut response: Response, sender: Sender) {
    while let Ok(Some(piece)) = response.body.piece().await {
        if sender.send(piece).await.is_err() {
            return;
        }
    }
    let _ = sender.finish().await;
}

async fn generate_load(address: SocketAddr, requests: u32) -> Histogram<u64> {
    let longest = micros(Duration::from_mins(1));
    let delays =
        Histogram::new_with_bounds(1, longest, 3).expect("the bounds of the histogram are valid");
    let delays = Arc::new(Mutex::new(delays));
    let client = client();
    let mut callers = Vec::new();
    let begin = Instant::now();
    let total = requests * u32::try_from(RUN_DURATION.as_secs()).unwrap_or(u32::MAX);
    for idx in 0..total {
        let due = Duration::from_secs(1) * idx / requests;
        sleep(due.saturating_sub(begin.elapsed())).await;
        callers.push(task::spawn(call(
            client.clone(),
            address,
            Arc::clone(&delays),
        )));
    }
    for caller in callers {
        caller.await;
    }
    let delays = delays.lock().expect("the lock is not poisoned");
    delays.clone()
}

async fn call(client: Client, address: SocketAddr, delays: Arc<Mutex<Histogram<u64>>>) {
    let response = client
        .send(address, Request::get("/"), &Options::default())
        .await;
    let mut response = match response {
        Ok(response) => response,
        Err(err) => return eprintln!("caller: request failed: {err}"),
    };
    let mut pending = Vec::new();
    loop {
        let piece = match response.body.piece().await {
            Ok(Some(piece)) => piece,
            Ok(None) => return,
            Err(err) => return eprintln!("caller: body failed: {err}"),
        };
        pending.extend_from_slice(&piece);
        let whole = pending.len() / TOKEN_SIZE * TOKEN_SIZE;
        for token in pending.drain(..whole).as_slice().chunks(TOKEN_SIZE) {
            let written = str::from_utf8(&token[..16])
                .ok()
                .and_then(|it| u64::from_str_radix(it, 16).ok());
            let delay = wall_clock_micros().saturating_sub(written.unwrap_or(0));
            delays
                .lock()
                .expect("the lock is not poisoned")
                .saturating_record(delay);
        }
    }
}

/// Returns the wall-clock time in microseconds, comparable between processes on one host.
fn wall_clock_micros() -> u64 {
    micros(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    )
}

/// Returns the processor time used by this process, in seconds, with a resolution of 10 ms.
fn cpu_time() -> f64 {
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks = fields.split(' ').skip(11).take(2);
    ticks.filter_map(|it| it.parse::<f64>().ok()).sum::<f64>() / TICKS
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
