//! Commands for unauthenticated peers, malformed requests, concurrent changes, metrics and the
//! platform's host list.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt, future};
use kernel::HostName;
use link::keys::Authority;
use link::{Link, Peer, Settings};
use serde_json::{Value, json};

use super::{ScriptRunner, read_json};
use crate::command::{Arguments, parse_line};
use crate::wait::wait_until;

/// Reading of a response stops once it has at least this many bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

impl ScriptRunner {
    /// Sends a frame to a host over a link whose certificate was issued by an authority that the
    /// host doesn't trust.
    pub(super) async fn stranger(&self, args: &Arguments<'_>) -> String {
        let host = args.required("host");
        let authority = Authority::generate("elsewhere").expect("a CA can be made");
        let keys = authority.issue(&HostName::from("stranger"));
        let keys = keys.expect("a certificate can be made");
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let (link, _inbox) = Link::bind(&Settings::new(local, keys)).expect("ports are free");
        let peer = Peer {
            host: HostName::from(host),
            address: self.env().host(host).fleet_address(),
        };
        let asked = link
            .request(&peer, &wire::Frame::Done, args.timeout())
            .await;
        link.close().await;
        match asked {
            Ok(_) => "answered",
            Err(_) => "not answered",
        }
        .to_owned()
    }

    /// Sends an operator's request with an arbitrary bearer key, or without one.
    pub(super) async fn operate(&self, args: &Arguments<'_>) -> String {
        let to = self.env().host(args.required("host")).operators_address();
        let target = format!("/operator/v1/{}", args.path().unwrap_or_default());
        let method = match args.optional("method").unwrap_or("GET") {
            "PUT" => http::Method::Put,
            "POST" => http::Method::Post,
            "DELETE" => http::Method::Delete,
            _ => http::Method::Get,
        };
        let mut request = http::Request::new(method, target)
            .json(&json!({}))
            .header("if-match", "0")
            .header("barleypin-change", "stranger");
        if let Some(key) = args.optional("bearer") {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let response = self.env().client.send(to, request, args.timeout()).await;
        let Ok(response) = response else {
            return "no answer".to_owned();
        };
        let problem = response.json();
        let field = |name: &str| problem[name].as_str().unwrap_or("-").to_owned();
        let status = u16::from(response.status);
        format!("{status} {} {}", field("reason"), field("run"))
    }

    /// Sends the input as raw bytes to the callers' address and reads until the host closes the
    /// connection or `MAX_RESPONSE_BYTES` have arrived. `body=N` appends N bytes `x`; `unfinished`
    /// leaves out the last line end and the empty line after the headers.
    pub(super) async fn raw(&self, args: &Arguments<'_>, input: &str) -> String {
        let to = self.env().host(args.required("host")).callers_address();
        let mut bytes = input.trim_end().replace('\n', "\r\n").into_bytes();
        if !args.has("unfinished") {
            bytes.extend_from_slice(b"\r\n\r\n");
        }
        bytes.extend(std::iter::repeat_n(b'x', args.parsed("body", 0)));
        match timeout(args.timeout(), exchange(to, &bytes)).await {
            Ok(Ok(response)) => status_and_reason(&response),
            Ok(Err(_)) => "closed".to_owned(),
            Err(_) => "still open".to_owned(),
        }
    }

    /// Waits until a metric, summed over its labels, is at least `at_least=`.
    pub(super) async fn metric(&self, args: &Arguments<'_>) -> String {
        let (host, name) = (args.required("host"), args.required("name"));
        let wanted = args.parsed("at_least", 1.0);
        let reached = wait_until(args.timeout(), || async move {
            (self.read_metric(host, name).await? >= wanted).then_some(())
        });
        match reached.await {
            Some(()) => format!("at least {wanted}"),
            None => format!("{:?}", self.read_metric(host, name).await),
        }
    }

    async fn read_metric(&self, host: &str, name: &str) -> Option<f64> {
        let to = self.env().host(host).callers_address();
        let request = http::Request::get("/metrics");
        let response = self.env().client.send(to, request, Duration::from_secs(2));
        let response = response.await.ok()?;
        let text = String::from_utf8_lossy(&response.body);
        let lines = text.lines().filter(|it| {
            let rest = it.strip_prefix(name);
            rest.is_some_and(|it| it.starts_with([' ', '{']))
        });
        Some(
            lines
                .filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok())
                .sum(),
        )
    }

    /// Makes concurrent operators' changes; each line has the arguments of a `put`, then the JSON.
    pub(super) async fn put_together(&self, input: &str) -> String {
        let env = self.env();
        let changes = input.lines().filter(|it| !it.trim().is_empty());
        let changes = changes.map(|line| async move {
            let at = line.find('{').expect("a change needs a JSON object");
            let (given, value) = (parse_line(&line[..at]), read_json(&line[at..]));
            let args = Arguments::new(&given);
            let target = format!(
                "/operator/v1/{}/{}",
                args.required("kind"),
                args.required("name")
            );
            let (host, change) = (args.required("host"), args.required("change"));
            let read_at = args.parsed("read_at", 0);
            env.put(host, &target, read_at, change, &value).await
        });
        let mut outcomes: Vec<_> = future::join_all(changes).await;
        // The order of concurrent changes is random; the sorted outcomes are deterministic.
        outcomes.sort();
        outcomes.join("\n")
    }

    /// Changes the platform's host list by the JSON in the input. `callers-of:a` is replaced by
    /// host a's address for callers.
    pub(super) async fn list(&self, input: &str) -> String {
        let mut input = input.to_owned();
        for host in self.env().hosts.values() {
            let named = format!("callers-of:{}", host.name);
            input = input.replace(&named, &host.callers_address().to_string());
        }
        let hosts: Value = read_json(&input);
        let request = http::Request::post("/control/hosts", &hosts);
        let (to, limit) = (self.env().stand_in("hosts"), Duration::from_secs(5));
        let response = self.env().client.send(to, request, limit).await;
        let done = response.is_ok_and(|it| it.status.is_success());
        assert!(done, "the host list refused the change: {hosts}");
        "listed".to_owned()
    }
}

async fn exchange(to: SocketAddr, bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(bytes).await?;
    let mut response = Vec::new();
    let mut buffer = [0; 1024];
    while response.len() < MAX_RESPONSE_BYTES {
        match stream.read(&mut buffer).await {
            // An error ends the response: a host may respond and close the connection before it has
            // read the whole body.
            Ok(0) | Err(_) => break,
            Ok(read) => response.extend_from_slice(&buffer[..read]),
        }
    }
    Ok(response)
}

/// Returns the status and, from a problem document, the fields `reason` and `run`.
fn status_and_reason(response: &[u8]) -> String {
    let text = String::from_utf8_lossy(response);
    let Some(status) = text.split(' ').nth(1) else {
        return "closed".to_owned();
    };
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let problem: Value = serde_json::from_str(body).unwrap_or_default();
    let field = |name: &str| problem[name].as_str().unwrap_or("-").to_owned();
    format!("{status} {} {}", field("reason"), field("run"))
}
