//! Tests of the client and the server against each other.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::block_on;
use googletest::prelude::*;
use http::{Body, Client, Limits, Method, Options, PoolLimits, Request, Response, Server, Status};
use kernel::SystemClock;

fn client() -> Client {
    Client::new(Arc::new(SystemClock::new()), PoolLimits::default())
}

async fn echo(request: Request) -> Response {
    let path = request.target.clone();
    match request.body.collect(1024).await {
        Ok(bytes) => Response::new(Status::Ok)
            .header("echo-target", path)
            .body(Body::bytes(bytes)),
        Err(err) => Response::text(Status::PayloadTooLarge, err.to_string()),
    }
}

async fn server() -> Server {
    let address = ([127, 0, 0, 1], 0).into();
    Server::bind(address, Limits::default(), echo)
        .await
        .unwrap()
}

#[gtest]
fn a_request_is_echoed_with_its_target() {
    block_on(async {
        let server = server().await;
        let client = client();
        for text in ["first", "second"] {
            let request = Request::post("/a/b?c=d", text);
            let response = client
                .send(server.address(), request, &Options::default())
                .await
                .unwrap();
            expect_that!(response.status, eq(Status::Ok));
            expect_that!(response.headers.get("Echo-Target"), some(eq("/a/b?c=d")));
            expect_that!(response.body.parse::<String>(64).await, ok(eq(text)));
        }
    });
}

#[gtest]
fn stream_pieces_arrive_one_by_one() {
    block_on(async {
        let (pieces, body) = Body::channel(1);
        let body = std::sync::Mutex::new(Some(body));
        let server = Server::bind(([127, 0, 0, 1], 0).into(), Limits::default(), move |_| {
            let body = body.lock().unwrap().take().unwrap();
            async move { Response::new(Status::Ok).body(body) }
        })
        .await
        .unwrap();
        let response = client()
            .send(server.address(), Request::get("/"), &Options::default())
            .await;
        let mut body = response.unwrap().body;
        for piece in ["one", "two", "three"] {
            pieces.send(piece).await.unwrap();
            expect_that!(body.piece().await, ok(some(eq(piece.as_bytes()))));
        }
        pieces.finish().await.unwrap();
        expect_that!(body.piece().await, ok(none()));
        let drained = server.drain(Duration::ZERO, Duration::from_secs(5)).await;
        expect_that!(drained.in_flight, eq(0));
    });
}

#[gtest]
fn a_large_body_comes_back_byte_for_byte() {
    const LEN: usize = 3 << 20;
    block_on(async {
        let echo = |request: Request| async {
            let len = request.body.len();
            let bytes = request.body.collect(LEN).await.unwrap();
            // A chunked request gets a chunked response.
            let body = Body::reader(futures::io::Cursor::new(bytes), len);
            Response::new(Status::Ok).body(body)
        };
        let server = Server::bind(([127, 0, 0, 1], 0).into(), Limits::default(), echo);
        let address = server.await.unwrap().address();
        let client = client();
        let bytes: Vec<u8> = (0..LEN).map(|it| (it % 251).to_le_bytes()[0]).collect();
        let chunked = futures::io::Cursor::new(bytes.clone());
        for body in [Body::bytes(bytes.clone()), Body::reader(chunked, None)] {
            let request = Request::new(Method::Post, "/").body(body);
            let response = client.send(address, request, &Options::default()).await;
            let back = response.unwrap().body.collect(LEN).await.unwrap();
            expect_that!(back == bytes, is_true());
        }
    });
}
