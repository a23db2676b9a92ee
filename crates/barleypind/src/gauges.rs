//! Updates of the gauges on a request for the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use wire::State;

use crate::context::Context;
use crate::event::Event;
use crate::metrics::GaugeValues;
use crate::service::fleet;

/// Sets the gauges to their present values.
pub(crate) async fn update(cx: &Context) {
    let members = match cx.host.registry.find::<fleet::Fleet>() {
        Some(fleet) => fleet.ask(fleet::Message::Members).await.unwrap_or_default(),
        None => Vec::new(),
    };
    let count = |states: &[State]| {
        let in_state = members.iter().filter(|it| states.contains(&it.state));
        in_state.count() as u64
    };
    let ledger_status = cx.ledger_handle.status();
    let now = cx.host.now();
    cx.host.metrics.set_gauges(&GaugeValues {
        revision: cx.host.current_config.get().revision().0,
        proof_age: cx.host.current_config.proof_age(now).unwrap_or(now),
        unwritten: ledger_status.held as u64,
        held: ledger_status.copies as u64,
        live: count(&[State::Alive]),
        leaving: count(&[State::Leaving]),
        suspect: count(&[State::Suspect, State::Unreachable]),
        endpoints: cx.endpoints.live().len() as u64,
        open: cx.host.open_calls() as u64,
    });
    cx.link_rejections.update(cx);
}

/// The number of frames and connections rejected by the link that is already in the metric.
#[derive(Debug, Default)]
pub(crate) struct LinkRejections {
    counted: AtomicU64,
}

impl LinkRejections {
    fn update(&self, cx: &Context) {
        let counters = cx.link.counters();
        let rejected = link::Rejection::ALL
            .iter()
            .map(|it| counters.rejected(*it))
            .sum();
        let before = self.counted.fetch_max(rejected, Ordering::SeqCst);
        if rejected > before {
            let dropped = rejected - before;
            cx.host.metrics.link_rejections(dropped);
            cx.host.log.emit(Event::Stranger, &[("dropped", &dropped)]);
        }
    }
}
