//! A fake of the operator interface of a fleet: one document, served at two
//! addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task::block_on;
use config::{Change, Commit, Document, Edit, Entry, EntryKind, EntryName};
use gate::operator::{
    Accepted, Backlog, Condition, Health, History, Host, Refusal, Rollout, Snapshot, State, Status,
};
use gate::problem::{Problem, Reason, Run};
use http::{Body, Limits, Method, Request, Response, Server, Status as Code};
use kernel::{ChangeId, Incarnation, Revision};

/// The operators' key.
pub(crate) const KEY: &str = "the-operators-key";

/// The time, since the Unix epoch, from which commits are dated.
const START_TIME: Duration = Duration::from_secs(1_790_000_000);

/// The state of the fleet and the failures that it simulates.
///
/// Of its three hosts, `e1` and `e2` serve; `e3` is only reported as their peer.
#[derive(Default)]
pub(crate) struct FakeFleet {
    /// The committed configuration.
    pub(crate) document: Document,
    /// The number of responses to accepted or repeated changes, from now on, that are
    /// cut.
    pub(crate) responses_to_cut: u32,
    /// The hosts that report an earlier revision than the current one.
    pub(crate) lagging: Vec<String>,
    /// The hosts that are reported as suspect, at an earlier revision.
    pub(crate) suspect: Vec<String>,
    /// Whether new changes are refused because the table service is out.
    pub(crate) store_out: bool,
    /// Whether the hosts don't know the revision and proof of their peers.
    pub(crate) peers_unknown: bool,
    /// The hosts that were asked to drain.
    pub(crate) drained: Vec<String>,
    commits: Vec<Commit>,
    changes: HashMap<ChangeId, Revision>,
}

/// Starts two hosts that share the fleet's state.
pub(crate) fn start(fleet: &Arc<Mutex<FakeFleet>>) -> [Server; 2] {
    ["e1", "e2"].map(|name| {
        let fleet = Arc::clone(fleet);
        let address: SocketAddr = ([127, 0, 0, 1], 0).into();
        let handler = move |request| respond(Arc::clone(&fleet), name, request);
        block_on(Server::bind(address, Limits::default(), handler)).expect("a free port")
    })
}

async fn respond(
    fleet: Arc<Mutex<FakeFleet>>,
    name: &'static str,
    mut request: Request,
) -> Response {
    let body = std::mem::replace(&mut request.body, Body::empty());
    let body = body.collect(1 << 20).await.expect("a small body");
    let mut fleet = fleet.lock().expect("not poisoned");
    let expected = format!("Bearer {KEY}");
    if request.headers.get("authorization") != Some(expected.as_str()) {
        let problem = Problem::not_run(Reason::Unauthorized, "the key is not the operators'");
        return refusal_response(&problem.into());
    }
    match fleet.route(name, &request, &body) {
        Ok(response) => response,
        Err(refusal) => refusal_response(&refusal),
    }
}

fn refusal_response(refusal: &Refusal) -> Response {
    let code = Code::try_from(refusal.problem.status).expect("a known status");
    Response::json(code, refusal)
}

impl FakeFleet {
    /// Commits a change; reports one that is committed already as repeated.
    pub(crate) fn commit(&mut self, change: &Change) -> Result<Accepted, Box<Refusal>> {
        if let Some(revision) = self.changes.get(&change.id) {
            return Ok(Accepted {
                revision: *revision,
                repeated: true,
            });
        }
        if self.store_out {
            let detail = "the table service does not answer";
            let problem = Problem::new(Reason::StoreOut, Run::NotRun, detail);
            return Err(Box::new(problem.into()));
        }
        self.document = self
            .document
            .apply(change)
            .map_err(|error| Box::new(error.into()))?;
        let revision = self.document.revision;
        let when = START_TIME + Duration::from_mins(1) * u32::try_from(revision.0).unwrap_or(0);
        self.commits.insert(0, Commit::new(change, revision, when));
        self.changes.insert(change.id.clone(), revision);
        Ok(Accepted {
            revision,
            repeated: false,
        })
    }

