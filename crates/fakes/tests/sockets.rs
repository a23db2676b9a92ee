//! Tests of the stand-ins over TCP connections with the router's HTTP client.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use fakes::{RunningStandIns, Settings};
use googletest::prelude::*;
use http::{Cause, Client, Error, Options, PoolLimits, Request};
use kernel::{Clock, SystemClock};
use serde_json::{Value, json};

const SETTINGS: &str = r#"
[[table]]
name = "table"
[[hosts]]
name = "hosts"
[[engine]]
name = "engine"
data_centre = "dar-1"
slots = 4
versions = ["small@1"]
"#;

#[test]
fn response_lost_after_write_returns_error_maybe_sent() {
    // Guards against a client that takes a lost response for a failed write: the table applied
    // the write and the connection closed before the response.
    with_stand_ins(async |fixture| {
        fixture
            .post("table", "/control/faults", &json!({"lose_answers": 1}))
            .await
            .expect("the fault is set");
        let write = json!({"puts": [{"key": "a", "value": 1}]});
        let lost = fixture.post("table", "/v1/transact", &write).await;
        assert_that!(lost, err(eq(&Error::MaybeSent(Cause::Closed))));
        let row = fixture
            .get("table", "/v1/rows/a")
            .await
            .expect("the row exists");
        assert_that!(row["value"], eq(&json!(1)));
    });
}

#[test]
fn stream_closed_before_its_end_returns_error_cut() {
    // Guards against a client that takes a stream for complete although its connection closed
    // before the end.
    with_stand_ins(async |fixture| {
        let faults = json!({"cut": 1.0, "cut_after": 2});
        fixture
            .post("engine", "/control/faults", &faults)
            .await
            .expect("the fault is set");
        let chat = json!({"model": "small@1", "messages": [], "stream": true});
        let res = fixture.post("engine", "/v1/chat/completions", &chat).await;
        assert_that!(res, err(matches_pattern!(Error::Cut(anything()))));
    });
}

#[test]
fn host_list_contains_engine_addresses() {
    with_stand_ins(async |fixture| {
        let hosts = fixture
            .get("hosts", "/v1/hosts")
            .await
            .expect("the host list responds");
        let address = fixture.address("engine").to_string();
        assert_that!(hosts["hosts"][0]["address"], eq(&json!(address)));
    });
}

/// A client and the stand-ins that it calls.
struct Fixture {
    client: Client,
    started: RunningStandIns,
}

impl Fixture {
    fn address(&self, name: &str) -> SocketAddr {
        self.started.addresses()[name]
    }

    async fn get(&self, name: &str, target: &str) -> std::result::Result<Value, Error> {
        self.send(name, Request::get(target)).await
    }

    async fn post(
        &self,
        name: &str,
        target: &str,
        body: &Value,
    ) -> std::result::Result<Value, Error> {
        self.send(name, Request::post(target, body)).await
    }

    async fn send(&self, name: &str, request: Request) -> std::result::Result<Value, Error> {
        let options = Options::default();
        let res = self
            .client
            .send(self.address(name), request, &options)
            .await?;
        let body = res.body.collect(1 << 20).await?;
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }
}

fn with_stand_ins(test: impl AsyncFnOnce(Fixture)) {
    task::block_on(async {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let settings = Settings::parse(SETTINGS).expect("the settings are valid");
        let started = RunningStandIns::start(Arc::clone(&clock), settings)
            .await
            .expect("ports are free");
        let client = Client::new(clock, PoolLimits::default());
        test(Fixture { client, started }).await;
    });
}
