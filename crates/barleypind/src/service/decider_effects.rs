//! The service that carries out the decider's actions that aren't specific to one call.

use std::sync::Arc;

use async_std::task;
use decide::action::Verdict;
use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use wire::Ruling;

use crate::context::Context;
use crate::event::Event;
use crate::service::decide::DeciderEffect;
use crate::service::fleet::{self, DeciderMessage};
use crate::service::rollout;

/// Carries out effects until the decider is dropped.
pub(crate) async fn run(cx: Arc<Context>, mut effects: UnboundedReceiver<DeciderEffect>) {
    while let Some(effect) = effects.next().await {
        match effect {
            DeciderEffect::Evidence(evidence) => broadcast(&cx, DeciderMessage::Evidence(evidence)),
            DeciderEffect::Demand(demand) => broadcast(&cx, DeciderMessage::Demand(demand)),
            DeciderEffect::Verdict(version, verdict) => {
                cx.verdicts.record(&version, verdict);
                let text = format!("{verdict:?}");
                cx.host.log.emit(
                    Event::VersionVerdict,
                    &[("version", &version), ("verdict", &text)],
                );
                fleet::send_event(
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
            DeciderEffect::LastResort(version) => {
                let verdict = "last resort";
                cx.host.log.emit(
                    Event::VersionVerdict,
                    &[("version", &version), ("verdict", &verdict)],
                );
            }
            DeciderEffect::Step(version, step) => {
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
        cx.decider.handle(decide::Event::Tick);
    }
}

fn broadcast(cx: &Context, message: DeciderMessage) {
    if let Some(fleet) = cx.host.registry.find::<fleet::Fleet>() {
        // A lost message only delays learning or the exchange of demand.
        let _ = fleet.offer(fleet::Message::Decide(message));
    }
}
