//! Tests of the clients against scripted services.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::block_on;
use clients::row::{Key, Prefix};
use clients::{
    Circuit, Condition, Error, HostList, Objects, Ratings, Reason, Sample, Service, Table,
    Transaction, Tuning, Version,
};
use datadriven::{TestCase, walk};
use http::{Client, Options, PoolLimits};
use kernel::{Clock, Incarnation, ManualClock, Revision, SystemClock};

/// Accepts one connection per element of `responses`, reads a request and sends
/// the element as the response; an empty element closes the connection without
/// a response. The thread returns the request line and body of each request.
fn serve(responses: Vec<Vec<u8>>) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received = thread::spawn(move || {
        let respond = |response: Vec<u8>| {
            let (mut stream, _) = listener.accept().unwrap();
            let received = receive(&mut stream);
            stream.write_all(&response).unwrap();
            received
        };
        responses.into_iter().map(respond).collect()
    });
    (address, received)
}

use crate::message::read_message;

fn receive(stream: &mut TcpStream) -> String {
    let (head, body) = read_message(stream).unwrap();
    let line = head.lines().next().unwrap().to_owned();
    format!("{line}\n{body}")
}

fn response(status: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}")
        .into_bytes()
}

fn service(address: SocketAddr, clock: Arc<dyn Clock>, options: Options) -> Service {
    let client = Client::new(Arc::new(SystemClock::new()), PoolLimits::default());
    let circuit = Circuit::new(7, Tuning::default());
    Service::new(client, address, clock, options, circuit)
}

fn plain_service(address: SocketAddr) -> Service {
    service(address, Arc::new(SystemClock::new()), Options::default())
}

fn transaction() -> Transaction {
    let change = Key::ConfigChange("c/1".into());
    Transaction::default()
        .when(Condition::At(Key::ConfigHead, Version(4)))
        .when(Condition::Absent(change.clone()))
        .put(&Key::ConfigHead, &Revision(9))
        .put(&change, &"done")
        .delete(&Key::Fence(Incarnation(3)))
}

async fn run(directive: &str, service: Service) -> String {
    match directive {
        "transact" => format!("{:?}", Table::new(service).transact(&transaction()).await),
        "get" => {
            let key = Key::Lease("a/b".into());
            let row = Table::new(service).get(&key).await;
            format!(
                "{:?}",
                row.map(|it| it.map(|it| (it.version, it.value::<u64>())))
            )
        }
        "scan" => {
            let after = Key::ConfigHistory(Revision(4)).to_string();
            let table = Table::new(service);
            let page = table.scan(Prefix::ConfigHistory, Some(&after), 2).await;
            format!("{page:?}")
        }
        "put-object" => {
            let objects = Objects::new(service);
            format!("{:?}", objects.put("a b", b"bytes".to_vec()).await)
        }
        "get-object" => {
            let bytes = Objects::new(service).get("a b").await;
            format!("{:?}", bytes.map(|it| it.map(String::from_utf8)))
        }
        "hosts" => match HostList::new(service).fetch().await {
            Ok(listing) => format!("{:?}, {} faulty", listing.hosts, listing.faulty),
            Err(err) => format!("{err:?}"),
        },
        "submit" => {
            let sample = Sample {
                request: "r1".into(),
                version: "small@1".into(),
                profile: "tags".into(),
                class: "general".to_owned(),
                reply_to: "h1".into(),
                prompt: "era?".to_owned(),
                answer: "1920s".to_owned(),
            };
            format!("{:?}", Ratings::new(service).submit(&sample).await)
        }
        "ratings" => {
            let ratings = Ratings::new(service);
            format!("{:?}", ratings.fetch(&"h 1".into(), 5, 2).await)
        }
        other => panic!("unknown directive {other}"),
    }
}

