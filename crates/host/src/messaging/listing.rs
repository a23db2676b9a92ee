//! Fetches the whole listing of endpoints from other hosts when a host starts.

use std::rc::Rc;
use std::time::Duration;

use forward::Dialect;
use kernel::EndpointId;
use link::{Link, Peer};
use route::endpoint::Entry;

use super::{apply, request};
use crate::Store;
use crate::follow::endpoints::{self, Content};
use crate::host::Host;
use crate::listing::Listing;
use crate::message::{ListingPatch, Message, Request};

/// Largest number of hosts that are remembered as having a listing.
const MAX_SOURCES: usize = 6;
/// Largest number of failed requests before the fetch is given up. The next update of another host
/// starts a new one.
const MAX_FAILURES: usize = 6;

/// Fetches the listing in the background from `from` and other hosts that have one, unless that is
/// already being done.
pub(super) fn fetch<S: Store, D: Dialect>(host: &Rc<Host<S, D>>, link: &Link, from: &Peer) {
    let is_fetching = {
        let mut sources = host.listing_sources.borrow_mut();
        if sources.len() < MAX_SOURCES && !sources.contains(from) {
            sources.push(from.clone());
        }
        host.is_fetching_listing.replace(true)
    };
    if is_fetching {
        return;
    }
    let (node, host, link) = (Rc::clone(&host.node), Rc::clone(host), link.clone());
    node.spawn(async move {
        Fetch::new(&host, &link).run().await;
        host.is_fetching_listing.set(false);
        host.listing_sources.borrow_mut().clear();
    });
}

/// A fetch in progress.
struct Fetch<'a, S, D> {
    host: &'a Rc<Host<S, D>>,
    link: &'a Link,
    requests: usize,
    failures: usize,
}

impl<'a, S: Store, D: Dialect> Fetch<'a, S, D> {
    fn new(host: &'a Rc<Host<S, D>>, link: &'a Link) -> Self {
        Self {
            host,
            link,
            requests: 0,
            failures: 0,
        }
    }

    /// Fetches all pages, then a patch: the pages come from several hosts, whose listings may
    /// differ or have changed meanwhile.
    async fn run(mut self) -> Option<()> {
        let mut entries = Vec::new();
        let mut last: Option<EndpointId> = None;
        loop {
            let (mut page, is_last) = self.page(last.clone()).await?;
            last = page.last().map(|it| it.id.clone()).or(last);
            entries.append(&mut page);
            if is_last {
                break;
            }
        }
        let mut listing = Listing::default();
        listing.replace(entries);
        let (sent, ListingPatch { patch, status }) = self.patch(&listing).await?;
        let change = listing.change_of(&patch)?;
        listing.apply(&change);
        let entries = listing.entries().cloned().collect();
        let meta = apply::meta(sent, self.host.node.now(), status);
        let _ = endpoints::put_in_use(self.host, meta, Content::Whole(entries));
        Some(())
    }

    /// Returns the entries after `after`, and whether no entries follow. `None` if the fetch is
    /// to end.
    async fn page(&mut self, after: Option<EndpointId>) -> Option<(Vec<Entry>, bool)> {
        loop {
            let request = Request::ListingPage(after.clone());
            if let Some(Message::ListingPage(it)) = self.request(request).await
                && let Some(entries) = it.entries.unpack()
                && (it.is_last || !entries.is_empty())
            {
                return Some((entries, it.is_last));
            }
            self.count_failure()?;
        }
    }

    /// Returns the patch from `listing` to that of another host, and when it was requested.
    async fn patch(&mut self, listing: &Listing) -> Option<(Duration, ListingPatch)> {
        loop {
            let sent = self.host.node.now();
            let request = Request::ListingPatch(listing.sketch());
            if let Some(Message::ListingPatch(it)) = self.request(request).await {
                return Some((sent, it));
            }
            self.count_failure()?;
        }
    }

    async fn request(&mut self, request: Request) -> Option<Message> {
        let source = self.next_source()?;
        let response = request::send(self.host, self.link, &source, request).await?;
        let now = self.host.node.now();
        self.host.state_received.set(Some(now));
        Some(response)
    }

    /// Returns the hosts with a listing in turn, so that none of them has to send all of it. Those
    /// of the own data centre come first: traffic between data centres is charged for.
    fn next_source(&mut self) -> Option<Peer> {
        let sources = self.host.listing_sources.borrow();
        let gossip = self.host.gossip.borrow();
        let is_local = |it: &&Peer| {
            let record = gossip.roster().get(&it.host);
            record.is_some_and(|it| it.member.data_centre == self.host.own().data_centre)
        };
        let local: Vec<_> = sources.iter().filter(is_local).collect();
        let has_failed = self.failures > 0;
        let eligible = if local.is_empty() || has_failed {
            sources.iter().collect()
        } else {
            local
        };
        let source = eligible.get(self.requests % eligible.len().max(1)).copied();
        self.requests += 1;
        source.cloned()
    }

    fn count_failure(&mut self) -> Option<()> {
        self.failures += 1;
        let is_needed = self.host.listing_meta.get().is_none();
        (is_needed && self.failures < MAX_FAILURES).then_some(())
    }
}
