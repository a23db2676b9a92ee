//! A request names a model that its route doesn't allow, and runs on another model.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{Client, Outcome};
use crate::host::Host;
use crate::replica::{Entry, Replica, Work};
use crate::store::Store;
use crate::{Context, Verdict};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-dossier","host":"reels.example","pathPrefix":"/dossier/","routeKind":"stream","timeoutMs":25000,"goalMs":3000,"priority":0,"sizes":["daka510000","rada7437b5","ravo486f6a"],"service":"pool","attempts":3,"public":false,"sticky":true,"resumable":true,"gapTargetMs":1200}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":290,"proto":"h1","tls":false,"engine":{"slots":48,"kvCapacity":455747,"kvTokenBytes":163840,"linkMbps":740000.0,"models":[{"name":"daka510000","cost":0.018},{"name":"rada7437b5","cost":0.13},{"name":"ravo486f6a","cost":0.27}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kivuli","apiKeys":["key-1"],"priority":1}]}"#;

const REQUESTS: usize = 20;

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::start(record);
    store.put("op", "config", CONFIG);
    let replica = |id: &str, zone: &str| {
        let entry = Entry {
            id: id.to_owned(),
            service: "pool".to_owned(),
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            slots: 48,
            queue: 4,
            work: Work::Stream { events: 5, gap: Duration::from_millis(10), bad: 0 },
        };
        Replica::start(entry, &store, record)
    };
    let pool = [replica("i-pool-1", "kariakoo"), replica("i-pool-2", "msasani")];
    let mut host = Host::start(&context.folder, "edge-kariakoo-1", "kariakoo", &store);
    if !host.wait_ready() {
        return Verdict::NotRun("the host isn't ready after 20 s".to_owned());
    }
    sleep(Duration::from_secs(4));
    // Without trouble, the client sends * as the page asks.
    let models: &[&str] = if context.trouble { &["ravo486f6a", "unlisted1"] } else { &["*"] };
    let mut sent = Vec::new();
    for nr in 0..REQUESTS {
        let (id, model) = (format!("request-{nr:02}"), models[nr % models.len()]);
        let Some(mut client) = Client::connect(host.front) else {
            return Verdict::NotRun("the host takes no connection".to_owned());
        };
        let fields = format!("Deadline-Ms: 25000\r\nModel: {model}\r\nToken-Usage: 6610,512\r\n");
        let outcome = client.ask("POST /dossier/plan", &id, &fields, "reel");
        record.note(&format!("client: {id} was sent with Model: {model} and ends: {outcome:?}"));
        sent.push((id, model, outcome));
    }
    let runs: Vec<_> = pool.iter().flat_map(Replica::runs).collect();
    let mut foreign = 0;
    for (id, model, _) in &sent {
        let others = runs.iter().filter(|it| it.id == *id && *model != "*" && it.model != *model);
        foreign += others.count();
    }
    let answered = sent.iter().filter(|it| it.2 == Outcome::Answered(200)).count();
    record.result(&format!(
        "{REQUESTS} requests, {answered} answered with 200, {foreign} runs on a model that the client hadn't named"
    ));
    if !host.runs() {
        return Verdict::NotRun("the host has ended by itself".to_owned());
    }
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}
