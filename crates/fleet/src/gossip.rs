//! News that still has to be spread.

use std::time::Duration;

use kernel::HostName;
use wire::News;

/// What this host still has to pass on.
///
/// Each piece is pushed once to all neighbours, and carried by the next probes
/// a bounded number of times, so that one lost frame doesn't stop it.
#[derive(Default)]
pub(crate) struct Gossip {
    items: Vec<Item>,
    pushed: Duration,
}

struct Item {
    news: News,
    /// Whom it needn't be pushed to.
    from: Option<HostName>,
    is_pushed: bool,
    /// How many more probes carry it.
    left: u32,
}

impl Gossip {
    /// Adds a piece, which takes the place of an older one about the same.
    pub(crate) fn add(&mut self, news: News, from: Option<&HostName>, carries: u32) {
        self.items.retain(|it| !is_about_same(&it.news, &news));
        self.items.push(Item {
            news,
            from: from.cloned(),
            is_pushed: false,
            left: carries,
        });
    }

    /// Stops telling of a member what was taken back.
    pub(crate) fn retract(&mut self, host: &HostName) {
        self.items.retain(|it| match &it.news {
            News::Member(member) => member.identity.host != *host,
            _ => true,
        });
    }

    /// When the next push is due.
    pub(crate) fn deadline(&self, tuning: &crate::Tuning) -> Option<Duration> {
        let unpushed = self.items.iter().filter(|it| !it.is_pushed);
        let bytes: usize = unpushed.map(|it| size(&it.news)).sum();
        let pause = match bytes {
            0 => return None,
            it if it <= tuning.news_bytes => tuning.push_every,
            _ => tuning.push_every_when_full,
        };
        Some(self.pushed + pause)
    }

    /// Takes what one push carries, most urgent first: a verdict or revision
    /// must not wait behind the refutations after a healed cut.
    pub(crate) fn take_push(&mut self, now: Duration, max_bytes: usize) -> Push {
        self.pushed = now;
        let mut unpushed: Vec<_> = self.items.iter_mut().filter(|it| !it.is_pushed).collect();
        unpushed.sort_by_key(|it| matches!(it.news, News::Member(_)));
        let mut push = Push::default();
        let mut bytes = 0;
        for item in unpushed {
            bytes += size(&item.news);
            if bytes > max_bytes && !push.news.is_empty() {
                break;
            }
            item.is_pushed = true;
            push.news.push(item.news.clone());
            push.sources.push(item.from.clone());
        }
        push
    }

    /// Takes what one probe carries; pieces that were carried least go first.
    pub(crate) fn take_carried(&mut self, max_bytes: usize) -> Vec<News> {
        self.items.sort_by_key(|it| std::cmp::Reverse(it.left));
        let mut carried = Vec::new();
        let mut bytes = 0;
        for item in &mut self.items {
            bytes += size(&item.news);
            if item.left == 0 || bytes > max_bytes {
                break;
            }
            item.left -= 1;
            carried.push(item.news.clone());
        }
        self.items.retain(|it| it.left > 0 || !it.is_pushed);
        carried
    }
}

/// News to push, and for each piece the neighbour that it came from.
#[derive(Default)]
pub(crate) struct Push {
    pub(crate) news: Vec<News>,
    sources: Vec<Option<HostName>>,
}

impl Push {
    /// What is news to `host`.
    pub(crate) fn news_to(&self, host: &HostName) -> Vec<News> {
        let pieces = self.news.iter().zip(&self.sources);
        pieces
            .filter(|(_, source)| source.as_ref() != Some(host))
            .map(|(news, _)| news.clone())
            .collect()
    }
}

fn is_about_same(a: &News, b: &News) -> bool {
    match (a, b) {
        (News::Member(a), News::Member(b)) => a.identity.host == b.identity.host,
        (News::Revision(_), News::Revision(_)) => true,
        (News::Verdict(a), News::Verdict(b)) => a.version == b.version,
        (News::Endpoint(a), News::Endpoint(b)) => a.host == b.host,
        _ => false,
    }
}

/// About how many bytes a piece takes in a frame.
fn size(news: &News) -> usize {
    const FIXED: usize = 24;
    let text = match news {
        News::Member(it) => {
            it.identity.host.as_str().len()
                + it.data_centre.as_str().len()
                + it.region.as_str().len()
                + FIXED
        }
        News::Revision(it) => it.holder.host.as_str().len(),
        News::Verdict(it) => {
            it.version.as_str().len() + it.by.host.as_str().len() + it.evidence.len()
        }
        News::Endpoint(it) => it.host.as_str().len(),
    };
    text + FIXED
}
