//! The service that carries out the decider's actions that aren't specific to one call.

use std::sync::Arc;

use async_std::task;
use decide::action::Verdict;
use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use wire::Ruling;

use crate::context::Context;
use crate::event::Event;
use crate::service::decide::Notice;
use crate::service::fleet::{self, Told};
use crate::service::rollout;

/// Carries out notices until the decider is dropped.
pub(crate) async fn run(cx: Arc<Context>, mut notices: UnboundedReceiver<Notice>) {
    while let Some(notice) = notices.next().await {
        match notice {
            Notice::Evidence(evidence) => tell(&cx, Told::Evidence(evidence)),
            Notice::Demand(demand) => tell(&cx, Told::Demand(demand)),
            Notice::Verdict(version, verdict) => {
                cx.verdicts.judge(&version, verdict);
                let text = format!("{verdict:?}");
                cx.host.log.emit(
                    Event::VersionVerdict,
                    &[("version", &version), ("verdict", &text)],
                );
                fleet::tell(
                    &cx,
                    ::fleet::Event::Ruled(::fleet::Ruled {
                        version,
                        ruling: match verdict {
                            Verdict::Healthy => Ruling::Lift,
                            Verdict::Quarantined(_) => Ruling::Quarantine,
                        },
                        evidence: postcard::to_stdvec(&verdict).unwrap_or_default(),
                    }),
                );
            }
            Notice::LastResort(version) => {
                let verdict = "last resort";
                cx.host.log.emit(
                    Event::VersionVerdict,
                    &[("version", &version), ("verdict", &verdict)],
                );
            }
            Notice::Step(version, step) => {
                if let Some(rollout) = cx.host.registry.find::<rollout::Rollout>() {
                    // A dropped step is repeated by the decider.
                    let _ = rollout.offer(rollout::Message::Step(version, step));
                }
            }
        }
    }
}

/// Sends ticks to the decider forever.
pub(crate) async fn tick(cx: Arc<Context>) {
    loop {
        task::sleep(cx.host.settings.decide.tick).await;
        cx.decide.handle(decide::Event::Tick);
    }
}

fn tell(cx: &Context, told: Told) {
    if let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() {
        // Lost evidence only delays learning.
        let _ = fleet.offer(fleet::Message::Decide(told));
    }
}
