//! Directives of session files that send requests, and the output of their responses.

use std::fmt::Write;

use datadriven::TestCase;
use http::{Body, Method, Request, Response};
use serde_json::Value;

use crate::mask::mask;
use crate::site::{Site, argument, host, key_of, operator, text};

/// Maximum number of calls to get one that escalates.
const MAX_CALLS: usize = 3000;

/// Runs `call [host=N] [key=customer] [save=name]`, a call with the request as its input. `save`
/// stores the response's session token or ticket under a name, which later calls refer to as
/// `$name`.
///
/// With `times=N` the call is made N times and the responses aren't shown. With `escalated` it is
/// repeated until a response took a second attempt, since the confidence of the cheap version is
/// drawn at random for each request.
pub(crate) async fn caller_call(site: &mut Site, case: &TestCase) -> String {
    let escalated = case.args.contains_key("escalated");
    if let Some(times) = argument::<usize>(case, "times") {
        for _ in 0..times {
            call(site, case).await;
        }
        return format!("{times} calls\n");
    }
    for _ in 0..MAX_CALLS {
        let shown = call(site, case).await;
        let has_second_attempt = shown.contains("attempts: 2") || shown.contains("\"attempts\":2");
        if has_second_attempt || !escalated {
            return shown;
        }
    }
    format!("not one of {MAX_CALLS} calls took a second attempt\n")
}

async fn call(site: &mut Site, case: &TestCase) -> String {
    let mut request = parse(site, &case.input);
    let customer = argument(case, "key").unwrap_or_else(|| "portal".to_owned());
    if customer != "none" {
        let key = format!("Bearer {}", key_of(&customer));
        request.headers.set("authorization", key);
    }
    let to = site.daemons[host(case)].callers();
    let response = site.send(to, request).await;
    show(site, case, response).await
}

/// Runs `operate [host=N] [save=name] [stranger]`, an operator's request with the request as its
/// input. With `stranger` no key is sent.
pub(crate) async fn operator_call(site: &mut Site, case: &TestCase) -> String {
    let mut request = parse(site, &case.input);
    if !case.args.contains_key("stranger") {
        request = operator(request);
    }
    let to = site.daemons[host(case)].operators();
    let response = site.send(to, request).await;
    show(site, case, response).await
}

/// Runs `stand-in name=table`: sends the input as a request to the stand-in and shows the status.
pub(crate) async fn stand_in(site: &mut Site, case: &TestCase) -> String {
    let name: String = argument(case, "name").expect("a stand-in's name");
    let request = parse(site, &case.input);
    let response = site.send(site.addresses[&name], request).await;
    format!("{}\n", u16::from(response.status))
}

/// Runs `until name=engine`: waits until a stand-in's records contain each line of the input.
pub(crate) async fn until(site: &mut Site, case: &TestCase) -> String {
    let name: String = argument(case, "name").expect("a stand-in's name");
    let what = format!("{name}: {}", case.input);
    site.until(&what, async |site| {
        let records = site.send(site.addresses[&name], Request::get("/control/records"));
        let records = text(records.await).await;
        case.input.lines().all(|it| records.contains(it))
    })
    .await;
    "so it is\n".to_owned()
}

/// Runs `executions name=engine`: lists an endpoint's executions from its own records.
pub(crate) async fn executions(site: &mut Site, case: &TestCase) -> String {
    let name: String = argument(case, "name").expect("an endpoint's name");
    let request = Request::get("/control/records");
    let records = text(site.send(site.addresses[&name], request).await).await;
    let records: Value = serde_json::from_str(&records).unwrap();
    let ran = records["executions"]
        .as_array()
        .or(records["runs"].as_array());
    let mut shown = String::new();
    for run in ran.expect("the records list executions") {
        let field = |name: &str| run[name].as_str().unwrap_or_default().to_owned();
        let line = [field("path"), field("call"), field("version"), field("end")];
        writeln!(shown, "- {}", line.join(" ").trim()).unwrap();
    }
    if shown.is_empty() {
        shown.push_str("none\n");
    }
    shown
}

/// Parses a request: the request line, headers and body.
fn parse(site: &Site, input: &str) -> Request {
    let mut input = input.to_owned();
    for (name, value) in &site.saved {
        input = input.replace(&format!("${name}"), value);
    }
    let mut lines = input.lines();
    let (method, target) = lines.next().unwrap().split_once(' ').unwrap();
    let mut request = Request::new(method.parse::<Method>().unwrap(), target);
    let mut body = String::new();
    for line in lines {
        match line.split_once(": ") {
            Some((name, value)) if body.is_empty() && !line.starts_with('{') => {
                request.headers.set(name.to_owned(), value);
            }
            _ => body.push_str(line),
        }
    }
    if body.is_empty() {
        return request;
    }
    request
        .header("content-type", "application/json")
        .body(Body::bytes(body))
}

async fn show(site: &mut Site, case: &TestCase, response: Response) -> String {
    let mut shown = format!("{}\n", u16::from(response.status));
    let mut headers: Vec<_> = response
        .headers
        .iter()
        .filter(|(name, _)| name.starts_with("barleypin-") || *name == "retry-after")
        .map(|(name, value)| format!("{name}: {value}\n"))
        .collect();
    headers.sort();
    shown.extend(headers);
    let session = response.headers.get("barleypin-session").map(str::to_owned);
    let is_stream = response.headers.get("content-type") == Some("text/event-stream");
    let body = text(response).await;
    if let Some(name) = argument::<String>(case, "save") {
        let ticket = serde_json::from_str::<Value>(&body)
            .ok()
            .and_then(|it| it["ticket"].as_str().map(str::to_owned));
        let value = session.or(ticket).expect("a session token or a ticket");
        site.saved.insert(name, value);
    }
    shown.push_str(&if is_stream { events(&body) } else { body });
    if !shown.ends_with('\n') {
        shown.push('\n');
    }
    mask(&shown)
}

/// Formats the events of a stream. Joins consecutive texts, since it varies where they are split.
fn events(body: &str) -> String {
    let mut shown = String::new();
    let mut content = String::new();
    for event in body.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ").unwrap_or_default();
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            content.push_str(text);
            continue;
        }
        if !content.is_empty() {
            writeln!(shown, "content: {content}").unwrap();
            content.clear();
        }
        writeln!(shown, "{event}").unwrap();
    }
    if !content.is_empty() {
        writeln!(shown, "content: {content}").unwrap();
    }
    shown
}
