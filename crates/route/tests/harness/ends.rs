//! Script commands on processes that exit or shut down.

use route::Router;
use route::endpoint::Key;
use route::rollout::Scope;

use super::Script;
use crate::words::Words;

impl Script {
    /// Runs a command on processes that exit or shut down.
    pub(super) fn line_of_ends(&mut self, words: &Words<'_>) -> Option<String> {
        let now = self.now;
        match words.verb {
            "ended" => Some(self.doubted(|router, key| router.ended(now, key))),
            "stands" => Some(self.doubted(Router::stands)),
            "held" => {
                let quarantine = self.router().quarantine();
                quarantine.age(now);
                Some(format!("{} held", quarantine.len()))
            }
            "tell" => {
                let (from, to): (usize, usize) = (
                    words.rest[0].parse().unwrap(),
                    words.rest[1].parse().unwrap(),
                );
                let news = self.hosts[from].quarantine().news(now, Scope::Fresh);
                self.hosts[to].quarantine().hear(now, &news);
                None
            }
            "told-leaving" => {
                let flight = self.calls[words.rest[0]].flight.as_ref().unwrap();
                let is_news = self.hosts[self.host].leave(flight);
                Some(if is_news { "leaving" } else { "known" }.to_owned())
            }
            "leave" => {
                let open = self.calls.get_mut(words.rest[0]).unwrap();
                let flight = open.flight.take().unwrap();
                self.hosts[self.host].cancel(now, flight);
                None
            }
            _ => Some(self.line_of_evacuations(words)),
        }
    }

    /// Reports the result of probing the endpoints to which connections broke, and returns
    /// their IDs.
    fn doubted(&mut self, found: impl Fn(&mut Router, Key)) -> String {
        let doubted = self.router().take_doubted();
        for (key, _, _) in &doubted {
            found(self.router(), *key);
        }
        let ids: Vec<_> = doubted.iter().map(|it| it.1.as_str()).collect();
        format!("asked {}", ids.join(" "))
    }
}