    fn route(
        &mut self,
        me: &str,
        request: &Request,
        body: &[u8],
    ) -> Result<Response, Box<Refusal>> {
        let path = request
            .path()
            .strip_prefix("/operator/v1/")
            .unwrap_or_default();
        let parts: Vec<_> = path.split('/').collect();
        match (request.method, parts.as_slice()) {
            (Method::Get, ["document"]) => Ok(Response::json(
                Code::Ok,
                &Snapshot {
                    revision: self.document.revision,
                    document: self.document.clone(),
                },
            )),
            (Method::Get, ["status"]) => Ok(Response::json(Code::Ok, &self.status(me))),
            (Method::Get, ["history"]) => {
                let limit = request.query("limit").and_then(|limit| limit.parse().ok());
                let limit = limit.filter(|limit| (1..=500).contains(limit));
                let limit = limit.expect("a limit that hosts accept");
                let entries = self.commits.iter().take(limit).cloned().collect();
                Ok(Response::json(Code::Ok, &History { entries }))
            }
            (Method::Post, ["hosts", name, "drain"]) => {
                self.drained.push((*name).to_owned());
                Ok(Response::new(Code::Accepted))
            }
            (method, [plural, name]) => {
                let kind = EntryKind::from_plural(plural).expect("a known kind");
                self.write(method, EntryName::new(kind, name), request, body)
            }
            (method, path) => panic!("unexpected request: {method} {path:?}"),
        }
    }

    fn write(
        &mut self,
        method: Method,
        name: EntryName,
        request: &Request,
        body: &[u8],
    ) -> Result<Response, Box<Refusal>> {
        let condition = Condition::parse(|name| request.headers.get(name))
            .map_err(|problem| Box::new(problem.into()))?;
        let edit = match method {
            Method::Put => {
                let entry = Entry::from_json(name.kind(), body).expect("the body is an entry");
                Edit::put(name, entry).expect("name and entry are of one kind")
            }
            _ => Edit::remove(name),
        };
        let accepted = self.commit(&Change {
            id: condition.change,
            base: condition.read_at,
            author: condition.author,
            mode: condition.mode,
            edit,
        })?;
        if self.responses_to_cut > 0 {
            self.responses_to_cut -= 1;
            let (cut, body) = Body::channel(1);
            drop(cut);
            return Ok(Response::new(Code::Ok).body(body));
        }
        Ok(Response::json(Code::Ok, &accepted))
    }

    fn status(&self, me: &str) -> Status {
        let peers = ["e1", "e2", "e3"].into_iter().filter(|name| *name != me);
        let peers = peers.map(|name| self.peer(name)).collect();
        let version = |(id, version): (&kernel::VersionId, &config::Version)| Health {
            version: id.clone(),
            state: version.state.to_string(),
            verdict: "healthy".to_owned(),
            endpoints: 2,
        };
        let rollout = |(id, rollout): (&kernel::VersionId, &config::Rollout)| Rollout {
            version: id.clone(),
            state: rollout.state.to_string(),
            step: u32::try_from(rollout.step).unwrap_or(0),
            steps: u32::try_from(rollout.steps.len()).unwrap_or(0),
            holder: Some("e2".into()),
        };
        Status {
            host: self.host(me),
            peers,
            versions: self.document.versions.iter().map(version).collect(),
            rollouts: self.document.rollouts.iter().map(rollout).collect(),
            backlog: Backlog {
                own: 3,
                held: 4,
                oldest_ms: 150,
            },
        }
    }

    /// Returns a host as its peers report it.
    fn peer(&self, name: &str) -> Host {
        let host = self.host(name);
        if !self.peers_unknown {
            return host;
        }
        Host {
            revision: Revision(0),
            proof_age_ms: u64::MAX,
            ..host
        }
    }

    fn host(&self, name: &str) -> Host {
        let is_in = |names: &[String]| names.iter().any(|it| it == name);
        let behind = u64::from(is_in(&self.lagging) || is_in(&self.suspect));
        Host {
            name: name.into(),
            incarnation: Incarnation(7),
            address: format!("10.0.0.{}:7000", &name[1..]),
            data_centre: format!("dar-{}", &name[1..]).into(),
            state: match () {
                () if is_in(&self.suspect) => State::Suspect,
                () if is_in(&self.drained) => State::Leaving,
                () => State::Live,
            },
            revision: Revision(self.document.revision.0.saturating_sub(behind)),
            proof_age_ms: 40,
            load: 5,
        }
    }
}
