//! Follows the store.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::task::sleep;
use forward::{Dialect, Node};
use futures::future::{Either, select};
use futures::pin_mut;
use route::Config;
use route::Rollout;
use route::directory::Absence;
use route::endpoint::{Entry, State};
use route::rollout::Verdict;
use telemetry::{Event, Value};

use crate::life::{Life, Listed};
use crate::{Documents, Judgement, Member, Store, Trouble, say};

/// How long one question for news waits. Each is paid for; a connection that
/// went silent meanwhile is noticed by its keep-alive, see `http`, and a store
/// that did by its other calls. The rest is noticed after this time.
const NEWS_WAIT: Duration = Duration::from_secs(5);
/// The pause after a question that failed, the first time and at most: refused
/// calls are paid for like others, and an outage lasts for seconds. The longest
/// leaves time to have a configuration in force two seconds after the store is
/// back.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How often the listing of endpoints is read. An endpoint that leaves may get
/// no new work two seconds after it said so; each reading is paid for.
const ENDPOINTS_PERIOD: Duration = Duration::from_millis(700);
/// How long after an outage entries may be missing of endpoints that live.
const LAPSED: Duration = Duration::from_millis(2_200);
/// How often the listing of hosts is read: it only tells of new ones, whether
/// they live is known from themselves.
const MEMBERS_PERIOD: Duration = Duration::from_secs(4);
/// How many hosts read the listing of endpoints themselves; the others get it
/// from these.
const READERS: usize = 2;
/// The age of a listing at which any host reads it itself.
const STALE: Duration = Duration::from_millis(1_400);
/// How often a roll-out is looked at.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(100);
/// The longest a host waits before it writes a judgement, so that not all write
/// at the same moment.
const JUDGE_SPREAD_MS: u64 = 300;

/// How long to wait before the next try: twice as long after each failure.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    async fn wait(&mut self) {
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        sleep(pause.min(LONGEST_PAUSE)).await;
    }

    fn reset(&mut self) {
        self.failures = 0;
    }
}

pub(crate) async fn documents<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut since = None;
    let mut backoff = Backoff::default();
    loop {
        let began = life.node.now();
        let question = async {
            match since {
                None => life.store.documents().await,
                Some(since) => life.store.changes(since, NEWS_WAIT).await,
            }
        };
        let Some(asked) = unless(&life.returns[0].1, question).await else {
            continue;
        };
        say::store(&life, "news of documents", began, &asked);
        match asked {
            Ok(documents) => {
                backoff.reset();
                since = Some(documents.revision.max(since.unwrap_or(0)));
                life.confirmed.set(Some(life.node.now()));
                take(&life, documents);
            }
            Err(Trouble::HistoryGone) => since = None,
            Err(_) => backoff.wait().await,
        }
    }
}

/// What a question to the store gives, or nothing if the store was away
/// meanwhile and the question has to be asked anew.
async fn unless<T>(returned: &Receiver<()>, question: impl Future<Output = T>) -> Option<T> {
    let returned = returned.recv();
    pin_mut!(question, returned);
    match select(question, returned).await {
        Either::Left((answer, _)) => Some(answer),
        Either::Right(_) => None,
    }
}

pub(crate) async fn judgements<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut since = None;
    let mut backoff = Backoff::default();
    loop {
        let began = life.node.now();
        let question = life.store.judgements(since, NEWS_WAIT);
        let Some(asked) = unless(&life.returns[1].1, question).await else {
            continue;
        };
        say::store(&life, "news of verdicts", began, &asked);
        match asked {
            Ok(documents) => {
                backoff.reset();
                since = Some(documents.revision.max(since.unwrap_or(0)));
                take(&life, documents);
            }
            Err(Trouble::HistoryGone) => since = None,
            Err(_) => backoff.wait().await,
        }
    }
}

fn take<S: Store, D: Dialect>(life: &Life<S, D>, documents: Documents) {
    if let Some((config, text)) = documents.config {
        configure(life, config, text);
    }
    let node = &life.node;
    let now = node.now();
    let mut router = node.router();
    for order in documents.orders {
        if router.order(order.clone(), now) {
            life.hurry();
            life.recorder().say(
                Event::RolloutSeen,
                &[
                    ("service", Value::Text(&order.service)),
                    ("release", Value::Text(&order.release)),
                    ("over_ms", Value::Time(order.over)),
                ],
            );
        }
    }
    let mut known = life.judgements.borrow_mut();
    for it in documents.judgements {
        known.insert(it.service.clone(), it);
    }
    // Orders and judgements come on two ways, in any order.
    for it in known.values() {
        if let Some(rollout) = router.rollout(&it.service)
            && rollout.order.release == it.release
            && it.verdict != Verdict::Running
            && it.verdict != rollout.verdict
        {
            rollout.verdict = it.verdict;
            say_verdict(life, rollout, "the store");
        }
    }
}

/// Says a verdict with what decided it.
pub(crate) fn say_verdict<S: Store, D: Dialect>(
    life: &Life<S, D>,
    rollout: &Rollout,
    source: &str,
) {
    let pooled = rollout.pooled();
    life.recorder().say(
        Event::RolloutJudged,
        &[
            ("service", Value::Text(&rollout.order.service)),
            ("release", Value::Text(&rollout.order.release)),
            ("verdict", Value::Text(&rollout.verdict)),
            ("source", Value::Text(&source)),
            ("new_answers", Value::Count(pooled.new.answers.into())),
            ("new_bad", Value::Count(pooled.new.bad.into())),
            ("old_answers", Value::Count(pooled.old.answers.into())),
            ("old_bad", Value::Count(pooled.old.bad.into())),
        ],
    );
}

