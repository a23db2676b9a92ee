//! The service that submits responses to the rating service and collects their ratings.

use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::task;
use clients::Sample;
use decide::event::{Event, Quality, Rating};
use decide::key::Class;
use kernel::Service;

use crate::context::Context;
use crate::event::Event as Logged;

/// Maximum number of ratings in one request.
const PAGE_SIZE: usize = 200;

/// The service that submits samples.
pub(crate) struct Rate;

impl Service for Rate {
    type Message = Sample;
    const NAME: &'static str = "rate";
    const CAPACITY: usize = 256;
}

/// Submits samples one at a time. The rating service is slow, so further samples are dropped when
/// the queue is full instead of blocking calls.
pub(crate) async fn submit(cx: Arc<Context>, queue: Receiver<Sample>) {
    while let Ok(sample) = queue.recv().await {
        if cx.ratings.submit(&sample).await.is_err() {
            cx.host.metrics.platform_failed("ratings");
        }
    }
}

/// Polls for ratings forever.
pub(crate) async fn collect(cx: Arc<Context>) {
    let mut after = 0;
    let mut unavailable = false;
    let host = &cx.host.settings.host.name;
    loop {
        match cx.ratings.fetch(host, after, PAGE_SIZE).await {
            Ok(ratings) => {
                unavailable = false;
                let full = ratings.len() == PAGE_SIZE;
                for rating in ratings {
                    after = after.max(rating.seq);
                    pass_on(&cx, rating);
                }
                if full {
                    continue;
                }
            }
            Err(err) => {
                cx.host.metrics.platform_failed("ratings");
                if !unavailable {
                    cx.host.log.emit(Logged::RatingsOut, &[("cause", &err)]);
                }
                unavailable = true;
            }
        }
        task::sleep(cx.host.settings.platform.ratings_poll).await;
    }
}

/// Passes a rating to the decider. Ratings of requests of earlier incarnations are ignored.
fn pass_on(cx: &Context, rating: clients::Rating) {
    let Some(request) = cx.host.request_number(rating.request.as_str()) else {
        return;
    };
    cx.decider.handle(Event::Rated(Rating {
        request,
        version: rating.version,
        class: Class::named(&rating.class),
        quality: if rating.good {
            Quality::Good
        } else {
            Quality::Bad
        },
    }));
}