fn call(case: &mut TestCase) -> String {
    let show = case.take_flag("show-request").unwrap();
    // `cut` drops the last byte of the response.
    let cut = case.take_flag("cut").unwrap();
    let status: Option<String> = case.try_take_arg("status").unwrap();
    let mut bytes = status.map_or_else(Vec::new, |it| response(&it, case.input.trim_end()));
    if cut {
        bytes.pop();
    }
    let (address, received) = serve(vec![bytes]);
    let result = block_on(run(&case.directive, plain_service(address)));
    let received = received.join().unwrap().remove(0);
    if show {
        format!("{}\n{result}\n", received.trim_end())
    } else {
        format!("{result}\n")
    }
}

#[test]
fn scripted_services() {
    walk("tests/data/calls", |file| {
        file.run(call);
    });
}

#[test]
fn refused_connection_is_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = block_on(run("transact", plain_service(address)));
    expect_test::expect!["Err(NotApplied(Http(NotSent(Refused))))"].assert_eq(&result);
}

#[test]
fn timed_out_transaction_is_unknown() {
    // A transaction can still be applied after its caller timed out.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let options = Options {
        first_byte: Duration::from_millis(30),
        ..Options::default()
    };
    let clock = Arc::new(SystemClock::new());
    let service = service(listener.local_addr().unwrap(), clock, options);
    let result = block_on(run("transact", service));
    expect_test::expect!["Err(Unknown(Http(MaybeSent(Timeout))))"].assert_eq(&result);
}

#[test]
fn open_circuit_refuses_calls_until_probe_succeeds() {
    // After three 503 responses, calls must fail without a connection until a
    // probe succeeds.
    let unavailable = response("503", "");
    let recovered = response("200", r#"{"versions":{}}"#);
    let (address, received) = serve(vec![
        unavailable.clone(),
        unavailable.clone(),
        unavailable,
        recovered,
    ]);
    let clock = Arc::new(ManualClock::default());
    let service = service(address, Arc::clone(&clock) as _, Options::default());
    let table = Table::new(service);
    block_on(async {
        for _ in 0..3 {
            let result = table.transact(&transaction()).await;
            assert_eq!(result, Err(Error::NotApplied(Reason::Outage)));
        }
        assert!(table.is_out());
        for _ in 0..100 {
            let result = table.transact(&transaction()).await;
            assert_eq!(result, Err(Error::NotApplied(Reason::Open)));
        }
        clock.advance(Tuning::default().first_wait);
        assert!(table.transact(&transaction()).await.is_ok());
        assert!(!table.is_out());
    });
    assert_eq!(received.join().unwrap().len(), 4);
}

#[test]
fn dropped_probe_counts_as_failed() {
    // A dropped probe must not keep the circuit open for the whole `probe_timeout`.
    // Three time-outs open the circuit; the dropped probe doubles the delay.
    let hanging = TcpListener::bind("127.0.0.1:0").unwrap();
    let clock = Arc::new(ManualClock::default());
    let options = Options {
        first_byte: Duration::from_millis(5),
        ..Options::default()
    };
    let address = hanging.local_addr().unwrap();
    let table = Table::new(service(address, Arc::clone(&clock) as _, options));
    let key = Key::ConfigHead;
    block_on(async {
        for _ in 0..3 {
            assert!(table.get(&key).await.is_err());
        }
        clock.advance(Tuning::default().first_wait);
        assert!(timeout(Duration::ZERO, table.get(&key)).await.is_err());
        assert_eq!(table.get(&key).await, Err(Error::NotApplied(Reason::Open)));
        clock.advance(2 * Tuning::default().first_wait);
        let probe = table.get(&key).await;
        assert_ne!(probe, Err(Error::NotApplied(Reason::Open)));
    });
}

#[test]
fn conflict_does_not_open_circuit() {
    let conflict = response("409", r#"{"failed":[]}"#);
    let (address, received) = serve(vec![conflict; 5]);
    let table = Table::new(plain_service(address));
    block_on(async {
        for _ in 0..5 {
            let result = table.transact(&transaction()).await;
            assert_eq!(result, Err(Error::Conflict { failed: vec![] }));
        }
    });
    assert!(!table.is_out());
    assert_eq!(received.join().unwrap().len(), 5);
}
