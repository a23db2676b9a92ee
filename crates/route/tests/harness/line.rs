//! Parsing of script lines and their arguments.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use kernel::{DataCentre, Incarnation, SessionId};
use route::config::{ResponseKind, RetryPolicy, Route, RouteAccess, Target};
use route::endpoint::{Entry, State};
use route::{Ending, IncomingRequest, LoadPolicy, ModelChoice, RequestProfile, Settings};

/// A parsed line of a script: a command with positional and named arguments.
pub(crate) struct Line<'a> {
    pub(crate) command: &'a str,
    pub(crate) args: Vec<&'a str>,
    named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    pub(crate) fn of(line: &'a str) -> Self {
        let mut words = line.split_whitespace();
        let command = words.next().unwrap_or_default();
        let (named, args): (Vec<_>, Vec<_>) = words.partition(|it| it.contains('='));
        let named = named.iter().filter_map(|it| it.split_once('=')).collect();
        Self {
            command,
            args,
            named,
        }
    }

    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.named.get(name).copied()
    }

    /// Returns the request whose ID is the first argument.
    pub(crate) fn request(&self) -> IncomingRequest<'a> {
        let id = self.args[0];
        let profile = RequestProfile {
            prompt_tokens: self.number::<u64>("tokens", 0),
            session: self.text("session").map(SessionId::from),
            shared_prefix: self.text("prefix").map(|it| {
                let (part, tokens) = it.split_once(':').unwrap();
                (part.parse().unwrap(), tokens.parse().unwrap())
            }),
            ..RequestProfile::default()
        };
        let timeout = self.text("waits");
        IncomingRequest {
            id,
            host: self.text("host").unwrap_or("shop"),
            path: self.text("path").unwrap_or("/a/x"),
            body: self.text("body").unwrap_or(id).as_bytes(),
            key: self.text("key"),
            timeout: timeout.map(|it| Duration::from_millis(it.parse().unwrap())),
            profile,
            model_choice: match self.text("model") {
                None => ModelChoice::Route,
                Some(_) => ModelChoice::Caller,
            },
            relayed: None,
        }
    }

    pub(crate) fn number<T: FromStr>(&self, name: &str, default: T) -> T {
        let parse = |it: &str| it.parse().ok().unwrap();
        self.text(name).map_or(default, parse)
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        data_centre: DataCentre::from("dc1"),
        retry_ratio: 0.9,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        exposure_share: 0.15,
        heartbeat: Duration::from_millis(1_200),
        max_propagation_delay: Duration::from_secs(2),
        session_gap: Duration::from_secs(5),
        load_policy: LoadPolicy::Standard,
    }
}

pub(crate) fn route(line: &Line<'_>) -> Route {
    let stream = line.text("stream").is_some();
    Route {
        name: line.args[0].into(),
        host: "shop".to_owned(),
        prefix: line.args[1].to_owned(),
        targets: vec![Target {
            service: line.args[2].into(),
            weight: 1.0,
        }],
        retry_policy: match line.text("repeat") {
            Some("once") => RetryPolicy::AtMostOnce,
            _ => RetryPolicy::Idempotent,
        },
        response: if stream {
            ResponseKind::Stream {
                pause: Duration::from_millis(1_200),
            }
        } else {
            ResponseKind::Whole
        },
        attempts: line.number::<u32>("attempts", 3),
        timeout: Duration::from_millis(line.number::<u64>("timeout", 20_000)),
        target_latency: Duration::from_millis(line.number::<u64>("aim", 3_000)),
        priority: line.number::<u8>("rank", 0),
        access: match line.text("access") {
            Some("keyed") => RouteAccess::Keyed,
            _ => RouteAccess::Public,
        },
        models: line
            .text("models")
            .map(|it| it.split(',').map(Into::into).collect())
            .unwrap_or_default(),
    }
}

/// Parses `id[#incarnation]@service/release[!][^data-centre]`. A `!` marks a draining endpoint;
/// the default data centre is `dc1`.
pub(crate) fn entry(text: &str) -> Entry {
    let (text, data_centre) = text.split_once('^').unwrap_or((text, "dc1"));
    let (who, rest) = text.split_once('@').unwrap();
    let (id, life) = who.split_once('#').map_or((who, None), |(id, life)| {
        (id, Some(Incarnation(life.parse().unwrap())))
    });
    let (service, release) = rest.trim_end_matches('!').split_once('/').unwrap();
    Entry {
        id: id.into(),
        incarnation: life,
        service: service.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: DataCentre::from(data_centre),
        release: release.into(),
        slots: 10,
        state: if text.ends_with('!') {
            State::Draining
        } else {
            State::Ready
        },
        cold: Duration::ZERO,
    }
}

pub(crate) fn ending_of(text: &str) -> Ending {
    match text {
        "answered" => Ending::Answered,
        "failed" => Ending::Failed,
        "not-sent" => Ending::NotSent,
        "withheld" => Ending::Withheld,
        "refused" => Ending::Refused,
        "moved" => Ending::Misdirected,
        "broken" => Ending::Broken,
        "silent" => Ending::TimedOut,
        "unsure" => Ending::LowConfidence,
        other => panic!("unknown ending {other}"),
    }
}
