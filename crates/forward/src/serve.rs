//! One request, from its arrival to its end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kernel::RequestId;
use route::{Arrival, Call, Failure, Next, Placement};

use crate::answer::{Answer, Notice};
use crate::attempt::{Attempt, Result as AttemptResult};
use crate::caller::Request;
use crate::{Asked, Dialect, Node, Observer, Outcome, Phase, Report};

/// The caller has no whole answer on this connection, and can't get one.
#[derive(Debug)]
pub(crate) struct Cut;

pub(crate) async fn serve<D: Dialect, O: Observer>(
    node: &Rc<Node<D, O>>,
    request: &Request,
    mut answer: Answer,
) -> Result<(), Cut> {
    let asked = node.dialect.asked(&request.head);
    let Some(id) = asked.id.clone() else {
        answer.notice(Notice::of(400)).await;
        return Ok(());
    };
    answer.echo = Some((node.dialect.id_field(), id.as_str().to_owned()));
    let record = Record::new(node, request, &id);
    let mut call = match admit(node, request, &asked, &id) {
        Ok(call) => call,
        Err(outcome) => {
            let notice = notice_of(outcome);
            answer.notice(notice).await;
            record.end(None, outcome, notice.status, 0);
            return Ok(());
        }
    };
    record.route(&call);
    let outcome = attempts(node, request, &asked, &id, &mut call, &mut answer).await;
    let result = match outcome {
        Outcome::Failed(_) if answer.has_begun() && answer.status == 200 => Err(Cut),
        Outcome::Gone => Err(Cut),
        _ => Ok(()),
    };
    record.end(Some(&call), outcome, answer.status, call.attempts());
    result
}

fn notice_of(outcome: Outcome) -> Notice {
    match outcome {
        Outcome::Denied(denial) => denial.into(),
        Outcome::Failed(failure) => failure.into(),
        Outcome::Answered | Outcome::Rejected | Outcome::Gone => Notice::of(400),
    }
}

fn admit<D: Dialect, O: Observer>(
    node: &Node<D, O>,
    request: &Request,
    asked: &Asked,
    id: &RequestId,
) -> Result<Call, Outcome> {
    let host = request.head.fields.text("host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let arrival = Arrival {
        id: id.as_str(),
        host: &host,
        path: request.head.path(),
        key: asked.key.as_deref(),
        patience: asked.patience,
        shape: asked.shape.clone(),
    };
    let call = node
        .router()
        .admit(request.arrived, arrival)
        .map_err(Outcome::Denied)?;
    if node.phase() >= Phase::Finishing {
        // The process may end before this would: another host has the time.
        let failure = node.router().unplaced(node.now(), &call);
        return Err(Outcome::Failed(failure));
    }
    Ok(call)
}

async fn attempts<D: Dialect, O: Observer>(
    node: &Rc<Node<D, O>>,
    request: &Request,
    asked: &Asked,
    id: &RequestId,
    call: &mut Call,
    answer: &mut Answer,
) -> Outcome {
    let mut last_event = asked.last_event;
    loop {
        let now = node.now();
        let Some(placement) = node.router().place(now, call) else {
            let failure = node.router().unplaced(now, call);
            return fail(answer, failure).await;
        };
        let attempt = Attempt {
            node,
            request,
            id,
            placement: &placement,
            last_event: &mut last_event,
        };
        let result = attempt.run(call, answer).await;
        match result {
            AttemptResult::Delivered => return Outcome::Answered,
            AttemptResult::CallerGone => return Outcome::Gone,
            AttemptResult::Ended {
                flight,
                ending,
                parked,
            } => {
                let next = node.router().end(node.now(), call, flight, ending);
                match (next, parked) {
                    (Next::Again, _) => {}
                    (Next::Fail(Failure::Passed), Some(whole)) => {
                        return match answer.whole(&node.dialect, &whole.head, &whole.body).await {
                            Ok(()) => Outcome::Failed(Failure::Passed),
                            Err(_) => Outcome::Gone,
                        };
                    }
                    (Next::Fail(failure), _) => return fail(answer, failure).await,
                }
            }
        }
    }
}

async fn fail(answer: &mut Answer, failure: Failure) -> Outcome {
    // Where a part of a stream has gone out the connection's end has to tell.
    if !answer.has_begun() {
        answer.notice(failure.into()).await;
    }
    Outcome::Failed(failure)
}

/// Reports a request's end, also when its caller leaves in the middle and its
/// work is dropped.
struct Record<'a, D: Dialect, O: Observer> {
    node: &'a Node<D, O>,
    id: &'a RequestId,
    arrived: Duration,
    route: Cell<Option<std::sync::Arc<route::config::Route>>>,
    ended: Cell<bool>,
}

impl<'a, D: Dialect, O: Observer> Record<'a, D, O> {
    fn new(node: &'a Node<D, O>, request: &Request, id: &'a RequestId) -> Self {
        Self {
            node,
            id,
            arrived: request.arrived,
            route: Cell::new(None),
            ended: Cell::new(false),
        }
    }

    fn route(&self, call: &Call) {
        self.route.set(Some(call.route.clone()));
    }

    fn end(&self, call: Option<&Call>, outcome: Outcome, status: u16, attempts: u32) {
        self.ended.set(true);
        let total = self.node.now().saturating_sub(self.arrived);
        self.node.observer.done(&Report {
            id: self.id,
            route: call.map(|it| &*it.route.name),
            outcome,
            status,
            first: None,
            total,
            attempts,
        });
    }
}

impl<D: Dialect, O: Observer> Drop for Record<'_, D, O> {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let route = self.route.take();
        self.node.observer.done(&Report {
            id: self.id,
            route: route.as_ref().map(|it| &*it.name),
            outcome: Outcome::Gone,
            status: 0,
            first: None,
            total: self.node.now().saturating_sub(self.arrived),
            attempts: 0,
        });
    }
}

/// What is kept of a placement for a report.
pub(crate) fn report<D: Dialect, O: Observer>(
    node: &Node<D, O>,
    id: &RequestId,
    placement: &Placement,
    ending: route::Ending,
    began: Duration,
) {
    let took = node.now().saturating_sub(began);
    node.observer.attempted(id, placement, ending, took);
}