/// Puts a configuration in force unless a newer one is.
pub(crate) fn configure<S: Store, D: Dialect>(
    life: &Life<S, D>,
    config: Arc<Config>,
    text: Arc<[u8]>,
) {
    let (version, routes) = (config.version, config.route_count());
    let before = life.node.router().version();
    let is_taken = life.node.router().configure(config);
    if before != Some(version) {
        let event = if is_taken {
            Event::ConfigInForce
        } else {
            Event::ConfigOlder
        };
        life.recorder().say(
            event,
            &[
                ("version", Value::Count(version)),
                ("before", Value::count(before)),
                ("routes", Value::Count(routes as u64)),
            ],
        );
    }
    if is_taken {
        *life.config_text.borrow_mut() = Some(text);
        life.hurry();
    }
}

/// A number that tells two listings apart by what hosts go by.
fn fingerprint(entries: &[Entry]) -> u64 {
    let mut entries: Vec<&Entry> = entries.iter().collect();
    entries.sort_by(|a, b| a.id.cmp(&b.id));
    let mut hasher = DefaultHasher::new();
    for it in entries {
        let is_ready = it.state == State::Ready;
        (&it.id, &it.service, it.address, &it.release).hash(&mut hasher);
        (it.slots, is_ready, it.cold.is_zero()).hash(&mut hasher);
    }
    hasher.finish()
}

/// Takes a listing of endpoints that was read at `at`, unless a later one was taken.
pub(crate) fn list<S: Store, D: Dialect>(
    life: &Life<S, D>,
    at: Duration,
    entries: Vec<Entry>,
    absence: Absence,
) {
    let before = life.listed.get();
    if before.is_some_and(|it| it.at >= at) {
        return;
    }
    let listed = Listed {
        at,
        absence,
        fingerprint: fingerprint(&entries),
    };
    life.listed.set(Some(listed));
    if before.is_none_or(|it| it.fingerprint != listed.fingerprint) {
        life.hurry();
    }
    let change = life.node.router().list(at, entries, absence);
    let age = life.node.now().saturating_sub(at);
    say::endpoints(life, &change, age);
}

pub(crate) async fn endpoints<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut failed = None;
    let mut backoff = Backoff::default();
    loop {
        let node = &life.node;
        if !life.reads_listing(READERS, STALE) {
            sleep(FIRST_PAUSE).await;
            continue;
        }
        let began = node.now();
        let listed = life.store.endpoints().await;
        say::store(&life, "endpoints", began, &listed);
        if let Ok(entries) = listed {
            backoff.reset();
            let now = node.now();
            let absence = match failed {
                Some(at) if now.saturating_sub(at) < LAPSED => Absence::Lapsed,
                _ => Absence::Gone,
            };
            list(&life, now, entries, absence);
            sleep(ENDPOINTS_PERIOD).await;
        } else {
            failed = Some(node.now());
            backoff.wait().await;
        }
    }
}

pub(crate) async fn members<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    loop {
        let began = life.node.now();
        let listed = life.store.members().await;
        say::store(&life, "hosts", began, &listed);
        take_members(&life, listed);
        sleep(MEMBERS_PERIOD).await;
    }
}

fn take_members<S: Store, D: Dialect>(life: &Life<S, D>, listed: Result<Vec<Member>, Trouble>) {
    let now = life.node.now();
    let mut members = life.members.borrow_mut();
    match listed {
        Ok(it) => {
            members.list(now, it);
            life.node.router().set_hosts(members.count());
        }
        Err(_) => members.hold(now),
    }
}

/// Writes what roll-outs have come to.
pub(crate) async fn judge<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    loop {
        sleep(ROLLOUT_PERIOD).await;
        let findings = findings(&life.node, &life);
        for it in findings {
            sleep(Duration::from_millis(life.chance(JUDGE_SPREAD_MS))).await;
            let is_known = life
                .judgements
                .borrow()
                .get(&it.service)
                .is_some_and(|known| known.release == it.release && known.verdict == it.verdict);
            if is_known {
                continue;
            }
            let began = life.node.now();
            let written = life.store.judge(&it).await;
            say::store(&life, "judge", began, &written);
            if written.is_ok() {
                life.recorder().say(
                    Event::RolloutWritten,
                    &[
                        ("service", Value::Text(&it.service)),
                        ("release", Value::Text(&it.release)),
                        ("verdict", Value::Text(&it.verdict)),
                    ],
                );
                life.judgements.borrow_mut().insert(it.service.clone(), it);
            }
        }
    }
}

fn findings<S: Store, D: Dialect>(node: &Node<D>, life: &Life<S, D>) -> Vec<Judgement> {
    let now = node.now();
    let mut router = node.router();
    let known = life.judgements.borrow();
    let mut findings = Vec::new();
    for rollout in router.rollouts() {
        let found = rollout.finding(now);
        if found == Some(Verdict::Reverted) {
            // This host has seen enough; the store hears of it when it can.
            rollout.verdict = Verdict::Reverted;
            say_verdict(life, rollout, "own evidence");
            life.hurry();
        }
        let service = &rollout.order.service;
        let written = known.get(service);
        let is_written = written.is_some_and(|it| it.release == rollout.order.release);
        let verdict = match (found, is_written) {
            (Some(found), _) => found,
            (None, false) => rollout.verdict,
            (None, true) if rollout.verdict == Verdict::Reverted => rollout.verdict,
            (None, true) => continue,
        };
        if is_written && written.is_some_and(|it| it.verdict == verdict) {
            continue;
        }
        findings.push(Judgement {
            service: service.clone(),
            release: rollout.order.release.clone(),
            verdict,
            revision: written.map_or(0, |it| it.revision),
            began_ms: 0,
        });
    }
    findings
}
