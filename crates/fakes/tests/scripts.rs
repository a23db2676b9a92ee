//! Tests of each stand-in as scripts of calls and the expected responses.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use datadriven::TestCase;
use fakes::{
    Call, Engine, Host, HostList, Objects, PlainService, Rating, Settings, StandIn, Table,
};
use http_types::{Request, Url};
use kernel::ManualClock;

#[test]
fn stand_ins_return_the_scripted_responses() {
    datadriven::walk("tests/scripts", |file| {
        let clock = Arc::new(ManualClock::default());
        let mut stand_in = None;
        file.run(|case| match case.directive.as_str() {
            "start" => {
                let (started, output) = start(&clock, case);
                stand_in = Some(started);
                output
            }
            "advance" => {
                clock.advance(Duration::from_millis(arg(case, "ms")));
                "ok\n".to_owned()
            }
            "call" => make_calls(
                stand_in.as_ref().expect("a script begins with `start`"),
                &case.input,
            ),
            other => panic!("unknown directive: {other}"),
        });
    });
}

fn start(clock: &Arc<ManualClock>, case: &TestCase) -> (StandIn, String) {
    let settings = Settings::parse(&case.input).expect("the settings in the script are valid");
    let kind = case
        .args
        .keys()
        .next()
        .expect("`start` names a kind of stand-in")
        .as_str();
    let seed = settings.seed;
    let stand_in = match kind {
        "table" => Table::default().into(),
        "objects" => Objects::default().into(),
        "hosts" => {
            let lag = Duration::from_millis(settings.hosts[0].lag_ms);
            HostList::new(clock.clone(), lag, Vec::<Host>::new()).into()
        }
        "engine" => {
            let engine = settings.engine[0].clone();
            Engine::new(clock.clone(), engine, settings.versions, seed).into()
        }
        "service" => Box::new(PlainService::new(
            clock.clone(),
            settings.service[0].clone(),
            seed,
        ))
        .into(),
        "rating" => Rating::new(clock.clone(), &settings.rating[0], seed).into(),
        other => panic!("unknown kind of stand-in: {other}"),
    };
    (stand_in, "ok\n".to_owned())
}

/// Makes the calls in the input, which are separated by empty lines. A call is a line with method
/// and path, `header: value` lines and a body.
fn make_calls(stand_in: &StandIn, input: &str) -> String {
    let responses = input.split("\n\n").map(|text| {
        let call = parse(text);
        task::block_on(async { stand_in.handle(&call).await.text().await })
    });
    responses.fold(String::new(), |output, response| {
        output + response.replace("\n\n", "\n").trim_end() + "\n"
    })
}

fn parse(text: &str) -> Call {
    let mut lines = text.trim().lines();
    let (method, path) = lines
        .next()
        .and_then(|it| it.split_once(' '))
        .expect("a call begins with its method and path");
    let url = Url::parse(&format!("http://stand-in{path}")).expect("the path is valid");
    let mut req = Request::new(method.parse().expect("the method is valid"), url);
    let mut body = String::new();
    for line in lines {
        match line.split_once(": ") {
            Some((name, value)) if !line.starts_with('{') => {
                req.insert_header(name, value);
            }
            _ => body.push_str(line),
        }
    }
    req.set_body(body);
    task::block_on(Call::read(req)).expect("a body in memory can be read")
}

fn arg(case: &TestCase, name: &str) -> u64 {
    case.args[name][0]
        .parse()
        .expect("the argument is a number")
}
